"""How many packets and new flows a second one entry process moves.

The whole data path of one entry VM is run: the UDP socket, the decision, the rewrite
and the send. Datagrams are queued in the socket first and only their handling is timed,
in processor time of this process, so that the sender's cost is not counted.
"""

from __future__ import annotations

import gc
import itertools
import random
import resource
import socket
import time
import tracemalloc
from typing import NamedTuple, cast

import dpkt

from kumquatmux_core import decisions
from kumquatmux_core.identity import (
    Address,
    Endpoint,
    ServerId,
    ServiceName,
    Vm,
    VmId,
    ZoneName,
)
from kumquatmux_core.segments import FLAG_ACK, FLAG_SYN
from kumquatmux_daemons.entry.admission_desk import AdmissionDesk
from kumquatmux_daemons.entry.directory import Directory
from kumquatmux_daemons.entry.forwarder import Forwarder
from kumquatmux_daemons.entry.port import PacketPort
from kumquatmux_daemons.transport.links import PeerLinks
from kumquatmux_flows import events as flows
from kumquatmux_flows.engine import FlowEngine
from kumquatmux_flows.settings import FlowSettings
from kumquatmux_membership.events import Lease, ServersChanged
from kumquatmux_placement.settings import PlacementSettings
from kumquatmux_settings.tree import Service

LOOPBACK = "127.0.0.1"
SERVICE = ServiceName("entries")
SERVICE_AT = Endpoint("127.66.0.50", 80)
ZONE = ZoneName("cnx-a")
SERVERS = 7
BATCH = 400
SINK_BYTES = 4 * 1024 * 1024
PAYLOAD = b"x" * 200
NEW_FLOWS = 10_000
NEW_FLOWS_AT_ONCE = 100
PACKETS = 60_000
CALLERS_PER_IP = 50_000
SETTLED_S = 1_000.0


class PacketFigures(NamedTuple):
    """What one entry process did with some flows open.

    Attributes:
        open_flows: Flows open.
        established_per_second: Packets of open flows a second of processor time.
        caller_us: Microseconds for a caller's packet with payload.
        ack_us: Microseconds for a caller's pure acknowledgement.
        reply_us: Microseconds for a reply with payload.
        new_flows_per_second: New flows a second: first packet, its placement, the
            server's answer and the caller's acknowledgement.
        bytes_per_flow: Memory of one flow record, by ``tracemalloc``.
        resident_bytes_per_flow: Growth of the resident size for each flow.
    """

    open_flows: int
    established_per_second: float
    caller_us: float
    ack_us: float
    reply_us: float
    new_flows_per_second: float
    bytes_per_flow: float
    resident_bytes_per_flow: float


class NoHooks:
    """A VM whose leases and routes never change."""

    def refresh_leases(self, now: float) -> None:
        """Do nothing."""

    def refresh_route(self, action: flows.RefreshRoute, now: float) -> None:
        """Do nothing."""

    def quiet(self) -> None:
        """Do nothing."""


class NoLinks:
    """Messages that go nowhere."""

    def send(self, vm: VmId, message: flows.FlowMessage) -> bool:
        """Take a message."""
        return True


class SilentPort(PacketPort):
    """A port that sends nothing, to open many flows quickly."""

    def send(self, data: bytes | bytearray, target: tuple[str, int]) -> None:
        """Take a packet."""


