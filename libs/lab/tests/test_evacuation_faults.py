"""Orders to evacuate zones where control VMs fail, and mutations that must be found."""

from __future__ import annotations

from random import Random

import pytest

from kumquatmux_core import decisions
from kumquatmux_core.identity import VmId, ZoneName
from kumquatmux_daemons.registrar.calls import (
    Answer,
    OrderEvacuation,
    Outcome,
    PutDocument,
    ReadEvacuations,
)
from kumquatmux_daemons.registrar.orders import Orders
from kumquatmux_lab.faultruns import registrar
from kumquatmux_lab.faultruns.registrar_world import Control, Entry, World
from kumquatmux_registry.follower import Follower
from kumquatmux_registry.publisher import EvacuatedZones
from kumquatmux_settings.documents import DocumentLog, entry_of

SEEDS = (VmId("c-a"), VmId("c-b"), VmId("c-c"))
EVACUATE_B = OrderEvacuation(ZoneName("b"), True)
REVERSE_B = OrderEvacuation(ZoneName("b"), False)
IN_FORCE_S = 5.0
RESENT_FOR_S = 6.0


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
    assert asked(made, leader_of(made), PutDocument(1, b"1 x")).outcome == Outcome.DONE
    return made


def leader_of(world):
    leads = [one for one in world.controls() if one.core and one.core.agreed.is_leader]
    return leads[-1].vm


def asked(world, vm, call, within_s=1.0):
    answers = []
    world.call(vm, call, answers.append)
    world.run_until(world.now + within_s)
    return answers[0] if answers else None


def resent(world, call):
    """Send an order to one control VM after the other, as operators' programs do."""
    end = world.now + RESENT_FOR_S
    turn = 0
    while world.now < end:
        vms = sorted(one.vm for one in world.controls())
        answer = asked(world, vms[turn % len(vms)], call, within_s=0.2)
        if answer is not None and answer.outcome == Outcome.ELSEWHERE:
            answer = asked(world, answer.leader, call, within_s=0.2)
        if answer is not None and answer.outcome == Outcome.DONE:
            return True
        turn += 1
    return False


def read(world):
    return asked(world, leader_of(world), ReadEvacuations()).evacuations


def in_force(world):
    return {one.core.router.directory.evacuated_zones for one in world.entries()}


def cut_off(world, vm):
    others = [one for one in world.nodes if one != vm]
    world.cuts |= {(vm, one) for one in others} | {(one, vm) for one in others}


def acknowledged(world, call):
    """Let time pass just until the leader acknowledges an order."""
    answers = []
    world.call(leader_of(world), call, answers.append)
    while not answers:
        world.run_until(world.now + 0.0005)
    assert answers[0].outcome == Outcome.DONE


def lose_power(world, vms):
    for vm in vms:
        world.stop(vm, power=True)
    world.run_until(world.now + 1.0)
    for vm in vms:
        world.start(vm)


@pytest.mark.parametrize("seed", [1, 2, 3, 6])
def test_no_promise_is_broken_while_orders_race(seed):
    assert registrar.run(seed, evacuates=True).violations == ()


def test_an_order_is_in_force_on_every_entry_vm_within_a_second(world):
    assert asked(world, leader_of(world), EVACUATE_B).outcome == Outcome.DONE
    assert in_force(world) == {frozenset({"b"})}
    asked(world, leader_of(world), REVERSE_B)
    assert in_force(world) == {frozenset()}


def test_a_follower_sends_an_order_to_the_leader(world):
    leader = leader_of(world)
    other = next(vm for vm in SEEDS if vm != leader)
    for call in (EVACUATE_B, ReadEvacuations()):
        answer = asked(world, other, call)
        assert (answer.outcome, answer.leader) == (Outcome.ELSEWHERE, leader)


# Guards against an order that is lost, or stays in doubt, with the leader that took it,
# and a repeat, after a lost answer, that is refused or moves the revision.
@pytest.mark.parametrize("progress", ["received", "replicated", "answered"])
def test_a_resent_order_outlives_the_loss_of_the_leader(world, progress):
    leader = leader_of(world)
    if progress == "received":
        cut_off(world, leader)
    answers = []
    world.call(leader, EVACUATE_B, answers.append)
    # 8 ms let the order reach the others, but not their answers the leader.
    world.run_until(world.now + (0.5 if progress == "answered" else 0.008))
    assert bool(answers) == (progress == "answered")
    world.stop(leader)
    world.run_until(world.now + 0.1)
    assert resent(world, EVACUATE_B)
    world.run_until(world.now + IN_FORCE_S)
    assert in_force(world) == {frozenset({"b"})}
    assert read(world) == (1, ("b",))


# Guards against a leader that acknowledges a repeat, or a read, from what it held when
# it was cut off, though another one has reversed the order since.
def test_a_leader_that_is_cut_off_acknowledges_no_repeat(world):
    former = leader_of(world)
    asked(world, former, EVACUATE_B)
    cut_off(world, former)
    answers = []
    for call in (EVACUATE_B, ReadEvacuations()):
        world.call(former, call, answers.append)
    world.run_until(world.now + 2.0)
    assert resent(world, REVERSE_B)
    assert {one.outcome for one in answers} == {Outcome.UNAVAILABLE}
    world.cuts.clear()
    world.run_until(world.now + IN_FORCE_S)
    assert read(world) == (2, ())
    assert in_force(world) == {frozenset()}


