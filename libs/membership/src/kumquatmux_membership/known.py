"""The latest thing known of each backend server, whoever told it."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import ServerId
from kumquatmux_membership.events import Lease
from kumquatmux_membership.phases import Phase, phase_of
from kumquatmux_membership.settings import LeaseSettings


class KnownServer(NamedTuple):
    """The highest version seen of a server's lease.

    Attributes:
        lease: The lease at that version.
        at: When somebody last held it and it had not left, in seconds.
    """

    lease: Lease
    last_held_at: float


class KnownServers:
    """Servers by name, so that no older message undoes what a later one said.

    Args:
        settings: How long an address stays with its service.
    """

    def __init__(self, settings: LeaseSettings) -> None:
        self.settings = settings
        self.servers: dict[ServerId, KnownServer] = {}

    def get(self, server: ServerId) -> KnownServer | None:
        """Return what is known of a server."""
        return self.servers.get(server)

    def merge(self, lease: Lease, now: float) -> None:
        """Take a lease that somebody holds now."""
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
        """Note that a server which has not left is still held."""
        entry = self.servers.get(server)
        if entry is not None and phase_of(entry.lease.version) != Phase.LEFT:
            self.servers[server] = entry._replace(last_held_at=now)

    def prune(self, cutoff: float) -> bool:
        """Forget servers that nobody has held since; return whether any went."""
        outdated = [
            server
            for server, entry in self.servers.items()
            if entry.last_held_at < cutoff
        ]
        for server in outdated:
            del self.servers[server]
        return bool(outdated)
