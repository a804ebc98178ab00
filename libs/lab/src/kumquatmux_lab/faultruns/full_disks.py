"""Seeded runs in which the disks of the control VMs are full, one after another."""

from __future__ import annotations

from random import Random

from kumquatmux_core.identity import VmId
from kumquatmux_daemons.registrar.calls import Answer, Outcome, PutDocument
from kumquatmux_lab.faultruns.registrar import ZONES
from kumquatmux_lab.faultruns.registrar_world import Control, Entry, World
from kumquatmux_lab.faultruns.report import RunReport

QUIET_S = 2.0
ROUNDS = 2
"""How often each disk is full."""

FULL_MIN_S = 0.3
FULL_MAX_S = 5.0
PAUSE_MAX_S = 1.5
CHANGE_GAP_S = 0.15
"""Seconds between changes; snapshots are taken and sent meanwhile."""

ACK_S = 5.0
"""Seconds within which a change must be acknowledged on sound disks."""

RETRY_S = 1.0
LAST_CHANGES = 8
STEPS_MAX = 12
"""Steps of the disk after which it is full, so that any write of a batch may fail."""


class Change:
    """A change that its operator repeats until it is acknowledged.

    Attributes:
        number: Number of the document.
        sent_at: When it was first sent, in seconds of the run.
        acked_at: When it was acknowledged, None before.
    """

    def __init__(self, number: int, sent_at: float) -> None:
        self.number = number
        self.sent_at = sent_at
        self.acked_at: float | None = None


class FullDisksRun:
    """One run: no two disks are full at once, and nothing else fails but leaders.

    Attributes:
        changes: All changes, in the order in which they were sent.
        violations: What was found.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.random = Random(seed)
        seeds = tuple(VmId(f"c-{zone}") for zone in ZONES)
        self.world = World(self.random, seeds)
        self.changes: list[Change] = []
        self.violations: list[str] = []
        self.kills = 0

    def run(self) -> RunReport:
        """Fill the disks in turn, then check that changes are acknowledged."""
        world = self.world
        for place, zone in enumerate(ZONES):
            world.add(Control(world.seeds[place], zone), founds=True)
        world.add(Entry(VmId("e-a"), ZONES[0]))
        world.run_until(QUIET_S)
        self._keep_changing()
        for _ in range(ROUNDS):
            for control in self._order():
                self._fill(control)
        settled_at = world.now
        world.run_until(settled_at + LAST_CHANGES * ACK_S)
        self._check(settled_at)
        counts = {"changes": len(self.changes), "kills": self.kills}
        return RunReport(self.seed, counts, tuple(self.violations))

    def _order(self) -> list[Control]:
        """Return the control VMs in a random order, or the leader of the time first."""
        controls = self.world.controls()
        self.random.shuffle(controls)
        if self.random.random() < 0.5:
            controls.sort(key=lambda one: not self._leads(one))
        return controls

    def _fill(self, control: Control) -> None:
        disk = control.disk
        disk.full_at = disk.operations + self.random.randint(1, STEPS_MAX)
        if self.random.random() < 0.3:
            self._kill_leader()
        span = self.random.uniform(FULL_MIN_S, FULL_MAX_S)
        self.world.run_until(self.world.now + span)
        disk.is_full = False
        disk.full_at = -1
        pause = self.random.uniform(0.0, PAUSE_MAX_S)
        self.world.run_until(self.world.now + pause)

    def _kill_leader(self) -> None:
        for control in self.world.controls():
            if self._leads(control):
                self.kills += 1
                self.world.stop(control.vm)
                self.world.start(control.vm)

    def _leads(self, control: Control) -> bool:
        return control.core is not None and control.core.agreed.is_leader

    def _keep_changing(self) -> None:
        change = Change(len(self.changes) + 1, self.world.now)
        self.changes.append(change)
        self._send(change)
        self.world.at(self.world.now + CHANGE_GAP_S, self._keep_changing)

    def _send(self, change: Change) -> None:
        if change.acked_at is not None:
            return
        content = f"{change.number} x".encode()
        put = PutDocument(change.number, content)

        def told(answer: Answer) -> None:
            if answer.outcome == Outcome.DONE and change.acked_at is None:
                change.acked_at = self.world.now
            elif answer.outcome == Outcome.ELSEWHERE and answer.leader:
                self.world.call(answer.leader, put, told)
            elif answer.outcome == Outcome.REFUSED:
                self._broken(f"change {change.number} refused: {answer.problem}")

        vm = self.random.choice([one.vm for one in self.world.controls()])
        self.world.call(vm, put, told)
        self.world.at(self.world.now + RETRY_S, lambda: self._send(change))

    def _check(self, settled_at: float) -> None:
        for change in self.changes:
            due_at = max(change.sent_at, settled_at) + ACK_S
            is_late = change.acked_at is None or change.acked_at > due_at
            if due_at <= self.world.now and is_late:
                self._broken(
                    f"change {change.number} of {change.sent_at:.2f} was acknowledged "
                    f"at {change.acked_at}, all disks sound from {settled_at:.2f}"
                )
        for control in self.world.controls():
            assert control.core is not None
            if not control.core.agreed.is_current():
                self._broken(f"{control.vm} does not follow")

    def _broken(self, text: str) -> None:
        self.violations.append(f"{self.world.now:.3f}: {text}")


def run(seed: int) -> RunReport:
    """Run one seed and return what was found."""
    return FullDisksRun(seed).run()
