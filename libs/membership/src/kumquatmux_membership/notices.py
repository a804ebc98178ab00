"""Drains and leaves that are not yet sure to hold at every VM of the zone.

A VM that has acknowledged one never holds the server as live again in that session.
Where one does not answer, its own lease of the server runs out: a server renews nothing
as live after it has asked to drain or leave.
"""

from __future__ import annotations

from kumquatmux_core import decisions
from kumquatmux_core.identity import ServerId, VmId
from kumquatmux_membership.events import Lease
from kumquatmux_membership.phases import phase_of
from kumquatmux_membership.settings import LeaseSettings


class PendingRetirement:
    """One drain or leave told to the other VMs of the zone.

    Attributes:
        version: Version of the lease.
        table_version: Version of our table that carries it.
        noted: When the server called first, in seconds.
        waiting: VMs that have not acknowledged it.
        sent: When it was last sent.
    """

    def __init__(
        self,
        lease_version: int,
        table_version: int,
        requested_at: float,
        waiting: set[VmId],
    ) -> None:
        self.lease_version = lease_version
        self.table_version = table_version
        self.requested_at = requested_at
        self.unacknowledged = waiting
        self.sent_at = requested_at


class Notices:
    """The notices of one VM, by server.

    Args:
        settings: Periods of leases.
    """

    def __init__(self, settings: LeaseSettings) -> None:
        self.settings = settings
        self.retirements: dict[ServerId, PendingRetirement] = {}

    def find(self, lease: Lease) -> PendingRetirement | None:
        """Return the notice of a lease at its present version."""
        retirement = self.retirements.get(lease.server)
        if retirement is None or retirement.lease_version != lease.version:
            return None
        return retirement

    def add(
        self, lease: Lease, table_version: int, unacknowledged: set[VmId], now: float
    ) -> None:
        """Begin to wait for the VMs that might hold the server as live."""
        self.retirements[lease.server] = PendingRetirement(
            lease.version, table_version, now, unacknowledged
        )
        phase = phase_of(lease.version).name.lower()
        decisions.log(
            "lease-noted", server=lease.server, phase=phase, waiting=len(unacknowledged)
        )

    def in_force(self, lease: Lease, now: float) -> bool:
        """Whether no VM of the zone holds the server as live any more."""
        retirement = self.find(lease)
        if retirement is None:
            return False
        lapsed = now - retirement.requested_at >= self.settings.lease_lapse_seconds
        return lapsed or not retirement.unacknowledged

    def acknowledge(self, vm: VmId, table_version: int) -> None:
        """Note that a VM knows our table up to a version."""
        for retirement in self.retirements.values():
            if table_version >= retirement.table_version:
                retirement.unacknowledged.discard(vm)

    def take_due_vms(self, now: float) -> list[VmId]:
        """Return the VMs that are to be told again."""
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
        """Return the table version from which a VM has to be told."""
        base_versions = [
            retirement.table_version - 1
            for retirement in self.retirements.values()
            if vm in retirement.unacknowledged
        ]
        return min(base_versions, default=0)

    def prune(self, cutoff: float) -> None:
        """Forget notices older than a time."""
        outdated = [
            server
            for server, retirement in self.retirements.items()
            if retirement.requested_at < cutoff
        ]
        for server in outdated:
            del self.retirements[server]
