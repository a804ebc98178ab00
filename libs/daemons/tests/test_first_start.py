from __future__ import annotations

import zlib

import pytest

from kumquatmux_daemons.registrar.first_start import FILE_NAME, noted_founders
from kumquatmux_storage.memory import MemoryDisk


def disk_with_note(body):
    disk = MemoryDisk()
    disk.replace(FILE_NAME, b"%08x\n" % zlib.crc32(body) + body)
    return disk


def test_a_sound_note_names_the_founders():
    disk = disk_with_note(b"10.1.0.1\n10.2.0.1")
    assert noted_founders(disk) == ("10.1.0.1", "10.2.0.1")


# Guards against a note of another program that ends each start of a control VM.
@pytest.mark.parametrize("body", [b"\xff", b"10.1.0.1\n\xc3\x28", bytes(range(256))])
def test_a_note_that_is_no_text_is_ignored_whatever_its_checksum(body):
    assert noted_founders(disk_with_note(body)) == ()
