"""Tells whether a server is gone, by evidence that still holds."""

from __future__ import annotations

import math

from kumquatmux_core.identity import ZoneName
from kumquatmux_tokens.directory import ServerDirectory, ServerEntry
from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.probes import ServerProbes


class GoneServers:
    """Servers whose flows are lost.

    A conclusion holds no longer than the evidence that it rests on, and not against an
    answer since. An answer that was under way, or that another server gave to a flow
    that this VM takes for one of this server, delays a conclusion by one probe.

    Attributes:
        directory: Known servers, one of which may have another one's address.
        probes: Whether servers took a connection.
        load_tracker: When servers answered callers, and which zones are silent.
        zones_heard_at: Time at which each zone was heard again after a silence.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        probes: ServerProbes,
        load_tracker: LoadTracker,
    ) -> None:
        self.directory = directory
        self.probes = probes
        self.load_tracker = load_tracker
        self.zones_heard_at: dict[ZoneName, float] = {}

    def note_silent_zones(self, zones: frozenset[ZoneName], now: float) -> None:
        """Note which other zones are silent now."""
        for zone in self.load_tracker.unreachable_zones - zones:
            self.zones_heard_at[zone] = now
        self.load_tracker.unreachable_zones = zones

    def is_flow_lost(
        self, header: PacketHeader, entry: ServerEntry, now: float
    ) -> bool:
        """Return whether a packet's server is gone, and the packet shows no answer.

        What a caller acknowledges of a lifetime that started anew under its name was
        under way.
        """
        if not self.is_gone(entry, now):
            return False
        is_answered = self.load_tracker.acknowledges_more(header)
        return not is_answered or self.directory.is_superseded(entry)

    def is_gone(self, entry: ServerEntry, now: float) -> bool:
        """Return whether nothing can serve flows of a lifetime any more.

        Its end alone does not tell: a server whose leave call was not acknowledged
        serves on for a while.
        """
        return (
            self.directory.is_superseded(entry)
            or self._is_replaced(entry)
            or self.is_lost(entry, now)
        )

    def is_lost(self, entry: ServerEntry, now: float) -> bool:
        """Return whether a server took no connection, and nothing speaks for it since.

        A cut that has healed since may be all that the probe met.
        """
        probe = self.probes.lost_probe(entry.token, now)
        if probe is None or entry.reported_at > probe.started_at:
            return False
        zone_heard_at = self.zones_heard_at.get(entry.record.report.zone, -math.inf)
        return max(self._answered_at(entry), zone_heard_at) < probe.started_at

    def _is_replaced(self, entry: ServerEntry) -> bool:
        """Return whether another server is in use at the address of one.

        Its record says so while it reports on time, and is the latest sign of either.
        A report that was held up, or a clock that was set back, may make it the wrong
        one of the two; then the server is asked.
        """
        claimant = self.directory.claimant_of(entry)
        if claimant.token == entry.token:
            return False
        is_in_use = claimant.ended_at is None and not claimant.record.is_late
        heard_at = max(entry.reported_at, self._answered_at(entry))
        return is_in_use and heard_at <= claimant.reported_at

    def _answered_at(self, entry: ServerEntry) -> float:
        """Return a time after which a server has answered a caller of this VM."""
        load = self.load_tracker.local_loads.get(entry.token)
        return load.answered_at if load is not None else -math.inf
