"""Fault runs of registrars, and product mutations that their checkers must find."""

from __future__ import annotations

from random import Random

import pytest

from kumquatmux_agreement.entries import ReplicaId, founding_folder, founding_state
from kumquatmux_core import decisions
from kumquatmux_core.identity import Endpoint, VmId, ZoneName
from kumquatmux_daemons.registrar.calls import (
    LeaveCall,
    Outcome,
    PutDocument,
    ReadDocument,
    ReportCall,
)
from kumquatmux_daemons.registrar.orders import Orders
from kumquatmux_lab.faultruns import registrar, registrar_world
from kumquatmux_lab.faultruns.registrar_world import Control, Entry, World
from kumquatmux_registry.leases import Leases
from kumquatmux_registry.records import Lifetime, Phase, Report
from kumquatmux_settings.documents import DocumentLog

SEEDS = (VmId("c-a"), VmId("c-b"), VmId("c-c"))


@pytest.fixture(autouse=True)
def quiet():
    decisions.configure(as_json=False, enabled=False)
    yield
    decisions.configure(as_json=False)


@pytest.fixture
def world():
    made = World(Random(5), SEEDS)
    for vm in SEEDS:
        zone = ZoneName(vm[-1])
        made.add(Control(vm, zone), founds=True)
        made.add(Entry(VmId(f"e-{zone}"), zone))
    made.run_until(2.0)
    return made


def leader_of(world):
    leads = [one for one in world.controls() if one.core and one.core.agreed.is_leader]
    return leads[0].vm if len(leads) == 1 else None


def asked(world, vm, call, within_s=1.0):
    answers = []
    world.call(vm, call, answers.append)
    world.run_until(world.now + within_s)
    return answers[0] if answers else None


@pytest.mark.parametrize("seed", [1, 2, 4, 9])
def test_no_promise_is_broken(seed):
    assert registrar.run(seed).violations == ()


# Guards against: fault runs that take two of three disks, as a leader that stands still
# says that all is copied, or whose third new control VM gets seeds that are all gone.
@pytest.mark.parametrize("seed", [610074])
def test_no_more_disks_are_lost_than_the_deployment_bears(seed):
    assert registrar.run(seed).violations == ()


# Guards against: a control VM that is added last and knows none that is there.
def test_a_vm_added_after_all_seeds_were_replaced_joins(world):
    for vm in SEEDS:
        world.stop(vm)
        del world.nodes[vm]
        fresh = VmId(f"n-{vm}")
        world.name_seed(fresh, instead_of=vm)
        world.add(Control(fresh, ZoneName(vm[-1])))
        world.run_until(world.now + 6.0)
    status = world.nodes[leader_of(world)].core.agreed.replica.status()
    assert status.is_fully_replicated
    assert set(status.configuration.wanted_vms) == {f"n-{vm}" for vm in SEEDS}


def test_a_change_is_in_force_on_every_entry_vm_within_a_second(world):
    answer = asked(world, leader_of(world), PutDocument(4, b"4 x"), within_s=1.0)
    assert answer.outcome == Outcome.DONE
    held = {one.core.follower.document.number for one in world.entries()}
    assert held == {4}


def test_an_overtaken_change_is_acknowledged_by_every_control_vm(world):
    asked(world, leader_of(world), PutDocument(4, b"4 x"))
    for vm in SEEDS:
        assert asked(world, vm, PutDocument(3, b"3 x")).outcome == Outcome.DONE
        assert asked(world, vm, PutDocument(4, b"4 y")).outcome == Outcome.DONE
    assert asked(world, leader_of(world), ReadDocument()).content == b"4 x"


def test_others_send_callers_to_the_leader(world):
    leader = leader_of(world)
    other = next(vm for vm in SEEDS if vm != leader)
    answer = asked(world, other, PutDocument(4, b"4 x"))
    assert (answer.outcome, answer.leader) == (Outcome.ELSEWHERE, leader)


def test_a_leader_that_is_cut_off_neither_acknowledges_nor_reads(world):
    leader = leader_of(world)
    asked(world, leader, PutDocument(4, b"4 x"))
    others = [vm for vm in SEEDS if vm != leader]
    world.cuts |= {(leader, vm) for vm in others} | {(vm, leader) for vm in others}
    answers = []
    world.call(leader, ReadDocument(), answers.append)
    world.call(leader, PutDocument(5, b"5 x"), answers.append)
    world.run_until(world.now + 3.0)
    assert {one.outcome for one in answers} == {Outcome.UNAVAILABLE}


def test_a_leader_that_stops_is_followed_within_a_heartbeat_or_two(world):
    leader = leader_of(world)
    core = world.nodes[leader].core
    world._carry_out(leader, core.stop(world.clock(leader)))
    world.run_until(world.now + 0.3)
    assert leader_of(world) not in (None, leader)


