"""Many seeded fault runs, one after the other or on several worker processes."""

from __future__ import annotations

import importlib
import importlib.util
import multiprocessing
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from kumquatmux_core import decisions
from kumquatmux_lab.faultruns.report import RunReport

WHOLE_NAMES = (
    "settings",
    "flows",
    "membership",
    "site",
    "registrar",
    "full_disks",
)
MODULE_PREFIX = "kumquatmux_lab.faultruns."
RUNS_A_TASK = 4

PROGRESS_PARTS = 10
"""Lines of progress that the runs of one kind are told in."""

Runner = Callable[[int], RunReport]
Tell = Callable[[str], None]
"""Takes a line of progress."""


class SoakSettings(NamedTuple):
    """One soak.

    Attributes:
        seed: Seed of the first run; the others follow it.
        runs: How many runs of each kind.
        what: Kinds of runs.
        workers: Processes that run them.
    """

    seed: int
    runs: int
    what: tuple[str, ...]
    workers: int = 4


class Violation(NamedTuple):
    """A broken promise.

    Attributes:
        what: Kind of run.
        seed: Seed that repeats it.
        text: What was broken.
    """

    what: str
    seed: int
    text: str


class SoakReport(NamedTuple):
    """What the runs of one kind found.

    Attributes:
        what: Kind of run.
        runs: How many ran to their end.
        faults: Faults of each kind in all runs.
        violations: Broken promises.
    """

    what: str
    runs: int
    faults: Counter[str]
    violations: tuple[Violation, ...]


def known_kinds() -> tuple[str, ...]:
    """Return the kinds of fault runs there are."""
    found = importlib.util.find_spec
    return tuple(name for name in WHOLE_NAMES if found(MODULE_PREFIX + name))


def runner_of(what: str) -> Runner:
    """Return the call that runs one seed of a kind."""
    runner: Runner = importlib.import_module(MODULE_PREFIX + what).run
    return runner


def be_quiet() -> None:
    """Log no decisions in this process."""
    decisions.configure(as_json=False, enabled=False)


def soak(
    settings: SoakSettings, tell: Tell, choose: Callable[[str], Runner] = runner_of
) -> Iterator[SoakReport]:
    """Run every kind with every seed; a kind's report comes when it has ended."""
    for what in settings.what:
        yield soak_kind(settings, what, choose(what), tell)


def soak_kind(
    settings: SoakSettings, what: str, runner: Runner, tell: Tell
) -> SoakReport:
    """Run one kind with every seed."""
    seeds = range(settings.seed, settings.seed + settings.runs)
    if settings.workers <= 1:
        be_quiet()
        return summarize(settings, what, map(runner, seeds), tell)
    context = multiprocessing.get_context("spawn")
    with context.Pool(settings.workers, initializer=be_quiet) as pool:
        reports = pool.imap(runner, seeds, RUNS_A_TASK)
        return summarize(settings, what, reports, tell)


def summarize(
    settings: SoakSettings, what: str, reports: Iterable[RunReport], tell: Tell
) -> SoakReport:
    """Gather the reports of one kind and tell how far they are."""
    runs = 0
    faults: Counter[str] = Counter()
    broken: list[Violation] = []
    part = max(settings.runs // PROGRESS_PARTS, 1)
    for report in reports:
        runs += 1
        faults.update(report.faults)
        found = [Violation(what, report.seed, text) for text in report.violations]
        for violation in found:
            tell(f"{what}: violation at seed {report.seed}: {violation.text}")
        broken += found
        if runs % part == 0:
            tell(f"{what}: {runs} of {settings.runs} runs, {len(broken)} violations")
    return SoakReport(what, runs, faults, tuple(broken))


def command_of(violation: Violation) -> str:
    """Return the command that repeats the run of a violation."""
    options = f"--what {violation.what} --seed {violation.seed} --runs 1 --workers 1"
    return f"kumquatmux-lab soak {options}"


def format_report(report: SoakReport) -> str:
    """Return a report as lines for people."""
    failed = len({violation.seed for violation in report.violations})
    lines = [f"{report.what}: {report.runs} runs, {failed} with violations"]
    lines += [f"  fault {kind}: {n}" for kind, n in sorted(report.faults.items())]
    for violation in report.violations:
        lines.append(f"  VIOLATION seed {violation.seed}: {violation.text}")
        lines.append(f"    repeat: {command_of(violation)}")
    return "\n".join(lines)
