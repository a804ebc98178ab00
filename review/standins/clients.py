"""The fabric and its clients: flows that are kept open for many requests."""

from __future__ import annotations

import asyncio
import random
import zlib

from standins import packets
from standins.calls import call_once
from standins.deployment import Deployment, Machine
from standins.packets import ACK, FIN, RST, SYN, Packet
from standins.record import Record

SYN_COPIES_S = (0.0, 0.2, 0.6)
SYN_GIVE_UP_S = 1.4
RESEND_FIRST_S = 0.2
RESEND_MOST_S = 1.6
PROBE_S = 0.5
MISSES = 2


class Fabric:
    """Routers: each packet goes to a node in rotation by a hash of the flow.

    Attributes:
        misses: Probes in a row that each node left unanswered.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.misses = {one.name: MISSES for one in deployment.entries}

    def nodes_of(self, zone: str) -> list[Machine]:
        """Return the nodes that take the packets of a zone's clients."""
        nodes = [one for one in self.deployment.entries if one.zone == zone]
        good = [one for one in nodes if self.is_in_rotation(one)]
        others = [one for one in self.deployment.entries if self.is_in_rotation(one)]
        if not good and others:
            return others
        return good if 2 * len(good) >= len(nodes) else nodes

    def is_in_rotation(self, machine: Machine) -> bool:
        """Return whether a node missed fewer than two probes in a row."""
        return self.misses[machine.name] < MISSES

    async def probe_for_ever(self) -> None:
        """Ask each node for its readiness twice a second."""
        while True:
            nodes = self.deployment.entries
            await asyncio.gather(*(self._probe(one) for one in nodes))
            await asyncio.sleep(PROBE_S)

    async def _probe(self, machine: Machine) -> None:
        address = f"{machine.ip}:{self.deployment.ports.ready}"
        answer = await call_once(address, "GET", "/v1/readiness", b"", PROBE_S)
        self.misses[machine.name] = (
            0 if answer.status == 200 else self.misses[machine.name] + 1
        )

    def node_of(self, packet: Packet, zone: str) -> Machine:
        """Return the node that a packet of a zone's client goes to."""
        flow = f"{packet.source} {packet.source_port} {packet.target}"
        place = zlib.crc32(f"{flow} {packet.target_port}".encode())
        nodes = self.nodes_of(zone)
        return nodes[place % len(nodes)]


class ClientFlow:
    """A flow at its client.

    Attributes:
        key: Its source port.
        state: ``opening``, ``open``, ``reset`` or ``ended``.
        reset_by: ``system`` or ``server`` once it is reset.
        reset_at: When it was reset, in seconds of the record.
        answers: Answers received.
    """

    def __init__(self, port: int, target: str, target_port: int) -> None:
        self.port = port
        self.target = target
        self.target_port = target_port
        self.state = "opening"
        self.seq = random.randrange(packets.SEQUENCES)
        self.ack = 0
        self.echo = 0
        self.reset_by = ""
        self.reset_at = 0.0
        self.opened_at = 0.0
        self.answers: list[bytes] = []
        self.changed = asyncio.Event()


