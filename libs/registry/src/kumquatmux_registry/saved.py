"""The records of backend servers in a file, so that a restart knows them at once.

The file is a help, not the truth: servers report again soon, and what cannot be read
is left out.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
import xxhash
from expression import Error, Ok, Result

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.problems import Problem
from kumquatmux_registry.records import ServerRecord

NAME = "servers"
TEMPORARY = "servers.tmp"
CHECK_BYTES = 8


class Files(Protocol):
    """What is needed of a disk; every method may raise ``OSError``."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return a whole file."""

    def replace(self, name: str, data: bytes) -> None:
        """Overwrite a file from its start, which is made if it is missing."""

    def sync(self, name: str) -> None:
        """Make the content of a file last."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in place of a file that has it."""


def encode(records: list[ServerRecord]) -> bytes:
    """Return records as the content of a file."""
    data = msgspec.msgpack.encode(records)
    return xxhash.xxh3_64_digest(data) + data


def decode(data: bytes) -> Result[list[ServerRecord], Problem]:
    """Return the records in a file.

    Errors:
        ``file-damaged`` if it was cut short, torn or written by another version.
    """
    body = data[CHECK_BYTES:]
    if xxhash.xxh3_64_digest(body) != data[:CHECK_BYTES]:
        return Error(Problem("file-damaged", "checksum does not match", NAME))
    try:
        return Ok(msgspec.msgpack.decode(body, type=list[ServerRecord]))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Error(Problem("file-damaged", str(error), NAME))


class SavedServers:
    """The file of records on one disk."""

    def __init__(self, files: Files) -> None:
        self.files = files

    def load(self) -> list[ServerRecord]:
        """Return what was saved, nothing if it cannot be read."""
        try:
            if NAME not in self.files.names():
                return []
            decoded = decode(self.files.read(NAME))
        except OSError as error:
            log_decision("servers-unread", problem=error)
            return []
        if decoded.is_error():
            log_decision("servers-unread", problem=decoded.error)
            return []
        return decoded.ok

    def save(self, records: list[ServerRecord]) -> None:
        """Save records; a disk that takes none is logged and otherwise ignored."""
        try:
            self.files.replace(TEMPORARY, encode(records))
            self.files.sync(TEMPORARY)
            self.files.rename(TEMPORARY, NAME)
        except OSError as error:
            log_decision("servers-unsaved", problem=error)
