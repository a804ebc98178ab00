"""The leases another VM tells of, and since when its telling is known to be true."""

from __future__ import annotations

from kumquatmux_core.identity import ServerId, VmId
from kumquatmux_membership.events import Heartbeat, Lease, LeaseUpdate

NEVER = float("-inf")


class PeerLeaseTable:
    """One peer's lease table as known here.

    Attributes:
        holder: The peer.
        incarnation: Its incarnation.
        version: Version of its table up to which it is known here.
        leases: What it holds, by server.
        confirmed: Our latest stamp at which, or later, this was its table.
        pending: A stamp that will count once the version beside it is known.
        pending_version: Version of the table which the pending stamp speaks of.
        asked: When its changes were last asked for.
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
        """Start anew at a higher incarnation; return whether a message is current."""
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self.version = 0
            self.leases = {}
            self.confirmed_at = NEVER
            self.pending_confirmed_at = NEVER
        return incarnation == self.incarnation

    def record_echo(self, message: Heartbeat) -> bool:
        """Take a heartbeat's echo; return whether changes have to be asked for."""
        if message.lease_table_version <= self.version:
            self.confirmed_at = max(self.confirmed_at, message.echoed_timestamp)
            return False
        self.pending_confirmed_at = message.echoed_timestamp
        self.pending_version = message.lease_table_version
        return True

    def apply(self, update: LeaseUpdate) -> bool:
        """Take changes or a complete table; return False if changes are missing."""
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
