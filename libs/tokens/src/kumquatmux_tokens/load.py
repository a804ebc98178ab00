"""Load on each server, derived from the packets of callers.

Servers answer callers directly, so this VM sees no answers. A request counts as in
progress from its SYN packet or data until the caller acknowledges part of the answer,
closes the flow or has been silent for too long.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Container
from typing import NamedTuple

from kumquatmux_core.identity import ZoneName
from kumquatmux_core.latencies import Latencies
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.work import PeerLoad, ServerLoad

MAX_AVOIDANCE_DOUBLINGS = 16
"""Doublings of the avoidance time that are computed; its upper limit comes sooner."""

SEQUENCE_SPACE = 1 << 32
HALF_SEQUENCE_SPACE = 1 << 31

OPENING_REACH_BYTES = 1 << 16
"""Bytes after a SYN's sequence number up to which packets are taken for its flow's.

Callers choose the first sequence number of each flow at random.
"""

FLOW_REACH_BYTES = 1 << 18
"""Bytes from where a flow stands within which packets are taken for its own.

More than its ends have in flight, and than pass other VMs before one comes here again.
"""

PROVING_ANSWERS = 3
"""Answers in a row under one token that show that a flow is open at its server.

Each transmission of a SYN leaves one late answer at most, and the first packet with its
token counts as no answer.
"""


class Flow:
    """State of one flow, derived from the caller's packets.

    Attributes:
        token: Token of the flow's server.
        tried_tokens: Tokens of the servers that the flow's SYN packets were sent to.
        is_established: Whether the caller has sent a packet after its SYN.
        syn_forwarded_at: Time when the latest SYN packet was forwarded.
        counted_copy: Number of the latest SYN retransmission that counted as evidence
            against a server, 0 for none.
        last_packet_at: Time when the latest packet arrived.
        request_sent_at: Time of the latest SYN or new data of the request in progress,
            None if there is no request in progress.
        last_data_at: Time when the latest new data arrived.
        retransmissions: Number of retransmissions of that data without an answer.
        baseline_ack_number: Acknowledgment number when the latest new data or answer
            was seen; a later one shows that the server has answered.
        has_sent_request: Whether the caller has sent a request on the flow.
        first_sequence_number: Sequence number after the SYN, or of the first packet
            that passed this VM.
        next_sequence_number: Sequence number after the last byte of the caller's data.
        named_token: Token that the latest packet carried.
        named_ack_number: Acknowledgment number of the latest of the packets in a row
            that carry that token and acknowledge more than the one before.
        answers_in_a_row: Number of such packets after the first one.
        own_answers: Most answers in a row under the token of the flow's server. One
            shows that the flow is open there, if no late answer came twice.
        latest_copy: Number of the latest SYN transmission that was forwarded here.
        has_missed_copy: Whether an earlier transmission of the SYN did not pass here,
            so that another VM may have sent it to another server.
        has_shown_opening: Whether the packet by which the caller opened the flow passed
            here.
        is_confirmed: Whether its packets show that the flow is open at its server. A
            token alone does not: a late answer to a copy of the SYN leaves another
            server's.
    """

    __slots__ = (
        "answers_in_a_row",
        "baseline_ack_number",
        "counted_copy",
        "first_sequence_number",
        "last_data_at",
        "request_sent_at",
        "next_sequence_number",
        "has_missed_copy",
        "has_sent_request",
        "has_shown_opening",
        "is_confirmed",
        "is_established",
        "latest_copy",
        "named_ack_number",
        "named_token",
        "own_answers",
        "syn_forwarded_at",
        "retransmissions",
        "last_packet_at",
        "token",
        "tried_tokens",
    )

    def __init__(self, token: int, first_sequence_number: int, now: float) -> None:
        self.token = token
        self.first_sequence_number = first_sequence_number
        self.tried_tokens: tuple[int, ...] = ()
        self.is_established = False
        self.syn_forwarded_at = now
        self.counted_copy = 0
        self.last_packet_at = now
        self.request_sent_at: float | None = None
        self.last_data_at = now
        self.retransmissions = 0
        self.baseline_ack_number = 0
        self.has_sent_request = False
        self.next_sequence_number = 0
        self.named_token = 0
        self.named_ack_number = 0
        self.answers_in_a_row = 0
        self.own_answers = 0
        self.latest_copy = -1
        self.has_missed_copy = False
        self.has_shown_opening = False
        self.is_confirmed = False


class FlowKnowledge(NamedTuple):
    """What a VM knows of the server of a flow.

    Attributes:
        confirmed_token: Token of the server at which the flow is open, 0 if that is not
            known.
        tokens: Tokens of the servers at which it may be open.
    """

    confirmed_token: int
    tokens: tuple[int, ...]


class LocalLoad:
    """Load that the flows through this VM put on one server.

    Attributes:
        active_requests: Requests in progress.
        open_flows: Open flows.
        unanswered_syns: Consecutive SYN packets that the server left unanswered.
        avoided_until: Time until which new flows go to other servers if possible.
        last_answer_at: Time of the latest evidence that the server answers.
        acknowledged_at: Time after which the server answered for sure: that of the
            packet before one that acknowledged more. A request acknowledges answers
            that may be as old.
    """

    __slots__ = (
        "last_answer_at",
        "acknowledged_at",
        "avoided_until",
        "active_requests",
        "open_flows",
        "unanswered_syns",
    )

    def __init__(self) -> None:
        self.active_requests = 0
        self.open_flows = 0
        self.unanswered_syns = 0
        self.avoided_until = -math.inf
        self.last_answer_at = -math.inf
        self.acknowledged_at = -math.inf

    @property
    def answered_at(self) -> float:
        """Time after which the server has answered a caller of this VM."""
        return max(self.last_answer_at, self.acknowledged_at)


class LoadTracker:
    """Flows through this VM and the load on each server.

    Attributes:
        flows: Flows by flow key.
        local_loads: Load that flows through this VM cause, by token.
        changed_tokens: Tokens of servers whose requests in progress changed; the
            reader clears it.
        has_unreported_change: Whether the load caused here changed; the reader clears
            it.
        peer_load: Load that other VMs of the zone report.
        forwarded_syns: Times and flow keys of forwarded SYN packets, oldest first.
        contested_flows: Keys of flows whose SYN may have gone to several servers; the
            reader removes those that it is done with.
        follow_up_share: Share of a route's requests that follow another one on their
            flow.
        unreachable_zones: Other zones that do not answer, so that their servers are
            probably unreachable.
        latencies: Histograms of the handshake time and the time to the first answer.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.flows: dict[bytes, Flow] = {}
        self.local_loads: dict[int, LocalLoad] = {}
        self.changed_tokens: set[int] = set()
        self.has_unreported_change = False
        self.peer_load = PeerLoad(settings, self.changed_tokens)
        self.forwarded_syns: deque[tuple[float, bytes]] = deque()
        self.contested_flows: set[bytes] = set()
        self.follow_up_share: dict[bytes, float] = {}
        self.unreachable_zones: frozenset[ZoneName] = frozenset()
        self.latencies = Latencies()

    def local_load_at(self, token: int) -> LocalLoad:
        """Return the load that flows through this VM put on a server."""
        load = self.local_loads.get(token)
        if load is None:
            load = self.local_loads[token] = LocalLoad()
        return load

    def is_idle(self, token: int) -> bool:
        """Return whether a server has no request in progress, as far as known here."""
        own_load = self.local_loads.get(token)
        if own_load is not None and own_load.active_requests:
            return False
        peer_load = self.peer_load.totals.get(token)
        return peer_load is None or not peer_load.active_requests

    def expects_many_requests(self, route_address: bytes) -> bool:
        """Return whether the flows of a route are likely to carry many requests."""
        return (
            self.follow_up_share.get(route_address, 0.0)
            > self.settings.follow_up_share_threshold
        )

    def flow_of_syn(self, header: PacketHeader) -> Flow | None:
        """Return the flow that a SYN packet opens, None if it is not known.

        A flow that the caller had before on the same port is another one.
        """
        flow = self.flows.get(header.flow_key)
        if flow is None or not follows_syn(flow.first_sequence_number, header):
            return None
        return flow

    def flow_of_packet(self, header: PacketHeader) -> Flow | None:
        """Return the open flow of a packet that is no SYN, None if it is not known.

        A flow that the caller had before on the same port is another one.
        """
        flow = self.flows.get(header.flow_key)
        if flow is None or not flow.is_established:
            return None
        return flow if _carries_on(flow, header) else None

    def acknowledges_more(self, header: PacketHeader) -> bool:
        """Return whether a packet shows that its flow's server has answered.

        It acknowledges more than the packets of its flow before, as far as that is
        known; nothing but an answer of the server can cause that.
        """
        flow = self.flow_of_packet(header)
        return flow is not None and _is_sequence_after(
            header.ack_number, flow.baseline_ack_number
        )

    def note_token(self, flow: Flow, header: PacketHeader, now: float) -> None:
        """Note the token of a packet of an open flow.

        A late answer to a copy of the SYN leaves another server's token with the caller
        until the flow's server sends anything. Packets in a row that carry one token
        while more and more is acknowledged show that it is that of the flow's server,
        if they are more than the late answers that a server can give.
        """
        if flow.is_confirmed and header.token == flow.token:
            flow.named_token = header.token
            return
        _count_answers(flow, header)
        answers = flow.answers_in_a_row
        may_be_late = flow.own_answers > 0 or header.token in flow.tried_tokens
        needed_answers = PROVING_ANSWERS if may_be_late else 1
        if header.token != flow.token and answers >= needed_answers:
            self.move_flow(flow, header.token, now)
        if header.token == flow.token:
            flow.own_answers = max(flow.own_answers, answers)
            flow.is_confirmed |= answers >= PROVING_ANSWERS

    def move_flow(self, flow: Flow, token: int, now: float) -> None:
        """Count a flow at another server, which its packets go to from now on."""
        flow.tried_tokens = ()
        self._move(flow, token, now)

    def adopt_flow(
        self, header: PacketHeader, token: int, is_confirmed: bool, now: float
    ) -> None:
        """Have the packets of a flow go to a server that other VMs know it at."""
        if self.flow_of_packet(header) is None:
            self._remove(header.flow_key)
            self.record_packet(header, token, now)
        flow = self.flow_of_packet(header)
        if flow is None:
            return
        if flow.token != token:
            self.move_flow(flow, token, now)
        flow.tried_tokens = (token,)
        flow.is_confirmed = is_confirmed

    def knowledge_of(
        self, flow_key: bytes, sequence_number: int
    ) -> FlowKnowledge | None:
        """Return what is known of an open flow, None if nothing is.

        Args:
            flow_key: Key of the flow.
            sequence_number: Sequence number of one of its packets, which tells it from
                a flow that the caller had before on the same port.
        """
        flow = self.flows.get(flow_key)
        if flow is None or not is_near(_latest_number(flow), sequence_number):
            return None
        confirmed_token = flow.token if flow.is_confirmed else 0
        return FlowKnowledge(
            confirmed_token, tuple(sorted({flow.token, *flow.tried_tokens}))
        )

    def record_syn(self, header: PacketHeader, token: int, now: float) -> None:
        """Record that a flow's SYN packet goes to a server."""
        flow = self.flow_of_syn(header)
        if flow is None or flow.is_established:
            self._remove(header.flow_key)
            if not self._has_room():
                return
            first_sequence_number = (header.sequence_number + 1) % SEQUENCE_SPACE
            flow = self.flows[header.flow_key] = Flow(token, first_sequence_number, now)
            self._count_open_flow(token, 1)
        elif flow.token != token:
            self._end_request(flow)
            self._count_open_flow(flow.token, -1)
            flow.token = token
            self._count_open_flow(token, 1)
        if token not in flow.tried_tokens:
            flow.tried_tokens = (*flow.tried_tokens, token)
        copy = header.retransmission_count
        flow.has_missed_copy |= copy > flow.latest_copy + 1
        if flow.has_missed_copy or len(flow.tried_tokens) > 1:
            self.contested_flows.add(header.flow_key)
        flow.latest_copy = max(copy, flow.latest_copy)
        flow.syn_forwarded_at = now
        flow.last_packet_at = now
        self._start_request(flow, now)
        self.forwarded_syns.append((now, header.flow_key))

    def record_unanswered_syn(self, flow: Flow, copy: int, now: float) -> bool:
        """Record, when a SYN is retransmitted, that its server did not answer.

        Args:
            flow: The flow.
            copy: Number of the retransmission. It is recorded once, however often the
                waiting packet is routed again.
            now: Current time in monotonic seconds.

        Returns:
            False if the retransmission is recorded already, or the server has answered
            a caller since the SYN was forwarded, so that nothing is recorded.
        """
        load = self.local_load_at(flow.token)
        if copy <= flow.counted_copy or load.last_answer_at > flow.syn_forwarded_at:
            return False
        flow.counted_copy = copy
        doublings = min(load.unanswered_syns, MAX_AVOIDANCE_DOUBLINGS)
        backoff_s = self.settings.server_avoidance_s * 2**doublings
        load.unanswered_syns += 1
        self.has_unreported_change = True
        load.avoided_until = now + min(backoff_s, self.settings.server_avoidance_max_s)
        return True

    def record_packet(self, header: PacketHeader, token: int, now: float) -> None:
        """Update the load from a packet that is not a SYN."""
        flow = self.flows.get(header.flow_key)
        if flow is not None and self._is_of_former_flow(flow, header, now):
            return
        if flow is not None and flow.is_established and not _carries_on(flow, header):
            self._remove(header.flow_key)
            flow = None
        if flow is None:
            if not self._has_room():
                return
            flow = self.flows[header.flow_key] = Flow(
                token, header.sequence_number, now
            )
            flow.next_sequence_number = header.sequence_number
            flow.has_sent_request = True
            self._count_open_flow(token, 1)
        previous_packet_at = flow.last_packet_at
        flow.last_packet_at = now
        if not flow.is_established:
            _count_answers(flow, header)
            self._establish(flow, token, header, now)
        if header.is_fin_or_rst:
            self._remove(header.flow_key)
            return
        is_answered = _is_sequence_after(header.ack_number, flow.baseline_ack_number)
        if is_answered:
            load = self.local_load_at(flow.token)
            load.acknowledged_at = max(load.acknowledged_at, previous_packet_at)
        if header.payload_length and _is_sequence_after(
            header.sequence_number + header.payload_length, flow.next_sequence_number
        ):
            flow.next_sequence_number = (
                header.sequence_number + header.payload_length
            ) % SEQUENCE_SPACE
            flow.baseline_ack_number = header.ack_number
            flow.last_data_at = now
            flow.retransmissions = 0
            self._update_follow_up_share(flow, header)
            self._start_request(flow, now)
        elif is_answered:
            flow.baseline_ack_number = header.ack_number
            flow.retransmissions = 0
            self.local_load_at(flow.token).last_answer_at = now
            if flow.request_sent_at is not None:
                self.latencies.record("first-answer", now - flow.request_sent_at)
            self._end_request(flow)
        elif header.payload_length:
            flow.retransmissions += 1

    def is_server_unresponsive(
        self, flow_key: bytes, listening_since: float, now: float
    ) -> bool:
        """Return whether a caller retransmits data and its server answers no caller.

        Only callers whose packets pass this VM are considered. A request that merely
        takes long does not match, as other callers get answers.

        Args:
            flow_key: Key of the caller's flow.
            listening_since: Time since which this VM has read without a pause;
                retransmissions queue up during one, and so do answers.
            now: Current time in monotonic seconds.
        """
        flow = self.flows.get(flow_key)
        if (
            flow is None
            or flow.retransmissions < self.settings.lost_flow_retransmissions
        ):
            return False
        waiting_since = max(flow.last_data_at, listening_since)
        is_overdue = now - waiting_since >= self.settings.lost_flow_min_s
        return (
            is_overdue
            and self.local_load_at(flow.token).last_answer_at <= flow.last_data_at
        )

    def expire_syn_requests(self, now: float) -> None:
        """Stop counting the request of a SYN packet if its caller sent nothing more.

        The caller has given up, uses another server, or its packets pass another VM.
        """
        limit = now - self.settings.handshake_timeout_s
        while self.forwarded_syns and self.forwarded_syns[0][0] < limit:
            forwarded_at, flow_key = self.forwarded_syns.popleft()
            flow = self.flows.get(flow_key)
            if (
                flow
                and not flow.is_established
                and flow.syn_forwarded_at == forwarded_at
            ):
                self._end_request(flow)

    def remove_expired(self, now: float) -> None:
        """Remove flows, requests and servers that have been idle for too long."""
        self.peer_load.remove_expired(now)
        self.expire_syn_requests(now)
        idle_limit = now - self.settings.flow_idle_timeout_s
        request_limit = now - self.settings.request_timeout_s
        for flow_key, flow in list(self.flows.items()):
            if flow.last_packet_at < idle_limit:
                self._remove(flow_key)
            elif (
                flow.request_sent_at is not None
                and flow.request_sent_at < request_limit
            ):
                self._end_request(flow)
        for token, load in list(self.local_loads.items()):
            is_unused = not load.open_flows and load.avoided_until < now
            if is_unused and load.last_answer_at < idle_limit:
                del self.local_loads[token]

    def keep_shares_of(self, route_addresses: Container[bytes]) -> None:
        """Forget the share of follow-up requests of all other routes."""
        for address in list(self.follow_up_share):
            if address not in route_addresses:
                del self.follow_up_share[address]

    def reportable_loads(self, now: float) -> list[ServerLoad]:
        """Return the load to report to the other VMs of the zone."""
        self.expire_syn_requests(now)
        return [
            ServerLoad(
                token, load.active_requests, load.open_flows, load.avoided_until > now
            )
            for token, load in self.local_loads.items()
            if load.open_flows or load.avoided_until > now
        ]

    def _has_room(self) -> bool:
        return len(self.flows) < self.settings.max_flows

    def _establish(
        self, flow: Flow, token: int, header: PacketHeader, now: float
    ) -> None:
        """Mark a flow as open at the server that the caller continues with.

        This is not always the server that the latest SYN packet was sent to.
        """
        flow.is_established = True
        flow.baseline_ack_number = header.ack_number
        flow.next_sequence_number = header.sequence_number
        if flow.token != token:
            self._move(flow, token, now)
        if flow.tried_tokens:
            flow.has_shown_opening = self._shows_opening(flow, header, now)
            is_only_one = flow.tried_tokens == (header.token,)
            flow.is_confirmed = flow.has_shown_opening and is_only_one
            self._record_handshake(flow, now)

    def _shows_opening(self, flow: Flow, header: PacketHeader, now: float) -> bool:
        """Return whether a packet is the one by which the caller opened a flow.

        All transmissions of the SYN passed here, and the caller went on before it would
        have sent another one.
        """
        offsets_s = (*self.settings.syn_transmission_offsets_s, math.inf)
        copy = min(flow.latest_copy, len(offsets_s) - 2)
        gap_s = offsets_s[copy + 1] - offsets_s[copy]
        return (
            not flow.has_missed_copy
            and header.sequence_number == flow.first_sequence_number
            and now - flow.syn_forwarded_at < gap_s
        )

    def _move(self, flow: Flow, token: int, now: float) -> None:
        """Count a flow at another server, with its request in progress."""
        has_request = flow.request_sent_at is not None
        self._end_request(flow)
        self._count_open_flow(flow.token, -1)
        flow.token = token
        flow.is_confirmed = False
        flow.own_answers = 0
        self._count_open_flow(token, 1)
        if has_request:
            self._start_request(flow, now)

    def _is_of_former_flow(self, flow: Flow, header: PacketHeader, now: float) -> bool:
        """Return whether a packet is of the flow before the one that is opening.

        That one had the same port; its last packets may come late.
        """
        if flow.is_established:
            return False
        offset = (header.sequence_number - flow.first_sequence_number) % SEQUENCE_SPACE
        is_opening = now - flow.syn_forwarded_at < self.settings.caller_syn_timeout_s
        return is_opening and offset > OPENING_REACH_BYTES

    def _record_handshake(self, flow: Flow, now: float) -> None:
        """Record that the server answered the SYN packet that this VM forwarded."""
        self.latencies.record("handshake", now - flow.syn_forwarded_at)
        load = self.local_load_at(flow.token)
        load.unanswered_syns = 0
        load.avoided_until = -math.inf
        load.last_answer_at = now

    def _update_follow_up_share(self, flow: Flow, header: PacketHeader) -> None:
        """Update a route's share of requests that follow another on their flow."""
        if flow.request_sent_at is not None and flow.has_sent_request:
            return
        share = self.follow_up_share.get(header.route_address, 0.0)
        smoothing = self.settings.follow_up_share_smoothing
        self.follow_up_share[header.route_address] = share + smoothing * (
            float(flow.has_sent_request) - share
        )
        flow.has_sent_request = True

    def _start_request(self, flow: Flow, now: float) -> None:
        if flow.request_sent_at is None:
            self._count_request(flow.token, 1)
        flow.request_sent_at = now

    def _end_request(self, flow: Flow) -> None:
        if flow.request_sent_at is not None:
            self._count_request(flow.token, -1)
            flow.request_sent_at = None

    def _count_request(self, token: int, change: int) -> None:
        self.local_load_at(token).active_requests += change
        self.changed_tokens.add(token)
        self.has_unreported_change = True

    def _count_open_flow(self, token: int, change: int) -> None:
        self.local_load_at(token).open_flows += change
        self.has_unreported_change = True

    def _remove(self, flow_key: bytes) -> None:
        flow = self.flows.pop(flow_key, None)
        if flow is not None:
            self._end_request(flow)
            self._count_open_flow(flow.token, -1)


