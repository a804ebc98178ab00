"""Silence that a VM may judge others by: only what it listened through itself.

A VM that stood still, was starved or has just started has heard nothing either. What
arrived meanwhile may not have been read yet, so that silence counts from its return.
"""

from __future__ import annotations

import math

PAUSED_AFTER_S = 1.0
"""Seconds between two looks after which a VM is taken to have stood still."""


class Listening:
    """Tells the silence of others from that of this VM.

    A machine's monotonic clock stands still while the machine is suspended, so only
    gaps that the clock shows count.

    Attributes:
        paused_after_s: Seconds between two looks after which this VM is taken to have
            stood still.
        since: Time since which this VM has listened without a pause, in seconds of the
            monotonic clock. A VM that notes no looks is taken to listen all the time.
        last_look_at: Time of the latest look, in seconds of the monotonic clock.
        latest_gap_s: Seconds of the pause that ended at ``since``, 0 if it is the first
            look.
    """

    def __init__(self, paused_after_s: float = PAUSED_AFTER_S) -> None:
        self.paused_after_s = paused_after_s
        self.since = -math.inf
        self.last_look_at = -math.inf
        self.latest_gap_s = 0.0

    def note(self, now: float) -> None:
        """Note that this VM looks at what has arrived; call it before it judges."""
        is_first = self.last_look_at == -math.inf
        if now > self.last_look_at + self.paused_after_s:
            self.since = now
            self.latest_gap_s = 0.0 if is_first else now - self.last_look_at
        self.last_look_at = now

    def silent_s(self, heard_at: float, now: float) -> float:
        """Return the seconds for which this VM has listened without hearing another.

        Args:
            heard_at: Time at which the other was last heard, ``-math.inf`` for never.
            now: The time, in seconds of the monotonic clock.
        """
        return max(now - max(heard_at, self.since), 0.0)
