"""One typed history of a flow run, and the checkers that read it."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from kumquatmux_core.identity import Address, FlowKey, ServiceName, VmId
from kumquatmux_core.segments import PROTOCOL_TCP


class Reached(NamedTuple):
    """A caller's packet reached a backend server.

    Attributes:
        time: Seconds since the start of the run.
        key: Its flow.
        connection: Which connection of the caller, by initial sequence number.
        copy: Number of the copy the caller's side sent.
        server: The server it reached.
        payload_length: Bytes of payload.
        meant: Service its service address stands for.
        serving: Service the server serves now.
    """

    time: float
    key: FlowKey
    connection: int
    copy: int
    server: Address
    payload_length: int
    meant: ServiceName
    serving: ServiceName


class Answered(NamedTuple):
    """A caller accepted bytes as the answer of its flow."""

    time: float
    key: FlowKey
    connection: int
    server: Address


class Opened(NamedTuple):
    """A caller finished its handshake."""

    time: float
    key: FlowKey
    connection: int


class Broken(NamedTuple):
    """A caller lost an open flow: it was reset, or did not answer any more."""

    time: float
    key: FlowKey
    connection: int
    cause: str


class Ended(NamedTuple):
    """A caller closed its flow with the whole answer in hand."""

    time: float
    key: FlowKey
    connection: int


class Placed(NamedTuple):
    """A VM was given a server for a flow."""

    time: float
    key: FlowKey
    server: Address
    vm: VmId


class Refused(NamedTuple):
    """A caller was told that its first packet was not run.

    Attributes:
        time: Seconds since the start of the run.
        key: Its flow.
        copy: Number of the copy that was refused.
    """

    time: float
    key: FlowKey
    copy: int


class Silenced(NamedTuple):
    """Packets of a flow towards its server are swallowed from now on."""

    time: float
    key: FlowKey


class Excused(NamedTuple):
    """From now until a time the loss of open flows is no fault of the system.

    Attributes:
        time: Start, in seconds since the start of the run.
        until: End.
        reason: What was broken on purpose.
        key: The flow that is excused, None for every flow.
    """

    time: float
    until: float
    reason: str
    key: FlowKey | None = None


Entry = (
    Reached | Answered | Opened | Broken | Ended | Placed | Refused | Silenced | Excused
)
History = list[Entry]

REUSED = "address reused"
SILENCE_BOUND_SECONDS = 20.0


def wrong_service(history: History) -> list[str]:
    """Return packets that reached a server of another service."""
    return [
        f"packet for {entry.meant} reached {entry.serving} at {entry.time:.3f}"
        for entry in history
        if isinstance(entry, Reached) and entry.meant != entry.serving
    ]


def two_servers(history: History) -> list[str]:
    """Return connections whose bytes reached more than one server.

    A UDP flow whose server gave its address to another service may start anew.
    """
    servers: dict[tuple[FlowKey, int], set[Address]] = defaultdict(set)
    for entry in history:
        if isinstance(entry, Reached) and entry.payload_length:
            servers[entry.key, entry.connection].add(entry.server)
    moved = {
        entry.key
        for entry in history
        if isinstance(entry, Excused) and entry.reason == REUSED
    }
    return [
        f"bytes of {key.hex()} reached {len(found)} servers"
        for (key, _), found in servers.items()
        if len(found) > 1 and not (key in moved and key[0] != PROTOCOL_TCP)
    ]


def copies_twice(history: History) -> list[str]:
    """Return copies of a packet that reached servers more than once."""
    seen: set[int] = set()
    twice = []
    for entry in history:
        if not isinstance(entry, Reached):
            continue
        if entry.copy in seen:
            twice.append(f"copy {entry.copy} of {entry.key.hex()} arrived twice")
        seen.add(entry.copy)
    return twice


def refused_but_ran(history: History) -> list[str]:
    """Return refused first packets of which a copy reached a server."""
    reached = {entry.copy for entry in history if isinstance(entry, Reached)}
    return [
        f"copy {entry.copy} of {entry.key.hex()} was refused and ran"
        for entry in history
        if isinstance(entry, Refused) and entry.copy in reached
    ]


def mixed_answers(history: History) -> list[str]:
    """Return connections that took bytes of more than one server."""
    servers: dict[tuple[FlowKey, int], set[Address]] = defaultdict(set)
    for entry in history:
        if isinstance(entry, Answered):
            servers[entry.key, entry.connection].add(entry.server)
    return [
        f"{key.hex()} took answers of {len(found)} servers"
        for (key, _), found in servers.items()
        if len(found) > 1
    ]


def lost_flows(history: History) -> list[str]:
    """Return open flows that broke without an excuse."""
    silenced = {entry.key for entry in history if isinstance(entry, Silenced)}
    excuses = [entry for entry in history if isinstance(entry, Excused)]
    return [
        f"open flow {entry.key.hex()} broke at {entry.time:.3f}: {entry.cause}"
        for entry in history
        if isinstance(entry, Broken)
        and entry.key not in silenced
        and not any(excuses_loss(excuse, entry) for excuse in excuses)
    ]


def excuses_loss(excuse: Excused, broken: Broken) -> bool:
    """Return whether the loss of a flow was to be expected."""
    if excuse.key is not None and excuse.key != broken.key:
        return False
    return excuse.time <= broken.time <= excuse.until


def silent_not_found(history: History) -> list[str]:
    """Return silenced flows whose caller was not told within the bound."""
    end: dict[FlowKey, float] = {}
    for entry in history:
        if isinstance(entry, Broken) and entry.cause == "reset":
            end[entry.key] = entry.time
    return [
        f"silent flow {entry.key.hex()} was not found"
        for entry in history
        if isinstance(entry, Silenced)
        and end.get(entry.key, float("inf")) > entry.time + SILENCE_BOUND_SECONDS
    ]


CHECKERS = (
    wrong_service,
    two_servers,
    copies_twice,
    refused_but_ran,
    mixed_answers,
    lost_flows,
    silent_not_found,
)


def violations(history: History) -> tuple[str, ...]:
    """Return every broken promise in a history."""
    return tuple(
        f"{checker.__name__}: {sentence}"
        for checker in CHECKERS
        for sentence in checker(history)
    )
