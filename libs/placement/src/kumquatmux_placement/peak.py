"""Maximum of a count over a recent time window."""

from __future__ import annotations


class RecentPeak:
    """Maximum of a count over the last one to two time windows.

    Attributes:
        window_s: Length of a time window, in seconds.
        current_peak: Maximum in the current window.
        previous_peak: Maximum in the previous window.
        window_start: Start of the current window, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.current_peak = 0
        self.previous_peak = 0
        self.window_start = float("-inf")

    def record(self, value: int, now: float) -> None:
        """Record the current value of the count."""
        if now - self.window_start >= self.window_s:
            skipped_window = now - self.window_start >= 2 * self.window_s
            self.previous_peak = 0 if skipped_window else self.current_peak
            self.current_peak = 0
            self.window_start = now
        self.current_peak = max(self.current_peak, value)

    def peak(self, now: float) -> int:
        """Return the maximum over the current and the previous window."""
        self.record(0, now)
        return max(self.current_peak, self.previous_peak)
