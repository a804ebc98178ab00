"""Write docs/reference/ from the schemas, the routes and the command line."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import typer

from kumquatmux_daemons.cli import app
from kumquatmux_daemons.commands.exit_codes import EXIT_CODE_DOCS
from kumquatmux_daemons.operators import answers
from kumquatmux_daemons.operators.api import ROUTES, STATUS_BY_VERDICT
from kumquatmux_settings.node_schema import (
    NODE_OPTIONS,
    PEER_OPTIONS,
    PEER_REQUIRED_ALWAYS,
    PEER_REQUIRED_BY_ROLE,
    REQUIRED_ALWAYS,
    REQUIRED_BY_ROLE,
)
from kumquatmux_settings.options import Choice, Fraction, Option, Whole
from kumquatmux_settings.schema import ORDERED, SECTIONS, SERVICE, ZONE, Section

ROOT = Path(__file__).resolve().parent.parent
HEADER = "| option | kind | default | meaning |\n|---|---|---|---|"
KINDS = {
    "Whole": "whole number",
    "Fraction": "number",
    "Choice": "one of",
    "Name": "name",
    "Address": "ip:port",
    "Names": "list of names",
    "Networks": "list of networks",
    "TokenHashes": "list of hashes",
    "CurveKeys": "list of keys",
    "File": "path",
}
BODIES = (
    answers.ChangeBody,
    answers.EditBody,
    answers.OutcomeBody,
    answers.SettingsBody,
    answers.ExplainBody,
    answers.LevelBody,
    answers.HistoryBody,
    answers.RevisionBody,
    answers.StatusBody,
    answers.VmBody,
    answers.ServersBody,
    answers.ServerBody,
    answers.DrainBody,
    answers.ProblemBody,
)


def kind_text(option: Option) -> str:
    kind = KINDS[type(option).__name__]
    if isinstance(option, Whole | Fraction):
        return f"{kind}, {option.low} to {option.high} {option.unit}".rstrip()
    if isinstance(option, Choice):
        return f"{kind} {', '.join(option.choices)}"
    return kind


def option_row(option: Option, default: str | None = None) -> str:
    if default is None:
        default = "" if option.default is None else f"`{json.dumps(option.default)}`"
    return f"| `{option.name}` | {kind_text(option)} | {default} | {option.doc} |"


def section_text(section: Section, levels: str) -> str:
    rows = "\n".join(option_row(option) for option in section.options)
    return f"## {section.name}\n\n{section.doc} {levels}\n\n{HEADER}\n{rows}\n"


def node_rows(
    options: tuple[Option, ...],
    always: frozenset[str],
    by_role: dict[str, frozenset[str]],
) -> str:
    rows = []
    for option in options:
        roles = [role for role, names in by_role.items() if option.name in names]
        default = None
        if option.name in always:
            default = "required"
        elif roles:
            default = f"required for {' and '.join(roles)}"
        rows.append(option_row(option, default))
    return HEADER + "\n" + "\n".join(rows) + "\n"


def settings_page() -> str:
    parts = [
        "# Settings\n\nWritten by `scripts/reference.py` from the schemas.\n",
        "Keys of the shared tree are written `defaults.SECTION.OPTION`, "
        "`zones.ZONE.SECTION.OPTION`, `services.SERVICE.SECTION.OPTION` and "
        "`zones.ZONE.services.SERVICE.SECTION.OPTION`. For a service in a zone the "
        "nearest set value wins: service in zone, service, zone, defaults, built-in. "
        "Values of a zone are in force on the VMs of that zone.\n",
        section_text(ZONE, "Its own options stand directly under the zone."),
        section_text(SERVICE, "Its own options stand directly under the service."),
    ]
    for section in SECTIONS:
        levels = "May be set at every level."
        if not section.by_service:
            levels = "May be set under `defaults` and for a zone."
        parts.append(section_text(section, levels))
    parts.append("## Rules across options\n")
    rules = [
        f"- `{rule.section}.{rule.lower}` must not exceed "
        f"`{rule.section}.{rule.upper}`."
        for rule in ORDERED
    ]
    rules += [
        "- A zone is declared by its `region`, a service by its `address`; nothing "
        "may name an undeclared one.",
        "- Two services must not share address and protocol.",
        "- A service needs at least one entry in `announce_token_hashes`.",
        "- A service must be `closed` before its address or protocol changes or it "
        "is removed.",
    ]
    parts.append("\n".join(rules) + "\n")
    parts.append("## A process's own file\n")
    parts.append(node_rows(NODE_OPTIONS, REQUIRED_ALWAYS, REQUIRED_BY_ROLE))
    parts.append("Each `[[peers]]` table:\n")
    parts.append(node_rows(PEER_OPTIONS, PEER_REQUIRED_ALWAYS, PEER_REQUIRED_BY_ROLE))
    return "\n".join(parts)


def exit_codes_page() -> str:
    rows = [
        f"| {int(code)} | {code.name.lower()} | {doc} |"
        for code, doc in EXIT_CODE_DOCS.items()
    ]
    return "\n".join(
        [
            "# Exit codes\n\nWritten by `scripts/reference.py`.\n",
            "| code | name | meaning |",
            "|---|---|---|",
            *rows,
            "",
        ]
    )


def command_text(name: str, command: Any) -> str:
    lines = [f"## kumquatmux {name}", "", (command.help or "").strip(), ""]
    rows = []
    for parameter in command.params:
        if parameter.name == "help":
            continue
        shown = parameter.name.upper()
        if parameter.param_type_name == "option":
            shown = " ".join(parameter.opts + parameter.secondary_opts)
        help_text = (getattr(parameter, "help", None) or "").strip()
        rows.append(f"| `{shown}` | {help_text} |")
    if rows:
        lines += ["| parameter | meaning |", "|---|---|", *rows, ""]
    return "\n".join(lines)


def cli_page() -> str:
    parts = ["# Command line\n\nWritten by `scripts/reference.py`.\n"]
    root: Any = typer.main.get_command(app)
    parts.append(command_text("", root).replace("## kumquatmux ", "## Global options"))
    for name, command in root.commands.items():
        inner = getattr(command, "commands", None)
        if inner is None:
            parts.append(command_text(name, command))
            continue
        parts += [command_text(f"{name} {sub}", inner[sub]) for sub in inner]
    return "\n".join(parts)


def http_page() -> str:
    parts = [
        "# Operators' HTTP API\n\nWritten by `scripts/reference.py`.\n",
        "HTTPS on each control VM's `operators` endpoint, with the header "
        "`Authorization: Bearer TOKEN`. Refusals carry a `problem` object.\n",
        "| method | path | token | meaning |\n|---|---|---|---|",
        "\n".join(
            f"| {doc.method} | `{doc.path}` | {doc.access} | {doc.doc} |"
            for doc in ROUTES
        ),
        "\n## Outcomes of a change\n",
        "| verdict | status |\n|---|---|",
        "\n".join(f"| {v} | {status} |" for v, status in STATUS_BY_VERDICT.items()),
        "\nA control VM that does not lead answers 307 with the leader's address, or "
        "503 if it knows none: the change was not taken. 504 means that the outcome "
        "is not known: resend the same body, the change runs once.\n",
        "## Bodies\n",
    ]
    for body in BODIES:
        fields = ", ".join(f"`{name}`" for name in body.__annotations__)
        summary = (body.__doc__ or "").strip().splitlines()[0]
        parts.append(f"- **{body.__name__}**: {summary} Fields: {fields}.")
    return "\n".join(parts) + "\n"


def outputs() -> dict[str, str]:
    """Return every page, by file name."""
    return {
        "settings.md": settings_page(),
        "exit-codes.md": exit_codes_page(),
        "cli.md": cli_page(),
        "http.md": http_page(),
    }


def main() -> int:
    for name, text in outputs().items():
        (ROOT / "docs" / "reference" / name).write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
