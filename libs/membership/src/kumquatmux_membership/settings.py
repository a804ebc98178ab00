"""Settings of failure detection and of leases."""

from __future__ import annotations

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """Settings of failure detection among VMs.

    Attributes:
        heartbeat_seconds: Period of heartbeats to a peer.
        suspect_seconds: Age of the last echo at which other VMs are asked to probe.
        remove_seconds: Age of the last echo at which a peer leaves the view.
        probe_grace_seconds: Additional time in the view for a peer that another VM
            reached.
        probe_helpers: Number of VMs that are asked to probe.
        max_pause_seconds: A longer pause of this process suspends the view.
        settle_seconds: Maximum time that a suspended view waits for its peers.
        hold_seconds: How long a returning peer stays out of the view after its first
            loss. The time doubles with each further loss.
        hold_max_seconds: Maximum time that a returning peer stays out of the view.
        loss_reset_seconds: Time in the view after which the losses of a peer are
            forgotten.
        silent_peer_rounds: A silent peer outside the view gets a heartbeat once in this
            many periods.
        left_retention_seconds: How long a VM that left stays in the list of peers.
        silent_retention_seconds: How long a silent VM that was discovered at run time
            is kept.
        fanout: Number of peers that get heartbeats in sampled mode, 0 for all peers.
            Leases need heartbeats from every holder, so sampled mode supports
            membership only.
    """

    heartbeat_seconds: float = 0.5
    suspect_seconds: float = 1.5
    remove_seconds: float = 2.5
    probe_grace_seconds: float = 1.5
    probe_helpers: int = 2
    max_pause_seconds: float = 1.0
    settle_seconds: float = 1.5
    hold_seconds: float = 1.0
    hold_max_seconds: float = 8.0
    loss_reset_seconds: float = 60.0
    silent_peer_rounds: int = 4
    left_retention_seconds: float = 10.0
    silent_retention_seconds: float = 3600.0
    fanout: int = 0


MAX_LEASE_SECONDS = 4.0
LONGEST_STALE_SECONDS = 2.5
"""Bounds that apply whatever the settings say, as VMs may use different revisions."""


class LeaseSettings(NamedTuple):
    """Settings of the leases of backend servers.

    Attributes:
        lease_seconds: Duration of a lease from the timestamp of its ticket.
        renew_seconds: Period at which backend servers renew their leases.
        stale_seconds: Age of a holder's last echo at which its leases are stale.
        max_clock_rate_difference: Maximum relative difference between the clock rates
            of two machines.
        ticket_lifetime_seconds: Age above which a ticket is refused.
        retired_retention_seconds: How long a server is remembered after it left or its
            lease expired.
        address_hold_seconds: How long an address stays reserved for its service after
            the last lease.
        silent_holder_retention_seconds: How long leases of a silent holder are kept as
            stale.
        resend_interval_seconds: Period at which unacknowledged changes are sent again.
        max_servers: Maximum number of servers that one VM holds.
    """

    lease_seconds: float = 4.0
    renew_seconds: float = 1.0
    stale_seconds: float = 2.5
    max_clock_rate_difference: float = 0.02
    ticket_lifetime_seconds: float = 3.0
    retired_retention_seconds: float = 120.0
    address_hold_seconds: float = 60.0
    silent_holder_retention_seconds: float = 600.0
    resend_interval_seconds: float = 0.25
    max_servers: int = 10_000

    @property
    def within_bounds(self) -> LeaseSettings:
        """These settings, limited to the bounds that the guarantee of a leave needs."""
        return self._replace(
            lease_seconds=min(self.lease_seconds, MAX_LEASE_SECONDS),
            stale_seconds=min(self.stale_seconds, LONGEST_STALE_SECONDS),
        )

    @property
    def lease_lapse_seconds(self) -> float:
        """Time after which a lease not renewed any more has expired on every VM."""
        return MAX_LEASE_SECONDS * (1 + self.max_clock_rate_difference)
