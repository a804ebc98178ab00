"""Durable state of a consensus replica in one data folder."""

from __future__ import annotations

from typing import NamedTuple

from expression import Error, Ok, Result

from kumquatmux_agreement.entries import DurableState, Entry, Snapshot
from kumquatmux_agreement.events import Persist
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.problems import Problem
from kumquatmux_storage import files, frames
from kumquatmux_storage.disk import Disk, problem_from_os_error
from kumquatmux_storage.files import Identity, LogHeader, SyncedLength


class Store:
    """Open data folder of a replica.

    Attributes:
        disk: Files of the folder.
        identity: Cluster, VM and folder ID of the replica.
        restored: Durable state read when the folder was opened.
        entries: Entries currently in the log file.
        log_header: Header frame of the log file.
        length: Length of the log file in bytes.
        failure: Error of the first failed write, after which nothing is written, or
            None.
    """

    def __init__(
        self,
        disk: Disk,
        identity: Identity,
        restored: DurableState,
        log: files.LogFile,
    ) -> None:
        self.disk = disk
        self.identity = identity
        self.restored = restored
        self.entries = list(log.entries)
        self.log_header = log.base
        self.length = log.valid_bytes
        self.failure: Problem | None = None

    def write(self, persist: Persist) -> Result[None, Problem]:
        """Write a ``Persist`` event to disk and sync it before returning Ok.

        Errors:
            ``disk-full`` or ``disk-failed``. The content of the disk is then unknown
            until the folder is reopened, so every later write fails as well.
        """
        if self.failure is not None:
            return Error(self.failure)
        try:
            self._write(persist)
        except OSError as error:
            self.failure = problem_from_os_error(error, error.filename or "data folder")
            log_decision("storage-failed", problem=self.failure)
            return Error(self.failure)
        return Ok(None)

    def _write(self, persist: Persist) -> None:
        if persist.vote is not None:
            replace_record_file(self.disk, files.VOTE, persist.vote)
        if persist.snapshot is not None:
            self._write_snapshot(persist.snapshot, keep=persist.keep_entries)
        if persist.entries:
            self._append_entries(persist.entries)

    def _append_entries(self, entries: tuple[Entry, ...]) -> None:
        data = frames.encode_frame(files.encode_record(entries), self.length)
        self.disk.append(files.LOG, data)
        self.disk.sync(files.LOG)
        self.length += len(data)
        position = entries[0].log_index - self.log_header.previous_log_index - 1
        self.entries[position:] = entries
        self._record_synced_length()

    def _write_snapshot(self, snapshot: Snapshot, *, keep: bool) -> None:
        replace_record_file(self.disk, files.SNAPSHOT, snapshot)
        later_entries = [
            entry for entry in self.entries if entry.log_index > snapshot.log_index
        ]
        self.entries = later_entries if keep else []
        self.rewrite_log(snapshot)

    def rewrite_log(self, snapshot: Snapshot) -> None:
        """Rewrite the log file so that it starts after a snapshot."""
        generation = self.log_header.generation + 1
        self.log_header = LogHeader(generation, snapshot.log_index, snapshot.term)
        data = log_bytes(self.log_header, tuple(self.entries))
        _replace_atomically(self.disk, files.LOG, data)
        self.length = len(data)
        self._record_synced_length()

    def _record_synced_length(self) -> None:
        """Record how much of the log file is synced.

        The recorded length is not synced itself and may be out of date: it only helps
        to tell damage to synced data from an incomplete write.
        """
        synced_length = SyncedLength(self.log_header.generation, self.length)
        self.disk.replace(files.SYNCED, files.whole_file(files.SYNCED, synced_length))


class FolderContent(NamedTuple):
    """Decoded and checked content of a data folder.

    Attributes:
        state: Vote, snapshot and the entries after the snapshot.
        log_file: Content of the log file.
    """

    state: DurableState
    log_file: files.LogFile


def open_or_create(
    disk: Disk, identity: Identity, initial_state: DurableState
) -> Result[Store, Problem]:
    """Open a data folder, or create it if it is empty.

    Args:
        disk: Files of the folder.
        identity: Cluster and VM that the folder must belong to, and the folder ID
            that it gets if it is created.
        initial_state: State of a new folder: ``founding_state`` on the one VM that
            bootstraps a cluster, ``joining_state`` on every other VM.

    Errors:
        ``folder-of-another`` if the folder belongs to another VM or cluster, or an
        error of ``open_store`` or ``create_store``.
    """
    opened = open_store(disk)
    if opened.is_error():
        return Error(opened.error)
    store = opened.ok
    if store is None:
        return create_store(disk, identity, initial_state)
    stored = store.identity
    if (stored.cluster, stored.vm) != (identity.cluster, identity.vm):
        owner = f"VM {stored.vm} of cluster {stored.cluster}"
        detail = f"the folder belongs to {owner}; {files.RECOVERY_ADVICE}"
        return Error(Problem("folder-of-another", detail, files.IDENTITY))
    return Ok(store)


def open_store(disk: Disk) -> Result[Store | None, Problem]:
    """Open a data folder, or return None if it is empty or its creation failed early.

    An incomplete write at the end of the log, as left by a crash, is truncated.

    Errors:
        ``file-missing``, ``file-damaged``, ``log-damaged`` or a similar code, with the
        file and, for damage, the offset; the folder is then left unchanged. An
        ``OSError`` becomes ``disk-full`` or ``disk-failed``.
    """
    try:
        return _open_existing(disk)
    except OSError as error:
        return Error(problem_from_os_error(error, error.filename or "data folder"))


