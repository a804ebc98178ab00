"""Placement of flows while servers are cold or paced, at one VM."""

from __future__ import annotations

import math
from random import Random

import pytest

from kumquatmux_core import decisions, rendezvous
from kumquatmux_core.identity import Endpoint
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens.packets import (
    Drop,
    Forward,
    HoldForServer,
    PacketHeader,
    RequestPlacement,
    Reset,
)
from kumquatmux_tokens.placers import PlaceAnswer, PlaceQuestion
from kumquatmux_tokens.router import TokenRouter
from kumquatmux_tokens.routes import Route, RouteSet, WarmUp, WeightedService
from kumquatmux_tokens.server_pace import PacedAnswers, PaceReport
from kumquatmux_tokens.settings import TokenRouterSettings, WarmUpLimits
from kumquatmux_tokens.syn_router import SettledRequest

ROUTE_ADDRESS = bytes([198, 18, 0, 1, 1, 187])
WARM_UP = WarmUp("entries", 60.0, 10.0)
LIMITS = WarmUpLimits(1.2, 1.5)
BUDGET = 13
VMS = tuple(f"e{number}" for number in range(1, 8))
FIRST, SECOND = rendezvous.rank(b"entries", VMS)[:2]
NOW_S = 10.0


@pytest.fixture(autouse=True)
def lines():
    """Collect the names of the lines instead of writing them."""
    events = []
    decisions.configure(as_json=False, sink=lambda event, fields: events.append(event))
    yield events
    decisions.configure(as_json=False, sink=None)


def record(number, born_ms=1, warm_up_s=0.0, zone="a", doubts=0, phase=Phase.READY):
    lifetime = Lifetime(f"i-{number}", born_ms)
    place = Endpoint("10.0.0.9", number)
    report = Report(lifetime, 1, "entries", place, zone, "v1", 2, phase, warm_up_s)
    return ServerRecord(report, "c1", doubts)


def cold(number, **changes):
    return record(number, warm_up_s=60.0, **changes)


def make_router(
    *records, vm=FIRST, limits=LIMITS, warm_ups=(WARM_UP,), target_s=math.inf
):
    """Return a router that has been fed for 10 s.

    Without a target, openings that find no slot wait in no queue.
    """
    settings = TokenRouterSettings(vm, "a", warm_up_limits=limits)
    router = TokenRouter(settings, Random(1), 0.0)
    weighted = (WeightedService("entries", 1),)
    route = Route("r", ROUTE_ADDRESS, weighted, target_latency_s=target_s)
    services = frozenset({"entries"})
    router.install_routes(RouteSet(1, (route,), services, 15.0, warm_ups), 0.0)
    router.coordinators.set_entry_vms(VMS)
    for step in range(21):
        router.note_feed(True, step * 0.5)
    for one in records:
        router.store_record(one, NOW_S - 1.0)
    return router


def syn(caller, copy=0):
    key = bytes([100, 64, 0, 1]) + caller.to_bytes(2) + ROUTE_ADDRESS
    return PacketHeader(key, ROUTE_ADDRESS, 0, True, False, copy, 100, 0, 0)


def packet(caller, token, sequence=101, acknowledged=500, length=0, is_fin=False):
    key = bytes([100, 64, 0, 1]) + caller.to_bytes(2) + ROUTE_ADDRESS
    return PacketHeader(
        key, ROUTE_ADDRESS, token, False, is_fin, 0, sequence, acknowledged, length
    )


def question(caller, sender="e9", tried=()):
    return PlaceQuestion(sender, syn(caller).flow_key, "entries", tried, False, 100)


def serve(router, caller, token, sent_at, answer_s):
    """Have a flow send a request, get its answer and close."""
    router.route_packet(packet(caller, token, length=9), sent_at)
    answered = packet(caller, token, 110, 900)
    router.route_packet(answered, sent_at + answer_s)
    router.route_packet(
        packet(caller, token, 110, 900, is_fin=True), sent_at + answer_s
    )


def placed_at(decision):
    return decision.token if isinstance(decision, Forward) else 0