# Guards against VMs that disagree about which of two operators was later.
@pytest.mark.parametrize("calls", [(EVACUATE_B, REVERSE_B), (REVERSE_B, EVACUATE_B)])
def test_of_two_operators_who_cross_the_later_in_the_log_decides(world, calls):
    leader = leader_of(world)
    answers = []
    for call in calls:
        world.call(leader, call, answers.append)
    world.run_until(world.now + 2.0)
    assert [one.outcome for one in answers] == [Outcome.DONE, Outcome.DONE]
    zones = ("b",) if calls[-1].is_evacuated else ()
    assert read(world).zones == zones
    assert in_force(world) == {frozenset(zones)}
    states = {one.core.agreed.documents.evacuations for one in world.controls()}
    assert len(states) == 1


# Guards against an acknowledged order that is gone after a loss of power everywhere,
# and an entry VM that takes packets before it knows the evacuated zones.
@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("stopped", ["all", "entry VMs"])
def test_an_acknowledged_order_is_in_force_as_soon_as_vms_that_stopped_are_ready(
    world, seed, stopped
):
    world.random.seed(seed)
    acknowledged(world, EVACUATE_B)
    lose_power(world, [one for one in world.nodes if stopped == "all" or one[0] == "e"])
    for _ in range(400):
        world.run_until(world.now + 0.005)
        for entry in world.entries():
            if entry.core.is_ready(world.clock(entry.vm)):
                assert entry.core.router.directory.evacuated_zones == {"b"}
    assert all(one.core.is_ready(world.clock(one.vm)) for one in world.entries())


# Guards against an acknowledged order that is gone with the two disks that a deployment
# of six control VMs may lose at once, here those of the leader and of another voter.
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("loses_power", [True, False])
def test_an_acknowledged_order_survives_the_loss_of_two_disks(seed, loses_power):
    seeds = tuple(VmId(f"c-{zone}-{number}") for zone in "abc" for number in (1, 2))
    world = World(Random(seed), seeds, losses=2)
    for vm in seeds:
        world.add(Control(vm, ZoneName(vm[2])), founds=True)
    world.add(Entry(VmId("e-a"), ZoneName("a")))
    world.run_until(8.0)
    leader = leader_of(world)
    core = world.nodes[leader].core.agreed.replica.core
    voters = [voter.vm for voter in core.log.configuration.voters]
    acknowledged(world, EVACUATE_B)
    other = world.random.choice([vm for vm in voters if vm != leader])
    for vm in (leader, other):
        world.stop(vm, wipe=True)
    if loses_power:
        lose_power(world, list(world.nodes))
    world.run_until(world.now + 8.0)
    assert len(voters) == 5
    assert read(world) == (1, ("b",))


# Guards against new control VMs, and those that lost their disks, without the zones.
@pytest.mark.parametrize("has_snapshot", [True, False])
def test_a_control_vm_that_joins_holds_the_evacuated_zones(world, has_snapshot):
    asked(world, leader_of(world), EVACUATE_B)
    for number in range(2, 40 if has_snapshot else 3):
        asked(world, leader_of(world), PutDocument(number, b"%d x" % number), 0.1)
    for vm in SEEDS:
        world.stop(vm)
        del world.nodes[vm]
        fresh = VmId(f"n-{vm}")
        world.name_seed(fresh, instead_of=vm)
        world.add(Control(fresh, ZoneName(vm[-1])))
        world.run_until(world.now + 6.0)
    states = {one.core.agreed.documents.evacuations for one in world.controls()}
    assert states == {(1, ("b",))}
    assert read(world) == (1, ("b",))


make_orders = Orders.__init__


def answering_at_once(kind):
    """Return a constructor of Orders that answer such calls from the state here.

    That is, without the log, in which an order that changes the state still goes.
    """

    def make(self, *arguments):
        make_orders(self, *arguments)
        handle = self.handle

        def at_once(call, token, now):
            held = self.agreed.documents.evacuations
            changes = isinstance(call, OrderEvacuation) and not held.obeys(call)
            if isinstance(call, kind) and not changes:
                self._answer(token, Answer(Outcome.DONE, evacuations=held))
            else:
                handle(call, token, now)

        self.handle = at_once

    return make


def any_revision(self, answer):
    revision, zones = answer.evacuation_revision, answer.evacuated_zones
    self.evacuations = EvacuatedZones(revision, zones)


@pytest.mark.parametrize(
    ("owner", "name", "broken", "seed", "found"),
    [
        (
            Orders,
            "__init__",
            answering_at_once(OrderEvacuation),
            3,
            "missed an acknowledged",
        ),
        (
            Orders,
            "__init__",
            answering_at_once(ReadEvacuations),
            1,
            "a read gave evacuations",
        ),
        (
            DocumentLog,
            "snapshot",
            lambda self: entry_of(self.newest),
            1,
            "stand for two lists",
        ),
        (Follower, "_store_evacuations", any_revision, 1, "went back to evacuations"),
    ],
    ids=["repeats without the log", "reads", "snapshots", "revisions"],
)
def test_a_broken_product_is_found(monkeypatch, owner, name, broken, seed, found):
    monkeypatch.setattr(owner, name, broken)
    violations = registrar.run(seed, evacuates=True).violations
    assert any(found in text for text in violations)
