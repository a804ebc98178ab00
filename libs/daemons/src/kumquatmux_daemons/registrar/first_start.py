"""The note in a data folder that its VM founds the cluster, and with whom.

A VM is told so at its first start only. The note is written before the program's large
imports, so that a process that ends while it starts leaves it to the next one. Nothing
but the standard library is imported for that.
"""

from __future__ import annotations

import os
import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from kumquatmux_core.identity import VmId
    from kumquatmux_storage.disk import Disk

FILE_NAME = "first-start"
TEMPORARY_FILE_NAME = "first-start.tmp"
FOLDER_MODE = 0o700
FILE_MODE = 0o600


def note_founders(folder: Path | str, founders: tuple[VmId, ...]) -> None:
    """Note durably with whom this VM founds the cluster, unless a note is there.

    Args:
        folder: Data folder, which is created if it does not exist.
        founders: All founding VMs.

    Raises:
        OSError: If the disk takes no writes.
    """
    os.makedirs(folder, mode=FOLDER_MODE, exist_ok=True)
    names = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        if FILE_NAME in os.listdir(folder):
            return
        _write(os.path.join(folder, TEMPORARY_FILE_NAME), _encode(founders))
        os.replace(
            os.path.join(folder, TEMPORARY_FILE_NAME), os.path.join(folder, FILE_NAME)
        )
        os.fsync(names)
    finally:
        os.close(names)


def noted_founders(disk: Disk) -> tuple[VmId, ...]:
    """Return with whom this VM founds the cluster; none if no sound note is there.

    Raises:
        OSError: If the disk cannot be read.
    """
    if FILE_NAME not in disk.names():
        return ()
    return _decode(disk.read(FILE_NAME))


def _write(path: str, data: bytes) -> None:
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    try:
        os.write(file, data)
        os.fsync(file)
    finally:
        os.close(file)


def _encode(founders: tuple[VmId, ...]) -> bytes:
    body = "\n".join(founders).encode()
    return b"%08x\n" % zlib.crc32(body) + body


def _decode(data: bytes) -> tuple[VmId, ...]:
    checksum, _, body = data.partition(b"\n")
    if checksum != b"%08x" % zlib.crc32(body):
        return ()
    try:
        names: list[VmId] = body.decode().split("\n")  # type: ignore[assignment]
    except UnicodeDecodeError:
        return ()
    return tuple(names)
