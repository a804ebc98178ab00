"""Probes that other VMs request, answered once the target echoes a later timestamp."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_membership.events import ProbeAnswer, ProbeRequest, SendMessage
from kumquatmux_membership.peer import Peer

PROBE_RETENTION_SECONDS = 2.0


class Probe(NamedTuple):
    """A probe that another VM requested from this VM.

    Attributes:
        request: The request.
        timestamp: Timestamp of this VM that the target must echo; a later one also
            counts.
    """

    request: ProbeRequest
    timestamp: float


class PendingProbes:
    """The probes that this VM makes for others and has not answered yet.

    Args:
        local_vm_id: Id of this VM.
    """

    def __init__(self, local_vm_id: VmId) -> None:
        self.local_vm_id = local_vm_id
        self.pending: list[Probe] = []

    def add(self, request: ProbeRequest, timestamp: float) -> None:
        """Add a probe for which a heartbeat with this timestamp was just sent."""
        self.pending.append(Probe(request, timestamp))

    def take_answers(self, peer: Peer) -> list[SendMessage]:
        """Remove the probes that a peer's echo completes and return their answers."""
        answered = [
            probe
            for probe in self.pending
            if probe.request.target == peer.vm.vm and peer.last_echo >= probe.timestamp
        ]
        self.pending = [probe for probe in self.pending if probe not in answered]
        return [self._make_answer(probe.request, peer) for probe in answered]

    def prune(self, now: float) -> None:
        """Remove probes whose requester no longer waits for an answer."""
        self.pending = [
            probe
            for probe in self.pending
            if now - probe.timestamp < PROBE_RETENTION_SECONDS
        ]

    def _make_answer(self, request: ProbeRequest, peer: Peer) -> SendMessage:
        incarnation = peer.vm.incarnation
        answer = ProbeAnswer(
            self.local_vm_id, request.target, request.probe_id, incarnation
        )
        return SendMessage(request.sender, answer)
