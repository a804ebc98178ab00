"""What a token entry VM decides: packets, messages and the time in, datagrams out."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from functools import singledispatchmethod
from random import Random
from typing import Any, TypedDict

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_daemons.failures import log_contained
from kumquatmux_daemons.token_entry.contact import ControlContact
from kumquatmux_daemons.token_entry.effects import Datagram, Effect, Probe, Sent
from kumquatmux_daemons.token_entry.formats import EntryFormat
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_registry.feed import FeedAnswer
from kumquatmux_registry.follower import Follower, FollowerSettings
from kumquatmux_registry.lookup import TokenAnswer, TokenQuestion
from kumquatmux_registry.records import ServerRecord
from kumquatmux_registry.table import ServerTable
from kumquatmux_tokens.packets import (
    AskZone,
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
from kumquatmux_tokens.placers import PlaceAnswer, PlaceQuestion
from kumquatmux_tokens.probes import ProbeResult
from kumquatmux_tokens.questions import (
    FlowAnswer,
    FlowNewsQuestion,
    FlowOpened,
    FlowQuestion,
)
from kumquatmux_tokens.router import TokenRouter
from kumquatmux_tokens.routes import RouteSet
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.waiting import BufferedPacket
from kumquatmux_tokens.work import LoadShare

POLL_S = 0.5
"""Seconds between polls of the control VMs, and between sweeps."""

SEARCH_S = 0.1
"""Seconds between polls while no document is known."""

RETRY_S = 0.02
"""Seconds between attempts to place the opening packets that wait."""

ASKED_PEERS = 3
"""Entry VMs asked for an unknown token, beside the control VMs, which know them all.

As many are asked for news of flows when this VM starts, or is in touch again.
"""

NEWS_GAP_S = 1.5
"""Seconds without an answer of a control VM after which news of flows are asked for."""

NEWS_AGAIN_S = 2.0
"""Seconds after which another VM is asked for them once more."""

CUT_OFF_S = 2.0
"""Seconds after the start from which a document that nobody confirms must do."""


ENDED_RETENTION_S = 240.0
"""Seconds for which the record of an ended server is kept, longer than at control VMs.

