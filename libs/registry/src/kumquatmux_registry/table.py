"""The records of all backend servers, merged from any source in any order."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import Endpoint
from kumquatmux_registry.records import Phase, ServerRecord


class Held(NamedTuple):
    """A record and when it came.

    Attributes:
        record: The record.
        position: Number of the change of this table that brought it.
        changed_at: When, in seconds of the holder's steady clock.
    """

    record: ServerRecord
    position: int
    changed_at: float


class ServerTable:
    """Records by server name; merging is idempotent and free of order.

    Attributes:
        held: The newest record of each server name.
        position: Number of changes so far.
    """

    def __init__(self) -> None:
        self.held: dict[str, Held] = {}
        self.by_endpoint: dict[Endpoint, str] = {}
        self.position = 0

    def get(self, name: str) -> ServerRecord | None:
        """Return the record of a server name."""
        held = self.held.get(name)
        return held.record if held else None

    def merge(self, record: ServerRecord, now: float) -> list[ServerRecord]:
        """Take a record if it is newer; return the records that changed.

        A newer lifetime at an address ends the older one that had the address.
        """
        name = record.report.lifetime.name
        known = self.get(name)
        if known is not None and record.rank <= known.rank:
            return []
        changed = [self._put(record, now)]
        if record.report.phase != Phase.ENDED:
            changed += self._take_address(record, now)
        return changed

    def renew(self, name: str, now: float) -> None:
        """Tell of a server again, with any doubt about it refuted."""
        record = self.held[name].record
        self._put(record.doubted() if record.is_late else record, now)

    def after(self, position: int, limit: int) -> list[Held]:
        """Return the oldest changes after a position, up to a limit."""
        newer = [held for held in self.held.values() if held.position > position]
        newer.sort(key=lambda held: held.position)
        return newer[:limit]

    def forget(self, before: float) -> None:
        """Drop ended servers whose end was noted before a time."""
        for name, held in list(self.held.items()):
            is_ended = held.record.report.phase == Phase.ENDED
            if is_ended and held.changed_at < before:
                del self.held[name]

    def _put(self, record: ServerRecord, now: float) -> ServerRecord:
        report = record.report
        self.position += 1
        self.held[report.lifetime.name] = Held(record, self.position, now)
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
        return record

    def _take_address(self, record: ServerRecord, now: float) -> list[ServerRecord]:
        endpoint = record.report.endpoint
        lifetime = record.report.lifetime
        former = self.by_endpoint.get(endpoint)
        rival = self.get(former) if former not in (None, lifetime.name) else None
        if rival is None or rival.report.phase == Phase.ENDED:
            self.by_endpoint[endpoint] = lifetime.name
            return []
        if rival.report.lifetime.born_ms > lifetime.born_ms:
            return [self._put(ended(record), now)]
        self.by_endpoint[endpoint] = lifetime.name
        return [self._put(ended(rival), now)]


def ended(record: ServerRecord) -> ServerRecord:
    """Return a record that says that its lifetime is over."""
    report = record.report._replace(phase=Phase.ENDED)
    return record._replace(report=report, doubts=0)
