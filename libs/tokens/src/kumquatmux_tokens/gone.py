"""Tells whether a server is gone, by evidence that still holds."""

from __future__ import annotations

from kumquatmux_tokens.directory import ServerDirectory, ServerEntry
from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.probes import ServerProbes


class GoneServers:
    """Servers whose flows are lost.

    A conclusion holds no longer than the evidence that it rests on.

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

    def is_gone(self, entry: ServerEntry, now: float) -> bool:
        """Return whether nothing can serve flows of a lifetime any more.

        Its end alone does not tell: a server whose leave call was not acknowledged
        serves on for a while.
        """
        return self.directory.is_replaced(entry) or self.is_lost(entry, now)

    def is_lost(self, entry: ServerEntry, now: float) -> bool:
        """Return whether a server did not accept a connection a short time ago."""
        return self.probes.is_lost(entry.token, now)
