from __future__ import annotations

import random

import pytest

from kumquatmux_core import decisions
from kumquatmux_core.identity import ServerId, ServiceName, ZoneName
from kumquatmux_placement.admission import Admission
from kumquatmux_placement.events import (
    Answered,
    Cancel,
    Closed,
    Held,
    LoadReported,
    Placed,
    Refused,
    Server,
    ServersChanged,
    ServerState,
    Shed,
    SizeClass,
    SlotDigest,
    Started,
    Submit,
    Tick,
    Unknown,
    Work,
)
from kumquatmux_placement.settings import PlacementSettings

SERVICE = ServiceName("entries")


def make_server(number=1, **overrides):
    default_server = Server(
        ServerId(f"127.0.0.{number}:9000"),
        ZoneName("cnx-a"),
        slots=1,
        connections=100,
        state=ServerState.READY,
        since=-1000.0,
    )
    return default_server._replace(**overrides)


def make_admission(*servers, **overrides):
    admission = Admission(PlacementSettings(**overrides), random.Random(1))
    admission.handle(ServersChanged(SERVICE, servers or (make_server(),)), 0.0)
    return admission


def make_work(work_id=b"a", **overrides):
    return Work(work_id, SERVICE, "", arrival=0.0)._replace(**overrides)


def test_held_work_gets_the_freed_slot():
    admission = make_admission()
    [placed] = admission.handle(Submit(make_work(b"a")), 0.0)
    admission.handle(Started(b"a", placed.server), 0.0)
    [held] = admission.handle(Submit(make_work(b"b")), 0.1)
    assert isinstance(held, Held)
    [later] = admission.handle(Answered(b"a", placed.server), 0.3)
    assert isinstance(later, Placed)
    assert later.work_id == b"b"


def test_held_work_is_refused_at_its_deadline():
    admission = make_admission(hold_ms=500.0, reserve_ms=10_000.0)
    admission.handle(Submit(make_work(b"a")), 0.0)
    admission.handle(Submit(make_work(b"b")), 0.1)
    assert admission.next_deadline() == 0.6
    [refused] = admission.handle(Tick(), 0.6)
    assert isinstance(refused, Refused)


def test_new_hold_time_applies_to_new_work_only():
    admission = make_admission(hold_ms=10_000.0, reserve_ms=60_000.0)
    admission.handle(Submit(make_work(b"a")), 0.0)
    [held] = admission.handle(Submit(make_work(b"b")), 0.0)
    admission.use_settings(admission.settings._replace(hold_ms=500.0))
    [later] = admission.handle(Submit(make_work(b"c")), 0.0)
    assert (held.until, later.until) == (10.0, 0.5)


def test_work_in_a_standing_queue_is_held_for_less_time():
    settings = {
        "hold_ms": 1000.0,
        "crest_hold_ms": 200.0,
        "standing_queue_after_ms": 600.0,
    }
    admission = make_admission(**settings, reserve_ms=60_000.0)
    admission.handle(Submit(make_work(b"a")), 0.0)
    admission.handle(Submit(make_work(b"b")), 0.1)
    admission.handle(Submit(make_work(b"c")), 0.6)
    assert admission.handle(Tick(), 0.69) == []
    assert admission.next_deadline() == pytest.approx(0.7)
    [refused] = admission.handle(Tick(), 0.7)
    assert (refused.work_id, refused.reason) == (b"b", "held-too-long")
    assert admission.next_deadline() == pytest.approx(0.8)
    [refused] = admission.handle(Tick(), 0.81)
    assert refused.work_id == b"c"
    [held] = admission.handle(Submit(make_work(b"d")), 0.9)
    assert admission.handle(Tick(), 1.2) == []


@pytest.mark.parametrize(
    ("busy", "age", "marked_busier"),
    [(1, 0.5, False), (2, 0.5, True), (2, 5.0, False), (0, 0.5, False)],
)
def test_only_a_recent_report_above_the_counted_slots_marks_a_server_as_busier(
    busy, age, marked_busier
):
    admission = make_admission(make_server(1), make_server(2), report_fresh_ms=2000.0)
    [placed] = admission.handle(Submit(make_work(b"a")), 0.0)
    admission.handle(Closed(b"a", placed.server), 0.5)
    admission.handle(LoadReported(placed.server, busy, 0, age), 1.0)
    assert (
        admission.load_by_server[placed.server].reported_busier_until > 1.0
    ) is marked_busier
    assert admission.load_by_server[placed.server].slots_in_use == 0


def test_a_server_slower_than_the_service_is_selected_last():
    admission = make_admission(make_server(1), make_server(2), make_server(3))
    slow = admission.load_by_server[make_server(1).server]
    for name in admission.load_by_server.values():
        name.mean_short_run_s = 0.02
    admission.pools[SERVICE].run_time_history.mean_short_run_s = 0.02
    slow.mean_short_run_s = 0.04
    servers = [
        admission.handle(Submit(make_work(bytes([number]))), 0.0)[0].server
        for number in range(3)
    ]
    assert servers[-1] == slow.server.server


