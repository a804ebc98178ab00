"""What an experiment found: its JSON record and its plot."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypedDict

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from kumquatmux_lab.machine import Machine  # noqa: E402
from kumquatmux_lab.standin.caller import Fate, StandInCaller  # noqa: E402

LONGEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PLOT_INCHES = (9.0, 6.0)


class KindResult(TypedDict):
    """What became of one kind of flow; times in ms from SYN to first byte."""

    name: str
    opened: int
    whole: int
    broken: int
    misrouted: int
    refused: int
    still_open: int
    p50_ms: float
    p99_ms: float


class SecondResult(TypedDict):
    """Requests that opened in one second; times in ms, None without a first byte."""

    second: int
    opened: int
    refused: int
    p50_ms: float | None
    p99_ms: float | None


class FaultResult(TypedDict):
    """A disturbance as it was made."""

    second: float
    text: str


class ExperimentResult(TypedDict):
    """The record of one experiment."""

    experiment: str
    seed: int
    command: str
    date: str
    machine: Machine
    kinds: list[KindResult]
    seconds: list[SecondResult]
    faults: list[FaultResult]
    runs_by_server: dict[str, int]
    wrong_service: int
    run_twice: int


def seconds_of(callers: Iterable[StandInCaller], began: float) -> list[SecondResult]:
    """Return the figures of each second in which requests opened."""
    by_second: dict[int, list[StandInCaller]] = {}
    for caller in callers:
        by_second.setdefault(int(caller.started - began), []).append(caller)
    return [_second(second, by_second[second]) for second in sorted(by_second)]


def _second(second: int, callers: list[StandInCaller]) -> SecondResult:
    times = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
    for caller in callers:
        if caller.first_byte is not None:
            times.record_value(int((caller.first_byte - caller.started) * 1e6))
    some = times.get_total_count() > 0
    return SecondResult(
        second=second,
        opened=len(callers),
        refused=sum(caller.fate is Fate.REFUSED for caller in callers),
        p50_ms=times.get_value_at_percentile(50) / 1e3 if some else None,
        p99_ms=times.get_value_at_percentile(99) / 1e3 if some else None,
    )


def plot(result: ExperimentResult, path: Path) -> None:
    """Draw new flows and first-byte times over the seconds, with the faults marked."""
    seconds = result["seconds"]
    at = [row["second"] for row in seconds]
    figure, (flows, times) = plt.subplots(2, 1, sharex=True, figsize=PLOT_INCHES)
    flows.bar(at, [row["opened"] for row in seconds], align="edge")
    flows.bar(at, [row["refused"] for row in seconds], align="edge", label="refused")
    flows.legend(loc="upper right")
    flows.set_ylabel("new requests/s")
    flows.set_title(f"{result['experiment']}, seed {result['seed']}")
    times.plot(at, [row["p50_ms"] or float("nan") for row in seconds], label="p50")
    times.plot(at, [row["p99_ms"] or float("nan") for row in seconds], label="p99")
    times.set_yscale("log")
    times.set_ylabel("first byte, ms")
    times.set_xlabel("s")
    times.legend(loc="upper left")
    for fault in result["faults"]:
        for axes in (flows, times):
            axes.axvline(fault["second"], color="tab:red", linestyle="--")
        top = flows.get_ylim()[1]
        flows.text(fault["second"], top, fault["text"], rotation=90, va="top", size=7)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    plt.close(figure)


def compare(left: ExperimentResult, right: ExperimentResult) -> str:
    """Return the figures of two experiments side by side."""
    names = [_title(left), _title(right)]
    lines = ["{:<22}{:<11}{:>20}{:>20}{:>10}".format("kind", "figure", *names, "ratio")]
    for row in ("wrong_service", "run_twice"):
        lines.append(_line("all", row, left.get(row), right.get(row)))
    before = _by_kind(left)
    after = _by_kind(right)
    for name in list(dict.fromkeys([*before, *after])):
        for figure in list(KindResult.__annotations__)[1:]:
            a = before.get(name, {}).get(figure)
            b = after.get(name, {}).get(figure)
            lines.append(_line(name, figure, a, b))
    return "\n".join(lines)


def _by_kind(result: ExperimentResult) -> dict[str, dict[str, Any]]:
    return {kind["name"]: {**kind} for kind in result["kinds"]}


def _title(result: ExperimentResult) -> str:
    return f"{result['experiment'][:14]}/{result['seed']}"


def _line(name: str, figure: str, a: object, b: object) -> str:
    ratio = "-"
    if isinstance(a, (int, float)) and isinstance(b, (int, float)) and a:
        ratio = f"{b / a:.2f}"
    return f"{name:<22}{figure:<11}{_cell(a):>20}{_cell(b):>20}{ratio:>10}"


def _cell(value: object) -> str:
    if value is None:
        return "-"
    return f"{value:.1f}" if isinstance(value, float) else str(value)
