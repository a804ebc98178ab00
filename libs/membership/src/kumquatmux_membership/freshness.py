"""Classifies backend servers as fresh or stale by the age of their holders' echoes."""

from __future__ import annotations

from kumquatmux_core import decisions
from kumquatmux_core.identity import ServerId, ServiceName, VmId
from kumquatmux_membership.events import Lease, ServersChanged
from kumquatmux_membership.holder import Holder, without_load_report
from kumquatmux_membership.known import KnownServers
from kumquatmux_membership.peer_lease_table import PeerLeaseTable
from kumquatmux_membership.phases import Phase, phase_of
from kumquatmux_membership.settings import LeaseSettings


class FreshnessTracker:
    """Reclassifies servers when leases or the freshness of a holder change.

    Args:
        settings: Settings of leases; ``stale_seconds`` defines when a holder is stale.

    Attributes:
        dirty: Whether leases have changed since the last update.
        valid_until: When the next holder becomes stale, in seconds.
    """

    def __init__(self, settings: LeaseSettings) -> None:
        self.settings = settings
        self.dirty = False
        self.valid_until = float("inf")
        self.fresh_holders: frozenset[VmId] = frozenset()
        self.latest = ServersChanged((), ())

    def update(
        self,
        held_lease_table: Holder,
        peer_tables: dict[VmId, PeerLeaseTable],
        known_servers: KnownServers,
        now: float,
    ) -> ServersChanged | None:
        """Return the servers if they differ from the last reported ones."""
        fresh_holders = self._fresh_holders(peer_tables, now)
        if not self.dirty and fresh_holders == self.fresh_holders:
            return None
        self._log_holder_changes(fresh_holders)
        self.dirty = False
        self.fresh_holders = fresh_holders
        tables = [peer_tables[vm].leases for vm in sorted(fresh_holders)]
        claims = _claims_by_server(held_lease_table, tables, known_servers)
        servers = _classify(claims, known_servers)
        if servers == self.latest:
            return None
        self.latest = servers
        decisions.log(
            "servers-changed", fresh=len(servers.fresh), stale=len(servers.stale)
        )
        return servers

    def _fresh_holders(
        self, peer_tables: dict[VmId, PeerLeaseTable], now: float
    ) -> frozenset[VmId]:
        stale_seconds = self.settings.stale_seconds
        fresh_tables = [
            table
            for table in peer_tables.values()
            if now < table.confirmed_at + stale_seconds
        ]
        stale_times = [
            table.confirmed_at + stale_seconds for table in fresh_tables if table.leases
        ]
        self.valid_until = min(stale_times, default=float("inf"))
        return frozenset(table.holder for table in fresh_tables)

    def _log_holder_changes(self, fresh_holders: frozenset[VmId]) -> None:
        for vm in sorted(self.fresh_holders - fresh_holders):
            decisions.log("holder-stale", vm=vm)
        for vm in sorted(fresh_holders - self.fresh_holders):
            decisions.log("holder-fresh", vm=vm)


def _claims_by_server(
    held_lease_table: Holder,
    tables: list[dict[ServerId, Lease]],
    known_servers: KnownServers,
) -> dict[ServerId, set[tuple[int, ServiceName]]]:
    """Return, by server, the version and service of each lease that a VM holds."""
    claims: dict[ServerId, set[tuple[int, ServiceName]]] = {}
    local_leases = {
        server: entry.lease for server, entry in held_lease_table.held.items()
    }
    for table in (local_leases, *tables):
        for server, lease in table.items():
            if phase_of(lease.version) == Phase.LEFT:
                continue
            claims.setdefault(server, set()).add((lease.version, lease.service))
    return claims


def _classify(
    claims: dict[ServerId, set[tuple[int, ServiceName]]], known_servers: KnownServers
) -> ServersChanged:
    fresh: list[Lease] = []
    stale: list[Lease] = []
    for server in sorted(known_servers.servers):
        lease = known_servers.servers[server].lease
        if phase_of(lease.version) == Phase.LEFT:
            continue
        server_claims = claims.get(server, set())
        services = {service for _, service in server_claims}
        is_fresh = (lease.version, lease.service) in server_claims and len(
            services
        ) == 1
        (fresh if is_fresh else stale).append(without_load_report(lease))
    return ServersChanged(tuple(fresh), tuple(stale))
