"""Cold servers of a zone under load, with entry VMs replaced, frozen and cut off."""

from __future__ import annotations

import importlib.util
import math
from pathlib import Path
from random import Random

import pytest

from kumquatmux_core import decisions, rendezvous
from kumquatmux_daemons.token_entry.waiting_syns import RETRY_S
from kumquatmux_tokens.placers import PlaceAnswer

_path = Path(__file__).with_name("pace_world.py")
_spec = importlib.util.spec_from_file_location("pace_world", _path)
pace_world = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(pace_world)
BUDGET, HOP_S, LIMITS = pace_world.BUDGET, pace_world.HOP_S, pace_world.LIMITS
QUEUE, SLOTS, SERVICE = pace_world.QUEUE, pace_world.SLOTS, pace_world.SERVICE
Server, World = pace_world.Server, pace_world.World

SATURATING_PER_S = 200.0
"""New flows a second that all four servers could not take within the budget."""

TARGET_S = 0.5


@pytest.fixture(autouse=True)
def lines():
    """Collect the names of the lines instead of writing them."""
    events = []
    decisions.configure(as_json=False, sink=lambda event, fields: events.append(event))
    yield events
    decisions.configure(as_json=False, sink=None)


def returned_cold(seed, vms=8, target_s=math.inf):
    """Return a zone whose servers all came back cold 2 s ago, under load.

    Without a target, callers that find no slot wait until they give up.
    """
    servers = [Server(number, 0.02) for number in range(1, 5)]
    world = World(vms, servers, seed, target_latency_s=target_s)
    world.run(4.0, 60.0)
    for server in world.servers.values():
        server.is_down = True
    world.run(5.0, 60.0)
    for server in world.servers.values():
        server.start(world.now, warm_up_s=30.0)
        server.cold_factor = 1.0
    world.run(7.0, SATURATING_PER_S)
    return world


def busiest_second(world):
    """Return the most openings within a second at a server that started cold."""
    return max(
        server.busiest_second()
        for server in world.servers.values()
        if server.cold_until > 0
    )


def openings_since(world, time):
    return [
        sum(1 for opening in server.openings if opening >= time)
        for server in world.servers.values()
    ]


def add_vm_that_ranks_first(world):
    """Start an entry VM that is first in the ranking; return its name."""
    number = 1
    while True:
        vm = f"10.3.9.{number}"
        if rendezvous.rank(SERVICE.encode(), (*world.listed, vm))[0] == vm:
            break
        number += 1
    world.listed[vm] = world.now
    world.start_vm(vm)
    return vm


def leave_alone(world):
    world.run(12.0, SATURATING_PER_S)


def freeze_shortly(world):
    world.frozen[world.holder()] = world.now + 0.8
    world.run(12.0, SATURATING_PER_S)


def freeze_long(world):
    world.frozen[world.holder()] = world.now + 2.0
    world.run(14.0, SATURATING_PER_S)


def cut_off(world):
    """Cut the holder off from all VMs; a control VM drops it from the list later."""
    holder = world.holder()
    world.cut.add(holder)
    world.cut_from_control.add(holder)
    world.run(9.0, SATURATING_PER_S)
    del world.listed[holder]
    world.run(14.0, SATURATING_PER_S)


def lose_and_drop(world):
    holder = world.holder()
    del world.cores[holder]
    world.ingress.remove(holder)
    world.run(8.0, SATURATING_PER_S)
    del world.listed[holder]
    world.run(14.0, SATURATING_PER_S)


def restart(world):
    """Have the holder's process start again at once: it has forgotten its grants."""
    world.start_vm(world.holder())
    world.run(12.0, SATURATING_PER_S)


def replace(world):
    world.ingress.append(add_vm_that_ranks_first(world))
    world.run(12.0, SATURATING_PER_S)


def replace_unnoticed(world):
    """Replace the holder while it hears no control VM; callers know these two VMs."""
    holder = world.holder()
    world.cut_from_control.add(holder)
    world.ingress = [holder, add_vm_that_ranks_first(world)]
    world.run(12.0, SATURATING_PER_S)


