"""Estimates when uploads that wait for an entry VM's link would start and finish."""

from __future__ import annotations

import math
from typing import NamedTuple

from kumquatmux_tokens.link_account import LinkAccount
from kumquatmux_tokens.routes import Route
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.upload_queue import UploadQueue, WaitingUpload


class Estimate(NamedTuple):
    """When an upload would start and finish, in seconds from now."""

    start_s: float
    finish_s: float


class UploadEstimator:
    """Estimates from the uploads under way and those that wait before another one.

    Attributes:
        account: The link's queue and the uploads under way.
        queue: SYN packets that wait for the link.
        caller_timeout_s: Seconds from a caller's first SYN packet until it gives up.
        latest_start_s: Seconds from then until which its upload has to start.
    """

    def __init__(
        self, settings: TokenRouterSettings, account: LinkAccount, queue: UploadQueue
    ) -> None:
        self.settings = settings.link
        self.account = account
        self.queue = queue
        self.caller_timeout_s = settings.caller_syn_timeout_s
        self.latest_start_s = self.caller_timeout_s - self.settings.opening_reserve_s

    def estimate(self, waiting: WaitingUpload, now: float) -> Estimate:
        """Return when an upload would start and finish, if it waited."""
        account = self.account
        live = account.live_uploads(now)
        before = sum(map(account.remaining_bytes, live))
        before += self.queue.bytes_before(waiting, now)
        window = account.window_of(waiting.expected_bytes)
        # Uploads may overlap as far as their windows pass the link in time.
        overlap = self.settings.window_pass_s / account.carry_s(1.0) - window
        ahead = max(before - max(overlap, 0.0), 0.0)
        queue_s = account.queue_s(now)
        return Estimate(
            queue_s + account.upload_s(ahead),
            queue_s + account.upload_s(before + waiting.expected_bytes),
        )

    def is_in_time(
        self, waiting: WaitingUpload, route: Route, estimate: Estimate, now: float
    ) -> bool:
        """Return whether an upload starts and finishes before its caller's limits."""
        waited_s = now + self.caller_timeout_s - waiting.expires_at
        starts_in_time = waited_s + estimate.start_s <= self.latest_start_s
        return starts_in_time and waited_s + estimate.finish_s <= route.target_latency_s

    def wait_within_target_s(self, route: Route, data_bytes: float) -> float:
        """Return the seconds that an upload may wait and still reach its target."""
        return route.target_latency_s - self.account.upload_s(data_bytes)

    def wait_of_another_s(self, now: float) -> float:
        """Return the seconds that one more upload would wait here."""
        if not self.queue.by_flow:
            return 0.0
        lowest = max(self.queue.by_flow.values(), key=lambda one: one.priority)
        another = lowest._replace(was_refused=False, latest_start_at=math.inf)
        return self.estimate(another, now).start_s
