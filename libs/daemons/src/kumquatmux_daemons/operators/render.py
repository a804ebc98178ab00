"""Typed values as the JSON bodies of the operators' API."""

from __future__ import annotations

import json
import math

from kumquatmux_core.problems import Problem
from kumquatmux_daemons.operators.answers import (
    EditBody,
    ExplainBody,
    OutcomeBody,
    ProblemBody,
    RevisionBody,
    ServerBody,
    SettingsBody,
    StatusBody,
    VmBody,
)
from kumquatmux_daemons.operators.desk import EntryVm, Overview, PastRevision, Tree
from kumquatmux_settings.change import ChangeOutcome, Edit
from kumquatmux_settings.tree import Explanation

MS_PER_S = 1000.0


def problem_body(problem: Problem) -> ProblemBody:
    """Return a problem as JSON."""
    return ProblemBody(
        code=problem.code, detail=problem.detail, subject=problem.subject
    )


def outcome_body(outcome: ChangeOutcome) -> OutcomeBody:
    """Return an outcome as JSON."""
    return OutcomeBody(
        change_id=outcome.change_id,
        verdict=str(outcome.verdict),
        revision=outcome.revision,
        detail=outcome.detail,
    )


def settings_body(tree: Tree, prefix: str) -> SettingsBody:
    """Return the part of a tree under a prefix as JSON."""
    values = {
        path: json.loads(text)
        for path, text in sorted(tree.values.items())
        if _is_under(path, prefix)
    }
    return SettingsBody(
        vm=tree.vm,
        leader=tree.leader,
        revision=tree.revision,
        digest=tree.digest,
        staleness_s=_finite(tree.staleness_s),
        values=values,
    )


def explain_body(told: Explanation, revision: int) -> ExplainBody:
    """Return an explanation as JSON."""
    return ExplainBody(
        option=told.option,
        zone=told.zone,
        service=told.service,
        revision=revision,
        value=json.loads(told.value),
        source=told.source,
        levels=[
            {
                "path": level.path,
                "value": None if level.value is None else json.loads(level.value),
                "wins": level.wins,
            }
            for level in told.levels
        ],
    )


def revision_body(past: PastRevision) -> RevisionBody:
    """Return one accepted change as JSON."""
    return RevisionBody(
        revision=past.revision,
        change_id=past.change_id,
        operator=past.operator,
        note=past.note,
        at=past.at,
        edits=[_edit_body(edit) for edit in past.edits],
    )


def status_body(tree: Tree, overview: Overview) -> StatusBody:
    """Return the whole system as JSON."""
    vms = [
        VmBody(
            vm=member.vm,
            zone=member.zone,
            role="control",
            state=member.state,
            revision=tree.revision if member.vm == tree.vm else None,
            staleness_s=_finite(tree.staleness_s) if member.vm == tree.vm else None,
            flows=0,
            refused=0,
            failures=list(overview.failures) if member.vm == tree.vm else [],
        )
        for member in overview.control
    ]
    vms += [_entry_body(member) for member in overview.entry]
    return StatusBody(
        vm=tree.vm,
        leader=tree.leader,
        can_accept=overview.can_accept,
        revision=tree.revision,
        vms=vms,
        servers=server_bodies(overview),
    )


def server_bodies(overview: Overview) -> list[ServerBody]:
    """Return each backend server once, by its holder's word if that answered."""
    found: dict[str, ServerBody] = {}
    for member in overview.entry:
        for server in member.report.servers if member.report else ():
            if server.server in found and not server.is_holder:
                continue
            found[server.server] = ServerBody(
                server=server.server,
                service=server.service,
                zone=server.zone,
                state=server.state,
                slots=server.slots,
                busy=server.busy,
                connections=server.connections,
                open=server.open,
                holder=member.vm if server.is_holder else "",
            )
    return sorted(found.values(), key=lambda body: (body["service"], body["server"]))


def _entry_body(member: EntryVm) -> VmBody:
    report = member.report
    if report is None:
        return VmBody(
            vm=member.vm,
            zone=member.zone,
            role="entry",
            state="unreachable",
            revision=None,
            staleness_s=None,
            flows=0,
            refused=0,
            failures=[],
        )
    staleness_s = report.staleness_ms / MS_PER_S if report.staleness_ms >= 0 else None
    return VmBody(
        vm=member.vm,
        zone=member.zone,
        role="entry",
        state="up",
        revision=report.revision,
        staleness_s=staleness_s,
        flows=report.flows,
        refused=report.refused,
        failures=list(report.failures),
    )


def _edit_body(edit: Edit) -> EditBody:
    if edit.value is None:
        return EditBody(path=edit.path)
    return EditBody(path=edit.path, value=json.loads(edit.value))


def _is_under(path: str, prefix: str) -> bool:
    return not prefix or path == prefix or path.startswith(prefix + ".")


def _finite(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