class Client(asyncio.DatagramProtocol):
    """The clients at one address.

    Attributes:
        flows: Flows by source port.
    """

    def __init__(
        self, deployment: Deployment, record: Record, fabric: Fabric, host: int
    ) -> None:
        self.deployment = deployment
        self.record = record
        self.fabric = fabric
        self.zone = deployment.zones[host % len(deployment.zones)]
        self.ip = deployment.ip(host)
        self.flows: dict[int, ClientFlow] = {}
        self.next_port = random.randint(20_000, 30_000)
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen at the port that the platform's packets come to."""
        loop = asyncio.get_running_loop()
        address = (self.ip, self.deployment.ports.packets)
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Do nothing: ``start`` keeps the transport."""

    async def open(self, target: str, target_port: int) -> ClientFlow:
        """Open a flow from a new port; its state says whether it opened."""
        self.next_port += 1
        flow = ClientFlow(self.next_port, target, target_port)
        self.flows[flow.port] = flow
        first_seq = flow.seq
        flow.seq = (flow.seq + 1) % packets.SEQUENCES
        before_s = 0.0
        for copy, at_s in enumerate((*SYN_COPIES_S, SYN_GIVE_UP_S)):
            await self.wait(flow, at_s - before_s)
            before_s = at_s
            if flow.state != "opening" or at_s == SYN_GIVE_UP_S:
                break
            self.transmit(flow, SYN, first_seq, copy, b"", 0)
        if flow.state == "opening":
            flow.state = "ended"
        return flow

    async def ask(self, flow: ClientFlow, data: bytes, budget_s: float) -> bool:
        """Send a request and return whether its answer came."""
        known = len(flow.answers)
        loop = asyncio.get_running_loop()
        until = loop.time() + budget_s
        seq = flow.seq
        flow.seq = (flow.seq + len(data)) % packets.SEQUENCES
        pause_s = RESEND_FIRST_S
        while loop.time() < until and flow.state == "open":
            self.transmit(flow, ACK, seq, flow.ack, data, flow.echo)
            await self.wait(flow, pause_s)
            if len(flow.answers) > known:
                self.transmit(flow, ACK, flow.seq, flow.ack, b"", flow.echo)
                return True
            pause_s = min(2 * pause_s, RESEND_MOST_S)
        return False

    def close(self, flow: ClientFlow) -> None:
        """End a flow."""
        if flow.state == "open":
            self.transmit(flow, FIN | ACK, flow.seq, flow.ack, b"", flow.echo)
            flow.state = "ended"
        self.flows.pop(flow.port, None)

    async def wait(self, flow: ClientFlow, seconds: float) -> None:
        """Wait until something comes for the flow or the time is over."""
        flow.changed.clear()
        try:
            async with asyncio.timeout(max(seconds, 0.0)):
                await flow.changed.wait()
        except TimeoutError:
            return

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a packet of a server or a reset of the system."""
        packet = packets.decode(data)
        flow = self.flows.get(packet.target_port)
        if flow is None or packet.source != flow.target:
            return
        if packet.flags & RST:
            self.take_reset(flow, packet)
        elif packets.is_genuine(packet):
            self.take_packet(flow, packet)
        flow.changed.set()

    def take_reset(self, flow: ClientFlow, packet: Packet) -> None:
        """End a flow that was reset."""
        if flow.state not in ("opening", "open"):
            return
        flow.reset_by = "server" if packets.is_genuine(packet) else "system"
        flow.reset_at = self.record.now()
        flow.state = "reset" if flow.state == "open" else "ended"

    def take_packet(self, flow: ClientFlow, packet: Packet) -> None:
        """Take a packet of a server."""
        flow.echo = packet.echo
        if packet.flags & SYN:
            if flow.state == "opening":
                flow.state = "open"
                flow.opened_at = self.record.now()
                flow.ack = (packet.seq + 1) % packets.SEQUENCES
                self.transmit(flow, ACK, flow.seq, flow.ack, b"", flow.echo)
            return
        if packet.data and packet.seq == flow.ack:
            flow.ack = (flow.ack + len(packet.data)) % packets.SEQUENCES
            flow.answers.append(packet.data)
        if packet.flags & FIN:
            flow.state = "ended"

    def transmit(
        self, flow: ClientFlow, flags: int, seq: int, ack: int, data: bytes, echo: int
    ) -> None:
        """Send a packet through the node that the routers select now."""
        packet = Packet(
            echo,
            self.ip,
            flow.port,
            flow.target,
            flow.target_port,
            flags,
            seq,
            ack,
            data,
        )
        node = self.fabric.node_of(packet, self.zone)
        if self.transport is not None:
            address = (node.ip, self.deployment.ports.packets)
            self.transport.sendto(packets.encode(packet), address)
