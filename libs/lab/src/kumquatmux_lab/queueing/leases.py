"""A service that outgrew one VM: slots leased to shards by demand."""

from __future__ import annotations

import heapq
import random
from collections import deque
from functools import singledispatchmethod
from typing import NamedTuple

from kumquatmux_core.identity import ServerId
from kumquatmux_core.rendezvous import first
from kumquatmux_placement.events import (
    Answered,
    Event,
    Held,
    Outcome,
    Placed,
    ServersChanged,
    Submit,
    Tick,
    Work,
)
from kumquatmux_placement.settings import PlacementSettings

SHARDS = 4


class Move(NamedTuple):
    """A slot on its way to the shard of some work.

    Attributes:
        at: When the shard gets it, in seconds.
        order: Breaks ties.
        work: The work it is meant for.
        server: Whose slot it is.
    """

    at: float
    order: int
    work: Work
    server: ServerId


class LeasedShards:
    """Shards place on leased slots; the rest waits in the queue of the service.

    A shard without a free slot sends its work to the queue (one message); the queue
    moves the lease of a free slot to that shard (two more messages).

    Attributes:
        free: Free leased slots by shard.
        queue: Work that no shard could place, in order.
        moves: Leases on their way.
    """

    message_s = 0.0005

    def __init__(self, settings: PlacementSettings, random: random.Random) -> None:
        self.random = random
        self.free: list[list[ServerId]] = [[] for _ in range(SHARDS)]
        self.queue: deque[Work] = deque()
        self.arriving: list[tuple[float, int, Work]] = []
        self.moves: list[Move] = []
        self.shard_of: dict[bytes, int] = {}
        self.order = 0
        self.moved = 0

    def handle(self, event: Event, now: float) -> list[Outcome]:
        """Take in one event and return what it decided."""
        return [*self.advance(now), *self.on(event, now)]

    def next_deadline(self) -> float:
        """Return when the next message arrives, in seconds."""
        times = [move.at for move in self.moves[:1]]
        times += [at for at, _, _ in self.arriving[:1]]
        return min(times, default=float("inf"))

    @singledispatchmethod
    def on(self, event: Event, now: float) -> list[Outcome]:
        """Decide about one event; most need no decision."""
        return []

    @on.register
    def _(self, event: ServersChanged, now: float) -> list[Outcome]:
        slots = [server.server for server in event.servers for _ in range(server.slots)]
        for number, slot in enumerate(slots):
            self.free[number % SHARDS].append(slot)
        return []

    @on.register
    def _(self, event: Submit, now: float) -> list[Outcome]:
        work = event.work
        shard = int(first(work.work_id, [str(n) for n in range(SHARDS)]) or 0)
        self.shard_of[work.work_id] = shard
        if self.free[shard]:
            slots = self.free[shard]
            slot = slots.pop(self.random.randrange(len(slots)))
            return [self.bind(work, slot, now)]
        self.order += 1
        heapq.heappush(self.arriving, (now + self.message_s, self.order, work))
        return [Held(work.work_id, work.service, float("inf"))]

    @on.register
    def _(self, event: Answered, now: float) -> list[Outcome]:
        shard = self.shard_of.pop(event.work_id)
        if self.queue:
            self.move(self.queue.popleft(), event.server, now)
        else:
            self.free[shard].append(event.server)
        return []

    @on.register
    def _(self, event: Tick, now: float) -> list[Outcome]:
        return []

    def advance(self, now: float) -> list[Outcome]:
        """Let the messages arrive that are due."""
        placed: list[Outcome] = []
        while self.arriving and self.arriving[0][0] <= now:
            self.overflow(heapq.heappop(self.arriving)[2], now)
        while self.moves and self.moves[0].at <= now:
            move = heapq.heappop(self.moves)
            placed.append(self.bind(move.work, move.server, now))
        return placed

    def overflow(self, work: Work, now: float) -> None:
        """Take a lease from the shard with most free slots, or queue the work."""
        richest = max(self.free, key=len)
        if richest:
            self.move(work, richest.pop(), now)
        else:
            self.queue.append(work)

    def move(self, work: Work, server: ServerId, now: float) -> None:
        """Send a slot to the shard of some work."""
        self.order += 1
        self.moved += 1
        at = now + 2 * self.message_s
        heapq.heappush(self.moves, Move(at, self.order, work, server))

    def bind(self, work: Work, server: ServerId, now: float) -> Placed:
        """Bind work to a server."""
        waited = now - work.arrival
        return Placed(work.work_id, work.service, server, "lease", 1, waited)


class FarLeasedShards(LeasedShards):
    """Shards in other availability zones than the queue of the service."""

    message_s = 0.005
