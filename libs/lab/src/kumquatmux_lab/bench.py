"""Runs a bench in a process of its own and records what it printed."""

from __future__ import annotations

import datetime
import importlib.util
import re
import shlex
import subprocess
import sys
from typing import NamedTuple, TypedDict

from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem
from kumquatmux_lab.machine import Machine, this_machine

MODULE_PREFIX = "kumquatmux_lab.benches."
NUMBER = re.compile(r"(?<![\w.])-?\d[\d_,]*(?:\.\d+)?(?:e-?\d+)?")


class BenchSettings(NamedTuple):
    """One run of a bench.

    Attributes:
        name: Module under ``kumquatmux_lab.benches``.
        seed: Seed that is recorded; given to the benches that take one.
        arguments: What the bench itself is told.
    """

    name: str
    seed: int
    arguments: tuple[str, ...] = ()


class BenchRow(TypedDict):
    """One printed line and the numbers in it, from left to right."""

    text: str
    figures: list[float]


class BenchResult(TypedDict):
    """A recorded run of a bench."""

    bench: str
    seed: int
    command: str
    date: str
    machine: Machine
    rows: list[BenchRow]


def run_bench(settings: BenchSettings) -> Result[BenchResult, Problem]:
    """Run a bench to its end."""
    module = MODULE_PREFIX + settings.name
    if not settings.name.isidentifier() or importlib.util.find_spec(module) is None:
        return Error(Problem("unknown-bench", "there is no such bench", settings.name))
    arguments = ["-m", module, *settings.arguments]
    done = subprocess.run([sys.executable, *arguments], capture_output=True, text=True)
    if done.returncode:
        last = (done.stderr.strip().splitlines() or ["no reason given"])[-1]
        return Error(Problem("bench-failed", last, settings.name))
    rows = [row_of(line) for line in done.stdout.splitlines() if line.strip()]
    if not rows:
        return Error(Problem("bench-silent", "printed no figures", settings.name))
    return Ok(
        BenchResult(
            bench=settings.name,
            seed=settings.seed,
            command=shlex.join(["python", *arguments]),
            date=datetime.datetime.now(datetime.UTC).date().isoformat(),
            machine=this_machine(),
            rows=rows,
        )
    )


def row_of(line: str) -> BenchRow:
    """Return a printed line with its numbers."""
    found = [text.replace(",", "").replace("_", "") for text in NUMBER.findall(line)]
    return BenchRow(text=line, figures=[float(text) for text in found])