def grant_openly(router):
    """Take the pace out of the way, so that only the budget counts."""
    router.recovering.pace.paced.clear()
    router.recovering.pace.tokens_by_service.clear()


def test_the_holder_places_up_to_the_budget_and_then_lets_openings_wait():
    router = make_router(cold(1))
    grant_openly(router)
    tokens = []
    for caller in range(20):
        decision = router.route_packet(syn(caller), NOW_S + caller / 1000)
        tokens.append(placed_at(decision))
        serve(router, caller, cold(1).token, NOW_S + caller / 1000, 0.0)
    assert tokens == [cold(1).token] * BUDGET + [0] * (20 - BUDGET)
    assert router.route_packet(syn(99), NOW_S + 0.1) == HoldForServer("no-slot")
    assert router.recovering.deferred_count(NOW_S + 0.1) == 8
    assert placed_at(router.route_packet(syn(99), NOW_S + 1.1))


def test_another_vms_question_waits_likewise():
    router = make_router(cold(1))
    grant_openly(router)
    answers = [
        router.answer_placement_request(question(caller, f"e{caller}"), NOW_S)
        for caller in range(1, 5)
    ]
    assert all(answer.token == cold(1).token for answer in answers)
    entry = router.directory.by_token[cold(1).token]
    for _ in range(BUDGET):
        router.recovering.note_placement(bytes(12), entry, NOW_S)
    assert router.answer_placement_request(question(30), NOW_S).is_full


@pytest.mark.parametrize("other", [record(2), record(2, zone="b")])
def test_other_servers_are_used_once_the_budget_is_spent(other):
    router = make_router(cold(1), other)
    entry = router.directory.by_token[cold(1).token]
    for _ in range(BUDGET):
        router.recovering.note_placement(bytes(12), entry, NOW_S)
    assert placed_at(router.route_packet(syn(1), NOW_S)) == other.token


# Guards against: two VMs that place on a cold server, each within the budget.
def test_a_vm_that_does_not_hold_the_budget_never_answers_with_a_cold_server():
    router = make_router(cold(1), vm=SECOND)
    answer = router.answer_placement_request(question(1), NOW_S)
    assert answer.is_full


@pytest.mark.parametrize(
    "others",
    [
        (),
        (record(2, doubts=1),),
        (record(2, phase=Phase.DRAINING),),
    ],
    ids=("alone", "beside a late one", "beside a draining one"),
)
def test_it_does_not_place_there_itself_either_when_the_coordinator_is_silent(others):
    router = make_router(cold(1), *others, vm=SECOND)
    for caller in range(40):
        now = NOW_S + caller * 0.05
        router.route_packet(syn(caller), now)
        decision = router.route_packet(syn(caller), now + 0.04)
        assert placed_at(decision) != cold(1).token


# Guards against: a level of last resort that makes up for the withheld server.
def test_a_server_that_left_syns_unanswered_is_no_reason_to_use_a_cold_one():
    router = make_router(cold(1), record(2), vm=SECOND)
    router.load_tracker.avoid(router.load_tracker.local_load_at(record(2).token), NOW_S)
    router.route_packet(syn(1), NOW_S)
    assert placed_at(router.route_packet(syn(1), NOW_S + 0.04)) == record(2).token


def test_cold_servers_of_other_zones_are_never_chosen():
    router = make_router(cold(1, zone="b"))
    assert router.route_packet(syn(1), NOW_S) == HoldForServer("no-slot")


# Guards against: openings lost at a late server that a cold one takes a moment later.
def test_an_opening_waits_for_the_budget_rather_than_go_to_a_late_server():
    router = make_router(cold(1), record(2, doubts=1))
    entry = router.directory.by_token[cold(1).token]
    for _ in range(BUDGET):
        router.recovering.note_placement(bytes(12), entry, NOW_S)
    assert router.route_packet(syn(1), NOW_S) == HoldForServer("no-slot")


def ask(router, caller, now):
    """Have a VM ask for a flow's server; return the answer that grants a cold one."""
    asked = router.route_packet(syn(caller), now)
    assert isinstance(asked, RequestPlacement)
    router.syn_buffer.add(syn(caller), b"", now)
    return PlaceAnswer(FIRST, syn(caller).flow_key, cold(1).token, False, 1)


