from __future__ import annotations

from random import Random

import pytest

from kumquatmux_core.identity import Endpoint, Vm, VmId, ZoneName
from kumquatmux_lab.faultruns.membership import make_vms
from kumquatmux_lab.faultruns.membership_world import NetworkSettings, Tuning, World
from kumquatmux_membership.events import (
    Heartbeat,
    Leave,
    PeerAhead,
    PeerLearned,
    PeersChanged,
    Received,
    Tick,
    ViewChanged,
)
from kumquatmux_membership.membership import Membership
from kumquatmux_membership.settings import MembershipSettings

FAULTLESS_NETWORK = NetworkSettings(loss=0.0, duplicate=0.0, late=0.0, stuck_call=0.0)
A, B, C = (VmId(f"cnx-a-{number}") for number in range(3))


def start_world(count=3):
    vms = make_vms((ZoneName("cnx-a"),), count)
    world = World(vms, 1, Tuning(network=FAULTLESS_NETWORK))
    for vm in vms:
        world.start(vm.vm)
    world.run(3.0)
    return world


def view_ids(world, name):
    process = world.process(name)
    return [vm.vm for vm in process.view] if process.usable else None


def both_directions(first, second):
    return {(first, second), (second, first)}


def test_a_view_is_suspended_until_peers_answer_or_time_out():
    world = World(
        make_vms((ZoneName("cnx-a"),), 2), 1, Tuning(network=FAULTLESS_NETWORK)
    )
    world.start(A)
    world.run(1.0)
    assert view_ids(world, A) is None
    world.run(3.0)
    assert view_ids(world, A) == [A]


def test_a_dead_vm_is_lost_within_3_seconds():
    world = start_world()
    world.stop(C)
    world.run(world.now + 3.0)
    for name in (A, B):
        assert view_ids(world, name) == [A, B]
        assert world.process(name).lost == [C]


def test_a_graceful_shutdown_is_not_reported_as_a_loss():
    world = start_world()
    world.deliver(world.machines[C], Leave())
    world.run(world.now + 0.1)
    assert view_ids(world, A) == [A, B]
    world.run(world.now + 5)
    assert view_ids(world, C) == [A, B, C]
    assert world.process(C).lost == []
    world.stop(C)
    world.run(world.now + 20)
    assert view_ids(world, A) == [A, B]
    assert world.process(A).lost == []


@pytest.mark.parametrize("wall_offset_ms", [0, -60_000])
def test_a_restarted_vm_is_lost_and_rejoins_with_a_higher_incarnation(wall_offset_ms):
    world = start_world()
    before = world.process(C).incarnations[-1]
    world.stop(C)
    world.run(world.now + 0.3)
    world.machines[C].wall_offset_ms = wall_offset_ms
    world.start(C)
    world.run(world.now + 5)
    for name in (A, B):
        assert world.process(name).lost == [C]
        assert view_ids(world, name) == [A, B, C]
        assert world.process(name).view[2].incarnation > before


def test_two_raised_incarnations_of_one_vm_differ():
    raised = set()
    for _ in range(2):
        world = start_world(2)
        world.random = Random(len(raised))
        world.stop(B)
        world.machines[B].wall_offset_ms = -60_000
        world.start(B)
        world.run(world.now + 5)
        raised.add(world.process(B).incarnations[-1])
    assert len(raised) == 2


def test_a_one_way_cut_removes_each_vm_from_the_other_view():
    world = start_world()
    world.cut = {(A, B)}
    world.run(world.now + 6)
    assert view_ids(world, A) == [A, C]
    assert view_ids(world, B) == [B, C]
    assert view_ids(world, C) == [A, B, C]
    world.cut.clear()
    world.run(world.now + 5)
    assert [view_ids(world, name) for name in (A, B, C)] == [[A, B, C]] * 3


def test_a_probe_by_a_third_vm_prevents_a_loss_during_a_brief_cut():
    lost = []
    for count in (2, 3):
        world = start_world(count)
        world.cut = both_directions(A, B)
        world.run(world.now + 2.4)
        world.cut.clear()
        world.run(world.now + 3.0)
        lost.append(world.process(A).lost)
    assert lost == [[B], []]


