"""What follows from the decisions about packets: datagrams, messages, probes."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TypedDict

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_daemons.token_entry.effects import Datagram, Effect, Probe, Sent
from kumquatmux_daemons.token_entry.parts import CoreParts
from kumquatmux_registry.lookup import TokenQuestion
from kumquatmux_tokens.packets import (
    AskZone,
    Decision,
    Drop,
    Forward,
    ForwardAndProbe,
    HoldForLink,
    HoldForServer,
    HoldForToken,
    PacketHeader,
    RequestPlacement,
    Reset,
)


class FlowEvidence(TypedDict, total=False):
    """What is known of a flow that is reset.

    Attributes:
        confirmed: Token of the server at which it is open, 0 if that is not known.
        may_be_at: Tokens of the servers at which it may be open.
    """

    confirmed: int
    may_be_at: str


class PacketEffects:
    """Carries out the decisions about packets."""

    def __init__(self, parts: CoreParts) -> None:
        self.parts = parts
        self.router = parts.router
        self.counts = parts.counts
        # Bound once: binding such a method anew costs more than most of its calls.
        self.apply = self._apply

    @singledispatchmethod
    def _apply(
        self, decision: Decision, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        raise TypeError(f"unknown decision {type(decision).__name__}")

    @_apply.register
    def _(
        self, decision: Forward, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        self.counts["packets.forwarded"] += 1
        packet = self.parts.format.to_server(data, decision.server, decision.token)
        return [Datagram(packet, decision.server.report.endpoint)]

    @_apply.register
    def _(
        self, decision: ForwardAndProbe, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        self.router.probes.hold(head, data, decision.token, now)
        forward = Forward(decision.server, decision.token)
        effects = self.apply(forward, head, data, now)
        if decision.starts_probe:
            endpoint = decision.server.report.endpoint
            effects.append(Probe(decision.token, endpoint))
        return effects

    @_apply.register
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
            **self.parts.contact.evidence_about(decision.token, now),
            **self._knowledge_about(head),
        )
        reset = self.parts.format.reset_for(data, decision.sequence_number)
        target = (self.parts.format.caller_ip(data), self.parts.settings.packets.port)
        return [Datagram(reset, target)]

    @_apply.register
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

    @_apply.register
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

    @_apply.register
    def _(
        self, decision: HoldForLink, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        is_new = head.flow_key not in self.router.syn_buffer.by_flow
        if not self.router.syn_buffer.add(head, data, now):
            self.counts["drops.too-many-waiting"] += 1
        elif is_new:
            self.counts["openings.link-busy"] += 1
        return []

    @_apply.register
    def _(
        self, decision: RequestPlacement, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        self.counts["openings.asked"] += 1
        if not self.router.syn_buffer.add(head, data, now):
            self.counts["drops.too-many-waiting"] += 1
            return []
        return [Sent(decision.coordinator, decision.request)]

    @_apply.register
    def _(
        self, decision: HoldForToken, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        self.counts["packets.held"] += 1
        if not self.router.token_buffer.add(head, data, now):
            return []
        log_decision("token-asked", token=decision.token, flow=head.flow_key.hex())
        question = TokenQuestion(self.parts.settings.vm, decision.token)
        asked = self.parts.select_peers() | {*self.parts.follower.sources}
        return [Sent(vm, question) for vm in sorted(asked)]

    @_apply.register
    def _(
        self, decision: AskZone, head: PacketHeader, data: bytes, now: float
    ) -> list[Effect]:
        self.router.lost_flows.hold(head, data)
        if decision.question is None:
            return []
        self.counts["flows.asked"] += 1
        return [Sent(vm, decision.question) for vm in decision.vms]

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
