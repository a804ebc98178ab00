"""Seeded fault runs of membership and leases: six VMs, three zones, nine servers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from kumquatmux_core.identity import Endpoint, Vm, VmId, ZoneName
from kumquatmux_lab.faultruns.membership_history import (
    CHECKERS,
    Expected,
    Settled,
)
from kumquatmux_lab.faultruns.membership_server import ServerAgent
from kumquatmux_lab.faultruns.membership_world import Tuning, World
from kumquatmux_lab.faultruns.report import RunReport
from kumquatmux_membership.events import Leave
from kumquatmux_membership.phases import Phase

ZONES = (ZoneName("cnx-a"), ZoneName("cnx-b"), ZoneName("lpg-a"))
VMS_PER_ZONE = 2
SERVERS_PER_ZONE = 3
QUIET_START_SECONDS = 5.0
FAULT_SECONDS = 40.0
SETTLE_SECONDS = 25.0
MEAN_GAP_SECONDS = 1.5
LONGEST_FAULT_SECONDS = 8.0


def run(seed: int) -> RunReport:
    """Run one seed and check every promise."""
    return FaultRun(seed).run()


class FaultRun:
    """One run: a quiet start, overlapping faults, then time to settle.

    Args:
        seed: Decides the faults, delays and losses.
        tuning: Settings of the VMs and of the network.
    """

    def __init__(self, seed: int, tuning: Tuning | None = None) -> None:
        self.seed = seed
        self.random = Random(seed)
        vms = make_vms(ZONES, VMS_PER_ZONE)
        self.world = World(vms, seed, tuning or Tuning())
        self.servers = make_servers(self.world)
        self.counts: Counter[str] = Counter()
        self.faults: dict[str, Callable[[], None]] = {
            "crash-vm": self.crash_vm,
            "reboot-vm": self.reboot_vm,
            "wall-clock-back": self.wall_clock_back,
            "pause-vm": self.pause_vm,
            "slow-vm": self.slow_vm,
            "leave-vm": self.leave_vm,
            "clock-jump": self.clock_jump,
            "cut-pair": self.cut_pair,
            "cut-one-way": self.cut_one_way,
            "flap-pair": self.flap_pair,
            "cut-zone": self.cut_zone,
            "cut-server": self.cut_server,
            "crash-server": self.crash_server,
            "drain-server": self.drain_server,
            "leave-server": self.leave_server,
            "retire-race": self.retire_race,
        }

    def run(self) -> RunReport:
        """Run it all and return what the checkers found."""
        for vm in self.world.vms:
            self.world.start(vm.vm)
        for server in self.servers:
            server.start()
        self.world.run(QUIET_START_SECONDS)
        end = QUIET_START_SECONDS + FAULT_SECONDS
        while self.world.now < end - LONGEST_FAULT_SECONDS:
            name = self.random.choice(sorted(self.faults))
            self.counts[name] += 1
            self.faults[name]()
            gap = self.random.expovariate(1 / MEAN_GAP_SECONDS)
            self.world.run(self.world.now + gap)
        self.world.run(end)
        self._end_faults()
        self.world.run(end + SETTLE_SECONDS)
        self._record_settled()
        found = [one for check in CHECKERS for one in check(self.world.history)]
        return RunReport(self.seed, dict(self.counts), tuple(map(str, found)))

    def crash_vm(self) -> None:
        """Kill a process and start it again."""
        name = self._vm()
        self.world.stop(name)
        self._later(lambda: self._restart(name))

    def reboot_vm(self) -> None:
        """Kill a process; its monotonic clock starts anew."""
        name = self._vm()
        self.world.machines[name].offset = -self.world.now
        self.crash_vm_named(name)

    def wall_clock_back(self) -> None:
        """Kill a process; its next incarnation is lower than its last."""
        name = self._vm()
        self.world.machines[name].wall_offset_ms -= 60_000
        self.crash_vm_named(name)

    def crash_vm_named(self, name: VmId) -> None:
        """Kill a certain process and start it again."""
        self.world.stop(name)
        self._later(lambda: self._restart(name))

    def pause_vm(self) -> None:
        """Let a process stand still."""
        name = self._vm()
        self.world.machines[name].paused = True
        self._later(lambda: self._resume(name))

    def slow_vm(self) -> None:
        """Delay all that a VM sends and receives."""
        machine = self.world.machines[self._vm()]
        machine.slow_seconds = self.random.uniform(0.05, 1.0)

        def end() -> None:
            machine.slow_seconds = 0.0

        self._later(end)

    def leave_vm(self) -> None:
        """Shut a process down gracefully and start it again."""
        name = self._vm()
        self.world.deliver(self.world.machines[name], Leave())
        self.world.after(1.0, lambda: self.crash_vm_named(name))

    def clock_jump(self) -> None:
        """Move a monotonic clock that should not move."""
        machine = self.world.machines[self._vm()]
        machine.offset += self.random.choice((-30.0, -1.0, -0.2, 0.5, 3.0, 100.0))

    def cut_pair(self) -> None:
        """Cut two VMs from each other."""
        one, other = self._two_vms()
        self._cut({(one, other), (other, one)})

    def cut_one_way(self) -> None:
        """Cut the path from one VM to another."""
        self._cut({self._two_vms()})

    def flap_pair(self) -> None:
        """Cut and join two VMs again and again."""
        one, other = self._two_vms()
        paths = {(one, other), (other, one)}
        for number in range(3):
            start = number * 2.5
            self.world.after(start, lambda: self.world.cut.update(paths))
            end = start + self.random.uniform(0.2, 2.4)
            self.world.after(end, lambda: self.world.cut.difference_update(paths))

    def cut_zone(self) -> None:
        """Cut an availability zone from the others, or from one of them."""
        zone, *others = self.random.sample(ZONES, self.random.choice((2, 3)))
        inside = [vm.vm for vm in self.world.vms if vm.zone == zone]
        outside = [vm.vm for vm in self.world.vms if vm.zone in others]
        out = {(one, other) for one in inside for other in outside}
        back = {(other, one) for one, other in out}
        self._cut(self.random.choice((out | back, out | back, out, back)))

    def cut_server(self) -> None:
        """Cut a backend server from an entry VM of its zone."""
        server = self.random.choice(self.servers)
        vm = self.random.choice(server.entries)
        self._cut({(vm, server.name), (server.name, vm)})

    def crash_server(self) -> None:
        """Stop a backend server and start a new session later."""
        server = self.random.choice(self.servers)
        server.crash()
        self._later(server.start)

    def drain_server(self) -> None:
        """Drain a backend server, later start a new session."""
        self._retire(Phase.DRAINING)

    def leave_server(self) -> None:
        """Let a backend server leave, later start a new session."""
        self._retire(Phase.LEFT)

    def retire_race(self) -> None:
        """Retire at one VM while another, cut off, still gets a renewal."""
        server = self.random.choice(self.servers)
        one, other = server.entries
        self._cut({(one, other), (other, one)})
        phase = self.random.choice((Phase.DRAINING, Phase.LEFT))
        server.race(phase, self.random.uniform(0.01, 2.5))
        self.world.after(self.random.uniform(8, 20), server.start)

    def _retire(self, phase: Phase) -> None:
        server = self.random.choice(self.servers)
        server.retire(phase)
        self.world.after(self.random.uniform(8, 20), server.start)

    def _vm(self) -> VmId:
        return self.random.choice(self.world.vms).vm

    def _two_vms(self) -> tuple[VmId, VmId]:
        one, other = self.random.sample(self.world.vms, 2)
        return one.vm, other.vm

    def _cut(self, paths: set[tuple[str, str]] | set[tuple[VmId, VmId]]) -> None:
        self.world.cut.update(paths)
        self._later(lambda: self.world.cut.difference_update(paths))

    def _later(self, what: Callable[[], None]) -> None:
        self.world.after(self.random.uniform(0.3, LONGEST_FAULT_SECONDS), what)

    def _restart(self, name: VmId) -> None:
        if self.world.machines[name].process is None:
            self.world.start(name)

    def _resume(self, name: VmId) -> None:
        if self.world.machines[name].paused:
            self.world.resume(name)

    def _end_faults(self) -> None:
        self.world.cut.clear()
        for name, machine in self.world.machines.items():
            machine.slow_seconds = 0.0
            self._restart(name)
            self._resume(name)

    def _record_settled(self) -> None:
        world = self.world
        names = tuple(sorted(vm.vm for vm in world.vms))
        servers = tuple(
            sorted(
                server.name
                for server in self.servers
                if server.up and server.phase != Phase.LEFT
            )
        )
        world.history.append(Expected(world.now, names, servers))
        for name, machine in world.machines.items():
            assert machine.process is not None
            view = tuple(sorted(vm.vm for vm in machine.process.view))
            fresh = tuple(sorted(lease.server for lease in machine.process.servers))
            world.history.append(Settled(world.now, name, view, fresh))


def make_vms(zones: tuple[ZoneName, ...], vms_per_zone: int) -> tuple[Vm, ...]:
    """Return VMs named after their zones."""
    return tuple(
        Vm(
            VmId(f"{zone}-{number}"),
            zone,
            Endpoint(f"127.1.{index}.{number + 1}", 7000),
            Endpoint(f"127.1.{index}.{number + 1}", 7001),
        )
        for index, zone in enumerate(zones)
        for number in range(vms_per_zone)
    )


def make_servers(world: World) -> list[ServerAgent]:
    """Return backend servers in every zone."""
    return [
        ServerAgent(world, Endpoint(f"127.2.{index}.{number + 1}", 80), zone)
        for index, zone in enumerate(ZONES)
        for number in range(SERVERS_PER_ZONE)
    ]
