"""One entry VM of a run of whole VMs, between fakes of its port and links."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING, Any, cast

from kumquatmux_core.identity import Endpoint, Vm, VmId
from kumquatmux_daemons.entry.node import EntryNode, NodeParts
from kumquatmux_daemons.entry.port import PacketPort
from kumquatmux_daemons.transport.links import PeerLinks

if TYPE_CHECKING:
    from kumquatmux_lab.faultruns.site_world import World

FABRIC = Endpoint("127.66.0.1", 4500)
CONTROL = VmId("control-1")
KEY = bytes(32)


class FakePort:
    """A port whose datagrams the world carries."""

    def __init__(self, world: World, vm: VmId) -> None:
        self.world = world
        self.vm = vm
        self.counts: Counter[str] = Counter()

    def send(self, data: bytes | bytearray, target: tuple[str, int]) -> None:
        """Send a datagram."""
        self.world.carry(self.vm, bytes(data), Endpoint(*target))


class FakeLinks:
    """Links whose messages the world carries, encoded as on the wire."""

    def __init__(self, world: World, vm: VmId) -> None:
        self.world = world
        self.vm = vm

    def send(self, vm: VmId, message: Any) -> bool:
        """Send a message."""
        return self.world.carry_message(self.vm, vm, message)


class Running:
    """One entry VM in one incarnation."""

    def __init__(self, world: World, vm: Vm) -> None:
        self.vm = vm
        self.node = EntryNode(
            NodeParts(
                me=vm,
                peers=tuple(v for v in world.vms if v.vm != vm.vm),
                sources=frozenset({CONTROL}),
                fabric=FABRIC,
                key=KEY,
                port=cast(PacketPort, FakePort(world, vm.vm)),
                links=cast(PeerLinks, FakeLinks(world, vm.vm)),
                random=random.Random(world.random.getrandbits(64)),
            )
        )
        self.paused_until = 0.0
        self.revision = -1
