from __future__ import annotations

import pytest

from kumquatmux_core import decisions
from kumquatmux_core.identity import VmId, ZoneName
from kumquatmux_lab.faultruns.membership import FaultRun, make_vms
from kumquatmux_lab.faultruns.membership_world import NetworkSettings, Tuning, World
from kumquatmux_membership.events import Leave, MemberStatus, MemberUpdate
from kumquatmux_membership.gossip import GossipState
from kumquatmux_membership.sampled import ring_neighbours
from kumquatmux_membership.settings import MembershipSettings

ZONES = (ZoneName("cnx-a"), ZoneName("cnx-b"))
SAMPLED = MembershipSettings(fanout=4)


def start_world(per_zone=6):
    network = NetworkSettings(loss=0.0, duplicate=0.0, late=0.0)
    vms = make_vms(ZONES, per_zone)
    world = World(vms, 1, Tuning(membership=SAMPLED, network=network))
    for vm in vms:
        world.start(vm.vm)
    world.run(5.0)
    return world


def views(world):
    return [
        tuple(vm.vm for vm in machine.process.view)
        for machine in world.machines.values()
        if machine.process is not None
    ]


def vm_ids(world):
    return tuple(sorted(world.machines))


def test_ring_neighbours_are_mutual_and_limited_by_the_fanout():
    vms = make_vms(ZONES, 20)
    chosen = {
        vm.vm: ring_neighbours(vm, [other for other in vms if other != vm], 8)
        for vm in vms
    }
    assert all(4 <= len(neighbours) <= 8 for neighbours in chosen.values())
    assert all(first in chosen[second] for first in chosen for second in chosen[first])


def test_every_view_is_complete_with_few_neighbours():
    world = start_world()
    assert set(views(world)) == {vm_ids(world)}
    memberships = [
        machine.process.coordinator.membership for machine in world.machines.values()
    ]
    assert max(len(membership.neighbours) for membership in memberships) <= 4


def test_a_loss_a_shutdown_and_a_restart_reach_all_vms():
    world = start_world()
    dead, leaving, restarted = vm_ids(world)[:3]
    world.stop(dead)
    world.deliver(world.machines[leaving], Leave())
    world.stop(restarted)
    world.start(restarted)
    world.run(world.now + 6)
    others = vm_ids(world)[3:]
    expected = tuple(name for name in vm_ids(world) if name not in (dead, leaving))
    for name in others:
        process = world.process(name)
        assert tuple(vm.vm for vm in process.view) == expected
        assert set(process.lost) == {dead, restarted}


def test_two_partitions_merge_after_the_cut_ends():
    world = start_world()
    halves = [[vm.vm for vm in world.vms if vm.zone == zone] for zone in ZONES]
    paths = {(first, second) for first in halves[0] for second in halves[1]}
    world.cut = paths | {(second, first) for first, second in paths}
    world.run(world.now + 20)
    assert set(views(world)) == {tuple(half) for half in halves}
    world.cut.clear()
    world.run(world.now + 15)
    assert set(views(world)) == {vm_ids(world)}


@pytest.mark.parametrize("seed", [2, 14, 22])
def test_views_agree_after_faults(seed):
    decisions.configure(as_json=False, enabled=False)
    report = FaultRun(seed, Tuning(membership=SAMPLED)).run()
    decisions.configure(as_json=False, enabled=True)
    kinds = {violation.split()[0] for violation in report.violations}
    assert not kinds & {"views-converge", "incarnations-grow"}


UPDATES_BY_PRECEDENCE = [
    MemberUpdate(VmId("a"), 1, MemberStatus.ALIVE),
    MemberUpdate(VmId("a"), 1, MemberStatus.LOST),
    MemberUpdate(VmId("a"), 1, MemberStatus.ALIVE, 1),
    MemberUpdate(VmId("a"), 1, MemberStatus.LOST, 1),
    MemberUpdate(VmId("a"), 1, MemberStatus.LEFT, 1),
    MemberUpdate(VmId("a"), 2, MemberStatus.ALIVE),
]


def test_the_later_update_takes_precedence_in_any_order():
    for first, second in zip(
        UPDATES_BY_PRECEDENCE, UPDATES_BY_PRECEDENCE[1:], strict=False
    ):
        for pair in ((first, second), (second, first)):
            gossip = GossipState()
            is_new = [gossip.merge(update) for update in pair]
            assert gossip.latest_updates[VmId("a")] == second
            assert is_new == [True, pair[0] == first]


def test_an_update_is_sent_a_limited_number_of_times():
    gossip = GossipState()
    gossip.merge(UPDATES_BY_PRECEDENCE[0])
    sent = sum(len(gossip.next_updates()) for _ in range(100))
    assert sent == 16
