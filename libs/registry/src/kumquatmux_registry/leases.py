"""Leases of backend servers, as tracked by one control VM."""

from __future__ import annotations

from collections.abc import Iterable

from expression import Error, Ok, Result

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import ServiceName, VmId
from kumquatmux_core.problems import Problem
from kumquatmux_registry.endings import Endings
from kumquatmux_registry.records import Phase, Report, ServerRecord, problem_of
from kumquatmux_registry.settings import RegistrySettings
from kumquatmux_registry.table import ServerTable, TableEntry, mark_ended


class Leases:
    """Processes server reports and marks servers as late that stop reporting.

    Attributes:
        settings: Timeouts of the registry.
        own_vm: Name of this control VM.
        table: Records of all servers, including those that report to other VMs.
        endings: Evidence that the lifetimes of servers are over.
        last_holder_message_at: Time of the latest message from each other control VM,
            in seconds of the monotonic clock.
        has_left_out: Whether a server that another VM told of was left out since the
            services were named.
    """

    def __init__(self, settings: RegistrySettings, own_vm: VmId) -> None:
        self.settings = settings
        self.own_vm = own_vm
        self.table = ServerTable()
        self.endings = Endings(settings, own_vm, self.table)
        self.last_holder_message_at: dict[VmId, float] = {}
        self.has_left_out = False

    def report(self, report: Report, now: float) -> Result[bool, Problem]:
        """Process a report; return whether the other VMs must be told of the change.

        Errors:
            ``other-server`` if the service, endpoint or zone of a known lifetime
            changed, or if a server of a service that is not named takes the name or
            endpoint of one in use; ``too-many-servers`` if the server is not known and
            there is no room for it.
        """
        name = report.lifetime.name
        if self._takes_from_one_in_use(report):
            detail = f"reports {report.service}, which is not named, in place of it"
            return Error(Problem("other-server", detail, name))
        existing = self.table.get(name)
        if existing is None and not self._make_room(report.service):
            return Error(Problem("too-many-servers", "ask again later", name))
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
        self.endings.record_report(name, now)
        if self._is_significant(report, existing):
            return Ok(self._store_report(report, now))
        renewed = existing._replace(report=report)
        entry = self.table.held[name]
        self.table.held[name] = entry._replace(record=renewed)
        return Ok(False)

    def leave(self, name: str, now: float) -> bool:
        """Process a leave call for a server; return whether the record changed.

        The call names no lifetime and may be late. The server gets no new flows until
        it reports again; ``expire`` ends its lifetime if it does not.
        """
        existing = self.table.get(name)
        if existing is None or existing.report.phase == Phase.ENDED:
            return False
        if existing.holder != self.own_vm:
            return False
        log_decision("server-left", server=existing.report.lifetime)
        self.endings.record_leave(existing.report.lifetime, now)
        if existing.is_late:
            return False
        return self.table.merge(existing.with_suspicion_toggled(), now)

    def merge(self, record: ServerRecord, now: float) -> bool:
        """Merge a record from another control VM; return whether to push an update.

        What contradicts the reports of a server to this VM is refuted: a suspicion, an
        end, or another holder. It is not if this VM said itself that the server is late
        or ended, which others tell back to it. A record out of bounds is left out, as
        it could not be told on.
        """
        problem = problem_of(record)
        if problem:
            log_decision("servers-unread", problem=problem, holder=record.holder[:64])
            return False
        is_known = record.report.lifetime.name in self.table.held
        is_refused = self._takes_from_one_in_use(record.report)
        if is_refused or not is_known and not self._admits(record):
            self.has_left_out = True
            return False
        is_contradiction = self._contradicts(record)
        changed = self.table.merge(record, now)
        if is_contradiction and self._can_refute(record, now):
            self.table.republish(record.report.lifetime.name, now)
            return True
        return changed

    def hear_holder(self, holder: VmId, now: float) -> None:
        """Record that a message from another control VM arrived."""
        self.last_holder_message_at[holder] = now

    def hear_all_of(self, other: VmId, now: float) -> None:
        """Record that another control VM told all that it knows of servers."""
        self.endings.record_told(other, now)

    def set_others(self, others: Iterable[VmId]) -> None:
        """Set the other control VMs, to each of which a server may report."""
        self.endings.set_others(others)

    def expire(self, now: float) -> bool:
        """Judge servers that stopped reporting; return whether any record changed.

        Also removes the records of servers that ended long ago.
        """
        self.endings.listening.note(now)
        has_changes = False
        for entry in list(self.table.held.values()):
            judged = self._judge(entry, now)
            if judged is not None:
                has_changes |= self.table.merge(judged, now)
        self.table.remove_ended(now - self.settings.ended_retention_s)
        self._forget_times(now)
        return has_changes

    def set_named_services(self, services: frozenset[ServiceName]) -> bool:
        """Set the services that the settings document names.

        Returns:
            Whether the other VMs must send all records again, as servers that they told
            of were left out.
        """
        is_changed = services != self.table.named_services
        is_missing = self.table.name_services(services)
        is_missing |= is_changed and self.has_left_out
        self.has_left_out &= not is_changed
        surplus = self._unnamed_count() - self.settings.max_unnamed_records
        unnamed = [
            name
            for name, entry in self.table.held.items()
            if not self._is_named(entry.record.report.service)
        ]
        for name in unnamed[: max(surplus, 0)]:
            self._forget(name)
        return is_missing

    def _judge(self, entry: TableEntry, now: float) -> ServerRecord | None:
        """Return the record that replaces one for want of reports, None to keep it."""
        record = entry.record
        if record.report.phase == Phase.ENDED:
            return None
        if self.endings.is_over(record, now):
            log_decision(
                "server-over",
                server=record.report.lifetime,
                evidence=self.endings.evidence(record),
            )
            return mark_ended(record)
        if record.is_late:
            return None
        is_overdue = self._is_overdue(record, entry.changed_at, now)
        if is_overdue or self.endings.is_suspect(record):
            return record.with_suspicion_toggled()
        return None

    def _takes_from_one_in_use(self, report: Report) -> bool:
        """Return whether a server takes what another service's server in use has.

        One that is not named takes neither name nor endpoint of one that is. While no
        document is known, none takes the name of a server of another service.
        """
        service = report.service
        name = report.lifetime.name
        if not self.table.named_services:
            return self._is_in_use(name) and not self._is_of(name, service)
        if self._is_named(service):
            return False
        names = (name, self.table.name_by_endpoint.get(report.endpoint))
        return any(self._is_in_use(one) for one in names)

    def _is_in_use(self, name: str | None) -> bool:
        entry = self.table.held.get(name) if name is not None else None
        if entry is None or entry.record.is_unused:
            return False
        return self._is_named(entry.record.report.service)

    def _is_of(self, name: str, service: ServiceName) -> bool:
        return self.table.held[name].record.report.service == service

    def _admits(self, record: ServerRecord) -> bool:
        """Return whether a server that another VM tells of may be stored.

        One that is late or ended displaces no other: two VMs would go on for ever.
        """
        service = record.report.service
        if record.is_unused:
            return self._has_room(self._is_named(service))
        return self._make_room(service)

    def _make_room(self, service: ServiceName) -> bool:
        """Return whether another server may be stored, after removing one if need be.

        A server of a named service displaces one that is late, ended or not named;
        any other displaces one that is not named and late or ended.
        """
        is_named = self._is_named(service)
        if self._has_room(is_named):
            return True
        for name, entry in self.table.held.items():
            if self._may_be_displaced(entry.record, is_named):
                self._forget(name)
                return True
        return False

    def _forget(self, name: str) -> None:
        log_decision(
            "server-forgotten", server=self.table.held[name].record.report.lifetime
        )
        self.table.remove(name)

    def _has_room(self, is_named: bool) -> bool:
        if len(self.table.held) >= self.settings.max_records:
            return False
        return is_named or self._unnamed_count() < self.settings.max_unnamed_records

    def _unnamed_count(self) -> int:
        counts = self.table.count_by_service.items()
        return sum(count for service, count in counts if not self._is_named(service))

    def _is_named(self, service: ServiceName) -> bool:
        return self.table.is_named(service)

    def _may_be_displaced(self, record: ServerRecord, by_named: bool) -> bool:
        is_named = self._is_named(record.report.service)
        if by_named:
            return record.is_unused or not is_named
        return record.is_unused and not is_named

    def _forget_times(self, now: float) -> None:
        """Drop times that no lease depends on any more."""
        self.endings.forget_unknown()
        oldest_allowed = now - self.settings.holder_silent_s
        for holder, heard_at in list(self.last_holder_message_at.items()):
            if heard_at < oldest_allowed:
                del self.last_holder_message_at[holder]

    def _contradicts(self, record: ServerRecord) -> bool:
        """Return whether a record is against what this VM says of a server it holds.

        Renewals are not told, so that another VM may take a report that was held up for
        the newest one, and itself for the holder. Two that have the same report, as its
        answer came too late, leave the matter to the next one.
        """
        existing = self.table.get(record.report.lifetime.name)
        if existing is None or existing.holder != self.own_vm or existing.is_unused:
            return False
        is_behind = record.sort_key < existing.sort_key
        return record.is_unused or (record.holder != self.own_vm and is_behind)

    def _can_refute(self, told: ServerRecord, now: float) -> bool:
        """Return whether the reports of a server to this VM have not stopped.

        After a pause of this VM its reports may wait to be read.
        """
        name = told.report.lifetime.name
        existing = self.table.get(name)
        if existing is None or existing.report.lifetime != told.report.lifetime:
            return False
        heard_at = self.endings.last_report_at.get(name)
        if existing.holder != self.own_vm or heard_at is None:
            return False
        silent_s = self.endings.listening.silent_s(heard_at, now)
        return silent_s < self.settings.late_after_s

    def _is_overdue(self, record: ServerRecord, changed_at: float, now: float) -> bool:
        """Return whether this VM has listened for too long without a word."""
        silent_s = self.endings.listening.silent_s
        if record.holder == self.own_vm:
            reported_at = self.endings.last_report_at.get(
                record.report.lifetime.name, changed_at
            )
            return silent_s(reported_at, now) > self.settings.late_after_s
        heard_at = self.last_holder_message_at.get(record.holder, changed_at)
        heard_at = max(heard_at, changed_at)
        return silent_s(heard_at, now) > self.settings.holder_silent_s

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
        name = report.lifetime.name
        existing = self.table.get(name)
        record = ServerRecord(report, self.own_vm)
        is_first = existing is None or existing.report.lifetime != report.lifetime
        was_unused = existing is not None and existing.is_unused
        if is_first:
            is_suspect = self.table.later_at_endpoint(record) is not None
        else:
            is_suspect = was_unused and self.endings.is_doubtful(record, now)
        if is_suspect:
            record = record.with_suspicion_toggled()
        changed = self.table.merge(record, now)
        if changed and is_first:
            self.endings.record_start(name, now)
        return changed
