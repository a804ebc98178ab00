"""File with the records of all backend servers, loaded after a restart.

The file is only a cache: servers soon report again, so an unreadable file is ignored.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
import xxhash
from expression import Error, Ok, Result

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.problems import DETAIL_CHARACTERS, Problem
from kumquatmux_registry.records import ServerRecord

FILE_NAME = "servers"
TEMPORARY_FILE_NAME = "servers.tmp"
CHECKSUM_BYTES = 8


class FileStorage(Protocol):
    """File operations required of a disk; every method may raise ``OSError``."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def replace(self, name: str, data: bytes) -> None:
        """Overwrite a file from its start, creating it if it is missing."""

    def sync(self, name: str) -> None:
        """Flush the content of a file to stable storage."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file that has the new name."""

    def sync_names(self) -> None:
        """Flush created and renamed file names to stable storage."""


def encode(records: list[ServerRecord]) -> bytes:
    """Encode records as file content, preceded by a checksum."""
    data = msgspec.msgpack.encode(records)
    return xxhash.xxh3_64_digest(data) + data


def decode(data: bytes) -> Result[list[ServerRecord], Problem]:
    """Decode the records from the content of a file.

    A record that another version wrote in another format is left out; the others
    hold.

    Errors:
        ``file-damaged`` if the checksum does not match, as after a truncated or torn
        write, or if the content is no list.
    """
    body = data[CHECKSUM_BYTES:]
    if xxhash.xxh3_64_digest(body) != data[:CHECKSUM_BYTES]:
        return Error(Problem("file-damaged", "checksum does not match", FILE_NAME))
    try:
        values = msgspec.msgpack.decode(body, type=list[msgspec.Raw])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Error(Problem("file-damaged", str(error), FILE_NAME))
    except RecursionError:
        return Error(Problem("file-damaged", "nested too deep", FILE_NAME))
    records = (_decode_record(value) for value in values)
    return Ok([record for record in records if record is not None])


def _decode_record(value: msgspec.Raw) -> ServerRecord | None:
    try:
        return msgspec.msgpack.decode(value, type=ServerRecord)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        detail = str(error)[:DETAIL_CHARACTERS]
        problem = Problem("file-damaged", detail, FILE_NAME)
        log_decision("servers-unread", problem=problem)
        return None


class SavedServers:
    """Loads and saves the server records on one disk."""

    def __init__(self, files: FileStorage) -> None:
        self.files = files

    def load(self) -> list[ServerRecord]:
        """Return the saved records, or an empty list if they cannot be read."""
        try:
            if FILE_NAME not in self.files.names():
                return []
            decoded = decode(self.files.read(FILE_NAME))
        except OSError as error:
            log_decision("servers-unread", problem=error)
            return []
        if decoded.is_error():
            log_decision("servers-unread", problem=decoded.error)
            return []
        return decoded.ok

    def save(self, records: list[ServerRecord]) -> None:
        """Save records atomically; a disk error is logged and otherwise ignored."""
        try:
            self.files.replace(TEMPORARY_FILE_NAME, encode(records))
            self.files.sync(TEMPORARY_FILE_NAME)
            self.files.rename(TEMPORARY_FILE_NAME, FILE_NAME)
            self.files.sync_names()
        except OSError as error:
            log_decision("servers-unsaved", problem=error)
