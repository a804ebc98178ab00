"""The entry VMs of one zone together under a crest, without a network."""

from __future__ import annotations

import heapq
import math
from itertools import count
from random import Random

import pytest
from expression import Ok

from kumquatmux_core.identity import Address, Endpoint
from kumquatmux_daemons.token_entry.core import Datagram, EntryCore
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_registry.feed import FeedAnswer
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.routes import Route, RouteSet, WeightedService

ROUTE = Address(bytes([198, 18, 0, 1, 1, 187]))
PLACE = Endpoint("10.1.0.9", 1)
SLOTS, QUEUE = 2, 8
HOP_S = 0.0003
CALLER_S = 0.001
AIM_S = 0.25
"""Target for a request of this kind in the users' table."""


class Wire:
    """Packets written as ``kind caller token sequence acknowledged length``."""

    def read_head(self, packet):
        kind, caller, token, sequence, acknowledged, length = packet.split()
        flow = int(caller).to_bytes(6) + ROUTE
        return PacketHeader(
            flow,
            ROUTE,
            int(token),
            kind == b"open",
            kind == b"close",
            0,
            int(sequence),
            int(acknowledged),
            int(length),
        )

    def to_server(self, packet, server, token):
        return b"%d %s" % (token, packet)

    def reset_for(self, packet, sequence):
        return b"reset " + packet

    def caller_ip(self, packet):
        return "100.64.0.1"

    def read_routes(self, content):
        route = Route("r", ROUTE, (WeightedService("entries", 1),))
        return Ok(RouteSet(1, (route,), frozenset({"entries"}), 15.0))


class Server:
    """A backend server with slots and a queue."""

    def __init__(self):
        self.running = 0
        self.queue = []


class Zone:
    """Entry VMs, servers and callers on one timeline."""

    def __init__(self, vms, servers, seed):
        self.random = Random(seed)
        self.now = 0.0
        self.events = []
        self.numbers = count()
        names = tuple(f"10.1.0.{number}" for number in range(1, vms + 1))
        self.cores = {}
        self.ticks_at = {}
        records = tuple(self._record(number) for number in range(servers))
        self.servers = {record.token: Server() for record in records}
        for name in names:
            settings = EntrySettings(name, "a", PLACE, PLACE, PLACE, PLACE, ("c1",))
            core = self.cores[name] = EntryCore(settings, Wire(), Random(seed), 0.0)
            answer = FeedAnswer(
                "c1", "a", 1, 0, servers, records, 1, b"1", ("c1",), names, True
            )
            core.message("c1", answer, 0.0)
            self._plan_tick(name)
        self.works = {}
        self.began = {}
        self.done = {}
        self.shed = 0
        self.sent = 0
        self.dead = set()

    def _record(self, number):
        place = Endpoint("10.0.0.9", number + 1)
        lifetime = Lifetime(f"i-{number}", 1)
        report = Report(
            lifetime, 1, "entries", place, "a", "v1", SLOTS, Phase.READY, 0.0
        )
        return ServerRecord(report, "c1")

    def at(self, delay, action, *given):
        heapq.heappush(
            self.events, (self.now + delay, next(self.numbers), action, given)
        )

    def run(self, until):
        while self.events and self.events[0][0] < until:
            self.now, _, action, given = heapq.heappop(self.events)
            action(*given)

    def request(self, caller, work_s):
        vm = self.random.choice([one for one in self.cores if one not in self.dead])
        self.began[caller] = self.now
        self._packet(vm, caller, b"open", 0, 100, 0, 0, work_s)

    def _packet(self, vm, caller, kind, token, sequence, acknowledged, length, work_s):
        data = b"%s %d %d %d %d %d" % (
            kind, caller, token, sequence, acknowledged, length,
        )  # fmt: skip
        self.works[caller] = (vm, work_s)
        if vm not in self.dead:
            self._carry_out(vm, self.cores[vm].packet(data, self.now))

    def _plan_tick(self, vm):
        """Let a VM tick when something is due, as its daemon does."""
        due_at = max(self.cores[vm].due_at(self.now), self.now)
        if due_at < self.ticks_at.get(vm, math.inf):
            self.ticks_at[vm] = due_at
            self.at(due_at - self.now, self._tick, vm, due_at)

    def _tick(self, vm, planned_at):
        if vm not in self.dead and self.ticks_at.get(vm) == planned_at:
            del self.ticks_at[vm]
            self._carry_out(vm, self.cores[vm].tick(self.now))

    def _carry_out(self, vm, effects):
        self._plan_tick(vm)
        for effect in effects:
            if isinstance(effect, Datagram):
                self.at(HOP_S, self._arrive, effect.data)
            elif effect.vm in self.cores:
                self.sent += 1
                self.at(HOP_S, self._message, vm, effect.vm, effect.message)

    def _message(self, sender, vm, message):
        if vm not in self.dead:
            self._carry_out(vm, self.cores[vm].message(sender, message, self.now))

    def _arrive(self, data):
        fields = data.split()
        token, kind, caller = int(fields[0]), fields[1], int(fields[2])
        vm, work_s = self.works[caller]
        if kind == b"open":
            ask = (vm, caller, b"data", token, 101, 500, 9, work_s)
            self.at(2 * CALLER_S, self._packet, *ask)
        elif kind == b"data":
            self._begin(token, caller)

    def _begin(self, token, caller):
        server = self.servers[token]
        if server.running < SLOTS:
            server.running += 1
            self.at(self.works[caller][1], self._end, token, caller)
        elif len(server.queue) < QUEUE:
            server.queue.append(caller)
        else:
            self.shed += 1

    def _end(self, token, caller):
        server = self.servers[token]
        server.running -= 1
        if server.queue:
            self._begin(token, server.queue.pop(0))
        self.done[caller] = self.now
        vm, work_s = self.works[caller]
        for kind in (b"answered", b"close"):
            self._packet(vm, caller, kind, token, 110, 900, 0, work_s)


