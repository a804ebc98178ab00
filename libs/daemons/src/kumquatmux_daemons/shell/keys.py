"""Commands that make keys, certificates and tokens."""

from __future__ import annotations

import datetime
from pathlib import Path
from typing import Annotated

import typer

from kumquatmux_daemons.commands import new_keys
from kumquatmux_daemons.commands.exit_codes import ExitCode
from kumquatmux_daemons.shell.base import (
    AsJson,
    show,
    stop,
)

app = typer.Typer(help="Make keys, certificates and tokens.", no_args_is_help=True)


@app.command("new")
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


@app.command("packets")
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


@app.command("token")
def keys_token(as_json: AsJson = False) -> None:
    """Make a token with its hash.

    Example: kumquatmux keys token
    """
    made = new_keys.make_token()
    lines = f"token:  {made.token}\nsha256: {made.sha256}"
    show(made._asdict(), lines, as_json)
