"""Which entry VM of a zone places the flows of a service, and how it is asked.

One VM that sees every opening of a service in its zone knows the work at each server
as it is, where VMs that tell each other what they see choose by old numbers.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from kumquatmux_core import rendezvous
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import ServiceName, VmId
from kumquatmux_tokens.settings import TokenSettings


class PlaceQuestion(NamedTuple):
    """Ask for a server for a new flow.

    Attributes:
        sender: Who asks.
        flow: 12 bytes that name the flow.
        service: The service of its route.
        tried: Tokens that copies of its opening packet went to.
        is_long: Whether it is likely to carry many requests.
    """

    sender: VmId
    flow: bytes
    service: ServiceName
    tried: tuple[int, ...]
    is_long: bool


class PlaceAnswer(NamedTuple):
    """The server for a new flow.

    Attributes:
        sender: Who answers.
        flow: The flow.
        token: The server's token, 0 if none may take it.
        is_full: Whether more work waits at every server than finishes in time.
        grant: Number of the grant, 0 if nothing was granted.
    """

    sender: VmId
    flow: bytes
    token: int
    is_full: bool
    grant: int


class Silence:
    """A VM that left questions unanswered.

    Attributes:
        until: When it is asked again, in steady seconds.
        span: Seconds for which it was last left alone.
    """

    def __init__(self) -> None:
        self.until = -math.inf
        self.span = 0.0


class Asked(NamedTuple):
    """A question that is open.

    Attributes:
        vm: Who was asked.
        at: When, in steady seconds.
    """

    vm: VmId
    at: float


class Placers:
    """Chooses whom to ask for a service's flows.

    Attributes:
        peers: Entry VMs of the zone, this one included.
        asked: Open questions by flow.
    """

    def __init__(self, settings: TokenSettings) -> None:
        self.settings = settings
        self.peers: tuple[VmId, ...] = ()
        self.ranks: dict[ServiceName, list[VmId]] = {}
        self.silent: dict[VmId, Silence] = {}
        self.asked: dict[bytes, Asked] = {}

    def set_peers(self, peers: tuple[VmId, ...]) -> None:
        """Take the entry VMs of the zone."""
        if peers != self.peers:
            self.peers = peers
            self.ranks.clear()

    def placer(self, service: ServiceName, now: float) -> VmId:
        """Return the VM that places a service's flows, this one if no other does."""
        me = self.settings.vm
        for vm in self._rank(service):
            silence = self.silent.get(vm)
            if vm == me or silence is None or silence.until <= now:
                return vm
        return me

    def ask(self, vm: VmId, flow: bytes, now: float) -> None:
        """Note a question."""
        self.asked[flow] = Asked(vm, now)

    def is_open(self, flow: bytes, now: float) -> bool:
        """Return whether an answer may still come; note a VM that gave none."""
        asked = self.asked.get(flow)
        if asked is None:
            return False
        if now - asked.at < self.settings.answer_s:
            return True
        del self.asked[flow]
        self._miss(asked, now)
        return False

    def answered(self, vm: VmId, flow: bytes) -> None:
        """Note an answer."""
        self.silent.pop(vm, None)
        asked = self.asked.get(flow)
        if asked is not None and asked.vm == vm:
            del self.asked[flow]

    def sweep(self, now: float) -> None:
        """Drop questions about flows that nobody asks about any more."""
        for flow in list(self.asked):
            self.is_open(flow, now)

    def _miss(self, asked: Asked, now: float) -> None:
        silence = self.silent.setdefault(asked.vm, Silence())
        if silence.until > asked.at:
            return
        settings = self.settings
        silence.span = min(
            max(2 * silence.span, settings.silent_placer_s),
            settings.silent_placer_max_s,
        )
        silence.until = now + silence.span
        log_decision("placer-silent", placer=asked.vm, avoided_s=silence.span)

    def _rank(self, service: ServiceName) -> list[VmId]:
        ranked = self.ranks.get(service)
        if ranked is None:
            names = rendezvous.rank(service.encode(), self.peers)
            ranked = self.ranks[service] = [VmId(name) for name in names]
        return ranked
