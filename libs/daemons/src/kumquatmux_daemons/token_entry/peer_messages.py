"""What follows from the messages of other VMs."""

from __future__ import annotations

import math
from functools import singledispatchmethod
from typing import Any

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_daemons.token_entry.containment import Containment
from kumquatmux_daemons.token_entry.effects import Effect, Sent
from kumquatmux_daemons.token_entry.packet_routing import PacketRouting
from kumquatmux_daemons.token_entry.parts import CoreParts
from kumquatmux_daemons.token_entry.waiting_syns import WaitingSyns
from kumquatmux_registry.feed import FeedAnswer
from kumquatmux_registry.lookup import TokenAnswer, TokenQuestion
from kumquatmux_registry.records import ServerRecord
from kumquatmux_tokens.link_occupancy import LinkOccupancy
from kumquatmux_tokens.placers import PlaceAnswer, PlaceQuestion
from kumquatmux_tokens.questions import (
    FlowAnswer,
    FlowNewsQuestion,
    FlowOpened,
    FlowQuestion,
)
from kumquatmux_tokens.routes import RouteSet
from kumquatmux_tokens.server_pace import PaceReport
from kumquatmux_tokens.work import LoadShare

NEWS_GAP_S = 1.5
"""Seconds without an answer of a control VM after which news of flows are asked for."""

NEWS_AGAIN_S = 2.0
"""Seconds after which another VM is asked for them once more."""


class PeerMessages:
    """Takes the messages of other VMs.

    Attributes:
        routing: Routes packets that waited for what a message brings.
        waiting: SYN packets that wait.
        containment: Keeps an error about one record from the others.
        fed_at: Time of the latest answer of a control VM that this VM knew others by.
        news_again_at: Time at which news of flows are asked for once more.
    """

    def __init__(
        self,
        parts: CoreParts,
        routing: PacketRouting,
        waiting: WaitingSyns,
        containment: Containment,
    ) -> None:
        self.parts = parts
        self.router = parts.router
        self.follower = parts.follower
        self.counts = parts.counts
        self.routing = routing
        self.waiting = waiting
        self.containment = containment
        self.fed_at = -math.inf
        self.news_again_at = math.inf
        # Bound once: binding such a method anew costs more than most of its calls.
        self.handle = self._handle

    @singledispatchmethod
    def _handle(self, message: Any, now: float) -> list[Effect]:
        self.counts["messages.unexpected"] += 1
        log_decision("message-unexpected", message=type(message).__name__)
        return []

    @_handle.register
    def _(self, message: FeedAnswer, now: float) -> list[Effect]:
        routes = self._read_document(message, now)
        taken = message if routes is not None else message._replace(content=b"")
        former_evacuations = self.follower.evacuations
        self.follower.take(taken, now)
        evacuations = self.follower.evacuations
        self.router.set_evacuated_zones(frozenset(evacuations.zones))
        self.router.coordinators.set_entry_vms(self.follower.peers)
        self.parts.contact.note_answer(message.sender, now)
        if routes is not None:
            self.router.install_routes(routes, now)
            if self.parts.table.name_services(routes.services):
                self.follower.request_all_records()
        is_of_zone = message.zone == self.parts.settings.zone
        self.router.note_feed(is_of_zone and message.is_current, now)
        effects = self._merge(message.records, now)
        are_zones_changed = evacuations is not former_evacuations
        if message.records or routes is not None or are_zones_changed:
            effects += self.waiting.try_again(now)
        effects += self._ask_for_news(now)
        poll = self.follower.poll_after(message, now)
        if poll is not None:
            effects.append(Sent(message.sender, poll))
        return effects

    @_handle.register
    def _(self, message: LoadShare, now: float) -> list[Effect]:
        self.router.load_tracker.peer_load.apply_report(message, now)
        return []

    @_handle.register
    def _(self, message: PaceReport, now: float) -> list[Effect]:
        self.router.recovering.apply_report(message, now)
        return []

    @_handle.register
    def _(self, message: PlaceQuestion, now: float) -> list[Effect]:
        return [
            Sent(message.sender, self.router.answer_placement_request(message, now))
        ]

    @_handle.register
    def _(self, message: PlaceAnswer, now: float) -> list[Effect]:
        is_queued = message.flow_key in self.router.syn_buffer.waits
        held = self.router.process_placement_answer(message, now)
        if held is None:
            return []
        decision = self.router.apply_placement_answer(held.header, message, now)
        effects = self.waiting.release(decision, held, now)
        # The answer for an opening in a queue says nothing of those behind it.
        return effects if is_queued else effects + self.waiting.try_again(now)

    @_handle.register
    def _(self, message: TokenQuestion, now: float) -> list[Effect]:
        entry = self.router.directory.by_token.get(message.token)
        if entry is None:
            return []
        return [Sent(message.sender, TokenAnswer(self.parts.settings.vm, entry.record))]

    @_handle.register
    def _(self, message: TokenAnswer, now: float) -> list[Effect]:
        return self._merge((message.record,), now)

    @_handle.register
    def _(self, message: FlowQuestion, now: float) -> list[Effect]:
        answer = self.router.lost_flows.answer(message, now)
        return [] if answer is None else [Sent(message.sender, answer)]

    @_handle.register
    def _(self, message: FlowAnswer, now: float) -> list[Effect]:
        held = self.router.lost_flows.record_answer(message)
        return [] if held is None else self.routing.route(held.header, held.data, now)

    @_handle.register
    def _(self, message: FlowOpened, now: float) -> list[Effect]:
        self.router.lost_flows.news.record(message, now)
        return []

    @_handle.register
    def _(self, message: FlowNewsQuestion, now: float) -> list[Effect]:
        latest = self.router.opened_flows.latest()
        return [Sent(message.sender, opened) for opened in latest]

    @_handle.register
    def _(self, message: LinkOccupancy, now: float) -> list[Effect]:
        self.router.link.zone.record(message, now)
        return []

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
        asked = sorted(self.parts.select_peers())
        question = FlowNewsQuestion(self.parts.settings.vm)
        return [Sent(vm, question) for vm in (asked if is_first else asked[:1])]

    def _read_document(self, answer: FeedAnswer, now: float) -> RouteSet | None:
        """Return the routes of a newer document, None if there is none to read.

        The routes in force stay while a document cannot be read.
        """
        if not answer.content or answer.document <= self.follower.document.number:
            return None
        routes = self.parts.format.read_routes(answer.content)
        if routes.is_ok():
            return routes.ok
        log_decision("document-unread", problem=routes.error)
        self.counts["documents.unread"] += 1
        self.follower.postpone_document(answer.sender, answer.document, now)
        return None

    def _merge(self, records: tuple[ServerRecord, ...], now: float) -> list[Effect]:
        effects: list[Effect] = []
        for record in records:
            if not self.parts.format.names_server(record.report.lifetime.name):
                self.counts["records.unnamed"] += 1
                log_decision("record-unnamed", server=record.report.lifetime)
                continue
            effects += self.containment.run("record", self._merge_one, record, now)
        return effects

    def _merge_one(self, record: ServerRecord, now: float) -> list[Effect]:
        if not self.parts.table.merge(record, now):
            return []
        return self.routing.route_held(self.router.store_record(record, now), now)
