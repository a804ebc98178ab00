"""VMs and backend servers joined by a small network of delays, losses and cuts."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from kumquatmux_core.identity import (
    Vm,
    VmId,
)
from kumquatmux_lab.faultruns.membership_history import (
    History,
    Placed,
    ServerSeen,
    ViewUsed,
    VmStopped,
)
from kumquatmux_membership.coordinator import Coordinator
from kumquatmux_membership.events import (
    Action,
    Event,
    IncarnationRaised,
    Lease,
    LeaseAnswer,
    Message,
    Received,
    SendMessage,
    ServersChanged,
    Tick,
    ViewChanged,
    ViewSuspended,
)
from kumquatmux_membership.phases import phase_of, session_of
from kumquatmux_membership.settings import LeaseSettings, MembershipSettings

TICK_SECONDS = 0.1
PLACE_SECONDS = 0.05
BOOT_WALL_MS = 1_000_000


class NetworkSettings(NamedTuple):
    """How the network treats messages.

    Attributes:
        near_seconds: Delay within an availability zone.
        far_seconds: Delay between zones.
        jitter_seconds: Mean of an added exponential delay.
        loss: Share of messages lost.
        duplicate: Share of messages delivered twice.
        late: Share of messages over a cut path that arrive long after.
        late_seconds: Longest such delay.
        stuck_call: Share of calls of servers that arrive long after.
    """

    near_seconds: float = 0.0005
    far_seconds: float = 0.005
    jitter_seconds: float = 0.002
    loss: float = 0.01
    duplicate: float = 0.01
    late: float = 0.2
    late_seconds: float = 15.0
    stuck_call: float = 0.02


class Tuning(NamedTuple):
    """Settings that every VM of the run has."""

    membership: MembershipSettings = MembershipSettings()
    leases: LeaseSettings = LeaseSettings()
    network: NetworkSettings = NetworkSettings()


class Process:
    """One run of a VM's process.

    Attributes:
        number: Unique among all processes of the run.
        incarnations: The incarnations it has used.
        usable: Whether the view may be acted on.
        view: The latest view.
        lost: The VMs it lost, one entry each time.
        suspensions: How often the view was suspended.
        servers: The latest fresh servers.
    """

    def __init__(self, number: int, me: Vm, coordinator: Coordinator) -> None:
        self.number = number
        self.coordinator = coordinator
        self.incarnations: tuple[int, ...] = (me.incarnation,)
        self.usable = False
        self.view: tuple[Vm, ...] = ()
        self.lost: list[VmId] = []
        self.suspensions = 0
        self.servers: tuple[Lease, ...] = ()


class Machine:
    """A VM: its clock goes on while its process stops and starts."""

    def __init__(self, vm: Vm, rate: float) -> None:
        self.vm = vm
        self.rate = rate
        self.offset = 0.0
        self.wall_offset_ms = 0
        self.process: Process | None = None
        self.paused = False
        self.slow_seconds = 0.0
        self.inbox: list[tuple[Event, Callable[[LeaseAnswer], None] | None]] = []

    def clock(self, now: float) -> float:
        """Return the reading of its monotonic clock."""
        return 1000.0 + self.offset + now * self.rate


class World:
    """All of it on one simulated clock.

    Args:
        vms: The VMs.
        seed: Decides every delay and loss.
        tuning: Settings of the VMs and of the network.
    """

    def __init__(self, vms: tuple[Vm, ...], seed: int, tuning: Tuning) -> None:
        self.random = Random(seed)
        self.tuning = tuning
        self.network = tuning.network
        self.vms = vms
        self.machines = {
            vm.vm: Machine(vm, self.random.uniform(0.99, 1.01)) for vm in vms
        }
        self.cut: set[tuple[str, str]] = set()
        self.history: History = []
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.processes = itertools.count(1)

    def process(self, name: VmId) -> Process:
        """Return the process of a VM that runs."""
        process = self.machines[name].process
        assert process is not None
        return process

    def after(self, seconds: float, what: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self.queue, (self.now + seconds, next(self.order), what))

    def run(self, until: float) -> None:
        """Run the queue up to a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.now = until

    def start(self, name: VmId) -> None:
        """Start a VM's process."""
        machine = self.machines[name]
        wall_ms = BOOT_WALL_MS + int(self.now * 1000) + machine.wall_offset_ms
        me = machine.vm._replace(incarnation=wall_ms)
        coordinator = Coordinator(
            me,
            self.vms,
            self.tuning.membership,
            self.tuning.leases,
            Random(self.random.getrandbits(32)),
        )
        process = Process(next(self.processes), me, coordinator)
        machine.process = process
        machine.paused = False
        machine.inbox = []
        self._tick(machine, process)
        self._place(machine, process)

    def stop(self, name: VmId) -> None:
        """Kill a VM's process."""
        machine = self.machines[name]
        if machine.process is None:
            return
        stopped = VmStopped(self.now, name, machine.process.incarnations)
        self.history.append(stopped)
        machine.process = None

    def resume(self, name: VmId) -> None:
        """Let a paused process go on; what waited for it arrives first."""
        machine = self.machines[name]
        machine.paused = False
        waiting = machine.inbox
        machine.inbox = []
        self._place_once(machine)
        for event, reply in waiting:
            self.deliver(machine, event, reply)

    def deliver(
        self,
        machine: Machine,
        event: Event,
        reply: Callable[[LeaseAnswer], None] | None = None,
    ) -> None:
        """Hand an event to a VM's process, if it runs."""
        if machine.process is None:
            return
        if machine.paused:
            machine.inbox.append((event, reply))
            return
        actions = machine.process.coordinator.handle(event, machine.clock(self.now))
        self._act(machine, machine.process, actions)
        if reply is not None and isinstance(actions[0], LeaseAnswer):
            reply(actions[0])

    def path_open(self, sender: str, receiver: str) -> bool:
        """Whether messages pass from one to the other."""
        return (sender, receiver) not in self.cut

    def _act(self, machine: Machine, process: Process, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(vm=vm, message=message):
                    self._send(machine, vm, message)
                case IncarnationRaised(incarnation=incarnation):
                    process.incarnations += (incarnation,)
                case ViewSuspended():
                    process.usable = False
                    process.suspensions += 1
                case ViewChanged(live=live, lost=lost):
                    process.usable = True
                    process.view = live
                    process.lost += lost
                case ServersChanged(fresh=fresh):
                    process.servers = fresh
                    self._see(machine, process)
                case _:
                    pass

    def _see(self, machine: Machine, process: Process) -> None:
        for lease in process.servers:
            seen = ServerSeen(
                at=self.now,
                vm=machine.vm.vm,
                process=process.number,
                server=lease.server,
                session=session_of(lease.version),
                phase=phase_of(lease.version),
            )
            self.history.append(seen)

    def _tick(self, machine: Machine, process: Process) -> None:
        if machine.process is not process:
            return
        if not machine.paused:
            self.deliver(machine, Tick())
            self._use_view(machine, process)
        self.after(TICK_SECONDS, lambda: self._tick(machine, process))

    def _use_view(self, machine: Machine, process: Process) -> None:
        if process.usable:
            live = tuple((vm.vm, vm.incarnation) for vm in process.view)
            used = ViewUsed(self.now, machine.vm.vm, process.number, live)
            self.history.append(used)

    def _place(self, machine: Machine, process: Process) -> None:
        if machine.process is not process:
            return
        if not machine.paused:
            self._place_once(machine)
        self.after(PLACE_SECONDS, lambda: self._place(machine, process))

    def _place_once(self, machine: Machine) -> None:
        process = machine.process
        if process is None:
            return
        actions = process.coordinator.refresh(machine.clock(self.now))
        self._act(machine, process, actions)
        for lease in process.servers:
            if not lease.draining:
                session = session_of(lease.version)
                placed = Placed(self.now, machine.vm.vm, lease.server, session)
                self.history.append(placed)

    def _send(self, machine: Machine, receiver: VmId, message: Message) -> None:
        other = self.machines.get(receiver)
        if other is None or self.random.random() < self.network.loss:
            return
        copies = 2 if self.random.random() < self.network.duplicate else 1
        for _ in range(copies):
            delay = self._delay(machine, other)
            if not self.path_open(machine.vm.vm, receiver):
                if self.random.random() >= self.network.late:
                    continue
                delay += self.random.uniform(0, self.network.late_seconds)
            self.after(delay, lambda: self._arrive(machine, other, message))

    def _arrive(self, sender: Machine, receiver: Machine, message: Message) -> None:
        if self.path_open(sender.vm.vm, receiver.vm.vm):
            self.deliver(receiver, Received(message))

    def _delay(self, one: Machine, other: Machine) -> float:
        near = one.vm.zone == other.vm.zone
        base = self.network.near_seconds if near else self.network.far_seconds
        jitter = self.random.expovariate(1 / self.network.jitter_seconds)
        return base + jitter + one.slow_seconds + other.slow_seconds
