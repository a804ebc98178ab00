"""Packets that waited in the socket's queue while this VM was paused."""

from __future__ import annotations

import math

from kumquatmux_tokens.settings import TokenRouterSettings

BACKLOG_MAX_S = 1.4
"""Seconds after a pause for which the packets read may have waited it out at most.

The queue is read empty long before, unless this VM can't keep up: then every packet
waits, and pauses tell nothing more.
"""


class Backlog:
    """Packets that may have waited out a pause longer than callers wait.

    The core can't see how long a packet waited. It knows that packets are read in the
    order of their arrival: all that arrived during the pause are read by the time that
    the queue is empty.

    Attributes:
        ends_at: Time from which packets did not wait out such a pause, in monotonic
            seconds.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.ends_at = -math.inf

    def note_pause(self, now: float, gap_s: float) -> None:
        """Note a pause that has just ended.

        A short one prolongs the backlog of a long one before it.

        Args:
            now: Time when the pause ended, in monotonic seconds.
            gap_s: Length of the pause in seconds.
        """
        was_long = gap_s > self.settings.caller_syn_timeout_s
        if was_long or self.is_unread(now - gap_s):
            self.ends_at = now + BACKLOG_MAX_S

    def note_queue_empty(self) -> None:
        """Note that no packet waits in the socket's queue."""
        self.ends_at = -math.inf

    def is_unread(self, now: float) -> bool:
        """Return whether a packet read now may have waited out such a pause."""
        return now < self.ends_at