def drop_from_list(world):
    holder = world.holder()
    world.cut_from_control.add(holder)
    del world.listed[holder]
    world.run(12.0, SATURATING_PER_S)


def delay_answers(world):
    delays = Random(5)
    world.delay = lambda: delays.uniform(0, 0.6) if delays.random() < 0.3 else HOP_S
    world.run(12.0, SATURATING_PER_S)


FAULTS = (
    leave_alone,
    freeze_shortly,
    freeze_long,
    cut_off,
    lose_and_drop,
    restart,
    replace,
    replace_unnoticed,
    drop_from_list,
    delay_answers,
)


# Guards against: more openings at a cold server than its budget, summed over all VMs,
# in any second around the loss of the VM that grants them.
@pytest.mark.parametrize("seed", (1, 2))
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_no_cold_server_gets_more_than_its_budget_in_any_second(fault, seed):
    world = returned_cold(seed)
    fault(world)
    assert busiest_second(world) <= BUDGET
    if fault is not delay_answers:
        last_s = openings_since(world, world.now - 1.0)
        assert min(last_s) >= BUDGET - 1, "the budget is left unused"


def idle_room_s(world, until):
    """Let time pass; return the longest for which a queued opening had an idle slot.

    Only the queue of the budget's holder counts, while it may grant.
    """
    longest_s, since = 0.0, None
    while world.now < until:
        world.run(world.now + pace_world.STEP_S / 2, SATURATING_PER_S)
        router = world.cores[world.holder()].router
        queue = router.queues.by_service.get(SERVICE)
        is_granting = queue is not None and world.now >= queue.granting_from
        withheld = router.recovering.withheld(SERVICE, world.now).tokens
        if not is_granting or not queue.by_flow or len(withheld) == len(world.servers):
            since = None
            continue
        since = world.now if since is None else since
        longest_s = max(longest_s, world.now - since)
    return longest_s


# Guards against: a queue whose grants pass by the budget, come late, or count twice,
# and one that keeps callers waiting while the budget has room.
@pytest.mark.parametrize("seed", (1, 2))
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_the_queue_of_a_service_keeps_to_the_budget_and_uses_it(fault, seed):
    world = returned_cold(seed, target_s=TARGET_S)
    fault(world)
    if fault is not delay_answers:
        assert idle_room_s(world, world.now + 1.0) <= 2 * RETRY_S
    assert busiest_second(world) <= BUDGET


# Guards against: grants that were long on their way, used among those of later.
@pytest.mark.parametrize("seed", (1, 2))
def test_late_second_answers_do_not_exceed_the_budget(seed):
    world = returned_cold(seed, target_s=TARGET_S)
    delays = Random(7)
    carry_out = world.carry_out

    def carry_out_late(vm, effects):
        for effect in effects:
            answer = getattr(effect, "message", None)
            is_grant = isinstance(answer, PlaceAnswer) and not answer.is_full
            is_late = is_grant and delays.random() < 0.3
            world.delay = (lambda: delays.uniform(0, 0.6)) if is_late else lambda: HOP_S
            carry_out(vm, [effect])

    world.carry_out = carry_out_late
    world.run(14.0, SATURATING_PER_S)
    assert busiest_second(world) <= BUDGET
    assert min(openings_since(world, 7.0)) >= BUDGET


# Guards against: a model in which the first test of the budget can't fail.
def test_a_successor_that_waits_only_one_second_exceeds_the_budget():
    world = returned_cold(1)
    start_vm = world.start_vm

    def start_hasty_vm(vm):
        start_vm(vm)
        tenure = world.cores[vm].router.recovering.tenure
        tenure.settings = tenure.settings._replace(budget_wait_s=1.0)

    world.start_vm = start_hasty_vm
    replace_unnoticed(world)
    assert busiest_second(world) > BUDGET


