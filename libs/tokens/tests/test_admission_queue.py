from __future__ import annotations

import tracemalloc
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core import decisions
from kumquatmux_core.identity import ServerId
from kumquatmux_placement.admission import Admission
from kumquatmux_placement.events import (
    Held,
    Server,
    ServersChanged,
    ServerState,
    Submit,
    Work,
)
from kumquatmux_placement.retry_budget import RetryBudget
from kumquatmux_placement.settings import PlacementSettings
from kumquatmux_placement.standing_queue import StandingQueue
from kumquatmux_placement.waiting import WaitQueue
from kumquatmux_tokens.admission_queue import AdmissionQueue, QueuedOpening, Rank
from kumquatmux_tokens.placers import PlaceQuestion
from kumquatmux_tokens.recent_rate import RecentRate
from kumquatmux_tokens.refused_callers import RefusedCallers
from kumquatmux_tokens.settings import TokenRouterSettings

SETTINGS = TokenRouterSettings("e1", "a")
NOW_S = 10.0
FLOW = b"addrP1route1"


@pytest.fixture(autouse=True)
def quiet():
    decisions.configure(as_json=False, enabled=False)
    yield
    decisions.configure(as_json=False)


def opening(
    number, priority=0, now=NOW_S, target_s=0.5, rank=Rank.IN_TIME, caller=None, **times
):
    address = (number if caller is None else caller).to_bytes(4)
    flow_key = address + number.to_bytes(2) + bytes(6)
    question = PlaceQuestion("e2", flow_key, "s", (), False, 100)
    first_sent_at = times.get("first_sent_at", now)
    ends = [first_sent_at + min(1.4, factor * target_s) for factor in (0.5, 1, 2)]
    return QueuedOpening(question, priority, rank, first_sent_at, *ends, now, number)


def queue_of(*openings, settings=SETTINGS, now=NOW_S):
    queue = AdmissionQueue(settings, now)
    for one in openings:
        queue.add(one, now, has_room=True)
    return queue


def admit(queue, one, now=NOW_S, has_room=True):
    """Queue an opening unless it is refused; return the reason."""
    reason = queue.refusal_reason(one, now, has_room=has_room)
    if not reason:
        queue.add(one, now, has_room=has_room)
    return reason


def drain(queue, now=NOW_S, count=None):
    """Grant slots to openings; return their numbers in that order."""
    granted = []
    while len(granted) != count and (one := queue.next_opening()) is not None:
        queue.record_grant(one, now)
        granted.append(one.number)
    return granted


def grant_steadily(queue, per_s, until, now=NOW_S):
    """Record grants at a rate, without openings that get them."""
    spare = opening(60_000, 7)
    while now + 1 / per_s <= until:
        now += 1 / per_s
        queue.record_grant(spare, now)


# Guards against bulk requests that take the slots of urgent ones, and against retries
# that are refused again while new callers are served.
def test_priority_goes_first_then_refused_callers_then_the_earliest_deadline():
    queue = queue_of(
        opening(1, 1),
        opening(2, 0),
        opening(3, 0, target_s=0.3),
        opening(4, 0, rank=Rank.RETRY),
        opening(5, 0, first_sent_at=NOW_S - 0.15),
    )
    assert drain(queue) == [4, 5, 3, 2, 1]


def test_openings_that_can_be_answered_in_time_go_before_late_ones():
    """Guards against an overload in which every request is served when it is late."""
    queue = queue_of(opening(1), opening(2, target_s=0.2), opening(3, target_s=2.0))
    now = NOW_S + 0.3
    queue.add(opening(4, now=now), now, has_room=True)
    queue.note_late(now)
    assert drain(queue) == [4, 3, 2, 1]


@pytest.mark.parametrize("lower", [1, 7])
def test_a_lower_priority_gets_one_slot_in_eight(lower):
    """Guards against the starvation of a low priority under lasting overload."""
    urgent = [opening(number, 0) for number in range(100)]
    bulk = [opening(1000 + number, lower) for number in range(100)]
    granted = drain(queue_of(*urgent, *bulk), count=80)
    assert sum(number >= 1000 for number in granted) == 10


@given(st.lists(st.tuples(st.integers(0, 7), st.booleans()), min_size=40, max_size=300))
def test_no_priority_starves_whatever_comes(steps):
    """Guards against a class that never gets a slot while others keep arriving."""
    queue = queue_of()
    passed = [0] * 8
    for number, (priority, is_granted) in enumerate(steps):
        queue.add(opening(number, priority), NOW_S, has_room=True)
        if not is_granted:
            continue
        chosen = queue.next_opening()
        queue.record_grant(chosen, NOW_S)
        for one, keys in enumerate(queue.classes):
            is_passed = bool(keys) and one != chosen.priority
            passed[one] = passed[one] + 1 if is_passed else 0
        top = min((one for one, keys in enumerate(queue.classes) if keys), default=0)
        assert all(count <= 8 + 7 for one, count in enumerate(passed) if one != top)


