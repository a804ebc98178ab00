"""The fabric of a flow run: engines, ends, links and what is cut between them."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from kumquatmux_core.identity import (
    Address,
    Endpoint,
    FlowKey,
    ServiceName,
    Vm,
    VmId,
    ZoneName,
)
from kumquatmux_core.segments import FLAG_ACK, FLAG_RST, FLAG_SYN, PROTOCOL_TCP
from kumquatmux_flows.engine import FlowEngine
from kumquatmux_flows.events import (
    Action,
    AskPlacement,
    CallerPacket,
    Event,
    FlowPlaced,
    FlowRefused,
    PeerMessage,
    PeerPacket,
    ProbeCaller,
    ProbeServer,
    Quiet,
    ResetCaller,
    ResetServer,
    RoutesChanged,
    SendMessage,
    SendToCaller,
    SendToPeer,
    SendToServer,
    ServerPacket,
    ServerRoute,
    ServiceRoute,
    Tick,
    ViewChanged,
)
from kumquatmux_flows.messages import FLOW_MESSAGES
from kumquatmux_flows.settings import FlowSettings
from kumquatmux_lab.faultruns.flowends import (
    MASK,
    CallerEnd,
    ServerEnd,
    Wire,
    new_isn,
    unpack,
)
from kumquatmux_lab.faultruns.flowhistory import (
    Answered,
    History,
    Placed,
    Reached,
    Refused,
)

TICK_SECONDS = 0.05
NEAR_SECONDS = 0.001
FAR_SECONDS = 0.005
JITTER_SECONDS = 0.003
FABRIC_LEARNS_SECONDS = 0.5
PLACEMENT_SECONDS = 0.005
REFUSED_SHARE = 0.02
SERVICES = {
    ServiceName("entries"): Endpoint("127.66.0.50", 80).packed,
    ServiceName("pagesetter"): Endpoint("127.66.0.51", 80).packed,
}
RUN_SETTINGS = FlowSettings(
    quarantine_seconds=6.0,
    learned_fresh_seconds=2.0,
    copy_refresh_seconds=5.0,
    sweep_seconds=1.0,
    repair_bytes_per_second=50_000.0,
    probe_idle_seconds=4.0,
    probe_interval_seconds=1.0,
    probe_limit=4,
    silent_seconds=3.0,
    quiet_seconds=1.0,
    datagram_seconds=8.0,
)


class Node:
    """One entry VM of a run."""

    def __init__(self, vm: Vm, settings: FlowSettings, source: random.Random) -> None:
        self.vm = vm
        self.engine = FlowEngine(vm.vm, settings, source)
        self.alive = True
        self.sprayed = True
        self.quiet = False
        self.view: frozenset[VmId] = frozenset()
        self.routes: tuple[ServerRoute, ...] = ()
        self.revision = 0


class Host:
    """One backend server of a run."""

    def __init__(self, server: Address, service: ServiceName, zone: ZoneName) -> None:
        self.server = server
        self.service = service
        self.zone = zone
        self.ends: dict[FlowKey, ServerEnd] = {}
        self.datagrams: set[FlowKey] = set()
        self.push_every = 0.0
        self.running = True


class Timer(NamedTuple):
    """A step of the run that is due at a time."""

    time: float
    number: int
    step: Callable[[], None]


class World:
    """Everything between callers and backend servers."""

    def __init__(self, source: random.Random, settings: FlowSettings) -> None:
        self.random = source
        self.settings = settings
        self.now = 0.0
        self.timers: list[Timer] = []
        self.numbers = itertools.count(1)
        self.nodes: dict[VmId, Node] = {}
        self.hosts: dict[Address, Host] = {}
        self.callers: dict[FlowKey, CallerEnd] = {}
        self.caller_zones: dict[FlowKey, ZoneName] = {}
        self.cut: set[tuple[ZoneName, ZoneName]] = set()
        self.silenced: set[FlowKey] = set()
        self.loss = 0.0
        self.double = 0.0
        self.history: History = []

    def after(self, delay: float, step: Callable[[], None]) -> None:
        """Do a step later."""
        timer = Timer(self.now + delay, next(self.numbers), step)
        heapq.heappush(self.timers, timer)

    def run_until(self, end: float) -> None:
        """Do every step that is due by a time."""
        while self.timers and self.timers[0].time <= end:
            timer = heapq.heappop(self.timers)
            self.now = timer.time
            timer.step()
        self.now = end

    def delay(self, left: ZoneName, right: ZoneName) -> float:
        """Return the delay of one packet between zones."""
        base = NEAR_SECONDS if left == right else FAR_SECONDS
        return base + self.random.random() * JITTER_SECONDS

    def is_cut(self, left: ZoneName, right: ZoneName) -> bool:
        """Return whether packets from one zone to another are lost."""
        return (left, right) in self.cut

    def carry(self, left: ZoneName, right: ZoneName, step: Callable[[], None]) -> None:
        """Do a step on the other side of a link, if the packet gets there."""
        if self.is_cut(left, right) or self.random.random() < self.loss:
            return
        self.after(self.delay(left, right), step)

    def spray(self, zone: ZoneName) -> Node | None:
        """Return the VM the fabric of a zone hands a packet to."""
        nodes = [
            node
            for node in self.nodes.values()
            if node.sprayed and not self.is_cut(zone, node.vm.zone)
        ]
        return self.random.choice(nodes) if nodes else None

    def from_caller(self, wire: Wire) -> None:
        """Put a caller's packet on the fabric, sometimes twice."""
        self.one_from_caller(wire._replace(copy=next(self.numbers)))
        if self.random.random() < self.double:
            self.one_from_caller(wire._replace(copy=next(self.numbers)))

    def one_from_caller(self, wire: Wire) -> None:
        """Hand one copy to some VM."""
        zone = self.caller_zones[wire.key]
        node = self.spray(zone)
        if node is None:
            return
        self.carry(zone, node.vm.zone, lambda: self.caller_arrives(node, wire))

    def caller_arrives(self, node: Node, wire: Wire) -> None:
        """Let a VM route a caller's packet."""
        if not node.alive:
            return
        engine = node.engine
        server = engine.route_caller(
            wire.key, wire.flags, wire.seq, wire.ack, wire.payload_length, self.now
        )
        if server is not None:
            self.act(node, engine.drain())
            self.to_server(node, Address(server), wire)
            return
        self.tell(node, CallerPacket(wire.segment()))

    def from_server(self, host: Host, wire: Wire) -> None:
        """Put a server's packet on the fabric."""
        if wire.key in self.silenced:
            return
        wire = wire._replace(copy=next(self.numbers), server=host.server)
        node = self.spray(host.zone)
        if node is None:
            return
        self.carry(host.zone, node.vm.zone, lambda: self.reply_arrives(node, wire))

    def reply_arrives(self, node: Node, wire: Wire) -> None:
        """Let a VM route a server's packet."""
        if not node.alive:
            return
        straight = node.engine.route_reply(
            wire.key,
            wire.flags,
            wire.seq,
            wire.ack,
            wire.payload_length,
            wire.server,
            self.now,
        )
        if straight:
            self.act(node, node.engine.drain())
            self.to_caller(node, wire)
            return
        self.tell(node, ServerPacket(wire.segment(), wire.server))

    def tell(self, node: Node, event: Event) -> None:
        """Give an engine an event and do what it asks."""
        if node.alive:
            self.act(node, node.engine.handle(event, self.now))

    def act(self, node: Node, actions: list[Action]) -> None:
        """Do what an engine asks for."""
        for action in actions:
            self.do(node, action)

    def do(self, node: Node, action: Action) -> None:
        """Do one action."""
        match action:
            case SendToServer(server, packet):
                self.to_server(node, server, unpack(packet))
            case SendToCaller(_, packet):
                self.to_caller(node, unpack(packet))
            case SendToPeer():
                self.to_peer(node, action)
            case SendMessage():
                self.to_peer_message(node, action)
            case AskPlacement(key, service):
                delay = self.random.random() * PLACEMENT_SECONDS
                self.after(delay, lambda: self.place(node, key, service))
            case ResetCaller():
                self.reset_caller(node, action)
            case ResetServer(key, server, seq):
                reset = Wire(key, FLAG_RST, seq, 0, 0, next(self.numbers), 0)
                self.to_server(node, server, reset)
            case ProbeServer(key, server, seq, ack):
                probe = Wire(key, FLAG_ACK, seq, ack, 0, next(self.numbers), 0)
                self.to_server(node, server, probe)
            case ProbeCaller(key, seq, ack):
                self.to_caller(node, Wire(key, FLAG_ACK, seq, ack, 0, 0, 0))
            case Quiet():
                node.quiet = True
            case _:
                pass

    def to_server(self, node: Node, server: Address, wire: Wire) -> None:
        """Carry a packet to a backend server."""
        host = self.hosts.get(server)
        if host is None or wire.key in self.silenced:
            return
        self.carry(node.vm.zone, host.zone, lambda: self.server_gets(host, wire))

    def server_gets(self, host: Host, wire: Wire) -> None:
        """Let a backend server take a packet."""
        if not host.running:
            return
        self.history.append(
            Reached(
                self.now,
                wire.key,
                wire.connection,
                wire.copy,
                host.server,
                wire.payload_length,
                service_of(wire.key),
                host.service,
            )
        )
        if wire.key[0] != PROTOCOL_TCP:
            host.datagrams.add(wire.key)
            self.from_server(host, wire._replace(payload_length=1))
            return
        end = host.ends.get(wire.key)
        fresh_syn = wire.flags == FLAG_SYN
        if fresh_syn and (end is None or end.connection != wire.connection):
            end = ServerEnd(
                wire.key, wire.connection, new_isn(self.random), host.push_every
            )
            end.expected = (wire.seq + 1) & MASK
            host.ends[wire.key] = end
            end.send(FLAG_SYN | FLAG_ACK, 0, self.now)
        elif end is None:
            if not wire.flags & FLAG_RST:
                reset = Wire(wire.key, FLAG_RST, wire.ack, 0, 0, 0, wire.connection)
                self.from_server(host, reset)
            return
        else:
            end.take(wire, self.now)
        self.flush_server(host, end)

    def flush_server(self, host: Host, end: ServerEnd) -> None:
        """Send what a server's end has ready."""
        ready, end.out = end.out, []
        for wire in ready:
            self.from_server(host, wire)

    def to_caller(self, node: Node, wire: Wire) -> None:
        """Carry a packet to its caller."""
        zone = self.caller_zones[wire.key]
        self.carry(node.vm.zone, zone, lambda: self.caller_gets(wire))

    def caller_gets(self, wire: Wire) -> None:
        """Let a caller take a packet."""
        end = self.callers.get(wire.key)
        if end is None:
            return
        if end.take(wire, self.now):
            self.history.append(
                Answered(self.now, wire.key, end.connection, wire.server)
            )
        self.flush_caller(end)

    def flush_caller(self, end: CallerEnd) -> None:
        """Send what a caller's end has ready."""
        ready, end.out = end.out, []
        for wire in ready:
            self.from_caller(wire)

    def reset_caller(self, node: Node, action: ResetCaller) -> None:
        """Carry a reset made by an engine to a caller."""
        segment = action.segment
        copy = unpack(segment.packet).copy if segment.packet else 0
        if segment.opens or segment.key[0] != PROTOCOL_TCP:
            self.history.append(Refused(self.now, segment.key, copy))
        extra = bool(segment.flags & FLAG_SYN)
        ack = (segment.seq + segment.payload_length + extra) & MASK
        reset = Wire(segment.key, FLAG_RST, segment.ack, ack, 0, 0, 0)
        self.to_caller(node, reset)

    def to_peer(self, node: Node, action: SendToPeer) -> None:
        """Carry a packet to another VM."""
        peer = self.nodes.get(action.vm)
        if peer is None:
            return
        segment = unpack(action.packet).segment()
        event = PeerPacket(node.vm.vm, action.passing, segment)
        self.carry(node.vm.zone, peer.vm.zone, lambda: self.tell(peer, event))

    def to_peer_message(self, node: Node, action: SendMessage) -> None:
        """Carry a message to another VM, through the codec."""
        peer = self.nodes.get(action.vm)
        if peer is None:
            return
        message = FLOW_MESSAGES.decode(FLOW_MESSAGES.encode(action.message)).ok
        event = PeerMessage(node.vm.vm, message)
        self.carry(node.vm.zone, peer.vm.zone, lambda: self.tell(peer, event))

    def place(self, node: Node, key: FlowKey, service: ServiceName) -> None:
        """Answer a request for a server from what the VM knows."""
        choices = [
            route.server
            for route in node.routes
            if route.service == service and not self.is_cut(node.vm.zone, route.zone)
        ]
        if not choices or self.random.random() < REFUSED_SHARE:
            self.tell(node, FlowRefused(key, "busy"))
            return
        server = self.random.choice(choices)
        if node.alive:
            self.history.append(Placed(self.now, key, server, node.vm.vm))
        self.tell(node, FlowPlaced(key, server))

    def tick_node(self, node: Node) -> None:
        """Let an engine do what is due, again and again."""
        if not node.alive:
            return
        self.tell(node, Tick())
        self.after(TICK_SECONDS, lambda: self.tick_node(node))

    def tell_view(self, node: Node, lost: tuple[VmId, ...] = ()) -> None:
        """Give a VM the view it has now."""
        live = tuple(self.nodes[vm].vm for vm in sorted(node.view))
        self.tell(node, ViewChanged(live, lost))

    def tell_routes(self, node: Node, revision: int) -> None:
        """Give a VM the routes it has now."""
        services = tuple(
            ServiceRoute(name, address, protocol)
            for name, address in SERVICES.items()
            for protocol in (6, 17)
        )
        self.tell(node, RoutesChanged(revision, services, node.routes))


def service_of(key: FlowKey) -> ServiceName:
    """Return the service a flow's address stands for."""
    address = key[5:9] + key[11:13]
    for name, service in SERVICES.items():
        if service == address:
            return name
    raise ValueError(f"no service at {address.hex()}")
