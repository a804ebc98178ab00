"""Rate of events over the last one to two time windows."""

from __future__ import annotations

import math


class RecentRate:
    """Counts events in two time windows, the current one and the one before.

    Attributes:
        window_s: Length of a time window in seconds.
        counting_since: Start of the time that both counts cover, in monotonic seconds.
        window_start: Start of the current window, in monotonic seconds.
        current: Events in the current window.
        previous: Events in the window before.
    """

    __slots__ = ("counting_since", "current", "previous", "window_s", "window_start")

    def __init__(self, window_s: float, now: float) -> None:
        self.window_s = window_s
        self.restart(now)

    def restart(self, now: float) -> None:
        """Forget all events and start to count."""
        self.counting_since = now
        self.window_start = now
        self.current = 0
        self.previous = 0

    def record(self, now: float) -> None:
        """Count an event."""
        self._start_window(now)
        self.current += 1

    def count(self, now: float) -> int:
        """Return the number of events since ``counting_since``."""
        self._start_window(now)
        return self.previous + self.current

    def measured_s(self, now: float) -> float:
        """Return the seconds that the count covers."""
        self._start_window(now)
        return now - self.counting_since

    def per_s(self, now: float) -> float:
        """Return the events a second, infinity if no time has passed."""
        measured_s = self.measured_s(now)
        return self.count(now) / measured_s if measured_s > 0 else math.inf

    def _start_window(self, now: float) -> None:
        """Start a new window if the current one is over; restart after a gap."""
        elapsed_s = now - self.window_start
        if elapsed_s < self.window_s:
            return
        if elapsed_s >= 2 * self.window_s:
            self.restart(now)
            return
        self.counting_since = self.window_start
        self.window_start = now
        self.previous = self.current
        self.current = 0