class Bench:
    """One entry VM that owns a service, and its surroundings."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sink.bind((LOOPBACK, 0))
        self.sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SINK_BYTES)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.port = PacketPort(Endpoint(LOOPBACK, 0))
        self.target = self.port.socket.getsockname()
        self.engine = FlowEngine(
            VmId("a"), FlowSettings(flow_limit=1_000_000), self.random
        )
        self.desk = AdmissionDesk(self.random)
        self.directory = Directory()
        self.forwarder = Forwarder(
            self.engine,
            self.desk,
            self.directory,
            self.port,
            Endpoint(*self.sink.getsockname()),
            bytes(32),
            cast(PeerLinks, NoLinks()),
            NoHooks(),
        )
        self.now = 100.0
        self.opened = 0
        self.forwarded = 0
        self.isn: list[int] = []
        self.server_of: list[Address] = []
        self._configure()
        self.now += SETTLED_S

    def _configure(self) -> None:
        service = Service(SERVICE, SERVICE_AT, 6, (), (), True)
        self.directory.use_services(1, (service,))
        leases = tuple(self._lease(number) for number in range(SERVERS))
        self.directory.use_leases(ServersChanged(leases, ()), -1e6)
        self.desk.use_settings(SERVICE, PlacementSettings(zone=ZONE))
        self.forwarder.run(self.directory.routes(), self.now)
        for change in self.directory.placement_servers():
            self.desk.use_servers(change, self.now)
        view = flows.ViewChanged(tuple(self._vms()))
        self.forwarder.use_peers(view.live)
        self.forwarder.run(view, self.now)

    def _vms(self) -> list[Vm]:
        """Return two VMs of which this one ranks first for the service."""
        target = bytes([6]) + SERVICE_AT.packed
        at = Endpoint(*self.sink.getsockname())
        me = Vm(VmId("a"), ZONE, at, at)
        for number in range(100):
            other = Vm(VmId(f"b{number}"), ZONE, at, at)
            trial = FlowEngine(VmId("a"), FlowSettings(), random.Random(0))
            trial.handle(flows.ViewChanged((me, other)), 0.0)
            if trial.state.ranking.owns(target):
                return [me, other]
        raise AssertionError("no name ranks second in a hundred")

    def _lease(self, number: int) -> Lease:
        endpoint = Endpoint(f"127.66.1.{number + 1}", 9001)
        return Lease(
            server=ServerId(str(endpoint)),
            endpoint=endpoint,
            service=SERVICE,
            zone=ZONE,
            slots=1_000_000,
            connections=1_000_000,
            draining=False,
            left=False,
            version=1,
        )

    def open_flows(self, count: int) -> None:
        """Open flows: first packet, the server's answer, the acknowledgement."""
        port = self.forwarder.port
        self.forwarder.port = SilentPort(Endpoint(LOOPBACK, 0))
        for number in range(self.opened, self.opened + count):
            for packet in self.handshake(number):
                self.forwarder.on_datagram(packet, self.target, self.now)
        self.forwarder.end_batch(self.now)
        self.forwarder.port.close()
        self.forwarder.port = port
        self.opened += count

    def handshake(self, number: int) -> list[bytes]:
        """Return the first three packets of a flow, and of its first exchange."""
        caller = self.caller(number)
        syn = packet_of(caller, SERVICE_AT, FLAG_SYN, 0, 0)
        self.forwarder.on_datagram(syn, self.target, self.now)
        server = self.server(number)
        return [
            packet_of(server, caller, FLAG_SYN | FLAG_ACK, 0, 1),
            packet_of(caller, SERVICE_AT, FLAG_ACK, 1, 1),
            packet_of(caller, SERVICE_AT, FLAG_ACK, 1, 1, PAYLOAD),
            packet_of(server, caller, FLAG_ACK, 1, 1 + len(PAYLOAD), PAYLOAD),
        ]

    def caller(self, number: int) -> Endpoint:
        """Return the address of a flow's caller."""
        host, port = divmod(number, CALLERS_PER_IP)
        return Endpoint(f"127.67.0.{host + 1}", 10_000 + port)

    def server(self, number: int) -> Endpoint:
        """Return the backend server of an open flow."""
        caller = self.caller(number)
        key = b"\x06" + caller.packed[:4] + SERVICE_AT.packed[:4]
        key += caller.packed[4:] + SERVICE_AT.packed[4:]
        table = self.engine.state.table
        slot = table.slots[key]  # type: ignore[index]
        address = self.engine.state.routes.addresses[table.servers[slot]]
        ip = ".".join(map(str, address[:4]))
        return Endpoint(ip, int.from_bytes(address[4:]))

    def time_packets(self, packets: list[bytes]) -> float:
        """Return microseconds of processor time a packet takes, socket to socket."""
        spent = 0.0
        for start in range(0, len(packets), BATCH):
            batch = packets[start : start + BATCH]
            for packet in batch:
                self.sender.sendto(packet, self.target)
            before = time.process_time()
            for _ in range(0, len(batch), 64):
                self.port.read_batch(self.forwarder.on_datagram, self.now)
                self.forwarder.end_batch(self.now)
            spent += time.process_time() - before
            self.forwarded += self._empty_sink()
        return spent / len(packets) * 1e6

    def _empty_sink(self) -> int:
        """Return how many datagrams have left this VM since the last time."""
        self.sink.setblocking(False)
        for count in itertools.count():
            try:
                self.sink.recv(65_535)
            except BlockingIOError:
                return count
        raise AssertionError

    def chosen(self, count: int) -> list[int]:
        """Return open flows at random, each once if there are enough."""
        if count <= self.opened:
            return self.random.sample(range(self.opened), count)
        return [self.random.randrange(self.opened) for _ in range(count)]