def use(router, caller, answer, now):
    held = router.process_placement_answer(answer, now)
    assert held is not None
    return router.apply_placement_answer(held.header, answer, now)


def test_a_grant_of_the_holder_is_used():
    router = make_router(cold(1), record(2), vm=SECOND)
    answer = ask(router, 1, NOW_S)
    assert placed_at(use(router, 1, answer, NOW_S + 0.01)) == cold(1).token


# Guards against: grants that queued on a saturated link, used among those of later.
def test_a_grant_that_comes_late_is_not_used():
    router = make_router(cold(1), record(2), vm=SECOND)
    answer = ask(router, 1, NOW_S)
    assert placed_at(use(router, 1, answer, NOW_S + 0.5)) == record(2).token


# Guards against: the late answer to one request taken for that to the next one.
def test_a_flow_whose_request_timed_out_uses_no_later_grant():
    router = make_router(cold(1), vm=SECOND)
    ask(router, 1, NOW_S)
    assert router.route_packet(syn(1), NOW_S + 0.04) == HoldForServer("no-slot")
    router.coordinators.backoffs.clear()
    answer = ask(router, 1, NOW_S + 0.3)
    assert use(router, 1, answer, NOW_S + 0.301) == HoldForServer("no-slot")


def test_a_grant_is_used_once_although_it_comes_twice():
    router = make_router(cold(1), vm=SECOND)
    answer = ask(router, 1, NOW_S)
    use(router, 1, answer, NOW_S + 0.01)
    router.syn_buffer.add(syn(1, 1), b"", NOW_S + 0.2)
    assert not placed_at(use(router, 1, answer, NOW_S + 0.21))


def test_a_cold_server_named_by_another_vm_than_the_first_is_not_used():
    router = make_router(cold(1), record(2), vm=SECOND)
    answer = ask(router, 1, NOW_S)._replace(sender="e99")
    router.coordinators.record_request("e99", syn(1).flow_key, NOW_S)
    assert placed_at(use(router, 1, answer, NOW_S + 0.01)) == record(2).token


# Guards against: copies that reach a cold server without a grant: it may have lost the
# first SYN, so that a copy opens the flow.
def test_a_copy_counts_against_the_budget_and_a_second_reading_is_dropped():
    router = make_router(cold(1))
    grant_openly(router)
    grants = router.recovering.budget.grants
    assert placed_at(router.route_packet(syn(1), NOW_S))
    assert router.route_packet(syn(1), NOW_S + 0.05) == Drop("copy-cold")
    assert len(grants["i-1"]) == 1
    # The unanswered SYN starts the pace; the copy waits until that request expires.
    assert router.route_packet(syn(1, 1), NOW_S + 0.2) == HoldForServer("no-slot")
    router.remove_expired(NOW_S + 0.26)
    assert placed_at(router.route_packet(syn(1, 1), NOW_S + 0.26))
    assert len(grants["i-1"]) == 2


def test_a_copy_that_came_to_another_vm_counts_too():
    router = make_router(cold(1))
    grant_openly(router)
    for sender in ("e8", "e9"):
        answer = router.answer_placement_request(question(1, sender), NOW_S)
        assert answer.token == cold(1).token
    assert len(router.recovering.budget.grants["i-1"]) == 2


# Guards against: a restarted server that gets openings under its former token.
def test_a_copy_does_not_follow_a_server_that_restarted_cold():
    router = make_router(record(1), vm=SECOND)
    router.route_packet(syn(1), NOW_S)
    assert placed_at(router.route_packet(syn(1), NOW_S + 0.04)) == record(1).token
    router.store_record(cold(1, born_ms=2), NOW_S + 0.05)
    decision = router.route_packet(syn(1), NOW_S + 0.06)
    assert not placed_at(decision)


