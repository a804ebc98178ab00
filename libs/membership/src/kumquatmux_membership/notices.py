"""Retirements (drains and leaves) that may not be in force in the whole zone yet.

A VM that has acknowledged a drain or leave never holds the server as live again in that
session. If a VM does not acknowledge it, its own lease of the server expires, because a
server does not renew as live after it has asked to drain or leave.
"""

from __future__ import annotations

from kumquatmux_core import decisions
from kumquatmux_core.identity import ServerId, VmId
from kumquatmux_membership.events import Lease
from kumquatmux_membership.phases import phase_of
from kumquatmux_membership.settings import LeaseSettings


class PendingRetirement:
    """One drain or leave that was sent to the other VMs of the zone.

    Attributes:
        lease_version: Version of the lease.
        table_version: Version of this VM's lease table that contains the change.
        requested_at: When the server first called, in seconds.
        unacknowledged: VMs that have not acknowledged the change.
        sent_at: When the change was last sent, in seconds.
    """

    def __init__(
        self,
        lease_version: int,
        table_version: int,
        requested_at: float,
        unacknowledged: set[VmId],
    ) -> None:
        self.lease_version = lease_version
        self.table_version = table_version
        self.requested_at = requested_at
        self.unacknowledged = unacknowledged
        self.sent_at = requested_at


class Notices:
    """The pending drains and leaves of one VM, by server.

    Args:
        settings: Settings of leases.
    """

    def __init__(self, settings: LeaseSettings) -> None:
        self.settings = settings
        self.retirements: dict[ServerId, PendingRetirement] = {}

    def find(self, lease: Lease) -> PendingRetirement | None:
        """Return the retirement with a lease's version, None if there is none."""
        retirement = self.retirements.get(lease.server)
        if retirement is None or retirement.lease_version != lease.version:
            return None
        return retirement

    def add(
        self, lease: Lease, table_version: int, unacknowledged: set[VmId], now: float
    ) -> None:
        """Start to wait for the VMs that may hold the server as live."""
        self.retirements[lease.server] = PendingRetirement(
            lease.version, table_version, now, unacknowledged
        )
        phase = phase_of(lease.version).name.lower()
        decisions.log(
            "lease-noted", server=lease.server, phase=phase, waiting=len(unacknowledged)
        )

    def in_force(self, lease: Lease, now: float) -> bool:
        """Return whether no VM of the zone holds the server as live any longer."""
        retirement = self.find(lease)
        if retirement is None:
            return False
        lapsed = now - retirement.requested_at >= self.settings.lease_lapse_seconds
        return lapsed or not retirement.unacknowledged

    def acknowledge(self, vm: VmId, table_version: int) -> None:
        """Record that a VM knows this VM's lease table up to a version."""
        for retirement in self.retirements.values():
            if table_version >= retirement.table_version:
                retirement.unacknowledged.discard(vm)

    def take_due_vms(self, now: float) -> list[VmId]:
        """Return the VMs that are due for a resend and record the time of sending."""
        vms: set[VmId] = set()
        for retirement in self.retirements.values():
            if (
                not retirement.unacknowledged
                or now - retirement.sent_at < self.settings.resend_interval_seconds
            ):
                continue
            if now - retirement.requested_at > self.settings.lease_lapse_seconds:
                continue
            retirement.sent_at = now
            vms.update(retirement.unacknowledged)
        return sorted(vms)

    def resend_base_version(self, vm: VmId) -> int:
        """Return the table version from which changes must be sent to a VM again."""
        base_versions = [
            retirement.table_version - 1
            for retirement in self.retirements.values()
            if vm in retirement.unacknowledged
        ]
        return min(base_versions, default=0)

    def prune(self, cutoff: float) -> None:
        """Remove drains and leaves requested before a cutoff time."""
        outdated = [
            server
            for server, retirement in self.retirements.items()
            if retirement.requested_at < cutoff
        ]
        for server in outdated:
            del self.retirements[server]
