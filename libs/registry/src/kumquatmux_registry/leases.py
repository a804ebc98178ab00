"""Leases of backend servers, as tracked by one control VM."""

from __future__ import annotations

import math

from expression import Error, Ok, Result

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_core.problems import Problem
from kumquatmux_registry.records import Phase, Report, ServerRecord, problem_of
from kumquatmux_registry.settings import RegistrySettings
from kumquatmux_registry.table import ServerTable, mark_ended


class Leases:
    """Processes server reports and marks servers as late that stop reporting.

    Attributes:
        settings: Timeouts of the registry.
        own_vm: Name of this control VM.
        table: Records of all servers, including those that report to other VMs.
        last_report_at: Time of the latest report received here from each server name,
            in seconds of the monotonic clock.
        last_holder_message_at: Time of the latest message from each other control VM,
            in seconds of the monotonic clock.
    """

    def __init__(self, settings: RegistrySettings, own_vm: VmId) -> None:
        self.settings = settings
        self.own_vm = own_vm
        self.table = ServerTable()
        self.last_report_at: dict[str, float] = {}
        self.last_holder_message_at: dict[VmId, float] = {}

    def report(self, report: Report, now: float) -> Result[bool, Problem]:
        """Process a report; return whether the other VMs must be told of the change.

        Errors:
            ``other-server`` if the service, endpoint or zone of a known lifetime
            changed.
        """
        name = report.lifetime.name
        existing = self.table.get(name)
        if existing is None or existing.report.lifetime != report.lifetime:
            return Ok(self._store_report(report, now))
        previous_report = existing.report
        previous_identity = (
            previous_report.service,
            previous_report.endpoint,
            previous_report.zone,
        )
        if (report.service, report.endpoint, report.zone) != previous_identity:
            detail = f"reports {report.service} at {report.endpoint}"
            return Error(Problem("other-server", detail, name))
        if report.number <= previous_report.number:
            return Ok(False)
        if previous_report.phase == Phase.ENDED and report.phase != Phase.READY:
            return Ok(False)
        self.last_report_at[name] = now
        if self._is_significant(report, existing):
            return Ok(self._store_report(report, now))
        renewed = existing._replace(report=report)
        entry = self.table.held[name]
        self.table.held[name] = entry._replace(record=renewed)
        return Ok(False)

    def leave(self, name: str, now: float) -> bool:
        """End the current lifetime of a server; return whether the record changed."""
        existing = self.table.get(name)
        if existing is None or existing.report.phase == Phase.ENDED:
            return False
        log_decision("server-left", server=existing.report.lifetime)
        return bool(self.table.merge(mark_ended(existing), now))

    def merge(self, record: ServerRecord, now: float) -> bool:
        """Merge a record from another control VM; return whether to push an update.

        A suspicion about a server that reports to this VM is refuted. A record out of
        bounds is left out, as it could not be told on.
        """
        problem = problem_of(record)
        if problem:
            log_decision("servers-unread", problem=problem, holder=record.holder[:64])
            return False
        changed = bool(self.table.merge(record, now))
        if record.is_late and self._can_refute(record, now):
            self.table.republish(record.report.lifetime.name, now)
            return True
        return changed

    def hear_holder(self, holder: VmId, now: float) -> None:
        """Record that a message from another control VM arrived."""
        self.last_holder_message_at[holder] = now

    def expire(self, now: float) -> bool:
        """Mark servers that stopped reporting as late; return whether any changed.

        Also removes the records of servers that ended long ago.
        """
        has_changes = False
        for entry in list(self.table.held.values()):
            record = entry.record
            is_settled = record.is_late or record.report.phase == Phase.ENDED
            if is_settled or not self._is_overdue(record, entry.changed_at, now):
                continue
            has_changes |= bool(self.table.merge(record.with_suspicion_toggled(), now))
        self.table.remove_ended(now - self.settings.ended_retention_s)
        return has_changes

    def _can_refute(self, suspected: ServerRecord, now: float) -> bool:
        """Return whether a suspected server has reported to this VM recently."""
        name = suspected.report.lifetime.name
        existing = self.table.get(name)
        if existing is None or existing.report.lifetime != suspected.report.lifetime:
            return False
        last_heard_at = self.last_report_at.get(name, -math.inf)
        is_recent = last_heard_at > now - self.settings.late_after_s
        return existing.holder == self.own_vm and is_recent

    def _is_overdue(self, record: ServerRecord, changed_at: float, now: float) -> bool:
        if record.holder == self.own_vm:
            last_heard_at = self.last_report_at.get(
                record.report.lifetime.name, changed_at
            )
            return last_heard_at < now - self.settings.late_after_s
        oldest_allowed = now - self.settings.holder_silent_s
        last_heard_at = max(
            self.last_holder_message_at.get(record.holder, changed_at), changed_at
        )
        return last_heard_at < oldest_allowed

    def _is_significant(self, report: Report, existing: ServerRecord) -> bool:
        previous_report = existing.report
        is_taken_over_or_recovered = existing.holder != self.own_vm or existing.is_late
        is_warm_up_over = previous_report.warm_up_s > 0 and report.warm_up_s <= 0
        is_changed = (previous_report.phase, previous_report.slots) != (
            report.phase,
            report.slots,
        )
        return is_taken_over_or_recovered or is_warm_up_over or is_changed

    def _store_report(self, report: Report, now: float) -> bool:
        record = ServerRecord(report, self.own_vm)
        changed = self.table.merge(record, now)
        if changed:
            self.last_report_at[report.lifetime.name] = now
        return bool(changed)