def test_no_caller_address_takes_the_whole_queue():
    """Guards against one caller whose many flows keep all others out."""
    settings = SETTINGS._replace(caller_queue_limit=3)
    queue = queue_of(settings=settings)
    reasons = [admit(queue, opening(number, caller=9)) for number in range(4)]
    assert reasons == ["", "", "", "caller-share"]
    assert admit(queue, opening(5, caller=8)) == ""
    drain(queue, count=1)
    assert admit(queue, opening(6, caller=9)) == ""


def test_a_full_queue_gives_up_the_last_opening_of_a_lower_priority_only():
    """Guards against a queue full of bulk requests that keeps urgent ones out."""
    settings = SETTINGS._replace(service_queue_limit=2)
    queue = queue_of(opening(1, 5), opening(2, 6), settings=settings)
    assert admit(queue, opening(3, 6)) == "queue-full"
    assert admit(queue, opening(4, 0)) == ""
    assert [one.number for one in queue.evicted] == [2]
    assert len(queue) == 2


def test_an_opening_that_gets_no_slot_in_time_is_refused_when_it_comes():
    """Guards against callers that wait in vain and learn of it when they give up."""
    queue = queue_of(opening(1000))
    grant_steadily(queue, 100, NOW_S + 0.5)
    now = NOW_S + 0.5
    reasons = [admit(queue, opening(one, now=now), now) for one in range(200)]
    # At 100 a second, 100 get a slot within twice the target of 0.5 s.
    assert reasons[:95] == [""] * 95
    assert set(reasons[105:]) == {"wait-too-long"}


def test_nothing_is_refused_for_its_wait_before_slots_were_seen_to_free_up():
    """Guards against refusals by a rate measured over a moment without any grant."""
    queue = queue_of(*(opening(number) for number in range(100)))
    assert admit(queue, opening(200), NOW_S + 0.05) == ""


def test_a_slow_service_is_not_taken_for_a_stuck_one():
    """Guards against refusing all openings of a service that frees 4 slots a second."""
    queue = queue_of(opening(1))
    assert admit(queue, opening(2, now=NOW_S + 0.15), NOW_S + 0.15) == ""


def test_urgent_openings_that_keep_coming_lengthen_the_wait_of_others():
    """Guards against bulk openings that are queued behind a flood and expire there."""
    queue = queue_of()
    now = NOW_S
    for number in range(100):
        now = NOW_S + number / 200
        queue.add(opening(number, 0, now=now), now, has_room=True)
        if number % 2:
            drain(queue, now, 1)
    bulk = opening(500, 1, now=now)
    # 100 slots a second, all of which urgent ones take: the share is 12.5 a second.
    assert queue.expected_wait_s(bulk, now) == pytest.approx(8 / 100, rel=0.1)
    for number in range(501, 508):
        queue.add(opening(number, 1, now=now), now, has_room=True)
    assert queue.expected_wait_s(bulk._replace(number=900), now) > 0.6
    assert queue.expected_wait_s(opening(600, 0, now=now), now) < 0.7


def test_queued_openings_without_prospects_are_refused_while_that_helps_them():
    """Guards against a refusal that comes too late for the caller to try elsewhere."""
    queue = queue_of(*(opening(number, target_s=0.1) for number in range(10)))
    grant_steadily(queue, 20, NOW_S + 0.151)
    hopeless = queue.pop_hopeless(NOW_S + 0.15)
    # 3 grants, and one more than seen, in 0.15 s: the second would come after 0.2 s.
    assert sorted(one.number for one in hopeless) == list(range(1, 10))
    kept = queue_of(*(opening(number, target_s=0.1) for number in range(10)))
    grant_steadily(kept, 20, NOW_S + 0.21)
    assert kept.pop_hopeless(NOW_S + 0.21) == []
    assert len(kept.pop_expired(NOW_S + 0.21)) == 10


def test_a_standing_queue_takes_openings_with_a_shorter_wait_only():
    """Guards against a queue that makes every request late as long as it stands."""
    queue = queue_of(*(opening(number, target_s=0.7) for number in range(85)))
    now = NOW_S + 0.9
    grant_steadily(queue, 100, now)
    # 85 others take 0.85 s at 100 a second.
    assert admit(queue, opening(100, target_s=0.7, now=now), now) == ""
    now = NOW_S + 1.1
    grant_steadily(queue, 100, now, NOW_S + 0.9)
    assert admit(queue, opening(101, target_s=0.7, now=now), now) == "wait-too-long"
    assert admit(queue, opening(102, target_s=1.2, now=now), now) == ""
    # A caller that cannot be refused any more waits on.
    copied = opening(103, target_s=0.7, first_sent_at=now - 0.25)
    assert admit(queue, copied, now) == ""


def test_an_empty_queue_is_no_standing_one():
    """Guards against refusals by a rule that an earlier burst left in force."""
    queue = queue_of(opening(1))
    drain(queue)
    queue.add(opening(2, now=NOW_S + 5.0), NOW_S + 5.0, has_room=True)
    assert not queue.standing.is_standing(NOW_S + 5.9)
    assert queue.standing.is_standing(NOW_S + 6.0)


