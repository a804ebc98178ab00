"""SYN packets that wait until a server can take their flow."""

from __future__ import annotations

from kumquatmux_daemons.token_entry.containment import Containment
from kumquatmux_daemons.token_entry.effects import Effect, Sent
from kumquatmux_daemons.token_entry.packet_effects import PacketEffects
from kumquatmux_tokens.packets import (
    Decision,
    HoldForLink,
    HoldForServer,
    RequestPlacement,
)
from kumquatmux_tokens.router import TokenRouter
from kumquatmux_tokens.syn_router import SettledRequest
from kumquatmux_tokens.waiting import BufferedPacket

RETRY_S = 0.02
"""Seconds between attempts to place the SYN packets that wait."""


class WaitingSyns:
    """Tries to place the SYN packets that wait.

    Attributes:
        router: Holds them, and decides where they go.
        effects: Carries out the decisions.
        containment: Keeps an error about one packet from the others.
        retry_at: Time at which they are tried again.
    """

    def __init__(
        self,
        router: TokenRouter,
        effects: PacketEffects,
        containment: Containment,
        now: float,
    ) -> None:
        self.router = router
        self.effects = effects
        self.containment = containment
        self.retry_at = now

    def try_again(self, now: float) -> list[Effect]:
        """Place the SYN packets that wait, as far as there are servers now.

        Those that wait in a queue get the slots that are free first.
        """
        self.retry_at = now + RETRY_S
        effects = self.containment.run("queue", self._settle_queues, now)
        for held in self.router.syn_buffer.unexpired_packets(now):
            effects += self.containment.run("packet", self._try_one, held, now)
        return effects

    def admit(self, now: float) -> list[Effect]:
        """Place the SYN packets whose uploads this VM's link can carry now."""
        effects: list[Effect] = []
        for held in self.router.link.pop_admitted(now):
            effects += self.containment.run("packet", self._try_one, held, now)
        return effects

    def _settle_queues(self, now: float) -> list[Effect]:
        """Grant free slots to queued openings, and refuse those that get none."""
        effects: list[Effect] = []
        for settled in self.router.settle_queues(now):
            if isinstance(settled, SettledRequest):
                effects.append(Sent(settled.vm, settled.answer))
            else:
                effects += self.release(settled.decision, settled.packet, now)
        return effects

    def _try_one(self, held: BufferedPacket, now: float) -> list[Effect]:
        if self.router.is_queued(held.header, now):
            return []
        decision = self.router.route_packet(held.header, now)
        return self.release(decision, held, now)

    def release(
        self, decision: Decision, held: BufferedPacket, now: float
    ) -> list[Effect]:
        """Carry out a decision about a SYN packet that waits."""
        if isinstance(decision, HoldForServer | HoldForLink):
            return []
        if not isinstance(decision, RequestPlacement):
            self.router.syn_buffer.remove(held.header.flow_key)
        return self.effects.apply(decision, held.header, held.data, now)
