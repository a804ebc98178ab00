"""Which server a new flow goes to."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from kumquatmux_registry.records import Phase
from kumquatmux_tokens.directory import Entry
from kumquatmux_tokens.load import LoadTable

LAST_RESORT = 2
"""Grade from which on a server is chosen only where there is no other."""


class Opening(NamedTuple):
    """The flow to be placed.

    Attributes:
        tried: Tokens that copies of its first packet went to.
        is_long: Whether it is likely to carry many requests.
        now: Steady seconds.
    """

    tried: tuple[int, ...]
    is_long: bool
    now: float


class Choice(NamedTuple):
    """The server chosen for a flow and what the choice was made from.

    Attributes:
        entry: The server.
        cost: Its load in slots, with what distance and cold start add.
        candidates: How many servers were open to the choice.
        grade: 0 where it was sound, more the worse its last resort.
        is_full: Whether more work waits at every server than finishes in time.
    """

    entry: Entry
    cost: float
    candidates: int
    grade: int
    is_full: bool


class Offer(NamedTuple):
    """One server as it offers itself to a flow.

    Attributes:
        entry: The server.
        grade: As in ``Choice``.
        is_full: Whether as much work waits there as may.
        cost: As in ``Choice``.
        tie: Random, between servers that are equal.
    """

    entry: Entry
    grade: int
    is_full: bool
    cost: float
    tie: float


def choose(
    entries: list[Entry], opening: Opening, load: LoadTable, random: Random
) -> Choice | None:
    """Return the server for a flow, None if no server may take it.

    Servers that leave or have ended are never chosen. Those that were tried already,
    left others unanswered, are late with their reports or still new come last, in
    this order of grades. A short flow goes where the least work is now, a long one
    where the fewest flows are. Other zones are looked at only where this one's best
    server costs as much as leaving the zone.

    Args:
        entries: Servers of the service.
        opening: The flow.
        load: The work known at each server.
        random: Breaks ties.
    """
    ready = [one for one in entries if one.record.report.phase == Phase.READY]
    if not ready:
        return None
    zone = load.settings.zone
    near = [one for one in ready if one.record.report.zone == zone]
    offers = [_offer(one, opening, load, random.random()) for one in near]
    best = min(offers, key=_order, default=None)
    if best is None or not _is_sound(best, load):
        far = (one for one in ready if one.record.report.zone != zone)
        offers += [_offer(one, opening, load, random.random()) for one in far]
        best = min(offers, key=_order)
    candidates = sum(1 for one in offers if one.grade == best.grade)
    return Choice(best.entry, best.cost, candidates, best.grade, best.is_full)


def _is_sound(offer: Offer, load: LoadTable) -> bool:
    """Return whether no server of another zone can be a better choice."""
    is_cheap = offer.cost <= load.settings.remote_cost
    return offer.grade == 0 and not offer.is_full and is_cheap


def _order(offer: Offer) -> tuple[bool, bool, int, float, float]:
    is_last_resort = offer.grade >= LAST_RESORT
    return (is_last_resort, offer.is_full, offer.grade, offer.cost, offer.tie)


def _grade(entry: Entry, opening: Opening, load: LoadTable) -> int:
    token = entry.record.token
    work = load.work.get(token)
    if token in opening.tried:
        return 4
    if entry.record.is_late:
        return 3
    if entry.record.report.zone in load.silent_zones:
        return LAST_RESORT
    total = load.zone.totals.get(token)
    is_avoided = work is not None and work.avoided_until > opening.now
    if is_avoided or (total is not None and total.avoided > 0):
        return LAST_RESORT
    if entry.known_at > opening.now - load.settings.settle_s:
        return 1
    return 0


def _offer(entry: Entry, opening: Opening, load: LoadTable, tie: float) -> Offer:
    settings = load.settings
    report = entry.record.report
    token = entry.record.token
    slots = max(report.slots, 1)
    own = load.work.get(token)
    busy = own.busy if own else 0
    open_flows = own.open if own else 0
    total = load.zone.totals.get(token)
    if total is not None:
        busy += total.busy
        open_flows += total.open
    idle = max(open_flows - busy, 0)
    busy_cost = settings.long_busy_cost if opening.is_long else 1.0
    cost = (busy_cost * busy + settings.open_cost * idle) / slots
    if entry.warm_at > opening.now:
        cost = (cost + 1 / slots) * settings.cold_cost
    if report.zone != settings.zone:
        cost += settings.remote_cost
    is_full = busy >= slots + settings.queue_depth
    return Offer(entry, _grade(entry, opening, load), is_full, cost, tie)
