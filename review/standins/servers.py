"""Backend servers: they report, hold flows and answer requests."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import Any

from standins import packets
from standins.calls import ANSWER_S, NO_ANSWER, call_once, json_bytes
from standins.deployment import Deployment
from standins.packets import ACK, FIN, RST, SYN, Packet
from standins.record import Record

FlowKey = tuple[str, int, str, int]


class ServerFlow:
    """A flow at its server.

    Attributes:
        seq: Sequence number of the server's next byte.
        expected: Sequence number of the client's next byte.
        is_open: Whether the client has acknowledged the server's number.
        echo: Last echo received on the flow.
        last_sent: Last packet with data, sent again when the client asks again.
    """

    def __init__(self, seq: int, expected: int, echo: int) -> None:
        self.seq = seq
        self.expected = expected
        self.echo = echo
        self.is_open = False
        self.last_sent: Packet | None = None


class Server(asyncio.DatagramProtocol):
    """One lifetime of a backend server.

    Attributes:
        name: Its id.
        ip: Its address.
        port: Its port.
        service: What it serves.
        born: Unix millisecond of its start.
        state: ``ready`` or ``draining``.
        cut_from: Addresses of control VMs that it can't reach.
        flows: The flows that it holds.
        ended_flows: Flows that it held before.
        ran: Requests that it ran.
        reset_flows: Flows that it reset.
    """

    def __init__(
        self, deployment: Deployment, record: Record, name: str, host: int, service: str
    ) -> None:
        self.deployment = deployment
        self.record = record
        self.name = name
        self.number = int(name.rpartition("-")[2], 16)
        self.ip = deployment.ip(host)
        self.port = 8080
        self.service = service
        self.zone = deployment.zones[host % len(deployment.zones)]
        self.concurrency = 2
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.is_lost = False
        self.cut_from: set[str] = set()
        self.seq = 0
        self.place = host
        self.report_to = ""
        self.reported_at = 0.0
        self.flows: dict[FlowKey, ServerFlow] = {}
        self.ended_flows: set[FlowKey] = set()
        self.ran: list[bytes] = []
        self.reset_flows: set[FlowKey] = set()
        self.transport: asyncio.DatagramTransport | None = None
        self.reporting: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and begin to report."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.port)
        )
        self.record.line(f"server {self.name}@{self.born}: started at {self.ip}")
        self.reporting = asyncio.create_task(self.report_for_ever())

    def end(self) -> None:
        """End the process: its flows are gone."""
        if self.reporting is not None:
            self.reporting.cancel()
        if self.transport is not None:
            self.transport.close()
        self.record.line(f"server {self.name}@{self.born}: ended")

    def lose(self) -> None:
        """Lose the machine for good: nothing comes from it any more."""
        if self.reporting is not None:
            self.reporting.cancel()
        self.is_lost = True
        self.record.line(f"server {self.name}@{self.born}: lost for good")

    def body(self) -> dict[str, Any]:
        """Return the next report."""
        self.seq += 1
        return {
            "backend": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.concurrency,
            "state": self.state,
            "warmup-left-ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def report_for_ever(self) -> None:
        """Report each heartbeat."""
        while True:
            await self.report()
            await asyncio.sleep(self.deployment.heartbeat_s)

    async def report(self) -> bool:
        """Report to one VM after another until one acknowledges."""
        body = json_bytes(self.body())
        return await self.call("PUT", body)

    async def leave(self) -> bool:
        """Say that it ends, to one VM after another until one acknowledges."""
        return await self.call("DELETE", b"")

    async def call(self, method: str, body: bytes) -> bool:
        """Call one VM after another until one acknowledges; return whether it did."""
        others = self.deployment.control_addresses
        path = f"/v1/instances/{self.name}"
        for _ in (self.report_to, *others):
            address = self.report_to or others[self.place % len(others)]
            if address in self.cut_from:
                await asyncio.sleep(ANSWER_S)
                answer = NO_ANSWER
            else:
                answer = await call_once(address, method, path, body)
            if 200 <= answer.status < 300:
                self.reported_at = self.record.now()
                self.report_to = self.heartbeat_address(answer.body)
                return True
            self.record.line(f"server {self.name}: {method} to {address}: no answer")
            self.report_to = ""
            self.place += 1
        return False

    def heartbeat_address(self, body: bytes) -> str:
        """Return where an answer asks for the next reports."""
        return str(json.loads(body or b"{}").get("heartbeat-addr", ""))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Do nothing: ``start`` keeps the transport."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a datagram of an entry VM."""
        number, rest = packets.split_server(data)
        packet = packets.decode(rest)
        is_mine = number in (0, self.number) and not self.is_lost
        if not is_mine or not packets.is_genuine(packet):
            return
        key = (packet.source, packet.source_port, packet.target, packet.target_port)
        if packet.flags & SYN:
            self.take_syn(key, packet)
            return
        flow = self.flows.get(key)
        if flow is None or not self.is_of_flow(flow, packet):
            if not packet.flags & RST:
                self.reset_flows.add(key)
                self.send(key, RST, 0, packet.ack, 0, b"")
            return
        self.take_packet(key, flow, packet)

    def is_of_flow(self, flow: ServerFlow, packet: Packet) -> bool:
        """Return whether a packet belongs to the flow: it opens or continues it."""
        return flow.is_open or packet.ack == flow.seq

    def take_syn(self, key: FlowKey, packet: Packet) -> None:
        """Answer the packet that opens a flow."""
        flow = self.flows.get(key)
        if flow is None:
            seq = random.randrange(packets.SEQUENCES)
            flow = ServerFlow(seq + 1, packet.seq + 1, packet.echo)
            self.flows[key] = flow
        flow.echo = packet.echo
        self.send(key, SYN | ACK, packet.echo, flow.seq - 1, flow.expected, b"")

    def take_packet(self, key: FlowKey, flow: ServerFlow, packet: Packet) -> None:
        """Take a packet of a flow that is held."""
        flow.is_open = True
        flow.echo = packet.echo
        if packet.flags & RST:
            self.forget(key)
            return
        if packet.data:
            self.take_data(key, flow, packet)
        if packet.flags & FIN:
            self.send(key, FIN | ACK, flow.echo, flow.seq, packet.seq + 1, b"")
            self.forget(key)

    def forget(self, key: FlowKey) -> None:
        """Keep nothing of a flow but that it was here."""
        del self.flows[key]
        self.ended_flows.add(key)

    def take_data(self, key: FlowKey, flow: ServerFlow, packet: Packet) -> None:
        """Run a request, or answer one again that was sent again."""
        if packet.seq != flow.expected:
            if flow.last_sent is not None:
                self.resend(key, flow)
            return
        flow.expected = (flow.expected + len(packet.data)) % packets.SEQUENCES
        self.ran.append(packet.data)
        answer = b"done " + packet.data
        flow.last_sent = self.send(key, ACK, flow.echo, flow.seq, flow.expected, answer)
        flow.seq = (flow.seq + len(answer)) % packets.SEQUENCES

    def resend(self, key: FlowKey, flow: ServerFlow) -> None:
        """Send the last answer again."""
        assert flow.last_sent is not None
        last = flow.last_sent._replace(echo=flow.echo, ack=flow.expected)
        self.transmit(key, last)

    def send(
        self, key: FlowKey, flags: int, echo: int, seq: int, ack: int, data: bytes
    ) -> Packet:
        """Send a packet to the client of a flow."""
        client, client_port, target, target_port = key
        packet = Packet(
            echo,
            target,
            target_port,
            client,
            client_port,
            flags,
            seq % packets.SEQUENCES,
            ack % packets.SEQUENCES,
            data,
        )
        self.transmit(key, packet)
        return packet

    def transmit(self, key: FlowKey, packet: Packet) -> None:
        """Send a packet to the client at the port of the fabric."""
        if self.transport is not None and not self.transport.is_closing():
            port = self.deployment.ports.packets
            self.transport.sendto(packets.encode(packet), (key[0], port))
