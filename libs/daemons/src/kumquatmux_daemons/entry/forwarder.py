"""From a datagram to the engines and from their actions to datagrams."""

from __future__ import annotations

from collections import Counter
from functools import singledispatchmethod
from typing import Protocol

from absl import logging

from kumquatmux_core.identity import Address, Endpoint, FlowKey, Vm, VmId
from kumquatmux_core.problems import Problem
from kumquatmux_core.segments import FLAG_RST, PROTOCOL_TCP, Segment
from kumquatmux_daemons.entry.admission_desk import AdmissionDesk, WorkAction
from kumquatmux_daemons.entry.directory import Directory
from kumquatmux_daemons.entry.port import PacketPort
from kumquatmux_daemons.entry.rewrites import Rewrites
from kumquatmux_daemons.transport.links import PeerLinks
from kumquatmux_flows import events as flows
from kumquatmux_flows.engine import FlowEngine
from kumquatmux_packets import answers, envelope, layout, reading
from kumquatmux_packets.rewriting import rewrite_source, rewrite_target

TCP_PACKET_BYTES = layout.IP_HEADER_BYTES + layout.TCP_HEADER_BYTES
ENVELOPE_MARK = bytes((envelope.MARK,))
IPV4_MARK = bytes((layout.VERSION_AND_LENGTH,))
LOG_EVERY_S = 5
LONGEST_PATH = 32
REPLY_STAGES = (flows.Stage.REPLY_TO_OWNER, flows.Stage.REPLY_CLOSE)
PACKET_EVENTS = (flows.CallerPacket, flows.ServerPacket, flows.PeerPacket)


class Hooks(Protocol):
    """What the forwarder needs of the rest of its VM."""

    def refresh_leases(self, now: float) -> None:
        """Look at what time alone has changed about backend servers."""

    def refresh_route(self, action: flows.RefreshRoute, now: float) -> None:
        """Ask whoever gave a failed route for a fresh one."""

    def quiet(self) -> None:
        """A leaving VM sees no more packets."""


