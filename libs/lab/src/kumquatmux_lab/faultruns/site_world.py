"""Whole entry VMs joined by a small fake fabric and fake links, on a clock of its own.

Only what surrounds the decisions is fake: sockets, links and the HTTP calls of backend
servers. Everything happens in one heap of timed calls, so that a seed repeats a run.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import dpkt

from kumquatmux_core.identity import (
    Address,
    Endpoint,
    ServerId,
    ServiceName,
    Vm,
    VmId,
    ZoneName,
)
from kumquatmux_daemons.transport.links import Delivery
from kumquatmux_daemons.transport.registry import all_messages
from kumquatmux_lab.faultruns import site_history as history
from kumquatmux_lab.faultruns.site_backend import RENEW_S, Backend
from kumquatmux_lab.faultruns.site_entry import CONTROL, FABRIC, Running
from kumquatmux_lab.standin.caller import Fate, StandInCaller
from kumquatmux_lab.standin.server import ServerSettings, StandInServer
from kumquatmux_lab.standin.work import Request
from kumquatmux_settings.change import Edit
from kumquatmux_settings.digest import digest_of
from kumquatmux_settings.messages import Current, Snapshot

TICK_S = 0.025
ENDS_TICK_S = 0.05
LINK_S = 0.005
CALLER_S = 0.001
FABRIC_NOTICES_S = 1.0
PUSH_S = 1.0


class Plan(NamedTuple):
    """The places a run models.

    Attributes:
        zones: Availability zones.
        entries_per_zone: Entry VMs of each zone.
        services: Services with their addresses.
        servers: Backend servers of each service.
        slots: Slots of each backend server.
        loss: Share of packets lost.
    """

    zones: tuple[ZoneName, ...]
    entries_per_zone: int
    services: tuple[tuple[ServiceName, Endpoint], ...]
    servers: tuple[int, ...]
    slots: int
    loss: float = 0.0


class World:
    """Everything of one run; ``at`` and ``after`` schedule, ``run_until`` runs."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.random = random.Random(seed)
        self.now = 1_000.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.history: history.History = []
        self.registry = all_messages()
        self.vms = self._plan_vms()
        self.running: dict[VmId, Running] = {}
        self.sprayed: list[VmId] = []
        self.zone_of = {vm.vm: vm.zone for vm in self.vms}
        self.cut_zone: ZoneName | None = None
        self.blocked: set[tuple[VmId, VmId]] = set()
        self.callers: dict[Address, StandInCaller] = {}
        self.caller_zone: dict[Address, ZoneName] = {}
        self.backends: dict[Address, Backend] = {}
        self.silenced: set[Address] = set()
        self.opened = 0
        self.unended: set[int] = set()
        self.revision = 0
        self.values: dict[str, str] = {}
        for vm in self.vms:
            self.start_vm(vm.vm)
        self._make_backends()
        self.after(0.0, self._keep_ends)
        self.after(0.0, self._push_settings)

    def _plan_vms(self) -> tuple[Vm, ...]:
        vms: list[Vm] = []
        for zone in self.plan.zones:
            for number in range(1, self.plan.entries_per_zone + 1):
                ip = f"127.66.0.{10 + len(vms)}"
                name = VmId(f"{zone}-{number}")
                vms.append(Vm(name, zone, Endpoint(ip, 4500), Endpoint(ip, 4600)))
        return tuple(vms)

    def _make_backends(self) -> None:
        for net, (service, count) in enumerate(
            zip(self.plan.services, self.plan.servers, strict=True), 1
        ):
            for number in range(count):
                endpoint = Endpoint(f"127.66.{net}.{number + 1}", 9001)
                zone = self.plan.zones[number % len(self.plan.zones)]
                self.add_backend(endpoint, service[0], zone)

    def add_backend(
        self, endpoint: Endpoint, service: ServiceName, zone: ZoneName
    ) -> Backend:
        """Start a backend server, on an address that another may have had."""
        settings = ServerSettings(endpoint, service, self.plan.slots)
        server = StandInServer(settings, self.random)
        backend = Backend(self, server, zone, int(self.now))
        self.backends[endpoint.packed] = backend
        self.after(self.random.random() * RENEW_S, backend.renew)
        return backend

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Make a call at a time."""
        heapq.heappush(self.queue, (when, next(self.order), call))

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Make a call after some seconds."""
        self.at(self.now + seconds, call)

    def run_until(self, until: float) -> None:
        """Make every call that is due by a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = until

    def note(self, event: history.Event) -> None:
        """Write an event into the history."""
        self.history.append(event)

    # VMs

    def start_vm(self, name: VmId) -> None:
        """Start a VM with an empty memory and a new incarnation."""
        plain = next(vm for vm in self.vms if vm.vm == name)
        vm = plain._replace(incarnation=int(self.now * 1e3))
        running = Running(self, vm)
        self.running[name] = running
        self.after(0.0, lambda: self._tick(running))
        self.after(FABRIC_NOTICES_S, lambda: self._spray_to(running))

    def kill_vm(self, name: VmId) -> None:
        """End a VM without warning; the fabric notices a second later."""
        running = self.running.pop(name)
        self.after(FABRIC_NOTICES_S, lambda: self._spray_no_more(running))

    def leave_vm(self, name: VmId) -> None:
        """Ask a VM for a graceful shutdown; it ends once it is quiet."""
        running = self.running[name]
        running.node.leave(self.now)
        self.after(FABRIC_NOTICES_S, lambda: self._spray_no_more(running))

    def pause_vm(self, name: VmId, seconds: float) -> None:
        """Let a VM stand still; its packets and messages wait."""
        self.running[name].paused_until = self.now + seconds

    def _spray_to(self, running: Running) -> None:
        name = running.vm.vm
        if self.running.get(name) is running and name not in self.sprayed:
            self.sprayed.append(name)

    def _spray_no_more(self, running: Running) -> None:
        name = running.vm.vm
        if self.running.get(name, running) is running and name in self.sprayed:
            self.sprayed.remove(name)

    def _tick(self, running: Running) -> None:
        name = running.vm.vm
        if self.running.get(name) is not running:
            return
        if self.now < running.paused_until:
            self.at(running.paused_until, lambda: self._tick(running))
            return
        running.node.on_tick(self.now)
        if running.node.copy.revision != running.revision:
            running.revision = running.node.copy.revision
            seen = history.RevisionSeen(
                self.now, name, running.vm.incarnation, running.revision
            )
            self.note(seen)
        if running.node.is_quiet:
            del self.running[name]
            return
        self.after(TICK_S, lambda: self._tick(running))

    # Packets and messages between VMs

    def is_cut(self, one: ZoneName | None, other: ZoneName | None) -> bool:
        """Return whether two zones cannot reach each other."""
        return one != other and self.cut_zone in (one, other)

    def carry(self, sender: VmId, data: bytes, target: Endpoint) -> None:
        """Carry a datagram that a VM sent."""
        if target == FABRIC:
            self.from_vm(self.zone_of[sender], data)
            return
        receiver = next(vm for vm in self.vms if vm.packets == target)
        source = next(vm for vm in self.vms if vm.vm == sender)
        if self.reaches(sender, receiver.vm) and not self.loses():
            delay = self.delay(source.zone, receiver.zone)
            at = (source.packets.ip, source.packets.port)
            self.after(delay, lambda: self.to_vm(receiver.vm, data, at))

    def carry_message(self, sender: VmId, target: VmId, message: Any) -> bool:
        """Carry a message that a VM sent; return whether its link is up."""
        if target not in self.running or not self.reaches(sender, target):
            return False
        decoded = self.registry.decode(self.registry.encode(message)).ok
        delay = self.delay(self.zone_of[sender], self.zone_of[target])
        self.after(delay, lambda: self.to_vm_message(target, sender, decoded))
        return True

    def reaches(self, one: VmId, other: VmId) -> bool:
        """Return whether packets get from one VM to another."""
        cut = self.is_cut(self.zone_of[one], self.zone_of[other])
        return not cut and (one, other) not in self.blocked

    def loses(self) -> bool:
        """Return whether chance loses a packet."""
        return self.random.random() < self.plan.loss

    def delay(self, one: ZoneName, other: ZoneName) -> float:
        """Return how long a packet takes between two zones, in seconds."""
        base = LINK_S if one != other else LINK_S / 20
        return base * (1 + self.random.random() / 2)

    def to_vm(self, name: VmId, data: bytes, source: tuple[str, int]) -> None:
        """Hand a datagram to a VM, later if it stands still."""
        running = self.running.get(name)
        if running is None:
            return
        if self.now < running.paused_until:
            self.at(running.paused_until, lambda: self.to_vm(name, data, source))
            return
        running.node.forwarder.on_datagram(data, source, self.now)
        running.node.forwarder.end_batch(self.now)

    def to_vm_message(self, name: VmId, sender: VmId, message: Any) -> None:
        """Hand a message to a VM, later if it stands still."""
        running = self.running.get(name)
        if running is None:
            return
        if self.now < running.paused_until:
            late = running.paused_until
            self.at(late, lambda: self.to_vm_message(name, sender, message))
            return
        running.node.on_message(Delivery(sender, message), self.now)

    # The fabric

    def spray(self, zone: ZoneName, data: bytes) -> None:
        """Hand a packet of a caller or server to a VM that its zone reaches."""
        names = [v for v in self.sprayed if not self.is_cut(zone, self.zone_of[v])]
        if not names or self.loses():
            return
        name = self.random.choice(names)
        delay = CALLER_S + self.delay(zone, self.zone_of[name])
        source = (FABRIC.ip, FABRIC.port)
        self.after(delay, lambda: self.to_vm(name, data, source))

    def from_vm(self, zone: ZoneName, data: bytes) -> None:
        """Carry a packet that left a VM to its caller or server."""
        packet = dpkt.ip.IP(data)
        if not isinstance(packet.data, dpkt.tcp.TCP):
            return
        target = Address(packet.dst + packet.data.dport.to_bytes(2))
        source = Address(packet.src + packet.data.sport.to_bytes(2))
        if self.loses():
            return
        backend = self.backends.get(target)
        if backend is not None:
            reachable = not self.is_cut(zone, backend.zone)
            if reachable and source not in self.silenced:
                delay = self.delay(zone, backend.zone)
                self.after(delay, lambda: self.to_server(target, packet))
            return
        at = self.caller_zone.get(target)
        if at is not None and not self.is_cut(zone, at):
            self.after(CALLER_S, lambda: self.to_caller(target, packet))

    def to_server(self, target: Address, packet: dpkt.ip.IP) -> None:
        """Hand a packet to a backend server."""
        backend = self.backends[target]
        if backend.is_dead:
            return
        runs = len(backend.server.runs)
        out = backend.server.on_packet(packet, self.now)
        self._note_runs(backend, runs)
        self._from_server(backend, out)

    def to_caller(self, target: Address, packet: dpkt.ip.IP) -> None:
        """Hand a packet to a caller."""
        caller = self.callers.get(target)
        if caller is not None:
            caller.on_packet(packet, self.now)
            self._after_caller(caller)

    def _note_runs(self, backend: Backend, before: int) -> None:
        name = backend.server.name
        for run in backend.server.runs[before:]:
            own = backend.server.settings.service
            self.note(history.WorkRan(self.now, run.request_id, run.service, name, own))
        if backend.server.accepted > backend.accepted:
            backend.accepted = backend.server.accepted
            self.note(history.FlowReached(self.now, name))
            in_cut = backend.zone == self.cut_zone
            self.note(history.PlacedOnSide(self.now, in_cut))

    def _from_server(self, backend: Backend, packets: list[bytes]) -> None:
        for packet in packets:
            target = Address(packet[16:20] + packet[22:24])
            if target not in self.silenced:
                self.spray(backend.zone, packet)

    def _after_caller(self, caller: StandInCaller) -> None:
        address = caller.local.packed
        for packet in caller.take_packets():
            self.spray(self.caller_zone[address], packet)
        if caller.fate is Fate.OPEN:
            return
        number = caller.request.request_id
        if number in self.unended:
            self.unended.discard(number)
            ended = history.FlowEnded(self.now, number, caller.fate, caller.detail)
            self.note(ended)
        if caller.connection.over:
            self.callers.pop(address, None)

    def _keep_ends(self) -> None:
        for caller in list(self.callers.values()):
            caller.on_time(self.now)
            self._after_caller(caller)
        for backend in self.backends.values():
            if not backend.is_dead:
                self._from_server(backend, backend.server.on_time(self.now))
        self.after(ENDS_TICK_S, self._keep_ends)

    # Callers

    def open(
        self, number: int, zone: ZoneName, *, feed: bool, work_ms: int = 20
    ) -> StandInCaller:
        """Open a flow of a caller of some zone to a service by its number."""
        service, address = self.plan.services[number]
        self.opened += 1
        local = Endpoint(f"127.67.{self.opened // 50_000}.1", 10_000 + self.opened)
        request = Request(self.opened, service, work_ms, 0 if feed else 3_000, feed)
        isn = self.random.getrandbits(32)
        caller = StandInCaller(
            local, address, request, isn, self.now, patience_s=math.inf
        )
        self.callers[local.packed] = caller
        self.caller_zone[local.packed] = zone
        self.note(history.FlowStarted(self.now, self.opened, service, feed))
        self.unended.add(self.opened)
        self._after_caller(caller)
        return caller

    def stop_feed(self, caller: StandInCaller) -> None:
        """End a feed in an orderly way."""
        if caller.fate is Fate.OPEN:
            caller.stop(self.now)
            self._after_caller(caller)

    def silence(self, caller: StandInCaller) -> None:
        """Let everything between the system and the server forget a flow."""
        self.silenced.add(caller.local.packed)
        number = caller.request.request_id
        self.note(history.FlowSilenced(self.now, number))

    # Settings

    def change(self, edits: tuple[Edit, ...]) -> None:
        """Accept a revision and tell it to one VM now, to the others unevenly."""
        for edit in edits:
            if edit.value is None:
                self.values.pop(edit.path, None)
            else:
                self.values[edit.path] = edit.value
        self.revision += 1
        self.note(history.RevisionAccepted(self.now, self.revision))

    def _push_settings(self) -> None:
        if self.revision:
            digest = digest_of(self.values)
            edits = tuple(Edit(path, text) for path, text in self.values.items())
            told = Snapshot(CONTROL, self.revision, digest, edits)
            names = list(self.running)
            for name in self.random.sample(names, min(2, len(names))):
                if self.zone_of[name] != self.cut_zone:
                    self.to_vm_message(name, CONTROL, told)
            current = Current(CONTROL, self.revision, digest, 0)
            for name in names:
                if self.zone_of[name] != self.cut_zone:
                    self.to_vm_message(name, CONTROL, current)
        self.after(PUSH_S, self._push_settings)


def server_name(endpoint: Endpoint) -> ServerId:
    """Return the name of the backend server at an endpoint."""
    return ServerId(str(endpoint))
