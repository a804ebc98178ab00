"""Queue of work that waits for a free slot."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import NamedTuple

from kumquatmux_placement.events import SizeClass, Work
from kumquatmux_placement.settings import PlacementSettings
from kumquatmux_placement.standing_queue import StandingQueue


class QueuedWork(NamedTuple):
    """Work item that waits for a free slot.

    Attributes:
        work: The work item.
        run_time_class: Its expected run-time class.
        queued_at: When it was queued, in seconds.
        expires_at: When it is refused if it was not placed, in seconds.
    """

    work: Work
    run_time_class: SizeClass
    queued_at: float
    expires_at: float


class WaitQueue:
    """Queued work of one service: long work last, otherwise in order of arrival.

    Work is held for a shorter time while the queue is a standing queue.

    Attributes:
        settings: Placement settings.
        short_queue: Work not expected to be long, in order of arrival; served first.
        long_queue: Work expected to be long, in order of arrival.
        expiry_heap: Heap of expiry times and work ids, some of work already removed.
        standing: Tells whether the queue is a standing queue.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.standing = StandingQueue(settings)
        self.short_queue: OrderedDict[bytes, QueuedWork] = OrderedDict()
        self.long_queue: OrderedDict[bytes, QueuedWork] = OrderedDict()
        self.expiry_heap: list[tuple[float, bytes]] = []

    def __len__(self) -> int:
        return len(self.short_queue) + len(self.long_queue)

    def queues(self) -> tuple[OrderedDict[bytes, QueuedWork], ...]:
        """Return the queues in the order in which they are served."""
        return self.short_queue, self.long_queue

    def get(self, work_id: bytes) -> QueuedWork | None:
        """Return the queued work with this id, if any."""
        return self.short_queue.get(work_id) or self.long_queue.get(work_id)

    def enqueue(self, queued: QueuedWork) -> None:
        """Append work to its queue."""
        self.standing.note_queued(queued.queued_at)
        queue = (
            self.long_queue
            if queued.run_time_class is SizeClass.LONG
            else self.short_queue
        )
        queue[queued.work.work_id] = queued
        heapq.heappush(self.expiry_heap, (queued.expires_at, queued.work.work_id))

    def remove(self, work_id: bytes) -> QueuedWork | None:
        """Remove work and return it, if it was queued."""
        removed = self.short_queue.pop(work_id, None) or self.long_queue.pop(
            work_id, None
        )
        if not self:
            self.standing.note_empty()
        if removed is not None and len(self.expiry_heap) > 2 * len(self) + 16:
            self.compact_expiry_heap()
        return removed

    def compact_expiry_heap(self) -> None:
        """Drop the expiry times of removed work."""
        queued_work = [*self.short_queue.values(), *self.long_queue.values()]
        self.expiry_heap = [
            (queued.expires_at, queued.work.work_id) for queued in queued_work
        ]
        heapq.heapify(self.expiry_heap)

    def max_hold_s(self, now: float) -> float:
        """Return the longest time for which work is held now, in seconds."""
        if self.standing.is_standing(now):
            return min(self.settings.crest_hold_ms, self.settings.hold_ms) / 1000.0
        return self.settings.hold_ms / 1000.0

    def next_deadline(self) -> float:
        """Return when queued work may next be refused, in seconds."""
        standing_hold_s = (
            min(self.settings.crest_hold_ms, self.settings.hold_ms) / 1000.0
        )
        oldest_queued_at = min(
            (head.queued_at for head in self.queue_heads()), default=float("inf")
        )
        return min(
            self.next_expiry(),
            max(oldest_queued_at + standing_hold_s, self.standing.starts_at),
        )

    def queue_heads(self) -> list[QueuedWork]:
        """Return the oldest work of each nonempty queue."""
        return [next(iter(queue.values())) for queue in self.queues() if queue]

    def next_expiry(self) -> float:
        """Return the first expiry time of queued work; infinite if there is none."""
        while self.expiry_heap:
            expires_at, work_id = self.expiry_heap[0]
            queued = self.get(work_id)
            if queued is not None and queued.expires_at == expires_at:
                return expires_at
            heapq.heappop(self.expiry_heap)
        return float("inf")

    def remove_expired(self, now: float) -> list[QueuedWork]:
        """Remove and return the work that has expired or was held too long."""
        removed: list[QueuedWork] = []
        while self.next_expiry() <= now:
            queued = self.remove(self.expiry_heap[0][1])
            if queued is not None:
                removed.append(queued)
        return [*removed, *self.remove_held_too_long(now)]

    def remove_held_too_long(self, now: float) -> list[QueuedWork]:
        """Remove and return the work held for ``max_hold_s`` or longer."""
        removed: list[QueuedWork] = []
        hold_s = self.max_hold_s(now)
        for queued in self.queue_heads():
            while queued.queued_at + hold_s <= now:
                self.remove(queued.work.work_id)
                removed.append(queued)
                queue = (
                    self.long_queue
                    if queued.run_time_class is SizeClass.LONG
                    else self.short_queue
                )
                if not queue:
                    break
                queued = next(iter(queue.values()))
        return removed
