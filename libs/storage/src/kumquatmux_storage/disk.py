"""Interface to the files of a data folder, and its file system implementation."""

from __future__ import annotations

import errno
import fcntl
import os
import stat
from pathlib import Path
from typing import Protocol

from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem

LOCK_FILE_NAME = "lock"
MAX_FILE_BYTES = 1 << 30
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class Disk(Protocol):
    """Interface to the files of one folder; every method may raise ``OSError``.

    Written data is durable only after the file is synced; created, renamed and removed
    file names are durable only after the names are synced.
    """

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it does not exist."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file, which is created if it does not exist."""

    def truncate(self, name: str, length: int) -> None:
        """Truncate a file to a length in bytes."""

    def sync(self, name: str) -> None:
        """Flush the content of a file to durable storage."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file that has the new name."""

    def sync_names(self) -> None:
        """Flush created and renamed file names to durable storage."""


class FolderDisk:
    """Files of a file system folder that one process locks exclusively.

    Attributes:
        folder: Path of the folder.
    """

    def __init__(self, folder: Path, lock_descriptor: int) -> None:
        self.folder = folder
        self._lock_descriptor = lock_descriptor
        self._descriptors: dict[str, int] = {}

    def names(self) -> list[str]:
        """Return all names in the folder except that of the lock file."""
        found = (path.name for path in self.folder.iterdir())
        return sorted(name for name in found if name != LOCK_FILE_NAME)

    def read(self, name: str) -> bytes:
        """Return the content of a file, which is bounded in length."""
        path = self.folder / name
        status = path.stat()
        if not stat.S_ISREG(status.st_mode):
            raise OSError(errno.EINVAL, "it is not a file", str(path))
        if status.st_size > MAX_FILE_BYTES:
            raise OSError(errno.EFBIG, os.strerror(errno.EFBIG), str(path))
        return path.read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it does not exist."""
        file = self._descriptor(name)
        os.lseek(file, 0, os.SEEK_END)
        _write_all(file, data)

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file, which is created if it does not exist."""
        file = self._descriptor(name)
        os.lseek(file, 0, os.SEEK_SET)
        _write_all(file, data)
        os.ftruncate(file, len(data))

    def truncate(self, name: str, length: int) -> None:
        """Truncate a file to a length in bytes."""
        os.ftruncate(self._descriptor(name), length)

    def sync(self, name: str) -> None:
        """Flush the content of a file to durable storage."""
        os.fsync(self._descriptor(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file that has the new name."""
        self._close_file(new)
        self._close_file(old)
        os.replace(self.folder / old, self.folder / new)

    def sync_names(self) -> None:
        """Flush created and renamed file names to durable storage."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close all files and release the folder lock."""
        for name in list(self._descriptors):
            self._close_file(name)
        os.close(self._lock_descriptor)

    def _descriptor(self, name: str) -> int:
        """Return the descriptor of a file, which is opened or created if needed."""
        file = self._descriptors.get(name)
        if file is None:
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            file = os.open(self.folder / name, flags, 0o600)
            self._descriptors[name] = file
        return file

    def _close_file(self, name: str) -> None:
        file = self._descriptors.pop(name, None)
        if file is not None:
            os.close(file)


def open_folder(folder: Path) -> Result[FolderDisk, Problem]:
    """Open and lock a folder, which is created if it does not exist.

    Errors:
        ``folder-in-use`` if another process has locked it; ``disk-full`` or
        ``disk-failed`` if the folder or its lock file cannot be created.
    """
    try:
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        lock = os.open(folder / LOCK_FILE_NAME, flags, 0o600)
    except OSError as error:
        return Error(problem_from_os_error(error, str(folder)))
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        detail = "another process uses this data folder"
        return Error(Problem("folder-in-use", detail, str(folder)))
    return Ok(FolderDisk(folder, lock))


def problem_from_os_error(error: OSError, subject: str) -> Problem:
    """Convert an operating system error to a ``Problem``."""
    if error.errno in DISK_FULL_ERRNOS:
        detail = "the disk is full; free space and restart this process"
        return Problem("disk-full", detail, subject)
    detail = f"the disk failed: {error.strerror or error}"
    return Problem("disk-failed", detail, subject)


def _write_all(file: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]
