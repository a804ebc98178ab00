"""Ids of recently ended work, for a bounded time and in bounded memory."""

from __future__ import annotations

from collections import OrderedDict

from kumquatmux_placement.settings import PlacementSettings


class RecentWorkIds:
    """Ids of recently ended work, by which repeated submissions are recognized.

    Attributes:
        settings: Placement settings.
        ended_at: When each work item ended, by work id, in seconds; oldest first.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.ended_at: OrderedDict[bytes, float] = OrderedDict()

    def add(self, work_id: bytes, now: float) -> None:
        """Add a work id at time ``now``; drop the oldest if there are too many."""
        self.ended_at.pop(work_id, None)
        self.ended_at[work_id] = now
        self.evict_expired(now)
        if len(self.ended_at) > self.settings.ended_work_limit:
            self.ended_at.popitem(last=False)

    def contains(self, work_id: bytes, now: float) -> bool:
        """Return whether a work id is still remembered."""
        self.evict_expired(now)
        return work_id in self.ended_at

    def evict_expired(self, now: float) -> None:
        """Remove the ids of work that ended more than ``ended_work_ttl_ms`` ago."""
        expired_until = now - self.settings.ended_work_ttl_ms / 1000.0
        while self.ended_at and next(iter(self.ended_at.values())) <= expired_until:
            self.ended_at.popitem(last=False)
