"""What a token entry VM decides: packets, messages and the time in, datagrams out."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_daemons.token_entry.contact import ControlContact
from kumquatmux_daemons.token_entry.containment import Containment
from kumquatmux_daemons.token_entry.effects import Datagram, Effect, Probe, Sent
from kumquatmux_daemons.token_entry.formats import EntryFormat
from kumquatmux_daemons.token_entry.packet_effects import PacketEffects
from kumquatmux_daemons.token_entry.packet_routing import PacketRouting
from kumquatmux_daemons.token_entry.parts import CoreParts
from kumquatmux_daemons.token_entry.peer_messages import PeerMessages
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_daemons.token_entry.waiting_syns import WaitingSyns
from kumquatmux_registry.follower import Follower, FollowerSettings
from kumquatmux_registry.table import ServerTable
from kumquatmux_tokens.link_account import Upload
from kumquatmux_tokens.link_pacer import HeldPacket, LinkPacer
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.probes import ProbeResult
from kumquatmux_tokens.router import TokenRouter
from kumquatmux_tokens.settings import LinkSettings, TokenRouterSettings

POLL_S = 0.5
"""Seconds between polls of the control VMs, and between sweeps."""

SEARCH_S = 0.1
"""Seconds between polls while no document is known."""

CUT_OFF_S = 2.0
"""Seconds after the start from which a document that nobody confirms must do."""


ENDED_RETENTION_S = 240.0
"""Seconds for which the record of an ended server is kept, longer than at control VMs.

Until then an older record that comes late from one of them changes nothing.
"""


class EntryCore:
    """One entry VM's decisions.

    Attributes:
        router: Where packets go.
        follower: What control VMs tell.
        contact: What may be concluded from their silence.
        counts: Decisions by kind.
        is_ready: Whether the fabric may send packets here.
        is_stopping: Whether it is about to stop.
        containment: Keeps an error about one input from the others.
        routing: Has callers' packets routed.
        waiting: SYN packets that wait until a server can take their flow.
        messages: Takes the messages of other VMs.
        pacer: Data of uploads that waits until the link is free.
        message_bytes: Bytes of the messages that were sent so far.
    """

    def __init__(
        self, settings: EntrySettings, form: EntryFormat, random: Random, now: float
    ) -> None:
        self.settings = settings
        self.format = form
        self.table = ServerTable()
        tokens = TokenRouterSettings(
            settings.vm,
            settings.zone,
            warm_up_limits=settings.warm_up_limits,
            link=LinkSettings(settings.limits.link_bytes_per_s),
        )
        self.router = TokenRouter(tokens, random, now)
        self.follower = Follower(
            FollowerSettings(settings.vm, settings.zone, False, settings.seeds)
        )
        self.contact = ControlContact(self.follower, self.router)
        self.counts: Counter[str] = Counter()
        self.started_at = now
        self.has_served = False
        self.is_stopping = False
        self.poll_at = now
        self.sweep_at = now
        self.message_bytes = 0
        self.pacer: LinkPacer[Effect] = LinkPacer(self.router.link.account)
        parts = CoreParts(
            settings,
            form,
            self.table,
            self.router,
            self.follower,
            self.contact,
            self.counts,
        )
        effects = PacketEffects(parts)
        self.containment = Containment(self.counts)
        self.routing = PacketRouting(self.router, effects, self.containment)
        self.waiting = WaitingSyns(self.router, effects, self.containment, now)
        self.messages = PeerMessages(
            parts, self.routing, self.waiting, self.containment
        )

    def due_at(self, now: float) -> float:
        """Return when the next tick has something to do."""
        due_at = min(
            self.sweep_at,
            self.poll_at,
            self.router.reports_due_at(),
            self.router.lost_flows.due_at,
        )
        if self.router.link.is_enabled:
            due_at = min(due_at, self.router.link.due_at(now), self.pacer.due_at())
        if self.router.syn_buffer.by_flow or self.router.queues.has_work():
            due_at = min(due_at, max(self.waiting.retry_at, now))
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
        link = self.router.link
        # The ends of flows show which routes carry bulk data, while none does yet.
        is_counted = link.is_active or (head.is_fin_or_rst and link.is_enabled)
        route = self._route_counted if is_counted else self.routing.route
        return self.containment.run("packet", route, head, data, now)

    def message(self, sender: VmId, message: Any, now: float) -> list[Effect]:
        """Return what follows from a message of another VM.

        An error spoils this message only: whatever has to arrive is sent again.
        """
        self.contact.note_look(now)
        return self.containment.run("message", self.messages.handle, message, now)

    def probed(self, token: int, result: ProbeResult, now: float) -> list[Effect]:
        """Return what follows from the result of a probe."""
        self.contact.note_look(now)
        self.counts[f"probes.{result.value}"] += 1
        log_decision("server-probed", token=token, result=result.value)
        lost = self.router.record_probe(token, result, now)
        effects = self.routing.route_lost(lost, token, now)
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
        if self.router.link.is_enabled:
            effects += self._use_link(now)
        if now >= self.waiting.retry_at:
            effects += self.waiting.try_again(now)
        unanswered = self.router.lost_flows.pop_due(now)
        return effects + self.routing.route_held(unanswered, now)

    def note_message_bytes(self, total: int, now: float) -> None:
        """Note the bytes of all messages that were sent until now."""
        if self.router.link.is_active and total > self.message_bytes:
            account = self.router.link.account
            account.record_messages(total - self.message_bytes, now)
        self.message_bytes = total

    def _route_counted(
        self, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        """Return what follows from a packet whose use of the link counts."""
        link = self.router.link
        dropped = link.record_packet(head, len(data), now)
        if dropped is not None:
            return self.routing.effects.apply(dropped, head, data, now)
        effects = self.routing.route(head, data, now)
        upload = link.upload_of(head)
        if upload is not None:
            effects = self._pace(effects, head, len(data), upload, now)
        elif self.pacer.held:
            effects += self.pacer.release(now)
        return effects + self.waiting.admit(now) if link.can_admit else effects

    def _pace(
        self,
        effects: list[Effect],
        head: PacketHeader,
        size: int,
        upload: Upload,
        now: float,
    ) -> list[Effect]:
        """Have a data packet of an upload go out when the link is free."""
        if len(effects) != 1 or not isinstance(effects[0], Datagram):
            return effects
        held: HeldPacket[Effect] = HeldPacket(
            effects[0], size, upload, head.sequence_number
        )
        return self.pacer.hold(held, now)

    def _use_link(self, now: float) -> list[Effect]:
        """Admit the uploads that the link can carry, and report the queue for it."""
        link = self.router.link
        effects = self.waiting.admit(now) if link.queue.by_flow else []
        effects += self.pacer.release(now)
        if now >= link.report_due_at():
            effects += [Sent(vm, report) for vm, report in link.due_reports(now)]
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

    def _report_load(self, now: float) -> list[Effect]:
        reports = self.router.due_load_reports(now)
        pace_reports = self.router.due_pace_reports(now)
        return [Sent(vm, one) for vm, one in (*reports, *pace_reports)]
