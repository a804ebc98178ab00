"""Load reports of one entry VM to the other VMs of its zone."""

from __future__ import annotations

import math

from kumquatmux_core.identity import VmId
from kumquatmux_tokens.directory import ServerDirectory
from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.placers import CoordinatorSelector
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.work import LoadShare, OutgoingReports, ServerLoad


class LoadReporter:
    """Decides which load reports are due, and to whom.

    Attributes:
        outgoing_reports: State of the load reports to each other VM, by receiver.
        report_count: Number of load reports sent.
        reported_at: Time when load reports were last prepared.
    """

    def __init__(
        self,
        settings: TokenRouterSettings,
        directory: ServerDirectory,
        load_tracker: LoadTracker,
        coordinators: CoordinatorSelector,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.load_tracker = load_tracker
        self.coordinators = coordinators
        self.outgoing_reports: dict[VmId, OutgoingReports] = {}
        self.report_count = 0
        self.reported_at = -math.inf

    def due_at(self) -> float:
        """Return when load reports are due next, infinity if there is nothing new.

        A change of load is reported after an interval that grows with the zone, which
        limits what a coordinator receives. Without changes only the complete reports
        are due, which a VM without any load does not send.
        """
        if not self.coordinators.has_other_vms:
            return math.inf
        tracker = self.load_tracker
        if tracker.has_unreported_change:
            return self.reported_at + self.settings.report_interval_s(
                len(self.coordinators.entry_vms)
            )
        if not self.outgoing_reports:
            return math.inf
        return min(one.next_complete_at for one in self.outgoing_reports.values())

    def due_reports(self, now: float) -> list[tuple[VmId, LoadShare]]:
        """Return the load reports that are due, each with its receiver."""
        self.reported_at = now
        self.load_tracker.has_unreported_change = False
        loads_by_receiver = self._loads_by_receiver(now)
        due_reports = []
        for vm in loads_by_receiver.keys() | self.outgoing_reports.keys():
            if vm not in self.coordinators.entry_vms:
                self.outgoing_reports.pop(vm, None)
                continue
            load_report = self.reports_to(vm).next_report(
                self.settings.vm,
                self.report_count + 1,
                loads_by_receiver.get(vm, []),
                now,
                self.settings.complete_report_interval_s,
            )
            if load_report is not None:
                self.report_count += 1
                due_reports.append((vm, load_report))
        return due_reports

    def reports_to(self, vm: VmId) -> OutgoingReports:
        """Return the state of the load reports to another VM."""
        return self.outgoing_reports.setdefault(vm, OutgoingReports())

    def _loads_by_receiver(self, now: float) -> dict[VmId, list[ServerLoad]]:
        """Return the load to report to each other VM.

        In a zone with more than ``full_reporting_max_vms`` entry VMs, the load on a
        server is reported only to the placement coordinator of its service.
        """
        loads = self.load_tracker.reportable_loads(now)
        receivers = self.coordinators.other_vms
        if len(receivers) < self.settings.full_reporting_max_vms:
            return {vm: loads for vm in receivers}
        by_receiver: dict[VmId, list[ServerLoad]] = {}
        for server_load in loads:
            entry = self.directory.by_token.get(server_load.token)
            if entry is None:
                continue
            coordinator = self.coordinators.coordinator_for(
                entry.record.report.service, now
            )
            if coordinator != self.settings.vm:
                by_receiver.setdefault(coordinator, []).append(server_load)
        return by_receiver
