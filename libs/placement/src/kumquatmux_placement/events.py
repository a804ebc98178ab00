"""Events that admission handles and the outcomes that it returns."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from kumquatmux_core.identity import ServerId, ServiceName, ZoneName


class SizeClass(StrEnum):
    """Class of the expected run time of a work item."""

    UNKNOWN = "unknown"
    SHORT = "short"
    LONG = "long"


class Work(NamedTuple):
    """Work item that needs a backend server.

    Attributes:
        work_id: Unique id; the flow key on the packet path.
        service: Service that the work is for.
        caller: Caller, whose earlier work predicts the run time; empty if unknown.
        arrival: When the work arrived, in seconds.
        deadline: When it is refused if still held, in seconds; infinite if only the
            settings decide.
        repeatable: Whether it may be run a second time.
        size: Expected run-time class.
        attempt: 0 for the first attempt, 1 or more for retries after a refusal.
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
    """Whether a backend server may get new work; only a ready server may.

    A stale server is gone, or its announcement is out of date.
    """

    READY = "ready"
    DRAINING = "draining"
    STALE = "stale"


class Server(NamedTuple):
    """Backend server as announced to placement.

    Attributes:
        server: Id of the server.
        zone: Its availability zone.
        slots: How many work items it runs at once.
        connections: Maximum number of open connections.
        state: Whether it may get new work.
        since: When it announced itself, in seconds; slow start begins then.
    """

    server: ServerId
    zone: ZoneName
    slots: int
    connections: int
    state: ServerState
    since: float


class Submit(NamedTuple):
    """New work is submitted for placement."""

    work: Work


class Started(NamedTuple):
    """Placed work, or later work on the same flow, takes a slot of its server."""

    work_id: bytes
    server: ServerId


class Answered(NamedTuple):
    """The answer to work began: its slot is released, its connection stays open."""

    work_id: bytes
    server: ServerId


class Closed(NamedTuple):
    """The connection of work was closed; a slot that it still held is released."""

    work_id: bytes
    server: ServerId


class Adopted(NamedTuple):
    """Work that another VM placed is counted by this VM from now on."""

    work_id: bytes
    service: ServiceName
    server: ServerId


class Shed(NamedTuple):
    """The server refused or reset work before answering it."""

    work_id: bytes
    server: ServerId


class Cancel(NamedTuple):
    """The caller gave up waiting."""

    work_id: bytes


class OutcomeLost(NamedTuple):
    """It cannot be determined whether placed work ran."""

    work_id: bytes


class ServersChanged(NamedTuple):
    """The backend servers of a service changed; lists all of them."""

    service: ServiceName
    servers: tuple[Server, ...]


class LoadReported(NamedTuple):
    """Load report of a backend server, which may be late or wrong.

    Attributes:
        server: Id of the server.
        busy: Slots that the server says are in use.
        connections: Connections that the server says are open.
        age: Seconds since the report was made, as far as known.
    """

    server: ServerId
    busy: int
    connections: int
    age: float


class SlotDigest(NamedTuple):
    """Slot usage of one backend server, as its placer reports it to the backup VM.

    Attributes:
        server: Id of the server.
        busy: Number of slots in use.
        long: Number of slots in use by long work.
        connections: Number of open connections.
    """

    server: ServerId
    busy: int
    long: int
    connections: int


class Tick(NamedTuple):
    """Time has passed; deadlines are checked."""


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
    """Work was bound to a server; it is never bound to another one.

    Attributes:
        work_id: Id of the work.
        service: Service that the work is for.
        server: Id of the server.
        reason: Reason code of the selection.
        candidates: Number of servers that could have been selected.
        waited: How long the work was held, in seconds.
    """

    work_id: bytes
    service: ServiceName
    server: ServerId
    reason: str
    candidates: int
    waited: float


class Held(NamedTuple):
    """Work waits for a free slot; another outcome follows by its deadline.

    Attributes:
        work_id: Id of the work.
        service: Service that the work is for.
        until: Deadline, in seconds.
    """

    work_id: bytes
    service: ServiceName
    until: float


class Cancelled(NamedTuple):
    """Work was cancelled while it was held: it did not run."""

    work_id: bytes
    service: ServiceName


class Refused(NamedTuple):
    """Work was refused before any of it ran.

    Attributes:
        work_id: Id of the work.
        service: Service that the work is for.
        reason: Reason code of the refusal.
        waited: How long the work was held, in seconds.
    """

    work_id: bytes
    service: ServiceName
    reason: str
    waited: float


class Unknown(NamedTuple):
    """Work was placed, but whether it ran is unknown; it must not count as not run."""

    work_id: bytes
    service: ServiceName
    server: ServerId


Outcome = Placed | Held | Cancelled | Refused | Unknown
