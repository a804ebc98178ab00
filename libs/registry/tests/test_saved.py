from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.identity import Endpoint
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_registry.saved import FILE_NAME, SavedServers, decode, encode
from kumquatmux_storage.memory import MemoryDisk

ENDPOINT = Endpoint("10.0.0.9", 1)
RECORD = ServerRecord(
    Report(Lifetime("i-1", 1), 1, "entries", ENDPOINT, "a", "v1", 2, Phase.READY, 0.0),
    "c1",
    3,
)


def test_what_is_saved_is_loaded_after_a_crash():
    disk = MemoryDisk()
    SavedServers(disk).save([RECORD])
    disk.sync_names()
    disk.crash(Random(1))
    assert SavedServers(disk).load() == [RECORD]


def test_an_empty_disk_holds_no_servers():
    assert SavedServers(MemoryDisk()).load() == []


def test_full_disk_keeps_the_previous_file():
    disk = MemoryDisk()
    saved = SavedServers(disk)
    saved.save([RECORD])
    disk.is_full = True
    saved.save([RECORD, RECORD])
    assert saved.load() == [RECORD]


def test_damaged_file_is_ignored():
    disk = MemoryDisk()
    disk.replace(FILE_NAME, encode([RECORD])[:-1])
    assert SavedServers(disk).load() == []


@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(data):
    assert decode(data).is_error()