def packet_of(
    source: Endpoint,
    target: Endpoint,
    flags: int,
    seq: int,
    ack: int,
    data: bytes = b"",
) -> bytes:
    """Return a TCP packet."""
    tcp = dpkt.tcp.TCP(
        sport=source.port, dport=target.port, seq=seq, ack=ack, flags=flags, data=data
    )
    packet = dpkt.ip.IP(
        src=bytes(source.packed[:4]), dst=bytes(target.packed[:4]), p=6, data=tcp
    )
    packet.len = len(packet)
    return bytes(packet)


def measure(open_flows: int, seed: int) -> PacketFigures:
    """Return the figures of one entry process with some flows open."""
    decisions.configure(as_json=False, enabled=False)
    bench = Bench(seed)
    bench.open_flows(1_000)
    gc.collect()
    resident = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    bench.open_flows(open_flows - 1_000)
    gc.collect()
    grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - resident
    count = min(PACKETS, 5 * open_flows)
    seq = 1 + len(PAYLOAD)
    step = len(PAYLOAD)
    chosen = bench.chosen(count)
    turns: dict[int, int] = {}
    callers, acks, replies = [], [], []
    for number in chosen:
        turn = turns.get(number, 0)
        turns[number] = turn + 1
        caller, server = bench.caller(number), bench.server(number)
        at = seq + turn * step
        callers.append(packet_of(caller, SERVICE_AT, FLAG_ACK, at, at, PAYLOAD))
        replies.append(packet_of(server, caller, FLAG_ACK, at, at + step, PAYLOAD))
        acks.append(packet_of(caller, SERVICE_AT, FLAG_ACK, at + step, at + step))
    caller_us = bench.time_packets(callers)
    reply_us = bench.time_packets(replies)
    ack_us = bench.time_packets(acks)
    assert bench.forwarded == 3 * count, "every packet of an open flow is forwarded"
    new_us = time_new_flows(bench)
    mean_us = (caller_us + reply_us + ack_us) / 3
    return PacketFigures(
        open_flows=open_flows,
        established_per_second=1e6 / mean_us,
        caller_us=caller_us,
        ack_us=ack_us,
        reply_us=reply_us,
        new_flows_per_second=1e6 / new_us,
        bytes_per_flow=record_bytes(seed),
        resident_bytes_per_flow=grown * 1024 / max(open_flows - 1_000, 1),
    )


def time_new_flows(bench: Bench) -> float:
    """Return microseconds of processor time from first packet to first answer."""
    spent = 0.0
    for first in range(bench.opened, bench.opened + NEW_FLOWS, NEW_FLOWS_AT_ONCE):
        numbers = range(first, first + NEW_FLOWS_AT_ONCE)
        callers = [bench.caller(number) for number in numbers]
        syns = [packet_of(caller, SERVICE_AT, FLAG_SYN, 0, 0) for caller in callers]
        spent += bench.time_packets(syns)
        answers, acks, asks, replies = [], [], [], []
        for number, caller in zip(numbers, callers, strict=True):
            server = bench.server(number)
            end = 1 + len(PAYLOAD)
            answers.append(packet_of(server, caller, FLAG_SYN | FLAG_ACK, 0, 1))
            acks.append(packet_of(caller, SERVICE_AT, FLAG_ACK, 1, 1))
            asks.append(packet_of(caller, SERVICE_AT, FLAG_ACK, 1, 1, PAYLOAD))
            replies.append(packet_of(server, caller, FLAG_ACK, 1, end, PAYLOAD))
        for packets in (answers, acks, asks, replies):
            spent += bench.time_packets(packets)
    bench.opened += NEW_FLOWS
    return spent * NEW_FLOWS_AT_ONCE / NEW_FLOWS


def record_bytes(seed: int) -> float:
    """Return the memory of one flow, the admission's part included."""
    flows_measured = 20_000
    bench = Bench(seed)
    bench.open_flows(1_000)
    gc.collect()
    tracemalloc.start()
    bench.open_flows(flows_measured)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / flows_measured