def test_a_lost_disk_is_made_good_within_the_time_to_catch_up(world):
    leader = leader_of(world)
    asked(world, leader, PutDocument(4, b"4 x"))
    world.stop(leader, wipe=True)
    world.run_until(world.now + 0.5)
    world.start(leader)
    world.run_until(world.now + 4.0)
    status = world.nodes[leader_of(world)].core.agreed.replica.status()
    assert status.is_fully_replicated


def test_a_vm_at_another_address_takes_the_seat_of_one_that_is_gone(world):
    victim = next(vm for vm in SEEDS if vm != leader_of(world))
    world.stop(victim)
    del world.nodes[victim]
    world.add(Control(VmId("c-new"), ZoneName(victim[-1])))
    world.run_until(world.now + 4.0)
    status = world.nodes[leader_of(world)].core.agreed.replica.status()
    assert status.is_fully_replicated
    assert "c-new" in status.configuration.wanted_vms


def test_documents_and_servers_are_back_soon_after_all_lost_power(world):
    asked(world, leader_of(world), PutDocument(4, b"4 x"))
    for vm in list(world.nodes):
        world.stop(vm, power=True)
    world.run_until(world.now + 1.0)
    for vm in list(world.nodes):
        world.start(vm)
    world.run_until(world.now + 0.7)
    held = {one.core.follower.document.number for one in world.entries()}
    assert held == {4}
    assert all(one.core.is_ready(world.now) for one in world.entries())


def report_call(number, phase=Phase.READY):
    place = Endpoint("10.9.0.1", 1)
    return ReportCall(
        Report(Lifetime("i-1", 1), number, "entries", place, "a", "v1", 2, phase, 0.0)
    )


def say(world, phase, number):
    return asked(world, "c-a", report_call(number, phase), within_s=0.0006)


def lose_power_of_all(world):
    for vm in list(world.nodes):
        world.stop(vm, power=True)
    world.run_until(world.now + 1.0)
    for vm in list(world.nodes):
        world.start(vm)
    world.run_until(world.now + 1.0)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("drains", [True, False])
@pytest.mark.parametrize("leaves", [True, False])
def test_a_server_whose_leave_was_acknowledged_is_not_used_after_a_loss_of_power(
    world, seed, drains, leaves
):
    """Neither a drain nor a leave is undone, the leave also where no drain came."""
    world.random.seed(seed)
    say(world, Phase.READY, 1)
    world.run_until(world.now + 1.0)
    answers = []
    if drains:
        answers.append(say(world, Phase.DRAINING, 2))
    if leaves:
        answers.append(asked(world, "c-a", LeaveCall("i-1"), within_s=0.0006))
    assert [answer.outcome for answer in answers] == [Outcome.DONE] * (drains + leaves)
    lose_power_of_all(world)
    for entry in world.entries():
        record = entry.core.table.get("i-1")
        is_new_choice = record is not None and (
            record.report.phase == Phase.READY and not record.is_late
        )
        assert is_new_choice == (not drains and not leaves)


def entry_records(world):
    return [entry.core.table.get("i-1") for entry in world.entries()]


# Guards against a leave call of an earlier lifetime that resets the flows of a server.
@pytest.mark.parametrize("control", ["c-a", "c-b"])
@pytest.mark.parametrize("phase", [Phase.READY, Phase.DRAINING])
def test_a_late_leave_of_an_earlier_lifetime_ends_no_server(world, control, phase):
    for number in range(1, 8):
        say(world, phase, number)
        if number == 3:
            asked(world, control, LeaveCall("i-1"))
        world.run_until(world.now + 1.0)
        assert {one.report.phase for one in entry_records(world)} == {phase}
    assert not any(one.is_late for one in entry_records(world))


# Guards against a leave call that comes to a VM that the server did not report to.
@pytest.mark.parametrize("control", ["c-a", "c-b"])
def test_a_server_that_left_is_over_wherever_its_leave_arrives(world, control):
    say(world, Phase.READY, 1)
    say(world, Phase.DRAINING, 2)
    world.run_until(world.now + 0.5)
    asked(world, control, LeaveCall("i-1"))
    world.run_until(world.now + 3.0)
    assert {one.report.phase for one in entry_records(world)} == {Phase.ENDED}


# Guards against a leave call of an earlier lifetime that ends one which drains, at the
# control VM that it reported to before it moved on, cut off from all others.
def test_a_late_leave_at_a_former_holder_ends_no_server(world):
    others = [vm for vm in world.nodes if vm not in ("c-a", "e-a")]
    say(world, Phase.DRAINING, 1)
    world.run_until(world.now + 0.5)
    pairs = {(one, other) for one in ("c-a", "e-a") for other in others}
    world.cuts |= pairs | {(other, one) for one, other in pairs}
    for number in range(2, 8):
        asked(world, "c-b", report_call(number, Phase.DRAINING), within_s=1.2)
        if number == 3:
            asked(world, "c-a", LeaveCall("i-1"), within_s=0.0006)
        phases = {one.report.phase for one in entry_records(world)}
        assert phases == {Phase.DRAINING}


