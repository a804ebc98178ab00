"""The leases that one VM holds, with the changes that its peers still need."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import ServerId
from kumquatmux_membership.events import Lease


class HeldLease(NamedTuple):
    """A lease that this VM holds.

    Attributes:
        lease: The announced lease, at its current phase.
        expires_at: When the lease expires without a renewal, in seconds.
        changed_version: Version of the table at the lease's last change.
    """

    lease: Lease
    expires_at: float
    changed_version: int


class ReleasedLease(NamedTuple):
    """A lease that this VM no longer holds.

    Attributes:
        lease: The lease as it was held.
        released_version: Version of the table that released the lease.
        released_at: When the lease was released, in seconds.
    """

    lease: Lease
    released_version: int
    released_at: float


class Holder:
    """Versioned table of the leases that this VM holds.

    Attributes:
        version: Increases with each change that peers must learn.
        held: Leases held, by server.
        released_leases: Leases released recently, by server.
        pruned_version: Table version up to which released leases were removed.
    """

    def __init__(self) -> None:
        self.version = 0
        self.held: dict[ServerId, HeldLease] = {}
        self.released_leases: dict[ServerId, ReleasedLease] = {}
        self.pruned_version = 0
        self.next_expiry = float("inf")

    def hold(self, lease: Lease, expires_at: float) -> bool:
        """Hold or renew a lease; return whether peers must learn of a change."""
        previous = self.held.get(lease.server)
        changed = previous is None or without_load_report(
            previous.lease
        ) != without_load_report(lease)
        if changed:
            self.version += 1
            self.released_leases.pop(lease.server, None)
        version = (
            self.version if changed or previous is None else previous.changed_version
        )
        self.held[lease.server] = HeldLease(lease, expires_at, version)
        self.next_expiry = min(self.next_expiry, expires_at)
        return changed

    def release(self, server: ServerId, now: float) -> None:
        """Release a held lease."""
        entry = self.held.pop(server)
        self.version += 1
        self.released_leases[server] = ReleasedLease(entry.lease, self.version, now)

    def expire(self, now: float) -> list[Lease]:
        """Release the expired leases and return them."""
        if now < self.next_expiry:
            return []
        expired = [
            entry.lease for entry in self.held.values() if entry.expires_at <= now
        ]
        for lease in expired:
            self.release(lease.server, now)
        expiry_times = (entry.expires_at for entry in self.held.values())
        self.next_expiry = min(expiry_times, default=float("inf"))
        return expired

    def prune(self, cutoff: float) -> None:
        """Remove the leases released before a cutoff time."""
        outdated = [
            entry
            for entry in self.released_leases.values()
            if entry.released_at < cutoff
        ]
        for entry in outdated:
            del self.released_leases[entry.lease.server]
            self.pruned_version = max(self.pruned_version, entry.released_version)

    def changes_since(self, version: int) -> tuple[Lease, ...]:
        """Return the changes after a version; released leases have ``held`` False."""
        held = [
            entry.lease
            for entry in self.held.values()
            if entry.changed_version > version
        ]
        released = [
            entry.lease._replace(held=False)
            for entry in self.released_leases.values()
            if entry.released_version > version
        ]
        return tuple(held + released)

    def all_leases(self) -> tuple[Lease, ...]:
        """Return every held lease."""
        return tuple(entry.lease for entry in self.held.values())


def without_load_report(lease: Lease) -> Lease:
    """Return a lease without its load report, which is not sent to peers."""
    return lease._replace(busy=-1, open=-1)
