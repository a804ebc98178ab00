"""Known backend servers, indexed by token, name and service."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import Endpoint, ServiceName, ZoneName
from kumquatmux_registry.records import Phase, ServerRecord


class ServerEntry(NamedTuple):
    """One lifetime of a server, from its start to its end, as known to this VM.

    Attributes:
        record: Latest record of the lifetime.
        first_known_at: Time when the lifetime became known, in monotonic seconds.
        ended_at: Time when its end became known, None before that.
        warm_up_ends_at: Time when its warm-up ends.
        reported_at: Time when its latest record came by which it reports on time, minus
            infinity if none did.
        token: Token of the lifetime, kept because hashing it for each candidate of
            each new flow costs more than the rest of the selection.
    """

    record: ServerRecord
    first_known_at: float
    ended_at: float | None
    warm_up_ends_at: float
    reported_at: float
    token: int


class ReadyServers(NamedTuple):
    """Servers of a service that accept new flows, split by availability zone.

    Attributes:
        local: Servers in the zone of this VM.
        remote: Servers in other zones.
        is_evacuated: Whether the service has servers, but all in evacuated zones.
    """

    local: Sequence[ServerEntry]
    remote: Sequence[ServerEntry]
    is_evacuated: bool = False


NO_READY_SERVERS = ReadyServers((), ())


class ServerDirectory:
    """Server lifetimes indexed by token, server name and service.

    Attributes:
        by_token: All known lifetimes, including recently ended ones.
        by_name: Token of the latest lifetime, by server name.
        by_endpoint: Token of the lifetime with the latest start at each endpoint.
        by_service: Lifetimes that have not ended, by service and token.
        colliding_tokens: Tokens that two lifetimes share; neither gets new flows.
        ready_by_service: Cached result of ``ready_servers``, by service; dropped when
            a lifetime of the service, or the evacuated zones, change.
        evacuated_zones: Zones whose servers get no new flows.
    """

    def __init__(self, zone: ZoneName) -> None:
        self.zone = zone
        self.by_token: dict[int, ServerEntry] = {}
        self.by_name: dict[str, int] = {}
        self.by_endpoint: dict[Endpoint, int] = {}
        self.by_service: dict[ServiceName, dict[int, ServerEntry]] = {}
        self.colliding_tokens: set[int] = set()
        self.ready_by_service: dict[ServiceName, ReadyServers] = {}
        self.evacuated_zones: frozenset[ZoneName] = frozenset()

    def store_record(self, record: ServerRecord, now: float) -> None:
        """Store a server's latest record and end the lifetime that it replaces."""
        lifetime = record.report.lifetime
        token = record.token
        previous_token = self.by_name.get(lifetime.name)
        if previous_token is not None and previous_token != token:
            self._mark_ended(previous_token, now)
        known_entry = self.by_token.get(token)
        if known_entry is not None and known_entry.record.report.lifetime != lifetime:
            log_decision("token-clash", token=token, server=lifetime)
            self.colliding_tokens.add(token)
        self.by_name[lifetime.name] = token
        is_ended = record.report.phase == Phase.ENDED
        if not is_ended:
            self._claim_endpoint(record)
        ended_at = known_entry.ended_at if known_entry and is_ended else None
        if is_ended and ended_at is None:
            ended_at = now
        first_known_at = known_entry.first_known_at if known_entry else now
        warm_up_ends_at = now + record.report.warm_up_s
        reported_at = known_entry.reported_at if known_entry else -math.inf
        if not record.is_unused:
            reported_at = now
        entry = ServerEntry(
            record, first_known_at, ended_at, warm_up_ends_at, reported_at, token
        )
        self._store(token, entry)

    def ready_servers(self, service: ServiceName) -> ReadyServers:
        """Return the servers of a service that accept new flows."""
        if service not in self.by_service:
            return NO_READY_SERVERS
        ready = self.ready_by_service.get(service)
        if ready is None:
            ready = self.ready_by_service[service] = self._find_ready(service)
        return ready

    def set_evacuated_zones(self, zones: frozenset[ZoneName]) -> None:
        """Set the zones whose servers get no new flows."""
        if zones != self.evacuated_zones:
            self.evacuated_zones = zones
            self.ready_by_service.clear()

    def is_evacuated(self, entry: ServerEntry) -> bool:
        """Return whether a server is in an evacuated zone."""
        return entry.record.report.zone in self.evacuated_zones

    def accepting_entry(self, token: int) -> ServerEntry | None:
        """Return the lifetime with a token if it accepts new flows, else None."""
        entry = self.by_token.get(token)
        if entry is None or token in self.colliding_tokens:
            return None
        accepts_flows = (
            entry.record.report.phase == Phase.READY
            and entry.ended_at is None
            and not self.is_evacuated(entry)
        )
        return entry if accepts_flows else None

    def running_entry(self, token: int) -> ServerEntry | None:
        """Return the lifetime that packets under a token reach, None if unknown.

        A server that starts again under its name takes packets that are sent under the
        token of its former lifetime, too. It may have taken flows under it before its
        first report came, and only it can tell which of them it holds.
        """
        entry = self.by_token.get(token)
        if entry is None or entry.ended_at is None:
            return entry
        report = entry.record.report
        latest = self.by_token.get(self.by_name.get(report.lifetime.name, 0))
        if latest is None or latest.record.report.service != report.service:
            return entry
        return latest

    def is_superseded(self, entry: ServerEntry) -> bool:
        """Return whether a server started again under the name of a lifetime."""
        latest_token = self.by_name.get(entry.record.report.lifetime.name)
        return latest_token not in (None, entry.token)

    def claimant_of(self, entry: ServerEntry) -> ServerEntry:
        """Return the lifetime with the latest start at an endpoint, itself if none."""
        token = self.by_endpoint.get(entry.record.report.endpoint, entry.token)
        return self.by_token.get(token, entry)

    def remove_ended(self, limit: float) -> None:
        """Remove lifetimes that ended before a given time."""
        for token, entry in list(self.by_token.items()):
            if entry.ended_at is not None and entry.ended_at < limit:
                del self.by_token[token]
                self.colliding_tokens.discard(token)
                name = entry.record.report.lifetime.name
                if self.by_name.get(name) == token:
                    del self.by_name[name]
                endpoint = entry.record.report.endpoint
                if self.by_endpoint.get(endpoint) == token:
                    del self.by_endpoint[endpoint]

    def _find_ready(self, service: ServiceName) -> ReadyServers:
        """Return the servers of a service that accept new flows, with no cache."""
        all_entries = self.by_service[service]
        open_entries = all_entries
        if self.evacuated_zones:
            open_entries = {
                token: entry
                for token, entry in all_entries.items()
                if not self.is_evacuated(entry)
            }
        entries = [
            entry
            for token, entry in open_entries.items()
            if entry.record.report.phase == Phase.READY
            and token not in self.colliding_tokens
        ]
        return ReadyServers(
            tuple(one for one in entries if one.record.report.zone == self.zone),
            tuple(one for one in entries if one.record.report.zone != self.zone),
            not open_entries,
        )

    def _claim_endpoint(self, record: ServerRecord) -> None:
        """Note the latest start at an endpoint; reports of others there were late."""
        endpoint = record.report.endpoint
        claimant = self.by_token.get(self.by_endpoint.get(endpoint, 0))
        born_ms = record.report.lifetime.born_ms
        if claimant is None or claimant.record.report.lifetime.born_ms <= born_ms:
            self.by_endpoint[endpoint] = record.token

    def _mark_ended(self, token: int, now: float) -> None:
        entry = self.by_token.get(token)
        if entry is not None and entry.ended_at is None:
            self._store(token, entry._replace(ended_at=now))

    def _store(self, token: int, entry: ServerEntry) -> None:
        self.by_token[token] = entry
        self.ready_by_service.pop(entry.record.report.service, None)
        service_entries = self.by_service.setdefault(entry.record.report.service, {})
        if entry.ended_at is None:
            service_entries[token] = entry
        else:
            service_entries.pop(token, None)
            if not service_entries:
                del self.by_service[entry.record.report.service]
