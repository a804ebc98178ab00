from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_agreement.entries import (
    Configuration,
    Entry,
    EntryKind,
    ReplicaId,
    Snapshot,
    VoteRecord,
    founding_state,
    joining_state,
)
from kumquatmux_agreement.events import Persist
from kumquatmux_storage import files, frames
from kumquatmux_storage.memory import Crashed, MemoryDisk
from kumquatmux_storage.store import Identity, open_or_create, open_store

REPLICA = ReplicaId("a", "f1")
IDENTITY = Identity("lab", "a", "f1")
VOTERS = Configuration(("a",), (REPLICA,))


def entry(index, term=1, data=b"payload"):
    return Entry(index, term, EntryKind.DATA, data)


def snapshot(index, term=1):
    return Snapshot(index, term, VOTERS, b"state")


WRITES = (
    Persist(1, vote=VoteRecord(1, REPLICA)),
    Persist(2, entries=(entry(1), entry(2))),
    Persist(3, entries=(entry(3, data=b"z" * 2000),)),
    Persist(4, entries=(entry(3, 2), entry(4, 2))),
    Persist(5, snapshot=snapshot(2)),
    Persist(6, vote=VoteRecord(3), entries=(entry(5, 3),)),
    Persist(7, snapshot=snapshot(9, 3), keep_entries=False),
    Persist(8, entries=(entry(10, 3),)),
)


def new_store():
    disk = MemoryDisk()
    return disk, open_or_create(disk, IDENTITY, founding_state(REPLICA, ("a",))).ok


def state_after(steps):
    """Return the state read back after the given writes."""
    disk, store = new_store()
    for step in steps:
        assert store.write(step).is_ok()
    return open_store(disk).ok.restored


def flip_byte(disk, name, place):
    data = disk.files[name].data
    other = bytes((data[place] ^ 0xFF,))
    disk.files[name].data = data[:place] + other + data[place + 1 :]


def test_written_state_is_read_back():
    state = state_after(WRITES[:6])
    assert state.vote == VoteRecord(3)
    assert state.snapshot == snapshot(2)
    assert state.entries == (entry(3, 2), entry(4, 2), entry(5, 3))
    assert state_after(WRITES).entries == (entry(10, 3),)


def count_operations():
    disk, store = new_store()
    creation_operations = disk.operations
    for step in WRITES:
        store.write(step)
    return creation_operations, disk.operations


CREATION_OPERATIONS, TOTAL_OPERATIONS = count_operations()


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("point", range(CREATION_OPERATIONS + 1, TOTAL_OPERATIONS + 1))
def test_crash_at_any_disk_operation_keeps_synced_data(point, seed):
    disk, store = new_store()
    disk.crash_at = point
    done = 0
    with pytest.raises(Crashed):
        for step in WRITES:
            assert store.write(step).is_ok()
            done += 1
    disk.crash(Random(seed * 1000 + point))
    found = open_store(disk).ok
    partial = WRITES[done]._replace(entries=())
    allowed = (state_after(WRITES[:done]), state_after(WRITES[: done + 1]))
    assert found.restored in (*allowed, state_after((*WRITES[:done], partial)))
    rest = WRITES[done:]
    assert all(found.write(step).is_ok() for step in rest)
    assert open_store(disk).ok.restored == state_after(WRITES)


@pytest.mark.parametrize("seed", range(4))
def test_folder_can_be_opened_or_created_after_crash_during_creation(seed):
    for point in range(1, CREATION_OPERATIONS + 1):
        disk = MemoryDisk()
        disk.crash_at = point
        with pytest.raises(Crashed):
            open_or_create(disk, IDENTITY, founding_state(REPLICA, ("a",)))
        disk.crash(Random(seed * 1000 + point))
        opened = open_or_create(disk, IDENTITY, founding_state(REPLICA, ("a",)))
        assert opened.ok.restored == founding_state(REPLICA, ("a",))


def test_any_damaged_byte_is_detected_or_does_not_change_the_state():
    disk, store = new_store()
    for step in WRITES[:6]:
        store.write(step)
    whole = store.disk.files
    expected = open_store(disk).ok.restored
    for name in (files.IDENTITY, files.VOTE, files.SNAPSHOT, files.LOG):
        for place in range(len(whole[name].data)):
            before = whole[name].data
            flip_byte(disk, name, place)
            opened = open_store(disk)
            if opened.is_ok():
                assert opened.ok.restored == expected, (name, place)
            else:
                assert opened.error.subject == name
            whole[name].data = before


