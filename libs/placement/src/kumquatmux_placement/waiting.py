"""Work that is held until a slot frees."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import NamedTuple

from kumquatmux_placement.events import SizeClass, Work


class Waiting(NamedTuple):
    """One held piece of work.

    Attributes:
        work: The work.
        size: Its expected size.
        since: When it was first held, in seconds.
        until: When it is refused, in seconds.
    """

    work: Work
    size: SizeClass
    since: float
    until: float


class WaitingLine:
    """The held work of one service, by expected size and then by arrival."""

    def __init__(self) -> None:
        self.short: OrderedDict[bytes, Waiting] = OrderedDict()
        self.long: OrderedDict[bytes, Waiting] = OrderedDict()
        self.deadlines: list[tuple[float, bytes]] = []

    def __len__(self) -> int:
        return len(self.short) + len(self.long)

    def lines(self) -> tuple[OrderedDict[bytes, Waiting], ...]:
        """Return the held work by line, the one that goes first in front."""
        return self.short, self.long

    def get(self, work_id: bytes) -> Waiting | None:
        """Return the held work of that name, if any."""
        return self.short.get(work_id) or self.long.get(work_id)

    def add(self, waiting: Waiting) -> None:
        """Put work at the end of its line."""
        line = self.long if waiting.size is SizeClass.LONG else self.short
        line[waiting.work.work_id] = waiting
        heapq.heappush(self.deadlines, (waiting.until, waiting.work.work_id))

    def remove(self, work_id: bytes) -> Waiting | None:
        """Take work out and return it, if it was held."""
        waiting = self.short.pop(work_id, None) or self.long.pop(work_id, None)
        if waiting is not None and len(self.deadlines) > 2 * len(self) + 16:
            self.compact()
        return waiting

    def compact(self) -> None:
        """Drop the deadlines of work that is gone."""
        held = [*self.short.values(), *self.long.values()]
        self.deadlines = [(waiting.until, waiting.work.work_id) for waiting in held]
        heapq.heapify(self.deadlines)

    def next_deadline(self) -> float:
        """Return the first deadline of held work, infinite without any."""
        while self.deadlines:
            until, work_id = self.deadlines[0]
            waiting = self.get(work_id)
            if waiting is not None and waiting.until == until:
                return until
            heapq.heappop(self.deadlines)
        return float("inf")

    def expired(self, now: float) -> list[Waiting]:
        """Take out and return the work whose deadline has come."""
        gone: list[Waiting] = []
        while self.next_deadline() <= now:
            waiting = self.remove(self.deadlines[0][1])
            if waiting is not None:
                gone.append(waiting)
        return gone
