"""Seeded runs in which the programs are disturbed from outside, as real processes.

``python tests/programs/soak.py --seed 1 --runs 50`` runs fifty; a run that failed keeps
its record and the programs' logs in a folder that is named.
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import NamedTuple

HERE = Path(__file__).parent
if __name__ == "__main__":
    sys.path[:0] = [str(HERE), str(HERE.parents[1] / "review")]

from disturbances import Disturber  # noqa: E402
from programs import Programs, entry_site  # noqa: E402
from standins.operator import Operator  # noqa: E402
from standins.record import Record  # noqa: E402
from traffic import Traffic  # noqa: E402

STEPS = 8
LANES = 2
"""Series of steps that run at the same time."""

EVACUATIONS = 3
"""Evacuations of a zone in each run, beside the steps of its seed."""

KINDS = (
    "odd-calls",
    "odd-calls",
    "odd-datagrams",
    "odd-datagrams",
    "odd-settings",
    "late-leaves",
    "hang-up",
    "stop",
    "kill",
    "early-signals",
    "changes",
    "replace-server",
    "idle-connections",
    "held-port",
    "damaged-file",
)


class Outcome(NamedTuple):
    """What one run found.

    Attributes:
        seed: Its seed.
        faults: How many disturbances of each kind were made.
        answered: Requests that were answered.
        violations: Broken promises, one sentence each.
    """

    seed: int
    faults: dict[str, int]
    answered: int
    violations: tuple[str, ...]


def plan(seed: int) -> list[list[str]]:
    """Return the steps of a seed, a list for each series."""
    random = Random(seed)
    return [[random.choice(KINDS) for _ in range(STEPS)] for _ in range(LANES)]


async def run(
    seed: int,
    folder: Path,
    entries_a_zone: int = 1,
    lanes: list[list[str]] | None = None,
) -> Outcome:
    """Play one seed; its record is kept in a folder.

    Args:
        seed: Seed of the steps and of what they choose.
        folder: Where the record and the logs go.
        entries_a_zone: Entry VMs in each zone.
        lanes: Steps of each series, instead of those of the seed.
    """
    record = Record(folder / "record.txt")
    programs = Programs(record, entry_site(entries_a_zone))
    operator = Operator(programs, record)
    traffic = Traffic(programs, record)
    disturber = Disturber(Random(f"{seed} steps"), programs, operator, traffic)
    programs.start()
    ends: list[str] = []
    try:
        await traffic.give_first_manifest(operator)
        await traffic.start()
        # The evacuations are no part of the plan, so that a seed keeps its other steps.
        played = lanes or [*plan(seed), ["evacuations"] * EVACUATIONS]
        await asyncio.gather(*(disturber.run(lane) for lane in played))
        await traffic.check_end(operator)
    finally:
        ends = programs.own_ends()
        await traffic.stop()
        disturber.sender.close()
        for path in programs.folder.glob("*.[oej]*"):
            shutil.copy(path, folder)
        await programs.stop()
    violations = [*ends, *disturber.violations, *traffic.violations]
    violations += [
        f"{name} was told to stop and ended with {code}"
        for name, code in programs.stop_codes
        if code != 0
    ]
    return Outcome(seed, disturber.faults, traffic.answered, tuple(violations))


def main() -> int:
    """Run seeds one after the other; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--entries", type=int, default=1, help="entry VMs in each zone")
    parser.add_argument("--plan", action="store_true", help="only print the steps")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        if arguments.plan:
            print(seed, *plan(seed), sep="\n  ")
            continue
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        outcome = asyncio.run(run(seed, folder, arguments.entries))
        print(seed, outcome.answered, "answered", outcome.faults, flush=True)
        for text in outcome.violations:
            print(f"  VIOLATION {text}", flush=True)
        failed += bool(outcome.violations)
        if outcome.violations:
            print(f"  kept in {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    print(f"{arguments.runs} runs, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
