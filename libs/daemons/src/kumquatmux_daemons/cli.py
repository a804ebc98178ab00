"""The command line: parses, calls a command, prints and exits."""

from __future__ import annotations

import datetime
import json
import sys
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer
from expression import Result

from kumquatmux_core.problems import Problem
from kumquatmux_daemons.commands import changes, files, new_keys, text
from kumquatmux_daemons.commands.client import (
    ClientSettings,
    Failure,
    OperatorsClient,
    open_client,
)
from kumquatmux_daemons.commands.exit_codes import ExitCode
from kumquatmux_daemons.commands.run import run_daemon

app = typer.Typer(
    help="Run kumquatmux and drive it through its settings.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    epilog="Exit codes are listed in docs/reference/exit-codes.md.",
)
keys_app = typer.Typer(help="Make keys, certificates and tokens.", no_args_is_help=True)
app.add_typer(keys_app, name="keys")

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


@app.callback()
def connect(
    context: typer.Context,
    api: Annotated[
        list[str] | None,
        typer.Option(
            envvar="KUMQUATMUX_API",
            help="ip:port of a control VM's operators' API; may be repeated.",
        ),
    ] = None,
    token_file: Annotated[
        Path | None,
        typer.Option(envvar="KUMQUATMUX_TOKEN_FILE", help="File with your token."),
    ] = None,
    certificate_file: Annotated[
        Path | None,
        typer.Option(
            envvar="KUMQUATMUX_CERTIFICATE_FILE",
            help="PEM certificates of the control VMs, one after the other.",
        ),
    ] = None,
) -> None:
    """Run kumquatmux and drive it through its settings."""
    given = context.obj or ClientSettings()
    context.obj = given._replace(
        endpoints=tuple(api or given.endpoints),
        token_file=token_file or given.token_file,
        certificate_file=certificate_file or given.certificate_file,
    )


@app.command()
def entry(config: Config) -> None:
    """Run the entry daemon of this VM.

    Example: kumquatmux entry --config /etc/kumquatmux/entry.toml
    """
    raise typer.Exit(run_daemon("entry", config))


@app.command()
def control(
    config: Config,
    found: Annotated[
        bool,
        typer.Option(help="Found a new cluster if the data folder is empty."),
    ] = False,
) -> None:
    """Run the control daemon of this VM.

    Give --found on one VM only, at the very first start of a deployment.

    Example: kumquatmux control --config /etc/kumquatmux/control.toml
    """
    raise typer.Exit(run_daemon("control", config, found=found))


@app.command("set")
def set_key(
    context: typer.Context,
    key: Annotated[str, typer.Argument(help="Dotted key.")],
    value: Annotated[str, typer.Argument(help="JSON, or plain text.")],
    note: Note = "",
    base: Base = None,
    change_id: ChangeId = None,
    as_json: AsJson = False,
) -> None:
    """Set one key.

    Example: kumquatmux set zones.cnx-a.placement.hold_ms 300 --note "show opens"
    """
    edit = changes.EditBody(path=key, value=changes.read_value(value))
    wish = changes.Wish((edit,), -1, note, base, change_id)
    change(context, wish, as_json)


@app.command()
def unset(
    context: typer.Context,
    key: Annotated[str, typer.Argument(help="Dotted key.")],
    note: Note = "",
    base: Base = None,
    change_id: ChangeId = None,
    as_json: AsJson = False,
) -> None:
    """Unset one key, so that the value of the level above is in force.

    Example: kumquatmux unset zones.cnx-a.placement.hold_ms
    """
    wish = changes.Wish((changes.EditBody(path=key),), -1, note, base, change_id)
    change(context, wish, as_json)


@app.command()
def undo(
    context: typer.Context,
    to: Annotated[
        int | None,
        typer.Option(help="Revision to go back to; by default the one before."),
    ] = None,
    note: Note = "",
    base: Base = None,
    change_id: ChangeId = None,
    as_json: AsJson = False,
) -> None:
    """Restore the values of an earlier revision by a new one.

    Example: kumquatmux undo --to 41 --note "as agreed in May"
    """
    if to is None and base is None:
        body = asked(client_of(context).get("/v1/settings", prefix="none"), as_json)
        base = int(body["revision"])
    target = to if to is not None else int(base or 0) - 1
    if target < 0:
        stop(ExitCode.USAGE, Problem("undo", "there is nothing to undo"), as_json)
    change(context, changes.Wish((), target, note, base, change_id), as_json)


