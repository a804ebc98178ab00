"""Checksummed frames in a file, and what is left of them after a crash.

A file begins with ``HEADER_BYTES`` bytes that name its kind and format version. A
frame is its payload's length (4 bytes), a checksum (8 bytes) and the payload, big
endian. The checksum covers the payload and the frame's place in the file.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

import xxhash
from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem

MAGIC = b"KQMX"
FORMAT_VERSION = 1
HEADER_BYTES = 8
FRAME_BYTES_MAX = 1 << 30

_frame = struct.Struct(">IQ")
_header = struct.Struct(">4sBBH")

FRAME_HEADER_BYTES = _frame.size


class Scan(NamedTuple):
    """The sound frames at the start of a file.

    Attributes:
        payloads: Their payloads.
        length: Where they end, in bytes.
        later: Where a sound frame follows after damage, -1 if none does.
    """

    payloads: tuple[bytes, ...]
    length: int
    later: int


def file_header(kind: int) -> bytes:
    """Return the first bytes of a file of a kind (0 to 255)."""
    return _header.pack(MAGIC, FORMAT_VERSION, kind, 0)


def frame(payload: bytes, offset: int) -> bytes:
    """Return the frame of a payload that stands at an offset of its file."""
    return _frame.pack(len(payload), _checksum(payload, offset)) + payload


def check_header(data: bytes, kind: int, name: str) -> Result[None, Problem]:
    """Return whether a file is of a kind and a known format version."""
    if len(data) < HEADER_BYTES:
        return Error(Problem("file-short", f"{len(data)} bytes, no header", name))
    magic, version, found, _ = _header.unpack_from(data)
    if magic != MAGIC or found != kind:
        return Error(Problem("file-kind", "damaged at offset 0: not such a file", name))
    if version != FORMAT_VERSION:
        detail = f"format version {version}, this program knows {FORMAT_VERSION}"
        return Error(Problem("file-version", detail, name))
    return Ok(None)


def scan(data: bytes) -> Scan:
    """Return the sound frames of a file whose header has been checked."""
    payloads: list[bytes] = []
    offset = HEADER_BYTES
    while offset < len(data):
        payload = _payload_at(data, offset)
        if payload is None:
            return Scan(tuple(payloads), offset, _later_frame(data, offset + 1))
        payloads.append(payload)
        offset += FRAME_HEADER_BYTES + len(payload)
    return Scan(tuple(payloads), offset, -1)


def _payload_at(data: bytes, offset: int) -> bytes | None:
    start = offset + FRAME_HEADER_BYTES
    if start > len(data):
        return None
    length, checksum = _frame.unpack_from(data, offset)
    if not 0 < length <= min(len(data) - start, FRAME_BYTES_MAX):
        return None
    payload = data[start : start + length]
    return payload if _checksum(payload, offset) == checksum else None


def _later_frame(data: bytes, start: int) -> int:
    for offset in range(start, len(data) - FRAME_HEADER_BYTES):
        if _payload_at(data, offset) is not None:
            return offset
    return -1


def _checksum(payload: bytes, offset: int) -> int:
    return xxhash.xxh3_64_intdigest(payload, seed=offset)
