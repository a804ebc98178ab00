"""The laboratory's command line: fault runs, benches and experiments."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from kumquatmux_lab.bench import BenchSettings, run_bench
from kumquatmux_lab.soak import SoakSettings, format_report, known_kinds
from kumquatmux_lab.soak import soak as run_soak

app = typer.Typer(
    help="Break, measure and compare kumquatmux on one machine.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
EXIT_VIOLATION = 1
EXIT_USAGE = 2


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
    reports = run_soak(SoakSettings(seed, runs, chosen, workers))
    for report in reports:
        typer.echo(format_report(report))
    if any(report.violations for report in reports):
        raise typer.Exit(EXIT_VIOLATION)


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


def fail(text: str) -> NoReturn:
    """Say what is wrong, a line for each fault, and leave."""
    typer.echo(text, err=True)
    raise typer.Exit(EXIT_USAGE)
