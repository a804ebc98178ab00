"""Selection of the backend server for a new flow."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import islice
from random import Random
from typing import NamedTuple

from kumquatmux_tokens.directory import ReadyServers, ServerEntry
from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.pools import ServerPool

LAST_RESORT_LEVEL = 2
"""Lowest priority level at which a server is selected only as a last resort.

Such a server is selected only if every server has this level or a higher one.
"""

SAMPLE_SIZE = 8
"""Number of servers evaluated for a flow in a zone with many servers.

The best of eight random servers is hardly ever more than one request from the least
loaded one.
"""


class NewFlow(NamedTuple):
    """A new flow that needs a server.

    Attributes:
        tried_tokens: Tokens of the servers that earlier SYN packets of the flow were
            sent to.
        expects_many_requests: Whether the flow is likely to carry many requests.
        now: Current time in monotonic seconds.
        sequence_number: Sequence number of its SYN, 0 if an older VM left it out.
    """

    tried_tokens: tuple[int, ...]
    expects_many_requests: bool
    now: float
    sequence_number: int = 0


class Selection(NamedTuple):
    """The server selected for a flow, with the values that decided the selection.

    Attributes:
        entry: The selected server.
        cost: Load per slot, increased for a server in another zone or in warm-up.
        candidate_count: Number of evaluated servers with the same priority level.
        priority_level: Priority level; 0 is preferred, higher levels are fallbacks.
        is_full: Whether the request queue of the selected server is full, so that the
            flow has to wait.
    """

    entry: ServerEntry
    cost: float
    candidate_count: int
    priority_level: int
    is_full: bool


class Candidate(NamedTuple):
    """A server that is evaluated as a candidate for a new flow.

    Attributes:
        entry: The server.
        priority_level: Priority level; 0 is preferred, higher levels are fallbacks.
        is_full: Whether the server's request queue is full.
        cost: Load per slot, increased for a server in another zone or in warm-up.
        tie_breaker: Random number that decides between otherwise equal candidates.
    """

    entry: ServerEntry
    priority_level: int
    is_full: bool
    cost: float
    tie_breaker: float


def select_server(
    pool: ServerPool,
    flow: NewFlow,
    load_tracker: LoadTracker,
    random: Random,
    withheld: frozenset[int] = frozenset(),
) -> Selection | None:
    """Select the server for a new flow.

    Each server gets a priority level:

        0: The server has no known problem.
        1: It became known less than ``new_server_delay_s`` seconds ago.
        2: Its zone is unreachable, or it left SYN packets unanswered.
        3: Its reports are overdue.
        4: A SYN packet of this flow was already sent to it.

    Servers of level 2 or higher are a last resort. Among the other servers, and among
    those of last resort, a server whose queue is not full comes first, then a lower
    level, then a lower load per slot. For a flow with many requests, requests in
    progress count less, so that the number of open flows counts more. Servers of other
    zones are evaluated only if the best server of this zone has a level above 0, is
    full, or costs more than ``remote_zone_cost``.

    Where a zone has many servers, only some are evaluated: idle ones if there are any,
    else random ones. All are if the best of these is full or has a level above 0.

    Args:
        pool: Servers of the service that accept new flows.
        flow: The flow.
        load_tracker: Load on each server.
        random: Random number generator that samples servers and breaks ties.
        withheld: Tokens of servers that are not eligible.

    Returns:
        The selection, or None if no server is eligible.
    """
    ready = _without(pool.ready, withheld) if withheld else pool.ready
    if len(ready.local) + len(ready.remote) > 2 * SAMPLE_SIZE:
        sampled = ReadyServers(
            _sample_local(pool, ready, random, withheld),
            _sample(ready.remote, random),
        )
        selection = _select_among(sampled, flow, load_tracker, random)
        if selection and not selection.is_full and not selection.priority_level:
            return selection
    return _select_among(ready, flow, load_tracker, random)


def _select_among(
    servers: ReadyServers, flow: NewFlow, load_tracker: LoadTracker, random: Random
) -> Selection | None:
    candidates = _evaluate(servers.local, flow, load_tracker, random)
    best = min(candidates, key=_sort_key, default=None)
    if best is None or not _beats_other_zones(best, load_tracker):
        candidates += _evaluate(servers.remote, flow, load_tracker, random)
        best = min(candidates, key=_sort_key, default=None)
    if best is None:
        return None
    candidate_count = sum(
        1 for candidate in candidates if candidate.priority_level == best.priority_level
    )
    return Selection(
        best.entry, best.cost, candidate_count, best.priority_level, best.is_full
    )


def _without(servers: ReadyServers, withheld: frozenset[int]) -> ReadyServers:
    return ReadyServers(
        [entry for entry in servers.local if entry.token not in withheld],
        [entry for entry in servers.remote if entry.token not in withheld],
    )


def _sample_local(
    pool: ServerPool,
    ready: ReadyServers,
    random: Random,
    withheld: frozenset[int],
) -> Sequence[ServerEntry]:
    """Return the servers that have been idle longest, or random ones if none is."""
    idle = (one for one in pool.idle.values() if one.token not in withheld)
    longest_idle = list(islice(idle, SAMPLE_SIZE))
    return longest_idle or _sample(ready.local, random)


def _sample(entries: Sequence[ServerEntry], random: Random) -> Sequence[ServerEntry]:
    """Return servers at equal distances from a random one."""
    count = len(entries)
    if count <= SAMPLE_SIZE:
        return entries
    first = int(random.random() * count)
    step = count // SAMPLE_SIZE
    return [entries[(first + step * k) % count] for k in range(SAMPLE_SIZE)]


def _evaluate(
    entries: Iterable[ServerEntry],
    flow: NewFlow,
    load_tracker: LoadTracker,
    random: Random,
) -> list[Candidate]:
    return [
        _evaluate_candidate(entry, flow, load_tracker, random.random())
        for entry in entries
    ]


def _beats_other_zones(candidate: Candidate, load_tracker: LoadTracker) -> bool:
    """Return whether no server of another zone can be a better choice."""
    is_cheap = candidate.cost <= load_tracker.settings.remote_zone_cost
    return candidate.priority_level == 0 and not candidate.is_full and is_cheap


def _sort_key(candidate: Candidate) -> tuple[bool, bool, int, float, float]:
    is_last_resort = candidate.priority_level >= LAST_RESORT_LEVEL
    return (
        is_last_resort,
        candidate.is_full,
        candidate.priority_level,
        candidate.cost,
        candidate.tie_breaker,
    )


def _evaluate_candidate(
    entry: ServerEntry, flow: NewFlow, load_tracker: LoadTracker, tie_breaker: float
) -> Candidate:
    settings = load_tracker.settings
    report = entry.record.report
    slots = max(report.slots, 1)
    active_requests = open_flows = 0
    is_avoided = False
    own_load = load_tracker.local_loads.get(entry.token)
    if own_load is not None:
        active_requests = own_load.active_requests
        open_flows = own_load.open_flows
        is_avoided = own_load.avoided_until > flow.now
    peer_load = load_tracker.peer_load.totals.get(entry.token)
    if peer_load is not None:
        active_requests += peer_load.active_requests
        open_flows += peer_load.open_flows
        is_avoided = is_avoided or peer_load.avoiding_vms > 0
    idle_flows = max(open_flows - active_requests, 0)
    active_request_cost = (
        settings.many_requests_active_cost if flow.expects_many_requests else 1.0
    )
    cost = (
        active_request_cost * active_requests + settings.idle_flow_cost * idle_flows
    ) / slots
    if entry.warm_up_ends_at > flow.now:
        cost = (cost + 1 / slots) * settings.warm_up_cost_factor
    if report.zone != settings.zone:
        cost += settings.remote_zone_cost
    return Candidate(
        entry,
        _priority_level(entry, flow, load_tracker, is_avoided),
        active_requests >= slots + settings.server_queue_limit,
        cost,
        tie_breaker,
    )


def _priority_level(
    entry: ServerEntry, flow: NewFlow, load_tracker: LoadTracker, is_avoided: bool
) -> int:
    if entry.token in flow.tried_tokens:
        return 4
    if entry.record.is_late:
        return 3
    if is_avoided or entry.record.report.zone in load_tracker.unreachable_zones:
        return LAST_RESORT_LEVEL
    if entry.first_known_at > flow.now - load_tracker.settings.new_server_delay_s:
        return 1
    return 0