def test_damage_to_last_record_is_not_taken_for_an_incomplete_write():
    disk, store = new_store()
    store.write(WRITES[1])
    del disk.files[files.SYNCED]
    length = len(disk.files[files.LOG].data)
    for place in range(length - 20, length):
        flip_byte(disk, files.LOG, place)
        assert open_store(disk).error.code == "log-damaged"
        flip_byte(disk, files.LOG, place)


def test_incomplete_write_at_log_end_is_truncated_and_overwritten():
    disk, store = new_store()
    store.write(WRITES[1])
    disk.files[files.LOG].data += frames.encode_frame(b"unfinished", store.length)[:-3]
    again = open_store(disk).ok
    assert again.restored.entries == (entry(1), entry(2))
    assert again.write(Persist(9, entries=(entry(3),))).is_ok()
    assert len(open_store(disk).ok.restored.entries) == 3


@pytest.mark.parametrize("lost", range(1, 5))
def test_zeroed_bytes_in_last_sector_are_an_incomplete_write(lost):
    disk, store = new_store()
    payload = bytes(frames.SECTOR_BYTES + lost)
    room = len(payload) - len(frames.encode_frame(payload, store.length))
    size = (room - store.length + lost - 1) % frames.SECTOR_BYTES + 1
    frame = frames.encode_frame(b"\xff" * size, store.length)
    whole = disk.files[files.LOG].data + frame
    assert len(whole) % frames.SECTOR_BYTES == lost
    disk.files[files.LOG].data = whole[:-lost] + bytes(lost)
    again = open_store(disk)
    assert again.is_ok(), again
    assert again.ok.restored == new_store()[1].restored


def test_missing_synced_data_is_reported_with_its_offset():
    disk, store = new_store()
    store.write(WRITES[1])
    length = store.length
    store.write(WRITES[2])
    disk.truncate(files.LOG, length)
    problem = open_store(disk).error
    assert problem.code == "log-damaged"
    assert f"offset {length}" in problem.detail
    assert "move this data folder away" in problem.detail


@pytest.mark.parametrize(
    ("name", "code"),
    [
        (files.VOTE, "file-missing"),
        (files.SNAPSHOT, "file-missing"),
        (files.LOG, "file-missing"),
        (files.IDENTITY, "identity-missing"),
    ],
)
def test_folder_with_missing_file_is_not_opened(name, code):
    disk, store = new_store()
    store.write(WRITES[0])
    store.write(WRITES[1])
    del disk.files[name]
    assert open_store(disk).error.code == code


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"", "file-short"),
        (b"NOTSUCHAFILE", "file-kind"),
        (b"KQMX\x01\x04\x00\x00", "file-version"),
        (b"KQMX\x03\x04\x00\x00", "file-version"),
        (b"KQMX\x02\x04\x00\x00", "log-damaged"),
    ],
)
def test_folder_with_unreadable_log_is_not_opened(data, code):
    disk, _ = new_store()
    disk.files[files.LOG].data = data
    assert open_store(disk).error.code == code


def test_recreated_folder_is_a_different_replica():
    disk, store = new_store()
    store.write(WRITES[0])
    disk.wipe()
    assert open_store(disk).ok is None
    again = Identity("lab", "a", "f2")
    opened = open_or_create(disk, again, joining_state()).ok
    assert opened.identity.folder == "f2"
    assert opened.restored.snapshot.configuration.voters == ()


@pytest.mark.parametrize("other", [("other", "a"), ("lab", "b")])
def test_folder_of_another_vm_or_cluster_is_not_opened(other):
    disk, _ = new_store()
    opened = open_or_create(disk, Identity(*other, "f9"), joining_state())
    assert opened.error.code == "folder-of-another"


@pytest.mark.parametrize(
    ("fault", "code"), [("is_full", "disk-full"), ("fails_sync", "disk-failed")]
)
@pytest.mark.parametrize("step", WRITES[:2] + WRITES[4:5])
def test_no_write_succeeds_after_a_failed_write(fault, code, step):
    disk, store = new_store()
    store.write(WRITES[1])
    before = open_store(disk).ok.restored
    setattr(disk, fault, True)
    assert store.write(step).error.code == code
    setattr(disk, fault, False)
    assert store.write(step).error.code == code
    disk.crash(Random(1))
    assert open_store(disk).ok.restored == before


@given(st.binary(max_size=200))
def test_arbitrary_bytes_at_log_end_raise_no_exception(tail):
    disk, store = new_store()
    store.write(WRITES[1])
    disk.files[files.LOG].data += tail
    opened = open_store(disk)
    assert opened.is_error() or opened.ok.restored.entries == (entry(1), entry(2))
