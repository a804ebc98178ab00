"""The latest known lease of each backend server, whichever VM holds it."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import ServerId
from kumquatmux_membership.events import Lease
from kumquatmux_membership.phases import Phase, phase_of
from kumquatmux_membership.settings import LeaseSettings


class KnownServer(NamedTuple):
    """The lease of a server with the highest version seen.

    Attributes:
        lease: The lease with that version.
        last_held_at: When a VM last held the lease, at the latest when the server left,
            in seconds.
    """

    lease: Lease
    last_held_at: float


class KnownServers:
    """Latest known leases by server, which older messages cannot overwrite.

    Args:
        settings: Settings of leases; ``address_hold_seconds`` reserves an address for
            its service.
    """

    def __init__(self, settings: LeaseSettings) -> None:
        self.settings = settings
        self.servers: dict[ServerId, KnownServer] = {}

    def get(self, server: ServerId) -> KnownServer | None:
        """Return the latest known lease of a server, None if there is none."""
        return self.servers.get(server)

    def merge(self, lease: Lease, now: float) -> None:
        """Store a lease that a VM holds now, unless it is outdated.

        A lease is outdated if a higher version is known. It is also ignored while its
        address is reserved for another service.
        """
        previous = self.servers.get(lease.server)
        if previous is not None and previous.lease.version > lease.version:
            return
        if previous is not None and self._held_by_other_service(lease, previous, now):
            return
        last_held_at = now
        if phase_of(lease.version) == Phase.LEFT and previous is not None:
            last_held_at = previous.last_held_at
        self.servers[lease.server] = KnownServer(lease, last_held_at)

    def _held_by_other_service(
        self, lease: Lease, previous: KnownServer, now: float
    ) -> bool:
        if lease.service == previous.lease.service:
            return False
        return now - previous.last_held_at < self.settings.address_hold_seconds

    def mark_held(self, server: ServerId, now: float) -> None:
        """Record that a server is still held, unless it has left."""
        entry = self.servers.get(server)
        if entry is not None and phase_of(entry.lease.version) != Phase.LEFT:
            self.servers[server] = entry._replace(last_held_at=now)

    def prune(self, cutoff: float) -> bool:
        """Remove servers last held before a cutoff; return whether any were removed."""
        outdated = [
            server
            for server, entry in self.servers.items()
            if entry.last_held_at < cutoff
        ]
        for server in outdated:
            del self.servers[server]
        return bool(outdated)
