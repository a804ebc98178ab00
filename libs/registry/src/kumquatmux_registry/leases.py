"""Leases of the backend servers that report to one control VM."""

from __future__ import annotations

import math

from expression import Error, Ok, Result

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_core.problems import Problem
from kumquatmux_registry.records import Phase, Report, ServerRecord
from kumquatmux_registry.settings import RegistrySettings
from kumquatmux_registry.table import ServerTable, ended


class Leases:
    """Takes reports and calls servers late that stop reporting.

    Attributes:
        me: This control VM.
        table: All that is known of servers.
        heard: When each server reported here last, in steady seconds.
        holders: When each other control VM was heard last, in steady seconds.
    """

    def __init__(self, settings: RegistrySettings, me: VmId) -> None:
        self.settings = settings
        self.me = me
        self.table = ServerTable()
        self.heard: dict[str, float] = {}
        self.holders: dict[VmId, float] = {}

    def report(self, report: Report, now: float) -> Result[bool, Problem]:
        """Take a report; return whether it is news to others.

        Errors:
            ``other-server`` if a lifetime that is known suddenly serves another
            service or stands at another address.
        """
        name = report.lifetime.name
        known = self.table.get(name)
        if known is None or known.report.lifetime != report.lifetime:
            return Ok(self._take(report, now))
        former = known.report
        same = (former.service, former.endpoint, former.zone)
        if (report.service, report.endpoint, report.zone) != same:
            detail = f"reports {report.service} at {report.endpoint}"
            return Error(Problem("other-server", detail, name))
        if report.number <= former.number:
            return Ok(False)
        if former.phase == Phase.ENDED and report.phase != Phase.READY:
            return Ok(False)
        self.heard[name] = now
        if self._is_news(report, known):
            return Ok(self._take(report, now))
        renewed = known._replace(report=report)
        held = self.table.held[name]
        self.table.held[name] = held._replace(record=renewed)
        return Ok(False)

    def leave(self, name: str, now: float) -> bool:
        """End the lifetime known by a name; return whether that is news."""
        known = self.table.get(name)
        if known is None or known.report.phase == Phase.ENDED:
            return False
        log_decision("server-left", server=known.report.lifetime)
        return bool(self.table.merge(ended(known), now))

    def merge(self, record: ServerRecord, now: float) -> bool:
        """Take a record of another control VM; return whether it is news."""
        changed = bool(self.table.merge(record, now))
        if record.is_late and self._refutes(record, now):
            self.table.renew(record.report.lifetime.name, now)
            return True
        return changed

    def hear_holder(self, holder: VmId, now: float) -> None:
        """Note that another control VM is there."""
        self.holders[holder] = now

    def expire(self, now: float) -> bool:
        """Call servers late whose reports stopped; return whether that is news."""
        is_news = False
        for held in list(self.table.held.values()):
            record = held.record
            is_over = record.is_late or record.report.phase == Phase.ENDED
            if is_over or not self._is_overdue(record, held.changed_at, now):
                continue
            is_news |= bool(self.table.merge(record.doubted(), now))
        self.table.forget(now - self.settings.forget_after_s)
        return is_news

    def _refutes(self, doubted: ServerRecord, now: float) -> bool:
        """Return whether a doubted server reports here."""
        name = doubted.report.lifetime.name
        known = self.table.get(name)
        if known is None or known.report.lifetime != doubted.report.lifetime:
            return False
        heard = self.heard.get(name, -math.inf)
        is_heard = heard > now - self.settings.late_after_s
        return known.holder == self.me and is_heard

    def _is_overdue(self, record: ServerRecord, changed_at: float, now: float) -> bool:
        if record.holder == self.me:
            heard = self.heard.get(record.report.lifetime.name, changed_at)
            return heard < now - self.settings.late_after_s
        limit = now - self.settings.holder_silent_s
        heard = max(self.holders.get(record.holder, changed_at), changed_at)
        return heard < limit

    def _is_news(self, report: Report, known: ServerRecord) -> bool:
        former = known.report
        is_moved = known.holder != self.me or known.is_late
        was_cold = former.warm_up_s > 0 and report.warm_up_s <= 0
        is_changed = (former.phase, former.slots) != (report.phase, report.slots)
        return is_moved or was_cold or is_changed

    def _take(self, report: Report, now: float) -> bool:
        record = ServerRecord(report, self.me)
        changed = self.table.merge(record, now)
        if changed:
            self.heard[report.lifetime.name] = now
        return bool(changed)
