"""What happened in a run of whole entry VMs, and a checker for each promise."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeVar

from kumquatmux_core.identity import ServerId, ServiceName, VmId
from kumquatmux_lab.standin.caller import Fate

LEAVING_LIMIT_S = 3.0
SILENT_LIMIT_S = 80.0


class FlowStarted(NamedTuple):
    """A caller opened a flow."""

    at: float
    request_id: int
    service: ServiceName
    is_feed: bool


class FlowEnded(NamedTuple):
    """A caller's flow ended.

    Attributes:
        at: When, in seconds.
        request_id: Which flow.
        fate: What became of it.
        detail: Why, as the caller saw it.
    """

    at: float
    request_id: int
    fate: Fate
    detail: str


class WorkRan(NamedTuple):
    """A backend server began a request."""

    at: float
    request_id: int
    service: ServiceName
    server: ServerId
    server_service: ServiceName


class FlowReached(NamedTuple):
    """A backend server saw a new connection."""

    at: float
    server: ServerId


class RetireAccepted(NamedTuple):
    """A backend server's drain or leave was accepted."""

    at: float
    server: ServerId


class RevisionSeen(NamedTuple):
    """A VM runs a settings revision."""

    at: float
    vm: VmId
    incarnation: int
    revision: int


class RevisionAccepted(NamedTuple):
    """A revision was accepted and told to at least one VM."""

    at: float
    revision: int


class FaultMade(NamedTuple):
    """Something was disturbed.

    Attributes:
        at: When, in seconds.
        kind: What kind.
        target: What it hit.
        is_planned: Whether operators or the platform meant it.
    """

    at: float
    kind: str
    target: str
    is_planned: bool


class FlowSilenced(NamedTuple):
    """Something between the system and the server lost track of a flow."""

    at: float
    request_id: int


class SideCut(NamedTuple):
    """A zone was cut off for some time; servers and callers are on both sides."""

    at: float
    until: float


class PlacedOnSide(NamedTuple):
    """A VM placed a flow while a zone was cut off; tells on which side."""

    at: float
    in_cut_zone: bool


Event = (
    FlowStarted
    | FlowEnded
    | WorkRan
    | FlowReached
    | RetireAccepted
    | RevisionSeen
    | RevisionAccepted
    | FaultMade
    | FlowSilenced
    | SideCut
    | PlacedOnSide
)
History = list[Event]
E = TypeVar("E")
Checker = Callable[[History], list[str]]


def open_flows_survive(history: History) -> list[str]:
    """No flow is broken by what the run did, other than by losing track of it."""
    silenced = {e.request_id for e in _of(history, FlowSilenced)}
    return [
        f"flow {e.request_id} broken at {e.at:.2f}: {e.detail}"
        for e in _of(history, FlowEnded)
        if e.fate is Fate.BROKEN and e.request_id not in silenced
    ]


def right_service_only(history: History) -> list[str]:
    """Every request ran at a server of the service it was meant for."""
    wrong = [
        f"request {e.request_id} for {e.service} ran at {e.server_service}"
        for e in _of(history, WorkRan)
        if e.service != e.server_service
    ]
    crossed = [
        f"flow {e.request_id} was answered by another service"
        for e in _of(history, FlowEnded)
        if e.fate is Fate.MISROUTED
    ]
    return wrong + crossed


def whole_answer(history: History) -> list[str]:
    """No caller got another's answer or a damaged one."""
    return [
        f"flow {e.request_id} got a wrong answer: {e.detail}"
        for e in _of(history, FlowEnded)
        if e.detail in ("other-answer", "damaged", "other-server")
    ]


def not_run_is_true(history: History) -> list[str]:
    """A refused flow's request ran nowhere."""
    ran = {e.request_id for e in _of(history, WorkRan)}
    return [
        f"flow {e.request_id} was refused and ran"
        for e in _of(history, FlowEnded)
        if e.fate is Fate.REFUSED and e.request_id in ran
    ]


def at_most_once(history: History) -> list[str]:
    """No request ran twice."""
    runs = Counter(e.request_id for e in _of(history, WorkRan))
    return [f"request {number} ran {n} times" for number, n in runs.items() if n > 1]


def nothing_new_when_leaving(history: History) -> list[str]:
    """A leaving server sees no new connection later than 3 s after its call."""
    retired = {e.server: e.at for e in _of(history, RetireAccepted)}
    return [
        f"{e.server} got a new flow {e.at - retired[e.server]:.2f} s after its call"
        for e in _of(history, FlowReached)
        if e.server in retired and e.at > retired[e.server] + LEAVING_LIMIT_S
    ]


def revisions_never_revert(history: History) -> list[str]:
    """The revision of each VM only grows while it runs."""
    latest: dict[tuple[VmId, int], int] = {}
    found = []
    for event in _of(history, RevisionSeen):
        key = (event.vm, event.incarnation)
        if event.revision < latest.get(key, 0):
            found.append(f"{event.vm} went back to {event.revision}")
        latest[key] = event.revision
    return found


def revisions_reach_all(history: History) -> list[str]:
    """At the end every VM that runs has the highest accepted revision."""
    accepted = max((e.revision for e in _of(history, RevisionAccepted)), default=0)
    last = {e.vm: e.revision for e in _of(history, RevisionSeen)}
    return [
        f"{vm} runs {revision} of {accepted}"
        for vm, revision in last.items()
        if revision != accepted
    ]


def both_sides_serve(history: History) -> list[str]:
    """While a zone is cut off, flows are placed on both sides."""
    found = []
    for cut in _of(history, SideCut):
        sides = {
            e.in_cut_zone
            for e in _of(history, PlacedOnSide)
            if cut.at + LEAVING_LIMIT_S < e.at < cut.until
        }
        found += [f"no flow placed on a side: {side}" for side in {True, False} - sides]
    return found


def silent_flow_found(history: History) -> list[str]:
    """A flow that lost its way is reset in bounded time, a quiet one never."""
    ended = {e.request_id: e for e in _of(history, FlowEnded)}
    found = []
    for event in _of(history, FlowSilenced):
        end = ended.get(event.request_id)
        is_reset = end is not None and end.detail == "reset"
        if end is None or not is_reset or end.at > event.at + SILENT_LIMIT_S:
            found.append(f"flow {event.request_id} stayed silent")
    return found


CHECKERS: tuple[Checker, ...] = (
    open_flows_survive,
    right_service_only,
    whole_answer,
    not_run_is_true,
    at_most_once,
    nothing_new_when_leaving,
    revisions_never_revert,
    revisions_reach_all,
    both_sides_serve,
    silent_flow_found,
)


def check(history: History) -> tuple[str, ...]:
    """Return what every checker finds, with its name."""
    return tuple(
        f"{checker.__name__}: {text}"
        for checker in CHECKERS
        for text in checker(history)
    )


def _of(history: Iterable[Event], kind: type[E]) -> list[E]:
    return [event for event in history if isinstance(event, kind)]
