"""Registrars and token entry VMs on fakes of disk and network, under one clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from expression import Ok, Result

from kumquatmux_agreement.entries import (
    ReplicaId,
    founding_folder,
    founding_vms,
    joining_state,
    shared_founding_state,
)
from kumquatmux_agreement.messages import MESSAGE_TYPES as REPLICA_MESSAGES
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.codec import registry
from kumquatmux_core.identity import Address, Endpoint, ServiceName, VmId, ZoneName
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.registrar.agreed import Agreed
from kumquatmux_daemons.registrar.calls import Answer, Call
from kumquatmux_daemons.registrar.core import Answered, CoreParts, RegistrarCore
from kumquatmux_daemons.registrar.settings import RegistrarSettings
from kumquatmux_daemons.token_entry.core import EntryCore
from kumquatmux_daemons.token_entry.effects import Datagram
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_registry.endings import MESSAGE_TYPES as LEAVE_MESSAGES
from kumquatmux_registry.feed import MESSAGE_TYPES as FEED_MESSAGES
from kumquatmux_registry.lookup import MESSAGE_TYPES as LOOKUP_MESSAGES
from kumquatmux_registry.records import ServerRecord
from kumquatmux_registry.saved import SavedServers
from kumquatmux_storage.memory import MemoryDisk
from kumquatmux_storage.store import Identity, open_or_create
from kumquatmux_tokens.messages import MESSAGE_TYPES as TOKEN_MESSAGES
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.routes import Route, RouteSet, WeightedService

MESSAGES = registry(
    REPLICA_MESSAGES, FEED_MESSAGES, LOOKUP_MESSAGES, LEAVE_MESSAGES, TOKEN_MESSAGES
)
CLUSTER = "lab"
TICK_S = 0.05
NEAR_S = 0.0004
FAR_S = 0.005
LOSS = 0.002
START_S = 0.4
REPORT_S = 1.0
CALLS = Endpoint("127.0.0.1", 1)
ROUTE_ADDRESS = Address(bytes([198, 18, 0, 1, 1, 187]))

Told = Callable[[Answer], None]


class NumberFormat:
    """Documents whose content is their number, and no packets."""

    def read_routes(self, content: bytes) -> Result[RouteSet, Problem]:
        """Return one route, so that the document counts as in force."""
        service = ServiceName("entries")
        route = Route("r", ROUTE_ADDRESS, (WeightedService(service, 1),))
        number = int(content.partition(b" ")[0])
        return Ok(RouteSet(number, (route,), frozenset({service}), 15.0))

    def read_head(self, packet: bytes) -> PacketHeader | None:
        """Return None: no packets come in these runs."""
        return None

    def names_server(self, name: str) -> bool:
        """Return whether a packet can name a server."""
        return True

    def to_server(self, packet: bytes, server: ServerRecord, token: int) -> bytes:
        """Return the packet."""
        return packet

    def reset_for(self, packet: bytes, sequence: int) -> bytes:
        """Return the packet."""
        return packet

    def caller_ip(self, packet: bytes) -> str:
        """Return the number of no caller."""
        return "0.0.0.0"


class Control:
    """One control VM with its disk, through all its lives.

    Attributes:
        core: The process, None while it is down.
        lives: How often it was started.
    """

    def __init__(self, vm: VmId, zone: ZoneName) -> None:
        self.vm = vm
        self.zone = zone
        self.disk = MemoryDisk()
        self.core: RegistrarCore | None = None
        self.lives = 0
        self.folders = 0

    def start(self, world: World, *, founds: bool) -> None:
        """Start the process on what the disk holds."""
        self.lives += 1
        self.folders += 1
        folder = f"{self.vm}-{self.folders}"
        first = joining_state()
        if founds:
            founders = founding_vms(world.seeds)
            folder = founding_folder(founders)
            first = shared_founding_state(founders)
        identity = Identity(CLUSTER, self.vm, folder)
        opened = open_or_create(self.disk, identity, first)
        if opened.is_error():
            # The daemon waits for its disk too.
            world.at(world.now + START_S, lambda: world.start(self.vm))
            return
        store = opened.ok
        replica = ReplicaSettings(
            cluster=CLUSTER,
            replica_id=ReplicaId(self.vm, store.identity.folder),
            peers=tuple(vm for vm in world.seeds if vm != self.vm),
            heartbeat_s=0.12,
            election_timeout_s=0.6,
            start_timeout_s=0.15,
            lease_fraction=0.0,
            join_period_s=0.4,
            snapshot_interval_entries=8,
            retained_entries=4,
        )
        settings = RegistrarSettings(
            vm=self.vm,
            zone=self.zone,
            peers=CALLS,
            calls=CALLS,
            metrics=CALLS,
            seeds=world.seeds,
            founds=founds,
            folder=Path(),
            losses=world.losses,
            report_period_s=REPORT_S,
        )
        parts = CoreParts(Agreed(replica, store, world.random), SavedServers(self.disk))
        self.core = RegistrarCore(
            settings, parts, world.random.getrandbits(40), world.now
        )


class Entry:
    """One entry VM, through all its lives.

    Attributes:
        core: The process, None while it is down.
        lives: How often it was started.
    """

    def __init__(self, vm: VmId, zone: ZoneName) -> None:
        self.vm = vm
        self.zone = zone
        self.core: EntryCore | None = None
        self.lives = 0

    def start(self, world: World, *, founds: bool) -> None:
        """Start the process."""
        self.lives += 1
        settings = EntrySettings(
            self.vm, self.zone, CALLS, CALLS, CALLS, CALLS, world.seeds
        )
        now = world.clock(self.vm)
        self.core = EntryCore(settings, NumberFormat(), world.random, now)


class Planned(NamedTuple):
    """Something that happens at a time; ties are told apart by a number."""

    at: float
    number: int
    act: Callable[[], None]


class World:
    """VMs, the network between them and the time.

    Attributes:
        now: Steady seconds of the run.
        nodes: All VMs by name.
        cuts: Pairs of sender and receiver between which nothing passes.
        frozen: VMs that stand still, until when.
        losses: Disks that the control VMs may lose at once.
    """

    def __init__(
        self, random: Random, seeds: tuple[VmId, ...], *, losses: int = 1
    ) -> None:
        self.random = random
        self.seeds = seeds
        self.losses = losses
        self.now = 0.0
        self.nodes: dict[VmId, Control | Entry] = {}
        self.cuts: set[tuple[VmId, VmId]] = set()
        self.frozen: dict[VmId, float] = {}
        self.waiting: dict[str, Told] = {}
        self.plan: list[Planned] = []
        self.numbers = count()
        self.lost_s: dict[VmId, float] = {}

    def at(self, at: float, act: Callable[[], None]) -> None:
        """Let something happen at a time."""
        heapq.heappush(self.plan, Planned(at, next(self.numbers), act))

    def run_until(self, end: float) -> None:
        """Let time pass."""
        while self.plan and self.plan[0].at <= end:
            planned = heapq.heappop(self.plan)
            self.now = max(self.now, planned.at)
            planned.act()
        self.now = end

    def add(self, node: Control | Entry, *, founds: bool = False) -> None:
        """Add a VM and start its process."""
        self.nodes[node.vm] = node
        node.start(self, founds=founds)
        self._keep_time(node, node.lives)

    def start(self, vm: VmId) -> None:
        """Start the process of a VM again, if it is down."""
        node = self.nodes.get(vm)
        if node is not None and node.core is None:
            node.start(self, founds=False)
            self._keep_time(node, node.lives)

    def name_seed(self, vm: VmId, *, instead_of: VmId) -> None:
        """Tell the processes that start from now on of a VM in place of another."""
        self.seeds = tuple(vm if one == instead_of else one for one in self.seeds)

    def stop(self, vm: VmId, *, power: bool = False, wipe: bool = False) -> None:
        """End the process of a VM, with what was not synced or its whole disk."""
        node = self.nodes[vm]
        node.core = None
        self.frozen.pop(vm, None)
        if isinstance(node, Control) and wipe:
            node.disk.wipe()
        elif isinstance(node, Control) and power:
            node.disk.crash(self.random)

    def freeze(self, vm: VmId, seconds: float) -> None:
        """Let a VM stand still; its steady clock does not count that time."""
        self.frozen[vm] = max(self.frozen.get(vm, 0.0), self.now + seconds)
        self.lost_s[vm] = self.lost_s.get(vm, 0.0) + seconds

    def clock(self, vm: VmId) -> float:
        """Return the steady clock of a VM."""
        return self.now - self.lost_s.get(vm, 0.0)

    def call(self, vm: VmId, call: Call, told: Told) -> None:
        """Let a caller ask a control VM."""
        node = self.nodes.get(vm)
        if not isinstance(node, Control) or node.core is None or self._is_frozen(vm):
            return
        token = f"{vm}-{next(self.numbers)}"
        self.waiting[token] = told
        self._carry_out(vm, node.core.call(call, token, self.clock(vm)))

    def controls(self) -> list[Control]:
        """Return the control VMs."""
        return [one for one in self.nodes.values() if isinstance(one, Control)]

    def entries(self) -> list[Entry]:
        """Return the entry VMs."""
        return [one for one in self.nodes.values() if isinstance(one, Entry)]

    def _keep_time(self, node: Control | Entry, life: int) -> None:
        if node.core is None or node.lives != life:
            return
        thaws_at = self.frozen.get(node.vm, 0.0)
        if thaws_at <= self.now:
            self._carry_out(node.vm, node.core.tick(self.clock(node.vm)))
        following = max(self.now + TICK_S, thaws_at)
        self.at(following, lambda: self._keep_time(node, life))

    def _carry_out(self, vm: VmId, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, Answered):
                told = self.waiting.pop(effect.token, None)
                if told is not None:
                    told(effect.answer)
            elif not isinstance(effect, Datagram):
                self._send(vm, effect.vm, MESSAGES.encode(effect.message))

    def _send(self, sender: VmId, to: VmId, data: bytes) -> None:
        if to not in self.nodes or self.random.random() < LOSS:
            return
        is_near = self.nodes[sender].zone == self.nodes[to].zone
        delay = (NEAR_S if is_near else FAR_S) * self.random.uniform(1.0, 1.5)
        self.at(self.now + delay, lambda: self._deliver(sender, to, data))

    def _deliver(self, sender: VmId, to: VmId, data: bytes) -> None:
        node = self.nodes.get(to)
        if node is None or node.core is None or (sender, to) in self.cuts:
            return
        if self._is_frozen(to):
            self.at(self.frozen[to], lambda: self._deliver(sender, to, data))
            return
        message = MESSAGES.decode(data).ok
        self._carry_out(to, node.core.message(sender, message, self.clock(to)))

    def _is_frozen(self, vm: VmId) -> bool:
        return self.frozen.get(vm, 0.0) > self.now
