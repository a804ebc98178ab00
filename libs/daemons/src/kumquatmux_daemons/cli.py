"""The command line: what it is made of, and the daemons."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer

from kumquatmux_daemons.commands.client import ClientSettings
from kumquatmux_daemons.commands.run import run_daemon
from kumquatmux_daemons.shell import changes, keys, views
from kumquatmux_daemons.shell.base import Config

app = typer.Typer(
    help="Run kumquatmux and drive it through its settings.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    epilog="Exit codes are listed in docs/reference/exit-codes.md.",
)


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


app.add_typer(changes.app)
app.add_typer(views.app)
app.add_typer(keys.app, name="keys")


if __name__ == "__main__":
    sys.exit(app())
