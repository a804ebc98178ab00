"""The replica and its store of one control VM, on a disk that fails."""

from __future__ import annotations

from random import Random

from kumquatmux_agreement.entries import (
    ReplicaId,
    founding_folder,
    founding_state,
    founding_vms,
    joining_state,
    shared_founding_state,
)
from kumquatmux_agreement.events import Propose, Role
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.identity import VmId, ZoneName
from kumquatmux_daemons.registrar.agreed import REOPEN_S, Agreed
from kumquatmux_settings.evacuations import (
    EvacuationOrder,
    Evacuations,
    entry_of_order,
)
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


# Guards against a revision that moves further here than on the other control VMs, as
# a replica that goes on after a failed write applies the log's orders once more.
def test_orders_count_once_after_a_disk_was_full():
    disk = MemoryDisk()
    first = founding_state(ReplicaId(ME, FOLDER), (ME,))
    store = open_or_create(disk, Identity("c", ME, FOLDER), first).ok
    replica = ReplicaSettings("c", ReplicaId(ME, FOLDER), lease_fraction=0.0)
    agreed = Agreed(replica, store, Random(3))
    now = run(agreed, 0.0, 10.0)
    for is_evacuated in (True, False, True):
        order = EvacuationOrder(ZoneName("a"), is_evacuated)
        agreed.give(Propose(entry_of_order(order), "t"), now)
    assert agreed.documents.evacuations == Evacuations(3, (ZoneName("a"),))
    disk.is_full = True
    order = EvacuationOrder(ZoneName("b"), True)
    agreed.give(Propose(entry_of_order(order), "t"), now)
    now = run(agreed, now, 1.0)
    assert agreed.replica.core.role == Role.FAILED
    disk.is_full = False
    now = run(agreed, now, 10.0)
    assert agreed.is_leader
    assert agreed.documents.evacuations == Evacuations(3, (ZoneName("a"),))
