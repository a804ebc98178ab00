"""Routing of callers' packets, those just read and those that were held."""

from __future__ import annotations

from collections.abc import Iterable

from kumquatmux_daemons.token_entry.containment import Containment
from kumquatmux_daemons.token_entry.effects import Effect, Sent
from kumquatmux_daemons.token_entry.packet_effects import PacketEffects
from kumquatmux_tokens.packets import (
    HoldForLink,
    HoldForServer,
    PacketHeader,
    RequestPlacement,
)
from kumquatmux_tokens.router import TokenRouter
from kumquatmux_tokens.waiting import BufferedPacket

WAITING_DECISIONS = (HoldForServer, HoldForLink, RequestPlacement)
"""Decisions after which a SYN packet stays in the buffer."""


class PacketRouting:
    """Has packets routed and the decisions carried out.

    Attributes:
        router: Decides where packets go.
        effects: Carries out the decisions.
        containment: Keeps an error about one packet from the others.
    """

    def __init__(
        self, router: TokenRouter, effects: PacketEffects, containment: Containment
    ) -> None:
        self.router = router
        self.effects = effects
        self.containment = containment

    def route(self, head: PacketHeader, data: bytes, now: float) -> list[Effect]:
        """Return what follows from a packet."""
        decision = self.router.route_packet(head, now)
        if head.is_syn and not isinstance(decision, WAITING_DECISIONS):
            self.router.syn_buffer.remove(head.flow_key)
        effects = self.effects.apply(decision, head, data, now)
        if self.router.load_tracker.shown_flows:
            news = self.router.opened_flows.due_at_once(now)
            effects += [Sent(vm, opened) for vm, opened in news]
        return effects

    def route_held(self, packets: Iterable[BufferedPacket], now: float) -> list[Effect]:
        """Return what follows from packets that were held until now."""
        effects: list[Effect] = []
        for held in packets:
            effects += self.containment.run(
                "packet", self.route, held.header, held.data, now
            )
        return effects

    def route_lost(
        self, packets: Iterable[BufferedPacket], token: int, now: float
    ) -> list[Effect]:
        """Return what follows from packets of flows whose server is lost."""
        effects: list[Effect] = []
        for held in packets:
            effects += self.containment.run(
                "packet", self._route_lost, held, token, now
            )
        return effects

    def _route_lost(self, held: BufferedPacket, token: int, now: float) -> list[Effect]:
        decision = self.router.route_lost_packet(held.header, token, now)
        return self.effects.apply(decision, held.header, held.data, now)
