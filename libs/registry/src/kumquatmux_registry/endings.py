"""Evidence that ends the lifetime of a backend server, and how fresh it must be.

A later start under the same name ends a lifetime at once: it takes the name's place in
the table. All other evidence may be late, or concern another lifetime: a leave call
names no lifetime, and a report at the same address may have been delayed. Such evidence
ends a lifetime only if the VM that the server reports to has had no report of it for a
while, and has heard since from all others that none of them had one. A server that
still reports refutes it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_registry.listening import Listening
from kumquatmux_registry.records import Lifetime, Phase, ServerRecord
from kumquatmux_registry.settings import RegistrySettings
from kumquatmux_registry.table import ServerTable, TableEntry


class LeaveNotice(NamedTuple):
    """Tells another control VM that a leave call came for a server.

    Only the VM that the server reports to can tell which lifetime it concerns.
    """

    sender: VmId
    name: str


MESSAGE_TYPES: dict[int, type] = {0x0608: LeaveNotice}
"""Message types by wire kind, for the message registry of a channel."""


class Endings:
    """Evidence against the servers that report to one control VM.

    Attributes:
        settings: Timeouts of the registry.
        own_vm: Name of this control VM.
        table: Records of all servers.
        last_report_at: Time of the latest report received here from each server name,
            or of a leave call that it said again, in seconds of the monotonic clock.
        steady_since: Time since which each server name has reported here without a
            break, in seconds of the monotonic clock.
        left_lifetimes: Lifetime of each server for which a leave call came since its
            latest report.
        told_at: Time at which each other control VM last told all that it knows, in
            seconds of the monotonic clock, ``-math.inf`` for never.
        listening: Silence that this VM may judge servers by; told of each look at the
            leases.
    """

    def __init__(
        self, settings: RegistrySettings, own_vm: VmId, table: ServerTable
    ) -> None:
        self.settings = settings
        self.own_vm = own_vm
        self.table = table
        self.last_report_at: dict[str, float] = {}
        self.steady_since: dict[str, float] = {}
        self.left_lifetimes: dict[str, Lifetime] = {}
        self.told_at: dict[VmId, float] = {}
        self.listening = Listening(settings.paused_after_s)

    def set_others(self, others: Iterable[VmId]) -> None:
        """Set the other control VMs, to each of which a server may report."""
        self.told_at = {vm: self.told_at.get(vm, -math.inf) for vm in others}

    def record_told(self, vm: VmId, now: float) -> None:
        """Record that another control VM told all that it knows of servers."""
        if vm in self.told_at:
            self.told_at[vm] = now

    def record_report(self, name: str, now: float) -> None:
        """Record that a server reported, which refutes a leave call before."""
        previous_at = self.last_report_at.get(name, -math.inf)
        if now > previous_at + self.settings.quiet_s or name not in self.steady_since:
            self.steady_since[name] = now
        self.last_report_at[name] = now
        self.left_lifetimes.pop(name, None)

    def record_start(self, name: str, now: float) -> None:
        """Record the first report of a lifetime, which continues no other's reports."""
        self.steady_since.pop(name, None)
        self.record_report(name, now)

    def record_leave(self, lifetime: Lifetime, now: float) -> None:
        """Record a leave call for a server that reports to this VM.

        A server that says it again got no answer and serves on until it gives up, so
        that its silence counts from then.
        """
        if self.left_lifetimes.get(lifetime.name) == lifetime:
            self.last_report_at[lifetime.name] = now
        self.left_lifetimes[lifetime.name] = lifetime

    def evidence(self, record: ServerRecord) -> str:
        """Return what speaks against a server, empty if nothing does.

        A leave call counts only against a lifetime that said that it drains: otherwise
        it is one of an earlier lifetime. A report at the same address counts if its
        server started later and still reports.
        """
        lifetime = record.report.lifetime
        has_left = self.left_lifetimes.get(lifetime.name) == lifetime
        if has_left and record.report.phase == Phase.DRAINING:
            return "left"
        claimant = self.table.later_at_endpoint(record)
        if claimant is not None and not claimant.record.is_late:
            return "address-taken"
        return ""

    def is_suspect(self, record: ServerRecord) -> bool:
        """Return whether a server has not reported since another took its address.

        It gets no new flows until it reports again.
        """
        if record.holder != self.own_vm:
            return False
        claimant = self.table.later_at_endpoint(record)
        return claimant is not None and self._has_not_reported_since(record, claimant)

    def is_doubtful(self, record: ServerRecord, now: float) -> bool:
        """Return whether a report of a server that was not in use may be a late one.

        It may while another server reports on time at its address, until it does so
        itself. The clocks of the two say nothing of which of them lives.
        """
        claimant = self.table.other_at_endpoint(record)
        if claimant is None or claimant.record.is_unused:
            return False
        steady_since = self.steady_since.get(record.report.lifetime.name, now)
        return now - steady_since < self.settings.steady_s

    def is_over(self, record: ServerRecord, now: float) -> bool:
        """Return whether a lifetime is over, as only the server's holder can tell."""
        if record.holder != self.own_vm or not self.evidence(record):
            return False
        reported_at = self.last_report_at.get(record.report.lifetime.name, -math.inf)
        is_quiet = self.listening.silent_s(reported_at, now) > self.settings.quiet_s
        is_known_to_be = self._is_still_holder(reported_at, now)
        return is_quiet and (is_known_to_be or self._is_replaced(record, now))

    def forget_unknown(self) -> None:
        """Drop what is kept of servers that are not known any more."""
        for name in self.last_report_at.keys() - self.table.held.keys():
            del self.last_report_at[name]
            self.steady_since.pop(name, None)
        for name, lifetime in list(self.left_lifetimes.items()):
            record = self.table.get(name)
            if record is None or record.report.lifetime != lifetime:
                del self.left_lifetimes[name]

    def _is_still_holder(self, reported_at: float, now: float) -> bool:
        """Return whether a quiet server reports to no other control VM either.

        One that is not heard may have its reports.
        """
        quiet_since = max(reported_at, self.listening.since) + self.settings.quiet_s
        oldest_allowed = max(quiet_since, now - self.settings.quiet_s)
        return all(told_at >= oldest_allowed for told_at in self.told_at.values())

    def _is_replaced(self, record: ServerRecord, now: float) -> bool:
        """Return whether a later start has reported steadily here from the address.

        Only one of the two can run, so that this one reports to no other VM.
        """
        claimant = self.table.later_at_endpoint(record)
        if claimant is None or claimant.record.holder != self.own_vm:
            return False
        name = claimant.record.report.lifetime.name
        reported_at = self.last_report_at.get(name, -math.inf)
        steady_s = reported_at - self.steady_since.get(name, now)
        is_on_time = self.listening.silent_s(reported_at, now) <= self.settings.quiet_s
        return is_on_time and steady_s >= self.settings.late_after_s

    def _has_not_reported_since(
        self, record: ServerRecord, claimant: TableEntry
    ) -> bool:
        name = record.report.lifetime.name
        return self.last_report_at.get(name, -math.inf) <= claimant.changed_at