def test_vms_rejoin_after_a_long_cut_although_their_rounds_coincide():
    world = start_world(2)
    world.cut = both_directions(A, B)
    world.run(world.now + 300)
    assert view_ids(world, A) == [A]
    world.cut.clear()
    world.run(world.now + 5)
    assert [view_ids(world, A), view_ids(world, B)] == [[A, B]] * 2


@pytest.mark.parametrize("pause_seconds", [1.5, 5.0, 300.0])
def test_a_resumed_vm_suspends_its_view_until_peers_answer(pause_seconds):
    world = start_world()
    world.machines[C].paused = True
    world.run(world.now + pause_seconds)
    world.resume(C)
    assert view_ids(world, C) is None
    world.run(world.now + 5)
    assert [view_ids(world, name) for name in (A, B, C)] == [[A, B, C]] * 3
    assert world.process(C).lost == []


@pytest.mark.parametrize("jump_seconds", [-30.0, -0.5, 2.0, 100.0])
def test_a_clock_jump_suspends_only_the_view_of_that_vm(jump_seconds):
    world = start_world()
    world.machines[C].offset += jump_seconds
    world.run(world.now + 5)
    assert world.process(C).suspensions == 1
    assert [view_ids(world, name) for name in (A, B, C)] == [[A, B, C]] * 3
    assert world.process(A).lost == []


def test_the_hold_down_of_a_flapping_peer_grows_up_to_a_maximum():
    world = start_world(2)
    rejoin_delays = []
    for _ in range(6):
        world.cut = both_directions(A, B)
        world.run(world.now + 4)
        world.cut.clear()
        cut_ended_at = world.now
        while view_ids(world, A) != [A, B]:
            world.run(world.now + 0.1)
        rejoin_delays.append(world.now - cut_ended_at)
    assert rejoin_delays[0] < 2 < rejoin_delays[3]
    assert max(rejoin_delays) < MembershipSettings().hold_max_seconds + 1


def make_joining_vm():
    endpoint = Endpoint("127.1.9.9", 7000)
    return Vm(VmId("cnx-a-9"), ZoneName("cnx-a"), endpoint, endpoint, 5)


def test_a_vm_configured_with_one_peer_discovers_all_peers():
    world = start_world()
    joining_vm = make_joining_vm()
    vms = world.vms
    world.machines[joining_vm.vm] = type(world.machines[A])(joining_vm, 1.0)
    world.vms = (vms[0],)
    world.start(joining_vm.vm)
    world.run(world.now + 4)
    for name in (A, B, C, joining_vm.vm):
        assert view_ids(world, name) == [A, B, C, joining_vm.vm]


def test_a_heartbeat_of_an_unknown_sender_is_ignored():
    local_vm, peer = make_vms((ZoneName("cnx-a"),), 2)
    membership = Membership(local_vm, (), MembershipSettings(), Random(1))
    heartbeat = Heartbeat(peer.vm, 5, 1.0, 0.0, 9, "", 0)
    actions = membership.handle(Received(heartbeat), 10.0)
    assert not any(isinstance(action, PeerLearned | PeerAhead) for action in actions)


def test_a_changed_peer_list_adds_and_removes_peers():
    local_vm, peer = make_vms((ZoneName("cnx-a"),), 2)
    membership = Membership(local_vm, (), MembershipSettings(), Random(1))
    initial_actions = membership.handle(Tick(), 10.0)
    assert ViewChanged((local_vm,), ()) in initial_actions
    actions_after_add = membership.handle(PeersChanged((local_vm, peer)), 10.1)
    assert PeersChanged((peer,)) in actions_after_add
    actions_after_remove = membership.handle(PeersChanged((local_vm,)), 10.2)
    assert PeersChanged(()) in actions_after_remove


def test_a_newer_settings_revision_is_reported_unless_heartbeat_is_old():
    local_vm, peer = make_vms((ZoneName("cnx-a"),), 2)
    membership = Membership(local_vm, (peer,), MembershipSettings(), Random(1))
    membership.advertise_settings(4, "x")
    heartbeat = Heartbeat(peer.vm, 1, 7.0, 0.0, 5, "y", 0)
    peer_ahead = PeerAhead(peer.vm, 5)
    assert peer_ahead in membership.handle(Received(heartbeat), 10.0)
    assert peer_ahead not in membership.handle(Received(heartbeat), 10.1)
    older = heartbeat._replace(incarnation=0, timestamp=8.0)
    assert peer_ahead not in membership.handle(Received(older), 10.2)
