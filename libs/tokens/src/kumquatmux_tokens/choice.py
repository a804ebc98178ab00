"""Which server a new flow goes to."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from kumquatmux_registry.records import Phase
from kumquatmux_tokens.directory import Entry
from kumquatmux_tokens.load import LoadTable
from kumquatmux_tokens.settings import TokenSettings


class Choice(NamedTuple):
    """The server chosen for a flow and what the choice was made from.

    Attributes:
        entry: The server.
        cost: Its load in slots, with what distance and cold start add.
        candidates: How many servers were open to the choice.
        grade: 0 where it was sound, more the worse its last resort.
    """

    entry: Entry
    cost: float
    candidates: int
    grade: int


def choose(
    entries: list[Entry],
    tried: tuple[int, ...],
    load: LoadTable,
    random: Random,
    now: float,
) -> Choice | None:
    """Return the server for a flow, None if no server may take it.

    Servers that leave or have ended are never chosen. Those that were tried already,
    left others unanswered, are late with their reports or still new come last, in
    this order of grades.

    Args:
        entries: Servers of the service.
        tried: Tokens that copies of the flow's first packet went to.
        load: The work known at each server.
        random: Breaks ties.
        now: Steady seconds.
    """
    ready = [one for one in entries if one.record.report.phase == Phase.READY]
    if not ready:
        return None
    others = load.others(now)
    graded = [(_grade(one, tried, load, now), one) for one in ready]
    best = min(grade for grade, _ in graded)
    candidates = [one for grade, one in graded if grade == best]
    costs = [
        (_cost(one, load, others, now), random.random(), place)
        for place, one in enumerate(candidates)
    ]
    cost, _, place = min(costs)
    return Choice(candidates[place], cost, len(candidates), best)


def _grade(entry: Entry, tried: tuple[int, ...], load: LoadTable, now: float) -> int:
    token = entry.record.token
    work = load.work.get(token)
    if token in tried:
        return 4
    if entry.record.is_late:
        return 3
    if work is not None and work.avoided_until > now:
        return 2
    if entry.known_at > now - load.settings.settle_s:
        return 1
    return 0


def _cost(entry: Entry, load: LoadTable, others: list, now: float) -> float:
    settings: TokenSettings = load.settings
    report = entry.record.report
    token = entry.record.token
    own = load.work.get(token)
    busy = own.busy if own else 0
    open_flows = own.open if own else 0
    for shared in others:
        told = shared.get(token)
        if told is not None:
            busy += told.busy
            open_flows += told.open
    idle = max(open_flows - busy, 0)
    cost = (busy + settings.open_cost * idle) / max(report.slots, 1)
    if entry.warm_at > now:
        cost = (cost + 1 / max(report.slots, 1)) * settings.cold_cost
    if report.zone != settings.zone:
        cost += settings.remote_cost
    return cost