def create_store(
    disk: Disk, identity: Identity, initial_state: DurableState
) -> Result[Store, Problem]:
    """Create a data folder; the identity is written last and completes the creation.

    Errors:
        ``disk-full`` or ``disk-failed``.
    """
    log_header = LogHeader(
        1, initial_state.snapshot.log_index, initial_state.snapshot.term
    )
    data = log_bytes(log_header, initial_state.entries)
    try:
        replace_record_file(disk, files.VOTE, initial_state.vote)
        replace_record_file(disk, files.SNAPSHOT, initial_state.snapshot)
        _replace_atomically(disk, files.LOG, data)
        replace_record_file(disk, files.IDENTITY, identity)
    except OSError as error:
        return Error(problem_from_os_error(error, error.filename or "data folder"))
    log_decision(
        "storage-created",
        cluster=identity.cluster,
        vm=identity.vm,
        folder=identity.folder,
    )
    log = files.LogFile(
        log_header, initial_state.entries, len(data), has_incomplete_write=False
    )
    return Ok(Store(disk, identity, initial_state, log))


def replace_record_file(disk: Disk, name: str, record: NamedTuple) -> None:
    """Atomically replace a file that stores a single record."""
    _replace_atomically(disk, name, files.whole_file(name, record))


def log_bytes(log_header: LogHeader, entries: tuple[Entry, ...]) -> bytes:
    """Return the content of a log file with a header frame and entries."""
    data = frames.encode_file_header(files.FILE_KINDS[files.LOG])
    data += frames.encode_frame(files.encode_record(log_header), len(data))
    if entries:
        data += frames.encode_frame(files.encode_record(entries), len(data))
    return data


def _open_existing(disk: Disk) -> Result[Store | None, Problem]:
    existing_files = set(disk.names())
    required_files = {files.VOTE, files.SNAPSHOT, files.LOG}
    if files.IDENTITY not in existing_files:
        return _check_without_identity(disk, existing_files & required_files)
    missing = sorted(required_files - existing_files)
    if missing:
        detail = f"missing although the folder has an identity; {files.RECOVERY_ADVICE}"
        return Error(Problem("file-missing", detail, missing[0]))
    identity = files.read_record(disk, files.IDENTITY, Identity)
    if identity.is_error():
        return Error(identity.error)
    content = _read_content(disk)
    if content.is_error():
        return Error(content.error)
    log = content.ok.log_file
    if log.has_incomplete_write:
        disk.truncate(files.LOG, log.valid_bytes)
        disk.sync(files.LOG)
        log_decision("storage-cut", file=files.LOG, offset=log.valid_bytes)
    state = content.ok.state
    store = Store(disk, identity.ok, state, log._replace(entries=state.entries))
    if state.snapshot.log_index > log.base.previous_log_index:
        store.rewrite_log(state.snapshot)
    return Ok(store)


def _check_without_identity(
    disk: Disk, existing_files: set[str]
) -> Result[Store | None, Problem]:
    """Return None for an empty or partly created folder.

    Errors:
        ``identity-missing`` if the log or vote is in use or unreadable, which means
        that the identity was lost.
    """
    is_new = files.LOG not in existing_files or _is_unused_log(disk)
    has_voted = files.VOTE in existing_files and _has_voted(disk)
    if is_new and not has_voted:
        return Ok(None)
    detail = f"missing although the folder has a log or vote; {files.RECOVERY_ADVICE}"
    return Error(Problem("identity-missing", detail, files.IDENTITY))


def _is_unused_log(disk: Disk) -> bool:
    log = files.read_log(disk)
    return log.is_ok() and not log.ok.entries and log.ok.base.previous_log_index == 0


def _has_voted(disk: Disk) -> bool:
    vote = files.read_vote(disk)
    return vote.is_error() or vote.ok.term > 0


def _read_content(disk: Disk) -> Result[FolderContent, Problem]:
    vote = files.read_vote(disk)
    if vote.is_error():
        return Error(vote.error)
    snapshot = files.read_snapshot(disk)
    if snapshot.is_error():
        return Error(snapshot.error)
    log = files.read_log(disk)
    if log.is_error():
        return Error(log.error)
    if snapshot.ok.log_index < log.ok.base.previous_log_index:
        detail = f"older than the log's first entry; {files.RECOVERY_ADVICE}"
        return Error(Problem("snapshot-old", detail, files.SNAPSHOT))
    entries = _entries_after_snapshot(snapshot.ok, log.ok)
    return Ok(FolderContent(DurableState(vote.ok, snapshot.ok, entries), log.ok))


def _entries_after_snapshot(
    snapshot: Snapshot, log: files.LogFile
) -> tuple[Entry, ...]:
    """Return the log entries after a snapshot, which may be newer than the log header.

    If the log does not contain the snapshot's last entry, no entries are returned.
    """
    if snapshot.log_index == log.base.previous_log_index:
        return log.entries
    position = snapshot.log_index - log.base.previous_log_index
    has_snapshot_entry = (
        position <= len(log.entries) and log.entries[position - 1].term == snapshot.term
    )
    return log.entries[position:] if has_snapshot_entry else ()


def _replace_atomically(disk: Disk, name: str, data: bytes) -> None:
    """Atomically replace a file: a crash leaves the old or the new content."""
    temporary = name + files.TEMPORARY_SUFFIX
    disk.replace(temporary, data)
    disk.sync(temporary)
    disk.rename(temporary, name)
    disk.sync_names()
