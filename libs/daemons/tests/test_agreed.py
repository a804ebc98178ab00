"""The replica and its store of one control VM, on a disk that fails."""

from __future__ import annotations

from random import Random

from kumquatmux_agreement.entries import (
    ReplicaId,
    founding_folder,
    founding_vms,
    joining_state,
    shared_founding_state,
)
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.identity import VmId
from kumquatmux_daemons.registrar.agreed import REOPEN_S, Agreed
from kumquatmux_storage.memory import MemoryDisk
from kumquatmux_storage.store import Identity, open_or_create

ME = VmId("10.1.0.13")
SEEDS = founding_vms((ME, VmId("10.2.0.41"), VmId("10.3.0.9")))
FOLDER = founding_folder(SEEDS)
STEP_S = 0.05


def founder(disk):
    opened = open_or_create(
        disk, Identity("c", ME, FOLDER), shared_founding_state(SEEDS)
    )
    replica = ReplicaSettings("c", ReplicaId(ME, FOLDER), lease_fraction=0.0)
    return Agreed(replica, opened.ok, Random(3))


def run(agreed, start, seconds):
    steps = round(seconds / STEP_S)
    for step in range(steps):
        agreed.tick(start + step * STEP_S)
    return start + seconds


# Guards against: a voter whose folder was emptied under it, and that votes again under
# its name though it forgot its votes and copies.
def test_a_folder_that_was_emptied_comes_back_as_another_replica():
    disk = MemoryDisk()
    agreed = founder(disk)
    agreed.reopen_at = 0.0
    agreed.replica.core.fail(None)
    disk.wipe()
    run(agreed, 0.0, 2 * REOPEN_S)
    core = agreed.replica.core
    assert core.replica_id.vm == ME
    assert core.replica_id.folder != FOLDER
    assert agreed.store.identity.folder == core.replica_id.folder
    assert agreed.store.restored == joining_state()


# Guards against: a replica that takes another name after its disk was full for a while.
def test_a_folder_that_was_full_comes_back_as_the_same_replica():
    disk = MemoryDisk()
    agreed = founder(disk)
    agreed.reopen_at = 0.0
    agreed.replica.core.fail(None)
    run(agreed, 0.0, 2 * REOPEN_S)
    assert agreed.replica.core.replica_id == ReplicaId(ME, FOLDER)
    voters = agreed.replica.core.log.configuration.voters
    assert [voter.vm for voter in voters] == list(SEEDS)
