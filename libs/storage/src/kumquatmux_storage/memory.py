"""In-memory disk that simulates write errors and loss of unsynced data."""

from __future__ import annotations

import errno
from random import Random

SECTOR_BYTES = 512


class Crashed(Exception):
    """Raised where a simulated crash interrupts a disk operation."""


class MemoryFile:
    """Current and last synced content of one file.

    Attributes:
        data: Current content, as the process reads it.
        synced_data: Content at the last sync.
    """

    def __init__(self) -> None:
        self.data = b""
        self.synced_data = b""


class MemoryDisk:
    """In-memory implementation of ``Disk`` with simulated faults.

    Attributes:
        files: Files by current name, as the process sees them.
        synced_files: Files by name at the last sync of the names.
        operations: Number of operation steps so far; a write, truncation or rename
            counts as one step, a sync as two: before and after it takes effect.
        crash_at: Operation step at which ``Crashed`` is raised, or -1 for none.
        is_full: Whether each write stores half of its data and fails with ENOSPC.
        full_at: Operation step at which the disk becomes full, or -1 for none.
        fails_sync: Whether each sync fails with EIO.
    """

    def __init__(self) -> None:
        self.files: dict[str, MemoryFile] = {}
        self.synced_files: dict[str, MemoryFile] = {}
        self.operations = 0
        self.crash_at = -1
        self.is_full = False
        self.full_at = -1
        self.fails_sync = False

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.files[name].data

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it does not exist."""
        file = self.files.setdefault(name, MemoryFile())
        file.data += self._stored_part(data)
        self._raise_if_full()
        self._count_operation()

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file, which is created if it does not exist."""
        file = self.files.setdefault(name, MemoryFile())
        file.data = self._stored_part(data)
        self._raise_if_full()
        self._count_operation()

    def truncate(self, name: str, length: int) -> None:
        """Truncate a file to a length in bytes."""
        self.files[name].data = self.files[name].data[:length]
        self._count_operation()

    def sync(self, name: str) -> None:
        """Flush the content of a file to durable storage."""
        self._count_operation()
        if self.fails_sync:
            raise OSError(errno.EIO, "input/output error", name)
        file = self.files[name]
        file.synced_data = file.data
        self._count_operation()

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file that has the new name."""
        self.files[new] = self.files.pop(old)
        self._count_operation()

    def sync_names(self) -> None:
        """Flush created and renamed file names to durable storage."""
        self._count_operation()
        if self.fails_sync:
            raise OSError(errno.EIO, "input/output error", "folder")
        self.synced_files = dict(self.files)
        self._count_operation()

    def crash(self, random: Random) -> None:
        """Simulate a crash that loses a random part of the unsynced changes.

        All simulated faults are cleared.
        """
        if random.random() < 0.5:
            self.files = dict(self.synced_files)
        for file in self.files.values():
            file.data = _content_after_crash(file, random)
            file.synced_data = file.data
        self.synced_files = dict(self.files)
        self.crash_at = -1
        self.is_full = False
        self.fails_sync = False

    def wipe(self) -> None:
        """Delete all files and reset all faults and counters."""
        self.__init__()  # type: ignore[misc]

    def _stored_part(self, data: bytes) -> bytes:
        """Return the part of the data that fits: the first half on a full disk."""
        return data[: len(data) // 2] if self.is_full else data

    def _raise_if_full(self) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left on device")

    def _count_operation(self) -> None:
        """Count an operation step and raise ``Crashed`` if it is the chosen one."""
        self.operations += 1
        if self.operations == self.full_at:
            self.is_full = True
        if self.operations == self.crash_at:
            raise Crashed(f"simulated crash at operation {self.operations}")


def _content_after_crash(file: MemoryFile, random: Random) -> bytes:
    """Return the content left by a crash: a random part of the unsynced data.

    The unsynced data may be truncated, and sectors of it may be zeroed.
    """
    if not file.data.startswith(file.synced_data):
        return random.choice((file.data, file.synced_data))
    length = random.randint(len(file.synced_data), len(file.data))
    data = file.data[:length]
    if random.random() < 0.5:
        return data
    first_sector = -(-len(file.synced_data) // SECTOR_BYTES) * SECTOR_BYTES
    for start in range(first_sector, length, SECTOR_BYTES):
        if random.random() < 0.5:
            end = min(start + SECTOR_BYTES, length)
            data = data[:start] + bytes(end - start) + data[end:]
    return data
