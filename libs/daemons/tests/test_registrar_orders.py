"""Orders to evacuate zones at one control VM."""

from __future__ import annotations

from random import Random

import pytest

from kumquatmux_daemons.registrar.calls import (
    OrderEvacuation,
    Outcome,
    PutDocument,
    ReadDocument,
    ReadEvacuations,
)
from kumquatmux_daemons.registrar.core import Sent
from kumquatmux_daemons.registrar.folder import check_documents
from kumquatmux_daemons.registrar.seats import SEATING_S
from kumquatmux_lab.faultruns.registrar_world import Control, World
from kumquatmux_registry.feed import FeedPoll
from kumquatmux_settings.evacuations import MAX_ZONES

EVACUATE_B = OrderEvacuation("b", True)


def make_world(vms=("c-a",), losses=0, runs_s=2.0):
    world = World(Random(1), vms, losses=losses)
    for vm in vms:
        world.add(Control(vm, vm[-1]), founds=True)
    world.run_until(runs_s)
    return world, world.nodes[vms[0]]


def answer_to(world, call, vm="c-a"):
    answers = []
    world.call(vm, call, answers.append)
    [answer] = answers
    return answer


# Guards against a process that loses what it acknowledged, by way of the log or of a
# snapshot, and against a data folder that is refused for either.
@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("has_snapshot", [False, True])
def test_acknowledged_orders_survive_a_loss_of_power(seed, has_snapshot):
    world, control = make_world()
    answer_to(world, PutDocument(4, b"4 x"))
    for revision in range(1, 18 if has_snapshot else 4):
        zones = ("b",) if revision % 2 else ()
        order = OrderEvacuation("b", bool(zones))
        assert answer_to(world, order).outcome == Outcome.DONE
        assert answer_to(world, ReadEvacuations()).evacuations == (revision, zones)
    assert control.core.orders.evacuation_reads == set()
    world.random.seed(seed)
    world.stop(control.vm, power=True)
    world.start(control.vm)
    world.run_until(4.0)
    assert bool(control.core.agreed.store.restored.snapshot.data) == has_snapshot
    assert check_documents(control.core.agreed.store).is_ok()
    assert answer_to(world, ReadEvacuations()).evacuations == (revision, zones)
    assert answer_to(world, ReadDocument()).content == b"4 x"
    assert control.core.publisher.evacuations == (revision, zones)


# Guards against an order that reaches entry VMs only with their next poll.
def test_a_change_is_pushed_to_entry_vms_with_its_acknowledgment():
    core = make_world()[1].core
    core.message("e", FeedPoll("e", "a", False, 0, 0, 0, True), 2.0)
    for now, pushed in ((2.1, [("e", ("b",))]), (2.2, [])):
        effects = core.call(EVACUATE_B, "t", now)
        sent = [one for one in effects if isinstance(one, Sent)]
        assert [(one.vm, one.message.evacuated_zones) for one in sent] == pushed


# Guards against an order before any document that is refused or lost with one disk, or
# that waits for voters for longer than the 6 s in which operators send it again.
@pytest.mark.parametrize(
    ("losses", "number", "problem"),
    [(0, 0, ""), (1, 1, ""), (1, 0, "too-few-voters")],
)
def test_the_first_order_waits_for_voters(losses, number, problem):
    world, control = make_world(losses=losses)
    documents = control.core.agreed.documents
    documents.newest = documents.newest._replace(number=number)
    answer = answer_to(world, EVACUATE_B)
    assert answer.outcome == (Outcome.UNAVAILABLE if problem else Outcome.DONE)
    assert (answer.problem.code if answer.problem else "") == problem
    assert SEATING_S < 6.0


# Guards against an order at a leader that may not be there to see it committed.
@pytest.mark.parametrize("vms", [("c-a",), ("c-a", "c-b", "c-c")])
def test_a_vm_that_stops_or_knows_no_leader_puts_orders_off(vms):
    world, control = make_world(vms, runs_s=2.0 if len(vms) == 1 else 0.0)
    control.core.stop(world.now)
    answer = answer_to(world, EVACUATE_B)
    assert (answer.outcome, answer.problem.code) == (Outcome.UNAVAILABLE, "no-leader")
    assert control.core.agreed.documents.evacuations.revision == 0


def test_a_control_vm_that_does_not_lead_sends_operators_to_the_leader():
    world, control = make_world(vms=("c-a", "c-b", "c-c"))
    leader = control.core.agreed.leader_vm
    follower = max(world.nodes.keys() - {leader})
    for call in (EVACUATE_B, ReadEvacuations()):
        answer = answer_to(world, call, follower)
        assert (answer.outcome, answer.leader) == (Outcome.ELSEWHERE, leader)


# Guards against names that fill the feed, and an operator who isn't told that the order
# is not in force.
def test_an_order_beyond_the_limit_is_refused_until_another_is_reversed():
    world, control = make_world()
    for number in range(MAX_ZONES):
        answer_to(world, OrderEvacuation(f"z{number}", True))
    answer = answer_to(world, EVACUATE_B)
    assert (answer.outcome, answer.problem.code) == (Outcome.REFUSED, "too-many-zones")
    assert control.core.agreed.documents.evacuations.revision == MAX_ZONES
    for call in (OrderEvacuation("z3", True), OrderEvacuation("z3", False), EVACUATE_B):
        assert answer_to(world, call).outcome == Outcome.DONE
