"""Probes of servers whose flows may be lost.

Silence is no proof: the control VM that calls a server late may be the one that is cut
off, or this VM. Before a flow is reset, its server is asked for a connection on the way
that the flow's packets take.
"""

from __future__ import annotations

import math
from enum import Enum

from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.waiting import BufferedPacket


class ProbeResult(Enum):
    """What became of a connection that a server was asked for."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    NOT_MADE = "not-made"


LOST_RESULTS = (ProbeResult.REFUSED, ProbeResult.UNANSWERED)


class ServerProbe:
    """Latest probe of one server.

    Attributes:
        started_at: Time when it started.
        ended_at: Time when its result came, infinity before that.
        result: Its result, None before that.
        packets: Packets of flows that may be lost, by flow key.
    """

    __slots__ = ("ended_at", "packets", "result", "started_at")

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.ended_at = math.inf
        self.result: ProbeResult | None = None
        self.packets: dict[bytes, BufferedPacket] = {}


class ServerProbes:
    """Latest probe of each server whose flows may be lost.

    Attributes:
        by_token: The probes by token of the server.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.by_token: dict[int, ServerProbe] = {}

    def start(self, token: int, now: float) -> bool:
        """Return whether to probe a server, as no probe is in progress or fresh."""
        if self._fresh(token, now) is not None:
            return False
        self.by_token[token] = ServerProbe(now)
        return True

    def is_lost(self, token: int, now: float) -> bool:
        """Return whether a server did not accept a connection a short time ago."""
        probe = self._fresh(token, now)
        if probe is None or probe.result is None:
            return False
        return probe.result in LOST_RESULTS

    def hold(self, header: PacketHeader, data: bytes, token: int, now: float) -> None:
        """Keep a packet of a flow until the probe in progress has a result."""
        probe = self._fresh(token, now)
        if probe is None or probe.result is not None:
            return
        has_room = len(probe.packets) < self.settings.probe_packets_limit
        if has_room or header.flow_key in probe.packets:
            expires_at = probe.started_at + self.settings.probe_timeout_s
            probe.packets[header.flow_key] = BufferedPacket(header, data, expires_at)

    def record(
        self, token: int, result: ProbeResult, now: float, listening_since: float
    ) -> list[BufferedPacket]:
        """Record a result; return the packets of the flows whose server is lost.

        Args:
            token: Token of the server.
            result: The result.
            now: Current time in monotonic seconds.
            listening_since: Time since which this VM has read without a pause. A server
                is not taken for silent over a pause.
        """
        probe = self.by_token.get(token)
        if probe is None or probe.result is not None:
            return []
        is_silent = result == ProbeResult.UNANSWERED
        has_paused = listening_since > probe.started_at
        if is_silent and has_paused:
            del self.by_token[token]
            return []
        packets = list(probe.packets.values())
        probe.packets = {}
        probe.result = result
        probe.ended_at = now
        return packets if result in LOST_RESULTS else []

    def remove_expired(self, now: float) -> None:
        """Remove probes that say nothing any more."""
        for token in list(self.by_token):
            if self._fresh(token, now) is None:
                del self.by_token[token]

    def _fresh(self, token: int, now: float) -> ServerProbe | None:
        """Return the probe of a server that is in progress or still counts."""
        probe = self.by_token.get(token)
        if probe is None:
            return None
        if probe.result is None:
            return probe if now < self._overdue_at(probe) else None
        is_fresh = now < probe.ended_at + self.settings.probe_validity_s
        return probe if is_fresh else None

    def _overdue_at(self, probe: ServerProbe) -> float:
        """Return when a probe without a result counts as never made."""
        return probe.started_at + 2 * self.settings.probe_timeout_s
