from __future__ import annotations

import errno

import pytest

from kumquatmux_agreement.entries import Entry, EntryKind, ReplicaId, founding_state
from kumquatmux_agreement.events import Persist
from kumquatmux_storage.disk import open_folder, problem_from_os_error
from kumquatmux_storage.store import Identity, open_or_create, open_store

REPLICA = ReplicaId("a", "f1")
IDENTITY = Identity("lab", "a", "f1")


def test_written_entry_is_read_back_from_file_system(tmp_path):
    disk = open_folder(tmp_path / "data").ok
    store = open_or_create(disk, IDENTITY, founding_state(REPLICA, ("a",))).ok
    entry = Entry(1, 1, EntryKind.DATA, b"x")
    assert store.write(Persist(1, entries=(entry,))).is_ok()
    disk.close()
    again = open_folder(tmp_path / "data").ok
    assert open_store(again).ok.restored.entries == (entry,)
    again.close()


def test_two_processes_cannot_use_one_folder(tmp_path):
    disk = open_folder(tmp_path).ok
    assert open_folder(tmp_path).error.code == "folder-in-use"
    disk.close()
    again = open_folder(tmp_path)
    assert again.is_ok()
    again.ok.close()


def test_folder_creation_failure_is_reported(tmp_path):
    (tmp_path / "file").write_text("")
    assert open_folder(tmp_path / "file" / "data").error.code == "disk-failed"


@pytest.mark.parametrize(
    ("number", "code"),
    [
        (errno.ENOSPC, "disk-full"),
        (errno.EDQUOT, "disk-full"),
        (errno.EIO, "disk-failed"),
    ],
)
def test_os_errors_map_to_problem_codes(number, code):
    assert problem_from_os_error(OSError(number, "text"), "log").code == code
