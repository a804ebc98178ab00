"""Queue of the openings of one service that wait for a slot at its servers."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import Counter
from enum import IntEnum
from typing import NamedTuple

from kumquatmux_placement.retry_budget import RetryBudget
from kumquatmux_placement.settings import PlacementSettings
from kumquatmux_placement.standing_queue import StandingQueue
from kumquatmux_tokens.placers import PlaceQuestion
from kumquatmux_tokens.recent_rate import RecentRate
from kumquatmux_tokens.refused_callers import RefusedCallers, caller_of
from kumquatmux_tokens.sequences import is_near
from kumquatmux_tokens.settings import TokenRouterSettings

PRIORITY_CLASSES = 8
"""Number of priority classes; lower priorities share the last one."""


class Rank(IntEnum):
    """Order of the openings of a priority class.

    In an overload all slots would else go to those that are about to expire, and every
    request would be answered late.
    """

    RETRY = 0
    IN_TIME = 1
    LATE = 2


class OrderKey(NamedTuple):
    """Place of an opening in its priority class; the least is served first.

    Attributes:
        rank: Rank of the opening.
        deadline: Time until which it keeps that rank, or is of use to its caller.
        number: Number of the opening, which increases.
        flow_key: 12-byte flow key.
    """

    rank: Rank
    deadline: float
    number: int
    flow_key: bytes


class QueuedOpening(NamedTuple):
    """An opening that waits for a slot.

    Attributes:
        question: The placement request, with the VM that holds the SYN as its sender.
        priority: Priority class; 0 is the highest.
        rank: Rank of the opening.
        first_sent_at: Time when the caller sent its first SYN.
        in_time_until: Time until which a slot lets it be answered within the target
            latency of its route.
        standing_until: Time until which it may be expected to wait in a standing queue.
        expires_at: Time after which the opening is no use to its caller.
        queued_at: Time when it was queued.
        number: Number of the opening, which increases.
        position: Position in the queue when it was queued; 1 is served first.
    """

    question: PlaceQuestion
    priority: int
    rank: Rank
    first_sent_at: float
    in_time_until: float
    standing_until: float
    expires_at: float
    queued_at: float
    number: int
    position: int = 0

    @property
    def order_key(self) -> OrderKey:
        """Place in its priority class."""
        is_in_time = self.rank is Rank.IN_TIME
        deadline = self.in_time_until if is_in_time else self.expires_at
        return OrderKey(self.rank, deadline, self.number, self.question.flow_key)


class WaitForecast(NamedTuple):
    """Rates that say how long openings of a priority class wait.

    Attributes:
        ahead_above: Number of queued openings of higher priorities.
        own_per_s: Slots a second that openings of higher priorities leave once those
            queued now are served; 0 or less if they leave none.
        share_per_s: Slots a second that the class gets in any case.
    """

    ahead_above: int
    own_per_s: float
    share_per_s: float

    def wait_s(self, ahead: int) -> float:
        """Return the expected wait after some openings of the same class."""
        guaranteed_s = (ahead + 1) / self.share_per_s
        if self.own_per_s <= 0.0:
            return guaranteed_s
        return min((self.ahead_above + ahead + 1) / self.own_per_s, guaranteed_s)


class AdmissionQueue:
    """Queued openings of one service, in the order in which they get slots.

    The highest priority goes first, but each lower one with queued openings gets at
    least one of every ``priority_share_grants`` slots. Within a priority, some retries
    of refused callers go first, then openings that can be answered in time, then late
    ones, each with the earliest deadline first.

    Attributes:
        by_flow: The queued openings by flow key.
        classes: Order keys of each priority class, sorted.
        passed_over: Slots that others got since each class with queued openings got
            one.
        by_caller: Number of queued openings of each caller address.
        standing: Tells whether the queue is a standing queue.
        retry_budgets: Limit on the retries that go first, by priority class.
        refused_callers: Callers that were refused.
        grant_rate: Slots granted recently.
        arrival_rates: Openings queued recently, by priority class.
        evicted: Openings that others displaced; the reader clears it.
        granting_from: Time from which slots are granted; later than now after a
            takeover, until the load of the servers is known.
        settled_at: Time since which this VM has granted slots without a pause, as far
            as any were free, or has had nobody to grant them to.
    """

    def __init__(self, settings: TokenRouterSettings, now: float) -> None:
        self.settings = settings
        rules = PlacementSettings()
        self.by_flow: dict[bytes, QueuedOpening] = {}
        self.classes: list[list[OrderKey]] = [[] for _ in range(PRIORITY_CLASSES)]
        self.passed_over = [0] * PRIORITY_CLASSES
        self.by_caller: Counter[bytes] = Counter()
        self.standing = StandingQueue(rules)
        self.retry_budgets = [RetryBudget(rules) for _ in range(PRIORITY_CLASSES)]
        self.refused_callers = RefusedCallers(settings)
        window_s = settings.grant_rate_window_s
        self.grant_rate = RecentRate(window_s, now)
        self.arrival_rates = [
            RecentRate(window_s, now) for _ in range(PRIORITY_CLASSES)
        ]
        self.evicted: list[QueuedOpening] = []
        self.granting_from = -math.inf
        self.settled_at = -math.inf

    def __len__(self) -> int:
        return len(self.by_flow)

    def find(self, question: PlaceQuestion) -> QueuedOpening | None:
        """Return the queued opening that a request is about, None if there is none.

        A flow that the caller had before on the same port is another one.
        """
        opening = self.by_flow.get(question.flow_key)
        if opening is None:
            return None
        numbers = (opening.question.sequence_number, question.sequence_number)
        return opening if 0 in numbers or is_near(*numbers) else None

    def update(self, opening: QueuedOpening, question: PlaceQuestion) -> None:
        """Let the VM that asked last hold a queued opening."""
        self.by_flow[question.flow_key] = opening._replace(question=question)

    def rank_of(
        self, priority: int, in_time_until: float, now: float, *, is_retry: bool
    ) -> Rank:
        """Return the rank of a new opening, which counts as an attempt.

        A retry goes first only as far as the retry budget reaches: more of them would
        make first attempts wait, which then come again too.

        Args:
            priority: Priority class of the opening.
            in_time_until: Time until which it can be answered in time.
            now: Current time in monotonic seconds.
            is_retry: Whether its caller was refused before.
        """
        budget = self.retry_budgets[priority]
        if not is_retry:
            budget.record_first_attempt()
        elif budget.try_take_token():
            return Rank.RETRY
        return Rank.IN_TIME if now < in_time_until else Rank.LATE

    def position(self, opening: QueuedOpening) -> int:
        """Return the position in strict order of an opening, queued or not."""
        return self._ahead_in_class(opening) + self._ahead_above(opening.priority) + 1

    def refusal_reason(
        self, opening: QueuedOpening, now: float, *, has_room: bool
    ) -> str:
        """Return the reason code if an opening cannot be queued, or an empty string.

        Args:
            opening: The opening.
            now: Current time in monotonic seconds.
            has_room: Whether this VM may queue one more opening of any service.
        """
        settings = self.settings
        is_full = len(self) >= settings.service_queue_limit or not has_room
        if is_full and self._last_below(opening.priority) is None:
            return "queue-full"
        caller = caller_of(opening.question.flow_key)
        if self.by_caller[caller] >= settings.caller_queue_limit:
            return "caller-share"
        forecast = self._forecast(opening.priority, now)
        ahead = self._ahead_in_class(opening)
        others = len(self.classes[opening.priority])
        if self._is_hopeless(opening, forecast, ahead, others, now):
            return "wait-too-long"
        return ""

    def add(
        self, opening: QueuedOpening, now: float, *, has_room: bool
    ) -> QueuedOpening:
        """Queue an opening, in place of one of a lower priority if there is no room.

        Returns:
            The opening with its position.
        """
        self.remove(opening.question.flow_key)
        if not self:
            self._start_counting(max(now, self.granting_from))
            self.settled_at = now
        if len(self) >= self.settings.service_queue_limit or not has_room:
            self._evict_last_below(opening.priority)
        placed = opening._replace(position=self.position(opening))
        self.put(placed)
        self.arrival_rates[opening.priority].record(now)
        return placed

    def put(self, opening: QueuedOpening) -> None:
        """Put an opening at its place in the order."""
        flow_key = opening.question.flow_key
        self.by_flow[flow_key] = opening
        insort(self.classes[opening.priority], opening.order_key)
        self.by_caller[caller_of(flow_key)] += 1
        self.standing.note_queued(opening.queued_at)

    def remove(self, flow_key: bytes) -> QueuedOpening | None:
        """Remove an opening and return it, if it was queued."""
        opening = self.by_flow.pop(flow_key, None)
        if opening is None:
            return None
        keys = self.classes[opening.priority]
        del keys[bisect_left(keys, opening.order_key)]
        if not keys:
            self.passed_over[opening.priority] = 0
        caller = caller_of(flow_key)
        self.by_caller[caller] -= 1
        if not self.by_caller[caller]:
            del self.by_caller[caller]
        if not self.by_flow:
            self.standing.note_empty()
        return opening

    def note_late(self, now: float) -> None:
        """Give the openings that cannot be answered in time any more the last rank."""
        for keys in self.classes:
            first = bisect_left(keys, (Rank.IN_TIME,))
            end = bisect_left(keys, (Rank.IN_TIME, now))
            for key in keys[first:end]:
                opening = self.by_flow[key.flow_key]._replace(rank=Rank.LATE)
                self.by_flow[key.flow_key] = opening
                insort(keys, opening.order_key)
            del keys[first:end]

    def next_opening(self) -> QueuedOpening | None:
        """Return the opening that gets the next slot, None if the queue is empty."""
        waiting = [one for one, keys in enumerate(self.classes) if keys]
        if not waiting:
            return None
        limit = self.settings.priority_share_grants - 1
        owed = [one for one in waiting[1:] if self.passed_over[one] >= limit]
        chosen = max(owed, key=self.passed_over.__getitem__, default=waiting[0])
        return self.by_flow[self.classes[chosen][0].flow_key]

    def record_grant(self, opening: QueuedOpening, now: float) -> None:
        """Remove an opening that got a slot, and count what others missed."""
        self.grant_rate.record(now)
        self.remove(opening.question.flow_key)
        self.passed_over[opening.priority] = 0
        for one, keys in enumerate(self.classes):
            if keys and one != opening.priority:
                self.passed_over[one] += 1

    def pop_expired(self, now: float) -> list[QueuedOpening]:
        """Remove and return the openings that are no use to their callers any more."""
        expired = [one for one in self.by_flow.values() if one.expires_at <= now]
        for opening in expired:
            self.remove(opening.question.flow_key)
        return expired

    def pop_hopeless(self, now: float) -> list[QueuedOpening]:
        """Remove and return openings that get no slot in time and can be refused.

        Once a caller may have sent a copy of its SYN, the opening stays: a refusal
        would not reach the caller, and another one may give up its slot.
        """
        hopeless = []
        for priority, keys in enumerate(self.classes):
            if not keys:
                continue
            forecast = self._forecast(priority, now)
            others = len(keys) - 1
            for ahead in range(len(keys) - 1, -1, -1):
                opening = self.by_flow[keys[ahead].flow_key]
                if self.may_be_refused(opening, now) and self._is_hopeless(
                    opening, forecast, ahead, others, now
                ):
                    hopeless.append(opening)
                    others -= 1
        for opening in hopeless:
            self.remove(opening.question.flow_key)
        return hopeless

    def expected_wait_s(self, opening: QueuedOpening, now: float) -> float:
        """Return the seconds until an opening is expected to get a slot.

        Returns:
            0 while the rate at which slots are granted is not known.
        """
        forecast = self._forecast(opening.priority, now)
        return forecast.wait_s(self._ahead_in_class(opening))

    def may_be_refused(self, opening: QueuedOpening, now: float) -> bool:
        """Return whether the caller of an opening can have sent no copy of its SYN."""
        return now < opening.first_sent_at + self.settings.syn_transmission_offsets_s[1]

    def _is_hopeless(
        self,
        opening: QueuedOpening,
        forecast: WaitForecast,
        ahead: int,
        others: int,
        now: float,
    ) -> bool:
        """Return whether an opening is not expected to get a slot while that is of use.

        If it gets none in time, it waits for the others of its class. In a standing
        queue that helps for less time, as long as the caller can be refused.

        Args:
            opening: The opening.
            forecast: What is expected of the waits in its class.
            ahead: Number of openings before it in its class.
            others: Number of other openings in its class.
            now: Current time in monotonic seconds.
        """
        if now + forecast.wait_s(ahead) <= opening.in_time_until:
            return False
        is_standing = self.standing.is_standing(now)
        useful_until = opening.expires_at
        if is_standing and self.may_be_refused(opening, now):
            useful_until = opening.standing_until
        return now + forecast.wait_s(others) > useful_until

    def _forecast(self, priority: int, now: float) -> WaitForecast:
        """Return what the recent rates say of the waits in a priority class.

        Slots free up as fast as they were granted. Openings of higher priorities that
        keep coming take their part of them, up to the guaranteed share of this class.
        """
        settings = self.settings
        measured_s = self.grant_rate.measured_s(now)
        if measured_s < settings.grant_rate_min_s:
            return WaitForecast(0, math.inf, math.inf)
        # One more than was counted: a slow service is not a stuck one.
        grants_per_s = (self.grant_rate.count(now) + 1) / measured_s
        share_per_s = grants_per_s / settings.priority_share_grants
        higher_per_s = sum(
            rate.count(now) / max(rate.measured_s(now), measured_s)
            for rate in self.arrival_rates[:priority]
        )
        classes_below = sum(1 for keys in self.classes[priority + 1 :] if keys)
        own_per_s = grants_per_s - classes_below * share_per_s - higher_per_s
        return WaitForecast(self._ahead_above(priority), own_per_s, share_per_s)

    def _ahead_in_class(self, opening: QueuedOpening) -> int:
        return bisect_left(self.classes[opening.priority], opening.order_key)

    def _ahead_above(self, priority: int) -> int:
        return sum(len(keys) for keys in self.classes[:priority])

    def _last_below(self, priority: int) -> OrderKey | None:
        """Return the key of the last opening of a lower priority, if there is one."""
        for keys in reversed(self.classes[priority + 1 :]):
            if keys:
                return keys[-1]
        return None

    def _evict_last_below(self, priority: int) -> None:
        last = self._last_below(priority)
        if last is not None:
            self.evicted.append(self.by_flow[last.flow_key])
            self.remove(last.flow_key)

    def _start_counting(self, now: float) -> None:
        """Start to measure the rates, which are known only while there is a queue."""
        for rate in (self.grant_rate, *self.arrival_rates):
            rate.restart(now)
