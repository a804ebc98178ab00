"""Names of ended work, for a bounded time and in bounded memory."""

from __future__ import annotations

from collections import OrderedDict

from kumquatmux_placement.settings import PlacementSettings


class RecentWorkIds:
    """Remembers ended work against repeats, oldest first.

    Attributes:
        ended: When each piece of work ended, in seconds.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.ended_at: OrderedDict[bytes, float] = OrderedDict()

    def add(self, work_id: bytes, now: float) -> None:
        """Remember work from now on, and forget the oldest if there is too much."""
        self.ended_at.pop(work_id, None)
        self.ended_at[work_id] = now
        self.evict_expired(now)
        if len(self.ended_at) > self.settings.ended_work_limit:
            self.ended_at.popitem(last=False)

    def contains(self, work_id: bytes, now: float) -> bool:
        """Return whether work is remembered."""
        self.evict_expired(now)
        return work_id in self.ended_at

    def evict_expired(self, now: float) -> None:
        """Forget work that ended too long ago."""
        expired_until = now - self.settings.ended_work_ttl_ms / 1000.0
        while self.ended_at and next(iter(self.ended_at.values())) <= expired_until:
            self.ended_at.popitem(last=False)