def test_a_server_in_slow_start_is_selected_last():
    admission = make_admission(
        make_server(1, since=0.0), make_server(2), warm_ms=10_000.0
    )
    placed = [
        admission.handle(Submit(make_work(name)), 1.0)[0].server
        for name in (b"a", b"b")
    ]
    assert placed == [make_server(2).server, make_server(1).server]


def test_work_of_a_service_that_another_vm_places_is_no_longer_counted():
    admission = make_admission(reserve_ms=60_000.0)
    [placed] = admission.handle(Submit(make_work(b"a")), 0.0)
    admission.handle(Started(b"a", placed.server), 0.1)
    admission.stand_down(SERVICE, 0.2)
    [again] = admission.handle(Submit(make_work(b"b")), 0.3)
    assert isinstance(again, Placed)
    assert admission.digest(SERVICE)[0].connections == 1


@pytest.mark.parametrize(
    ("age_s", "free_at"), [(0.0, 10.2), (0.15, 10.05), (0.5, 10.0)]
)
def test_a_restored_slot_is_released_earlier_for_an_older_digest(age_s, free_at):
    admission = make_admission(assumed_short_run_ms=200.0)
    digest = (SlotDigest(make_server().server, busy=1, long=0, connections=1),)
    admission.restore(digest, 10.0, age_s=age_s)
    [first] = admission.handle(Submit(make_work(b"a")), 10.0)
    if free_at > 10.0:
        assert isinstance(first, Held)
        assert admission.next_deadline() == pytest.approx(free_at)
        [first] = admission.handle(Tick(), admission.next_deadline())
    assert isinstance(first, Placed)


def test_a_digest_counts_the_placed_work():
    admission = make_admission(make_server(1, slots=2))
    [placed] = admission.handle(Submit(make_work(b"a", size=SizeClass.LONG)), 0.0)
    admission.handle(Started(b"a", placed.server), 0.0)
    assert admission.digest(SERVICE) == (SlotDigest(placed.server, 1, 1, 1),)


def test_short_work_is_placed_before_long_work():
    admission = make_admission(make_server(1), make_server(2))
    placed = [
        admission.handle(Submit(make_work(name)), 0.0)[0] for name in (b"a", b"b")
    ]
    admission.handle(Submit(make_work(b"c", size=SizeClass.LONG)), 0.1)
    admission.handle(Submit(make_work(b"d")), 0.2)
    [first] = admission.handle(Closed(b"a", placed[0].server), 0.3)
    [second] = admission.handle(Closed(b"b", placed[1].server), 0.4)
    assert [first.work_id, second.work_id] == [b"d", b"c"]


def test_long_work_leaves_the_slots_of_one_server_clear():
    admission = make_admission(
        make_server(1, slots=2), make_server(2, slots=2), clear_servers=1
    )
    for name in (b"x", b"y"):
        [placed] = admission.handle(Submit(make_work(name)), 0.0)
    for name, flow in list(admission.flows.items()):
        admission.handle(Closed(name, flow.server_load.server.server), 0.0)
    outcomes = [
        admission.handle(Submit(make_work(bytes([number]), size=SizeClass.LONG)), 0.0)[
            0
        ]
        for number in range(3)
    ]
    assert [type(outcome) for outcome in outcomes] == [Placed, Placed, Held]
    [short] = admission.handle(Submit(make_work(b"s")), 0.0)
    assert isinstance(short, Placed)


def test_work_of_a_caller_known_for_long_work_is_expected_to_be_long():
    admission = make_admission(make_server(1, slots=3), long_ms=200.0)
    [placed] = admission.handle(Submit(make_work(b"a", caller="printer")), 0.0)
    admission.handle(Started(b"a", placed.server), 0.0)
    admission.handle(Answered(b"a", placed.server), 0.9)
    history = admission.pools[SERVICE].run_time_history
    assert history.expected_class(make_work(b"b", caller="printer")) is SizeClass.LONG
    assert history.expected_class(make_work(b"c", caller="other")) is SizeClass.UNKNOWN


def test_answered_work_holds_a_connection_but_no_slot():
    admission = make_admission(make_server(1, connections=2))
    for number in range(2):
        work_id = bytes([number])
        [placed] = admission.handle(Submit(make_work(work_id)), float(number))
        admission.handle(Started(work_id, placed.server), float(number))
        admission.handle(Answered(work_id, placed.server), number + 0.01)
    [refused] = admission.handle(Submit(make_work(b"c")), 3.0)
    assert (refused.reason, admission.load_by_server[placed.server].slots_in_use) == (
        "no-server",
        0,
    )


