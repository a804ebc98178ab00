"""Router of one entry VM: decides what to do with each packet that callers send."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import ServiceName, VmId
from kumquatmux_registry.records import ServerRecord
from kumquatmux_tokens.backlog import Backlog
from kumquatmux_tokens.choice import NewFlow, Selection, select_server
from kumquatmux_tokens.directory import ServerDirectory, ServerEntry
from kumquatmux_tokens.flow import Flow
from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.lost_flows import LostFlows
from kumquatmux_tokens.opened_flows import OpenedFlows
from kumquatmux_tokens.packets import (
    Decision,
    Drop,
    Forward,
    ForwardAndProbe,
    HoldForServer,
    HoldForToken,
    PacketHeader,
    RequestPlacement,
    Reset,
)
from kumquatmux_tokens.placers import (
    CoordinatorSelector,
    PlaceAnswer,
    PlaceQuestion,
)
from kumquatmux_tokens.pools import ServerPools
from kumquatmux_tokens.probes import ProbeResult, ServerProbes
from kumquatmux_tokens.recent import RecentPlacements
from kumquatmux_tokens.routes import RouteSet, RouteTable
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.waiting import BufferedPacket, SynBuffer, TokenLookupBuffer
from kumquatmux_tokens.work import LoadShare, OutgoingReports, ServerLoad

SYN_RESET_SEQUENCE_NUMBER = 0


class TokenRouter:
    """Routes callers' packets by the server token that both ends echo.

    Attributes:
        directory: Known servers by token.
        route_table: Routes in force.
        load_tracker: Load on each server.
        pools: Servers of each service that accept new flows.
        token_buffer: Packets that are buffered while their token is looked up.
        syn_buffer: SYN packets that are buffered until a server can take their flow.
        backlog: Packets that waited in the socket's queue while this VM was paused.
        recent: Servers of the flows that were placed here a short time ago.
        coordinators: Selects the placement coordinator of each service.
        lost_flows: Decides whether flows whose servers seem to be gone are reset.
        opened_flows: What other VMs are told of flows with several servers.
        outgoing_reports: State of the load reports to each other VM, by receiver.
        report_count: Number of load reports sent.
        reported_at: Time when load reports were last prepared.
        last_served_at: Time when each service last had a server for a flow.
        last_full_at: Time when another VM last answered that a service's servers are
            full.
        lost_holders: Control VMs of the zones that nothing has been heard of for long
            enough that a live server would report to another one by now.
        probes: Probes of the servers whose flows may be lost.
        is_known_late: Tells whether the reports of a server stopped, by more than the
            word of a control VM that does not hear the one that they go to.
        listening_since: Time since which this VM has read packets and messages without
            a pause.
    """

    def __init__(
        self, settings: TokenRouterSettings, random: Random, now: float
    ) -> None:
        self.settings = settings
        self.random = random
        self.started_at = now
        self.directory = ServerDirectory(settings.zone)
        self.route_table = RouteTable()
        self.load_tracker = LoadTracker(settings)
        self.pools = ServerPools(self.directory, self.load_tracker)
        self.token_buffer = TokenLookupBuffer(settings)
        self.syn_buffer = SynBuffer(settings)
        self.backlog = Backlog(settings)
        self.recent = RecentPlacements(settings)
        self.coordinators = CoordinatorSelector(settings)
        self.lost_flows = LostFlows(
            settings,
            random,
            self.directory,
            self.load_tracker,
            self.coordinators,
            self.recent,
        )
        self.opened_flows = OpenedFlows(settings, self.load_tracker, self.lost_flows)
        self.outgoing_reports: dict[VmId, OutgoingReports] = {}
        self.report_count = 0
        self.reported_at = -math.inf
        self.last_served_at: dict[ServiceName, float] = {}
        self.last_full_at: dict[ServiceName, float] = {}
        self.lost_holders: frozenset[VmId] = frozenset()
        self.probes = ServerProbes(settings)
        self.is_known_late: Callable[[ServerRecord, float], bool] = _is_called_late
        self.listening_since = now

    def route_packet(self, header: PacketHeader, now: float) -> Decision:
        """Return the decision for a packet."""
        if not header.is_syn:
            return self._route_by_token(header, now)
        if self.backlog.is_unread(now):
            return Drop("opening-outdated")
        return self._route_syn(header, now)

    def note_pause(self, now: float, gap_s: float) -> None:
        """Note a pause of this VM that has just ended, before packets are routed."""
        self.listening_since = now
        self.backlog.note_pause(now, gap_s)

    def install_routes(self, routes: RouteSet, now: float) -> bool:
        """Install the routes of a newer document; return whether it was newer."""
        return self.route_table.install(routes, now)

    def store_record(self, record: ServerRecord, now: float) -> list[BufferedPacket]:
        """Store a server's record; return the packets buffered for its token."""
        self.directory.store_record(record, now)
        return self.token_buffer.pop_packets(record.token)

    def answer_placement_request(
        self, question: PlaceQuestion, now: float
    ) -> PlaceAnswer:
        """Select a server for a flow whose SYN packet arrived at another VM."""
        new_flow = NewFlow(question.tried_tokens, question.expects_many_requests, now)
        selection = self._select_server(question.flow_key, question.service, new_flow)
        own_vm = self.settings.vm
        if selection is None:
            return PlaceAnswer(own_vm, question.flow_key, 0, False, 0)
        token = selection.entry.token
        if selection.is_full:
            return PlaceAnswer(own_vm, question.flow_key, token, True, 0)
        reservation = self.load_tracker.peer_load.reserve(question.sender, token, now)
        return PlaceAnswer(own_vm, question.flow_key, token, False, reservation.number)

    def process_placement_answer(
        self, answer: PlaceAnswer, now: float
    ) -> BufferedPacket | None:
        """Process the answer to a placement request.

        Returns:
            The buffered SYN packet to forward now, None if there is none whose caller
            still waits or every server is full.
        """
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

    def apply_placement_answer(
        self, header: PacketHeader, answer: PlaceAnswer, now: float
    ) -> Decision:
        """Return the decision for a SYN packet whose server another VM selected.

        If that server is unknown here or accepts no new flows, this VM selects one.
        """
        route = self.route_table.routes.get(header.route_address)
        if route is None:
            return self._decide_without_route(header)
        service = route.select_service(header.flow_key)
        entry = self.directory.accepting_entry(answer.token)
        if entry is None or entry.record.report.service != service:
            return self._place_locally(header, service, now)
        self._reports_to(answer.sender).used_reservation = answer.reservation_number
        self.load_tracker.has_unreported_change = True
        self.last_served_at[service] = now
        self.load_tracker.record_syn(header, answer.token, now)
        self._log_placement(header, entry, now, placer=answer.sender)
        return Forward(entry.record, answer.token)

    def record_probe(
        self, token: int, result: ProbeResult, now: float
    ) -> list[BufferedPacket]:
        """Record the result of a probe; return the packets of flows that are lost.

        A flow is not lost if an answer, or better news of its server, arrived while the
        server was probed.
        """
        packets = self.probes.record(token, result, now, self.listening_since)
        entry = self.directory.running_entry(token)
        if entry is None:
            return []
        if self._is_over(entry, now):
            if self.probes.is_lost(entry.token, now):
                self.directory.mark_gone(entry.token)
            return packets
        record = entry.record
        return [
            one for one in packets if self._is_server_suspect(one.header, record, now)
        ]

    def start_waiting_probes(self, now: float) -> list[ServerEntry]:
        """Return the servers to probe now that waited for other probes to end."""
        entries = []
        while (token := self.probes.start_waiting(now)) is not None:
            entry = self.directory.running_entry(token)
            if entry is not None and entry.token == token:
                entries.append(entry)
            else:
                self.record_probe(token, ProbeResult.NOT_MADE, now)
        return entries

    def route_lost_packet(
        self, header: PacketHeader, token: int, now: float
    ) -> Decision:
        """Return the decision for a packet of a flow whose server is lost."""
        entry = self.directory.by_token.get(token)
        is_ended = entry is not None and entry.ended_at is not None
        reason = "server-ended" if is_ended else "server-silent"
        return self.lost_flows.decide(header, token, reason, now)

    def reports_due_at(self) -> float:
        """Return when load reports are due next, infinity if there is nothing new.

        A change of load is reported after an interval that grows with the zone, which
        limits what a coordinator receives. Without changes only the complete reports
        are due, which a VM without any load does not send.
        """
        if not self.coordinators.has_other_vms:
            return math.inf
        tracker = self.load_tracker
        if tracker.has_unreported_change:
            return self.reported_at + self.settings.report_interval_s(
                len(self.coordinators.entry_vms)
            )
        if not self.outgoing_reports:
            return math.inf
        return min(one.next_complete_at for one in self.outgoing_reports.values())

    def due_load_reports(self, now: float) -> list[tuple[VmId, LoadShare]]:
        """Return the load reports that are due, each with its receiver."""
        self.reported_at = now
        self.load_tracker.has_unreported_change = False
        loads_by_receiver = self._loads_by_receiver(now)
        due_reports = []
        for vm in loads_by_receiver.keys() | self.outgoing_reports.keys():
            if vm not in self.coordinators.entry_vms:
                self.outgoing_reports.pop(vm, None)
                continue
            load_report = self._reports_to(vm).next_report(
                self.settings.vm,
                self.report_count + 1,
                loads_by_receiver.get(vm, []),
                now,
                self.settings.complete_report_interval_s,
            )
            if load_report is not None:
                self.report_count += 1
                due_reports.append((vm, load_report))
        return due_reports

    def remove_expired(self, now: float) -> None:
        """Remove expired flows, servers, buffered packets and placement requests."""
        self.load_tracker.remove_expired(now)
        self.load_tracker.keep_shares_of(self.route_table.routes)
        self.pools.apply_load_changes()
        self.directory.remove_ended(now - 2 * self.settings.flow_idle_timeout_s - 90.0)
        self.token_buffer.remove_expired(now)
        self.probes.remove_expired(now)
        self.recent.remove_expired(now)
        self.lost_flows.remove_expired(now)
        self.coordinators.remove_expired(now)

    def _route_syn(self, header: PacketHeader, now: float) -> Decision:
        route = self.route_table.routes.get(header.route_address)
        if route is None:
            return self._decide_without_route(header)
        service = route.select_service(header.flow_key)
        flow = self.load_tracker.flow_of_syn(header)
        if flow is not None and flow.is_established:
            return Drop("flow-open")
        is_too_soon = (
            flow is not None
            and now - flow.syn_forwarded_at < self.settings.min_retransmission_gap_s
        )
        if flow is not None and header.retransmission_count and not is_too_soon:
            copy = header.retransmission_count
            if self.load_tracker.record_unanswered_syn(flow, copy, now):
                self._log_unanswered_syn(header, flow.token)
        elif flow is not None:
            entry = self.directory.running_entry(flow.token)
            if entry is not None and entry.ended_at is None:
                return Forward(entry.record, entry.token)
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
                own_vm, header.flow_key, service, tried_tokens, expects_many_requests
            ),
        )

    def _place_locally(
        self, header: PacketHeader, service: ServiceName, now: float
    ) -> Decision:
        flow = self.load_tracker.flow_of_syn(header)
        tried_tokens = flow.tried_tokens if flow is not None else ()
        new_flow = NewFlow(
            tried_tokens,
            self.load_tracker.expects_many_requests(header.route_address),
            now,
        )
        selection = self._select_server(header.flow_key, service, new_flow)
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

    def _select_server(
        self, flow_key: bytes, service: ServiceName, new_flow: NewFlow
    ) -> Selection | None:
        recent_entry = self._recent_entry(flow_key, service, new_flow)
        if recent_entry is not None:
            return Selection(recent_entry, 0.0, 1, 0, False)
        pool = self.pools.pool(service)
        selection = select_server(pool, new_flow, self.load_tracker, self.random)
        if selection is not None and not selection.is_full:
            self.recent.record(flow_key, selection.entry.token, new_flow.now)
        return selection

    def _recent_entry(
        self, flow_key: bytes, service: ServiceName, new_flow: NewFlow
    ) -> ServerEntry | None:
        """Return the server that another copy of a flow's SYN was sent to, if sound."""
        recent_token = self.recent.token_of(flow_key, new_flow.now)
        running_entry = self.directory.running_entry(recent_token)
        token = running_entry.token if running_entry is not None else 0
        entry = self.directory.accepting_entry(token)
        if entry is None or token in new_flow.tried_tokens or entry.record.is_late:
            return None
        load = self.load_tracker.local_loads.get(token)
        is_avoided = load is not None and load.avoided_until > new_flow.now
        is_of_service = entry.record.report.service == service
        return entry if is_of_service and not is_avoided else None

    def _reports_to(self, vm: VmId) -> OutgoingReports:
        return self.outgoing_reports.setdefault(vm, OutgoingReports())

    def _loads_by_receiver(self, now: float) -> dict[VmId, list[ServerLoad]]:
        """Return the load to report to each other VM.

        In a zone with more than ``full_reporting_max_vms`` entry VMs, the load on a
        server is reported only to the placement coordinator of its service.
        """
        loads = self.load_tracker.reportable_loads(now)
        receivers = [vm for vm in self.coordinators.entry_vms if vm != self.settings.vm]
        if len(receivers) < self.settings.full_reporting_max_vms:
            return {vm: loads for vm in receivers}
        by_receiver: dict[VmId, list[ServerLoad]] = {}
        for server_load in loads:
            entry = self.directory.by_token.get(server_load.token)
            if entry is None:
                continue
            coordinator = self.coordinators.coordinator_for(
                entry.record.report.service, now
            )
            if coordinator != self.settings.vm:
                by_receiver.setdefault(coordinator, []).append(server_load)
        return by_receiver

    def _route_by_token(self, header: PacketHeader, now: float) -> Decision:
        self.syn_buffer.remove_opened(header)
        if header.flow_key in self.load_tracker.contested_flows:
            located = self._locate(header, now)
            if located is not None:
                return located
        named_token = self._server_token(header, now)
        entry = self.directory.by_token.get(named_token)
        if entry is not None and entry.ended_at is not None:
            entry = self.directory.running_entry(named_token)
        if entry is None:
            return HoldForToken(named_token) if named_token else Drop("no-token")
        token = entry.token
        if self.route_table.was_removed_before(
            header.route_address, now - self.settings.removed_route_grace_s
        ):
            return Reset(header.ack_number, "route-removed", token)
        is_over = entry.ended_at is not None and self._is_over(entry, now)
        if is_over:
            if self.directory.is_gone(entry):
                return self.route_lost_packet(header, token, now)
            elsewhere = self.lost_flows.find(header, token, now)
            if elsewhere is not None:
                return elsewhere
        if token != named_token:
            self._follow_restart(header, token, now)
        self.load_tracker.record_packet(header, token, now)
        if not is_over and not self._is_server_suspect(header, entry.record, now):
            return Forward(entry.record, token)
        if self.directory.is_gone(entry) or self.probes.is_lost(token, now):
            return self.route_lost_packet(header, token, now)
        return ForwardAndProbe(entry.record, token, self.probes.start(token, now))

    def _follow_restart(self, header: PacketHeader, token: int, now: float) -> None:
        """Have a flow of a server's former lifetime count at the one that runs."""
        flow = self.load_tracker.flow_of_packet(header)
        if flow is not None:
            self.load_tracker.move_flow(flow, token, now)

    def _server_token(self, header: PacketHeader, now: float) -> int:
        """Return the token of the server that a packet of an open flow goes to.

        A late answer of another server to a copy of the SYN gives the caller a token
        that is not that of the flow's server. The flow stays at the server at which
        this VM knows it, or saw it first, while that one runs and reports on time: it
        would have reset a flow that it does not hold.
        """
        flow = self.load_tracker.flow_of_packet(header)
        if flow is None:
            return self.lost_flows.server_token(header) or header.token
        if flow.token != header.token:
            return self._late_token_server(flow, header, now)
        self.load_tracker.note_token(flow, header, now)
        return header.token

    def _locate(self, header: PacketHeader, now: float) -> Decision | None:
        """Return the decision for a packet of a flow that may be open elsewhere.

        Returns:
            None if this VM knows as much as any other one.
        """
        tracker = self.load_tracker
        is_told = self.lost_flows.server_token(header) != 0
        if is_told or tracker.flow_of_packet(header) is not None:
            return None
        if tracker.is_opening(header, now) or header.is_fin_or_rst:
            return None
        return self.lost_flows.locate(header, now)

    def _late_token_server(self, flow: Flow, header: PacketHeader, now: float) -> int:
        """Return the token of a flow's server, as a packet carries another one's."""
        tracker = self.load_tracker
        told_token = 0 if flow.is_known else self.lost_flows.server_token(header)
        if told_token:
            tracker.learn_server(flow, told_token, now)
        own_entry = self.directory.running_entry(flow.token)
        is_sound = own_entry is not None and self._is_sound(own_entry)
        if is_sound:
            tracker.note_answer(flow, header)
        tracker.note_token(flow, header, now)
        if flow.token == header.token or own_entry is None:
            return header.token
        is_shown = flow.is_confirmed or flow.is_known or flow.own_answers > 0
        if self._is_over(own_entry, now):
            may_serve = is_shown and not self.directory.is_gone(own_entry)
            return flow.token if may_serve else header.token
        if is_sound or is_shown or flow.token in flow.tried_tokens:
            return flow.token
        named_entry = self.directory.running_entry(header.token)
        is_named_over = named_entry is not None and self._is_over(named_entry, now)
        return flow.token if is_named_over else header.token

    def _is_sound(self, entry: ServerEntry) -> bool:
        """Return whether a server runs and reports on time, as far as is known."""
        return entry.ended_at is None and not entry.record.is_late

    def _is_over(self, entry: ServerEntry, now: float) -> bool:
        """Return whether a server's end is known for longer than the grace period."""
        ended_at = entry.ended_at
        return (
            ended_at is not None and ended_at < now - self.settings.ended_server_grace_s
        )

    def _is_server_suspect(
        self, header: PacketHeader, record: ServerRecord, now: float
    ) -> bool:
        """Return whether a flow's server may be gone, judged by two kinds of evidence.

        The caller retransmits while the server answers no caller of this VM. In
        addition, its reports are overdue, or nothing is heard of its zone nor of the
        control VM that it reports to. Unanswered SYN packets are no evidence: a server
        that is full answers none, and goes on with the flows that it has.
        """
        is_unanswered = self.load_tracker.is_server_unresponsive(
            header.flow_key, self.listening_since, now
        )
        if not header.payload_length or not is_unanswered:
            return False
        is_zone_unreachable = record.report.zone in self.load_tracker.unreachable_zones
        is_holder_lost = record.holder in self.lost_holders
        is_cut_off = is_zone_unreachable and is_holder_lost
        return is_cut_off or self.is_known_late(record, now)

    def _decide_without_route(self, header: PacketHeader) -> Decision:
        if not self.route_table.document_number:
            return HoldForServer("no-document")
        return self._refuse(header, "no-route")

    def _refuse(self, header: PacketHeader, reason: str) -> Decision:
        """Return the decision for a SYN packet that cannot be served.

        A copy of a SYN is dropped: the flow may be open, by way of the VM that got an
        earlier one.
        """
        if header.retransmission_count:
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
        return self._refuse(header, "no-server")

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


def _is_called_late(record: ServerRecord, now: float) -> bool:
    """Return whether any control VM calls a server late."""
    return record.is_late
