"""What one VM knows of another."""

from __future__ import annotations

from kumquatmux_core.identity import Vm
from kumquatmux_membership.settings import MembershipSettings

NEVER = float("-inf")


class Peer:
    """One other VM, reachable or not.

    Attributes:
        vm: Its addresses and the highest incarnation seen.
        listed: Whether the settings name it.
        introduced: Whether it has spoken under its present incarnation.
        heard: Its latest stamp, by its own clock.
        heard_at: When that stamp arrived, by ours.
        contact: Our latest stamp that it echoed: when it surely heard us, and we it.
        sent: When we sent it a heartbeat last.
        refused: Whether it says that it does not use us.
        live: Whether it is in our view.
        left: Whether it said that it shuts down.
        left_at: When it first said so.
        extended_until: Until when it stays because another VM reached it.
        probe: Number of the probe others make since the last contact, 0 for none.
        vouched: When another VM last said that it reached it.
        probe_at: When others were last asked to probe it.
        hold_until: Until when it stays out although it answers.
        losses: How often it was lost since it was last stable.
        since: When it last entered or left the view.
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
        """Start anew with a higher incarnation of the VM."""
        self.vm = self.vm._replace(incarnation=incarnation)
        self.heartbeat_received = False
        self.latest_timestamp = 0.0
        self.last_echo = NEVER
        self.excludes_us = False
        self.left = False
        self.probe_extension_until = NEVER
        self.probe_id = 0

    def record_echo(self, timestamp: float) -> None:
        """Note that it echoed one of our stamps."""
        if timestamp > self.last_echo:
            self.last_echo = timestamp
            self.probe_id = 0

    def reachable(self, now: float, settings: MembershipSettings) -> bool:
        """Whether it and we hear each other, judged from our side alone."""
        if now < self.hold_down_until:
            return False
        echo_recent = now - self.last_echo <= settings.remove_seconds
        return echo_recent or now < self.probe_extension_until

    def usable(self, now: float, settings: MembershipSettings) -> bool:
        """Whether it belongs in our view."""
        return not (self.left or self.excludes_us) and self.reachable(now, settings)

    def suspected(self, now: float, settings: MembershipSettings) -> bool:
        """Whether its last echo is old enough to have others probe it."""
        return self.in_view and now - self.last_echo > settings.suspect_seconds

    def record_loss(self, now: float, settings: MembershipSettings) -> None:
        """Note a loss; the hold before its return doubles with each."""
        if now - self.view_changed_at > settings.loss_reset_seconds:
            self.loss_count = 0
        hold_down = settings.hold_seconds * 2**self.loss_count
        self.hold_down_until = now + min(hold_down, settings.hold_max_seconds)
        self.loss_count += 1
