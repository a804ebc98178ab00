"""Commands that show settings and the system, and act on its VMs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from kumquatmux_daemons.commands import files, text
from kumquatmux_daemons.commands.exit_codes import ExitCode
from kumquatmux_daemons.shell.base import (
    AsJson,
    asked,
    client_of,
    show,
)

app = typer.Typer()


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="A process's own file or a tree file.")],
    as_json: AsJson = False,
) -> None:
    """Check a settings file without any control VM.

    Example: kumquatmux check /etc/kumquatmux/entry.toml
    """
    found = files.check_file(file)
    body = {
        "kind": found.kind,
        "problems": [problem._asdict() for problem in found.problems],
        "warnings": [warning._asdict() for warning in found.warnings],
    }
    lines = [f"warning: {warning}" for warning in found.warnings]
    lines += [str(problem) for problem in found.problems]
    show(body, "\n".join(lines) or f"{file}: a sound {found.kind} file", as_json)
    raise typer.Exit(ExitCode.INVALID if found.problems else ExitCode.OK)


@app.command()
def get(
    context: typer.Context,
    prefix: Annotated[str, typer.Argument(help="Key or the begin of keys.")] = "",
    as_json: AsJson = False,
) -> None:
    """Show the values that are set.

    Example: kumquatmux get zones.cnx-a
    """
    body = asked(client_of(context).get("/v1/settings", prefix=prefix), as_json)
    show(body, text.settings_text(body), as_json)


@app.command()
def explain(
    context: typer.Context,
    option: Annotated[str, typer.Argument(help="section.option, or a full key.")],
    zone: Annotated[str, typer.Option(help="Availability zone.")] = "",
    service: Annotated[str, typer.Option(help="Service.")] = "",
    as_json: AsJson = False,
) -> None:
    """Show a value in force and the level that gave it.

    Example: kumquatmux explain placement.hold_ms --zone cnx-a --service entries
    """
    client = client_of(context)
    answer = client.get("/v1/explain", option=option, zone=zone, service=service)
    body = asked(answer, as_json)
    show(body, text.explain_text(body), as_json)


@app.command()
def history(
    context: typer.Context,
    limit: Annotated[int, typer.Option(help="Changes shown at most.")] = 20,
    as_json: AsJson = False,
) -> None:
    """Show accepted changes, newest first.

    Example: kumquatmux history --limit 5
    """
    body = asked(client_of(context).get("/v1/history", limit=limit), as_json)
    show(body, text.history_text(body), as_json)


@app.command("change")
def outcome(
    context: typer.Context,
    change_id: Annotated[str, typer.Argument(help="Id printed by an earlier command.")],
    as_json: AsJson = False,
) -> None:
    """Show what became of a change.

    Example: kumquatmux change 6a1b2c3d-0f0f0f0f
    """
    body = asked(client_of(context).get(f"/v1/changes/{change_id}"), as_json)
    show(body, text.outcome_text(body), as_json)


@app.command()
def status(context: typer.Context, as_json: AsJson = False) -> None:
    """Show all VMs and backend servers on one screen.

    Example: kumquatmux status
    """
    body = asked(client_of(context).get("/v1/status"), as_json)
    show(body, text.status_text(body), as_json)


@app.command()
def servers(context: typer.Context, as_json: AsJson = False) -> None:
    """Show all backend servers.

    Example: kumquatmux servers --json
    """
    body = asked(client_of(context).get("/v1/servers"), as_json)
    show(body, text.servers_text(body["servers"]), as_json)


@app.command("control-vms")
def control_vms(
    context: typer.Context,
    vms: Annotated[list[str], typer.Argument(help="All control VMs: 1, 3 or 5.")],
    as_json: AsJson = False,
) -> None:
    """Name the control VMs there are to be; each joins as its daemon answers.

    Example: kumquatmux control-vms cnx-a-control cnx-b-control lpg-a-control-2
    """
    body = asked(client_of(context).post("/v1/control-vms", {"vms": vms}), as_json)
    show(body, f"control VMs are to be {', '.join(body['vms'])}", as_json)


@app.command()
def drain(
    context: typer.Context,
    server: Annotated[str, typer.Argument(help="ip:port of the backend server.")],
    as_json: AsJson = False,
) -> None:
    """Give a backend server no new work; its open flows go on.

    Example: kumquatmux drain 10.1.0.9:80
    """
    body = asked(client_of(context).post(f"/v1/servers/{server}/drain", {}), as_json)
    show(body, f"{body['server']} drains, told to {body['holder']}", as_json)
