"""Collects the names that leave the process from the code as it is loaded."""

from __future__ import annotations

import inspect
from enum import Enum
from typing import Any, get_args, get_type_hints, is_typeddict

import msgspec
import typer

from kumquatmux_core.problems import Problem
from kumquatmux_daemons.announce import requests
from kumquatmux_daemons.cli import app as operators_app
from kumquatmux_daemons.commands.exit_codes import ExitCode
from kumquatmux_daemons.commands.new_keys import NewKeys, NewToken
from kumquatmux_daemons.operators import answers
from kumquatmux_daemons.operators.desk import Handling
from kumquatmux_flows.events import Stage
from kumquatmux_flows.refusals import Refusal
from kumquatmux_lab import bench, machine
from kumquatmux_lab.benches.agreement import Figures
from kumquatmux_lab.benches.membership import LeaseTraffic
from kumquatmux_lab.benches.placement import Row
from kumquatmux_lab.benches.tokens import TokenCosts
from kumquatmux_lab.cli import app as lab_app
from kumquatmux_lab.experiments import result
from kumquatmux_lab.queueing import figures
from kumquatmux_membership.events import LeaseState
from kumquatmux_placement.events import Outcome
from kumquatmux_platform import calls, manifest, node_file
from kumquatmux_registry.records import Phase
from kumquatmux_settings.change import Verdict
from kumquatmux_settings.node_schema import NODE_OPTIONS, PEER_OPTIONS
from kumquatmux_settings.schema import SECTIONS, SERVICE, ZONE

ENUMS = (LeaseState, Phase, Stage, ExitCode)
VALUES = (Refusal, Verdict)
RECORDS = (Problem, NewKeys, NewToken, Figures, LeaseTraffic, TokenCosts)
BODY_MODULES = (answers, requests, bench, machine, result, figures)
STRUCT_MODULES = (calls, manifest, node_file)


def members(kind: type[Enum]) -> dict[str, Any]:
    """Return the members of an enum with their values."""
    return {one.name: one.value for one in kind}


def typed_dicts(module: Any) -> dict[str, list[str]]:
    """Return the fields of the typed dicts that a module defines."""
    return {
        name: list(kind.__annotations__)
        for name, kind in vars(module).items()
        if is_typeddict(kind) and kind.__module__ == module.__name__
    }


def structs(module: Any) -> dict[str, list[str]]:
    """Return the encoded fields of the structs that a module defines."""
    return {
        name: [field.encode_name for field in msgspec.structs.fields(kind)]
        for name, kind in vars(module).items()
        if inspect.isclass(kind)
        and issubclass(kind, msgspec.Struct)
        and kind.__module__ == module.__name__
    }


def commands(app: typer.Typer) -> dict[str, list[str]]:
    """Return the commands of an app with the spellings of their parameters."""
    found: dict[str, list[str]] = {}

    def collect(path: str, command: Any) -> None:
        found[path] = [
            f"{parameter.name} {' '.join(parameter.opts)}"
            for parameter in command.params
        ]
        for name, inner in getattr(command, "commands", {}).items():
            collect(f"{path} {name}", inner)

    collect("", typer.main.get_command(app))
    return found


def outer_names() -> dict[str, Any]:
    """Return all names that leave the process, by where they come from."""
    return {
        "members": [members(kind) for kind in ENUMS],
        "values": [list(kind) for kind in VALUES],
        "records": {kind.__name__: list(kind._fields) for kind in RECORDS},
        "outcomes": {
            kind.__name__.lower(): list(kind._fields) for kind in get_args(Outcome)
        },
        "told": sorted(f"told.{kind.__name__.lower()}" for kind in get_args(Handling)),
        "bodies": [typed_dicts(module) for module in BODY_MODULES],
        "rows": list(get_type_hints(Row)),
        "structs": [structs(module) for module in STRUCT_MODULES],
        "operators": commands(operators_app),
        "lab": commands(lab_app),
        "options": {
            section.name: [option.name for option in section.options]
            for section in (ZONE, SERVICE, *SECTIONS)
        },
        "node": [option.name for option in (*NODE_OPTIONS, *PEER_OPTIONS)],
    }
