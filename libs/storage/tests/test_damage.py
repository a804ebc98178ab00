"""Damaged folders give a problem or a store, raise nothing and are left as they are."""

from __future__ import annotations

import os

import msgspec
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
)
from kumquatmux_agreement.events import Persist
from kumquatmux_storage import files, frames
from kumquatmux_storage.disk import open_folder
from kumquatmux_storage.memory import MemoryDisk
from kumquatmux_storage.store import Identity, open_or_create, open_store

REPLICA = ReplicaId("10.0.0.1", "f1")
IDENTITY = Identity("lab", "10.0.0.1", "f1")
FOUNDED = founding_state(REPLICA, ("10.0.0.1",))
VOTERS = Configuration(("10.0.0.1",), (REPLICA,))
LOG_ENTRIES = tuple(Entry(index, 1, EntryKind.DATA, b"d" * 40) for index in (3, 4))
NAMES = sorted(files.FILE_KINDS)
HUGE = [1 << 62, (1 << 64) - 1, -1, -(1 << 63)]


def used_disk():
    disk = MemoryDisk()
    store = open_or_create(disk, IDENTITY, FOUNDED).ok
    store.write(Persist(1, vote=VoteRecord(1, REPLICA)))
    store.write(Persist(2, snapshot=Snapshot(2, 1, VOTERS, b"state")))
    store.write(Persist(3, entries=LOG_ENTRIES))
    return disk


def contents(disk):
    return {name: file.data for name, file in disk.files.items()}


def opened_unharmed(disk):
    """Open a folder; what gives a problem must be as it was."""
    before = contents(disk)
    opened = open_store(disk)
    if opened.is_error():
        assert contents(disk) == before
        assert "\n" not in str(opened.error) and len(str(opened.error)) < 500
    return opened


CHANGES = st.one_of(
    st.tuples(st.just("flip"), st.integers(0, 400), st.integers(1, 255)),
    st.tuples(st.just("cut"), st.integers(0, 400), st.just(0)),
    st.tuples(st.just("insert"), st.integers(0, 400), st.binary(max_size=40)),
    st.tuples(st.just("zero"), st.integers(0, 400), st.integers(1, 600)),
)


def changed(data, change):
    kind, place, what = change
    place %= len(data) + 1
    if kind == "flip":
        byte = data[place : place + 1] or b"\0"
        return data[:place] + bytes([byte[0] ^ what]) + data[place + 1 :]
    if kind == "cut":
        return data[:place]
    if kind == "insert":
        return data[:place] + what + data[place:]
    return data[:place] + bytes(what) + data[place + what :]


# Guards against damage that raises instead of giving a problem.
@given(st.lists(st.tuples(st.sampled_from(NAMES), CHANGES), min_size=1, max_size=3))
def test_damaged_bytes_give_a_problem_or_a_store(changes):
    disk = used_disk()
    for name, change in changes:
        disk.files[name].data = changed(disk.files[name].data, change)
    opened_unharmed(disk)


JSON_LIKE = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(1 << 63), (1 << 64) - 1),
        st.sampled_from(HUGE),
        st.floats(),
        st.text(max_size=9),
        st.binary(max_size=9),
    ),
    lambda inner: st.lists(inner, max_size=6),
    max_leaves=12,
)
RECORDS = {
    files.IDENTITY: st.tuples(st.text(max_size=9), st.text(max_size=9), st.text()),
    files.VOTE: st.tuples(st.sampled_from([0, 1, *HUGE]), JSON_LIKE),
    files.SNAPSHOT: st.tuples(
        st.sampled_from([0, 2, 3, *HUGE]),
        st.sampled_from([0, 1, *HUGE]),
        st.just(msgspec.to_builtins(VOTERS)),
        st.binary(max_size=9),
    ),
    files.LOG: st.tuples(*[st.sampled_from([0, 1, 2, *HUGE])] * 3),
    files.SYNCED: st.tuples(*[st.sampled_from([0, 1, 99, *HUGE])] * 2),
}


def file_of(name, payloads):
    data = frames.encode_file_header(files.FILE_KINDS[name])
    for payload in payloads:
        data += frames.encode_frame(payload, len(data))
    return data


