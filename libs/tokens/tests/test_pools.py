from __future__ import annotations

from random import Random

import pytest

from kumquatmux_core.identity import Endpoint
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens import choice
from kumquatmux_tokens.choice import SAMPLE_SIZE, NewFlow, select_server
from kumquatmux_tokens.directory import ServerDirectory
from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.pools import ServerPools
from kumquatmux_tokens.settings import TokenRouterSettings

NOW_S = 10.0
FLOW = NewFlow((), False, NOW_S)


def make_record(number, zone="a", phase=Phase.READY, report_number=1, doubts=0):
    lifetime = Lifetime(f"i-{number}", 1)
    endpoint = Endpoint("10.0.0.9", number + 1)
    report = Report(
        lifetime, report_number, "entries", endpoint, zone, "v1", 2, phase, 0.0
    )
    return ServerRecord(report, "c1", doubts)


class Zone:
    """One large zone: its servers, their load and their pool."""

    def __init__(self, count):
        self.directory = ServerDirectory("a")
        self.load = LoadTracker(TokenRouterSettings("e1", "a"))
        self.tokens = [make_record(number).token for number in range(count)]
        for number in range(count):
            self.directory.store_record(make_record(number), 0.0)
        self.pools = ServerPools(self.directory, self.load)

    def add_requests(self, token, count):
        self.load.peer_load._add_to_total(token, count, count, 0)

    def select(self, seed=1, flow=FLOW):
        pool = self.pools.pool("entries")
        return select_server(pool, flow, self.load, Random(seed))


@pytest.fixture
def evaluations(monkeypatch):
    """Count the servers that are evaluated."""
    seen = []
    real = choice._evaluate_candidate

    def counted(entry, *rest):
        seen.append(entry.token)
        return real(entry, *rest)

    monkeypatch.setattr(choice, "_evaluate_candidate", counted)
    return seen


@pytest.mark.parametrize("count", [100, 400])
@pytest.mark.parametrize("requests", [0, 1, 3])
def test_a_new_flow_evaluates_few_servers_of_a_large_zone(count, requests, evaluations):
    zone = Zone(count)
    for token in zone.tokens:
        zone.add_requests(token, requests)
    assert zone.select() is not None
    assert len(evaluations) <= 2 * SAMPLE_SIZE


def test_the_only_idle_server_of_a_large_zone_is_selected():
    zone = Zone(100)
    for token in zone.tokens[:-1]:
        zone.add_requests(token, 1)
    assert zone.select().entry.token == zone.tokens[-1]
    zone.add_requests(zone.tokens[-1], 1)
    zone.add_requests(zone.tokens[40], -1)
    assert zone.select().entry.token == zone.tokens[40]


def test_all_servers_are_evaluated_when_the_sampled_ones_are_full(evaluations):
    zone = Zone(100)
    for token in zone.tokens:
        zone.add_requests(token, 50)
    zone.add_requests(zone.tokens[17], -49)
    assert zone.select().entry.token == zone.tokens[17]
    assert zone.tokens[17] in evaluations


def test_a_drained_server_leaves_the_idle_ones():
    zone = Zone(20)
    for token in zone.tokens[1:]:
        zone.add_requests(token, 1)
    assert zone.select().entry.token == zone.tokens[0]
    zone.directory.store_record(make_record(0, phase=Phase.DRAINING), NOW_S)
    assert zone.select().entry.token != zone.tokens[0]


def test_an_idle_server_that_is_late_is_no_choice():
    zone = Zone(20)
    for token in zone.tokens[1:]:
        zone.add_requests(token, 1)
    zone.directory.store_record(make_record(0, doubts=1), NOW_S)
    assert zone.select().entry.token != zone.tokens[0]


def test_crest_in_a_large_zone_is_spread_as_by_a_look_at_every_server(monkeypatch):
    """Pattern: a zone of 100 servers fills up, flow after flow, past its slots."""

    def fill():
        zone = Zone(100)
        random = Random(3)
        for _ in range(330):
            pool = zone.pools.pool("entries")
            token = select_server(pool, FLOW, zone.load, random).entry.token
            zone.add_requests(token, 1)
        totals = zone.load.peer_load.totals
        return [totals[token].active_requests for token in zone.tokens]

    sampled = fill()
    monkeypatch.setattr(choice, "SAMPLE_SIZE", 1_000)
    looked_at_all = fill()
    assert min(sampled) >= min(looked_at_all) - 1
    assert max(sampled) <= max(looked_at_all) + 1


# Guards against: a pool and a cached list for each service name that a peer asks about.
def test_services_without_servers_leave_nothing_behind():
    zone = Zone(2)
    for number in range(200):
        assert not zone.pools.pool(f"other-{number}").ready.local
    zone.pools.pool("entries")
    assert set(zone.pools.by_service) == {"entries"}
    assert set(zone.directory.ready_by_service) == {"entries"}


# Guards against: a set of servers kept for each service whose servers have all ended.
def test_a_service_whose_servers_have_ended_is_forgotten():
    zone = Zone(2)
    zone.pools.pool("entries")
    for number in range(2):
        ended = make_record(number, phase=Phase.ENDED, report_number=2)
        zone.directory.store_record(ended, 1.0)
    assert zone.pools.pool("entries").ready.local == ()
    assert zone.directory.by_service == {}
    assert zone.pools.by_service == {}
    zone.directory.store_record(make_record(5), 2.0)
    assert len(zone.pools.pool("entries").ready.local) == 1
