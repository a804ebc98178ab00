"""Failure detection and leases of one VM behind one interface."""

from __future__ import annotations

from random import Random

from kumquatmux_core.identity import Vm
from kumquatmux_membership.clock import MonotonicClock
from kumquatmux_membership.events import (
    Action,
    Event,
    IncarnationRaised,
    PeersChanged,
    Tick,
)
from kumquatmux_membership.leases import LeaseTable
from kumquatmux_membership.membership import Membership
from kumquatmux_membership.sampled import SampledMembership
from kumquatmux_membership.settings import LeaseSettings, MembershipSettings


class Coordinator:
    """Runs failure detection and leases on one clock and passes events between them.

    Args:
        local_vm: This VM.
        peers: VMs configured in the settings.
        membership_settings: Settings of failure detection.
        lease_settings: Settings of leases.
        random: Random source for probe helpers, heartbeat periods and raised
            incarnations.
    """

    def __init__(
        self,
        local_vm: Vm,
        peers: tuple[Vm, ...],
        membership_settings: MembershipSettings,
        lease_settings: LeaseSettings,
        random: Random,
    ) -> None:
        self.clock = MonotonicClock(lease_settings.stale_seconds)
        membership_type = (
            SampledMembership if membership_settings.fanout else Membership
        )
        self.membership = membership_type(local_vm, peers, membership_settings, random)
        self.leases = LeaseTable(local_vm, lease_settings)

    @property
    def valid_until(self) -> float:
        """Time on the caller's clock from which servers may be outdated, in seconds.

        From this time on, a ``Tick`` must be handled before the last reported fresh
        servers are used.
        """
        return self.clock.to_source(self.leases.valid_until)

    def use_settings(
        self, membership_settings: MembershipSettings, lease_settings: LeaseSettings
    ) -> None:
        """Apply new periods and timeouts at run time."""
        self.membership.settings = membership_settings
        self.leases.apply_settings(lease_settings)

    def note_settings(self, revision: int, digest: str) -> None:
        """Set the settings revision and digest that heartbeats carry."""
        self.membership.advertise_settings(revision, digest)

    def refresh(self, now: float) -> list[Action]:
        """Handle a ``Tick`` if ``valid_until`` has passed and return the actions.

        Args:
            now: Time on the caller's clock, in seconds.
        """
        if now < self.valid_until:
            return []
        return self.handle(Tick(), now)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event and return the resulting actions.

        Args:
            event: The event.
            now: Time on the caller's clock, in seconds; it may jump.

        Returns:
            The actions that the caller performs, in this order. The first one is a
            ``LeaseAnswer`` if the event is a call of a backend server.
        """
        monotonic_now = self.clock.from_source(now)
        actions = self.leases.handle(event, monotonic_now)
        self.membership.advertise_lease_table(self.leases.holder.version)
        membership_actions = self.membership.handle(event, monotonic_now)
        for action in membership_actions:
            if isinstance(action, PeersChanged | IncarnationRaised):
                actions += self.leases.handle(action, monotonic_now)
        return actions + membership_actions
