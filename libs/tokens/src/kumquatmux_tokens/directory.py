"""The servers that tokens stand for."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import ServiceName
from kumquatmux_registry.records import Phase, ServerRecord


class Entry(NamedTuple):
    """A server lifetime as this VM knows it.

    Attributes:
        record: Its newest record.
        known_at: When it was first known, in steady seconds.
        ended_at: When its end was known, None before.
        warm_at: When it will have warmed up.
    """

    record: ServerRecord
    known_at: float
    ended_at: float | None
    warm_at: float


class Directory:
    """Server lifetimes by token, by name and by service.

    Attributes:
        by_token: Every lifetime known, ended ones for a while too.
        by_service: Lifetimes that have not ended, by service.
        clashing: Tokens that two lifetimes share; no flow is placed on either.
    """

    def __init__(self) -> None:
        self.by_token: dict[int, Entry] = {}
        self.by_name: dict[str, int] = {}
        self.by_service: dict[ServiceName, dict[int, Entry]] = {}
        self.clashing: set[int] = set()

    def put(self, record: ServerRecord, now: float) -> None:
        """Take a newer record of a server name."""
        lifetime = record.report.lifetime
        token = record.token
        former = self.by_name.get(lifetime.name)
        if former is not None and former != token:
            self._end(former, now)
        known = self.by_token.get(token)
        if known is not None and known.record.report.lifetime != lifetime:
            log_decision("token-clash", token=token, server=lifetime)
            self.clashing.add(token)
        self.by_name[lifetime.name] = token
        is_ended = record.report.phase == Phase.ENDED
        ended_at = known.ended_at if known and is_ended else None
        if is_ended and ended_at is None:
            ended_at = now
        known_at = known.known_at if known else now
        warm_at = now + record.report.warm_up_s
        self._store(token, Entry(record, known_at, ended_at, warm_at))

    def servers(self, service: ServiceName) -> list[Entry]:
        """Return the lifetimes of a service that have not ended."""
        return list(self.by_service.get(service, {}).values())

    def open_entry(self, token: int) -> Entry | None:
        """Return a lifetime that may get new flows, None if the token names none."""
        entry = self.by_token.get(token)
        if entry is None or token in self.clashing:
            return None
        is_open = entry.record.report.phase == Phase.READY and entry.ended_at is None
        return entry if is_open else None

    def forget(self, before: float) -> None:
        """Drop lifetimes that ended before a time."""
        for token, entry in list(self.by_token.items()):
            if entry.ended_at is not None and entry.ended_at < before:
                del self.by_token[token]
                self.clashing.discard(token)
                name = entry.record.report.lifetime.name
                if self.by_name.get(name) == token:
                    del self.by_name[name]

    def _end(self, token: int, now: float) -> None:
        entry = self.by_token.get(token)
        if entry is not None and entry.ended_at is None:
            self._store(token, entry._replace(ended_at=now))

    def _store(self, token: int, entry: Entry) -> None:
        self.by_token[token] = entry
        service = self.by_service.setdefault(entry.record.report.service, {})
        if entry.ended_at is None:
            service[token] = entry
        else:
            service.pop(token, None)
