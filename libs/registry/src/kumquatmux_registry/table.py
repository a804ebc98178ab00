"""Table of all backend server records, merged from any source in any order."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import Endpoint, ServiceName
from kumquatmux_registry.records import Phase, ServerRecord


class TableEntry(NamedTuple):
    """Table entry: a record and its latest change.

    Attributes:
        record: Newest record of the server name.
        position: Sequence number of the table change that stored the record.
        changed_at: Time of that change, in seconds of this VM's monotonic clock.
    """

    record: ServerRecord
    position: int
    changed_at: float


class ServerTable:
    """Server records by server name; merging is idempotent and commutative.

    Attributes:
        held: Entry with the newest record of each server name, oldest change first.
        name_by_token: Server name of each token.
        name_by_endpoint: Name of the server with the latest start at each endpoint, of
            those that were in use when they were stored, if any was.
        count_by_service: Number of servers of each service.
        position: Sequence number of the latest change.
        named_services: Services that the settings document names; empty while there
            is no document.
        has_conflicts: Whether records of two services came under one name since the
            services were named.
    """

    def __init__(self) -> None:
        self.held: dict[str, TableEntry] = {}
        self.name_by_token: dict[int, str] = {}
        self.name_by_endpoint: dict[Endpoint, str] = {}
        self.count_by_service: Counter[ServiceName] = Counter()
        self.position = 0
        self.named_services: frozenset[ServiceName] = frozenset()
        self.has_conflicts = False

    def get(self, name: str) -> ServerRecord | None:
        """Return the record of a server name, or None if there is none."""
        entry = self.held.get(name)
        return entry.record if entry else None

    def merge(self, record: ServerRecord, now: float) -> bool:
        """Store a record if it is newer; return whether it was.

        Two servers may claim one endpoint. This ends neither: a report may be late.
        """
        existing = self.get(record.report.lifetime.name)
        if existing is not None:
            self.has_conflicts |= existing.report.service != record.report.service
            if not self._goes_before(record, existing):
                return False
        self._store(record, now)
        if record.report.phase != Phase.ENDED:
            self._claim_endpoint(record)
        return True

    def is_named(self, service: ServiceName) -> bool:
        """Return whether the document names a service; all are without a document."""
        return not self.named_services or service in self.named_services

    def name_services(self, services: frozenset[ServiceName]) -> bool:
        """Set the named services; return whether all records are to be sent again.

        They are if records of two services came under one name, as the one that goes
        first now may have been left out.
        """
        is_changed = services != self.named_services
        self.named_services = services
        is_missing = is_changed and self.has_conflicts
        self.has_conflicts &= not is_changed
        return is_missing

    def later_at_endpoint(self, record: ServerRecord) -> TableEntry | None:
        """Return the server with a later start at a record's endpoint, if any."""
        other = self.other_at_endpoint(record)
        if other is None or other.record.report.phase == Phase.ENDED:
            return None
        is_later = self._start_rank(other.record) > self._start_rank(record)
        return other if is_later else None

    def other_at_endpoint(self, record: ServerRecord) -> TableEntry | None:
        """Return the server that claims a record's endpoint, if it is another one."""
        name = self.name_by_endpoint.get(record.report.endpoint)
        if name is None or name == record.report.lifetime.name:
            return None
        return self.held[name]

    def republish(self, name: str, now: float) -> None:
        """Store a record again as a new change, refuting any suspicion."""
        record = self.held[name].record
        self._store(record.with_suspicion_toggled() if record.is_late else record, now)

    def entries_after(self, position: int, limit: int) -> list[TableEntry]:
        """Return the entries changed after a position, oldest first, up to a limit."""
        newer: list[TableEntry] = []
        for entry in reversed(self.held.values()):
            if entry.position <= position:
                break
            newer.append(entry)
        newer.reverse()
        return newer[:limit]

    def find_token(self, token: int) -> ServerRecord | None:
        """Return the newest record of the server name that a token belongs to."""
        name = self.name_by_token.get(token)
        return self.get(name) if name is not None else None

    def remove_ended(self, before: float) -> None:
        """Remove ended servers whose record last changed before a time."""
        for name, entry in list(self.held.items()):
            is_ended = entry.record.report.phase == Phase.ENDED
            if is_ended and entry.changed_at < before:
                self.remove(name)

    def remove(self, name: str) -> None:
        """Remove the record of a server name, with its token and claim."""
        record = self.held.pop(name).record
        self.name_by_token.pop(record.token, None)
        self._drop_claim(record)
        self._uncount(record)

    def _uncount(self, record: ServerRecord) -> None:
        service = record.report.service
        self.count_by_service[service] -= 1
        if not self.count_by_service[service]:
            del self.count_by_service[service]

    def _drop_claim(self, record: ServerRecord) -> None:
        endpoint = record.report.endpoint
        if self.name_by_endpoint.get(endpoint) == record.report.lifetime.name:
            del self.name_by_endpoint[endpoint]

    def _store(self, record: ServerRecord, now: float) -> None:
        report = record.report
        name = report.lifetime.name
        self.position += 1
        previous = self.held.pop(name, None)
        self.count_by_service[report.service] += 1
        if previous is not None:
            self._uncount(previous.record)
        if previous is None or previous.record.report.lifetime != report.lifetime:
            if previous is not None:
                self.name_by_token.pop(previous.record.token, None)
            self.name_by_token[record.token] = name
        if previous is not None and previous.record.report.endpoint != report.endpoint:
            self._drop_claim(previous.record)
        self.held[name] = TableEntry(record, self.position, now)
        log_decision(
            "server-known",
            server=report.lifetime,
            number=report.number,
            service=report.service,
            endpoint=report.endpoint,
            phase=report.phase.name.lower(),
            late=record.is_late,
            holder=record.holder,
        )

    def _goes_before(self, record: ServerRecord, existing: ServerRecord) -> bool:
        """Return whether a record of the same name replaces the one in force.

        A server of a service that the document names goes before one of another
        service, unless it gets no new flows itself.
        """
        is_named = self.is_named(record.report.service)
        was_named = self.is_named(existing.report.service)
        if is_named and not was_named:
            return True
        if was_named and not is_named and not existing.is_unused:
            return False
        return record.sort_key > existing.sort_key

    def _claim_endpoint(self, record: ServerRecord) -> None:
        other = self.other_at_endpoint(record)
        if other is None or self._claim_rank(record) >= self._claim_rank(other.record):
            self.name_by_endpoint[record.report.endpoint] = record.report.lifetime.name

    def _claim_rank(self, record: ServerRecord) -> tuple[bool, bool, int]:
        return (not record.is_unused, *self._start_rank(record))

    def _start_rank(self, record: ServerRecord) -> tuple[bool, int]:
        report = record.report
        return (self.is_named(report.service), report.lifetime.born_ms)


def mark_ended(record: ServerRecord) -> ServerRecord:
    """Return a copy of a record with its lifetime marked as ended."""
    report = record.report._replace(phase=Phase.ENDED)
    return record._replace(report=report, doubts=0)