@pytest.mark.parametrize(
    "changes", [{"limits": None}, {"warm_ups": ()}], ids=("no limits", "no warm-up")
)
def test_elsewhere_cold_servers_are_used_as_before(changes, lines):
    router = make_router(cold(1), vm=SECOND, **changes)
    router.route_packet(syn(1), NOW_S)
    assert placed_at(router.route_packet(syn(1), NOW_S + 0.04)) == cold(1).token
    assert not router.recovering.pace.paced
    assert "pace-started" not in lines


def limit_of(router, number=1):
    return router.recovering.pace.paced[record(number).token].limit


def test_a_cold_server_starts_with_one_request_and_gets_one_more_with_each_answer(
    lines,
):
    router = make_router(cold(1))
    assert "pace-started" in lines
    token = cold(1).token
    now = NOW_S
    caller = 0
    reached = []
    for _ in range(5):
        placed = []
        while placed_at(router.route_packet(syn(caller), now)):
            placed.append(caller)
            caller += 1
            if len(placed) > 20:
                break
        reached.append(len(placed))
        for one in placed:
            serve(router, one, token, now, 0.1)
        now += 1.1
        router.note_feed(True, now)
    assert reached == [1, 2, 4, 8, 8]
    assert limit_of(router) == 2 + router.settings.server_queue_limit


def test_late_answers_raise_nothing():
    router = make_router(cold(1), target_s=0.5)
    router.route_packet(syn(1), NOW_S)
    serve(router, 1, cold(1).token, NOW_S, 0.51)
    assert limit_of(router) == 1


def test_without_a_target_an_answer_is_in_time_within_twice_the_mean():
    router = make_router(cold(1), record(2), target_s=math.inf)
    for caller in range(100, 140):
        serve(router, caller, record(2).token, NOW_S, 0.1)
    router.route_packet(syn(1), NOW_S)
    serve(router, 1, cold(1).token, NOW_S, 0.21)
    assert limit_of(router) == 1
    serve(router, 2, cold(1).token, NOW_S, 0.19)
    assert limit_of(router) == 2


def test_an_unanswered_syn_halves_the_limit_but_leaves_one():
    router = make_router(cold(1))
    pace = router.recovering.pace
    pace.note_answers(cold(1).token, 5)
    limits = []
    for caller in range(4):
        router.recovering.note_unanswered(cold(1).token, NOW_S + caller)
        limits.append(limit_of(router))
    assert limits == [3, 1, 1, 1]


# Guards against: an opening that the server shed, of which a VM sees nothing more.
def test_a_flow_that_does_not_open_halves_the_limit_of_a_paced_server_only():
    router = make_router(cold(1), record(2))
    router.recovering.pace.note_answers(cold(1).token, 3)
    for caller, token in ((1, cold(1).token), (2, record(2).token)):
        router.load_tracker.record_syn(syn(caller), token, NOW_S)
    router.load_tracker.expire_syn_requests(NOW_S + 0.3)
    assert limit_of(router) == 2
    assert record(2).token not in router.recovering.pace.paced


@pytest.mark.parametrize("warm_up_s", (0.0, 60.0))
def test_a_server_that_was_late_starts_again_with_one_request(warm_up_s):
    router = make_router(record(1, warm_up_s=warm_up_s))
    router.recovering.pace.note_answers(record(1).token, 5)
    router.store_record(record(1, warm_up_s=warm_up_s, doubts=1), NOW_S)
    router.recovering.pace.note_answers(record(1).token, 5)
    router.store_record(record(1, warm_up_s=warm_up_s, doubts=2), NOW_S + 3)
    assert limit_of(router) == 1


def test_a_server_that_left_a_syn_unanswered_starts_again_with_one_request():
    router = make_router(record(1))
    assert not router.recovering.pace.paced
    router.route_packet(syn(1), NOW_S)
    router.route_packet(syn(1, 1), NOW_S + 0.2)
    assert limit_of(router) == 1


def test_the_limit_is_lifted_after_ten_seconds_without_a_fault(lines):
    router = make_router(cold(1))
    router.recovering.note_unanswered(cold(1).token, NOW_S + 5.0)
    router.remove_expired(NOW_S + 14.9)
    assert limit_of(router) == 1
    router.remove_expired(NOW_S + 15.1)
    assert not router.recovering.pace.paced
    assert not router.recovering.pace.tokens_by_service
    assert "pace-lifted" in lines


