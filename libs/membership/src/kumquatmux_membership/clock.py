"""A clock that never runs backwards, whatever the one it reads does."""

from __future__ import annotations


class MonotonicClock:
    """Turns readings of a clock that may jump back into a growing one.

    Args:
        penalty_seconds: How far the steady clock moves on when the other jumps back, so
            that whatever was fresh before the jump is not fresh after it.
    """

    def __init__(self, jump_advance_seconds: float) -> None:
        self.jump_advance_seconds = jump_advance_seconds
        self.offset = 0.0
        self.latest_time = float("-inf")

    def from_source(self, source_time: float) -> float:
        """Return the steady time for a reading, in seconds."""
        if source_time + self.offset < self.latest_time:
            self.offset = self.latest_time + self.jump_advance_seconds - source_time
        self.latest_time = source_time + self.offset
        return self.latest_time

    def to_source(self, monotonic_time: float) -> float:
        """Return the reading that a steady time stands for, in seconds."""
        return monotonic_time - self.offset