class Forwarder:
    """Moves packets; every decision is asked of the flow engine or the admission desk.

    Attributes:
        engine: Flow ownership and records.
        desk: Admission of new flows.
        directory: Services and servers in force.
        port: Where packets come and go.
        fabric: Where packets to callers and servers leave.
        key: Secret that seals passed packets.
        links: Messages to other flow engines.
        hooks: The rest of this VM.
        counts: Packets and decisions by kind since the start.
        is_suspended: Whether this VM stood still and may not decide anything yet.
    """

    def __init__(
        self,
        engine: FlowEngine,
        desk: AdmissionDesk,
        directory: Directory,
        port: PacketPort,
        fabric: Endpoint,
        key: bytes,
        links: PeerLinks,
        hooks: Hooks,
    ) -> None:
        self.engine = engine
        self.desk = desk
        self.directory = directory
        self.port = port
        self.fabric = fabric
        self.key = key
        self.links = links
        self.hooks = hooks
        self.counts: Counter[str] = Counter()
        self.rewrites = Rewrites()
        self.is_suspended = False
        self.peer_by_source: dict[tuple[str, int], VmId] = {}
        self.target_by_peer: dict[VmId, Endpoint] = {}

    def use_peers(self, peers: tuple[Vm, ...]) -> None:
        """Know the packet endpoints of all VMs of the deployment.

        A VM that is no longer listed is still known, because one that leaves takes
        part until it is quiet.
        """
        for vm in peers:
            self.peer_by_source[(vm.packets.ip, vm.packets.port)] = vm.vm
            self.target_by_peer[vm.vm] = vm.packets

    def on_datagram(self, data: bytes, source: tuple[str, int], now: float) -> None:
        """Take one datagram of the fabric or of a peer."""
        if data[:1] == ENVELOPE_MARK:
            self.on_envelope(data, source, now)
            return
        if len(data) < TCP_PACKET_BYTES or data[:1] != IPV4_MARK:
            self.on_other(data, now)
            return
        if data[layout.PROTOCOL] != PROTOCOL_TCP:
            self.on_other(data, now)
            return
        route = self.directory.by_target.get(data[9:10] + data[16:20] + data[22:24])
        if route is not None:
            self.on_caller_tcp(data, route, now)
            return
        server = data[12:16] + data[20:22]
        route = self.directory.service_by_server.get(server)
        if route is not None:
            self.on_server_tcp(data, server, route, now)
            return
        self.on_other(data, now)

    def on_caller_tcp(self, data: bytes, route: flows.ServiceRoute, now: float) -> None:
        """Forward a caller's packet at once if the engine knows where."""
        key = data[9:10] + data[12:24]
        server = self.engine.route_caller(
            key,
            data[33],
            int.from_bytes(data[24:28]),
            int.from_bytes(data[28:32]),
            len(data) - 20 - (data[32] >> 4) * 4,
            now,
        )
        if server is not None:
            rewrite = self.rewrites.plan(route.address, Address(server))
            self.port.send(rewrite_target(data, rewrite), self.fabric)
            return
        if self.is_malformed(data):
            return
        segment = reading.segment(FlowKey(key), data)
        self.run(flows.CallerPacket(segment), now)

    def on_server_tcp(
        self, data: bytes, server: bytes, route: flows.ServiceRoute, now: float
    ) -> None:
        """Forward a server's packet at once if the engine allows it."""
        service = route.address
        key = data[9:10] + data[16:20] + service[:4] + data[22:24] + service[4:]
        straight = self.engine.route_reply(
            key,
            data[33],
            int.from_bytes(data[24:28]),
            int.from_bytes(data[28:32]),
            len(data) - 20 - (data[32] >> 4) * 4,
            server,
            now,
        )
        if straight:
            rewrite = self.rewrites.plan(Address(server), service)
            self.port.send(rewrite_source(data, rewrite), self.fabric)
            return
        if self.is_malformed(data):
            return
        segment = reading.segment(FlowKey(key), data)
        self.run(flows.ServerPacket(segment, Address(server)), now)

    def on_other(self, data: bytes, now: float) -> None:
        """Take a UDP packet, or refuse what is malformed or meant for nobody."""
        if self.is_malformed(data):
            return
        target = data[9:10] + reading.target_address(data)
        if target in self.directory.by_target:
            segment = reading.segment(reading.caller_key(data), data)
            self.run(flows.CallerPacket(segment), now)
            return
        server = reading.source_address(data)
        route = self.directory.service_by_server.get(server)
        if route is not None and route.protocol == data[9]:
            segment = reading.segment(reading.reply_key(data, route.address), data)
            self.run(flows.ServerPacket(segment, server), now)
            return
        self.on_unknown_service(data)

    def on_unknown_service(self, data: bytes) -> None:
        """Refuse a packet to an address that no service has."""
        self.refuse_packet(Problem("packet-service", "no such service"))
        if self.directory.revision:
            segment = reading.segment(reading.caller_key(data), data)
            self.refuse(segment)

    def on_envelope(self, data: bytes, source: tuple[str, int], now: float) -> None:
        """Take a packet that a peer passed on."""
        sender = self.peer_by_source.get(source)
        if sender is None:
            self.refuse_packet(Problem("envelope-sender", f"{source} is no peer"))
            return
        opened = envelope.unseal(data, key=self.key)
        if opened.is_error():
            self.refuse_packet(opened.error)
            return
        if self.is_malformed(opened.ok.packet):
            return
        passing = opened.ok.passing
        if passing.hops > LONGEST_PATH:
            self.refuse_packet(Problem("envelope-hops", "passed on too often"))
            return
        key = self.passed_key(passing, opened.ok.packet)
        if key is None:
            self.refuse_packet(Problem("envelope-server", "its server is unknown here"))
            return
        segment = reading.segment(key, opened.ok.packet)
        self.run(flows.PeerPacket(sender, passing, segment), now)

    def passed_key(self, passing: flows.Passing, packet: bytes) -> FlowKey | None:
        """Return the flow key of a passed packet, seen from its caller's side."""
        if passing.stage not in REPLY_STAGES:
            return reading.caller_key(packet)
        route = self.directory.service_by_server.get(reading.source_address(packet))
        if route is None:
            return None
        return reading.reply_key(packet, route.address)

    def run(self, event: flows.Event, now: float) -> None:
        """Let the engine decide about an event and carry out what it asks for."""
        if self.is_suspended and isinstance(event, PACKET_EVENTS):
            self.counts["dropped.suspended"] += 1
            return
        for action in self.engine.handle(event, now):
            self.perform(action, now)

    def end_batch(self, now: float) -> None:
        """Carry out what the fast path left to do."""
        for action in self.engine.drain():
            self.perform(action, now)

    def is_malformed(self, packet: bytes) -> bool:
        """Return whether a packet cannot be carried, after refusing it."""
        problem = reading.check(packet)
        if problem is not None:
            self.refuse_packet(problem)
        return problem is not None

    def refuse_packet(self, problem: Problem) -> None:
        """Count a packet that goes nowhere and log some of them."""
        self.counts[problem.code] += 1
        logging.log_every_n_seconds(
            logging.WARNING, "packet refused: %s", LOG_EVERY_S, problem
        )

    def refuse(self, segment: Segment) -> None:
        """Answer a caller's packet with a reset or port unreachable."""
        if segment.is_tcp and segment.flags & FLAG_RST:
            return
        self.port.send(answers.refuse_caller(segment), self.fabric)

    @singledispatchmethod
    def perform(self, action: flows.Action, now: float) -> None:
        """Carry out one action."""
        raise TypeError(f"no such action: {action!r}")

    @perform.register
    def _(self, action: flows.SendToServer, now: float) -> None:
        service = reading.target_address(action.packet)
        rewrite = self.rewrites.plan(service, action.server)
        self.port.send(rewrite_target(action.packet, rewrite), self.fabric)

    @perform.register
    def _(self, action: flows.SendToCaller, now: float) -> None:
        server = reading.source_address(action.packet)
        rewrite = self.rewrites.plan(server, action.service)
        self.port.send(rewrite_source(action.packet, rewrite), self.fabric)

    @perform.register
    def _(self, action: flows.SendToPeer, now: float) -> None:
        target = self.target_by_peer.get(action.vm)
        if target is None:
            self.refuse_packet(Problem("peer-unknown", f"no VM {action.vm}"))
            return
        sealed = envelope.seal(action.passing, action.packet, key=self.key)
        self.port.send(sealed, target)

    @perform.register
    def _(self, action: flows.AskPlacement, now: float) -> None:
        self.hooks.refresh_leases(now)
        for answer in self.desk.submit(action.key, action.service, now):
            self.run(answer, now)

    @perform.register
    def _(self, action: flows.CancelPlacement, now: float) -> None:
        route = self.directory.by_target.get(answers.target_of(action.key))
        if route is not None:
            self.desk.cancel(action.key, route.service, now)

    @perform.register
    def _(self, action: flows.SendMessage, now: float) -> None:
        self.links.send(action.vm, action.message)

    @perform.register
    def _(self, action: flows.RefreshRoute, now: float) -> None:
        self.counts[f"refresh.{action.reason}"] += 1
        self.hooks.refresh_route(action, now)

    @perform.register
    def _(self, action: flows.Quiet, now: float) -> None:
        self.hooks.quiet()

    @perform.register
    def _(self, action: flows.ResetCaller, now: float) -> None:
        self.counts[f"reset.{action.reason}"] += 1
        self.refuse(action.segment)

    @perform.register
    def _(self, action: flows.ResetServer, now: float) -> None:
        packet = answers.reset_server(action.key, action.server, action.seq)
        self.port.send(packet, self.fabric)

    @perform.register
    def _(self, action: flows.ProbeServer, now: float) -> None:
        packet = answers.probe_server(action.key, action.server, action.seq, action.ack)
        self.port.send(packet, self.fabric)

    @perform.register
    def _(self, action: flows.ProbeCaller, now: float) -> None:
        packet = answers.probe_caller(action.key, action.seq, action.ack)
        self.port.send(packet, self.fabric)

    @perform.register
    def _(self, action: flows.Dropped, now: float) -> None:
        self.counts[f"dropped.{action.reason}"] += 1

    @perform.register(flows.WorkStarted)
    @perform.register(flows.WorkAnswered)
    @perform.register(flows.FlowClosed)
    @perform.register(flows.FlowAdopted)
    def _(self, action: WorkAction, now: float) -> None:
        route = self.directory.service_by_server.get(action.server)
        if route is None:
            return
        for answer in self.desk.note(route.service, action, now):
            self.run(answer, now)