def test_a_repeated_record_of_a_cold_server_does_not_start_its_pace_again():
    router = make_router(cold(1))
    router.recovering.pace.note_answers(cold(1).token, 5)
    router.store_record(cold(1), NOW_S + 1.0)
    assert limit_of(router) == 6


# Guards against: a limit that stays at 1, as the flows pass other VMs.
def test_a_coordinator_hears_of_answers_and_faults_at_other_vms():
    coordinator = make_router(record(1), vm=FIRST)
    other = make_router(record(1), vm=SECOND)
    token = record(1).token
    coordinator.recovering.note_unanswered(token, NOW_S)
    answer = coordinator.answer_placement_request(question(1, SECOND), NOW_S)
    assert answer.is_paced
    ask(other, 1, NOW_S)
    use(other, 1, answer, NOW_S + 0.01)
    serve(other, 1, token, NOW_S + 0.02, 0.1)
    [(receiver, report)] = other.due_pace_reports(NOW_S + 0.2)
    assert receiver == FIRST
    assert report == PaceReport(SECOND, (PacedAnswers(token, 1, 0),))
    assert other.due_pace_reports(NOW_S + 0.3) == []
    coordinator.recovering.apply_report(report, NOW_S + 0.2)
    assert limit_of(coordinator) == 2
    fault = PaceReport(SECOND, (PacedAnswers(token, 0, 2**32),))
    coordinator.recovering.apply_report(fault, NOW_S + 0.3)
    assert limit_of(coordinator) == 1


def test_a_report_about_unknown_servers_changes_nothing():
    router = make_router(record(1))
    router.recovering.apply_report(PaceReport("e9", (PacedAnswers(5, 1, 1),)), NOW_S)
    assert not router.recovering.pace.paced


def test_a_coordinator_that_takes_over_starts_each_limit_at_one():
    router = make_router(cold(1))
    router.recovering.pace.note_answers(cold(1).token, 5)
    router.coordinators.set_entry_vms((SECOND,))
    router.note_feed(True, NOW_S)
    router.coordinators.set_entry_vms(VMS)
    router.note_feed(True, NOW_S + 0.1)
    assert limit_of(router) == 1


def test_servers_that_end_leave_nothing_behind():
    router = make_router(cold(1), record(2), vm=SECOND)
    recovering = router.recovering
    recovering.watch(record(2).token, NOW_S)
    recovering.note_unanswered(record(2).token, NOW_S)
    for number in (1, 2):
        router.store_record(record(number, phase=Phase.ENDED), NOW_S + 1.0)
    router.remove_expired(NOW_S + 400.0)
    router.remove_expired(NOW_S + 400.0)
    assert not recovering.pace.paced
    assert not recovering.cold_tokens
    assert not recovering.watched_until
    assert not recovering.counts
    assert not recovering.budget.grants
    assert not router.coordinators.timed_out


def test_lines_of_withheld_servers_are_at_most_one_a_second(lines):
    router = make_router(cold(1), vm=SECOND)
    for step in range(200):
        router.answer_placement_request(question(step), NOW_S + step * 0.01)
    assert lines.count("pace-limited") == 2


# Cold servers and the queue of their service.

TARGET_S = 0.5
QUEUED = HoldForServer("queued")


def spend_budget(router, now=NOW_S, count=BUDGET):
    entry = router.directory.by_token[cold(1).token]
    for _ in range(count):
        router.recovering.note_placement(bytes(12), entry, now)


def hold(router, caller, now):
    """Route a SYN and buffer it, as the daemon does."""
    decision = router.route_packet(syn(caller), now)
    router.syn_buffer.add(syn(caller), b"", now)
    return decision


def queued_question(caller, sender="e9"):
    timed = {"wait_left_ms": 1400, "target_latency_ms": 500}
    return question(caller, sender)._replace(**timed)


def settle(router, start, end):
    """Settle the queues every 20 ms; return what the last time brings."""
    for step in range(1, round((end - start) / 0.02)):
        assert router.settle_queues(start + step * 0.02) == []
    return router.settle_queues(end)


