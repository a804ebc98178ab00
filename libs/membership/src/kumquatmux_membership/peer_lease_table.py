"""Lease table of a peer, and the time at which it was last confirmed."""

from __future__ import annotations

from kumquatmux_core.identity import ServerId, VmId
from kumquatmux_membership.events import Heartbeat, Lease, LeaseUpdate

NEVER = float("-inf")


class PeerLeaseTable:
    """The lease table of one peer, as known to this VM.

    Attributes:
        holder: The peer.
        incarnation: Incarnation of the peer.
        version: Version up to which this VM knows the peer's table.
        leases: Leases that the peer holds, by server.
        confirmed_at: Latest timestamp of this VM at or after which the peer had this
            table.
        pending_confirmed_at: Timestamp that takes effect as ``confirmed_at`` once
            ``pending_version`` is known.
        pending_version: Version of the peer's table to which the pending timestamp
            belongs.
        requested_at: When changes were last requested, in seconds.
    """

    def __init__(self, holder: VmId) -> None:
        self.holder = holder
        self.incarnation = 0
        self.version = 0
        self.leases: dict[ServerId, Lease] = {}
        self.confirmed_at = NEVER
        self.pending_confirmed_at = NEVER
        self.pending_version = 0
        self.requested_at = NEVER

    def accept_incarnation(self, incarnation: int) -> bool:
        """Reset the table at a higher incarnation; return False for an earlier one."""
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self.version = 0
            self.leases = {}
            self.confirmed_at = NEVER
            self.pending_confirmed_at = NEVER
        return incarnation == self.incarnation

    def record_echo(self, message: Heartbeat) -> bool:
        """Record a heartbeat's echo; return whether changes must be requested."""
        if message.lease_table_version <= self.version:
            self.confirmed_at = max(self.confirmed_at, message.echoed_timestamp)
            return False
        self.pending_confirmed_at = message.echoed_timestamp
        self.pending_version = message.lease_table_version
        return True

    def apply(self, update: LeaseUpdate) -> bool:
        """Apply changes or a complete table; return False if changes are missing."""
        if update.version <= self.version:
            return True
        if update.is_complete:
            self.leases = {}
        elif update.base_version > self.version:
            return False
        for lease in update.leases:
            if lease.held:
                self.leases[lease.server] = lease
            else:
                self.leases.pop(lease.server, None)
        self.version = update.version
        if self.pending_version <= self.version:
            self.confirmed_at = max(self.confirmed_at, self.pending_confirmed_at)
        return True
