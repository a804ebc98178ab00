"""State that a VM keeps about one of its peers."""

from __future__ import annotations

from kumquatmux_core.identity import Vm
from kumquatmux_membership.settings import MembershipSettings

NEVER = float("-inf")


class Peer:
    """One other VM, reachable or not.

    Attributes:
        vm: Record of the peer with the highest incarnation seen.
        configured: Whether the settings contain the peer.
        heartbeat_received: Whether a heartbeat of the current incarnation has arrived.
        latest_timestamp: Latest timestamp of the peer, on its own clock.
        heartbeat_received_at: When that timestamp arrived, on this VM's clock.
        last_echo: Latest timestamp of this VM that the peer echoed, which is the last
            time at which messages are known to have passed in both directions.
        heartbeat_sent_at: When this VM last sent the peer a heartbeat.
        excludes_us: Whether the peer reports that it excludes this VM from its view.
        in_view: Whether the peer is in this VM's view.
        left: Whether the peer has announced its graceful shutdown.
        left_at: When the peer first announced its shutdown.
        probe_extension_until: Until when the peer stays in the view because another VM
            reached it.
        probe_id: Number of the probe requested since the last echo, 0 for none.
        probe_confirmed_at: When another VM last reported that it reached the peer.
        probe_requested_at: When other VMs were last asked to probe the peer.
        hold_down_until: Until when the peer stays out of the view although it answers.
        loss_count: Number of losses since the peer was last stable.
        view_changed_at: When the peer last entered or left the view.
    """

    def __init__(self, vm: Vm, now: float, *, configured: bool) -> None:
        self.vm = vm
        self.configured = configured
        self.heartbeat_received = False
        self.latest_timestamp = 0.0
        self.heartbeat_received_at = NEVER
        self.last_echo = NEVER
        self.heartbeat_sent_at = NEVER
        self.excludes_us = False
        self.in_view = False
        self.left = False
        self.left_at = NEVER
        self.probe_extension_until = NEVER
        self.probe_id = 0
        self.probe_confirmed_at = NEVER
        self.probe_requested_at = NEVER
        self.hold_down_until = NEVER
        self.loss_count = 0
        self.view_changed_at = now

    def renew_incarnation(self, incarnation: int) -> None:
        """Reset the state for a higher incarnation of the peer."""
        self.vm = self.vm._replace(incarnation=incarnation)
        self.heartbeat_received = False
        self.latest_timestamp = 0.0
        self.last_echo = NEVER
        self.excludes_us = False
        self.left = False
        self.probe_extension_until = NEVER
        self.probe_id = 0

    def record_echo(self, timestamp: float) -> None:
        """Record that the peer echoed a timestamp of this VM."""
        if timestamp > self.last_echo:
            self.last_echo = timestamp
            self.probe_id = 0

    def reachable(self, now: float, settings: MembershipSettings) -> bool:
        """Return whether the peer counts as reachable, judged by this VM alone."""
        if now < self.hold_down_until:
            return False
        echo_recent = now - self.last_echo <= settings.remove_seconds
        return echo_recent or now < self.probe_extension_until

    def usable(self, now: float, settings: MembershipSettings) -> bool:
        """Return whether the peer belongs in this VM's view."""
        return not (self.left or self.excludes_us) and self.reachable(now, settings)

    def suspected(self, now: float, settings: MembershipSettings) -> bool:
        """Return whether the last echo is old enough for a probe by other VMs."""
        return self.in_view and now - self.last_echo > settings.suspect_seconds

    def record_loss(self, now: float, settings: MembershipSettings) -> None:
        """Record a loss and start the hold-down, which doubles with each loss."""
        if now - self.view_changed_at > settings.loss_reset_seconds:
            self.loss_count = 0
        hold_down = settings.hold_seconds * 2**self.loss_count
        self.hold_down_until = now + min(hold_down, settings.hold_max_seconds)
        self.loss_count += 1
