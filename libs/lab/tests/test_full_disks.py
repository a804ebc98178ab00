"""Disks of control VMs that are full in turn, and a defect that the run must find."""

from __future__ import annotations

import pytest

from kumquatmux_agreement.entries import ReplicaId, founding_state, joining_state
from kumquatmux_core import decisions
from kumquatmux_core.identity import VmId
from kumquatmux_daemons.registrar.agreed import Agreed
from kumquatmux_lab.faultruns import full_disks
from kumquatmux_storage.memory import MemoryDisk
from kumquatmux_storage.store import Identity, open_or_create


@pytest.fixture(autouse=True)
def quiet():
    decisions.configure(as_json=False, enabled=False)
    yield
    decisions.configure(as_json=False)


@pytest.mark.parametrize("seed", [1, 2, 3, 5])
def test_changes_are_acknowledged_once_the_last_disk_has_room(seed):
    assert full_disks.run(seed).violations == ()


def test_a_replica_that_never_opens_its_folder_again_is_found(monkeypatch):
    monkeypatch.setattr(Agreed, "_reopen", lambda self: None)
    violations = full_disks.run(1).violations
    assert any("was acknowledged at None" in text for text in violations)


@pytest.mark.parametrize("first", ["founding", "joining"])
@pytest.mark.parametrize("step", range(1, 25))
def test_a_folder_whose_disk_was_full_while_it_was_made_opens_once_there_is_room(
    first, step
):
    vm = VmId("c-a")
    state = joining_state()
    if first == "founding":
        state = founding_state(ReplicaId(vm, "f1"), (vm, VmId("c-b")))
    disk = MemoryDisk()
    disk.full_at = step
    identity = Identity("lab", vm, "f1")
    open_or_create(disk, identity, state)
    disk.is_full = False
    disk.full_at = -1
    opened = open_or_create(disk, identity, state)
    assert opened.is_ok(), opened.error
    assert opened.ok.restored == state
