"""A simulated clock: calls in order of time."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class SimulatedClock:
    """Runs calls at their times; nothing waits.

    Attributes:
        now: The simulated time, in seconds.
        calls: What is still to be called, with its time and order.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.calls: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Call something at a time, in seconds."""
        self.count += 1
        heapq.heappush(self.calls, (max(time, self.now), self.count, call))

    def run(self, until: float) -> None:
        """Make all calls up to a time, in seconds."""
        while self.calls and self.calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self.calls)
            call()