@app.command()
def apply(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="TOML file with a tree.")],
    prune: Annotated[
        bool, typer.Option(help="Unset the keys that the file lacks.")
    ] = False,
    note: Note = "",
    base: Base = None,
    change_id: ChangeId = None,
    as_json: AsJson = False,
) -> None:
    """Bring a tree file into force as one change.

    Example: kumquatmux apply tree.toml --note "first settings"
    """
    revision, edits = compare(context, file, prune, as_json)
    if not edits and change_id is None:
        body = {"verdict": "unchanged", "revision": revision}
        show(body, f"nothing to change at revision {revision}", as_json)
        return
    base = revision if base is None else base
    change(context, changes.Wish(edits, -1, note, base, change_id), as_json)


@app.command()
def diff(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="TOML file with a tree.")],
    prune: Annotated[
        bool, typer.Option(help="Also show the keys that the file lacks.")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Show what apply would change.

    Example: kumquatmux diff tree.toml
    """
    revision, edits = compare(context, file, prune, as_json)
    lines = [text.edit_text(edit) for edit in edits]
    body = {"revision": revision, "edits": list(edits)}
    show(body, "\n".join(lines) or "no difference", as_json)
    raise typer.Exit(ExitCode.DIFFERS if edits else ExitCode.OK)


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


@keys_app.command("new")
def keys_new(
    name: Annotated[str, typer.Argument(help="Name of the process.")],
    ip: Annotated[list[str], typer.Option(help="IPv4 number of it; repeatable.")],
    folder: Annotated[Path, typer.Option(help="Where the files go.")] = Path("."),
    as_json: AsJson = False,
) -> None:
    """Make a CURVE key and a certificate for one process.

    Example: kumquatmux keys new cnx-a-1 --ip 10.0.0.1 --folder /etc/kumquatmux
    """
    now = datetime.datetime.now(datetime.UTC)
    made = new_keys.make_node_keys(name, tuple(ip), folder, now)
    if made.is_error():
        stop(ExitCode.USAGE, made.error, as_json)
    lines = [f"public key: {made.ok.public_key}"]
    lines += [f"wrote {file}" for file in made.ok.files]
    show(made.ok._asdict(), "\n".join(lines), as_json)


@keys_app.command("packets")
def keys_packets(
    file: Annotated[Path, typer.Argument(help="File to write.")],
    as_json: AsJson = False,
) -> None:
    """Make the key that all entry VMs share for passed packets.

    Example: kumquatmux keys packets /etc/kumquatmux/packets.key
    """
    made = new_keys.make_packet_key(file)
    if made.is_error():
        stop(ExitCode.USAGE, made.error, as_json)
    show({"file": str(file)}, f"wrote {file}", as_json)


@keys_app.command("token")
def keys_token(as_json: AsJson = False) -> None:
    """Make a token with its hash.

    Example: kumquatmux keys token
    """
    made = new_keys.make_token()
    lines = f"token:  {made.token}\nsha256: {made.sha256}"
    show(made._asdict(), lines, as_json)


def client_of(context: typer.Context) -> OperatorsClient:
    """Return a client for the control VMs, or exit."""
    opened = open_client(context.obj)
    if opened.is_error():
        stop(opened.error.code, opened.error.problem, as_json=False)
    return opened.ok


def change(context: typer.Context, wish: changes.Wish, as_json: bool) -> None:
    """Send a change and print its outcome."""
    client = client_of(context)
    prepared = asked(changes.prepare(client, wish), as_json)
    change_id, base = prepared["change_id"], prepared["base_revision"]
    typer.echo(f"change {change_id} based on revision {base}", err=True)
    body = asked(changes.send(client, prepared), as_json)
    show(body, text.outcome_text(body), as_json)


def compare(
    context: typer.Context, file: Path, prune: bool, as_json: bool
) -> tuple[int, tuple[changes.EditBody, ...]]:
    """Return the revision in force and the edits towards a tree file."""
    body = asked(client_of(context).get("/v1/settings"), as_json)
    edits = files.edits_towards(file, body["values"], prune=prune)
    if edits.is_error():
        stop(ExitCode.INVALID, edits.error[0], as_json)
    return int(body["revision"]), edits.ok


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


if __name__ == "__main__":
    sys.exit(app())
