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
        started_at: Time when it started, infinity while it waits for others to end.
        ended_at: Time when its result came, infinity before that.
        result: Its result, None before that.
        packets: Packets of flows that may be lost, by flow key.
    """

    __slots__ = ("ended_at", "packets", "result", "started_at")

    def __init__(self) -> None:
        self.started_at = math.inf
        self.ended_at = math.inf
        self.result: ProbeResult | None = None
        self.packets: dict[bytes, BufferedPacket] = {}


class ServerProbes:
    """Latest probe of each server whose flows may be lost.

    Attributes:
        by_token: The probes by token of the server.
        waiting: Those beyond the limit of probes in progress, by token, first come
            first.
        in_progress: Those that have started and have no result, by token, oldest first.
        resumed_at: Time when the latest pause of this VM ended.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.by_token: dict[int, ServerProbe] = {}
        self.waiting: dict[int, ServerProbe] = {}
        self.in_progress: dict[int, ServerProbe] = {}
        self.resumed_at = -math.inf

    def start(self, token: int, now: float) -> bool:
        """Return whether to probe a server now.

        If no probe of it waits, is in progress or fresh, one starts, or waits for its
        turn if too many are in progress.
        """
        if self._fresh(token, now) is not None:
            return False
        must_wait = bool(self.waiting) or not self._has_room(now)
        probe = ServerProbe()
        self.by_token[token] = probe
        self.waiting[token] = probe
        if must_wait:
            return False
        self._start_next(now)
        return True

    def start_waiting(self, now: float) -> int | None:
        """Return the token of the server that has waited longest, to probe it now.

        Returns:
            None if none waits, or too many probes are in progress.
        """
        if not self.waiting or not self._has_room(now):
            return None
        return self._start_next(now)

    def lost_probe(self, token: int, now: float) -> ServerProbe | None:
        """Return the latest probe of a server if it took no connection then.

        Returns:
            None if that is too long ago, or another probe is in progress.
        """
        probe = self._fresh(token, now)
        return probe if probe is not None and probe.result in LOST_RESULTS else None

    def is_lost(self, token: int, now: float) -> bool:
        """Return whether a server did not accept a connection a short time ago."""
        return self.lost_probe(token, now) is not None

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
        probe = self.in_progress.pop(token, None)
        if probe is None or self.by_token.get(token) is not probe:
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

    def _start_next(self, now: float) -> int:
        """Start the probe that has waited longest; return the token of its server."""
        token = next(iter(self.waiting))
        probe = self.waiting.pop(token)
        probe.started_at = now
        self.in_progress[token] = probe
        return token

    def _has_room(self, now: float) -> bool:
        """Return whether a further probe may start; forget those that are overdue."""
        while self.in_progress:
            token, oldest = next(iter(self.in_progress.items()))
            if now < self._overdue_at(oldest):
                break
            del self.in_progress[token]
        return len(self.in_progress) < self.settings.probes_limit

    def _fresh(self, token: int, now: float) -> ServerProbe | None:
        """Return the probe of a server that waits, is in progress or still counts."""
        probe = self.by_token.get(token)
        if probe is None:
            return None
        if probe.result is None:
            return probe if now < self._overdue_at(probe) else None
        is_fresh = now < probe.ended_at + self.settings.probe_validity_s
        return probe if is_fresh else None

    def _overdue_at(self, probe: ServerProbe) -> float:
        """Return when a probe without a result counts as never made.

        After a pause its result is still to be read. It would pass for that of the next
        probe of the server.
        """
        counted_from = max(probe.started_at, self.resumed_at)
        return counted_from + 2 * self.settings.probe_timeout_s
