"""The leases one VM holds itself, with the changes its peers still need."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import ServerId
from kumquatmux_membership.events import Lease


class HeldLease(NamedTuple):
    """A lease held here.

    Attributes:
        lease: What the server said, at its present phase.
        expires: When it ends without a renewal, in seconds.
        changed: Version of the table that made its last change.
    """

    lease: Lease
    expires_at: float
    changed_version: int


class ReleasedLease(NamedTuple):
    """A lease no longer held here.

    Attributes:
        lease: What it was.
        changed: Version of the table that released it.
        at: When, in seconds.
    """

    lease: Lease
    released_version: int
    released_at: float


class Holder:
    """A versioned table of the leases held by this VM.

    Attributes:
        version: Grows with each change that peers have to know.
        held: Leases held, by server.
        released: Leases let go lately, by server.
        pruned: Version up to which releases are forgotten.
    """

    def __init__(self) -> None:
        self.version = 0
        self.held: dict[ServerId, HeldLease] = {}
        self.released_leases: dict[ServerId, ReleasedLease] = {}
        self.pruned_version = 0
        self.next_expiry = float("inf")

    def hold(self, lease: Lease, expires_at: float) -> bool:
        """Hold or renew a lease; return whether peers have to know."""
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
        """Let a lease go."""
        entry = self.held.pop(server)
        self.version += 1
        self.released_leases[server] = ReleasedLease(entry.lease, self.version, now)

    def expire(self, now: float) -> list[Lease]:
        """Let go and return the leases whose time is over."""
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
        """Forget releases older than a time."""
        outdated = [
            entry
            for entry in self.released_leases.values()
            if entry.released_at < cutoff
        ]
        for entry in outdated:
            del self.released_leases[entry.lease.server]
            self.pruned_version = max(self.pruned_version, entry.released_version)

    def changes_since(self, version: int) -> tuple[Lease, ...]:
        """Return what changed after a version, releases as not held."""
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
        """Return every lease held."""
        return tuple(entry.lease for entry in self.held.values())


def without_load_report(lease: Lease) -> Lease:
    """Return a lease without its load report, which is not worth telling."""
    return lease._replace(busy=-1, open=-1)