# Guards against the same at one that starts again on its file of servers.
@pytest.mark.parametrize("is_cut", [True, False])
def test_a_late_leave_at_a_vm_that_started_again_ends_no_server(world, is_cut):
    others = [vm for vm in world.nodes if vm not in ("c-a", "e-a")]
    say(world, Phase.DRAINING, 1)
    world.run_until(world.now + 1.0)
    world.stop("c-a")
    if is_cut:
        pairs = {(one, other) for one in ("c-a", "e-a") for other in others}
        world.cuts |= pairs | {(other, one) for one, other in pairs}
    for number in range(2, 12):
        asked(world, "c-b", report_call(number, Phase.DRAINING), within_s=0.8)
        if number == 4:
            world.start("c-a")
        if number in (4, 6):
            asked(world, "c-a", LeaveCall("i-1"), within_s=0.2)
        phases = {one.report.phase for one in entry_records(world)}
        assert phases == {Phase.DRAINING}


PAST_THREE = pytest.param(
    3,
    marks=pytest.mark.xfail(
        strict=True, reason="moves-past-three-vms in KNOWN-RED.txt"
    ),
)


# Guards against a late leave call that ends a server whose next reports fail at some
# VMs, for as long as it takes entry VMs to reset its flows: 1.0 s.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("failed_reports", [1, 2, PAST_THREE])
def test_a_server_that_moves_past_vms_is_not_ended_for_long(
    world, failed_reports, seed
):
    world.run_until(world.now + seed * 0.13)
    say(world, Phase.DRAINING, 1)
    world.run_until(world.now + 0.3)
    asked(world, "c-a", LeaveCall("i-1"), within_s=0.2)
    ended_looks = 0
    for look in range(100):
        if look == 10 + 20 * failed_reports:
            asked(world, "c-b", report_call(2, Phase.DRAINING), within_s=0.0006)
        world.run_until(world.now + 0.05)
        phases = {one.report.phase for one in entry_records(world)}
        ended_looks += Phase.ENDED in phases
    assert ended_looks * 0.05 < 1.0


def stop_by_plan(world, vm):
    core = world.nodes[vm].core
    world._carry_out(vm, core.stop(world.clock(vm)))
    world.run_until(world.now + 1.2)
    world.stop(vm)


def phases_after_a_leave(world):
    """Return the phases on entry VMs 3 s after a server that drained has left."""
    say(world, Phase.READY, 1)
    say(world, Phase.DRAINING, 2)
    world.run_until(world.now + 0.5)
    asked(world, "c-a", LeaveCall("i-1"), within_s=3.0)
    return {one.report.phase for one in entry_records(world)}


# Guards against ends that wait for a control VM which was stopped by plan.
def test_a_vm_that_was_stopped_by_plan_holds_up_no_end(world):
    stop_by_plan(world, "c-c")
    assert phases_after_a_leave(world) == {Phase.ENDED}


# Guards against an end without the word of a VM that is back and takes reports.
@pytest.mark.parametrize("is_back", [True, False])
def test_a_vm_that_may_take_reports_and_is_not_heard_holds_up_an_end(world, is_back):
    if is_back:
        stop_by_plan(world, "c-c")
        world.start("c-c")
        world.run_until(world.now + 1.5)
    others = [vm for vm in SEEDS if vm != "c-c"]
    pairs = {("c-c", vm) for vm in others}
    world.cuts |= pairs | {(vm, "c-c") for vm in others}
    assert phases_after_a_leave(world) == {Phase.DRAINING}


def world_of_vms_that_poll_in_turn(seed):
    """Return a world whose VMs started at different times."""
    made = World(Random(seed), SEEDS)
    for vm in SEEDS:
        made.run_until(made.now + Random(seed * 7 + len(made.nodes)).random() * 0.5)
        zone = ZoneName(vm[-1])
        made.add(Control(vm, zone), founds=True)
        made.add(Entry(VmId(f"e-{zone}"), zone))
    made.run_until(4.0 + seed * 0.037)
    return made


