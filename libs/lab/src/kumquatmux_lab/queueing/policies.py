"""Placement policies that the product's own is compared with."""

from __future__ import annotations

import random
from collections import deque
from functools import singledispatchmethod

from kumquatmux_core.identity import ServerId
from kumquatmux_core.rendezvous import first
from kumquatmux_placement.events import (
    Answered,
    Event,
    Held,
    LoadReported,
    Outcome,
    Placed,
    Server,
    ServersChanged,
    Submit,
    Work,
)
from kumquatmux_placement.settings import PlacementSettings

OWNERS = 6


class BoundAtArrival:
    """Binds each piece of work to a server when it arrives; the base of the others.

    Attributes:
        servers: The servers by name.
        reported: Work in progress by server, as last reported.
        own: Unfinished work by server, counted by this placer.
    """

    def __init__(self, settings: PlacementSettings, random: random.Random) -> None:
        self.settings = settings
        self.random = random
        self.servers: dict[ServerId, Server] = {}
        self.names: list[ServerId] = []
        self.reported: dict[ServerId, int] = {}
        self.own: dict[ServerId, int] = {}

    def handle(self, event: Event, now: float) -> list[Outcome]:
        """Take in one event and return what it decided."""
        return self.on(event, now)

    def next_deadline(self) -> float:
        """Return when a tick is needed: never."""
        return float("inf")

    @singledispatchmethod
    def on(self, event: Event, now: float) -> list[Outcome]:
        """Decide about one event; most need no decision."""
        return []

    @on.register
    def _(self, event: ServersChanged, now: float) -> list[Outcome]:
        self.servers = {server.server: server for server in event.servers}
        self.names = list(self.servers)
        self.own = {name: self.own.get(name, 0) for name in self.names}
        self.reported = {name: 0 for name in self.names}
        return []

    @on.register
    def _(self, event: LoadReported, now: float) -> list[Outcome]:
        self.reported[event.server] = event.busy
        return []

    @on.register
    def _(self, event: Submit, now: float) -> list[Outcome]:
        return [self.bind(event.work, self.choose(event.work), now)]

    @on.register
    def _(self, event: Answered, now: float) -> list[Outcome]:
        self.own[event.server] -= 1
        return []

    def bind(self, work: Work, server: ServerId, now: float) -> Placed:
        """Bind work to a server."""
        self.own[server] += 1
        waited = now - work.arrival
        return Placed(work.work_id, work.service, server, "bound", 1, waited)

    def choose(self, work: Work) -> ServerId:
        """Return the server for some work."""
        raise NotImplementedError

    def least(self, counts: dict[ServerId, int], names: list[ServerId]) -> ServerId:
        """Return the server with the smallest count, ties broken at random."""
        return min(names, key=lambda name: (counts[name], self.random.random()))


class AtRandom(BoundAtArrival):
    """Any server."""

    def choose(self, work: Work) -> ServerId:
        """Return the server for some work."""
        return self.random.choice(self.names)


class PlainHash(BoundAtArrival):
    """The first server of the rendezvous ranking."""

    def choose(self, work: Work) -> ServerId:
        """Return the server for some work."""
        return ServerId(first(work.work_id, self.names) or "")


class LeastReported(BoundAtArrival):
    """The server that reported the least work."""

    def choose(self, work: Work) -> ServerId:
        """Return the server for some work."""
        return self.least(self.reported, self.names)


class TwoChoicesReported(BoundAtArrival):
    """The one of two random servers that reported less work."""

    def choose(self, work: Work) -> ServerId:
        """Return the server for some work."""
        return self.least(self.reported, self.random.sample(self.names, 2))


class ExactAtArrival(BoundAtArrival):
    """The server with the least unfinished work, all of it counted."""

    def choose(self, work: Work) -> ServerId:
        """Return the server for some work."""
        return self.least(self.own, self.names)


class OwnWorkByOwner(BoundAtArrival):
    """The least unfinished work, each owner counting only its own."""

    def __init__(self, settings: PlacementSettings, random: random.Random) -> None:
        super().__init__(settings, random)
        self.owners: list[BoundAtArrival] = [
            ExactAtArrival(settings, random) for _ in range(OWNERS)
        ]

    def handle(self, event: Event, now: float) -> list[Outcome]:
        """Take in one event at the owners it concerns."""
        if isinstance(event, (ServersChanged, LoadReported)):
            for owner in self.owners:
                owner.handle(event, now)
            return []
        if isinstance(event, Submit):
            return self.owners[owner_of(event.work.work_id)].handle(event, now)
        if isinstance(event, Answered):
            return self.owners[owner_of(event.work_id)].handle(event, now)
        return []


class OneQueue(BoundAtArrival):
    """One queue for all work; a server is bound when a slot frees."""

    def __init__(self, settings: PlacementSettings, random: random.Random) -> None:
        super().__init__(settings, random)
        self.queue: deque[Work] = deque()

    @singledispatchmethod
    def on(self, event: Event, now: float) -> list[Outcome]:
        """Decide about one event."""
        return super().on(event, now)

    @on.register
    def _(self, event: Submit, now: float) -> list[Outcome]:
        self.queue.append(event.work)
        placed = self.drain(now)
        if self.queue and self.queue[-1] is event.work:
            held = Held(event.work.work_id, event.work.service, float("inf"))
            return [*placed, held]
        return placed

    @on.register
    def _(self, event: Answered, now: float) -> list[Outcome]:
        self.own[event.server] -= 1
        return self.drain(now)

    def drain(self, now: float) -> list[Outcome]:
        """Bind queued work to the free slots."""
        placed: list[Outcome] = []
        while self.queue:
            free = [name for name in self.names if self.free(name) > 0]
            if not free:
                break
            server = self.least(self.own, free)
            placed.append(self.bind(self.queue.popleft(), server, now))
        return placed

    def free(self, name: ServerId) -> int:
        """Return the free slots of a server."""
        return self.servers[name].slots - self.own[name]


class SplitForGood(OwnWorkByOwner):
    """Slots split among the owners for good, each with a queue of its own."""

    def __init__(self, settings: PlacementSettings, random: random.Random) -> None:
        super().__init__(settings, random)
        self.owners = [OneQueue(settings, random) for _ in range(OWNERS)]

    def handle(self, event: Event, now: float) -> list[Outcome]:
        """Deal the slots of a change in turn, and the rest by owner."""
        if not isinstance(event, ServersChanged):
            return super().handle(event, now)
        shares: list[dict[ServerId, int]] = [{} for _ in self.owners]
        dealt = 0
        for server in event.servers:
            for _ in range(server.slots):
                share = shares[dealt % OWNERS]
                share[server.server] = share.get(server.server, 0) + 1
                dealt += 1
        for owner, share in zip(self.owners, shares, strict=True):
            cut = [
                server._replace(slots=share[server.server])
                for server in event.servers
                if server.server in share
            ]
            owner.handle(ServersChanged(event.service, tuple(cut)), now)
        return []


def owner_of(work_id: bytes) -> int:
    """Return which owner has some work."""
    return int(first(work_id, [str(number) for number in range(OWNERS)]) or 0)
