"""Whole numbers of more than 64 bits in msgpack, which has none of its own.

Such a number is encoded as an extension with its bytes, big endian; others as before.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

LONGEST_DIGITS = 38
"""Most decimal digits that a number may have."""

NUMBER_LIMIT = 10**LONGEST_DIGITS
"""Smallest number that has more digits."""

NATIVE_LIMIT = 2**64
NUMBER_BYTES = 16
EXTENSION_CODE = 1


def encode_numbers(values: Iterable[Any]) -> bytes:
    """Encode values as an array whose numbers may have more than 64 bits."""
    return msgspec.msgpack.encode([_encodable(value) for value in values])


def decode_extension(code: int, data: memoryview) -> Any:
    """Return the number that an extension holds, for ``ext_hook``.

    Raises:
        ValueError: It is no such number, or too long.
    """
    if code != EXTENSION_CODE or len(data) > NUMBER_BYTES:
        raise ValueError("the extension holds no number")
    return int.from_bytes(data)


def _encodable(value: Any) -> Any:
    if isinstance(value, int) and value >= NATIVE_LIMIT:
        return msgspec.msgpack.Ext(EXTENSION_CODE, value.to_bytes(NUMBER_BYTES))
    return value
