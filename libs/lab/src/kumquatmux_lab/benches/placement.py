"""Placement policies side by side: ``python -m kumquatmux_lab.benches.placement``."""

from __future__ import annotations

import json
import platform
from pathlib import Path
from typing import Annotated, NamedTuple, TypedDict

import typer

from kumquatmux_core import decisions
from kumquatmux_lab.queueing import policies, scenarios
from kumquatmux_lab.queueing.figures import Summary
from kumquatmux_lab.queueing.leases import FarLeasedShards, LeasedShards
from kumquatmux_lab.queueing.model import MakePolicy, Run, Scenario
from kumquatmux_lab.queueing.takeover import Loss, TakeOverRun
from kumquatmux_placement.admission import Admission

LOADS = (0.5, 0.7, 0.85)


class Contender(NamedTuple):
    """A policy and the name it has in tables."""

    name: str
    make: MakePolicy


CONTENDERS = (
    Contender("random", policies.AtRandom),
    Contender("plain-hash", policies.PlainHash),
    Contender("least-reported", policies.LeastReported),
    Contender("two-choices-reported", policies.TwoChoicesReported),
    Contender("own-work-by-owner", policies.OwnWorkByOwner),
    Contender("split-for-good", policies.SplitForGood),
    Contender("exact-at-arrival", policies.ExactAtArrival),
    Contender("one-queue", policies.OneQueue),
    Contender("leased-shards", LeasedShards),
    Contender("far-leased-shards", FarLeasedShards),
    Contender("kumquatmux", Admission),
)

SCENARIOS: tuple[Scenario, ...] = (
    *(scenarios.steady(load) for load in LOADS),
    *(scenarios.varied(load) for load in LOADS),
    *(scenarios.known(load) for load in LOADS[1:]),
    scenarios.much_long(0.7),
    scenarios.all_long(0.5),
    *(scenarios.named(load) for load in LOADS[1:]),
    scenarios.crest(),
    scenarios.crest(retries=3),
    scenarios.idle_liar(),
    scenarios.slot_liar(),
    scenarios.cold(),
    scenarios.feeds(),
    *(scenarios.zones(load) for load in LOADS),
    scenarios.take_over(),
)

LOSSES = {
    "take-over-digest": Loss(),
    "take-over-blind": Loss(digest_period_s=0.0),
    "quick-take-over-digest": Loss(found_s=0.05),
    "quick-take-over-blind": Loss(found_s=0.05, digest_period_s=0.0),
}


class Row(TypedDict):
    """One run."""

    scenario: str
    policy: str
    seed: int
    figures: Summary


class Selection(NamedTuple):
    """What is run.

    Attributes:
        scenario: Part of scenario names.
        policy: Part of policy names.
        seeds: Seeds of the arrivals.
        duration_s: Seconds of arrivals; 0 for each scenario's own.
        changes: Settings of placement to change, as ``name=value``.
    """

    scenario: str
    policy: str
    seeds: tuple[int, ...]
    duration_s: float
    changes: tuple[str, ...]

    def adapt(self, scenario: Scenario) -> Scenario:
        """Return a scenario with the chosen duration and settings."""
        pairs = [change.split("=", 1) for change in self.changes]
        changes = {name: json.loads(value) for name, value in pairs}
        workload = scenario.workload
        if self.duration_s:
            workload = workload._replace(duration_s=self.duration_s)
        settings = scenario.settings._replace(**changes)
        return scenario._replace(workload=workload, settings=settings)


def rows(selection: Selection) -> list[Row]:
    """Run the selected scenarios and policies."""
    done: list[Row] = []
    for plain in SCENARIOS:
        if selection.scenario not in plain.name:
            continue
        scenario = selection.adapt(plain)
        for contender in CONTENDERS:
            if selection.policy not in contender.name:
                continue
            for seed in selection.seeds:
                run = Run(scenario, contender.make, seed)
                done.append(_row(run, scenario.name, contender.name, seed))
    for name, loss in LOSSES.items():
        if selection.scenario not in name or selection.policy not in "kumquatmux":
            continue
        for seed in selection.seeds:
            run = TakeOverRun(selection.adapt(scenarios.take_over()), loss, seed)
            done.append(_row(run, name, "kumquatmux", seed))
    return done


def _row(run: Run, scenario: str, policy: str, seed: int) -> Row:
    row = Row(scenario=scenario, policy=policy, seed=seed, figures=run.run().summary())
    typer.echo(line(row))
    return row


def line(row: Row) -> str:
    """Return a run as one line of a Markdown table."""
    cells = [row["scenario"], row["policy"], str(row["seed"])]
    cells += [str(value) for value in row["figures"].values()]
    return f"| {' | '.join(cells)} |"


def header() -> str:
    """Return the head of the Markdown table."""
    names = ["scenario", "policy", "seed", *Summary.__annotations__]
    return f"| {' | '.join(names)} |\n|{'---|' * len(names)}"


def plot(done: list[Row], path: Path) -> None:
    """Draw short work's p99 wait by policy for each load, to a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [contender.name for contender in CONTENDERS]
    figure, axes = pyplot.subplots(figsize=(10, 5))
    width = 0.8 / len(LOADS)
    for number, load in enumerate(LOADS):
        waits = [_mean_p99(done, f"load-{load}", name) for name in names]
        places = [place + number * width for place in range(len(names))]
        axes.bar(places, waits, width, label=f"load {load}")
    axes.set_xticks([place + width for place in range(len(names))], names, rotation=30)
    axes.set_yscale("symlog", linthresh=10)
    axes.set_ylabel("short work's wait, p99, ms")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def _mean_p99(done: list[Row], scenario: str, policy: str) -> float:
    waits = [
        row["figures"]["short_p99_ms"]
        for row in done
        if row["scenario"] == scenario and row["policy"] == policy
    ]
    return sum(waits) / len(waits) if waits else 0.0


def main(
    scenario: Annotated[str, typer.Option(help="Part of scenario names.")] = "",
    policy: Annotated[str, typer.Option(help="Part of policy names.")] = "",
    seeds: Annotated[str, typer.Option(help="Seeds, with commas between.")] = "1,2,3",
    duration_s: Annotated[float, typer.Option(help="Seconds of arrivals.")] = 0.0,
    change: Annotated[
        list[str] | None, typer.Option(help="Setting of placement, name=value.")
    ] = None,
    out: Annotated[Path | None, typer.Option(help="Folder for JSON and plot.")] = None,
) -> None:
    """Run placement policies on the same arrivals and print a table."""
    decisions.configure(as_json=False, enabled=False)
    typer.echo(header())
    numbers = tuple(int(seed) for seed in seeds.split(","))
    changes = tuple(change or ())
    done = rows(Selection(scenario, policy, numbers, duration_s, changes))
    if out is None:
        return
    out.mkdir(parents=True, exist_ok=True)
    result = {"machine": f"{platform.machine()} {platform.python_version()}"}
    text = json.dumps({**result, "seeds": seeds, "rows": done}, indent=1)
    (out / "placement.json").write_text(text + "\n")
    plot(done, out / "placement.png")


if __name__ == "__main__":
    typer.run(main)
