"""Files of a data folder, and the records stored in their frames."""

from __future__ import annotations

from functools import singledispatch
from itertools import chain
from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from kumquatmux_agreement.entries import Entry, Snapshot, VoteRecord
from kumquatmux_core.identity import VmId
from kumquatmux_core.problems import DETAIL_CHARACTERS, Problem
from kumquatmux_storage import frames
from kumquatmux_storage.disk import Disk

IDENTITY = "identity"
VOTE = "vote"
SNAPSHOT = "snapshot"
LOG = "log"
SYNCED = "synced"
TEMPORARY_SUFFIX = ".tmp"

FILE_KINDS = {IDENTITY: 1, VOTE: 2, SNAPSHOT: 3, LOG: 4, SYNCED: 5}

NUMBER_END = 1 << 62
"""End of the numbers that records may hold, so that none can outgrow an encoding."""

DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError, MemoryError)
"""What a decoder raises for content that it cannot decode."""

RECOVERY_ADVICE = (
    "nothing was changed; if the other control VMs have a majority, move this data "
    "folder away and restart, and this VM rejoins as a new replica"
)


class Identity(NamedTuple):
    """Owner of a data folder; written last when the folder is created.

    Attributes:
        cluster: Name of the cluster that the replica belongs to.
        vm: ID of the VM that the replica runs on.
        folder: Random folder ID, so that a recreated folder is a different replica.
    """

    cluster: str
    vm: VmId
    folder: str


class LogHeader(NamedTuple):
    """First frame of a log file, which gives its position in the replicated log.

    Attributes:
        generation: Incremented each time the log file is rewritten.
        previous_log_index: Index of the entry that precedes the first one in the file.
        previous_term: Term of the entry at ``previous_log_index``.
    """

    generation: int
    previous_log_index: int
    previous_term: int


class SyncedLength(NamedTuple):
    """Length of the log file at its last recorded sync.

    Attributes:
        generation: Generation of the log file that the length applies to.
        length: Length of the log file in bytes.
    """

    generation: int
    length: int


@singledispatch
def numbers_of(record: Any) -> tuple[int, ...]:
    """Return the numbers of a record, which later ones are counted from."""
    raise TypeError(f"unknown record {type(record).__name__}")


@numbers_of.register
def _(record: Identity) -> tuple[int, ...]:
    return ()


@numbers_of.register
def _(record: LogHeader) -> tuple[int, ...]:
    return tuple(record)


@numbers_of.register
def _(record: SyncedLength) -> tuple[int, ...]:
    return tuple(record)


@numbers_of.register
def _(record: VoteRecord) -> tuple[int, ...]:
    return (record.term,)


@numbers_of.register
def _(record: Snapshot | Entry) -> tuple[int, ...]:
    return record.log_index, record.term


@numbers_of.register
def _(record: tuple) -> tuple[int, ...]:
    return tuple(chain.from_iterable(map(numbers_of, record)))


class LogFile(NamedTuple):
    """Decoded content of a log file.

    Attributes:
        base: Header frame of the log file.
        entries: Log entries, without those that later entries overwrote.
        valid_bytes: Length of the valid frames, including the file header, in bytes.
        has_incomplete_write: Whether an incomplete write follows the valid frames.
    """

    base: LogHeader
    entries: tuple[Entry, ...]
    valid_bytes: int
    has_incomplete_write: bool


def encode_record(record: NamedTuple | tuple[Entry, ...]) -> bytes:
    """Encode a record as the payload of a frame."""
    return msgspec.msgpack.encode(record)


def whole_file(name: str, record: NamedTuple) -> bytes:
    """Return the content of a file that stores a single record."""
    payload = encode_record(record)
    header = frames.encode_file_header(FILE_KINDS[name])
    return header + frames.encode_frame(payload, len(header))


