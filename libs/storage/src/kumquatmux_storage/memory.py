"""A disk in memory that forgets what was not synced, for tests of failures."""

from __future__ import annotations

import errno
from random import Random

SECTOR_BYTES = 512


class Crashed(Exception):
    """The process stopped in the middle of an operation on the disk."""


class MemoryFile:
    """One file: its content now, and what a crash leaves.

    Attributes:
        data: Content as the process sees it.
        synced: Content as it was synced last.
    """

    def __init__(self) -> None:
        self.data = b""
        self.synced = b""


class MemoryDisk:
    """Files in memory with the faults of a disk.

    Attributes:
        files: Files by name as the process sees them.
        synced_names: Files by name as a crash leaves them.
        operations: How many writes, syncs, renames and cuts there were.
        crash_at: The operation at which the process stops, -1 for none.
        is_full: Whether writes fail halfway.
        fails_sync: Whether the next syncs fail.
    """

    def __init__(self) -> None:
        self.files: dict[str, MemoryFile] = {}
        self.synced_names: dict[str, MemoryFile] = {}
        self.operations = 0
        self.crash_at = -1
        self.is_full = False
        self.fails_sync = False

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return a whole file."""
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.files[name].data

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file."""
        file = self.files.setdefault(name, MemoryFile())
        file.data += self._writable(data)
        self._check_room()
        self._step()

    def replace(self, name: str, data: bytes) -> None:
        """Overwrite a file from its start."""
        file = self.files.setdefault(name, MemoryFile())
        file.data = self._writable(data)
        self._check_room()
        self._step()

    def truncate(self, name: str, length: int) -> None:
        """Cut a file to a length in bytes."""
        self.files[name].data = self.files[name].data[:length]
        self._step()

    def sync(self, name: str) -> None:
        """Make the content of a file last."""
        self._step()
        if self.fails_sync:
            raise OSError(errno.EIO, "input/output error", name)
        file = self.files[name]
        file.synced = file.data
        self._step()

    def rename(self, old: str, new: str) -> None:
        """Give a file another name."""
        self.files[new] = self.files.pop(old)
        self._step()

    def sync_names(self) -> None:
        """Make the names of all files last."""
        self._step()
        if self.fails_sync:
            raise OSError(errno.EIO, "input/output error", "folder")
        self.synced_names = dict(self.files)
        self._step()

    def crash(self, random: Random) -> None:
        """Lose what was not synced, or some of it; bytes may come out wrong."""
        if random.random() < 0.5:
            self.files = dict(self.synced_names)
        for file in self.files.values():
            file.data = _torn(file, random)
            file.synced = file.data
        self.synced_names = dict(self.files)
        self.crash_at = -1
        self.is_full = False
        self.fails_sync = False

    def wipe(self) -> None:
        """Lose every file."""
        self.__init__()  # type: ignore[misc]

    def _writable(self, data: bytes) -> bytes:
        return data[: len(data) // 2] if self.is_full else data

    def _check_room(self) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left on device")

    def _step(self) -> None:
        self.operations += 1
        if self.operations == self.crash_at:
            raise Crashed(f"at operation {self.operations}")


def _torn(file: MemoryFile, random: Random) -> bytes:
    """Return what a crash leaves of a file: perhaps cut, perhaps lacking sectors."""
    if not file.data.startswith(file.synced):
        return random.choice((file.data, file.synced))
    length = random.randint(len(file.synced), len(file.data))
    data = file.data[:length]
    if random.random() < 0.5:
        return data
    first = -(-len(file.synced) // SECTOR_BYTES) * SECTOR_BYTES
    for start in range(first, length, SECTOR_BYTES):
        if random.random() < 0.5:
            end = min(start + SECTOR_BYTES, length)
            data = data[:start] + bytes(end - start) + data[end:]
    return data
