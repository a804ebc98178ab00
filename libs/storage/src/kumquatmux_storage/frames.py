"""File format of checksummed frames, with detection of torn writes and damage.

A file starts with a header of ``FILE_HEADER_BYTES`` bytes that holds a magic number,
the format version and the file kind. Each frame consists of the payload length
(4 bytes), a checksum (8 bytes), the payload and an end mark (1 byte); integers are big
endian.
The checksum covers the payload and is seeded with the frame's offset in the file.
The end mark is not zero, so a frame never ends in zeros like an unwritten sector.
"""

from __future__ import annotations

import re
import struct
from typing import NamedTuple

import xxhash
from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem

MAGIC = b"KQMX"
FORMAT_VERSION = 2
FILE_HEADER_BYTES = 8
MAX_PAYLOAD_BYTES = 1 << 30
SECTOR_BYTES = 512
PAYLOAD_LENGTH_BYTES = 4
"""Size of the payload length in a frame; all its bytes but the last may be zero."""

END_MARK = b"\x01"

_frame_struct = struct.Struct(">IQ")
_file_header_struct = struct.Struct(">4sBBH")

FRAME_HEADER_BYTES = _frame_struct.size


class ScanResult(NamedTuple):
    """Result of reading the valid frames at the start of a file.

    Attributes:
        payloads: Payloads of the valid frames.
        end_offset: Offset in bytes at which the last valid frame ends.
        has_incomplete_write: Whether an incomplete write follows the valid frames.
        has_damaged_data: Whether data other than an incomplete write follows them.
    """

    payloads: tuple[bytes, ...]
    end_offset: int
    has_incomplete_write: bool = False
    has_damaged_data: bool = False


def encode_file_header(kind: int) -> bytes:
    """Return the file header for a file kind (0 to 255)."""
    return _file_header_struct.pack(MAGIC, FORMAT_VERSION, kind, 0)


def encode_frame(payload: bytes, offset: int) -> bytes:
    """Return a payload encoded as the frame at an offset in bytes of its file."""
    frame_header = _frame_struct.pack(len(payload), _checksum(payload, offset))
    return frame_header + payload + END_MARK


def check_file_header(data: bytes, kind: int, name: str) -> Result[None, Problem]:
    """Check that a file has the expected kind and a supported format version.

    Errors:
        ``file-short``, ``file-kind`` or ``file-version``.
    """
    if len(data) < FILE_HEADER_BYTES:
        return Error(
            Problem("file-short", f"{len(data)} bytes, incomplete file header", name)
        )
    magic, version, found_kind, _ = _file_header_struct.unpack_from(data)
    if magic != MAGIC or found_kind != kind:
        return Error(Problem("file-kind", "damaged at offset 0: wrong file kind", name))
    if version != FORMAT_VERSION:
        detail = f"format version {version}, only {FORMAT_VERSION} is supported"
        return Error(Problem("file-version", detail, name))
    return Ok(None)


def scan_frames(data: bytes) -> ScanResult:
    """Read the valid frames of a file whose header has already been checked."""
    payloads: list[bytes] = []
    offset = FILE_HEADER_BYTES
    while offset < len(data):
        payload = _read_payload(data, offset)
        if payload is None:
            is_incomplete_write = _is_incomplete_write(data, offset)
            return ScanResult(
                tuple(payloads), offset, is_incomplete_write, not is_incomplete_write
            )
        payloads.append(payload)
        offset += FRAME_HEADER_BYTES + len(payload) + len(END_MARK)
    return ScanResult(tuple(payloads), offset)


def _read_payload(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset, or None if it is not valid."""
    start = offset + FRAME_HEADER_BYTES
    if start > len(data):
        return None
    length, checksum = _frame_struct.unpack_from(data, offset)
    end = start + length
    if not 0 < length <= MAX_PAYLOAD_BYTES or data[end : end + 1] != END_MARK:
        return None
    payload = data[start:end]
    return payload if _checksum(payload, offset) == checksum else None


def _is_incomplete_write(data: bytes, offset: int) -> bool:
    """Return whether the data after an offset is a write interrupted by a crash.

    An interrupted write ends early or misses whole sectors, which read as zeros. A
    complete frame with a wrong checksum was damaged after it had been written.
    """
    if _has_valid_frame_from(data, offset + 1):
        return False
    start = offset + FRAME_HEADER_BYTES
    if start > len(data):
        return True
    length, checksum = _frame_struct.unpack_from(data, offset)
    if _has_zeroed_sector(data, offset):
        return True
    is_truncated = length + len(END_MARK) > len(data) - start
    remaining_payload = data[start:].removesuffix(END_MARK)
    has_end_mark = len(remaining_payload) < len(data) - start
    is_complete = has_end_mark and _checksum(remaining_payload, offset) == checksum
    return is_truncated and not is_complete


def _has_valid_frame_from(data: bytes, start: int) -> bool:
    """Return whether a valid frame starts at an offset or anywhere after it.

    Only places where a payload length could stand that fits into the data are tried:
    its highest byte is bounded and it is not zero.
    """
    longest = len(data) - start
    starts = re.compile(
        rb"(?!\0{4})[\0-" + re.escape(bytes([min(longest >> 24, 255)])) + b"]"
    )
    found = (match.start() for match in starts.finditer(data, start))
    return any(_read_payload(data, place) is not None for place in found)


def _has_zeroed_sector(data: bytes, start: int) -> bool:
    """Return whether a frame misses a sector, which then holds only zeros.

    A run of zeros shorter than the payload length at the frame's start is ignored,
    because the length itself may begin with zeros.
    """
    sector_start = start
    while sector_start < len(data):
        sector_end = min(len(data), (sector_start // SECTOR_BYTES + 1) * SECTOR_BYTES)
        is_within_length_field = (
            sector_start == start and sector_end - sector_start < PAYLOAD_LENGTH_BYTES
        )
        if not any(data[sector_start:sector_end]) and not is_within_length_field:
            return True
        sector_start = sector_end
    return False


def _checksum(payload: bytes, offset: int) -> int:
    return xxhash.xxh3_64_intdigest(payload, seed=offset)
