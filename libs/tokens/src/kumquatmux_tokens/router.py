"""Router of one entry VM: decides what to do with each packet that callers send."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from kumquatmux_core.identity import VmId, ZoneName
from kumquatmux_registry.records import ServerRecord
from kumquatmux_tokens.backlog import Backlog
from kumquatmux_tokens.directory import ServerDirectory, ServerEntry
from kumquatmux_tokens.flow import Flow
from kumquatmux_tokens.gone import GoneServers
from kumquatmux_tokens.link_admission import LinkAdmission
from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.load_reporter import LoadReporter
from kumquatmux_tokens.lost_flows import LostFlows
from kumquatmux_tokens.opened_flows import OpenedFlows
from kumquatmux_tokens.packets import (
    Decision,
    Drop,
    Forward,
    ForwardAndProbe,
    HoldForToken,
    PacketHeader,
    Reset,
)
from kumquatmux_tokens.placers import (
    CoordinatorSelector,
    PlaceAnswer,
    PlaceQuestion,
)
from kumquatmux_tokens.pools import ServerPools
from kumquatmux_tokens.probes import LOST_RESULTS, ProbeResult, ServerProbes
from kumquatmux_tokens.recent import RecentPlacements
from kumquatmux_tokens.recovering import RecoveringServers
from kumquatmux_tokens.routes import RouteSet, RouteTable
from kumquatmux_tokens.server_pace import PaceReport
from kumquatmux_tokens.server_selector import ServerSelector
from kumquatmux_tokens.service_queues import ServiceQueues
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.syn_router import (
    SettledPacket,
    SettledRequest,
    SynRouter,
)
from kumquatmux_tokens.waiting import BufferedPacket, SynBuffer, TokenLookupBuffer
from kumquatmux_tokens.work import LoadShare


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
        load_reporter: Reports this VM's load to the other VMs of the zone.
        recovering: Tells which servers that started or recovered get a flow now.
        selector: Selects the servers of new flows.
        queues: Queues of the services whose flows this VM places.
        syn_router: Decides what to do with each SYN packet.
        link: Admission of uploads to this VM's link.
        lost_holders: Control VMs of the zones that nothing has been heard of for long
            enough that a live server would report to another one by now.
        probes: Probes of the servers whose flows may be lost.
        gone: Tells whether such a server is gone.
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
        self.directory = ServerDirectory(settings.zone)
        self.route_table = RouteTable()
        self.load_tracker = LoadTracker(settings)
        self.pools = ServerPools(self.directory, self.load_tracker)
        self.token_buffer = TokenLookupBuffer(settings)
        self.syn_buffer = SynBuffer(settings)
        self.backlog = Backlog(settings)
        self.recent = RecentPlacements(settings)
        self.coordinators = CoordinatorSelector(settings)
        self.probes = ServerProbes(settings)
        self.gone = GoneServers(self.directory, self.probes, self.load_tracker)
        self.lost_flows = LostFlows(
            settings,
            random,
            self.directory,
            self.gone,
            self.load_tracker,
            self.coordinators,
            self.recent,
        )
        self.opened_flows = OpenedFlows(settings, self.load_tracker, self.lost_flows)
        self.load_reporter = LoadReporter(
            settings, self.directory, self.load_tracker, self.coordinators
        )
        self.recovering = RecoveringServers(
            settings,
            self.directory,
            self.load_tracker,
            self.coordinators,
            self.route_table,
        )
        self.selector = ServerSelector(
            settings, random, self.pools, self.recent, self.recovering
        )
        self.queues = ServiceQueues(
            settings, self.route_table, self.selector, self.coordinators
        )
        self.syn_router = SynRouter(
            settings,
            self.route_table,
            self.syn_buffer,
            self.queues,
            self.load_reporter,
            now,
        )
        self.link = LinkAdmission(
            settings,
            random,
            self.load_tracker,
            self.syn_buffer,
            self.coordinators,
            self.recent,
            now,
        )
        self.coordinators.is_explained = self.link.explains
        self.lost_holders: frozenset[VmId] = frozenset()
        self.is_known_late: Callable[[ServerRecord, float], bool] = _is_called_late
        self.listening_since = now

    def route_packet(self, header: PacketHeader, now: float) -> Decision:
        """Return the decision for a packet."""
        if not header.is_syn:
            return self._route_by_token(header, now)
        if self.backlog.is_unread(now):
            return Drop("opening-outdated")
        if self.link.is_active:
            held = self.link.route_syn(header, now)
            if held is not None:
                return held
        return self.syn_router.route(header, now)

    def is_queued(self, header: PacketHeader, now: float) -> bool:
        """Return whether a buffered SYN packet waits in a queue and nothing is due.

        An upload keeps its claim on the link meanwhile.
        """
        if not self.syn_router.is_queued(header, now):
            return False
        self.link.keep_claim(header, now)
        return True

    def note_pause(self, now: float, gap_s: float) -> None:
        """Note a pause of this VM that has just ended, before packets are routed."""
        self.listening_since = now
        self.probes.resumed_at = now
        self.backlog.note_pause(now, gap_s)
        self.recovering.tenure.note_pause(now)

    def note_feed(self, is_confirmed: bool, now: float) -> None:
        """Note an answer of a control VM, after its lists and routes are in force.

        Args:
            is_confirmed: Whether an up-to-date control VM of this zone gave it, so that
                the list of the zone's entry VMs is confirmed.
            now: Current time in monotonic seconds.
        """
        self.recovering.note_feed(is_confirmed, now)

    def install_routes(self, routes: RouteSet, now: float) -> bool:
        """Install the routes of a newer document; return whether it was newer."""
        is_newer = self.route_table.install(routes, now)
        if is_newer:
            self.link.install_routes(self.route_table.routes)
        return is_newer

    def set_evacuated_zones(self, zones: frozenset[ZoneName]) -> None:
        """Set the zones whose servers get no new flows."""
        self.directory.set_evacuated_zones(zones)

    def store_record(self, record: ServerRecord, now: float) -> list[BufferedPacket]:
        """Store a server's record; return the packets buffered for its token."""
        previous = self.directory.by_token.get(record.token)
        self.directory.store_record(record, now)
        entry = self.directory.by_token[record.token]
        self.recovering.note_record(entry, previous, now)
        return self.token_buffer.pop_packets(record.token)

    def answer_placement_request(
        self, question: PlaceQuestion, now: float
    ) -> PlaceAnswer:
        """Place or queue a flow whose SYN packet arrived at another VM."""
        return self.queues.answer_request(question, now)

    def process_placement_answer(
        self, answer: PlaceAnswer, now: float
    ) -> BufferedPacket | None:
        """Process the answer to a placement request.

        Returns:
            The buffered SYN packet to decide on now, None if there is none whose caller
            still waits or every server is full.
        """
        return self.syn_router.process_answer(answer, now)

    def apply_placement_answer(
        self, header: PacketHeader, answer: PlaceAnswer, now: float
    ) -> Decision:
        """Return the decision for a SYN packet whose server another VM selected."""
        return self.syn_router.apply_answer(header, answer, now)

    def settle_queues(self, now: float) -> list[SettledPacket | SettledRequest]:
        """Return what follows for the openings whose wait in a queue here ends."""
        return self.syn_router.settle_queues(now)

    def record_probe(
        self, token: int, result: ProbeResult, now: float
    ) -> list[BufferedPacket]:
        """Record the result of a probe; return the packets of flows that are lost.

        A flow is not lost if an answer, or better news of its server, arrived while the
        server was probed. A probe that fails says nothing of a server that seems to be
        cut off: it met what does that.
        """
        entry = self.directory.running_entry(token)
        has_failed = result in LOST_RESULTS
        if has_failed and entry is not None and self._is_cut_off(entry.record):
            result = ProbeResult.NOT_MADE
        packets = self.probes.record(token, result, now, self.listening_since)
        if entry is None or entry.token != token or not self.gone.is_lost(entry, now):
            return []
        if self._is_over(entry, now):
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
        """Return when load reports are due next, infinity if there is nothing new."""
        return self.load_reporter.due_at()

    def due_load_reports(self, now: float) -> list[tuple[VmId, LoadShare]]:
        """Return the load reports that are due, each with its receiver."""
        return self.load_reporter.due_reports(now)

    def due_pace_reports(self, now: float) -> list[tuple[VmId, PaceReport]]:
        """Return what to tell coordinators of paced servers, each with its receiver."""
        return self.recovering.due_reports(now)

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
        self.recovering.remove_expired(now)
        self.link.remove_expired(now)
        self.queues.remove_expired(now)
        self.syn_buffer.remove_unbuffered()

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
            if self.gone.is_flow_lost(header, entry, now):
                return self.route_lost_packet(header, token, now)
            elsewhere = self.lost_flows.find(header, token, now)
            if elsewhere is not None:
                return elsewhere
        is_answered = is_over and self.load_tracker.acknowledges_more(header)
        if token != named_token:
            self._follow_restart(header, token, now)
        self.load_tracker.record_packet(header, token, now)
        is_suspect = is_over or self._is_server_suspect(header, entry.record, now)
        if is_answered or not is_suspect:
            return Forward(entry.record, token)
        if self.gone.is_gone(entry, now):
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
            may_serve = is_shown and not self.gone.is_flow_lost(header, own_entry, now)
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
        addition, its reports are overdue, and it does not seem to be cut off.
        Unanswered SYN packets are no evidence: a server that is full answers none, and
        goes on with the flows that it has.
        """
        is_unanswered = self.load_tracker.is_server_unresponsive(
            header.flow_key, self.listening_since, now
        )
        if not header.payload_length or not is_unanswered:
            return False
        return not self._is_cut_off(record) and self.is_known_late(record, now)

    def _is_cut_off(self, record: ServerRecord) -> bool:
        """Return whether nothing is heard of a server's zone nor of its holder.

        Then all that speaks against the server may be one cut, behind which it serves.
        """
        is_zone_silent = record.report.zone in self.load_tracker.unreachable_zones
        return is_zone_silent and record.holder in self.lost_holders


def _is_called_late(record: ServerRecord, now: float) -> bool:
    """Return whether any control VM calls a server late."""
    return record.is_late
