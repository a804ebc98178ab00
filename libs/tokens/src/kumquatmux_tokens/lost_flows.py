"""The one place that decides whether a flow is reset because its server is gone.

A token names a lifetime of a server, not a flow. A late answer to a copy of a SYN
leaves the caller with the token of a server that its flow is not open at. So a VM
resets a flow only if it, or another VM of its zone, saw that the flow is open at the
server that is gone. Otherwise the flow's packets go to the one other server that it was
placed at, or nowhere: a caller without an answer tries again, a wrong reset breaks its
flow.
"""

from __future__ import annotations

import math
from random import Random

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_tokens.directory import ServerDirectory, ServerEntry
from kumquatmux_tokens.flow import FlowKnowledge
from kumquatmux_tokens.flow_news import FlowNews
from kumquatmux_tokens.gone import GoneServers
from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.packets import (
    AskZone,
    Decision,
    Drop,
    Forward,
    PacketHeader,
    Reset,
)
from kumquatmux_tokens.placers import CoordinatorSelector
from kumquatmux_tokens.questions import FlowAnswer, FlowQuestion
from kumquatmux_tokens.recent import RecentPlacements
from kumquatmux_tokens.sequences import is_after, is_near
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.waiting import BufferedPacket

NOTHING_KNOWN = FlowKnowledge(0, ())


class Inquiry:
    """What the VMs of the zone know of one flow whose server seems to be gone.

    Attributes:
        lost_token: Token of the server that seems to be gone, 0 if none does.
        header: Header of the packet that they were asked for.
        asked_at: Time when the other VMs were asked.
        is_over: Whether no more answers are waited for.
        knowledge: What this VM and the answers say of the flow.
        seen_token: Token of the server that another VM sent its packets to, 0 if none
            did.
        packet: Latest packet of the flow, None if none waits.
    """

    __slots__ = (
        "asked_at",
        "header",
        "is_over",
        "knowledge",
        "lost_token",
        "packet",
        "seen_token",
    )

    def __init__(
        self,
        lost_token: int,
        header: PacketHeader,
        knowledge: FlowKnowledge,
        now: float,
    ) -> None:
        self.lost_token = lost_token
        self.header = header
        self.knowledge = knowledge
        self.seen_token = 0
        self.asked_at = now
        self.is_over = False
        self.packet: BufferedPacket | None = None

    def holds_for(self, header: PacketHeader) -> bool:
        """Return whether a packet is of the same flow, and shows nothing newer.

        A conclusion is void once the caller acknowledges more, which only the flow's
        server can cause. A flow that the caller opened later on the same port is
        another one.
        """
        asked = self.header
        is_newer = is_after(header.ack_number, asked.ack_number)
        return is_near(asked.sequence_number, header.sequence_number) and not (
            self.is_over and is_newer
        )

    def add(self, answer: FlowAnswer) -> None:
        """Add what a VM knows. The inquiry is over once one saw the flow open."""
        known = self.knowledge
        self.knowledge = FlowKnowledge(
            known.confirmed_token or answer.confirmed_token,
            tuple(sorted({*known.tokens, *answer.tokens})),
        )
        self.seen_token = self.seen_token or answer.seen_token
        is_found = self.seen_token and not self.lost_token
        self.is_over = bool(self.knowledge.confirmed_token or is_found)

    def take_packet(self) -> BufferedPacket | None:
        """Return the packet that waits, which waits no longer."""
        packet = self.packet
        self.packet = None
        return packet


