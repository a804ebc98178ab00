"""Routing of SYN packets, each of which opens a flow or is a copy of one that does."""

from __future__ import annotations

import math
from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import ServiceName, VmId
from kumquatmux_tokens.choice import NewFlow, Selection
from kumquatmux_tokens.directory import ServerEntry
from kumquatmux_tokens.flow import Flow
from kumquatmux_tokens.load_reporter import LoadReporter
from kumquatmux_tokens.packets import (
    SYN_RESET_SEQUENCE_NUMBER,
    Decision,
    Drop,
    Forward,
    HoldForServer,
    PacketHeader,
    RequestPlacement,
    Reset,
)
from kumquatmux_tokens.placers import PlaceAnswer, PlaceQuestion
from kumquatmux_tokens.refused_callers import RefusedCallers
from kumquatmux_tokens.routes import Route, RouteTable
from kumquatmux_tokens.service_queues import (
    MS_PER_S,
    Granted,
    QueueOutcome,
    QueuePlace,
    QueueRefusal,
    Refused,
    ServiceQueues,
    refusal_of,
)
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.waiting import BufferedPacket, QueueWait, SynBuffer

NO_SLOT = HoldForServer("no-slot")
"""Decision for a SYN packet that finds all servers of its service full."""


class SettledPacket(NamedTuple):
    """A buffered SYN packet that waits in this VM's queue no longer.

    Attributes:
        packet: The packet.
        decision: What to do with it.
    """

    packet: BufferedPacket
    decision: Decision


class SettledRequest(NamedTuple):
    """Another VM's placement request that waits in this VM's queue no longer.

    Attributes:
        vm: The VM that asked.
        answer: The answer for it.
    """

    vm: VmId
    answer: PlaceAnswer


