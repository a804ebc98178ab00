"""The highest of a count in the recent past."""

from __future__ import annotations


class RecentPeak:
    """Highest value noted in the last one to two spans of time.

    Attributes:
        span_s: Length of a span, in seconds.
        current: Highest value of the span that runs now.
        previous: Highest value of the span before.
        began: When the span that runs now began, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.current_peak = 0
        self.previous_peak = 0
        self.window_start = float("-inf")

    def record(self, value: int, now: float) -> None:
        """Take in the value the count has now."""
        if now - self.window_start >= self.window_s:
            skipped_window = now - self.window_start >= 2 * self.window_s
            self.previous_peak = 0 if skipped_window else self.current_peak
            self.current_peak = 0
            self.window_start = now
        self.current_peak = max(self.current_peak, value)

    def peak(self, now: float) -> int:
        """Return the highest value of the recent past."""
        self.record(0, now)
        return max(self.current_peak, self.previous_peak)
