"""Load on each server: requests in progress and open flows, here and at other VMs."""

from __future__ import annotations

import math
from typing import Protocol

from kumquatmux_tokens.flow import Flow
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.work import PeerLoad, ServerLoad

MAX_AVOIDANCE_DOUBLINGS = 16
"""Doublings of the avoidance time that are computed; its upper limit comes sooner."""


class ServerObserver(Protocol):
    """Is notified of what the packets of callers show of single servers."""

    def note_answer(
        self, token: int, route_address: bytes, answer_s: float, now: float
    ) -> None:
        """Note the first answer to a request."""

    def note_unanswered(self, token: int, now: float) -> None:
        """Note a SYN packet that a server left unanswered."""

    def note_unopened(self, token: int, now: float) -> None:
        """Note a SYN packet that no other packet of its flow followed."""


class LocalLoad:
    """Load that the flows through this VM put on one server.

    Attributes:
        active_requests: Requests in progress.
        open_flows: Open flows.
        unanswered_syns: Consecutive SYN packets that the server left unanswered.
        avoided_until: Time until which new flows go to other servers if possible.
        last_answer_at: Time of the latest evidence that the server answers.
        acknowledged_at: Time after which the server answered for sure: that of the
            packet before one that acknowledged more. A request acknowledges answers
            that may be as old.
    """

    __slots__ = (
        "last_answer_at",
        "acknowledged_at",
        "avoided_until",
        "active_requests",
        "open_flows",
        "unanswered_syns",
    )

    def __init__(self) -> None:
        self.active_requests = 0
        self.open_flows = 0
        self.unanswered_syns = 0
        self.avoided_until = -math.inf
        self.last_answer_at = -math.inf
        self.acknowledged_at = -math.inf

    @property
    def answered_at(self) -> float:
        """Time after which the server has answered a caller of this VM."""
        return max(self.last_answer_at, self.acknowledged_at)


class ServerLoads:
    """Load on each server of the zone.

    Attributes:
        local_loads: Load that flows through this VM cause, by token.
        changed_tokens: Tokens of servers whose requests in progress changed; the
            reader clears it.
        has_unreported_change: Whether the load caused here changed; the reader clears
            it.
        peer_load: Load that other VMs of the zone report.
        observer: Is notified of what packets show of single servers, None for nobody.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.local_loads: dict[int, LocalLoad] = {}
        self.changed_tokens: set[int] = set()
        self.has_unreported_change = False
        self.observer: ServerObserver | None = None
        self.peer_load = PeerLoad(settings, self.changed_tokens)

    def local_load_at(self, token: int) -> LocalLoad:
        """Return the load that flows through this VM put on a server."""
        load = self.local_loads.get(token)
        if load is None:
            load = self.local_loads[token] = LocalLoad()
        return load

    def is_idle(self, token: int) -> bool:
        """Return whether a server has no request in progress, as far as known here."""
        own_load = self.local_loads.get(token)
        if own_load is not None and own_load.active_requests:
            return False
        peer_load = self.peer_load.totals.get(token)
        return peer_load is None or not peer_load.active_requests

    def active_requests(self, token: int) -> int:
        """Return the requests in progress at a server, here and at other VMs."""
        own_load = self.local_loads.get(token)
        peer_load = self.peer_load.totals.get(token)
        own_requests = own_load.active_requests if own_load is not None else 0
        return own_requests + (peer_load.active_requests if peer_load else 0)

    def start_request(self, flow: Flow, now: float) -> None:
        """Count a request of a flow as in progress at the flow's server."""
        if flow.request_sent_at is None:
            self._count_request(flow.token, 1)
        flow.request_sent_at = now

    def end_request(self, flow: Flow) -> None:
        """Count a flow's request as in progress no longer, if one is."""
        if flow.request_sent_at is not None:
            self._count_request(flow.token, -1)
            flow.request_sent_at = None

    def count_open_flow(self, token: int, change: int) -> None:
        """Count a flow that opened at a server, or that is open there no longer."""
        self.local_load_at(token).open_flows += change
        self.has_unreported_change = True

    def move_load(self, flow: Flow, token: int) -> None:
        """Count a flow at another server, without its request in progress."""
        self.end_request(flow)
        self.count_open_flow(flow.token, -1)
        flow.token = token
        self.count_open_flow(token, 1)

    def avoid(self, load: LocalLoad, now: float) -> None:
        """Avoid a server that left a SYN unanswered, the longer the more it did."""
        doublings = min(load.unanswered_syns, MAX_AVOIDANCE_DOUBLINGS)
        backoff_s = self.settings.server_avoidance_s * 2**doublings
        load.unanswered_syns += 1
        self.has_unreported_change = True
        load.avoided_until = now + min(backoff_s, self.settings.server_avoidance_max_s)

    def current_loads(self, now: float) -> list[ServerLoad]:
        """Return the load on each server that flows through this VM cause."""
        return [
            ServerLoad(
                token, load.active_requests, load.open_flows, load.avoided_until > now
            )
            for token, load in self.local_loads.items()
            if load.open_flows or load.avoided_until > now
        ]

    def remove_unused(self, idle_limit: float, now: float) -> None:
        """Remove servers without flows that have not answered since a given time."""
        for token, load in list(self.local_loads.items()):
            is_unused = not load.open_flows and load.avoided_until < now
            if is_unused and load.last_answer_at < idle_limit:
                del self.local_loads[token]

    def _count_request(self, token: int, change: int) -> None:
        self.local_load_at(token).active_requests += change
        self.changed_tokens.add(token)
        self.has_unreported_change = True