def queued_at_holder():
    """Return a holder whose budget is spent, with an opening of another VM queued."""
    router = make_router(cold(1), target_s=TARGET_S)
    grant_openly(router)
    spend_budget(router, NOW_S - 0.9)
    answer = router.answer_placement_request(queued_question(1), NOW_S)
    assert answer.queue_position == 1
    return router


def grants_of(router):
    return len(router.recovering.budget.grants["i-1"])


# Guards against: a queue that takes a withheld server for a free slot.
def test_the_queue_grants_cold_servers_within_the_budget_only():
    router = make_router(cold(1), target_s=TARGET_S)
    grant_openly(router)
    spend_budget(router, NOW_S - 1.0, 3)
    spend_budget(router, NOW_S - 0.5, BUDGET - 3)
    assert [hold(router, caller, NOW_S) for caller in range(20)] == [QUEUED] * 20
    settled = settle(router, NOW_S, NOW_S + 0.04)
    assert [placed_at(one.decision) for one in settled] == [cold(1).token] * 3
    assert grants_of(router) == BUDGET
    assert len(router.queues) == 17
    assert router.settle_queues(NOW_S + 0.06) == []


# Guards against: a queue that floods a server which the pace limits.
def test_the_queue_grants_as_many_as_the_pace_allows_and_says_so():
    router = make_router(cold(1), target_s=TARGET_S)
    assert not router.answer_placement_request(queued_question(1), NOW_S).is_full
    for caller in (2, 3):
        answer = router.answer_placement_request(queued_question(caller), NOW_S)
        assert answer.queue_position == caller - 1
    assert router.settle_queues(NOW_S + 0.02) == []
    router.recovering.pace.note_answers(cold(1).token, 1)
    [settled] = router.settle_queues(NOW_S + 0.04)
    assert isinstance(settled, SettledRequest)
    assert settled.answer.flow_key == syn(2).flow_key
    assert settled.answer.is_paced


# Guards against: a grant counted once when it is told and once more when it is used.
def test_a_queued_grant_that_is_confirmed_counts_once_and_from_then_on():
    router = queued_at_holder()
    [settled] = settle(router, NOW_S, NOW_S + 0.14)
    assert grants_of(router) == 1
    confirmed = router.answer_placement_request(queued_question(1), NOW_S + 0.3)
    assert confirmed == settled.answer
    assert router.recovering.budget.grants["i-1"][0] == NOW_S + 0.3
    assert grants_of(router) == 1


# Guards against: copies of an opening that reach a cold server without a count.
@pytest.mark.parametrize(
    "changes",
    [
        {"sender": "e8"},
        {"tried_tokens": (cold(1).token,)},
        {"sequence_number": 9_000_000},
    ],
    ids=("from another VM", "a copy", "another flow on the same port"),
)
def test_no_other_question_counts_as_the_confirmation(changes):
    router = queued_at_holder()
    assert settle(router, NOW_S, NOW_S + 0.14)
    other = queued_question(1)._replace(**changes)
    assert not router.answer_placement_request(other, NOW_S + 0.15).is_full
    assert grants_of(router) == 2


# Guards against: a confirmation by a VM that holds the budget no more.
def test_a_former_holder_confirms_no_grant():
    router = queued_at_holder()
    assert settle(router, NOW_S, NOW_S + 0.14)
    router.coordinators.set_entry_vms((SECOND,))
    router.note_feed(True, NOW_S + 0.15)
    assert router.answer_placement_request(queued_question(1), NOW_S + 0.2).is_full


# Guards against: grants that are remembered without end.
def test_a_queued_grant_is_forgotten_once_its_caller_has_given_up():
    router = queued_at_holder()
    assert settle(router, NOW_S, NOW_S + 0.14)
    router.remove_expired(NOW_S + 3.0)
    assert router.queues.grants == {}


def wait_in_queue(router, caller, now, vm=FIRST):
    """Have a VM ask, and be told that the flow is queued."""
    granted = ask(router, caller, now)._replace(sender=vm)
    full = granted._replace(token=0, is_full=True, queue_position=3)
    router.coordinators.record_request(vm, granted.flow_key, now)
    assert router.process_placement_answer(full, now + 0.002) is None
    assert router.syn_buffer.waits[granted.flow_key].vm == vm
    return granted


