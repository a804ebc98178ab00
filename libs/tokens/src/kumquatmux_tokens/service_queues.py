"""Queues of the services whose openings this VM places."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from itertools import count
from typing import NamedTuple, TypedDict

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import ServiceName, VmId
from kumquatmux_tokens.admission_queue import (
    PRIORITY_CLASSES,
    AdmissionQueue,
    QueuedOpening,
)
from kumquatmux_tokens.choice import NewFlow, Selection
from kumquatmux_tokens.directory import ServerEntry
from kumquatmux_tokens.placers import (
    CoordinatorSelector,
    PlaceAnswer,
    PlaceQuestion,
)
from kumquatmux_tokens.refused_callers import ROUTE_OFFSET
from kumquatmux_tokens.routes import RouteTable
from kumquatmux_tokens.server_selector import ServerSelector
from kumquatmux_tokens.settings import TokenRouterSettings

MS_PER_S = 1000.0

MAX_SKIPPED = 8
"""Openings with tried servers that others may pass when one cannot be placed."""


class QueuePlace(NamedTuple):
    """An opening waits in a queue.

    Attributes:
        position: Its position; 1 is served first.
    """

    position: int


class QueueRefusal(NamedTuple):
    """An opening gets no slot in time, so that its caller is refused at once.

    Attributes:
        reason: Reason code.
    """

    reason: str


class Granted(NamedTuple):
    """A queued opening got a server.

    Attributes:
        question: The placement request.
        selection: The server.
    """

    question: PlaceQuestion
    selection: Selection


class Refused(NamedTuple):
    """A queued opening is refused, as it gets no slot in time.

    Attributes:
        question: The placement request.
    """

    question: PlaceQuestion


class QueueGrant(NamedTuple):
    """A grant that another VM was told of in a second answer.

    Attributes:
        question: The placement request.
        entry: The server.
        answer: The second answer.
        granted_at: Time from which it counts in the warm-up budget.
    """

    question: PlaceQuestion
    entry: ServerEntry
    answer: PlaceAnswer
    granted_at: float


class Released(NamedTuple):
    """A queued opening leaves the queue, as its service has no server any more.

    Attributes:
        question: The placement request.
    """

    question: PlaceQuestion


QueueOutcome = Granted | Refused | Released


class ServiceQueues:
    """Places openings, and queues those of services whose servers are full.

    Attributes:
        by_service: Queue of each service that had one a short time ago.
        grants: Latest grants at servers of limited services, by flow key.
        counts: Openings queued, granted and refused, by reason.
    """

    def __init__(
        self,
        settings: TokenRouterSettings,
        route_table: RouteTable,
        selector: ServerSelector,
        coordinators: CoordinatorSelector,
    ) -> None:
        self.settings = settings
        self.route_table = route_table
        self.selector = selector
        self.coordinators = coordinators
        self.by_service: dict[ServiceName, AdmissionQueue] = {}
        self.grants: dict[bytes, QueueGrant] = {}
        self.counts: Counter[str] = Counter()
        self.numbers = count(1)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.by_service.values())

    def has_work(self) -> bool:
        """Return whether openings wait, or some that others displaced are refused."""
        return any(one.by_flow or one.evicted for one in self.by_service.values())

    def must_wait(self, service: ServiceName, now: float) -> bool:
        """Return whether new openings of a service have to wait for others."""
        queue = self.by_service.get(service)
        if queue is None:
            return False
        return bool(queue.by_flow) or now < queue.granting_from

    def holds(self, service: ServiceName, flow_key: bytes) -> bool:
        """Return whether a flow waits in the queue of a service."""
        queue = self.by_service.get(service)
        return queue is not None and flow_key in queue.by_flow

    def withdraw(self, service: ServiceName, flow_key: bytes) -> None:
        """Remove an opening that waits no longer, or at another VM."""
        queue = self.by_service.get(service)
        if queue is not None:
            queue.remove(flow_key)

    def answer_request(self, question: PlaceQuestion, now: float) -> PlaceAnswer:
        """Place or queue a flow whose SYN packet arrived at another VM."""
        repeated = self._repeat_grant(question, now)
        if repeated is not None:
            return repeated
        outcome = self.place(question, now)
        own_vm = self.settings.vm
        if isinstance(outcome, QueuePlace):
            return PlaceAnswer(
                own_vm, question.flow_key, 0, True, 0, queue_position=outcome.position
            )
        if isinstance(outcome, QueueRefusal):
            return refusal_of(question, self.settings)
        return self.selector.answer(question, outcome, now)

    def answer_grant(
        self, question: PlaceQuestion, selection: Selection, now: float
    ) -> PlaceAnswer:
        """Return the second answer for a flow of another VM that got a server."""
        answer = self.selector.answer(question, selection, now)
        if self.selector.recovering.is_limited(question.service):
            grant = QueueGrant(question, selection.entry, answer, now)
            self.grants[question.flow_key] = grant
        return answer

    def place(
        self, question: PlaceQuestion, now: float
    ) -> Selection | QueuePlace | QueueRefusal | None:
        """Select a server for a flow, or queue it behind those that wait for one.

        Returns:
            None if the service has no server to choose; a full server if its openings
            are not queued.
        """
        new_flow = new_flow_of(question, now)
        flow_key, service = question.flow_key, question.service
        if question.was_queued and self.is_queued(service):
            self._note_takeover(service, now)
        if self.must_wait(service, now):
            recent = self.selector.recent_selection(flow_key, service, new_flow)
            return recent or self.enqueue(question, now)
        selection = self.selector.select(flow_key, service, new_flow)
        if selection is None or not selection.is_full or not self.is_queued(service):
            return selection
        return self.enqueue(question, now)

    def is_queued(self, service: ServiceName) -> bool:
        """Return whether openings of a service that find it full are queued."""
        return service in self.route_table.queued_services

    def enqueue(self, question: PlaceQuestion, now: float) -> QueuePlace | QueueRefusal:
        """Queue a flow for which there is no slot, or refuse it."""
        queue = self._queue_of(question.service, now)
        known = queue.find(question)
        if known is not None:
            queue.update(known, question)
            return QueuePlace(queue.position(known))
        opening = self._describe(question, queue, now)
        has_room = len(self) < self.settings.queued_openings_limit
        reason = queue.refusal_reason(opening, now, has_room=has_room)
        if reason:
            opening = opening._replace(position=queue.position(opening))
            self._note_refusal(queue, opening, reason, now)
            return QueueRefusal(reason)
        expected_s = queue.expected_wait_s(opening, now)
        opening = queue.add(opening, now, has_room=has_room)
        self.counts["queue.added"] += 1
        log_decision(
            "opening-queued",
            **_line_fields(opening),
            rank=opening.rank.name.lower(),
            expected_s=round(expected_s, 3),
        )
        return QueuePlace(opening.position)

    def outcomes(self, now: float) -> Iterator[QueueOutcome]:
        """Yield what happens to queued openings now.

        The caller records the load of a grant before it takes the next outcome, as that
        depends on it.
        """
        for service, queue in list(self.by_service.items()):
            if queue.by_flow or queue.evicted:
                yield from self._outcomes_of(service, queue, now)

    def remove_expired(self, now: float) -> None:
        """Forget the queues that are empty and remember no refused caller."""
        for flow_key, grant in list(self.grants.items()):
            if grant.granted_at < now - self.settings.caller_syn_timeout_s:
                del self.grants[flow_key]
        for service, queue in list(self.by_service.items()):
            queue.refused_callers.remove_expired(now)
            is_used = queue.by_flow or queue.evicted or now < queue.granting_from
            if not is_used and not queue.refused_callers.by_caller:
                del self.by_service[service]

    def _repeat_grant(self, question: PlaceQuestion, now: float) -> PlaceAnswer | None:
        """Return the second answer again that a VM has not acted on, if it still holds.

        A VM asks once more before it sends an opening to a cold server: how long the
        second answer was on its way is not known, and the budget holds for a second.
        """
        grant = self.grants.get(question.flow_key)
        if grant is None or grant.question.sender != question.sender:
            return None
        is_same = grant.question.sequence_number == question.sequence_number
        if not is_same or grant.entry.token in question.tried_tokens:
            return None
        recovering = self.selector.recovering
        is_open = self.selector.directory.accepting_entry(grant.entry.token) is not None
        if is_open and recovering.renew(grant.entry, grant.granted_at, now):
            self.grants[question.flow_key] = grant._replace(granted_at=now)
            return grant.answer
        del self.grants[question.flow_key]
        return None

    def _outcomes_of(
        self, service: ServiceName, queue: AdmissionQueue, now: float
    ) -> Iterator[QueueOutcome]:
        if now - queue.settled_at > self._takeover_s():
            self._await_reports(queue, now)
        queue.settled_at = now
        for opening in queue.evicted:
            yield self._refuse(queue, opening, "queue-full", now)
        queue.evicted.clear()
        queue.note_late(now)
        for opening in queue.pop_expired(now):
            yield self._refuse(queue, opening, "held-too-long", now)
        if now < queue.granting_from:
            return
        yield from self._grants_of(service, queue, now)
        for opening in queue.pop_hopeless(now):
            yield self._refuse(queue, opening, "wait-too-long", now)

    def _grants_of(
        self, service: ServiceName, queue: AdmissionQueue, now: float
    ) -> Iterator[QueueOutcome]:
        """Yield the grants of the slots that are free now.

        An opening that finds no slot because it tried the server with a free one does
        not keep the others waiting.
        """
        skipped: list[QueuedOpening] = []
        try:
            while (opening := queue.next_opening()) is not None:
                question = opening.question
                new_flow = new_flow_of(question, now)
                selection = self.selector.select(question.flow_key, service, new_flow)
                if selection is None:
                    queue.remove(question.flow_key)
                    yield Released(question)
                elif not selection.is_full:
                    queue.record_grant(opening, now)
                    self._note_grant(opening, now)
                    yield Granted(question, selection)
                elif question.tried_tokens and len(skipped) < MAX_SKIPPED:
                    queue.remove(question.flow_key)
                    skipped.append(opening)
                else:
                    break
        finally:
            for opening in skipped:
                queue.put(opening)

    def _queue_of(self, service: ServiceName, now: float) -> AdmissionQueue:
        queue = self.by_service.get(service)
        if queue is None:
            queue = self.by_service[service] = AdmissionQueue(self.settings, now)
        return queue

    def _note_takeover(self, service: ServiceName, now: float) -> None:
        """Grant no slot until other VMs have reported the load, if this VM takes over.

        Those that wait come at once, and without the reports all servers would seem to
        be free.
        """
        queue = self._queue_of(service, now)
        if now - queue.settled_at > self._takeover_s():
            self._await_reports(queue, now)

    def _await_reports(self, queue: AdmissionQueue, now: float) -> None:
        """Grant no slot until other VMs have reported the load, which takes a moment.

        They have reported none to this VM before a takeover or during a pause.
        """
        if self.coordinators.has_other_vms and now >= queue.granting_from:
            queue.granting_from = now + self._takeover_s()

    def _takeover_s(self) -> float:
        settings = self.settings
        report_s = settings.report_interval_s(len(self.coordinators.entry_vms))
        return report_s + settings.placement_timeout_s + settings.grant_interval_s

    def _describe(
        self, question: PlaceQuestion, queue: AdmissionQueue, now: float
    ) -> QueuedOpening:
        """Return the opening that a placement request is about.

        An older VM says neither priority nor target; the route of this VM does.
        """
        settings = self.settings
        caller_s = settings.caller_syn_timeout_s
        priority = question.priority
        target_s = question.target_latency_ms / MS_PER_S or math.inf
        left_s = min(question.wait_left_ms / MS_PER_S or caller_s, caller_s)
        if not question.wait_left_ms:
            route_address = question.flow_key[ROUTE_OFFSET:]
            route = self.route_table.routes.get(route_address)
            if route is not None:
                priority, target_s = route.priority, route.target_latency_s
        first_sent_at = now + left_s - caller_s
        in_time_until = first_sent_at + min(
            caller_s, target_s * settings.in_time_wait_share
        )
        is_retry = queue.refused_callers.take(question.flow_key, now)
        priority = min(max(priority, 0), PRIORITY_CLASSES - 1)
        return QueuedOpening(
            question,
            priority,
            queue.rank_of(
                priority, in_time_until, now, is_retry=is_retry or question.was_refused
            ),
            first_sent_at,
            in_time_until,
            first_sent_at + min(caller_s, target_s * settings.standing_wait_factor),
            first_sent_at + min(caller_s, target_s * settings.target_wait_factor),
            now,
            next(self.numbers),
        )

    def _note_grant(self, opening: QueuedOpening, now: float) -> None:
        self.counts["queue.granted"] += 1
        waited_s = round(now - opening.queued_at, 3)
        log_decision("opening-granted", **_line_fields(opening), waited_s=waited_s)

    def _refuse(
        self, queue: AdmissionQueue, opening: QueuedOpening, reason: str, now: float
    ) -> Refused:
        self._note_refusal(queue, opening, reason, now)
        return Refused(opening.question)

    def _note_refusal(
        self, queue: AdmissionQueue, opening: QueuedOpening, reason: str, now: float
    ) -> None:
        self.counts[f"queue.refused.{reason}"] += 1
        if queue.may_be_refused(opening, now):
            queue.refused_callers.add(opening.question.flow_key, now)
        log_decision(
            "opening-refused",
            **_line_fields(opening),
            reason=reason,
            waited_s=round(now - opening.queued_at, 3),
        )


def new_flow_of(question: PlaceQuestion, now: float) -> NewFlow:
    """Return the new flow that a placement request asks a server for."""
    return NewFlow(
        question.tried_tokens,
        question.expects_many_requests,
        now,
        question.sequence_number,
    )


def refusal_of(question: PlaceQuestion, settings: TokenRouterSettings) -> PlaceAnswer:
    """Return the answer that refuses a flow; an older VM reads that all are full."""
    return PlaceAnswer(settings.vm, question.flow_key, 0, True, 0, is_refused=True)


class OpeningFields(TypedDict):
    """What each line about an opening says.

    Attributes:
        flow: Flow key.
        service: Service of the flow.
        asking_vm: VM that holds the SYN.
        priority: Priority class.
        position: Position in the queue when it was queued, or would have been.
    """

    flow: str
    service: ServiceName
    asking_vm: VmId
    priority: int
    position: int


def _line_fields(opening: QueuedOpening) -> OpeningFields:
    question = opening.question
    return {
        "flow": question.flow_key.hex(),
        "service": question.service,
        "asking_vm": question.sender,
        "priority": opening.priority,
        "position": opening.position,
    }
