"""Messages between the system's processes: a kind, a version and a record.

A message type is a ``NamedTuple`` registered under a kind of its own. Its fields
travel as a msgpack array, so a newer sender may append fields that an older
receiver does not know.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem

PROTOCOL_VERSION = 1
HEADER_BYTES = 3

_encoder = msgspec.msgpack.Encoder()


class Registry(NamedTuple):
    """The message types one channel carries, by kind (0 to 65535)."""

    types: dict[int, type]
    kinds: dict[type, int]

    def encode(self, message: Any) -> bytes:
        """Return a message as bytes, header first."""
        kind = self.kinds[type(message)]
        header = bytes((PROTOCOL_VERSION, kind >> 8, kind & 0xFF))
        return header + _encoder.encode(message)

    def decode(self, data: bytes) -> Result[Any, Problem]:
        """Return the message in some bytes, or why there is none."""
        if len(data) < HEADER_BYTES:
            return Error(Problem("message-short", f"message of {len(data)} bytes"))
        if data[0] != PROTOCOL_VERSION:
            return Error(Problem("message-version", f"protocol version {data[0]}"))
        kind = data[1] << 8 | data[2]
        message_type = self.types.get(kind)
        if message_type is None:
            return Error(Problem("message-kind", f"unknown message kind {kind}"))
        return _decode_body(message_type, data[HEADER_BYTES:])


def registry(*tables: dict[int, type]) -> Registry:
    """Return the registry of some tables of message types by kind.

    Raises:
        ValueError: Two tables give one kind, or one type, twice.
    """
    types = {kind: message for table in tables for kind, message in table.items()}
    total = sum(len(table) for table in tables)
    if len(types) < total or len(set(types.values())) < total:
        raise ValueError("two message types share a kind, or one has two")
    return Registry(types, {message: kind for kind, message in types.items()})


def _decode_body(message_type: Any, body: bytes) -> Result[Any, Problem]:
    try:
        values = msgspec.msgpack.decode(body)
        if not isinstance(values, list):
            return Error(Problem("message-shape", "message body is not an array"))
        known = values[: len(message_type._fields)]
        return Ok(msgspec.convert(known, message_type, strict=True))
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        return Error(Problem("message-body", str(error)))