# Guards against wrong content with a right checksum, and numbers that outgrow 64 bits.
@pytest.mark.parametrize("name", NAMES)
@given(st.data())
def test_wrong_content_with_a_right_checksum_gives_a_problem_or_a_store(name, data):
    disk = used_disk()
    payload = data.draw(st.one_of(RECORDS[name], JSON_LIKE).map(msgspec.msgpack.encode))
    batches = data.draw(st.lists(JSON_LIKE.map(msgspec.msgpack.encode), max_size=2))
    payloads = [payload, *batches] if name == files.LOG else [payload]
    disk.files[name].data = file_of(name, payloads)
    opened = opened_unharmed(disk)
    if opened.is_error() or opened.ok is None:
        return
    store = opened.ok
    assert 0 <= store.restored.vote.term < files.NUMBER_END
    next_term = store.restored.vote.term + 1
    assert store.write(Persist(1, vote=VoteRecord(next_term))).is_ok()


@pytest.mark.parametrize("number", HUGE)
def test_a_number_that_later_ones_cannot_be_counted_from_is_a_problem(number):
    disk = used_disk()
    payload = msgspec.msgpack.encode((number, None))
    disk.files[files.VOTE].data = file_of(files.VOTE, [payload])
    assert opened_unharmed(disk).error.code == "file-content"


@pytest.mark.parametrize(
    "payload", [b"\x91" * 100_000, b"\xdd" + b"\xff" * 4, b"\xc9" + b"\xff" * 5]
)
@pytest.mark.parametrize("name", NAMES)
def test_content_nested_or_long_without_end_is_a_problem(name, payload):
    disk = used_disk()
    disk.files[name].data = file_of(name, [payload])
    opened = opened_unharmed(disk)
    assert opened.is_ok() == (name == files.SYNCED)


# Guards against a folder in the place of a file, which looked like a new data folder.
@pytest.mark.parametrize("name", [files.IDENTITY, files.VOTE, files.SNAPSHOT])
@pytest.mark.parametrize("make", [os.mkdir, os.mkfifo])
def test_what_is_no_file_is_a_problem_and_nothing_is_written(tmp_path, name, make):
    disk = open_folder(tmp_path).ok
    open_or_create(disk, IDENTITY, FOUNDED)
    (tmp_path / name).unlink()
    make(tmp_path / name)
    before = {path.name: path.stat().st_mtime_ns for path in tmp_path.iterdir()}
    opened = open_or_create(disk, IDENTITY, FOUNDED)
    disk.close()
    assert opened.error.code == "disk-failed" and name in opened.error.subject
    after = {path.name: path.stat().st_mtime_ns for path in tmp_path.iterdir()}
    assert after == before


def test_a_file_that_is_too_long_is_not_read(tmp_path):
    disk = open_folder(tmp_path).ok
    open_or_create(disk, IDENTITY, FOUNDED)
    os.truncate(tmp_path / files.LOG, 1 << 40)
    assert open_store(disk).error.code == "disk-failed"
    disk.close()


def test_a_folder_of_another_vm_is_left_as_it_is():
    disk = used_disk()
    before = contents(disk)
    opened = open_or_create(disk, Identity("lab", "10.0.0.2", "f2"), FOUNDED)
    assert opened.error.code == "folder-of-another"
    assert "move this data folder away" in opened.error.detail
    assert contents(disk) == before


PIECES = st.lists(
    st.one_of(
        st.binary(max_size=30),
        st.integers(0, 40).map(bytes),
        st.sampled_from([b"\0\0\0\1", b"\0\0\1\0", b"\1" * 13, b"frame"]),
    ),
    max_size=6,
)


# Guards against a search for a whole frame that is fast because it misses one.
@given(PIECES, st.integers(0, 60))
def test_a_whole_frame_is_found_wherever_one_starts(pieces, start):
    data = b""
    for piece in pieces:
        data += frames.encode_frame(piece, len(data)) if piece == b"frame" else piece
    start = min(start, len(data))
    places = range(start, len(data) - frames.FRAME_HEADER_BYTES)
    expected = any(frames._read_payload(data, place) is not None for place in places)
    assert frames._has_valid_frame_from(data, start) == expected
