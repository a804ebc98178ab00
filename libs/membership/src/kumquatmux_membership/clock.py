"""A monotonic clock derived from a clock that may jump backwards."""

from __future__ import annotations


class MonotonicClock:
    """Converts the time of a clock that may jump backwards to monotonic time.

    Args:
        jump_advance_seconds: How far the monotonic time advances when the source clock
            jumps backwards, so that nothing that was fresh before the jump is fresh
            after it.
    """

    def __init__(self, jump_advance_seconds: float) -> None:
        self.jump_advance_seconds = jump_advance_seconds
        self.offset = 0.0
        self.latest_time = float("-inf")

    def from_source(self, source_time: float) -> float:
        """Convert a time of the source clock to monotonic time, both in seconds."""
        if source_time + self.offset < self.latest_time:
            self.offset = self.latest_time + self.jump_advance_seconds - source_time
        self.latest_time = source_time + self.offset
        return self.latest_time

    def to_source(self, monotonic_time: float) -> float:
        """Convert a monotonic time to a time of the source clock, both in seconds."""
        return monotonic_time - self.offset
