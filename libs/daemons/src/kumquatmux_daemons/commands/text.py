"""Answers of the operators' API as text for a terminal."""

from __future__ import annotations

import datetime
import json
from typing import Any

from kumquatmux_daemons.operators.answers import (
    EditBody,
    ExplainBody,
    HistoryBody,
    OutcomeBody,
    ServerBody,
    SettingsBody,
    StatusBody,
    VmBody,
)

STALE_S = 5.0
NEVER = "never"


def outcome_text(body: OutcomeBody) -> str:
    """Return what became of a change."""
    text = f"{body['verdict']} as revision {body['revision']}"
    return f"{text} (change {body['change_id']})"


def settings_text(body: SettingsBody) -> str:
    """Return values, one a line."""
    lines = [f"{path} = {json.dumps(v)}" for path, v in body["values"].items()]
    lines.append(f"# revision {body['revision']}, {_staleness(body['staleness_s'])}")
    return "\n".join(lines)


def explain_text(body: ExplainBody) -> str:
    """Return a value and the levels it could come from."""
    lines = [f"{body['option']} = {json.dumps(body['value'])}"]
    for level in body["levels"]:
        mark = ">" if level["wins"] else " "
        value = "-" if level["value"] is None else json.dumps(level["value"])
        lines.append(f"{mark} {level['path']}: {value}")
    return "\n".join(lines)


def history_text(body: HistoryBody) -> str:
    """Return accepted changes with their edits, newest first."""
    lines = []
    for past in body["revisions"]:
        at = datetime.datetime.fromtimestamp(past["at"], datetime.UTC)
        head = f"{past['revision']}  {at:%Y-%m-%d %H:%M:%SZ}  {past['operator']}"
        lines.append(f"{head}  {past['change_id']}  {past['note']}".rstrip())
        lines += [f"    {edit_text(edit)}" for edit in past["edits"]]
    return "\n".join(lines) or "no changes yet"


def edit_text(edit: EditBody) -> str:
    """Return one key set or unset."""
    if "value" not in edit:
        return f"unset {edit['path']}"
    return f"set {edit['path']} = {json.dumps(edit['value'])}"


def servers_text(servers: list[ServerBody]) -> str:
    """Return backend servers as a table."""
    rows = [["SERVICE", "SERVER", "ZONE", "STATE", "SLOTS", "FLOWS", "HOLDER"]]
    for body in servers:
        slots = f"{_known(body['busy'])}/{body['slots']}"
        flows = f"{_known(body['open'])}/{body['connections']}"
        rows.append(
            [
                body["service"],
                body["server"],
                body["zone"],
                body["state"],
                slots,
                flows,
                body["holder"] or "-",
            ]
        )
    return _table(rows)


def status_text(body: StatusBody) -> str:
    """Return the whole system on one screen."""
    accepts = "changes are accepted" if body["can_accept"] else "NO CHANGE IS ACCEPTED"
    leader = body["leader"] or "nobody"
    lines = [f"revision {body['revision']}, {leader} leads, {accepts}", ""]
    rows = [
        ["ZONE", "VM", "ROLE", "STATE", "REVISION", "STALENESS", "FLOWS", "REFUSED"]
    ]
    for vm in sorted(body["vms"], key=lambda each: (each["zone"], each["vm"])):
        rows.append(_vm_row(vm, body["revision"]))
    lines += [_table(rows), "", servers_text(body["servers"])]
    failures = [(vm["vm"], text) for vm in body["vms"] for text in vm["failures"]]
    if failures:
        lines += ["", "LAST FAILURES"]
        lines += [f"{vm}: {text}" for vm, text in failures]
    return "\n".join(lines)


def _vm_row(vm: VmBody, newest: int) -> list[str]:
    revision = "-" if vm["revision"] is None else str(vm["revision"])
    if vm["revision"] is not None and vm["revision"] < newest:
        revision += " BEHIND"
    staleness = "-" if vm["revision"] is None else _staleness(vm["staleness_s"])
    is_entry = vm["role"] == "entry"
    flows, refused = str(vm["flows"]), str(vm["refused"])
    return [
        vm["zone"],
        vm["vm"],
        vm["role"],
        vm["state"],
        revision,
        staleness,
        flows if is_entry else "-",
        refused if is_entry else "-",
    ]


def _staleness(seconds: float | None) -> str:
    if seconds is None:
        return f"{NEVER} confirmed"
    mark = " STALE" if seconds > STALE_S else ""
    return f"{seconds:.1f} s{mark}"


def _known(number: int) -> str:
    return "?" if number < 0 else str(number)


def _table(rows: list[list[Any]]) -> str:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
