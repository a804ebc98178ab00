"""Checksummed frames in a file, and what is left of them after a crash.

A file begins with ``HEADER_BYTES`` bytes that name its kind and format version. A
frame is its payload's length (4 bytes), a checksum (8 bytes), the payload and an end
mark (1 byte), big endian. The checksum covers the payload and the frame's place in the
file. Thanks to the mark no frame ends in zeros, as a missing sector does.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

import xxhash
from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem

MAGIC = b"KQMX"
FORMAT_VERSION = 2
HEADER_BYTES = 8
FRAME_BYTES_MAX = 1 << 30
SECTOR_BYTES = 512
LENGTH_BYTES = 4
"""Bytes of a frame's length, which may be zeros but for the last one."""

END_MARK = b"\x01"

_frame = struct.Struct(">IQ")
_header = struct.Struct(">4sBBH")

FRAME_HEADER_BYTES = _frame.size


class Scan(NamedTuple):
    """The sound frames at the start of a file.

    Attributes:
        payloads: Their payloads.
        length: Where they end, in bytes.
        is_torn: Whether an unfinished write follows them.
        is_damaged: Whether something else follows them.
    """

    payloads: tuple[bytes, ...]
    length: int
    is_torn: bool = False
    is_damaged: bool = False


def file_header(kind: int) -> bytes:
    """Return the first bytes of a file of a kind (0 to 255)."""
    return _header.pack(MAGIC, FORMAT_VERSION, kind, 0)


def frame(payload: bytes, offset: int) -> bytes:
    """Return the frame of a payload that stands at an offset of its file."""
    head = _frame.pack(len(payload), _checksum(payload, offset))
    return head + payload + END_MARK


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
            is_torn = _is_torn(data, offset)
            return Scan(tuple(payloads), offset, is_torn, not is_torn)
        payloads.append(payload)
        offset += FRAME_HEADER_BYTES + len(payload) + len(END_MARK)
    return Scan(tuple(payloads), offset)


def _payload_at(data: bytes, offset: int) -> bytes | None:
    start = offset + FRAME_HEADER_BYTES
    if start > len(data):
        return None
    length, checksum = _frame.unpack_from(data, offset)
    end = start + length
    if not 0 < length <= FRAME_BYTES_MAX or data[end : end + 1] != END_MARK:
        return None
    payload = data[start:end]
    return payload if _checksum(payload, offset) == checksum else None


def _is_torn(data: bytes, offset: int) -> bool:
    """Return whether the rest of a file is a write that a crash cut short.

    Such a write ends early, or lacks whole sectors, which read as zeros. A frame
    that is all there and does not match its checksum was damaged later.
    """
    if _has_later_frame(data, offset + 1):
        return False
    start = offset + FRAME_HEADER_BYTES
    if start > len(data):
        return True
    length, checksum = _frame.unpack_from(data, offset)
    if _has_empty_sector(data, offset):
        return True
    is_short = length + len(END_MARK) > len(data) - start
    rest = data[start:].removesuffix(END_MARK)
    has_end = len(rest) < len(data) - start
    is_whole = has_end and _checksum(rest, offset) == checksum
    return is_short and not is_whole


def _has_later_frame(data: bytes, start: int) -> bool:
    places = range(start, len(data) - FRAME_HEADER_BYTES)
    return any(_payload_at(data, place) is not None for place in places)


def _has_empty_sector(data: bytes, start: int) -> bool:
    """Return whether a sector after the start of a frame holds nothing of it."""
    begin = start
    while begin < len(data):
        end = min(len(data), (begin // SECTOR_BYTES + 1) * SECTOR_BYTES)
        is_in_length = begin == start and end - begin < LENGTH_BYTES
        if not any(data[begin:end]) and not is_in_length:
            return True
        begin = end
    return False


def _checksum(payload: bytes, offset: int) -> int:
    return xxhash.xxh3_64_intdigest(payload, seed=offset)
