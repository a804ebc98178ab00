"""Rule that tells a queue that keeps standing from one that drains."""

from __future__ import annotations

import math

from kumquatmux_placement.settings import PlacementSettings


class StandingQueue:
    """Tells whether a queue has not been empty for ``standing_queue_after_ms``.

    Demand then exceeds the capacity of the servers, and a longer wait does not help.

    Attributes:
        settings: Placement settings.
        nonempty_since: When the queue became nonempty, in seconds; infinite if empty.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.nonempty_since = math.inf

    @property
    def starts_at(self) -> float:
        """When the queue is a standing queue if it stays nonempty, in seconds."""
        return self.nonempty_since + self.settings.standing_queue_after_ms / 1000.0

    def note_queued(self, queued_at: float) -> None:
        """Note that something was queued at a time, in seconds."""
        self.nonempty_since = min(self.nonempty_since, queued_at)

    def note_empty(self) -> None:
        """Note that the queue is empty."""
        self.nonempty_since = math.inf

    def is_standing(self, now: float) -> bool:
        """Return whether the queue is a standing queue."""
        return now >= self.starts_at
