"""Seeded fault runs of registrars and token entry VMs: three zones, two operators."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

from kumquatmux_core.identity import Endpoint, ServiceName, VmId, ZoneName
from kumquatmux_daemons.registrar.agreed import Agreed
from kumquatmux_daemons.registrar.calls import (
    Answer,
    LeaveCall,
    Outcome,
    PutDocument,
    ReadDocument,
    ReportCall,
)
from kumquatmux_lab.faultruns import evacuation_orders
from kumquatmux_lab.faultruns.evacuation_orders import EvacuationOrders
from kumquatmux_lab.faultruns.registrar_world import (
    REPORT_S,
    START_S,
    Control,
    Entry,
    World,
)
from kumquatmux_lab.faultruns.report import RunReport
from kumquatmux_registry.records import Lifetime, Phase, Report

ZONES = (ZoneName("a"), ZoneName("b"), ZoneName("c"))
QUIET_S = 3.0
EARLY_SHARE = 0.5
LATEST_START_S = 0.3
LATEST_EARLY_END_S = 1.5
EARLY_BACK_S = 0.3
FAULTS_S = 30.0
SETTLE_S = 14.0
MEAN_GAP_S = 1.3
LONGEST_FAULT_S = 6.0
CHANGE_GAP_S = 0.4
READ_GAP_S = 0.5
LOOK_S = 0.1
IN_FORCE_S = 3.0
RETRY_S = 1.0


def run(seed: int, *, evacuates: bool = False) -> RunReport:
    """Run one seed and check every promise.

    Args:
        seed: Seed of the run.
        evacuates: Whether operators order evacuations of zones too. The messages of
            these draw on the same random numbers, so that the faults are others.
    """
    return FaultRun(seed, evacuates=evacuates).run()


class Server:
    """A backend server that reports, drains, leaves, crashes and is born again."""

    def __init__(self, name: str, zone: ZoneName, port: int) -> None:
        self.name = name
        self.zone = zone
        self.port = port
        self.born_ms = 1
        self.number = 0
        self.phase = Phase.READY
        self.is_up = True

    def report(self) -> Report:
        """Return its next report."""
        self.number += 1
        return Report(
            Lifetime(self.name, self.born_ms),
            self.number,
            ServiceName("entries"),
            Endpoint("10.9.0.1", self.port),
            self.zone,
            "v1",
            2,
            self.phase,
            0.0,
        )

    def reborn(self) -> None:
        """Start again under the same name, knowing nothing of before."""
        self.born_ms += 1000
        self.number = 0
        self.phase = Phase.READY
        self.is_up = True


class FaultRun:
    """One run: a quiet start, overlapping faults, then time to settle.

    At most one disk is lost, and only while every voter holds all that is agreed.
    """

    def __init__(self, seed: int, *, evacuates: bool = False) -> None:
        self.seed = seed
        self.evacuates = evacuates
        self.random = Random(seed)
        seeds = tuple(VmId(f"c-{zone}") for zone in ZONES)
        self.world = World(self.random, seeds)
        self.counts: Counter[str] = Counter()
        self.violations: list[str] = []
        self.number = 0
        self.acked = 0
        self.contents: dict[int, bytes] = {}
        self.sent: dict[int, set[bytes]] = {}
        self.seen: dict[tuple[VmId, int], int] = {}
        self.replacements = 0
        self.evacuations = EvacuationOrders(
            self.world, Random(f"evacuations-{seed}"), ZONES, self._broken
        )
        self.servers = [
            Server(f"i-{number}", ZONES[number % 3], number) for number in range(1, 7)
        ]
        self.faults: dict[str, Callable[[], None]] = {
            "kill": self.kill,
            "power": self.power,
            "wipe": self.wipe,
            "power-all": self.power_all,
            "freeze": self.freeze,
            "freeze-leader": self.freeze_leader,
            "cut-zone": self.cut_zone,
            "cut-control": self.cut_control,
            "cut-one-way": self.cut_one_way,
            "replace": self.replace,
            "disk-full": self.disk_full,
            "drain": self.drain,
            "reborn": self.reborn,
        }

    def run(self) -> RunReport:
        """Run all phases and return what was found."""
        world = self.world
        for zone in ZONES:
            for number in (1, 2):
                world.add(Entry(VmId(f"e-{zone}-{number}"), zone))
        self._add_controls()
        self._every(REPORT_S, self._report_all)
        self._every(CHANGE_GAP_S, self._change)
        self._every(READ_GAP_S, self._read_somewhere)
        self._every(LOOK_S, self._look)
        if self.evacuates:
            self._every(evacuation_orders.ORDER_GAP_S, self.evacuations.order)
            self._every(evacuation_orders.READ_GAP_S, self.evacuations.read)
            self._every(evacuation_orders.LOOK_S, self.evacuations.look)
        world.run_until(QUIET_S)
        while world.now < QUIET_S + FAULTS_S:
            kind = self.random.choice(sorted(self.faults))
            self.faults[kind]()
            self.counts[kind] += 1
            gap = self.random.expovariate(1 / MEAN_GAP_S)
            world.run_until(world.now + gap)
        self._settle()
        return RunReport(self.seed, dict(self.counts), tuple(self.violations))

    def kill(self) -> None:
        """Kill any process; it comes back."""
        self._down(self._any_vm())

    def power(self) -> None:
        """Take the power of any VM for a while."""
        self._down(self._any_vm(), power=True)

    def power_all(self) -> None:
        """Take the power of all VMs at once."""
        for vm in list(self.world.nodes):
            self._down(vm, power=True, for_s=1.0)

    def wipe(self) -> None:
        """Lose a disk, where all else that is agreed has its copies."""
        if not self._is_whole():
            return
        victim = self.random.choice([one.vm for one in self.world.controls()])
        self._down(victim, wipe=True)

    def replace(self) -> None:
        """Replace a control VM for good by an empty one with another name."""
        if not self._is_whole() or self.replacements >= 3:
            return
        victim = self.random.choice(self.world.controls())
        self.replacements += 1
        self.world.stop(victim.vm)
        del self.world.nodes[victim.vm]
        name = VmId(f"n-{self.replacements}-{victim.zone}")
        fresh = Control(name, victim.zone)

        def arrive() -> None:
            self.world.name_seed(fresh.vm, instead_of=victim.vm)
            self.world.add(fresh)

        self.world.at(self.world.now + 1.0, arrive)

    def freeze(self) -> None:
        """Let any VM stand still."""
        self.world.freeze(self._any_vm(), self._span())

    def freeze_leader(self) -> None:
        """Let the control VM that leads stand still."""
        for control in self.world.controls():
            if control.core is not None and control.core.agreed.is_leader:
                self.world.freeze(control.vm, self._span())

    def cut_zone(self) -> None:
        """Cut one zone off from the others."""
        zone = self.random.choice(ZONES)
        nodes = self.world.nodes.values()
        inside = [one.vm for one in nodes if one.zone == zone]
        outside = [one.vm for one in nodes if one.zone != zone]
        self._cut({(a, b) for a in inside for b in outside})

    def cut_control(self) -> None:
        """Cut one control VM off from the other control VMs."""
        victim = self.random.choice(self.world.controls()).vm
        others = [one.vm for one in self.world.controls() if one.vm != victim]
        self._cut({(victim, other) for other in others})

    def cut_one_way(self) -> None:
        """Let nothing pass from one control VM to the others."""
        victim = self.random.choice(self.world.controls()).vm
        others = [one.vm for one in self.world.controls() if one.vm != victim]
        self._cut({(victim, other) for other in others}, both_ways=False)

    def disk_full(self) -> None:
        """Let a disk take no bytes for a while."""
        disk = self.random.choice(self.world.controls()).disk

        def empty() -> None:
            disk.is_full = False

        disk.is_full = True
        self.world.at(self.world.now + self._span(), empty)

    def drain(self) -> None:
        """Let a server drain, leave and be born again."""
        server = self.random.choice(self.servers)
        server.phase = Phase.DRAINING
        self._report(server)
        now = self.world.now
        self.world.at(now + 3.0, lambda: self._leave(server))
        self.world.at(now + 5.0, server.reborn)

    def reborn(self) -> None:
        """Let a server crash and start again under its name."""
        server = self.random.choice(self.servers)
        server.is_up = False
        self.world.at(self.world.now + self._span(), server.reborn)

    def _add_controls(self) -> None:
        """Start the seeds, some late, and end some while the cluster is founded.

        The first process of one seed may end before its first write, or its disk may be
        lost; all others keep their disks.
        """
        kinds = ("early-end", "early-wipe", "early-power", "early-kill")
        lost = self.random.choice(self.world.seeds)
        for place, zone in enumerate(ZONES):
            vm = self.world.seeds[place]
            kind = "early-kill"
            if vm == lost:
                kind = self.random.choice(kinds)
            is_told = kind != "early-end"
            delay_s = self.random.uniform(0.0, LATEST_START_S)
            add = partial(self.world.add, Control(vm, zone), founds=is_told)
            self.world.at(delay_s, add)
            if not is_told:
                self.counts[kind] += 1
            elif self.random.random() < EARLY_SHARE:
                self._end_early(vm, kind)

    def _end_early(self, vm: VmId, kind: str) -> None:
        at = self.random.uniform(0.0, LATEST_EARLY_END_S)

        def end() -> None:
            if vm in self.world.nodes:
                power, wipe = kind == "early-power", kind == "early-wipe"
                self._down(vm, power=power, wipe=wipe, for_s=EARLY_BACK_S)
                self.counts[kind] += 1

        self.world.at(at, end)

    def _settle(self) -> None:
        world = self.world
        world.run_until(world.now + LONGEST_FAULT_S + 1.0)
        for vm in list(world.nodes):
            world.start(vm)
        world.run_until(world.now + SETTLE_S)
        last = self.number
        if self.acked < last - 3:
            self._broken(f"newest of {last} acknowledged in the end is {self.acked}")
        world.run_until(world.now + IN_FORCE_S)
        acked = self.acked
        evacuations = self.evacuations.read_revision
        world.run_until(world.now + IN_FORCE_S)
        if self.evacuates:
            self.evacuations.check_settled(evacuations)
        for entry in world.entries():
            held = entry.core.follower.document.number if entry.core else 0
            if held < acked:
                self._broken(f"{entry.vm} holds {held} though {acked} was agreed")
            self._check_servers(entry)

    def _check_servers(self, entry: Entry) -> None:
        assert entry.core is not None
        for server in self.servers:
            record = entry.core.table.get(server.name)
            if not server.is_up or server.phase != Phase.READY:
                continue
            is_right = record is not None and (
                record.report.lifetime.born_ms == server.born_ms
                and record.report.phase == Phase.READY
                and not record.is_late
            )
            if not is_right:
                self._broken(f"{entry.vm} misses {server.name}: {record}")

    def _change(self) -> None:
        self.number += 1
        self._send_change(self.number, self._content(self.number))
        if self.random.random() < 0.2:
            self._send_change(self.number, self._content(self.number))
        if self.random.random() < 0.2 and self.number > 2:
            old = self.random.randint(1, self.number - 1)
            self._send_change(old, self._content(old))

    def _content(self, number: int) -> bytes:
        content = f"{number} {self.random.randint(1, 2)}".encode()
        self.sent.setdefault(number, set()).add(content)
        return content

    def _send_change(self, number: int, content: bytes, tries: int = 12) -> None:
        vm = self.random.choice([one.vm for one in self.world.controls()] or [VmId("")])
        settled: list[bool] = []

        def told(answer: Answer) -> None:
            if answer.outcome == Outcome.DONE:
                settled.append(True)
                self.acked = max(self.acked, number)
            elif answer.outcome == Outcome.ELSEWHERE and answer.leader:
                self.world.call(answer.leader, PutDocument(number, content), told)
            elif answer.outcome == Outcome.REFUSED:
                self._broken(f"change {number} was refused: {answer.problem}")

        def again() -> None:
            if not settled and tries:
                self._send_change(number, content, tries - 1)

        self.world.call(vm, PutDocument(number, content), told)
        self.world.at(self.world.now + RETRY_S, again)

    def _read_somewhere(self) -> None:
        controls = [one.vm for one in self.world.controls()]
        acked = self.acked

        def told(answer: Answer) -> None:
            if answer.outcome == Outcome.ELSEWHERE and answer.leader:
                self.world.call(answer.leader, ReadDocument(), told)
            elif answer.outcome == Outcome.DONE:
                self._check_content(answer.content, acked)

        if controls:
            self.world.call(self.random.choice(controls), ReadDocument(), told)

    def _check_content(self, content: bytes, acked: int) -> None:
        number = int(content.partition(b" ")[0])
        if number < acked:
            self._broken(f"a read gave {number} after {acked} was acknowledged")
        self._check_same(number, content)

    def _check_same(self, number: int, content: bytes) -> None:
        if content not in self.sent.get(number, set()):
            self._broken(f"{number} holds what nobody sent")
        if self.contents.setdefault(number, content) != content:
            self._broken(f"{number} has two contents")

    def _look(self) -> None:
        for entry in self.world.entries():
            if entry.core is None:
                continue
            document = entry.core.follower.document
            life = (entry.vm, entry.lives)
            if document.number < self.seen.get(life, 0):
                self._broken(f"{entry.vm} went back to {document.number}")
            self.seen[life] = document.number
            if document.number:
                self._check_same(document.number, document.content)

    def _report_all(self) -> None:
        for server in self.servers:
            if server.is_up:
                self._report(server)

    def _report(self, server: Server) -> None:
        controls = [one for one in self.world.controls() if one.core is not None]
        near = [one for one in controls if one.zone == server.zone]
        chosen = near or controls
        if chosen:
            vm = self.random.choice(chosen).vm
            self.world.call(vm, ReportCall(server.report()), _ignore)

    def _leave(self, server: Server) -> None:
        if server.phase != Phase.DRAINING:
            return
        server.is_up = False
        controls = [one.vm for one in self.world.controls()]
        if controls:
            vm = self.random.choice(controls)
            self.world.call(vm, LeaveCall(server.name), _ignore)

    def _down(
        self,
        vm: VmId,
        *,
        power: bool = False,
        wipe: bool = False,
        for_s: float | None = None,
    ) -> None:
        self.world.stop(vm, power=power, wipe=wipe)
        back_s = (self._span() if for_s is None else for_s) + START_S
        self.world.at(self.world.now + back_s, lambda: self.world.start(vm))

    def _cut(self, pairs: set[tuple[VmId, VmId]], *, both_ways: bool = True) -> None:
        cut = pairs | {(b, a) for a, b in pairs} if both_ways else pairs
        self.world.cuts |= cut

        def heal() -> None:
            self.world.cuts -= cut

        self.world.at(self.world.now + self._span(), heal)

    def _is_whole(self) -> bool:
        """Return whether every disk holds all that is agreed, and its replica votes.

        A leader that was cut off or stood still may say so wrongly, so that all are
        looked at.
        """
        running = [one.core for one in self.world.controls() if one.core is not None]
        if len(running) < 3 or len(running) < len(self.world.controls()):
            return False
        if not any(self._says_whole(core.agreed) for core in running):
            return False
        replicas = [core.agreed.replica.core for core in running]
        newest = max(replicas, key=lambda one: one.commit_index)
        voters = set(newest.log.configuration.voters)
        return voters == {one.replica_id for one in replicas} and all(
            one.persisted_index >= newest.commit_index for one in replicas
        )

    def _says_whole(self, agreed: Agreed) -> bool:
        return agreed.is_leader and agreed.replica.status().is_fully_replicated

    def _any_vm(self) -> VmId:
        return self.random.choice(sorted(self.world.nodes))

    def _span(self) -> float:
        return self.random.uniform(0.3, LONGEST_FAULT_S)

    def _every(self, period_s: float, act: Callable[[], None]) -> None:
        def again() -> None:
            act()
            self.world.at(self.world.now + period_s, again)

        self.world.at(self.world.now + period_s, again)

    def _broken(self, text: str) -> None:
        self.violations.append(f"{self.world.now:.3f}: {text}")


def _ignore(answer: Answer) -> None:
    """A server that gets no answer reports again."""
