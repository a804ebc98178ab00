"""Callers, servers and links around the cores of the entry VMs of a zone, for tests.

The link of a VM limits what it sends, by a short queue that the core cannot see; what
does not fit into it is lost. Callers behave as docs/design/overload.md says: they
retransmit a SYN after 0.2 and 0.6 s and give up after 1.4 s; they keep 16 packets in
flight and retransmit all of them after 0.2 s, doubling to 1.6 s. A caller whose flow
did not open may try again by way of any VM. Answers go from the servers to the callers
directly.
"""

from __future__ import annotations

import heapq
import itertools
import math
import struct
from random import Random

from expression import Ok

from kumquatmux_core.codec import registry
from kumquatmux_core.identity import Address, Endpoint
from kumquatmux_daemons.token_entry.core import EntryCore
from kumquatmux_daemons.token_entry.effects import Datagram, Sent
from kumquatmux_daemons.token_entry.settings import EntrySettings, VmLimits
from kumquatmux_registry.feed import FeedAnswer
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens.link_occupancy import LinkOccupancy
from kumquatmux_tokens.messages import MESSAGE_TYPES
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.routes import Route, RouteSet, WeightedService

UPLOADS = Address(bytes([198, 18, 0, 1, 1, 187]))
FEEDS = Address(bytes([198, 18, 0, 2, 1, 187]))
PLACE = Endpoint("10.1.0.9", 1)
LINK_BYTES_PER_S = 125_000.0
WIRE_S = 0.002
JITTER_S = 0.002
LINK_QUEUE_BYTES = 10_000
HEADER_BYTES = 36
TOKEN_BYTES = 8
PAYLOAD_BYTES = 1200
WINDOW_PACKETS = 16
SYN, DATA, ACK, FIN, RST = range(5)
MESSAGES = registry(MESSAGE_TYPES)
LAYOUT = struct.Struct("!BB6s6sIIII")
FIRST_SEQUENCE = 1000


def pack(kind, caller, route, token=0, copy=0, sequence=FIRST_SEQUENCE, ack=0, size=0):
    head = LAYOUT.pack(
        kind, copy, caller.to_bytes(6), route, token, sequence, ack, size
    )
    return head + bytes(HEADER_BYTES + size - len(head))


class Format:
    """Packets as ``pack`` writes them."""

    def read_head(self, packet):
        kind, copy, caller, route, token, sequence, ack, size = LAYOUT.unpack_from(
            packet
        )
        is_end = kind in (FIN, RST)
        return PacketHeader(
            caller + route, route, token, kind == SYN, is_end, copy, sequence, ack, size
        )

    def names_server(self, name):
        return True

    def to_server(self, packet, server, token):
        return packet + token.to_bytes(TOKEN_BYTES)

    def reset_for(self, packet, sequence):
        _, _, caller, route, *_ = LAYOUT.unpack_from(packet)
        return pack(RST, int.from_bytes(caller), route)

    def caller_ip(self, packet):
        return "100.64.0.1"

    def read_routes(self, content):
        services = (WeightedService("servers", 1),)
        uploads = Route("uploads", UPLOADS, services, 0, 1.2, 6.0, True)
        feeds = Route("feeds", FEEDS, services, 0, 0.5, 2.5)
        return Ok(RouteSet(1, (uploads, feeds), frozenset({"servers"}), 15.0))


def make_zone(link_bytes_per_s, vms=1, servers=5):
    names = tuple(f"e{number}" for number in range(1, vms + 1))
    return [make_core(link_bytes_per_s, name, names, servers) for name in names]


def make_core(link_bytes_per_s, vm, entries, servers):
    settings = EntrySettings(
        vm, "a", PLACE, PLACE, PLACE, PLACE, ("c1",),
        limits=VmLimits(link_bytes_per_s),
    )  # fmt: skip
    core = EntryCore(settings, Format(), Random(1), 0.0)
    records = tuple(make_server(number) for number in range(1, servers + 1))
    core.message(
        "c1",
        FeedAnswer(
            "c1", "a", 1, 0, len(records), records, 1, b"1", ("c1",), entries, True
        ),
        0.0,
    )
    return core


def make_server(number):
    place = Endpoint("10.0.0.9", number)
    lifetime = Lifetime(f"i-{number}", 1)
    report = Report(lifetime, 1, "servers", place, "a", "v1", 2, Phase.READY, 0.0)
    return ServerRecord(report, "c1")


