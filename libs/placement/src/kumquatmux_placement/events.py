"""What admission is told and what it answers."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from kumquatmux_core.identity import ServerId, ServiceName, ZoneName


class SizeClass(StrEnum):
    """How long a piece of work is expected to run."""

    UNKNOWN = "unknown"
    SHORT = "short"
    LONG = "long"


class Work(NamedTuple):
    """One piece of work that wants a backend server.

    Attributes:
        work_id: Unique name; the flow key on the packet path.
        service: The service it is for.
        caller: Who asks, for what is known of earlier work; empty if unknown.
        arrival: When it arrived, in seconds.
        deadline: When holding it ends, in seconds; infinite if the settings decide.
        repeatable: Whether it may be run a second time.
        size: Expected size.
        attempt: 0 for the first try, 1 and more for retries after a refusal.
    """

    work_id: bytes
    service: ServiceName
    caller: str
    arrival: float
    deadline: float = float("inf")
    repeatable: bool = False
    size: SizeClass = SizeClass.UNKNOWN
    attempt: int = 0


class ServerState(StrEnum):
    """What a backend server may be used for."""

    READY = "ready"
    DRAINING = "draining"
    STALE = "stale"


class Server(NamedTuple):
    """A backend server as placement sees it.

    Attributes:
        server: Its name.
        zone: Its availability zone.
        slots: Pieces of work it runs at once.
        connections: Connections it holds at most.
        state: Whether new work may go to it.
        since: When it announced itself, in seconds, for slow start.
    """

    server: ServerId
    zone: ZoneName
    slots: int
    connections: int
    state: ServerState
    since: float


class Submit(NamedTuple):
    """New work asks for a server."""

    work: Work


class Started(NamedTuple):
    """Placed work (or later work on the same flow) takes a slot of its server."""

    work_id: bytes
    server: ServerId


class Answered(NamedTuple):
    """Work began to be answered: its slot is free, its connection stays."""

    work_id: bytes
    server: ServerId


class Closed(NamedTuple):
    """The connection of some work is gone, with its slot if it still held one."""

    work_id: bytes
    server: ServerId


class Adopted(NamedTuple):
    """Work placed by another VM is counted here from now on."""

    work_id: bytes
    service: ServiceName
    server: ServerId


class Shed(NamedTuple):
    """The server refused or reset work before answering it."""

    work_id: bytes
    server: ServerId


class Cancel(NamedTuple):
    """The caller gave up."""

    work_id: bytes


class OutcomeLost(NamedTuple):
    """Nobody can tell whether placed work ran."""

    work_id: bytes


class ServersChanged(NamedTuple):
    """The backend servers of a service, all of them."""

    service: ServiceName
    servers: tuple[Server, ...]


class LoadReported(NamedTuple):
    """A server's own report, which may be late or wrong.

    Attributes:
        server: Which server.
        busy: Slots it says are in use.
        connections: Connections it says are open.
        age: Seconds since the report was made, as far as known.
    """

    server: ServerId
    busy: int
    connections: int
    age: float


class SlotDigest(NamedTuple):
    """What a placer tells its backup about one backend server.

    Attributes:
        server: Which server.
        busy: Slots in use.
        long: How many of them are in use by long work.
        connections: Connections open.
    """

    server: ServerId
    busy: int
    long: int
    connections: int


class Tick(NamedTuple):
    """Time has passed; deadlines are looked at."""


Event = (
    Submit
    | Started
    | Answered
    | Closed
    | Adopted
    | Shed
    | Cancel
    | OutcomeLost
    | ServersChanged
    | LoadReported
    | Tick
)


class Placed(NamedTuple):
    """Work was given to a server; it is never given to another one."""

    work_id: bytes
    service: ServiceName
    server: ServerId
    reason: str
    candidates: int
    waited: float


class Held(NamedTuple):
    """Work waits for a slot; another outcome follows by its deadline."""

    work_id: bytes
    service: ServiceName
    until: float


class Cancelled(NamedTuple):
    """Work was withdrawn while held: it did not run."""

    work_id: bytes
    service: ServiceName


class Refused(NamedTuple):
    """Work was refused before any of it ran."""

    work_id: bytes
    service: ServiceName
    reason: str
    waited: float


class Unknown(NamedTuple):
    """Work was placed and its fate is not known: never ``not run``."""

    work_id: bytes
    service: ServiceName
    server: ServerId


Outcome = Placed | Held | Cancelled | Refused | Unknown