Until then an older record that comes late from one of them changes nothing.
"""


class FlowEvidence(TypedDict, total=False):
    """What is known of a flow that is reset.

    Attributes:
        confirmed: Token of the server at which it is open, 0 if that is not known.
        may_be_at: Tokens of the servers at which it may be open.
    """

    confirmed: int
    may_be_at: str


class EntryCore:
    """One entry VM's decisions.

    Attributes:
        router: Where packets go.
        follower: What control VMs tell.
        contact: What may be concluded from their silence.
        counts: Decisions by kind.
        is_ready: Whether the fabric may send packets here.
        is_stopping: Whether it is about to stop.
        retry_at: Time at which opening packets that wait are tried again.
        fed_at: Time of the latest answer of a control VM that this VM knew others by.
        news_again_at: Time at which news of flows are asked for once more.
    """

    def __init__(
        self, settings: EntrySettings, form: EntryFormat, random: Random, now: float
    ) -> None:
        self.settings = settings
        self.format = form
        self.table = ServerTable()
        tokens = TokenRouterSettings(settings.vm, settings.zone)
        self.router = TokenRouter(tokens, random, now)
        self.follower = Follower(
            FollowerSettings(settings.vm, settings.zone, False, settings.seeds)
        )
        self.contact = ControlContact(self.follower, self.router)
        self.counts: Counter[str] = Counter()
        self.started_at = now
        self.has_served = False
        self.fed_at = -math.inf
        self.news_again_at = math.inf
        self.is_stopping = False
        self.poll_at = now
        self.sweep_at = now
        self.retry_at = now
        # Bound once: binding such a method anew costs more than most of its calls.
        self.apply_decision = self._apply_decision
        self.handle_message = self._handle_message

    def due_at(self, now: float) -> float:
        """Return when the next tick has something to do."""
        due_at = min(
            self.sweep_at,
            self.poll_at,
            self.router.reports_due_at(),
            self.router.lost_flows.due_at,
        )
        if self.router.syn_buffer.by_flow:
            due_at = min(due_at, max(self.retry_at, now))
        return due_at

    def is_ready(self, now: float) -> bool:
        """Return whether packets may come: a document is in force here."""
        if self.is_stopping:
            return False
        if self.has_served:
            return True
        is_cut_off = now - self.started_at > CUT_OFF_S
        has_document = self.router.route_table.document_number > 0
        if has_document and (self.follower.is_fed(now) or is_cut_off):
            self.has_served = True
            log_decision(
                "ready",
                document=self.router.route_table.document_number,
                cut_off=is_cut_off,
            )
        return self.has_served

    def packet(self, data: bytes, now: float) -> list[Effect]:
        """Return what follows from a caller's packet.

        An error spoils this packet only: the state that packets share is a count of
        load, which expires, and packets of other flows do not depend on it.
        """
        self.contact.note_look(now)
        head = self.format.read_head(data)
        if head is None:
            self.counts["packets.unread"] += 1
            return []
        return self._contained("packet", self._route, head, data, now)

    def message(self, sender: VmId, message: Any, now: float) -> list[Effect]:
        """Return what follows from a message of another VM.

        An error spoils this message only: whatever has to arrive is sent again.
        """
        self.contact.note_look(now)
        return self._contained("message", self.handle_message, message, now)

    def probed(self, token: int, result: ProbeResult, now: float) -> list[Effect]:
        """Return what follows from the result of a probe."""
        self.contact.note_look(now)
        self.counts[f"probes.{result.value}"] += 1
        log_decision("server-probed", token=token, result=result.value)
        effects: list[Effect] = []
        for held in self.router.record_probe(token, result, now):
            effects += self._contained("packet", self._route_lost, held, token, now)
        return effects + self._waiting_probes(now)

    def tick(self, now: float) -> list[Effect]:
        """Return what is due."""
        self.contact.note_look(now)
        effects: list[Effect] = []
        if now >= self.sweep_at:
            self.sweep_at = now + POLL_S
            self.router.remove_expired(now)
            effects += self._waiting_probes(now)
            self.table.remove_ended(now - ENDED_RETENTION_S)
            self.contact.note_feed(now)
            self.contact.note_zones(now)
            effects += self._due_news(now)
        if now >= self.poll_at:
            is_searching = not self.router.route_table.document_number
            self.poll_at = now + (SEARCH_S if is_searching else POLL_S)
            effects += [Sent(vm, poll) for vm, poll in self.follower.polls(now)]
        if now >= self.router.reports_due_at():
            effects += self._report_load(now)
        if now >= self.retry_at:
            effects += self._try_waiting(now)
        for held in self.router.lost_flows.pop_due(now):
            effects += self._contained(
                "packet", self._route, held.header, held.data, now
            )
        return effects

    def _waiting_probes(self, now: float) -> list[Effect]:
        """Return the probes that waited for others to end."""
        entries = self.router.start_waiting_probes(now)
        return [Probe(one.token, one.record.report.endpoint) for one in entries]

    def stop(self, now: float) -> list[Effect]:
        """Let the fabric and the other VMs know that this one ends soon."""
        self.is_stopping = True
        self.follower.is_stopping = True
        polls = [Sent(vm, poll) for vm, poll in self.follower.polls(now)]
        return [*polls, *self._due_news(now)]

    def _due_news(self, now: float) -> list[Sent]:
        """Return what to tell the zone of flows that may seem to be elsewhere."""
        news = self.router.opened_flows.due(now)
        return [Sent(vm, opened) for vm, opened in news]

    def _contained(
        self, subject: str, work: Callable[..., list[Effect]], *given: Any
    ) -> list[Effect]:
        """Return what some work returns, nothing if it fails."""
        try:
            return work(*given)
        except Exception as error:
            self.counts[f"failed.{subject}"] += 1
            log_contained("input-failed", error, subject)
            return []

    def _route(self, head: PacketHeader, data: bytes, now: float) -> list[Effect]:
        decision = self.router.route_packet(head, now)
        if head.is_syn and not isinstance(decision, HoldForServer | RequestPlacement):
            self.router.syn_buffer.remove(head.flow_key)
        effects = self.apply_decision(decision, head, data, now)
        if self.router.load_tracker.shown_flows:
            news = self.router.opened_flows.due_at_once(now)
            effects += [Sent(vm, opened) for vm, opened in news]
        return effects

    @singledispatchmethod
    def _apply_decision(
        self, decision: Decision, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        raise TypeError(f"unknown decision {type(decision).__name__}")

    @_apply_decision.register
    def _(
        self, decision: Forward, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        self.counts["packets.forwarded"] += 1
        packet = self.format.to_server(data, decision.server, decision.token)
        return [Datagram(packet, decision.server.report.endpoint)]

    @_apply_decision.register
    def _(
        self, decision: ForwardAndProbe, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        self.router.probes.hold(head, data, decision.token, now)
        forward = Forward(decision.server, decision.token)
        effects = self.apply_decision(forward, head, data, now)
        if decision.starts_probe:
            endpoint = decision.server.report.endpoint
            effects.append(Probe(decision.token, endpoint))
        return effects

    @_apply_decision.register
    def _(
        self, decision: Reset, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        self.counts[f"resets.{decision.reason}"] += 1
        log_decision(
            "flow-reset",
            flow=head.flow_key.hex(),
            reason=decision.reason,
            opening=head.is_syn,
            token=decision.token,
            carried=head.token,
            document=self.router.route_table.document_number,
            **self.contact.evidence_about(decision.token, now),
            **self._knowledge_about(head),
        )
        reset = self.format.reset_for(data, decision.sequence_number)
        target = (self.format.caller_ip(data), self.settings.packets.port)
        return [Datagram(reset, target)]

    @_apply_decision.register
    def _(
        self, decision: Drop, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        self.counts[f"drops.{decision.reason}"] += 1
        log_decision(
            "packet-dropped",
            flow=head.flow_key.hex(),
            reason=decision.reason,
            copy=head.retransmission_count,
            document=self.router.route_table.document_number,
        )
        return []

    @_apply_decision.register
    def _(
        self, decision: HoldForServer, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        is_new = head.flow_key not in self.router.syn_buffer.by_flow
        if not self.router.syn_buffer.add(head, data, now):
            self.counts["drops.too-many-waiting"] += 1
        elif is_new:
            self.counts[f"openings.{decision.reason}"] += 1
            log_decision(
                "opening-waits",
                flow=head.flow_key.hex(),
                reason=decision.reason,
                copy=head.retransmission_count,
                document=self.router.route_table.document_number,
            )
        return []

    @_apply_decision.register
    def _(
        self, decision: RequestPlacement, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        self.counts["openings.asked"] += 1
        if not self.router.syn_buffer.add(head, data, now):
            self.counts["drops.too-many-waiting"] += 1
            return []
        return [Sent(decision.coordinator, decision.request)]

    @_apply_decision.register
    def _(
        self, decision: HoldForToken, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        self.counts["packets.held"] += 1
        if not self.router.token_buffer.add(head, data, now):
            return []
        log_decision("token-asked", token=decision.token, flow=head.flow_key.hex())
        question = TokenQuestion(self.settings.vm, decision.token)
        asked = self._some_peers() | {*self.follower.sources}
        return [Sent(vm, question) for vm in sorted(asked)]

    @_apply_decision.register
    def _(
        self, decision: AskZone, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        self.router.lost_flows.hold(head, data)
        if decision.question is None:
            return []
        self.counts["flows.asked"] += 1
        return [Sent(vm, decision.question) for vm in decision.vms]

    @singledispatchmethod
    def _handle_message(self, message: Any, now: float) -> list[Effect]:
        self.counts["messages.unexpected"] += 1
        log_decision("message-unexpected", message=type(message).__name__)
        return []

    @_handle_message.register
    def _(self, message: FeedAnswer, now: float) -> list[Effect]:
        routes = self._read_document(message, now)
        taken = message if routes is not None else message._replace(content=b"")
        self.follower.take(taken, now)
        self.router.coordinators.set_entry_vms(self.follower.peers)
        self.contact.note_answer(message.sender, now)
        if routes is not None:
            self.router.install_routes(routes, now)
            if self.table.name_services(routes.services):
                self.follower.request_all_records()
        effects = self._merge(message.records, now)
        if message.records or routes is not None:
            effects += self._try_waiting(now)
        effects += self._ask_for_news(now)
        poll = self.follower.poll_after(message, now)
        if poll is not None:
            effects.append(Sent(message.sender, poll))
        return effects

    @_handle_message.register
    def _(self, message: LoadShare, now: float) -> list[Effect]:
        self.router.load_tracker.peer_load.apply_report(message, now)
        return []

    @_handle_message.register
    def _(self, message: PlaceQuestion, now: float) -> list[Effect]:
        return [
            Sent(message.sender, self.router.answer_placement_request(message, now))
        ]

    @_handle_message.register
    def _(self, message: PlaceAnswer, now: float) -> list[Effect]:
        held = self.router.process_placement_answer(message, now)
        if held is None:
            return []
        decision = self.router.apply_placement_answer(held.header, message, now)
        effects = self._release(decision, held, now)
        return effects + self._try_waiting(now)

    @_handle_message.register
    def _(self, message: TokenQuestion, now: float) -> list[Effect]:
        entry = self.router.directory.by_token.get(message.token)
        if entry is None:
            return []
        return [Sent(message.sender, TokenAnswer(self.settings.vm, entry.record))]

    @_handle_message.register
    def _(self, message: TokenAnswer, now: float) -> list[Effect]:
        return self._merge((message.record,), now)

    def _knowledge_about(self, head: PacketHeader) -> FlowEvidence:
        """Return what is known of a flow that is reset, for a line."""
        known = self.router.load_tracker.knowledge_of(
            head.flow_key, head.sequence_number
        )
        if known is None or head.is_syn:
            return {}
        return {
            "confirmed": known.confirmed_token,
            "may_be_at": ",".join(map(str, known.tokens)),
        }

    @_handle_message.register
    def _(self, message: FlowQuestion, now: float) -> list[Effect]:
        answer = self.router.lost_flows.answer(message, now)
        return [] if answer is None else [Sent(message.sender, answer)]

    @_handle_message.register
    def _(self, message: FlowAnswer, now: float) -> list[Effect]:
        held = self.router.lost_flows.record_answer(message)
        return [] if held is None else self._route(held.header, held.data, now)

    @_handle_message.register
    def _(self, message: FlowOpened, now: float) -> list[Effect]:
        self.router.lost_flows.news.record(message, now)
        return []

    @_handle_message.register
    def _(self, message: FlowNewsQuestion, now: float) -> list[Effect]:
        latest = self.router.opened_flows.latest()
        return [Sent(message.sender, opened) for opened in latest]

    def _ask_for_news(self, now: float) -> list[Effect]:
        """Ask some VMs of the zone for news of flows, after a time without an answer.

        Others could not tell this VM of flows meanwhile. One is asked again a moment
        later, as those that tell of flows may have listed this VM no sooner.
        """
        if not self.router.coordinators.has_other_vms:
            return []
        is_first = now - self.fed_at > NEWS_GAP_S
        self.fed_at = now
        if not is_first and now < self.news_again_at:
            return []
        self.news_again_at = now + NEWS_AGAIN_S if is_first else math.inf
        asked = sorted(self._some_peers())
        question = FlowNewsQuestion(self.settings.vm)
        return [Sent(vm, question) for vm in (asked if is_first else asked[:1])]

    def _some_peers(self) -> set[VmId]:
        peers = [vm for vm in self.follower.peers if vm != self.settings.vm]
        return {*self.router.random.sample(peers, min(len(peers), ASKED_PEERS))}

    def _route_lost(self, held: BufferedPacket, token: int, now: float) -> list[Effect]:
        decision = self.router.route_lost_packet(held.header, token, now)
        return self.apply_decision(decision, held.header, held.data, now)

    def _read_document(self, answer: FeedAnswer, now: float) -> RouteSet | None:
        """Return the routes of a newer document, None if there is none to read.

        The routes in force stay while a document cannot be read.
        """
        if not answer.content or answer.document <= self.follower.document.number:
            return None
        routes = self.format.read_routes(answer.content)
        if routes.is_ok():
            return routes.ok
        log_decision("document-unread", problem=routes.error)
        self.counts["documents.unread"] += 1
        self.follower.postpone_document(answer.sender, answer.document, now)
        return None

    def _merge(self, records: tuple[ServerRecord, ...], now: float) -> list[Effect]:
        effects: list[Effect] = []
        for record in records:
            if not self.format.names_server(record.report.lifetime.name):
                self.counts["records.unnamed"] += 1
                log_decision("record-unnamed", server=record.report.lifetime)
                continue
            effects += self._contained("record", self._merge_one, record, now)
        return effects

    def _merge_one(self, record: ServerRecord, now: float) -> list[Effect]:
        if not self.table.merge(record, now):
            return []
        effects: list[Effect] = []
        for held in self.router.store_record(record, now):
            effects += self._contained(
                "packet", self._route, held.header, held.data, now
            )
        return effects

    def _try_waiting(self, now: float) -> list[Effect]:
        """Place the opening packets that wait, as far as there are servers now."""
        self.retry_at = now + RETRY_S
        effects: list[Effect] = []
        for held in self.router.syn_buffer.unexpired_packets(now):
            effects += self._contained("packet", self._try_one, held, now)
        return effects

    def _try_one(self, held: BufferedPacket, now: float) -> list[Effect]:
        decision = self.router.route_packet(held.header, now)
        return self._release(decision, held, now)

    def _release(
        self, decision: Decision, held: BufferedPacket, now: float
    ) -> list[Effect]:
        """Carry out a decision about an opening packet that waits."""
        if isinstance(decision, HoldForServer):
            return []
        if not isinstance(decision, RequestPlacement):
            self.router.syn_buffer.remove(held.header.flow_key)
        return self.apply_decision(decision, held.header, held.data, now)

    def _report_load(self, now: float) -> list[Effect]:
        return [Sent(vm, report) for vm, report in self.router.due_load_reports(now)]
