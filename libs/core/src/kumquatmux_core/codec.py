"""Binary encoding of the messages between the system's processes.

An encoded message has a three-byte header, with the protocol version and the message
kind, and a body. A message type is a ``NamedTuple`` registered under its own kind.
Its fields are encoded as a msgpack array, so a newer sender may append fields; an
older receiver ignores them.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from kumquatmux_core.numbers import decode_extension, encode_numbers
from kumquatmux_core.problems import Problem

PROTOCOL_VERSION = 1
HEADER_BYTES = 3

_encoder = msgspec.msgpack.Encoder()


class Registry(NamedTuple):
    """The message types that one channel carries.

    Attributes:
        types: Message type by kind; a kind is a number from 0 to 65535.
        kinds: Kind by message type.
    """

    types: dict[int, type]
    kinds: dict[type, int]

    def encode(self, message: Any) -> bytes:
        """Encode a message as a header followed by a msgpack body."""
        kind = self.kinds[type(message)]
        header = bytes((PROTOCOL_VERSION, kind >> 8, kind & 0xFF))
        try:
            return header + _encoder.encode(message)
        except OverflowError:
            return header + encode_numbers(message)

    def decode(self, data: bytes) -> Result[Any, Problem]:
        """Decode a message, or return the problem that makes it invalid."""
        if len(data) < HEADER_BYTES:
            return Error(
                Problem("message-short", f"message of {len(data)} bytes is too short")
            )
        if data[0] != PROTOCOL_VERSION:
            return Error(
                Problem("message-version", f"unsupported protocol version {data[0]}")
            )
        kind = data[1] << 8 | data[2]
        message_type = self.types.get(kind)
        if message_type is None:
            return Error(Problem("message-kind", f"unknown message kind {kind}"))
        return _decode_body(message_type, data[HEADER_BYTES:])


def registry(*tables: dict[int, type]) -> Registry:
    """Build a registry from tables that map kinds to message types.

    Raises:
        ValueError: A kind or a message type occurs more than once.
    """
    types = {kind: message for table in tables for kind, message in table.items()}
    entry_count = sum(len(table) for table in tables)
    if len(types) < entry_count or len(set(types.values())) < entry_count:
        raise ValueError("two message types share a kind, or one type has two kinds")
    return Registry(types, {message: kind for kind, message in types.items()})


def _decode_body(message_type: Any, body: bytes) -> Result[Any, Problem]:
    try:
        values = msgspec.msgpack.decode(body, ext_hook=decode_extension)
        if not isinstance(values, list):
            return Error(Problem("message-shape", "message body is not an array"))
        known_fields = values[: len(message_type._fields)]
        return Ok(msgspec.convert(known_fields, message_type, strict=True))
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        return Error(Problem("message-body", str(error)))
