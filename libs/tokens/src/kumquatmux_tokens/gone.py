"""Tells whether a server is gone, by evidence that still holds."""

from __future__ import annotations

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
        load_tracker: When servers answered callers.
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
        """Return whether a server took no connection, and has not answered since."""
        probe = self.probes.lost_probe(entry.token, now)
        return probe is not None and not self._is_heard(entry, probe.started_at)

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
        return is_in_use and not self._is_heard(entry, claimant.reported_at)

    def _is_heard(self, entry: ServerEntry, since: float) -> bool:
        """Return whether a server reported or answered a caller after a time."""
        load = self.load_tracker.local_loads.get(entry.token)
        if load is not None and max(load.last_answer_at, load.acknowledged_at) > since:
            return True
        return entry.reported_at > since
