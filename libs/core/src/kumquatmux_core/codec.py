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

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.numbers import decode_extension, encode_numbers
from kumquatmux_core.problems import DETAIL_CHARACTERS, Problem

PROTOCOL_VERSION = 1
HEADER_BYTES = 3

_encoder = msgspec.msgpack.Encoder()


class Registry(NamedTuple):
    """The message types that one channel carries.

    Attributes:
        types: Message type by kind; a kind is a number from 0 to 65535.
        kinds: Kind by message type.
        element_types: Element type of the fields whose elements stand each for
            themselves, by message type and field name. An odd element is dropped and
            logged, and does not make its message invalid.
    """

    types: dict[int, type]
    kinds: dict[type, int]
    element_types: dict[type, dict[str, Any]]

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
        return self._decode_body(message_type, data[HEADER_BYTES:])

    def _decode_body(self, message_type: Any, body: bytes) -> Result[Any, Problem]:
        try:
            values = msgspec.msgpack.decode(body, ext_hook=decode_extension)
        except RecursionError:
            return Error(Problem("message-body", "nested too deep"))
        except (msgspec.DecodeError, ValueError, OverflowError) as error:
            return _invalid_body(error)
        if not isinstance(values, list):
            return Error(Problem("message-shape", "message body is not an array"))
        known_fields = values[: len(message_type._fields)]
        converted = _convert(known_fields, message_type)
        if converted.is_error() and message_type in self.element_types:
            sound_fields = self._without_odd_elements(message_type, known_fields)
            return _convert(sound_fields, message_type)
        return converted

    def _without_odd_elements(self, message_type: Any, fields: list[Any]) -> list[Any]:
        sound_fields = list(fields)
        for name, element_type in self.element_types[message_type].items():
            place = message_type._fields.index(name)
            if place < len(fields) and isinstance(fields[place], list):
                sound_fields[place] = [
                    element
                    for element in fields[place]
                    if _is_sound(element, element_type, message_type)
                ]
        return sound_fields


def registry(
    *tables: dict[int, type],
    element_types: dict[type, dict[str, Any]] | None = None,
) -> Registry:
    """Build a registry from tables that map kinds to message types.

    Args:
        tables: Message types by kind.
        element_types: Element type of the fields whose elements stand each for
            themselves, by message type and field name.

    Raises:
        ValueError: A kind or a message type occurs more than once.
    """
    types = {kind: message for table in tables for kind, message in table.items()}
    entry_count = sum(len(table) for table in tables)
    if len(types) < entry_count or len(set(types.values())) < entry_count:
        raise ValueError("two message types share a kind, or one type has two kinds")
    kinds = {message: kind for kind, message in types.items()}
    return Registry(types, kinds, element_types or {})


def _convert(values: Any, wanted_type: Any) -> Result[Any, Problem]:
    try:
        return Ok(msgspec.convert(values, wanted_type, strict=True))
    except (msgspec.ValidationError, ValueError, OverflowError) as error:
        return _invalid_body(error)


def _invalid_body(error: Exception) -> Result[Any, Problem]:
    return Error(Problem("message-body", str(error)[:DETAIL_CHARACTERS]))


def _is_sound(element: Any, element_type: Any, message_type: type) -> bool:
    converted = _convert(element, element_type)
    if converted.is_error():
        log_decision(
            "element-unread",
            message=message_type.__name__,
            element=element_type.__name__,
            problem=converted.error,
        )
    return converted.is_ok()
