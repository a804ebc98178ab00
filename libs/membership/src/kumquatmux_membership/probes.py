"""Probes made for other VMs, answered once the target echoes a later stamp."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_membership.events import ProbeAnswer, ProbeRequest, SendMessage
from kumquatmux_membership.peer import Peer

PROBE_RETENTION_SECONDS = 2.0


class Probe(NamedTuple):
    """One probe asked of us.

    Attributes:
        request: What was asked.
        stamp: Our stamp that the target has to echo, or a later one.
    """

    request: ProbeRequest
    timestamp: float


class PendingProbes:
    """The probes that this VM makes for others.

    Args:
        me: This VM.
    """

    def __init__(self, local_vm: VmId) -> None:
        self.local_vm = local_vm
        self.pending: list[Probe] = []

    def add(self, request: ProbeRequest, timestamp: float) -> None:
        """Note that the target was just sent a stamp."""
        self.pending.append(Probe(request, timestamp))

    def take_answers(self, peer: Peer) -> list[SendMessage]:
        """Return answers to those who asked about a peer that has echoed us."""
        answered = [
            probe
            for probe in self.pending
            if probe.request.target == peer.vm.vm and peer.last_echo >= probe.timestamp
        ]
        self.pending = [probe for probe in self.pending if probe not in answered]
        return [self._make_answer(probe.request, peer) for probe in answered]

    def prune(self, now: float) -> None:
        """Drop probes that nobody waits for any more."""
        self.pending = [
            probe
            for probe in self.pending
            if now - probe.timestamp < PROBE_RETENTION_SECONDS
        ]

    def _make_answer(self, request: ProbeRequest, peer: Peer) -> SendMessage:
        incarnation = peer.vm.incarnation
        answer = ProbeAnswer(
            self.local_vm, request.target, request.probe_id, incarnation
        )
        return SendMessage(request.sender, answer)