# Guards against: second answers that all count as late, as nobody asked for them.
def test_a_grant_out_of_the_queue_is_used_once_it_is_confirmed():
    router = make_router(cold(1), vm=SECOND, target_s=TARGET_S)
    granted = wait_in_queue(router, 1, NOW_S)
    confirming = use(router, 1, granted, NOW_S + 0.2)
    assert isinstance(confirming, RequestPlacement)
    assert confirming.coordinator == FIRST
    assert len(router.syn_buffer.by_flow) == 1
    assert placed_at(use(router, 1, granted, NOW_S + 0.21)) == cold(1).token


# Guards against: grants that were long on their way, used among those of later.
def test_a_grant_out_of_the_queue_is_not_used_if_its_confirmation_is_late():
    router = make_router(cold(1), vm=SECOND, target_s=TARGET_S)
    granted = wait_in_queue(router, 1, NOW_S)
    use(router, 1, granted, NOW_S + 0.2)
    assert not placed_at(use(router, 1, granted, NOW_S + 0.24))


# Guards against: a grant for a flow that waits elsewhere, or comes a second time.
def test_a_second_answer_of_another_vm_than_the_first_is_not_used_at_a_cold_server():
    router = make_router(cold(1), record(2), vm=SECOND, target_s=TARGET_S)
    granted = wait_in_queue(router, 1, NOW_S, vm="e99")
    assert placed_at(use(router, 1, granted, NOW_S + 0.2)) == record(2).token


# Guards against: a round trip more for each queued opening, for servers without limits.
def test_a_queued_grant_at_a_warm_server_is_used_at_once():
    router = make_router(record(1), vm=SECOND, target_s=TARGET_S)
    granted = wait_in_queue(router, 1, NOW_S)
    assert placed_at(use(router, 1, granted, NOW_S + 0.2)) == record(1).token


# Queues and evacuated zones.


# Guards against: callers that wait in a queue for servers which get no new flows.
@pytest.mark.parametrize("vm", (FIRST, SECOND), ids=("own queue", "another VM's"))
def test_openings_in_a_queue_are_refused_when_all_zones_are_evacuated(vm):
    router = make_router(record(1), vm=vm, target_s=TARGET_S)
    if vm == FIRST:
        load = router.load_tracker.local_load_at(record(1).token)
        load.active_requests = 10
        router.load_tracker.changed_tokens.add(record(1).token)
        assert hold(router, 1, NOW_S) == QUEUED
    else:
        wait_in_queue(router, 1, NOW_S)
    assert router.is_queued(syn(1), NOW_S + 0.01)
    router.set_evacuated_zones(frozenset({"a"}))
    assert not router.is_queued(syn(1), NOW_S + 0.02)
    decision = router.route_packet(syn(1), NOW_S + 0.02)
    assert decision == Reset(0, "zone-evacuated")
    assert not router.syn_buffer.waits
    assert len(router.queues) == 0


# Guards against: a slot at an evacuated server that is taken for a free one.
def test_a_queue_grants_no_server_of_an_evacuated_zone():
    router = make_router(record(1), record(2, zone="b"), target_s=TARGET_S)
    for number in (1, 2):
        load = router.load_tracker.local_load_at(record(number).token)
        load.active_requests = 10
        router.load_tracker.changed_tokens.add(record(number).token)
    assert router.answer_placement_request(queued_question(1), NOW_S).queue_position
    router.set_evacuated_zones(frozenset({"a"}))
    router.load_tracker.local_load_at(record(1).token).active_requests = 0
    router.load_tracker.changed_tokens.add(record(1).token)
    assert router.settle_queues(NOW_S + 0.02) == []
    router.load_tracker.local_load_at(record(2).token).active_requests = 0
    router.load_tracker.changed_tokens.add(record(2).token)
    [settled] = router.settle_queues(NOW_S + 0.04)
    assert settled.answer.token == record(2).token
