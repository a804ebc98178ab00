"""Settings of failure detection and of leases."""

from __future__ import annotations

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """Settings of failure detection among VMs.

    Attributes:
        heartbeat_seconds: Period of heartbeats to a peer.
        suspect_seconds: Age of the last echo at which other VMs are asked to probe.
        remove_seconds: Age of the last echo at which a peer leaves the view.
        probe_grace_seconds: How much longer a peer stays that another VM reached.
        probe_helpers: How many VMs are asked to probe.
        pause_seconds: Standing still for longer than this suspends the view.
        settle_seconds: How long a suspended view waits for its peers.
        hold_seconds: How long a returning peer stays out after its first loss.
        hold_max_seconds: How long it stays out at most, doubling with each loss.
        stable_seconds: After so long in the view a peer's losses are forgotten.
        quiet_rounds: A silent peer gets a heartbeat once in so many periods.
        left_seconds: How long a VM that left stays in the list of peers.
        forget_seconds: How long a silent VM that was learned at run time is kept.
        fanout: Peers to heartbeat in sampled mode, 0 for all of them. Leases need
            heartbeats of every holder, so sampled mode serves membership alone.
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
"""Bounds that hold whatever the settings say, as VMs may differ in their revision."""


class LeaseSettings(NamedTuple):
    """Settings of the leases of backend servers.

    Attributes:
        lease_seconds: How long a lease runs from the stamp of its ticket.
        renew_seconds: Period at which backend servers renew.
        stale_seconds: Age of a holder's last echo at which its leases are stale.
        clock_rate_margin: Share by which clocks of two machines may run apart.
        ticket_seconds: Age at which a ticket is refused.
        retired_seconds: How long a server that left or ended is remembered.
        address_hold_seconds: How long another service may not take its address.
        forget_seconds: How long leases of a silent holder are kept as stale.
        resend_seconds: Period at which unanswered changes are sent again.
        max_servers: Servers one VM holds at most.
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
        """These settings within the bounds that the promise of a leave is built on."""
        return self._replace(
            lease_seconds=min(self.lease_seconds, MAX_LEASE_SECONDS),
            stale_seconds=min(self.stale_seconds, LONGEST_STALE_SECONDS),
        )

    @property
    def lease_lapse_seconds(self) -> float:
        """Time after which no lease is left that was renewed before, on any VM."""
        return MAX_LEASE_SECONDS * (1 + self.max_clock_rate_difference)