class SynRouter:
    """Decides what to do with each SYN packet.

    Attributes:
        route_table: Routes in force.
        syn_buffer: SYN packets that are buffered until a server can take their flow.
        queues: Queues of the services whose flows this VM places.
        selector: Selects a server if this VM places the flow.
        load_reporter: Reports the use of reservations.
        last_served_at: Time when each service last had a server for a flow.
        last_full_at: Time when another VM last answered that a service's servers are
            full.
        queue_heard_at: Time when each VM last answered for a flow in its queue.
        refused_callers: Callers that were refused here as a service was full.
    """

    def __init__(
        self,
        settings: TokenRouterSettings,
        route_table: RouteTable,
        syn_buffer: SynBuffer,
        queues: ServiceQueues,
        load_reporter: LoadReporter,
        now: float,
    ) -> None:
        self.settings = settings
        self.started_at = now
        self.route_table = route_table
        self.syn_buffer = syn_buffer
        self.queues = queues
        self.selector = queues.selector
        self.load_reporter = load_reporter
        self.directory = self.selector.directory
        self.load_tracker = self.selector.load_tracker
        self.recovering = self.selector.recovering
        self.coordinators = load_reporter.coordinators
        self.last_served_at: dict[ServiceName, float] = {}
        self.last_full_at: dict[ServiceName, float] = {}
        self.queue_heard_at: dict[VmId, float] = {}
        self.refused_callers = RefusedCallers(settings)

    def route(self, header: PacketHeader, now: float) -> Decision:
        """Return the decision for a SYN packet."""
        route = self.route_table.routes.get(header.route_address)
        if route is None:
            return self._decide_without_route(header, now)
        service = route.select_service(header.flow_key)
        flow = self.load_tracker.flow_of_syn(header)
        if flow is not None and flow.is_established:
            return Drop("flow-open")
        is_too_soon = flow is not None and self._is_too_soon(flow, now)
        if flow is not None and header.retransmission_count and not is_too_soon:
            copy = header.retransmission_count
            if self.load_tracker.record_unanswered_syn(flow, copy, now):
                self._log_unanswered_syn(header, flow.token)
        elif flow is not None:
            entry = self.directory.running_entry(flow.token)
            if entry is not None and entry.ended_at is None:
                copied = self._decide_copy(flow, entry, now)
                if copied is not None:
                    return copied
        if self._is_evacuated(service, now):
            self._leave_queue(header.flow_key)
            return self._refuse(header, "zone-evacuated", now)
        if header.flow_key in self.coordinators.pending_requests:
            if self.coordinators.is_pending(header.flow_key, now):
                return HoldForServer("asked")
            if header.flow_key not in self.syn_buffer.waits:
                return self._place_locally(header, service, now)
        if self.is_queued(header, now):
            return HoldForServer("queued")
        return self._place_by_coordinator(header, route, service, now)

    def _place_by_coordinator(
        self, header: PacketHeader, route: Route, service: ServiceName, now: float
    ) -> Decision:
        """Return the decision for a SYN packet that a coordinator places or queues."""
        wait = self.syn_buffer.waits.get(header.flow_key)
        coordinator = self._coordinator_for(wait, service, now)
        is_own = coordinator == self.settings.vm
        if not is_own and self._is_placement_paused(service, now):
            return NO_SLOT
        was_queued = wait is not None and wait.vm != coordinator
        if is_own and not was_queued and not self.queues.must_wait(service, now):
            decision = self._place_locally(header, service, now)
            if decision != NO_SLOT or not self.queues.is_queued(service):
                return decision
        question = self._question_about(header, route, service, now)
        if was_queued:
            question = question._replace(was_queued=True)
            self._leave_queue(header.flow_key)
            moved = QueueWait(coordinator, service, now)
            self.syn_buffer.waits[header.flow_key] = moved
        if is_own:
            return self._place_in_queue(header, question, now)
        self.coordinators.record_request(coordinator, header.flow_key, now)
        return RequestPlacement(coordinator, question)

    def _coordinator_for(
        self, wait: QueueWait | None, service: ServiceName, now: float
    ) -> VmId:
        if wait is None:
            return self.coordinators.coordinator_for(service, now)
        return self.coordinators.coordinator_after(wait.vm, service, now)

    def is_queued(self, header: PacketHeader, now: float) -> bool:
        """Return whether a SYN packet's flow waits in a queue and nothing is due.

        Another VM that queued it is asked again once in ``queue_refresh_s``, in case
        its second answer was lost, at a copy of the SYN if the VM is silent, and if
        another one is the coordinator now. If all servers are in evacuated zones, the
        flow waits no longer.
        """
        flow_key = header.flow_key
        wait = self.syn_buffer.waits.get(flow_key)
        if wait is None or flow_key in self.coordinators.pending_requests:
            return False
        if self._is_evacuated(wait.service, now):
            return False
        own_vm = self.settings.vm
        coordinator = self.coordinators.coordinator_after(wait.vm, wait.service, now)
        if wait.vm == own_vm and coordinator == own_vm:
            return self.queues.holds(wait.service, flow_key)
        if wait.vm != coordinator:
            return False
        if now - wait.asked_at >= self.settings.queue_refresh_s:
            return False
        heard_at = max(wait.asked_at, self.queue_heard_at.get(wait.vm, -math.inf))
        is_silent = now - heard_at >= self.settings.queue_silence_s
        return not (is_silent and self._is_new_copy(header))

    def settle_queues(self, now: float) -> list[SettledPacket | SettledRequest]:
        """Return what follows for the openings whose wait in this VM's queues ends."""
        settled = []
        for outcome in self.queues.outcomes(now):
            if outcome.question.sender == self.settings.vm:
                one: SettledPacket | SettledRequest | None = self._settle_packet(
                    outcome, now
                )
            else:
                one = self._settle_request(outcome, now)
            if one is not None:
                settled.append(one)
        return settled

    def process_answer(self, answer: PlaceAnswer, now: float) -> BufferedPacket | None:
        """Process the answer to a placement request.

        Returns:
            The buffered SYN packet to decide on now, None if there is none whose caller
            still waits or every server is full.
        """
        flow_key = answer.flow_key
        is_asked = self.coordinators.is_asked(answer.sender, flow_key)
        wait = self.syn_buffer.waits.get(flow_key)
        is_of_queue = wait is not None and wait.vm == answer.sender
        self.coordinators.note_delay(flow_key, now, is_of_queue=is_of_queue)
        self.coordinators.record_answer(answer.sender, flow_key)
        packet = self.syn_buffer.unexpired_packet(flow_key, now)
        if packet is None:
            return None
        if is_of_queue or answer.queue_position:
            self.queue_heard_at[answer.sender] = now
        # A coordinator that was replaced knows the load on the servers no more.
        if wait is not None and not is_of_queue and not is_asked:
            return None
        if answer.is_refused:
            return packet if is_of_queue or is_asked else None
        route = self.route_table.routes.get(packet.header.route_address)
        service = route.select_service(flow_key) if route else ServiceName("")
        if answer.is_full:
            if is_asked and answer.queue_position:
                self.syn_buffer.waits[flow_key] = QueueWait(answer.sender, service, now)
            elif not answer.queue_position:
                self.syn_buffer.waits.pop(flow_key, None)
                self.last_full_at[service] = now
            return None
        return packet

    def apply_answer(
        self, header: PacketHeader, answer: PlaceAnswer, now: float
    ) -> Decision:
        """Return the decision for a SYN packet whose server another VM selected.

        If that server is unknown here, accepts no new flows, or is cold and the answer
        grants no opening there, this VM selects one. If it is cold and the flow waited
        in that VM's queue, that VM is asked to confirm the grant.
        """
        wait = self.syn_buffer.waits.get(header.flow_key)
        self._leave_queue(header.flow_key)
        route = self.route_table.routes.get(header.route_address)
        if route is None:
            return self._decide_without_route(header, now)
        if answer.is_refused:
            return self._refuse_full(header, now)
        service = route.select_service(header.flow_key)
        entry = self.directory.accepting_entry(answer.token)
        if entry is None or entry.record.report.service != service:
            return self._place_locally(header, service, now)
        if self.recovering.is_cold(entry, now):
            if not self._is_grant(answer, service):
                return self._place_locally(header, service, now)
            if wait is not None and wait.vm == answer.sender:
                question = self._question_about(header, route, service, now)
                self.coordinators.record_request(answer.sender, header.flow_key, now)
                return RequestPlacement(answer.sender, question)
        if answer.is_paced:
            self.recovering.watch(answer.token, now)
        self.load_reporter.reports_to(
            answer.sender
        ).used_reservation = answer.reservation_number
        self.load_tracker.has_unreported_change = True
        self.last_served_at[service] = now
        self.load_tracker.record_syn(header, answer.token, now)
        self._log_placement(header, entry, now, placer=answer.sender)
        return Forward(entry.record, answer.token)

    def _decide_copy(
        self, flow: Flow, entry: ServerEntry, now: float
    ) -> Decision | None:
        """Return the decision for a copy that came too soon to be a retransmission.

        It goes to no second server, where it would open the flow again. If the first
        one gets no new flows any more, a retransmission is placed elsewhere.

        Returns:
            None if the flow is at a cold server that it was not sent to, so that the
            copy is placed like a first SYN packet.
        """
        if self.directory.is_evacuated(entry):
            return Drop("copy-refused")
        if not self.recovering.is_cold(entry, now):
            return Forward(entry.record, entry.token)
        return Drop("copy-cold") if entry.token in flow.tried_tokens else None

    def _is_evacuated(self, service: ServiceName, now: float) -> bool:
        """Return whether all servers of a service are in evacuated zones.

        A VM that started a moment ago may not have been told of all servers yet.
        """
        if not self.directory.evacuated_zones:
            return False
        is_new = now - self.started_at < self.settings.server_learning_s
        return not is_new and self.directory.ready_servers(service).is_evacuated

    def _is_grant(self, answer: PlaceAnswer, service: ServiceName) -> bool:
        """Return whether an answer allows an opening at a cold server.

        Not so if another VM than the holder of the warm-up budget, as far as is known
        here, gave it, or if it may be one to a request that has timed out: it was
        counted against the budget of another second. A second answer, for a flow that
        waits in that VM's queue, is no late one, but has to be confirmed.
        """
        is_of_holder = answer.sender == self.coordinators.first_for(service)
        return is_of_holder and answer.flow_key not in self.coordinators.timed_out

    def _place_locally(
        self, header: PacketHeader, service: ServiceName, now: float
    ) -> Decision:
        new_flow = NewFlow(
            self._tried_tokens(header),
            self.load_tracker.expects_many_requests(header.route_address),
            now,
            header.sequence_number,
        )
        selection = self.selector.select(header.flow_key, service, new_flow)
        if selection is None:
            return self._decide_without_server(header, service, now)
        self.last_served_at[service] = now
        if selection.is_full:
            return NO_SLOT
        return self._forward(header, selection, now)

    def _place_in_queue(
        self, header: PacketHeader, question: PlaceQuestion, now: float
    ) -> Decision:
        """Return the decision for a SYN packet that joins this VM's own queue."""
        service = question.service
        outcome = self.queues.place(question, now)
        if outcome is None:
            return self._decide_without_server(header, service, now)
        self.last_served_at[service] = now
        if isinstance(outcome, QueuePlace):
            own_vm = self.settings.vm
            self.syn_buffer.waits[header.flow_key] = QueueWait(own_vm, service, now)
            return HoldForServer("queued")
        if isinstance(outcome, QueueRefusal):
            return self._refuse_full(header, now)
        return self._forward(header, outcome, now)

    def _question_about(
        self, header: PacketHeader, route: Route, service: ServiceName, now: float
    ) -> PlaceQuestion:
        """Return the placement request for a SYN packet."""
        question = PlaceQuestion(
            self.settings.vm,
            header.flow_key,
            service,
            self._tried_tokens(header),
            self.load_tracker.expects_many_requests(header.route_address),
            header.sequence_number,
        )
        if not self.queues.is_queued(service):
            return question
        has_target = math.isfinite(route.target_latency_s)
        target_ms = (
            max(round(route.target_latency_s * MS_PER_S), 1) if has_target else 0
        )
        left_ms = round(self.syn_buffer.seconds_left(header, now) * MS_PER_S)
        return question._replace(
            priority=route.priority,
            wait_left_ms=max(left_ms, 1),
            target_latency_ms=target_ms,
            was_refused=self._was_refused(header.flow_key, now),
        )

    def _was_refused(self, flow_key: bytes, now: float) -> bool:
        """Return whether a flow is taken for the retry of a caller refused here."""
        retries = self.syn_buffer.retries
        if flow_key not in retries:
            if not self.refused_callers.take(flow_key, now):
                return False
            retries.add(flow_key)
        return True

    def _tried_tokens(self, header: PacketHeader) -> tuple[int, ...]:
        flow = self.load_tracker.flow_of_syn(header)
        return flow.tried_tokens if flow is not None else ()

    def _is_new_copy(self, header: PacketHeader) -> bool:
        """Return whether a SYN packet is a later copy than the buffered one."""
        packet = self.syn_buffer.by_flow.get(header.flow_key)
        if packet is None:
            return False
        return header.retransmission_count > packet.header.retransmission_count

    def _leave_queue(self, flow_key: bytes) -> None:
        """Forget the wait of a flow, also in this VM's own queue."""
        wait = self.syn_buffer.waits.pop(flow_key, None)
        if wait is not None and wait.vm == self.settings.vm:
            self.queues.withdraw(wait.service, flow_key)

    def _settle_packet(self, outcome: QueueOutcome, now: float) -> SettledPacket | None:
        """Return the decision for a buffered SYN packet, if its caller still waits."""
        flow_key = outcome.question.flow_key
        self.syn_buffer.waits.pop(flow_key, None)
        packet = self.syn_buffer.unexpired_packet(flow_key, now)
        if packet is None:
            return None
        if isinstance(outcome, Granted):
            decision = self._forward(packet.header, outcome.selection, now)
            return SettledPacket(packet, decision)
        if isinstance(outcome, Refused):
            return SettledPacket(packet, self._refuse_full(packet.header, now))
        return None

    def _settle_request(self, outcome: QueueOutcome, now: float) -> SettledRequest:
        """Return the second answer to another VM's placement request."""
        question = outcome.question
        if isinstance(outcome, Refused):
            return SettledRequest(question.sender, refusal_of(question, self.settings))
        if isinstance(outcome, Granted):
            answer = self.queues.answer_grant(question, outcome.selection, now)
        else:
            answer = self.selector.answer(question, None, now)
        return SettledRequest(question.sender, answer)

    def _forward(
        self, header: PacketHeader, selection: Selection, now: float
    ) -> Decision:
        """Return the decision to forward a SYN packet to the server selected here."""
        token = selection.entry.token
        self.load_tracker.record_syn(header, token, now)
        self._log_placement(
            header,
            selection.entry,
            now,
            cost=round(selection.cost, 3),
            candidates=selection.candidate_count,
            grade=selection.priority_level,
        )
        return Forward(selection.entry.record, token)

    def _is_too_soon(self, flow: Flow, now: float) -> bool:
        """Return whether a copy of a SYN is no evidence against the flow's server.

        The SYN before it may still wait for this VM's link, or was late here.
        """
        since_s = now - flow.syn_forwarded_at
        is_late_here = since_s < self.settings.min_retransmission_gap_s
        return is_late_here or self.coordinators.is_explained(since_s, now)

    def _is_placement_paused(self, service: ServiceName, now: float) -> bool:
        """Return whether to send no placement request because all servers were full.

        Without this limit, every waiting SYN packet would be sent as a placement
        request at every tick, and the other VM would do little but refuse them.
        """
        since_full_s = now - self.last_full_at.get(service, -math.inf)
        if since_full_s < self.settings.placement_pause_s:
            return True
        is_limited = since_full_s < self.settings.limited_placement_s
        return (
            is_limited
            and len(self.coordinators.pending_requests)
            >= self.settings.limited_placement_requests
        )

    def _decide_without_route(self, header: PacketHeader, now: float) -> Decision:
        if not self.route_table.document_number:
            return HoldForServer("no-document")
        return self._refuse(header, "no-route", now)

    def _refuse(self, header: PacketHeader, reason: str, now: float) -> Decision:
        """Return the decision for a SYN packet that cannot be served.

        A copy of a SYN is dropped, and so is one that has waited here until its caller
        sent a copy: the flow may be open, by way of another VM.
        """
        is_copied = self.syn_buffer.may_be_placed_elsewhere(header.flow_key, now)
        if header.retransmission_count or is_copied:
            return Drop("copy-refused")
        return Reset(SYN_RESET_SEQUENCE_NUMBER, reason)

    def _refuse_full(self, header: PacketHeader, now: float) -> Decision:
        """Return the decision for a SYN packet that would get no slot in time."""
        decision = self._refuse(header, "service-full", now)
        if isinstance(decision, Reset):
            self.refused_callers.add(header.flow_key, now)
        return decision

    def _decide_without_server(
        self, header: PacketHeader, service: ServiceName, now: float
    ) -> Decision:
        """Return the decision for a SYN packet of a service without servers.

        The packet waits if a server is likely to come while the caller waits, that is,
        if the service had one, or this VM started, at most ``server_wait_s`` seconds
        ago. Otherwise the flow is refused at once.
        """
        waiting_since = self.last_served_at.get(service, self.started_at)
        if waiting_since > now - self.settings.server_wait_s:
            return HoldForServer("no-server-yet")
        return self._refuse(header, "no-server", now)

    def _log_placement(
        self,
        header: PacketHeader,
        entry: ServerEntry,
        now: float,
        **details: float | str,
    ) -> None:
        report = entry.record.report
        log_decision(
            "flow-placed",
            flow=header.flow_key.hex(),
            copy=header.retransmission_count,
            document=self.route_table.document_number,
            service=report.service,
            server=report.lifetime,
            token=entry.token,
            known_s=round(now - entry.first_known_at, 1),
            **details,
        )

    def _log_unanswered_syn(self, header: PacketHeader, token: int) -> None:
        local_load = self.load_tracker.local_load_at(token)
        log_decision(
            "server-unanswered",
            flow=header.flow_key.hex(),
            token=token,
            strikes=local_load.unanswered_syns,
        )
