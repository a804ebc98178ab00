"""A stand-in backend server: connections, slots and first-come work, in packets."""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

import dpkt

from kumquatmux_core.identity import Address, Endpoint, ServerId, ServiceName
from kumquatmux_core.segments import FLAG_ACK, FLAG_RST, FLAG_SYN
from kumquatmux_lab.standin.connection import Connection
from kumquatmux_lab.standin.work import (
    Reply,
    Request,
    decode_request,
    encode_reply,
    reply_body,
)

REMEMBERED_RUNS = 1_000_000


class ServerSettings(NamedTuple):
    """One stand-in backend server.

    Attributes:
        endpoint: Where it takes packets.
        service: The service it serves.
        slots: Pieces of work it runs at once.
    """

    endpoint: Endpoint
    service: ServiceName
    slots: int


class Run(NamedTuple):
    """A piece of work a server ran, for the history."""

    request_id: int
    service: ServiceName
    server: ServerId


class Job(NamedTuple):
    """Work in progress and when it ends, in seconds."""

    connection: Connection
    request: Request
    ends: float


class StandInServer:
    """One backend server without a kernel."""

    def __init__(self, settings: ServerSettings, random: random.Random) -> None:
        self.settings = settings
        self.random = random
        self.local = settings.endpoint.packed
        self.name = ServerId(str(settings.endpoint))
        self.connections: dict[Address, Connection] = {}
        self.queue: deque[tuple[Connection, Request]] = deque()
        self.jobs: list[Job] = []
        self.feeds: list[Job] = []
        self.runs: list[Run] = []
        self.accepted = 0
        self.misrouted = 0

    @property
    def busy(self) -> int:
        """Slots in use."""
        return len(self.jobs)

    def on_packet(self, packet: dpkt.ip.IP, now: float) -> list[bytes]:
        """Take a packet; return the packets it causes."""
        tcp = packet.data
        remote = Address(packet.src + tcp.sport.to_bytes(2))
        connection = self.connections.get(remote)
        opens = tcp.flags & (FLAG_SYN | FLAG_ACK) == FLAG_SYN
        if opens and (connection is None or connection.over):
            connection = Connection(self.local, remote, self.random.getrandbits(32))
            self.connections[remote] = connection
            self.accepted += 1
        if connection is None:
            return self._refuse(remote, tcp)
        connection.on_packet(tcp, now)
        self._take_requests(connection, now)
        return self.on_time(now)

    def on_time(self, now: float) -> list[bytes]:
        """Finish and start work; return the packets due."""
        self._finish(now)
        self._start(now)
        self._feed(now)
        return self._collect(now)

    def _take_requests(self, connection: Connection, now: float) -> None:
        while b"\n" in connection.received:
            line, _, rest = bytes(connection.received).partition(b"\n")
            connection.received = bytearray(rest)
            request = decode_request(line)
            self.misrouted += request.service != self.settings.service
            self.runs.append(Run(request.request_id, request.service, self.name))
            if request.feed:
                self.feeds.append(Job(connection, request, now))
            else:
                self.queue.append((connection, request))
        if connection.remote_closed:
            connection.close(now)

    def _finish(self, now: float) -> None:
        for job in [job for job in self.jobs if job.ends <= now]:
            self.jobs.remove(job)
            body = reply_body(job.request)
            job.connection.send(self._first_line(job.request) + body, now)

    def _start(self, now: float) -> None:
        while self.queue and len(self.jobs) < self.settings.slots:
            connection, request = self.queue.popleft()
            if not connection.reset:
                ends = now + request.work_ms / 1_000
                self.jobs.append(Job(connection, request, ends))

    def _feed(self, now: float) -> None:
        due = [feed for feed in self.feeds if feed.ends <= now]
        for feed in due:
            self.feeds.remove(feed)
            if feed.connection.reset or feed.connection.closing:
                continue
            feed.connection.send(self._first_line(feed.request), now)
            ends = now + feed.request.work_ms / 1_000
            self.feeds.append(feed._replace(ends=ends))

    def _first_line(self, request: Request) -> bytes:
        service = self.settings.service
        reply = Reply(request.request_id, service, self.name, request.reply_bytes)
        return encode_reply(reply)

    def _collect(self, now: float) -> list[bytes]:
        packets: list[bytes] = []
        for remote, connection in list(self.connections.items()):
            connection.on_time(now)
            packets += connection.outgoing
            connection.outgoing = []
            if connection.over:
                del self.connections[remote]
        return packets

    def _refuse(self, remote: Address, tcp: dpkt.tcp.TCP) -> list[bytes]:
        if tcp.flags & FLAG_RST:
            return []
        stray = Connection(self.local, remote, tcp.ack)
        stray.expected = tcp.seq
        stray.abort()
        return stray.outgoing
