"""Routing of SYN packets, each of which opens a flow or is a copy of one that does."""

from __future__ import annotations

import math

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import ServiceName
from kumquatmux_tokens.choice import NewFlow
from kumquatmux_tokens.directory import ServerEntry
from kumquatmux_tokens.flow import Flow
from kumquatmux_tokens.load_reporter import LoadReporter
from kumquatmux_tokens.packets import (
    Decision,
    Drop,
    Forward,
    HoldForServer,
    PacketHeader,
    RequestPlacement,
    Reset,
)
from kumquatmux_tokens.placers import PlaceAnswer, PlaceQuestion
from kumquatmux_tokens.routes import RouteTable
from kumquatmux_tokens.server_selector import ServerSelector
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.waiting import BufferedPacket, SynBuffer

SYN_RESET_SEQUENCE_NUMBER = 0


class SynRouter:
    """Decides what to do with each SYN packet.

    Attributes:
        route_table: Routes in force.
        syn_buffer: SYN packets that are buffered until a server can take their flow.
        selector: Selects a server if this VM places the flow.
        load_reporter: Reports the use of reservations.
        last_served_at: Time when each service last had a server for a flow.
        last_full_at: Time when another VM last answered that a service's servers are
            full.
    """

    def __init__(
        self,
        settings: TokenRouterSettings,
        route_table: RouteTable,
        syn_buffer: SynBuffer,
        selector: ServerSelector,
        load_reporter: LoadReporter,
        now: float,
    ) -> None:
        self.settings = settings
        self.started_at = now
        self.route_table = route_table
        self.syn_buffer = syn_buffer
        self.selector = selector
        self.load_reporter = load_reporter
        self.directory = selector.directory
        self.load_tracker = selector.load_tracker
        self.recovering = selector.recovering
        self.coordinators = load_reporter.coordinators
        self.last_served_at: dict[ServiceName, float] = {}
        self.last_full_at: dict[ServiceName, float] = {}

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
            return self._refuse(header, "zone-evacuated", now)
        tried_tokens = flow.tried_tokens if flow is not None else ()
        if header.flow_key in self.coordinators.pending_requests:
            if self.coordinators.is_pending(header.flow_key, now):
                return HoldForServer("asked")
            return self._place_locally(header, service, now)
        coordinator = self.coordinators.coordinator_for(service, now)
        if coordinator == self.settings.vm:
            return self._place_locally(header, service, now)
        if self._is_placement_paused(service, now):
            return HoldForServer("no-slot")
        self.coordinators.record_request(coordinator, header.flow_key, now)
        expects_many_requests = self.load_tracker.expects_many_requests(
            header.route_address
        )
        own_vm = self.settings.vm
        return RequestPlacement(
            coordinator,
            PlaceQuestion(
                own_vm,
                header.flow_key,
                service,
                tried_tokens,
                expects_many_requests,
                header.sequence_number,
            ),
        )

    def process_answer(self, answer: PlaceAnswer, now: float) -> BufferedPacket | None:
        """Process the answer to a placement request.

        Returns:
            The buffered SYN packet to forward now, None if there is none whose caller
            still waits or every server is full.
        """
        self.coordinators.note_delay(answer.flow_key, now)
        self.coordinators.record_answer(answer.sender, answer.flow_key)
        packet = self.syn_buffer.unexpired_packet(answer.flow_key, now)
        if packet is None:
            return None
        route = self.route_table.routes.get(packet.header.route_address)
        service = route.select_service(answer.flow_key) if route else ServiceName("")
        if answer.is_full:
            self.last_full_at[service] = now
            return None
        return packet

    def apply_answer(
        self, header: PacketHeader, answer: PlaceAnswer, now: float
    ) -> Decision:
        """Return the decision for a SYN packet whose server another VM selected.

        If that server is unknown here, accepts no new flows, or is cold and the answer
        grants no opening there, this VM selects one.
        """
        route = self.route_table.routes.get(header.route_address)
        if route is None:
            return self._decide_without_route(header, now)
        service = route.select_service(header.flow_key)
        entry = self.directory.accepting_entry(answer.token)
        if entry is None or entry.record.report.service != service:
            return self._place_locally(header, service, now)
        if self.recovering.is_cold(entry, now) and not self._is_grant(answer, service):
            return self._place_locally(header, service, now)
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
        counted against the budget of another second.
        """
        is_of_holder = answer.sender == self.coordinators.first_for(service)
        return is_of_holder and answer.flow_key not in self.coordinators.timed_out

    def _place_locally(
        self, header: PacketHeader, service: ServiceName, now: float
    ) -> Decision:
        flow = self.load_tracker.flow_of_syn(header)
        tried_tokens = flow.tried_tokens if flow is not None else ()
        new_flow = NewFlow(
            tried_tokens,
            self.load_tracker.expects_many_requests(header.route_address),
            now,
            header.sequence_number,
        )
        selection = self.selector.select(header.flow_key, service, new_flow)
        if selection is None:
            return self._decide_without_server(header, service, now)
        self.last_served_at[service] = now
        if selection.is_full:
            return HoldForServer("no-slot")
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
