"""The laboratory's command line: fault runs, benches and experiments."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import Annotated, NoReturn, cast

import typer

from kumquatmux_lab.bench import BenchSettings, run_bench
from kumquatmux_lab.experiments.reader import read_experiment
from kumquatmux_lab.experiments.result import ExperimentResult, plot
from kumquatmux_lab.experiments.result import compare as compare_results
from kumquatmux_lab.experiments.runner import run_experiment
from kumquatmux_lab.soak import SoakSettings, format_report, known_kinds
from kumquatmux_lab.soak import soak as run_soak
from kumquatmux_lab.standin.load import LoadRow, format_rows

app = typer.Typer(
    help="Break, measure and compare kumquatmux on one machine.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
EXIT_VIOLATION = 1
EXIT_USAGE = 2
RECORDED = {"experiment", "seed", "kinds"}


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="Seed of the first run.")] = 1,
    runs: Annotated[int, typer.Option(min=1, help="Runs of each kind.")] = 100,
    what: Annotated[str, typer.Option(help="A kind of fault run, or all.")] = "all",
    workers: Annotated[int, typer.Option(min=1, help="Worker processes.")] = 4,
) -> None:
    """Run seeded fault runs; exit code 1 if a promise was broken.

    Example: kumquatmux-lab soak --seed 1 --runs 500 --what flows
    """
    kinds = known_kinds()
    if what not in (*kinds, "all"):
        fail(f"--what: must be one of {', '.join(kinds)}, all")
    chosen = kinds if what == "all" else (what,)
    is_broken = False
    for report in run_soak(SoakSettings(seed, runs, chosen, workers), tell_progress):
        typer.echo(format_report(report))
        is_broken |= bool(report.violations)
    if is_broken:
        raise typer.Exit(EXIT_VIOLATION)


def tell_progress(line: str) -> None:
    """Write how far a soak is to standard error."""
    typer.echo(line, err=True)


@app.command(context_settings={"ignore_unknown_options": True})
def bench(
    name: Annotated[str, typer.Argument(help="Bench, such as placement.")],
    arguments: Annotated[
        list[str] | None, typer.Argument(help="For the bench.")
    ] = None,
    out: Annotated[Path, typer.Option(help="JSON file to write.")] = Path("bench.json"),
    seed: Annotated[int, typer.Option(help="Seed to record.")] = 1,
) -> None:
    """Run a bench and write its figures with command, machine and date.

    Example: kumquatmux-lab bench --out membership.json membership
    """
    outcome = run_bench(BenchSettings(name, seed, tuple(arguments or ())))
    if outcome.is_error():
        fail(str(outcome.error))
    result = outcome.ok
    out.write_text(json.dumps(result, indent=2) + "\n")
    for row in result["rows"]:
        typer.echo(row["text"])


@app.command()
def run(
    file: Annotated[Path, typer.Argument(help="Experiment in TOML.")],
    out: Annotated[Path, typer.Option(help="Folder for JSON and plot.")] = Path("."),
) -> None:
    """Run an experiment against the daemons on loopback; record and plot it.

    Example: kumquatmux-lab run experiments/cooperative-crest.toml --out results
    """
    read = read_experiment(read_file(file))
    if read.is_error():
        fail("\n".join(f"{file}: {problem}" for problem in read.error))
    command = f"kumquatmux-lab run {file}"
    with tempfile.TemporaryDirectory() as folder:
        outcome = run_experiment(read.ok, Path(folder) / "site", command)
    if outcome.is_error():
        fail(str(outcome.error))
    result = outcome.ok
    out.mkdir(parents=True, exist_ok=True)
    (out / f"{read.ok.name}.json").write_text(json.dumps(result, indent=1) + "\n")
    plot(result, out / f"{read.ok.name}.png")
    typer.echo(format_rows(LoadRow(**kind) for kind in result["kinds"]))
    wrong, twice = result["wrong_service"], result["run_twice"]
    typer.echo(f"requests that reached a wrong service: {wrong}; run twice: {twice}")


@app.command()
def compare(left: Path, right: Path) -> None:
    """Print the figures of two experiments side by side.

    Example: kumquatmux-lab compare before.json after.json
    """
    typer.echo(compare_results(read_result(left), read_result(right)))


def read_result(path: Path) -> ExperimentResult:
    """Return a recorded experiment."""
    try:
        result = json.loads(read_file(path))
    except json.JSONDecodeError as error:
        fail(f"{path}: is not JSON: {error}")
    if not isinstance(result, dict) or not {"kinds", "experiment", "seed"} <= set(
        result
    ):
        fail(f"{path}: is not the record of an experiment")
    return cast(ExperimentResult, result)


def read_file(path: Path) -> str:
    """Return the text of a file."""
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        fail(f"{path}: cannot be read: {error}")


def fail(text: str) -> NoReturn:
    """Say what is wrong, a line for each fault, and leave."""
    typer.echo(text, err=True)
    raise typer.Exit(EXIT_USAGE)
