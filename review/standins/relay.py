"""The network between entry VMs and control VMs, which may be cut for a while.

Entry VMs are given another internal port than control VMs, so that the datagrams of
each side come to this relay, which holds that port at the other side's addresses.
"""

from __future__ import annotations

import asyncio

from standins.deployment import Deployment
from standins.record import Record


class Relay:
    """Carries datagrams between entry VMs and control VMs.

    Attributes:
        cut_off: Addresses of entry VMs between which and control VMs nothing passes.
        dropped: Datagrams dropped.
    """

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record
        self.cut_off: set[str] = set()
        self.dropped = 0
        self.ends: dict[str, asyncio.DatagramTransport] = {}

    async def add_entry(self, ip: str) -> None:
        """Take the datagrams that control VMs send to an entry VM."""
        await self._listen(ip, self.deployment.ports.internal)

    async def add_control(self, ip: str) -> None:
        """Take the datagrams that entry VMs send to a control VM."""
        await self._listen(ip, self.deployment.ports.entry_internal)

    def cut(self, ips: set[str]) -> None:
        """Let nothing pass to and from some entry VMs."""
        self.cut_off = ips
        self.record.line(f"cut: {', '.join(sorted(ips))} from all control VMs")

    def heal(self) -> None:
        """Let everything pass again."""
        self.cut_off = set()
        self.record.line(f"cut healed; {self.dropped} datagrams were dropped")

    def stop(self) -> None:
        """End the relay."""
        for end in self.ends.values():
            end.close()

    async def _listen(self, ip: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        end, _ = await loop.create_datagram_endpoint(
            lambda: _End(self, ip), local_addr=(ip, port)
        )
        self.ends[ip] = end

    def carry(self, source: str, target: str, data: bytes) -> None:
        """Carry a datagram that a VM sent to another one."""
        if {source, target} & self.cut_off:
            self.dropped += 1
            return
        controls = {one.ip for one in self.deployment.controls}
        ports = self.deployment.ports
        port = ports.internal if target in controls else ports.entry_internal
        sender = self.ends.get(source)
        if sender is not None:
            sender.sendto(data, (target, port))


class _End(asyncio.DatagramProtocol):
    """The relay's end at the address of one VM."""

    def __init__(self, relay: Relay, ip: str) -> None:
        self.relay = relay
        self.ip = ip

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a datagram that is for this end's VM."""
        self.relay.carry(addr[0], self.ip, data)