# Guards against: cold servers that stay idle although callers wait for them.
def test_the_budget_is_used_while_all_servers_of_a_zone_are_cold():
    world = returned_cold(1)
    began = world.now
    world.run(12.0, SATURATING_PER_S)
    seconds = world.now - began
    # Grants count for 1.03 s, as they are used up to 0.03 s later.
    assert min(openings_since(world, began)) >= math.floor(BUDGET * seconds / 1.03) - 1


# Guards against: VMs that use cold servers by themselves once control is out of reach.
def test_without_control_no_cold_server_gets_an_opening():
    world = returned_cold(1)
    world.cut_from_control.update(world.vms)
    world.run(8.8, SATURATING_PER_S)
    since = world.now
    world.run(12.0, SATURATING_PER_S)
    assert openings_since(world, since) == [0, 0, 0, 0]


# Guards against: a VM whose own placements pass by a silent holder.
def test_a_vm_that_gets_no_answer_uses_servers_of_other_zones_instead():
    world = returned_cold(1)
    world.servers[9] = Server(9, 0.02, "b")
    world.run(8.0, 60.0)
    del world.cores[world.holder()]
    world.ingress.remove(world.holder())
    since = world.now
    world.run(10.0, 60.0)
    *cold, warm = openings_since(world, since)
    assert cold == [0, 0, 0, 0]
    assert warm > 60.0


# Guards against: load reports that grow for services and sites without a warm-up.
def test_without_limits_nothing_is_withheld_and_no_pace_is_told(lines):
    world = World(8, [Server(number, 0.02) for number in range(1, 5)], limits=None)
    world.run(2.0, 60.0)
    world.servers[1].start(world.now)
    world.run(4.0, 60.0)
    assert not {"pace-started", "pace-limited", "budget-awaited"} & set(lines)
    assert all(not core.router.recovering.counts for core in world.cores.values())


def callers_after_a_return(limits, seed, cold, remote, factor, per_s):
    """Return what the callers of the first 5 s after a return wait, and what is shed.

    Requests in progress slow a cold server down, so that a queue costs twice.
    """
    local = [Server(number, 0.055) for number in range(1, cold + 1)]
    others = [Server(20 + number, 0.055, "b") for number in range(remote)]
    world = World(8, local + others, seed, limits, TARGET_S)
    world.run(4.0, per_s)
    for server in local:
        server.is_down = True
    world.run(5.0, per_s)
    for server in local:
        server.start(world.now)
        server.cold_factor = factor
    world.run(13.0, per_s)
    return world.waits(5.0, 10.0), sum(server.shed for server in local), world


# Guards against: a rule that bounds the openings, and makes callers wait for it.
@pytest.mark.parametrize(
    "cold, remote, factor, per_s", [(6, 3, 4.0, 120.0), (6, 0, 2.0, 60.0)]
)
def test_fewer_callers_miss_the_target_after_a_return_than_by_the_cost_factor_alone(
    cold, remote, factor, per_s
):
    late, shed = {}, {}
    for limits in (None, LIMITS):
        late[limits] = shed[limits] = 0
        for seed in (1, 2, 3):
            waits, shed_here, world = callers_after_a_return(
                limits, seed, cold, remote, factor, per_s
            )
            late[limits] += sum(1 for wait_s in waits if wait_s > TARGET_S)
            shed[limits] += shed_here
            assert limits is None or busiest_second(world) <= BUDGET
    assert late[LIMITS] < late[None]
    assert shed[LIMITS] <= shed[None]


# Guards against: a limit that stays low once the server answers in time.
def test_a_recovered_server_is_used_in_full_within_seconds():
    world = World(8, [Server(number, 0.02) for number in range(1, 5)])
    world.run(4.0, 300.0)
    world.servers[1].is_down = True
    world.run(4.6, 300.0)
    world.servers[1].is_down = False
    world.run(9.0, 300.0)
    since = world.now
    world.run(11.0, 300.0)
    first, *others = openings_since(world, since)
    assert first > 0.7 * sum(others) / len(others)
    assert SLOTS + QUEUE >= max(
        paced.limit
        for core in world.cores.values()
        for paced in core.router.recovering.pace.paced.values()
    )
