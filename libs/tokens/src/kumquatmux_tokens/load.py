"""Flows through this VM, and the load that their packets show.

Servers answer callers directly, so this VM sees no answers. A request counts as in
progress from its SYN packet or data until the caller acknowledges part of the answer,
closes the flow or has been silent for too long.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Container

from kumquatmux_core.identity import ZoneName
from kumquatmux_core.latencies import Latencies
from kumquatmux_tokens.flow import (
    PROVING_ANSWERS,
    Flow,
    FlowKnowledge,
    carries_on,
    count_answers,
    is_of_former_flow,
    latest_number,
    shows_opening,
)
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.sequences import (
    SEQUENCE_SPACE,
    follows_syn,
    is_after,
    is_near,
    number_after_syn,
)
from kumquatmux_tokens.server_loads import ServerLoads
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.work import ServerLoad


class LoadTracker(ServerLoads):
    """Flows through this VM and the load on each server.

    Attributes:
        flows: Flows by flow key.
        forwarded_syns: Times and flow keys of forwarded SYN packets, oldest first.
        contested_flows: Keys of flows whose SYN may have gone to several servers; the
            reader removes those that it is done with.
        shown_flows: Keys of those that were seen to open; the reader clears it.
        follow_up_share: Share of a route's requests that follow another one on their
            flow.
        unreachable_zones: Other zones that do not answer, so that their servers are
            probably unreachable.
        latencies: Histograms of the handshake time and the time to the first answer.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        super().__init__(settings)
        self.flows: dict[bytes, Flow] = {}
        self.forwarded_syns: deque[tuple[float, bytes]] = deque()
        self.contested_flows: set[bytes] = set()
        self.shown_flows: list[bytes] = []
        self.follow_up_share: dict[bytes, float] = {}
        self.unreachable_zones: frozenset[ZoneName] = frozenset()
        self.latencies = Latencies()

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
        return flow if carries_on(flow, header) else None

    def acknowledges_more(self, header: PacketHeader) -> bool:
        """Return whether a packet shows that its flow's server has answered.

        It acknowledges more than the packets of its flow before, as far as that is
        known; nothing but an answer of the server can cause that.
        """
        flow = self.flow_of_packet(header)
        return flow is not None and is_after(
            header.ack_number, flow.baseline_ack_number
        )

    def note_token(self, flow: Flow, header: PacketHeader, now: float) -> None:
        """Note the token of a packet of an open flow.

        A late answer to a copy of the SYN leaves another server's token with the caller
        until the flow's server sends anything. All that the caller acknowledges is of
        its server's sequence, whatever token it carries. So a flow that is known to be
        open at a server stays there. Of any other, packets in a row that carry one
        token while more and more is acknowledged show that it is that of the flow's
        server, if they are more than the late answers that a server can give.
        """
        if flow.is_confirmed and header.token == flow.token:
            flow.named_token = header.token
            return
        count_answers(flow, header)
        answers = flow.answers_in_a_row
        may_be_late = flow.own_answers > 0 or header.token in flow.tried_tokens
        needed_answers = PROVING_ANSWERS if may_be_late else 1
        is_named = header.token == flow.token
        if not is_named and not flow.is_known and answers >= needed_answers:
            self.move_flow(flow, header.token, now)
            is_named = True
        if is_named:
            flow.own_answers = max(flow.own_answers, answers)
            flow.is_confirmed |= answers >= PROVING_ANSWERS

    def note_answer(self, flow: Flow, header: PacketHeader) -> None:
        """Note whether a packet acknowledges an answer to data that was sent from here.

        The server that the data was sent to has it then, whatever token the caller
        carries: another one would have reset the flow.
        """
        if flow.has_passed_data and is_after(
            header.ack_number, flow.baseline_ack_number
        ):
            flow.own_answers = max(flow.own_answers, 1)

    def learn_server(self, flow: Flow, token: int, now: float) -> None:
        """Have a flow go to the server at which another VM saw it open."""
        if flow.token != token:
            self.move_flow(flow, token, now)
        flow.is_known = True

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
        flow.is_confirmed = flow.is_known = is_confirmed

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
        if flow is None or not is_near(latest_number(flow), sequence_number):
            return None
        confirmed_token = flow.token if flow.is_confirmed else 0
        return FlowKnowledge(
            confirmed_token, tuple(sorted({flow.token, *flow.tried_tokens}))
        )

    def seen_token_of(self, flow_key: bytes, sequence_number: int) -> int:
        """Return the token of the server that an open flow's packets go to from here.

        Returns:
            0 if none passed this VM.
        """
        flow = self.flows.get(flow_key)
        if flow is None or not flow.is_established:
            return 0
        is_of_flow = is_near(flow.next_sequence_number, sequence_number)
        return flow.token if is_of_flow else 0

    def is_opening(self, header: PacketHeader, now: float) -> bool:
        """Return whether a packet that is no SYN is the one that opens its flow."""
        flow = self.flows.get(header.flow_key)
        return (
            flow is not None
            and not flow.is_established
            and shows_opening(flow, header, self.settings, now)
        )

    def record_syn(self, header: PacketHeader, token: int, now: float) -> None:
        """Record that a flow's SYN packet goes to a server."""
        flow = self.flow_of_syn(header)
        if flow is None or flow.is_established:
            self._remove(header.flow_key)
            if not self._has_room():
                return
            first_sequence_number = number_after_syn(header)
            flow = self.flows[header.flow_key] = Flow(token, first_sequence_number, now)
            self.count_open_flow(token, 1)
        elif flow.token != token:
            self.move_load(flow, token)
        if token not in flow.tried_tokens:
            flow.tried_tokens = (*flow.tried_tokens, token)
        copy = header.retransmission_count
        flow.has_missed_copy |= copy > flow.latest_copy + 1
        if flow.has_missed_copy or len(flow.tried_tokens) > 1:
            self.contested_flows.add(header.flow_key)
        flow.latest_copy = max(copy, flow.latest_copy)
        flow.syn_forwarded_at = now
        flow.last_packet_at = now
        self.start_request(flow, now)
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
        self.avoid(load, now)
        if self.observer is not None:
            self.observer.note_unanswered(flow.token, now)
        return True

    def record_packet(self, header: PacketHeader, token: int, now: float) -> None:
        """Update the load from a packet that is not a SYN."""
        flow = self.flows.get(header.flow_key)
        if flow is not None and is_of_former_flow(flow, header, self.settings, now):
            return
        if flow is not None and flow.is_established and not carries_on(flow, header):
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
            self.count_open_flow(token, 1)
        previous_packet_at = flow.last_packet_at
        flow.last_packet_at = now
        if not flow.is_established:
            count_answers(flow, header)
            self._establish(flow, token, header, now)
        if header.is_fin_or_rst:
            self._remove(header.flow_key)
            return
        is_answered = is_after(header.ack_number, flow.baseline_ack_number)
        if is_answered:
            load = self.local_load_at(flow.token)
            load.acknowledged_at = max(load.acknowledged_at, previous_packet_at)
        if header.payload_length and is_after(
            header.sequence_number + header.payload_length, flow.next_sequence_number
        ):
            flow.next_sequence_number = (
                header.sequence_number + header.payload_length
            ) % SEQUENCE_SPACE
            flow.baseline_ack_number = header.ack_number
            flow.has_passed_data = True
            flow.last_data_at = now
            flow.retransmissions = 0
            self._update_follow_up_share(flow, header)
            self.start_request(flow, now)
        elif is_answered:
            flow.baseline_ack_number = header.ack_number
            flow.retransmissions = 0
            self.local_load_at(flow.token).last_answer_at = now
            if flow.request_sent_at is not None:
                answer_s = now - flow.request_sent_at
                self.latencies.record("first-answer", answer_s)
                if self.observer is not None:
                    self.observer.note_answer(
                        flow.token, header.route_address, answer_s, now
                    )
            self.end_request(flow)
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
                if self.observer is not None and flow.request_sent_at is not None:
                    self.observer.note_unopened(flow.token, now)
                self.end_request(flow)

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
                self.end_request(flow)
        self.remove_unused(idle_limit, now)

    def keep_shares_of(self, route_addresses: Container[bytes]) -> None:
        """Forget the share of follow-up requests of all other routes."""
        for address in list(self.follow_up_share):
            if address not in route_addresses:
                del self.follow_up_share[address]

    def reportable_loads(self, now: float) -> list[ServerLoad]:
        """Return the load to report to the other VMs of the zone."""
        self.expire_syn_requests(now)
        return self.current_loads(now)

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
            flow.is_known = shows_opening(flow, header, self.settings, now)
            is_only_one = flow.tried_tokens == (header.token,)
            flow.is_confirmed = (
                flow.is_known and is_only_one and not flow.has_missed_copy
            )
            self._record_handshake(flow, now)
            if flow.is_known and header.flow_key in self.contested_flows:
                self.shown_flows.append(header.flow_key)

    def _move(self, flow: Flow, token: int, now: float) -> None:
        """Count a flow at another server, with its request in progress."""
        has_request = flow.request_sent_at is not None
        self.move_load(flow, token)
        flow.is_confirmed = False
        flow.is_known = False
        flow.has_passed_data = False
        flow.own_answers = 0
        if has_request:
            self.start_request(flow, now)

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

    def _remove(self, flow_key: bytes) -> None:
        flow = self.flows.pop(flow_key, None)
        if flow is not None:
            self.end_request(flow)
            self.count_open_flow(flow.token, -1)