def crest(vms, servers, load, seed, until=2.0, mean_s=0.028):
    """Play requests that arrive at random at a share of what the servers can do."""
    zone = Zone(vms, servers, seed)
    random = Random(seed + 1)
    now, caller = 0.1, 0
    while now < until:
        now += random.expovariate(load * servers * SLOTS / mean_s)
        caller += 1
        work_s = random.lognormvariate(0, 0.5) * mean_s * 0.88
        zone.at(now, zone.request, caller, work_s)
    return zone, caller


def slow_share(zone, requests):
    """Return the share of requests that took longer than their target."""
    quick = sum(1 for one, at in zone.done.items() if at - zone.began[one] <= AIM_S)
    return 1 - quick / requests


@pytest.mark.parametrize("seed", range(3))
def test_a_large_zone_at_its_crest_overloads_no_server(seed):
    """24 VMs before 20 servers, nine tenths of whose slots are taken."""
    zone, requests = crest(24, 20, 0.9, seed)
    zone.run(3.0)
    assert zone.shed == 0
    assert slow_share(zone, requests) == 0


@pytest.mark.parametrize("seed", range(3))
def test_a_large_zone_needs_few_messages(seed):
    """A few kilobytes a second for control: 25 small messages a second a VM."""
    zone, _ = crest(24, 20, 0.1, seed)
    zone.run(2.0)
    asked = sum(core.counts["openings.asked"] for core in zone.cores.values())
    assert (zone.sent - 2 * asked) / (2.0 * 24) < 25


@pytest.mark.parametrize("seed", range(3))
def test_openings_go_on_when_the_vm_that_places_them_dies(seed):
    zone, requests = crest(6, 10, 0.7, seed)
    zone.run(1.0)
    router = zone.cores["10.1.0.1"].router
    placer = router.coordinators.coordinator_for("entries", zone.now)
    zone.dead.add(placer)
    zone.run(3.0)
    lost = {caller for caller, (vm, _) in zone.works.items() if vm == placer}
    assert len(lost | zone.done.keys()) == requests
    assert zone.shed == 0


@pytest.mark.parametrize("seed", range(3))
def test_a_flood_that_finds_all_servers_full_asks_few_questions(seed):
    """After a loss of all VMs the callers of seconds come within a moment.

    They keep the servers busy for 1.2 s, as long as callers wait, and a VM that asked
    for each of them at each tick would ask eight times a flow.
    """
    zone = Zone(3, 4, seed)
    callers = 480
    for caller in range(callers):
        zone.at(0.1 + caller / 2000, zone.request, caller, 0.02)
    zone.run(1.6)
    assert zone.shed == 0
    assert len(zone.done) == callers
    asked = sum(core.counts["openings.asked"] for core in zone.cores.values())
    assert asked < 3 * callers
