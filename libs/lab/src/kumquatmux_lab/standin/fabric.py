"""A stand-in fabric: sprays packets at random over the entry VMs, both directions."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterable
from typing import NamedTuple

import dpkt
import trio

from kumquatmux_core.identity import Address, Endpoint
from kumquatmux_lab.standin.caller import StandInCaller
from kumquatmux_lab.standin.server import StandInServer

BATCH_DATAGRAMS = 64
DATAGRAM_BYTES = 65_535
TICK_S = 0.005
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


class FabricSettings(NamedTuple):
    """One stand-in fabric.

    Attributes:
        bind: UDP endpoint that entry VMs send to.
        vms: UDP endpoints of the entry VMs.
        seed: Seed of the spray.
    """

    bind: Endpoint
    vms: tuple[Endpoint, ...]
    seed: int


class Fabric:
    """Carries packets between callers, entry VMs and backend servers."""

    def __init__(self, settings: FabricSettings) -> None:
        self.settings = settings
        self.random = random.Random(settings.seed)
        self.vms = list(settings.vms)
        self.callers: dict[Address, StandInCaller] = {}
        self.servers: dict[Address, StandInServer] = {}
        self.undelivered = 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        self.socket.bind(settings.bind)

    def add_caller(self, caller: StandInCaller) -> None:
        """Let a caller send and receive."""
        self.callers[caller.local.packed] = caller
        self._spray(caller.take_packets())

    def add_server(self, server: StandInServer) -> None:
        """Let a backend server send and receive."""
        self.servers[server.local] = server

    def remove_vm(self, vm: Endpoint) -> None:
        """Send a VM no more packets, as a fabric does that misses its answers."""
        if vm in self.vms:
            self.vms.remove(vm)

    def add_vm(self, vm: Endpoint) -> None:
        """Send a VM packets again."""
        if vm not in self.vms:
            self.vms.append(vm)

    async def run(self) -> None:
        """Carry packets until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._keep_time)

    async def _receive(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self.socket)
            for _ in range(BATCH_DATAGRAMS):
                try:
                    data = self.socket.recv(DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                self.deliver(data)

    async def _keep_time(self) -> None:
        while True:
            await trio.sleep(TICK_S)
            now = trio.current_time()
            for caller in list(self.callers.values()):
                caller.on_time(now)
                self._spray(caller.take_packets())
                self._forget(caller)
            for server in self.servers.values():
                self._spray(server.on_time(now))

    def deliver(self, data: bytes) -> None:
        """Hand a packet that left an entry VM to whom it is addressed."""
        packet = dpkt.ip.IP(data)
        if not isinstance(packet.data, dpkt.tcp.TCP):
            self.undelivered += 1
            return
        target = Address(packet.dst + packet.data.dport.to_bytes(2))
        now = trio.current_time()
        server = self.servers.get(target)
        if server is not None:
            self._spray(server.on_packet(packet, now))
            return
        caller = self.callers.get(target)
        if caller is None:
            self.undelivered += 1
            return
        caller.on_packet(packet, now)
        self._spray(caller.take_packets())

    def _forget(self, caller: StandInCaller) -> None:
        if caller.ended is not None and caller.connection.over:
            del self.callers[caller.local.packed]

    def _spray(self, packets: Iterable[bytes]) -> None:
        for packet in packets:
            vm = self.random.choice(self.vms)
            try:
                self.socket.sendto(packet, vm)
            except (BlockingIOError, ConnectionRefusedError):
                self.undelivered += 1