def test_later_work_on_a_bound_flow_may_exceed_the_slots_of_the_server():
    admission = make_admission(make_server(1, slots=1))
    [placed] = admission.handle(Submit(make_work(b"a")), 0.0)
    admission.handle(Started(b"a", placed.server), 0.0)
    admission.handle(Answered(b"a", placed.server), 0.1)
    admission.handle(Submit(make_work(b"b")), 0.2)
    admission.handle(Started(b"a", placed.server), 0.3)
    assert admission.load_by_server[placed.server].slots_in_use == 2
    assert isinstance(admission.handle(Submit(make_work(b"c")), 0.4)[0], Held)
    assert admission.handle(Answered(b"a", placed.server), 0.5) == []


def test_backoff_grows_each_time_a_server_sheds_work():
    admission = make_admission(shed_backoff_ms=100.0, shed_backoff_limit_ms=300.0)
    now = 0.0
    for pause_s in (0.1, 0.2, 0.3):
        [placed] = admission.handle(Submit(make_work(bytes([int(now * 10)]))), now)
        [unknown] = admission.handle(Shed(placed.work_id, placed.server), now)
        assert isinstance(unknown, Unknown)
        assert isinstance(admission.handle(Submit(make_work(b"x")), now)[0], Refused)
        now += pause_s + 1e-6


def test_the_retry_budget_limits_held_retries():
    admission = make_admission(retry_burst=2, retry_ratio=0.0)
    admission.handle(Submit(make_work(b"a")), 0.0)
    outcomes = [
        admission.handle(Submit(make_work(bytes([number]), attempt=1)), 0.1)[0]
        for number in range(3)
    ]
    assert [type(outcome) for outcome in outcomes] == [Held, Held, Refused]
    assert outcomes[-1].reason == "retry-budget"


ZONE_SETTINGS = {"zone": ZoneName("cnx-a"), "link_cost_ms": 10.0}


def test_work_spills_to_another_zone_once_waiting_costs_more_than_the_link():
    remote_server = make_server(2, zone=ZoneName("lpg-a"))
    admission = make_admission(make_server(1), remote_server, **ZONE_SETTINGS)
    assert (
        admission.handle(Submit(make_work(b"a")), 0.0)[0].server
        == make_server(1).server
    )
    assert isinstance(admission.handle(Submit(make_work(b"b")), 0.0)[0], Held)
    assert admission.next_deadline() == pytest.approx(0.01)
    [spilled] = admission.handle(Tick(), admission.next_deadline())
    assert (spilled.server, spilled.reason) == (remote_server.server, "spill")


@pytest.mark.parametrize(
    ("bind_ahead", "age_s", "placed"),
    [
        (True, 0.005, False),
        (True, 0.02, True),
        (True, 0.5, False),
        (False, 0.02, False),
    ],
)
def test_only_a_remote_slot_about_to_be_released_is_reused_early(
    bind_ahead, age_s, placed
):
    remote_server = make_server(2, zone=ZoneName("lpg-a"))
    admission = make_admission(remote_server, bind_ahead=bind_ahead, **ZONE_SETTINGS)
    admission.pools[SERVICE].run_time_history.mean_short_run_s = 0.02
    admission.handle(Submit(make_work(b"a")), 0.0)
    admission.handle(Started(b"a", remote_server.server), 0.0)
    [outcome] = admission.handle(Submit(make_work(b"b")), age_s)
    assert isinstance(outcome, Placed) is placed
    [third] = admission.handle(Submit(make_work(b"c")), age_s)
    assert isinstance(third, Held)


def test_every_outcome_is_logged_once(monkeypatch):
    lines = []
    monkeypatch.setattr(
        decisions, "log", lambda event, **fields: lines.append((event, fields))
    )
    admission = make_admission(revision=7)
    admission.handle(Submit(make_work(b"a")), 0.0)
    admission.handle(Submit(make_work(b"b")), 0.0)
    admission.handle(Cancel(b"b"), 0.1)
    assert [event for event, _ in lines] == ["placed", "held", "cancelled"]
    fields = lines[0][1]
    assert (fields["server"], fields["reason"]) == (make_server().server, "free-slot")
    assert (fields["candidates"], fields["revision"]) == (1, 7)


def test_long_work_may_use_every_slot_of_a_service_without_short_work():
    admission = make_admission(make_server(1, slots=2), make_server(2, slots=2))
    outcomes = [
        admission.handle(Submit(make_work(bytes([number]), size=SizeClass.LONG)), 0.0)[
            0
        ]
        for number in range(4)
    ]
    assert all(isinstance(outcome, Placed) for outcome in outcomes)


@pytest.mark.parametrize("number", range(200))
def test_a_tick_at_the_next_deadline_moves_the_deadline_forward(number):
    start_s = random.Random(number).uniform(0.0, 1000.0)
    settings = {
        "crest_hold_ms": 100.0,
        "standing_queue_after_ms": 1000.0,
        "hold_ms": 5000.0,
    }
    admission = make_admission(**settings, reserve_ms=60_000.0)
    admission.handle(Submit(make_work(b"a")), start_s)
    admission.handle(Submit(make_work(b"b")), start_s)
    deadline = admission.next_deadline()
    [refused] = admission.handle(Tick(), deadline)
    assert isinstance(refused, Refused)
    assert admission.next_deadline() > deadline