def rank(queue, is_retry=True, priority=0, now=NOW_S):
    return queue.rank_of(priority, NOW_S + 0.25, now, is_retry=is_retry)


def test_retries_beyond_the_budget_do_not_go_first():
    """Guards against retries before which no first attempt gets a slot in time."""
    queue = queue_of()
    assert [rank(queue) for _ in range(11)] == [Rank.RETRY] * 10 + [Rank.IN_TIME]
    assert rank(queue, priority=1) is Rank.RETRY
    assert {rank(queue, is_retry=False) for _ in range(20)} == {Rank.IN_TIME}
    assert [rank(queue) for _ in range(3)] == [Rank.RETRY, Rank.RETRY, Rank.IN_TIME]
    assert rank(queue, now=NOW_S + 0.3) is Rank.LATE


def submit_retry():
    """Return the product's outcome for a retry while the only slot is taken."""
    admission = Admission(PlacementSettings(), Random(1))
    server = Server(ServerId("x"), "a", 1, 9, ServerState.READY, -1000.0)
    admission.handle(ServersChanged("s", (server,)), 0.0)
    admission.handle(Submit(Work(b"1", "s", "", 0.0)), 0.0)
    [outcome] = admission.handle(Submit(Work(b"2", "s", "", 0.0, attempt=1)), 0.0)
    return outcome


def test_both_paths_use_one_retry_budget(monkeypatch):
    """Guards against two implementations of a rule, of which one is corrected."""
    assert isinstance(submit_retry(), Held)
    assert rank(queue_of()) is Rank.RETRY
    monkeypatch.setattr(RetryBudget, "try_take_token", lambda budget: False)
    assert submit_retry().reason == "retry-budget"
    assert rank(queue_of()) is Rank.IN_TIME


def test_both_paths_use_one_rule_for_a_standing_queue(monkeypatch):
    """Guards against two implementations of a rule, of which one is corrected."""
    line, queue = WaitQueue(PlacementSettings()), queue_of(opening(1))
    assert line.max_hold_s(NOW_S) == 1.0
    assert not queue.standing.is_standing(NOW_S)
    monkeypatch.setattr(StandingQueue, "is_standing", lambda queue, now: True)
    assert line.max_hold_s(NOW_S) == 0.4
    for number in range(2, 8):
        queue.add(opening(number), NOW_S, has_room=True)
    grant_steadily(queue, 4, NOW_S + 0.5)
    # 8 slots at 6 a second, one more than seen in half a second, take more than 1 s.
    late = opening(9, target_s=0.7, now=NOW_S + 0.5)
    assert admit(queue, late, NOW_S + 0.5) == "wait-too-long"
    monkeypatch.undo()
    assert admit(queue, late, NOW_S + 0.5) == ""


def test_one_refusal_makes_one_later_opening_of_the_address_a_retry():
    """Guards against first attempts that count as retries as they share an address."""
    refused = RefusedCallers(SETTINGS)
    retry = FLOW[:4] + bytes(2) + FLOW[6:]
    refused.add(FLOW, NOW_S)
    refused.add(FLOW, NOW_S)
    assert not refused.take(FLOW[:-1] + b"x", NOW_S)
    taken = [refused.take(retry, NOW_S + 1.0) for _ in range(3)]
    assert taken == [True, True, False]
    refused.add(FLOW, NOW_S)
    assert not refused.take(FLOW, NOW_S + SETTINGS.refused_caller_s)


def test_refused_callers_are_bounded():
    """Guards against memory that grows with the addresses of a flood."""
    refused = RefusedCallers(SETTINGS._replace(refused_callers_limit=3))
    for number in range(9):
        refused.add(bytes([number]) + FLOW[1:], NOW_S)
    assert [caller[0] for caller in refused.by_caller] == [6, 7, 8]


def test_a_rate_follows_the_last_two_windows():
    """Guards against a rate of a calmer time that decides about a burst."""
    rate = RecentRate(0.5, 0.0)
    for number in range(10):
        rate.record(number / 10)
    assert rate.count(0.95) == 10
    assert rate.count(1.0) == 5
    assert rate.measured_s(1.2) == pytest.approx(0.7)
    rate.record(3.0)
    assert (rate.count(3.0), rate.measured_s(3.0)) == (1, 0.0)


def test_full_queues_of_the_longest_openings_take_a_few_megabytes():
    """Guards against questions of other VMs that fill the memory of a small VM."""
    queue = queue_of(settings=SETTINGS._replace(service_queue_limit=1 << 30))
    tracemalloc.start()
    for number in range(SETTINGS.queued_openings_limit):
        tokens = tuple(range(number << 16, (number << 16) + 64))
        long = opening(number)
        question = long.question._replace(tried_tokens=tokens, service="s" * 512)
        queue.add(long._replace(question=question), NOW_S, has_room=True)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(queue) == SETTINGS.queued_openings_limit
    assert size < 16 * 1024 * 1024
