"""The history of a membership run and the checkers that read it."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import ServerId, VmId
from kumquatmux_membership.phases import Phase

IN_FORCE_SECONDS = 3.0
DETECTION_SECONDS = 3.0
CRASHED_SERVER_SECONDS = 7.0


class Violation(NamedTuple):
    """A promise that did not hold.

    Attributes:
        promise: Name of its checker.
        at: When, in seconds of the run.
        detail: What was seen.
    """

    promise: str
    at: float
    detail: str

    def __str__(self) -> str:
        """Return the violation as one sentence."""
        return f"{self.promise} at {self.at:.2f} s: {self.detail}"


class Placed(NamedTuple):
    """A VM gave new work to a server."""

    at: float
    vm: VmId
    server: ServerId
    session: int


class Accepted(NamedTuple):
    """A VM answered that a drain or leave is in force."""

    at: float
    server: ServerId
    session: int


class ServerCrashed(NamedTuple):
    """A server stopped without a word."""

    at: float
    server: ServerId
    session: int


class ViewUsed(NamedTuple):
    """A VM would have acted on this view."""

    at: float
    vm: VmId
    process: int
    live: tuple[tuple[VmId, int], ...]


class ServerSeen(NamedTuple):
    """A VM had a server among the fresh ones."""

    at: float
    vm: VmId
    process: int
    server: ServerId
    session: int
    phase: Phase


class VmStopped(NamedTuple):
    """A VM's process died; it had used these incarnations."""

    at: float
    vm: VmId
    incarnations: tuple[int, ...]


class Expected(NamedTuple):
    """What every running VM should see, long after the last fault."""

    at: float
    vms: tuple[VmId, ...]
    servers: tuple[ServerId, ...]


class Settled(NamedTuple):
    """What a running VM sees then."""

    at: float
    vm: VmId
    vms: tuple[VmId, ...]
    servers: tuple[ServerId, ...]


History = list[
    Placed
    | Accepted
    | ServerCrashed
    | ViewUsed
    | ServerSeen
    | VmStopped
    | Expected
    | Settled
]


def check_leaving_gets_nothing(history: History) -> list[Violation]:
    """No placement later than 3 s after an accepted drain or leave of the session."""
    accepted = _first_times(history, Accepted)
    return _late(history, accepted, IN_FORCE_SECONDS, "leaving-gets-nothing")


def check_crashed_server_ends(history: History) -> list[Violation]:
    """No placement on a crashed server once its lease and a holder's echo are over."""
    crashed = _first_times(history, ServerCrashed)
    return _late(history, crashed, CRASHED_SERVER_SECONDS, "crashed-server-ends")


def check_drain_not_undone(history: History) -> list[Violation]:
    """A process that saw a session drained never sees it live again."""
    highest: dict[tuple[VmId, int, ServerId, int], Phase] = {}
    found = []
    for event in history:
        if not isinstance(event, ServerSeen):
            continue
        key = (event.vm, event.process, event.server, event.session)
        before = highest.get(key, Phase.LIVE)
        if event.phase < before:
            detail = f"{event.server} is {event.phase.name} again at {event.vm}"
            found.append(Violation("drain-not-undone", event.at, detail))
        highest[key] = max(before, event.phase)
    return found


def check_incarnations_grow(history: History) -> list[Violation]:
    """A process never sees a VM's incarnation go backwards."""
    highest: dict[tuple[VmId, int, VmId], int] = {}
    found = []
    for event in history:
        if not isinstance(event, ViewUsed):
            continue
        for vm, incarnation in event.live:
            key = (event.vm, event.process, vm)
            before = highest.get(key, incarnation)
            if incarnation < before:
                detail = f"{event.vm} saw {vm} at {incarnation} after {before}"
                found.append(Violation("incarnations-grow", event.at, detail))
            highest[key] = max(before, incarnation)
    return found


def check_dead_vm_detected(history: History) -> list[Violation]:
    """No view in use holds a VM's incarnation that died over 3 s ago."""
    deaths: dict[tuple[VmId, int], float] = {}
    found = []
    for event in history:
        if isinstance(event, VmStopped):
            for incarnation in event.incarnations:
                deaths[event.vm, incarnation] = event.at
        if not isinstance(event, ViewUsed):
            continue
        for vm, incarnation in event.live:
            death = deaths.get((vm, incarnation), event.at)
            if event.at > death + DETECTION_SECONDS:
                detail = f"{event.vm} still uses {vm}, dead since {death:.2f}"
                found.append(Violation("dead-vm-detected", event.at, detail))
    return found


def check_settled(history: History) -> list[Violation]:
    """After the faults every running VM sees all running VMs and servers."""
    expected = [event for event in history if isinstance(event, Expected)]
    found = []
    for event in history:
        if not isinstance(event, Settled) or not expected:
            continue
        if event.vms != expected[-1].vms:
            detail = f"{event.vm} sees {event.vms}, not {expected[-1].vms}"
            found.append(Violation("views-converge", event.at, detail))
        if event.servers != expected[-1].servers:
            detail = f"{event.vm} sees {event.servers}, not {expected[-1].servers}"
            found.append(Violation("servers-converge", event.at, detail))
    return found


CHECKERS = (
    check_leaving_gets_nothing,
    check_crashed_server_ends,
    check_drain_not_undone,
    check_incarnations_grow,
    check_dead_vm_detected,
    check_settled,
)


def _first_times(
    history: History, kind: type[Accepted] | type[ServerCrashed]
) -> dict[tuple[ServerId, int], float]:
    times: dict[tuple[ServerId, int], float] = {}
    for event in history:
        if isinstance(event, kind):
            times.setdefault((event.server, event.session), event.at)
    return times


def _late(
    history: History,
    ended: dict[tuple[ServerId, int], float],
    seconds: float,
    promise: str,
) -> list[Violation]:
    found = []
    for event in history:
        if not isinstance(event, Placed):
            continue
        end = ended.get((event.server, event.session))
        if end is not None and event.at > end + seconds:
            detail = f"{event.vm} placed on {event.server}, over since {end:.2f}"
            found.append(Violation(promise, event.at, detail))
    return found