def follows_syn(sequence_number: int, syn: PacketHeader) -> bool:
    """Return whether a packet's sequence number is one of the flow that a SYN opens."""
    offset = (sequence_number - syn.sequence_number) % SEQUENCE_SPACE
    return 0 < offset <= OPENING_REACH_BYTES


def _latest_number(flow: Flow) -> int:
    """Return the latest sequence number that is known of a flow, open or not."""
    if flow.is_established:
        return flow.next_sequence_number
    return flow.first_sequence_number


def _carries_on(flow: Flow, header: PacketHeader) -> bool:
    """Return whether a packet's sequence number is near where an open flow stands."""
    return is_near(flow.next_sequence_number, header.sequence_number)


def is_near(known_number: int, sequence_number: int) -> bool:
    """Return whether two sequence numbers may be of one flow."""
    offset = sequence_number - known_number + FLOW_REACH_BYTES
    return offset % SEQUENCE_SPACE <= 2 * FLOW_REACH_BYTES


def _count_answers(flow: Flow, header: PacketHeader) -> None:
    """Count the packets in a row that carry one token and acknowledge more each."""
    if header.token != flow.named_token:
        flow.named_token = header.token
        flow.named_ack_number = header.ack_number
        flow.answers_in_a_row = 0
    elif _is_sequence_after(header.ack_number, flow.named_ack_number):
        flow.named_ack_number = header.ack_number
        flow.answers_in_a_row += 1


def _is_sequence_after(number: int, reference: int) -> bool:
    """Return whether a sequence number comes after another, allowing for wraparound."""
    return 0 < (number - reference) % SEQUENCE_SPACE < HALF_SEQUENCE_SPACE
