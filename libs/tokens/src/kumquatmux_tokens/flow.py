"""State of one flow, and what its packets show of the server that it is open at."""

from __future__ import annotations

import math
from typing import NamedTuple

from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.sequences import (
    OPENING_REACH_BYTES,
    SEQUENCE_SPACE,
    is_after,
    is_near,
)
from kumquatmux_tokens.settings import TokenRouterSettings

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
        own_answers: Most answers in a row under the token of the flow's server, at
            least 1 after an answer to data that was sent there under any token. One
            shows that the flow is open there, if no late answer came twice.
        latest_copy: Number of the latest SYN transmission that was forwarded here.
        has_missed_copy: Whether an earlier transmission of the SYN did not pass here,
            so that another VM may have sent it to another server.
        has_passed_data: Whether data of the flow was sent to its server from here.
        is_known: Whether the packet by which its caller opened it, or another VM, shows
            that the flow is open at its server.
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
        "has_passed_data",
        "is_confirmed",
        "is_established",
        "is_known",
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
        self.has_passed_data = False
        self.is_known = False
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


def latest_number(flow: Flow) -> int:
    """Return the latest sequence number that is known of a flow, open or not."""
    if flow.is_established:
        return flow.next_sequence_number
    return flow.first_sequence_number


def carries_on(flow: Flow, header: PacketHeader) -> bool:
    """Return whether a packet's sequence number is near where an open flow stands."""
    return is_near(flow.next_sequence_number, header.sequence_number)


def count_answers(flow: Flow, header: PacketHeader) -> None:
    """Count the packets in a row that carry one token and acknowledge more each."""
    if header.token != flow.named_token:
        flow.named_token = header.token
        flow.named_ack_number = header.ack_number
        flow.answers_in_a_row = 0
    elif is_after(header.ack_number, flow.named_ack_number):
        flow.named_ack_number = header.ack_number
        flow.answers_in_a_row += 1


def shows_opening(
    flow: Flow, header: PacketHeader, settings: TokenRouterSettings, now: float
) -> bool:
    """Return whether a packet is the one by which the caller opened a flow.

    It carries the token of the server that it opens the flow at, whatever copies of the
    SYN other VMs sent to other servers. A retransmission of it may carry another token;
    it comes later than the next copy of the SYN would, or, where earlier copies did not
    pass here, too soon after the latest one to be a retransmission.
    """
    if header.sequence_number != flow.first_sequence_number:
        return False
    since_s = now - flow.syn_forwarded_at
    if flow.has_missed_copy:
        return since_s < settings.min_retransmission_gap_s
    offsets_s = (*settings.syn_transmission_offsets_s, math.inf)
    copy = min(flow.latest_copy, len(offsets_s) - 2)
    return since_s < offsets_s[copy + 1] - offsets_s[copy]


def is_of_former_flow(
    flow: Flow, header: PacketHeader, settings: TokenRouterSettings, now: float
) -> bool:
    """Return whether a packet is of the flow before the one that is opening.

    That one had the same port; its last packets may come late.
    """
    if flow.is_established:
        return False
    offset = (header.sequence_number - flow.first_sequence_number) % SEQUENCE_SPACE
    is_opening = now - flow.syn_forwarded_at < settings.caller_syn_timeout_s
    return is_opening and offset > OPENING_REACH_BYTES
