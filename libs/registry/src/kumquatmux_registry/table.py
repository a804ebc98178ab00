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
        name_by_endpoint: Name of the server with the latest start at each endpoint.
        count_by_service: Number of servers of each service.
        position: Sequence number of the latest change.
    """

    def __init__(self) -> None:
        self.held: dict[str, TableEntry] = {}
        self.name_by_token: dict[int, str] = {}
        self.name_by_endpoint: dict[Endpoint, str] = {}
        self.count_by_service: Counter[ServiceName] = Counter()
        self.position = 0

    def get(self, name: str) -> ServerRecord | None:
        """Return the record of a server name, or None if there is none."""
        entry = self.held.get(name)
        return entry.record if entry else None

    def merge(self, record: ServerRecord, now: float) -> bool:
        """Store a record if it is newer; return whether it was.

        Two servers may claim one endpoint. This ends neither: a report may be late.
        """
        existing = self.get(record.report.lifetime.name)
        if existing is not None and record.sort_key <= existing.sort_key:
            return False
        self._store(record, now)
        if record.report.phase != Phase.ENDED:
            self._claim_endpoint(record)
        return True

    def later_at_endpoint(self, record: ServerRecord) -> TableEntry | None:
        """Return the server with a later start at a record's endpoint, if any."""
        name = self.name_by_endpoint.get(record.report.endpoint)
        if name is None or name == record.report.lifetime.name:
            return None
        other = self.held[name]
        if other.record.report.phase == Phase.ENDED:
            return None
        return other if _start_key(other.record) > _start_key(record) else None

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

    def _claim_endpoint(self, record: ServerRecord) -> None:
        if self.later_at_endpoint(record) is None:
            self.name_by_endpoint[record.report.endpoint] = record.report.lifetime.name


def _start_key(record: ServerRecord) -> int:
    return record.report.lifetime.born_ms


def mark_ended(record: ServerRecord) -> ServerRecord:
    """Return a copy of a record with its lifetime marked as ended."""
    report = record.report._replace(phase=Phase.ENDED)
    return record._replace(report=report, doubts=0)
