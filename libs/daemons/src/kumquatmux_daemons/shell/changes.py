"""Commands that change settings."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from kumquatmux_core.problems import Problem
from kumquatmux_daemons.commands import changes, files, text
from kumquatmux_daemons.commands.exit_codes import ExitCode
from kumquatmux_daemons.shell.base import (
    AsJson,
    Base,
    ChangeId,
    Note,
    asked,
    client_of,
    show,
    stop,
)

app = typer.Typer()


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