class Caller:
    """One flow of a caller, with what its server has of it."""

    def __init__(self, number, vm, wanted, attempt, started_at):
        self.number = number
        self.vm = vm
        self.wanted = wanted
        self.route = wanted.route
        self.size = wanted.size
        self.attempt = attempt
        self.started_at = started_at
        self.token = 0
        self.acknowledged = 0
        self.sent = 0
        self.taken = set()
        self.delivered = 0
        self.timeout_s = 0.2
        self.timer = 0
        self.ended = ""

    @property
    def packets(self):
        return -(-self.size // PAYLOAD_BYTES)


class Request:
    """What a caller wants, however many flows it tries."""

    def __init__(self, route, size, work_s, wanted_at):
        self.route = route
        self.size = size
        self.work_s = work_s
        self.wanted_at = wanted_at
        self.done_at = math.inf


class Vm:
    """A core with its link."""

    def __init__(self, core):
        self.core = core
        self.free_at = 0.0
        self.tick_at = 0.0
        self.carried_bytes = 0

    def carry(self, size, now):
        """Return when the link has carried some bytes, infinity if it is full."""
        if (self.free_at - now) * LINK_BYTES_PER_S > LINK_QUEUE_BYTES:
            return math.inf
        self.carried_bytes += size
        self.free_at = max(self.free_at, now) + size / LINK_BYTES_PER_S
        return self.free_at


class Day:
    """A run of callers through the VMs of one zone."""

    def __init__(self, cores, random, attempts=1):
        self.vms = [Vm(core) for core in cores]
        self.by_name = {vm.core.settings.vm: vm for vm in self.vms}
        self.random = random
        self.jitter = Random(2)
        self.attempts = attempts
        self.events = []
        self.order = itertools.count()
        self.callers = {}
        self.requests = []
        self.reports = {}
        for vm in self.vms:
            self.at(0.0, self.tick, vm)

    def at(self, time, work, *given):
        heapq.heappush(self.events, (time, next(self.order), work, given))

    def add(self, route, size, work_s, wanted_at):
        request = Request(route, size, work_s, wanted_at)
        self.requests.append(request)
        self.at(wanted_at, self.start, request, 1)
        return request

    def start(self, now, request, attempt):
        number = len(self.callers) + 1
        vm = self.random.choice(self.vms)
        caller = self.callers[number] = Caller(number, vm, request, attempt, now)
        for copy, offset_s in enumerate((0.0, 0.2, 0.6)):
            self.at(now + offset_s, self.send_syn, caller, copy)
        self.at(now + 1.4, self.end, caller, "gave up")

    def run(self, until):
        while self.events and self.events[0][0] < until:
            now, _, work, given = heapq.heappop(self.events)
            work(now, *given)

    def tick(self, now, vm):
        if now < vm.tick_at:
            return
        vm.tick_at = math.inf
        self.carry_out(vm, vm.core.tick(now), now)

    def carry_out(self, vm, effects, now):
        for effect in effects:
            if isinstance(effect, Datagram):
                arrives_at = vm.carry(len(effect.data), now) + WIRE_S
                self.at(arrives_at, self.arrive, effect.data)
        # Messages of one tick may be in the order of a set, which differs by run.
        sent = [effect for effect in effects if isinstance(effect, Sent)]
        for effect in sorted(sent, key=lambda one: one.vm):
            if effect.vm in self.by_name:
                self.send_message(vm, effect, now)
        due_at = max(vm.core.due_at(now), now)
        if due_at < vm.tick_at or vm.tick_at <= now:
            vm.tick_at = due_at
            self.at(due_at, self.tick, vm)

    def send_message(self, vm, sent, now):
        if isinstance(sent.message, LinkOccupancy):
            self.reports.setdefault(vm.core.settings.vm, []).append(now)
        size = len(MESSAGES.encode(sent.message))
        leaves_at = vm.carry(size, now)
        receiver = self.by_name[sent.vm]
        self.at(leaves_at + WIRE_S, self.take_message, receiver, sent.message)

    def take_message(self, now, vm, message):
        self.carry_out(vm, vm.core.message(message.sender, message, now), now)

    def to_vm(self, now, vm, data):
        # Packets of one window overtake each other, as on any network.
        jitter_s = JITTER_S * self.jitter.random()
        self.at(now + WIRE_S + jitter_s, self.take, vm, data)

    def take(self, now, vm, data):
        self.carry_out(vm, vm.core.packet(data, now), now)

    def send_syn(self, now, caller, copy):
        if not caller.token and not caller.ended:
            data = pack(SYN, caller.number, caller.route, copy=copy)
            self.to_vm(now, caller.vm, data)

    def end(self, now, caller, reason):
        """End a flow that did not open, and try anew."""
        if caller.token or caller.ended:
            return
        caller.ended = reason
        if caller.attempt < self.attempts:
            self.start(now, caller.wanted, caller.attempt + 1)

    def arrive(self, now, data):
        """Take a datagram at its server, or a reset at its caller."""
        kind, _, number, _, _, sequence, _, size = LAYOUT.unpack_from(data)
        caller = self.callers[int.from_bytes(number)]
        if kind == RST:
            self.end(now, caller, "reset")
        elif kind == SYN:
            token = int.from_bytes(data[-TOKEN_BYTES:])
            self.at(now + WIRE_S, self.open, caller, token)
        elif kind == DATA:
            self.deliver(caller, sequence, size, now)

    def open(self, now, caller, token):
        if not caller.token and not caller.ended:
            caller.token = token
            self.send(caller, ACK, now, sequence=FIRST_SEQUENCE + 1)
            self.send_window(caller, now)

    def deliver(self, caller, sequence, size, now):
        was_complete = caller.delivered == caller.packets
        caller.taken.add((sequence - FIRST_SEQUENCE - 1) // PAYLOAD_BYTES)
        while caller.delivered in caller.taken:
            caller.delivered += 1
        self.at(now + WIRE_S, self.acknowledge, caller, caller.delivered)
        if caller.delivered == caller.packets and not was_complete:
            self.at(now + caller.wanted.work_s + WIRE_S, self.finish, caller)

    def acknowledge(self, now, caller, delivered):
        if delivered > caller.acknowledged:
            caller.acknowledged = delivered
            caller.timeout_s = 0.2
            self.send_window(caller, now)

    def send_window(self, caller, now):
        limit = min(caller.acknowledged + WINDOW_PACKETS, caller.packets)
        while caller.sent < limit:
            self.send_data(caller, caller.sent, now)
            caller.sent += 1
        self.start_timer(caller, now)

    def start_timer(self, caller, now):
        caller.timer += 1
        self.at(now + caller.timeout_s, self.resend, caller, caller.timer)

    def resend(self, now, caller, timer):
        if timer != caller.timer or caller.acknowledged == caller.packets:
            return
        if now - caller.started_at > 6.0:
            return
        for packet in range(caller.acknowledged, caller.sent):
            self.send_data(caller, packet, now)
        caller.timeout_s = min(2 * caller.timeout_s, 1.6)
        self.start_timer(caller, now)

    def send_data(self, caller, packet, now):
        start = packet * PAYLOAD_BYTES
        size = min(PAYLOAD_BYTES, caller.size - start)
        sequence = FIRST_SEQUENCE + 1 + start
        self.send(caller, DATA, now, sequence=sequence, size=size)

    def finish(self, now, caller):
        caller.wanted.done_at = min(caller.wanted.done_at, now)
        sequence = FIRST_SEQUENCE + 1 + caller.size
        self.send(caller, ACK, now, sequence=sequence, ack=900)
        self.send(caller, FIN, now, sequence=sequence, ack=900)

    def send(self, caller, kind, now, sequence, size=0, ack=500):
        data = pack(
            kind, caller.number, caller.route, caller.token, 0, sequence, ack, size
        )
        self.to_vm(now, caller.vm, data)

    def requests_of(self, route):
        return [one for one in self.requests if one.route == route]

    def done_within(self, route, seconds):
        """Return how many requests of a route were served within some time."""
        requests = self.requests_of(route)
        return sum(one.done_at - one.wanted_at <= seconds for one in requests)

    def carried_bytes(self):
        return sum(vm.carried_bytes for vm in self.vms)

    def count(self, name):
        return sum(vm.core.counts[name] for vm in self.vms)


def add_load(day, random, until, uploads_per_s, feeds_per_s, varied=True):
    """Have uploads of 40,000 bytes on average and small requests come at random."""
    for route, rate, work_s in (
        (UPLOADS, uploads_per_s, 0.005),
        (FEEDS, feeds_per_s, 0.055),
    ):
        time = random.expovariate(rate) if rate else until
        while time < until:
            size = 300
            if route == UPLOADS:
                size = random.randrange(20_000, 60_000) if varied else 40_000
            day.add(route, size, work_s, time)
            time += random.expovariate(rate)