class LostFlows:
    """Flows whose servers seem to be gone, and what the zone knows of them.

    Attributes:
        news: What other VMs told of flows whose callers may carry another token.
        by_flow: Inquiries by flow key, oldest first.
        due_at: Time when answers to the oldest one are waited for no longer, infinity
            if none are.
    """

    def __init__(
        self,
        settings: TokenRouterSettings,
        random: Random,
        directory: ServerDirectory,
        gone: GoneServers,
        load_tracker: LoadTracker,
        coordinators: CoordinatorSelector,
        recent: RecentPlacements,
    ) -> None:
        self.settings = settings
        self.random = random
        self.directory = directory
        self.gone = gone
        self.load_tracker = load_tracker
        self.coordinators = coordinators
        self.recent = recent
        self.news = FlowNews(settings)
        self.by_flow: dict[bytes, Inquiry] = {}
        self.due_at = math.inf

    def find(
        self, header: PacketHeader, ended_token: int, now: float
    ) -> Decision | None:
        """Return the decision for a packet whose flow may not be open at its server.

        Args:
            header: Header of the packet.
            ended_token: Token of a server that ended, but may still serve its flows.
            now: Current time in monotonic seconds.

        Returns:
            None if no VM of the zone saw the flow open at another server, so that it is
            taken to be open at that one.
        """
        known = self._own_knowledge(header.flow_key, header.sequence_number, now)
        if known.confirmed_token == ended_token:
            return None
        inquiry = self._inquiry(header, ended_token, now)
        if inquiry is None:
            asked = self._ask(header, Inquiry(ended_token, header, known, now))
            return asked if isinstance(asked, AskZone) else None
        if not inquiry.is_over:
            return AskZone((), None)
        if inquiry.knowledge.confirmed_token in (0, ended_token):
            return None
        return self._conclude(inquiry, header, "server-ended", now)

    def locate(self, header: PacketHeader, now: float) -> Decision | None:
        """Return the decision for the first packet here of a flow with several servers.

        Copies of its SYN went to several servers, and any of them may have left its
        token with the caller.

        Returns:
            None if no VM of the zone passed a packet of the flow, or none can be asked.
        """
        inquiry = self._inquiry(header, 0, now)
        if inquiry is None:
            known = self._own_knowledge(header.flow_key, header.sequence_number, now)
            asked = self._ask(header, Inquiry(0, header, known, now))
            return asked if isinstance(asked, AskZone) else None
        if not inquiry.is_over:
            return AskZone((), None)
        token = inquiry.knowledge.confirmed_token or inquiry.seen_token
        entry = self.directory.running_entry(token)
        if entry is None or entry.ended_at is not None:
            return None
        self.load_tracker.adopt_flow(header, entry.token, False, now)
        flow = self.load_tracker.flow_of_packet(header)
        if flow is not None:
            flow.is_known = True
        return Forward(entry.record, entry.token)

    def decide(
        self, header: PacketHeader, lost_token: int, reason: str, now: float
    ) -> Decision:
        """Return the decision for a packet of a flow whose server is gone.

        Args:
            header: Header of the packet.
            lost_token: Token of the server that is gone.
            reason: Reason code of a reset.
            now: Current time in monotonic seconds.
        """
        known = self._own_knowledge(header.flow_key, header.sequence_number, now)
        if known.confirmed_token == lost_token:
            return Reset(header.ack_number, reason, lost_token)
        inquiry = self._inquiry(header, lost_token, now)
        if inquiry is None:
            inquiry = Inquiry(lost_token, header, known, now)
            asked = self._ask(header, inquiry)
            if asked is not None:
                return asked
        elif not inquiry.is_over:
            return AskZone((), None)
        return self._conclude(inquiry, header, reason, now)

    def server_token(self, header: PacketHeader) -> int:
        """Return the token of the server that a flow is open at by news, 0 for none.

        News of a server that runs no more is none: the flow is lost.
        """
        if not self.news.by_flow:
            return 0
        token = self.news.token_of(header.flow_key, header.sequence_number)
        entry = self.directory.running_entry(token)
        return token if entry is not None and entry.ended_at is None else 0

    def hold(self, header: PacketHeader, data: bytes) -> None:
        """Keep a packet until the VMs that were asked have answered."""
        inquiry = self.by_flow.get(header.flow_key)
        if inquiry is not None:
            inquiry.packet = BufferedPacket(header, data, inquiry.asked_at)

    def answer(self, question: FlowQuestion, now: float) -> FlowAnswer | None:
        """Return what this VM knows of another VM's flow, None if it knows nothing."""
        known = self._own_knowledge(question.flow_key, question.sequence_number, now)
        if known == NOTHING_KNOWN:
            return None
        seen_token = self.load_tracker.seen_token_of(
            question.flow_key, question.sequence_number
        )
        return FlowAnswer(
            self.settings.vm,
            question.flow_key,
            known.confirmed_token,
            known.tokens,
            seen_token,
        )

    def record_answer(self, answer: FlowAnswer) -> BufferedPacket | None:
        """Record an answer; return the packet that waited for it, if it decides."""
        inquiry = self.by_flow.get(answer.flow_key)
        if inquiry is None or inquiry.is_over:
            return None
        inquiry.add(answer)
        return inquiry.take_packet() if inquiry.is_over else None

    def pop_due(self, now: float) -> list[BufferedPacket]:
        """Return the packets for which no more answers are waited for."""
        if now < self.due_at:
            return []
        due = []
        self.due_at = math.inf
        for inquiry in self.by_flow.values():
            inquiry_due_at = inquiry.asked_at + self.settings.flow_inquiry_timeout_s
            if now < inquiry_due_at:
                self.due_at = inquiry_due_at
                break
            inquiry.is_over = True
            packet = inquiry.take_packet()
            if packet is not None:
                due.append(packet)
        return due

    def remove_expired(self, now: float) -> None:
        """Remove the inquiries and news that hold no longer."""
        self.news.remove_expired(now)
        for flow_key, inquiry in list(self.by_flow.items()):
            if now >= inquiry.asked_at + self.settings.flow_inquiry_validity_s:
                del self.by_flow[flow_key]

    def _inquiry(
        self, header: PacketHeader, lost_token: int, now: float
    ) -> Inquiry | None:
        """Return the inquiry into a flow that is in progress or still holds."""
        inquiry = self.by_flow.get(header.flow_key)
        if inquiry is None or inquiry.lost_token != lost_token:
            return None
        is_valid = now < inquiry.asked_at + self.settings.flow_inquiry_validity_s
        return inquiry if is_valid and inquiry.holds_for(header) else None

    def _ask(self, header: PacketHeader, inquiry: Inquiry) -> AskZone | Drop | None:
        """Ask the other VMs of the zone for a flow, as far as there is room.

        Returns:
            None if there is no other VM.
        """
        vms = self.some_vms()
        if not vms:
            return None
        self.by_flow.pop(header.flow_key, None)
        if len(self.by_flow) >= self.settings.flow_inquiry_limit:
            return Drop("flow-not-asked")
        self.by_flow[header.flow_key] = inquiry
        due_at = inquiry.asked_at + self.settings.flow_inquiry_timeout_s
        self.due_at = min(self.due_at, due_at)
        log_decision(
            "flow-asked",
            flow=header.flow_key.hex(),
            token=inquiry.lost_token,
            asked=len(vms),
        )
        question = FlowQuestion(
            self.settings.vm, header.flow_key, header.sequence_number
        )
        return AskZone(vms, question)

    def some_vms(self) -> tuple[VmId, ...]:
        """Return the other entry VMs of the zone, some of them if there are many."""
        others = self.coordinators.other_vms
        count = min(len(others), self.settings.flow_inquiry_vms)
        return tuple(self.random.sample(others, count))

    def _conclude(
        self, inquiry: Inquiry, header: PacketHeader, reason: str, now: float
    ) -> Decision:
        """Return the decision for a packet by all that is known of its flow."""
        confirmed_token = inquiry.knowledge.confirmed_token
        entry = self._server_of(inquiry)
        is_lost = confirmed_token == inquiry.lost_token or (
            entry is not None and self._is_lost(header, entry, now)
        )
        if confirmed_token and is_lost:
            return Reset(header.ack_number, reason, confirmed_token)
        if entry is None:
            return Drop("flow-unknown")
        self.load_tracker.adopt_flow(header, entry.token, bool(confirmed_token), now)
        log_decision(
            "flow-found",
            flow=header.flow_key.hex(),
            token=entry.token,
            lost=inquiry.lost_token,
            reason=reason,
            confirmed=confirmed_token,
        )
        return Forward(entry.record, entry.token)

    def _server_of(self, inquiry: Inquiry) -> ServerEntry | None:
        """Return the server at which a flow is open, None if it is not known.

        A flow that no VM saw open was placed at several servers. If one other than the
        one that is gone runs, the flow is open there, or nowhere.
        """
        known = inquiry.knowledge
        if known.confirmed_token:
            return self.directory.running_entry(known.confirmed_token)
        entries = {self.directory.running_entry(token) for token in known.tokens}
        running = [
            one
            for one in entries
            if one and one.ended_at is None and one.token != inquiry.lost_token
        ]
        return running[0] if len(running) == 1 else None

    def _is_lost(self, header: PacketHeader, entry: ServerEntry, now: float) -> bool:
        has_ended = entry.ended_at is not None
        return has_ended and self.gone.is_flow_lost(header, entry, now)

    def _own_knowledge(
        self, flow_key: bytes, sequence_number: int, now: float
    ) -> FlowKnowledge:
        known = self.load_tracker.knowledge_of(flow_key, sequence_number)
        known = known or NOTHING_KNOWN
        told_token = self.news.token_of(flow_key, sequence_number)
        placed_token = self.recent.token_of(flow_key, now, sequence_number)
        tokens = {*known.tokens, told_token, placed_token} - {0}
        return FlowKnowledge(known.confirmed_token, tuple(sorted(tokens)))
