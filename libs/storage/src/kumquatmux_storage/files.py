"""The kinds of files in a data folder and what their frames hold."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from kumquatmux_agreement.entries import Entry, Snapshot, VoteRecord
from kumquatmux_core.identity import VmId
from kumquatmux_core.problems import Problem
from kumquatmux_storage import frames
from kumquatmux_storage.disk import Disk

IDENTITY = "identity"
VOTE = "vote"
SNAPSHOT = "snapshot"
LOG = "log"
SYNCED = "synced"
TEMPORARY_SUFFIX = ".tmp"

KINDS = {IDENTITY: 1, VOTE: 2, SNAPSHOT: 3, LOG: 4, SYNCED: 5}

WAY_OUT = (
    "nothing was changed; if the other control VMs have a majority, move this data "
    "folder away and restart, and this VM rejoins as a new replica"
)


class Identity(NamedTuple):
    """Whose data folder it is; written last when the folder is created.

    Attributes:
        cluster: Name of the cluster.
        vm: The VM.
        folder: Made at random, so that a folder made anew is another replica.
    """

    cluster: str
    vm: VmId
    folder: str


class Base(NamedTuple):
    """First frame of a log file.

    Attributes:
        generation: Grows by one each time the file is written anew.
        log_index: The entry before the first one in the file.
        term: Term of that entry.
    """

    generation: int
    log_index: int
    term: int


class SyncedLength(NamedTuple):
    """How long the log file was when it was last synced.

    Attributes:
        generation: Of the log file meant.
        length: Its length in bytes.
    """

    generation: int
    length: int


class LogFile(NamedTuple):
    """What a log file holds.

    Attributes:
        base: Its first frame.
        entries: The entries, replaced ones left out.
        length: Length of its sound part in bytes.
        is_torn: Whether something follows the sound part.
    """

    base: Base
    entries: tuple[Entry, ...]
    length: int
    is_torn: bool


def encode(record: NamedTuple | tuple[Entry, ...]) -> bytes:
    """Return a record as the payload of a frame."""
    return msgspec.msgpack.encode(record)


def whole_file(name: str, record: NamedTuple) -> bytes:
    """Return a file that holds one record."""
    payload = encode(record)
    header = frames.file_header(KINDS[name])
    return header + frames.frame(payload, len(header))


def read_record(disk: Disk, name: str, record_type: Any) -> Result[Any, Problem]:
    """Return the one record of a file that is replaced as a whole."""
    data = disk.read(name)
    header = frames.check_header(data, KINDS[name], name)
    if header.is_error():
        return _with_way_out(header.error)
    found = frames.scan(data)
    if len(found.payloads) != 1 or found.length != len(data):
        detail = f"damaged at offset {found.length}"
        return _with_way_out(Problem("file-damaged", detail, name))
    return _decode(found.payloads[0], record_type, name, frames.HEADER_BYTES)


def read_vote(disk: Disk) -> Result[VoteRecord, Problem]:
    """Return the vote record."""
    return read_record(disk, VOTE, VoteRecord)


def read_snapshot(disk: Disk) -> Result[Snapshot, Problem]:
    """Return the snapshot."""
    return read_record(disk, SNAPSHOT, Snapshot)


def read_log(disk: Disk) -> Result[LogFile, Problem]:
    """Return what the log file holds; a torn end is left out.

    Errors:
        ``log-damaged`` with the offset if sound frames follow a damaged one or a
        part that had been synced is gone.
    """
    data = disk.read(LOG)
    header = frames.check_header(data, KINDS[LOG], LOG)
    if header.is_error():
        return _with_way_out(header.error)
    found = frames.scan(data)
    if found.is_damaged or not found.payloads:
        detail = f"damaged at offset {found.length}"
        return _with_way_out(Problem("log-damaged", detail, LOG))
    base = _decode(found.payloads[0], Base, LOG, frames.HEADER_BYTES)
    if base.is_error():
        return Error(base.error)
    synced = _synced_length(disk, base.ok.generation)
    if found.length < synced:
        detail = f"damaged at offset {found.length}, synced up to {synced}"
        return _with_way_out(Problem("log-damaged", detail, LOG))
    entries = _replay(base.ok, found.payloads[1:])
    if entries.is_error():
        return Error(entries.error)
    return Ok(LogFile(base.ok, entries.ok, found.length, found.is_torn))


def _synced_length(disk: Disk, generation: int) -> int:
    if SYNCED not in disk.names():
        return 0
    record = read_record(disk, SYNCED, SyncedLength)
    if record.is_error() or record.ok.generation != generation:
        return 0
    return record.ok.length


def _replay(
    base: Base, payloads: tuple[bytes, ...]
) -> Result[tuple[Entry, ...], Problem]:
    entries: list[Entry] = []
    for payload in payloads:
        batch = _decode(payload, tuple[Entry, ...], LOG, 0)
        if batch.is_error():
            return Error(batch.error)
        for entry in batch.ok:
            place = entry.log_index - base.log_index - 1
            if not 0 <= place <= len(entries):
                detail = f"entry {entry.log_index} does not follow the one before"
                return _with_way_out(Problem("log-gap", detail, LOG))
            del entries[place:]
            entries.append(entry)
    return Ok(tuple(entries))


def _decode(
    payload: bytes, record_type: Any, name: str, offset: int
) -> Result[Any, Problem]:
    try:
        return Ok(msgspec.msgpack.decode(payload, type=record_type))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        problem = Problem("file-content", f"at offset {offset}: {error}", name)
        return _with_way_out(problem)


def _with_way_out(problem: Problem) -> Result[Any, Problem]:
    return Error(problem._replace(detail=f"{problem.detail}; {WAY_OUT}"))
