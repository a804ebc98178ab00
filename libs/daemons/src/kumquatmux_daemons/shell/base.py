"""What every command shares: options, the client, printing and exiting."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer
from expression import Result

from kumquatmux_core.problems import Problem
from kumquatmux_daemons.commands.client import Failure, OperatorsClient, open_client
from kumquatmux_daemons.commands.exit_codes import ExitCode

AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Note = Annotated[str, typer.Option(help="Why, for the history.")]
Base = Annotated[
    int | None,
    typer.Option(help="Revision the change is based on; by default the one in force."),
]
ChangeId = Annotated[
    str | None, typer.Option(help="Resend an earlier change under its id.")
]
Config = Annotated[Path, typer.Option(help="The process's own settings file.")]


def client_of(context: typer.Context) -> OperatorsClient:
    """Return a client for the control VMs, or exit."""
    opened = open_client(context.obj)
    if opened.is_error():
        stop(opened.error.code, opened.error.problem, as_json=False)
    return opened.ok


def asked(answer: Result[Any, Failure], as_json: bool) -> Any:
    """Return an answer, or print why there is none and exit."""
    if answer.is_error():
        failure = answer.error
        stop(failure.code, failure.problem, as_json, failure.body)
    return answer.ok


def show(body: Any, lines: str, as_json: bool) -> None:
    """Print an answer as JSON or as text."""
    typer.echo(json.dumps(body, indent=2) if as_json else lines)


def stop(code: ExitCode, problem: Problem, as_json: bool, body: Any = None) -> NoReturn:
    """Print one line and exit."""
    if as_json:
        answer = body if isinstance(body, dict) else {"problem": problem._asdict()}
        typer.echo(json.dumps(answer, indent=2))
    else:
        typer.echo(f"{code.name.lower()}: {problem}", err=True)
    raise typer.Exit(code)