# Guards against a lifetime that a VM ends as a cut heals, on a report that was held up,
# and that its holder leaves ended: entry VMs reset flows 1.0 s after an end.
@pytest.mark.parametrize("seed", [1, 6, 19, 20])
def test_an_end_by_a_held_up_report_does_not_last(seed):
    world = world_of_vms_that_poll_in_turn(seed)
    others = [vm for vm in world.nodes if vm not in ("c-a", "e-a")]
    pairs = {(one, other) for one in ("c-a", "e-a") for other in others}
    pairs |= {(other, one) for one, other in pairs}
    ended_looks = 0
    for number in range(1, 16):
        asked(world, "c-b", report_call(number, Phase.DRAINING), within_s=0.0006)
        if number == 4:
            world.cuts |= pairs
            asked(world, "c-a", report_call(3, Phase.DRAINING), within_s=0.0006)
            asked(world, "c-a", LeaveCall("i-1"), within_s=0.0006)
        if number == 10:
            world.cuts -= pairs
        for _ in range(20):
            world.run_until(world.now + 0.05)
            phases = {one.report.phase for one in entry_records(world)}
            ended_looks = ended_looks + 1 if Phase.ENDED in phases else 0
            assert ended_looks * 0.05 < 0.5
    assert {one.holder for one in entry_records(world)} == {"c-b"}


def late_after_a_long_cut(world):
    """Return the entry VMs that hold a live server late after a cut has healed."""
    inside = [one.vm for one in world.nodes.values() if one.zone == "a"]
    outside = [one.vm for one in world.nodes.values() if one.zone != "a"]
    pairs = {(one, other) for one in inside for other in outside}
    pairs |= {(other, one) for one, other in pairs}
    for number in range(1, 30):
        if number == 3:
            world.cuts |= pairs
        if number == 15:
            assert world.nodes["e-b"].core.table.get("i-1").is_late
            world.cuts -= pairs
        world.call("c-a", report_call(number), lambda answer: None)
        world.run_until(world.now + 1.0)
    records = {one.vm: one.core.table.get("i-1") for one in world.entries()}
    return sorted(vm for vm, record in records.items() if record.is_late)


def test_a_server_is_known_again_on_both_sides_after_a_long_cut(world):
    assert late_after_a_long_cut(world) == []


def test_without_refutation_a_server_stays_late_after_a_long_cut(world, monkeypatch):
    monkeypatch.setattr(Leases, "_can_refute", lambda *_: False)
    assert late_after_a_long_cut(world) == ["e-a", "e-b", "e-c"]


def any_order(self, document):
    self.newest = document
    return True


def stale_read(self, token):
    self._answer_read(token)


@pytest.mark.parametrize(
    ("owner", "name", "broken", "seed", "found"),
    [
        (DocumentLog, "_apply_document", any_order, 1, "two contents"),
        (Orders, "_elsewhere", stale_read, 1, "a read gave"),
    ],
    ids=["last one wins", "reads without a quorum"],
)
def test_a_broken_product_is_found(monkeypatch, owner, name, broken, seed, found):
    monkeypatch.setattr(owner, name, broken)
    violations = registrar.run(seed).violations
    assert any(found in text for text in violations)


def founded_by_one(self, world, *, founds):
    start_control(self, world, founds=founds and self.vm == min(SEEDS))


start_control = Control.start


# Guards against: fault runs that do not see that a cluster hangs on one seed's start.
@pytest.mark.parametrize("seed", [1, 2])
def test_a_founding_that_hangs_on_one_seed_is_found(monkeypatch, seed):
    monkeypatch.setattr(Control, "start", founded_by_one)
    monkeypatch.setattr(registrar_world, "shared_founding_state", one_founder)
    violations = registrar.run(seed).violations
    assert any("acknowledged in the end is 0" in text for text in violations)


def one_founder(vms):
    return founding_state(ReplicaId(min(vms), founding_folder(vms)), vms)


# Guards against lifetimes that never end once a control VM is lost, or replaced by one
# of another name: the others' lists go on to name it.
@pytest.mark.parametrize("is_replaced", [False, True])
def test_a_control_vm_that_is_gone_holds_up_no_end_for_good(is_replaced):
    world = World(Random(5), SEEDS)
    for vm in SEEDS:
        zone = ZoneName(vm[-1])
        world.add(Control(vm, zone), founds=True)
        world.add(Entry(VmId(f"e-{zone}"), zone))
    world.run_until(2.0)
    world.stop("c-c")
    if is_replaced:
        del world.nodes["c-c"]
        world.name_seed(VmId("n-c-c"), instead_of="c-c")
        world.add(Control(VmId("n-c-c"), ZoneName("c")))
    world.run_until(24.0)
    say(world, Phase.READY, 1)
    world.run_until(24.5)
    say(world, Phase.DRAINING, 2)
    world.run_until(25.0)
    asked(world, "c-a", LeaveCall("i-1"), within_s=0.2)
    world.run_until(29.0)
    phases = {record.report.phase for record in entry_records(world)}
    assert phases == {Phase.ENDED}
