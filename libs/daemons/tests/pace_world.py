"""A zone of entry VMs, its callers and slow servers, in one thread and without sockets.

The time goes in steps. Each step delivers what is due, and ticks the VMs. A VM that is
frozen reads nothing until it goes on, and then all at once.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections import Counter
from itertools import count
from random import Random

from expression import Ok

from kumquatmux_core import rendezvous
from kumquatmux_core.identity import Address, Endpoint
from kumquatmux_daemons.token_entry.core import EntryCore
from kumquatmux_daemons.token_entry.effects import Datagram, Sent
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_registry.feed import FeedAnswer, FeedPoll
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.routes import Route, RouteSet, WarmUp, WeightedService
from kumquatmux_tokens.settings import WarmUpLimits

ROUTE = Address(bytes([198, 18, 0, 1, 1, 187]))
PLACE = Endpoint("10.1.0.9", 1)
STEP_S = 0.005
HOP_S = 0.001
FEED_S = 0.5
SERVICE = "entries"
LIMITS = WarmUpLimits(1.2, 1.5)
WARM_UP = WarmUp(SERVICE, 8.0, 10.0)
BUDGET = 13
"""floor(10 * 1.2 + 1.5)."""

SLOTS, QUEUE = 2, 8
RETRANSMITS_S = (0.2, 0.6)
GIVES_UP_S = 1.4


class Form:
    """Packets written as ``kind caller token copy``."""

    def __init__(self, target_latency_s):
        self.target_latency_s = target_latency_s

    def read_head(self, packet):
        kind, caller, token, copy = packet.split()
        is_syn = kind == b"open"
        return PacketHeader(
            int(caller).to_bytes(6) + ROUTE,
            ROUTE,
            int(token),
            is_syn,
            kind == b"close",
            int(copy),
            100 if is_syn else {b"data": 101, b"answered": 110}.get(kind, 110),
            0 if is_syn else {b"data": 500}.get(kind, 900),
            9 if kind == b"data" else 0,
        )

    def names_server(self, name):
        return True

    def to_server(self, packet, server, token):
        kind, caller, _, copy = packet.split()
        return b"%s %s %d %s" % (kind, caller, token, copy)

    def reset_for(self, packet, sequence):
        return b"reset " + packet

    def caller_ip(self, packet):
        return "100.64.0.1"

    def read_routes(self, content):
        weighted = (WeightedService(SERVICE, 1),)
        route = Route("r", ROUTE, weighted, target_latency_s=self.target_latency_s)
        services = frozenset({SERVICE})
        return Ok(RouteSet(1, (route,), services, 15.0, (WARM_UP,)))


class Server:
    """A server with slots and a queue, which works slowly while it is cold.

    ``openings`` are the times of those sent to its present lifetime, ``blind`` of those
    sent to a former one by a VM that had no report of the present one yet.
    """

    def __init__(self, number, work_s, zone="a"):
        self.number = number
        self.name = f"i-{number}"
        self.work_s = work_s
        self.zone = zone
        self.born_ms = 1
        self.cold_until = -1.0
        self.cold_factor = 4.0
        self.is_down = False
        self.openings = []
        self.blind = []
        self.line = []
        self.busy = 0
        self.shed = 0

    def record(self, now, doubts=0):
        left_s = max(self.cold_until - now, 0.0)
        place = Endpoint("10.0.0.9", self.number)
        lifetime = Lifetime(self.name, self.born_ms)
        report = Report(
            lifetime, 1, SERVICE, place, self.zone, "v1", SLOTS, Phase.READY, left_s
        )
        return ServerRecord(report, "c1", doubts)

    @property
    def token(self):
        return Lifetime(self.name, self.born_ms).token

    def start(self, now, warm_up_s=8.0):
        self.born_ms += 1
        self.cold_until = now + warm_up_s
        self.is_down = False
        self.line, self.busy = [], 0
        self.openings = []

    def slowness(self, now):
        """Return the factor on the work: requests in progress slow a cold one down."""
        if self.cold_until <= now:
            return 1.0
        in_progress = self.busy + len(self.line)
        return self.cold_factor * max(in_progress / SLOTS, 1.0)

    def busiest_second(self):
        """Return the most openings that arrived within any second."""
        times = sorted(self.openings)
        return max(
            (bisect_left(times, time + 1.0) - k for k, time in enumerate(times)),
            default=0,
        )


class World:
    """The VMs, servers and callers of a zone."""

    def __init__(self, vms, servers, seed=1, limits=LIMITS, target_latency_s=0.5):
        self.random = Random(seed)
        self.arrivals = Random(seed + 1000)
        self.now = 0.0
        self.servers = {one.number: one for one in servers}
        self.vms = [f"10.3.0.{k + 1}" for k in range(vms)]
        self.limits = limits
        self.form = Form(target_latency_s)
        self.cores = {}
        self.events = []
        self.numbers = count()
        self.frozen = {}
        self.cut = set()
        self.cut_from_control = set()
        self.listed = dict.fromkeys(self.vms, 0.0)
        self.lists = {}
        self.ingress = list(self.vms)
        self.callers = {}
        self.new_callers = count(1)
        self.results = []
        self.counts = Counter()
        self.delay = lambda: HOP_S
        for k, vm in enumerate(self.vms):
            self.start_vm(vm, 0.02 * k)

    def start_vm(self, vm, after_s=0.0):
        settings = EntrySettings(
            vm, "a", PLACE, PLACE, PLACE, PLACE, ("c1",), warm_up_limits=self.limits
        )
        random = Random(self.random.random())
        self.cores[vm] = EntryCore(settings, self.form, random, self.now)
        self.at(self.now + after_s, self.feed, vm)

    def holder(self):
        return rendezvous.rank(SERVICE.encode(), self.listed)[0]

    def at(self, time, call, *arguments):
        heapq.heappush(self.events, (time, next(self.numbers), call, arguments))

    def feed(self, vm):
        """Have a control VM answer a poll, with the list that it has now."""
        if vm not in self.cores:
            return
        self.at(self.now + FEED_S, self.feed, vm)
        if vm in self.cut_from_control:
            return
        records = tuple(
            one.record(self.now) for one in self.servers.values() if not one.is_down
        )
        answer = FeedAnswer(
            "c1", "a", 1, 0, 1, records, 1, b"1", ("c1",), tuple(self.listed), True
        )  # fmt: skip
        self.to_vm(vm, "c1", answer)

    def to_vm(self, vm, sender, message):
        if vm not in self.cores or {vm, sender} & self.cut:
            return
        if vm in self.frozen:
            self.at(self.frozen[vm] + STEP_S, self.to_vm, vm, sender, message)
            return
        self.carry_out(vm, self.cores[vm].message(sender, message, self.now))

    def packet(self, vm, data):
        if vm not in self.cores:
            return
        if vm in self.frozen:
            self.at(self.frozen[vm] + STEP_S, self.packet, vm, data)
            return
        self.carry_out(vm, self.cores[vm].packet(data, self.now))

    def carry_out(self, vm, effects):
        for effect in effects:
            if isinstance(effect, Sent) and not isinstance(effect.message, FeedPoll):
                if vm not in self.cut:
                    due_at = self.now + self.delay()
                    self.at(due_at, self.to_vm, effect.vm, vm, effect.message)
            elif isinstance(effect, Datagram):
                if effect.data.startswith(b"reset"):
                    self.end(int(effect.data.split()[2]), "reset")
                else:
                    number = effect.target[1]
                    self.at(self.now + HOP_S, self.serve, number, vm, effect.data)

    def serve(self, number, vm, data):
        server = self.servers[number]
        kind, caller, token, copy = data.split()
        caller = int(caller)
        if server.is_down:
            return
        if kind == b"open":
            openings = server.openings if int(token) == server.token else server.blind
            openings.append(self.now)
            if len(server.line) + server.busy >= SLOTS + QUEUE:
                server.shed += 1
                self.end(caller, "shed")
                return
            one = self.callers.get(caller)
            if one is not None and one["server"] is None:
                one["server"] = number
                sent = b"data %d %d 0" % (caller, server.token)
                self.at(self.now + 2 * HOP_S, self.packet, one["vm"], sent)
        elif kind == b"data":
            server.line.append((caller, vm))
            self.work(server)

    def work(self, server):
        while server.line and server.busy < SLOTS:
            caller, vm = server.line.pop(0)
            server.busy += 1
            work_s = server.work_s * server.slowness(self.now)
            done_at = self.now + work_s * self.random.uniform(0.5, 1.5)
            self.at(done_at, self.finish, server, server.born_ms, caller, vm)

    def finish(self, server, born_ms, caller, vm):
        if server.born_ms != born_ms or server.is_down:
            return
        server.busy -= 1
        self.work(server)
        if caller in self.callers:
            self.end(caller, "answered")
            for kind in (b"answered", b"close"):
                data = b"%s %d %d 0" % (kind, caller, server.token)
                self.at(self.now + HOP_S, self.packet, vm, data)

    def call(self, vm=None):
        """Start a caller whose packets pass one VM."""
        caller = next(self.new_callers)
        vm = vm or self.arrivals.choice(self.ingress)
        self.callers[caller] = {"vm": vm, "since": self.now, "server": None}
        self.send_syn(caller, 0)
        for copy, offset in enumerate(RETRANSMITS_S, 1):
            self.at(self.now + offset, self.send_syn, caller, copy)
        self.at(self.now + GIVES_UP_S, self.give_up, caller)

    def send_syn(self, caller, copy):
        one = self.callers.get(caller)
        if one is not None and one["server"] is None:
            self.packet(one["vm"], b"open %d 0 %d" % (caller, copy))

    def give_up(self, caller):
        one = self.callers.get(caller)
        if one is not None and one["server"] is None:
            self.end(caller, "given-up")

    def end(self, caller, outcome):
        one = self.callers.pop(caller, None)
        if one is not None:
            self.results.append((one["since"], self.now - one["since"], outcome))

    def run(self, until, per_s=0.0):
        """Let time pass, with a number of new callers a second."""
        next_call = self.now
        while self.now < until:
            self.now += STEP_S
            while per_s and next_call <= self.now:
                next_call += self.arrivals.expovariate(per_s)
                self.call()
            for vm, thaws_at in list(self.frozen.items()):
                if thaws_at <= self.now - STEP_S:
                    del self.frozen[vm]
            self._deliver(self.now)
            for vm, core in list(self.cores.items()):
                if vm not in self.frozen and core.due_at(self.now) <= self.now:
                    self.carry_out(vm, core.tick(self.now))

    def _deliver(self, step_ends_at):
        while self.events and self.events[0][0] <= step_ends_at:
            time, _, call, arguments = heapq.heappop(self.events)
            self.now = max(time, self.now - STEP_S)
            call(*arguments)
        self.now = step_ends_at

    def waits(self, since, until):
        """Return how long the callers of a span waited for their answers."""
        return sorted(
            wait_s if outcome == "answered" else float("inf")
            for began, wait_s, outcome in self.results
            if since <= began < until
        )
