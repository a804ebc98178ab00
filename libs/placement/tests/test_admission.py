from __future__ import annotations

import random

import pytest

from kumquatmux_core.identity import ServerId, ServiceName, ZoneName
from kumquatmux_placement.admission import Admission
from kumquatmux_placement.events import (
    Answered,
    Closed,
    Held,
    LoadReported,
    Placed,
    Refused,
    Server,
    ServersChanged,
    ServerState,
    SizeClass,
    SlotDigest,
    Started,
    Submit,
    Tick,
    Work,
)
from kumquatmux_placement.settings import PlacementSettings

SERVICE = ServiceName("entries")


def server(number=1, **changes):
    plain = Server(
        ServerId(f"127.0.0.{number}:9000"),
        ZoneName("cnx-a"),
        slots=1,
        connections=100,
        state=ServerState.READY,
        since=-1000.0,
    )
    return plain._replace(**changes)


def admission(*servers, **changes):
    made = Admission(PlacementSettings(**changes), random.Random(1))
    made.handle(ServersChanged(SERVICE, servers or (server(),)), 0.0)
    return made


def work(name=b"a", **changes):
    return Work(name, SERVICE, "", arrival=0.0)._replace(**changes)


def test_held_work_gets_the_freed_slot():
    made = admission()
    [placed] = made.handle(Submit(work(b"a")), 0.0)
    made.handle(Started(b"a", placed.server), 0.0)
    [held] = made.handle(Submit(work(b"b")), 0.1)
    assert isinstance(held, Held)
    [later] = made.handle(Answered(b"a", placed.server), 0.3)
    assert isinstance(later, Placed)
    assert later.work_id == b"b"


def test_held_work_is_refused_at_its_deadline():
    made = admission(hold_ms=500.0, reserve_ms=10_000.0)
    made.handle(Submit(work(b"a")), 0.0)
    made.handle(Submit(work(b"b")), 0.1)
    assert made.next_deadline() == 0.6
    [refused] = made.handle(Tick(), 0.6)
    assert isinstance(refused, Refused)


def test_other_settings_come_into_force_for_new_work_only():
    made = admission(hold_ms=10_000.0, reserve_ms=60_000.0)
    made.handle(Submit(work(b"a")), 0.0)
    [held] = made.handle(Submit(work(b"b")), 0.0)
    made.use_settings(made.settings._replace(hold_ms=500.0))
    [later] = made.handle(Submit(work(b"c")), 0.0)
    assert (held.until, later.until) == (10.0, 0.5)


def test_a_standing_line_is_held_for_less_time():
    settings = {"hold_ms": 1000.0, "crest_hold_ms": 200.0, "crest_after_ms": 600.0}
    made = admission(**settings, reserve_ms=60_000.0)
    made.handle(Submit(work(b"a")), 0.0)
    made.handle(Submit(work(b"b")), 0.1)
    made.handle(Submit(work(b"c")), 0.6)
    assert made.handle(Tick(), 0.69) == []
    assert made.next_deadline() == pytest.approx(0.7)
    [refused] = made.handle(Tick(), 0.7)
    assert (refused.work_id, refused.reason) == (b"b", "held-too-long")
    assert made.next_deadline() == pytest.approx(0.8)
    [refused] = made.handle(Tick(), 0.81)
    assert refused.work_id == b"c"
    [held] = made.handle(Submit(work(b"d")), 0.9)
    assert made.handle(Tick(), 1.2) == []


@pytest.mark.parametrize(
    ("busy", "age", "suspected"),
    [(1, 0.5, False), (2, 0.5, True), (2, 5.0, False), (0, 0.5, False)],
)
def test_a_report_only_lowers_trust_beyond_what_was_counted(busy, age, suspected):
    made = admission(server(1), server(2), report_fresh_ms=2000.0)
    [placed] = made.handle(Submit(work(b"a")), 0.0)
    made.handle(Closed(b"a", placed.server), 0.5)
    made.handle(LoadReported(placed.server, busy, 0, age), 1.0)
    assert (made.servers[placed.server].suspected_until > 1.0) is suspected
    assert made.servers[placed.server].taken == 0


def test_a_server_slower_than_the_service_is_used_last():
    made = admission(server(1), server(2), server(3))
    slow = made.servers[server(1).server]
    for name in made.servers.values():
        name.mean_s = 0.02
    made.pools[SERVICE].history.mean_s = 0.02
    slow.mean_s = 0.04
    servers = [
        made.handle(Submit(work(bytes([number]))), 0.0)[0].server for number in range(3)
    ]
    assert servers[-1] == slow.server.server


def test_a_cold_server_is_used_last():
    made = admission(server(1, since=0.0), server(2), warm_ms=10_000.0)
    placed = [made.handle(Submit(work(name)), 1.0)[0].server for name in (b"a", b"b")]
    assert placed == [server(2).server, server(1).server]


def test_a_placer_that_stands_down_counts_nothing_of_the_old_work():
    made = admission(reserve_ms=60_000.0)
    [placed] = made.handle(Submit(work(b"a")), 0.0)
    made.handle(Started(b"a", placed.server), 0.1)
    made.stand_down(SERVICE, 0.2)
    [again] = made.handle(Submit(work(b"b")), 0.3)
    assert isinstance(again, Placed)
    assert made.digest(SERVICE)[0].connections == 1


@pytest.mark.parametrize(
    ("age_s", "free_at"), [(0.0, 10.2), (0.15, 10.05), (0.5, 10.0)]
)
def test_a_restored_slot_frees_by_the_age_of_the_digest(age_s, free_at):
    made = admission(assumed_ms=200.0)
    digest = (SlotDigest(server().server, busy=1, long=0, connections=1),)
    made.restore(digest, 10.0, age_s=age_s)
    [first] = made.handle(Submit(work(b"a")), 10.0)
    if free_at > 10.0:
        assert isinstance(first, Held)
        assert made.next_deadline() == pytest.approx(free_at)
        [first] = made.handle(Tick(), made.next_deadline())
    assert isinstance(first, Placed)


def test_a_digest_holds_what_was_placed():
    made = admission(server(1, slots=2))
    [placed] = made.handle(Submit(work(b"a", size=SizeClass.LONG)), 0.0)
    made.handle(Started(b"a", placed.server), 0.0)
    assert made.digest(SERVICE) == (SlotDigest(placed.server, 1, 1, 1),)