def read_record(disk: Disk, name: str, record_type: Any) -> Result[Any, Problem]:
    """Read and decode a file that stores a single record.

    Errors:
        ``file-short``, ``file-kind``, ``file-version``, ``file-damaged`` or
        ``file-content``.
    """
    data = disk.read(name)
    header = frames.check_file_header(data, FILE_KINDS[name], name)
    if header.is_error():
        return _with_recovery_advice(header.error)
    found = frames.scan_frames(data)
    if len(found.payloads) != 1 or found.end_offset != len(data):
        detail = f"damaged at offset {found.end_offset}"
        return _with_recovery_advice(Problem("file-damaged", detail, name))
    return _decode_payload(
        found.payloads[0], record_type, name, frames.FILE_HEADER_BYTES
    )


def read_vote(disk: Disk) -> Result[VoteRecord, Problem]:
    """Read the vote record."""
    return read_record(disk, VOTE, VoteRecord)


def read_snapshot(disk: Disk) -> Result[Snapshot, Problem]:
    """Read the snapshot."""
    return read_record(disk, SNAPSHOT, Snapshot)


def read_log(disk: Disk) -> Result[LogFile, Problem]:
    """Read and decode the log file without an incomplete write at its end.

    Errors:
        ``log-damaged`` with the offset if a frame is damaged rather than incomplete,
        or if data that had been synced is missing; ``log-gap`` if log indexes are not
        consecutive; or an error of the file header or of decoding a frame.
    """
    data = disk.read(LOG)
    header = frames.check_file_header(data, FILE_KINDS[LOG], LOG)
    if header.is_error():
        return _with_recovery_advice(header.error)
    found = frames.scan_frames(data)
    if found.has_damaged_data or not found.payloads:
        detail = f"damaged at offset {found.end_offset}"
        return _with_recovery_advice(Problem("log-damaged", detail, LOG))
    log_header = _decode_payload(
        found.payloads[0], LogHeader, LOG, frames.FILE_HEADER_BYTES
    )
    if log_header.is_error():
        return Error(log_header.error)
    synced_length = _synced_length(disk, log_header.ok.generation)
    if found.end_offset < synced_length:
        detail = f"damaged at offset {found.end_offset}, synced up to {synced_length}"
        return _with_recovery_advice(Problem("log-damaged", detail, LOG))
    entries = _decode_entries(log_header.ok, found.payloads[1:])
    if entries.is_error():
        return Error(entries.error)
    return Ok(
        LogFile(log_header.ok, entries.ok, found.end_offset, found.has_incomplete_write)
    )


def _synced_length(disk: Disk, generation: int) -> int:
    """Return the recorded synced length of a log generation, or 0 if unknown."""
    if SYNCED not in disk.names():
        return 0
    record = read_record(disk, SYNCED, SyncedLength)
    if record.is_error() or record.ok.generation != generation:
        return 0
    return record.ok.length


def _decode_entries(
    log_header: LogHeader, payloads: tuple[bytes, ...]
) -> Result[tuple[Entry, ...], Problem]:
    """Decode batches of entries and apply them in order; later entries overwrite."""
    entries: list[Entry] = []
    for payload in payloads:
        batch = _decode_payload(payload, tuple[Entry, ...], LOG, 0)
        if batch.is_error():
            return Error(batch.error)
        for entry in batch.ok:
            position = entry.log_index - log_header.previous_log_index - 1
            if not 0 <= position <= len(entries):
                detail = f"entry {entry.log_index} does not follow the preceding entry"
                return _with_recovery_advice(Problem("log-gap", detail, LOG))
            del entries[position:]
            entries.append(entry)
    return Ok(tuple(entries))


def _decode_payload(
    payload: bytes, record_type: Any, name: str, offset: int
) -> Result[Any, Problem]:
    try:
        record = msgspec.msgpack.decode(payload, type=record_type)
    except DECODE_ERRORS as error:
        detail = f"at offset {offset}: {str(error)[:DETAIL_CHARACTERS]}"
        return _with_recovery_advice(Problem("file-content", detail, name))
    if not all(0 <= number < NUMBER_END for number in numbers_of(record)):
        detail = f"at offset {offset}: a number out of bounds"
        return _with_recovery_advice(Problem("file-content", detail, name))
    return Ok(record)


def _with_recovery_advice(problem: Problem) -> Result[Any, Problem]:
    return Error(problem._replace(detail=f"{problem.detail}; {RECOVERY_ADVICE}"))
