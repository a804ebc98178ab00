from __future__ import annotations

from random import Random

import msgspec
import pytest
import xxhash
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


def file_of(*values):
    data = msgspec.msgpack.encode(values)
    return xxhash.xxh3_64_digest(data) + data


# Guards against one record that hides all others after a restart.
@pytest.mark.parametrize(
    "odd",
    [
        None,
        "x",
        [],
        {},
        [[["i-1"]]],
        [1, 2, 3],
        msgspec.msgpack.Ext(1, b"\xff" * 16),
        msgspec.msgpack.encode(RECORD),
        RECORD._replace(doubts="x"),
        RECORD._replace(doubts=1e300),
        RECORD._replace(report=RECORD.report._replace(phase=9)),
        RECORD._replace(report=RECORD.report._replace(endpoint=["10.0.0.9"])),
    ],
)
def test_a_record_that_cannot_be_read_hides_no_other(odd):
    disk = MemoryDisk()
    disk.replace(FILE_NAME, file_of(RECORD, odd, RECORD))
    assert SavedServers(disk).load() == [RECORD, RECORD]


# Guards against a file that ends each start of the program.
@pytest.mark.parametrize(
    "body",
    [b"\x91" * 100_000, b"\x91" * 100_000 + b"\x01", b"\x01", b"\x81\x01\x02", b""],
)
def test_a_file_with_its_checksum_and_no_list_is_ignored(body):
    disk = MemoryDisk()
    disk.replace(FILE_NAME, xxhash.xxh3_64_digest(body) + body)
    assert SavedServers(disk).load() == []


# Guards against contents that no one thought of.
@given(st.binary(max_size=60))
def test_any_content_with_its_checksum_is_read_or_refused(body):
    decode(xxhash.xxh3_64_digest(body) + body)
