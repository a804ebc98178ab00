"""Servers of the flows that were placed a short time ago.

Copies of one SYN may reach several VMs, as the fabric's choice changes, and a slow VM
reads one seconds late. If each copy went to another server, both would answer, and the
caller would keep the last token.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from kumquatmux_tokens.sequences import is_near
from kumquatmux_tokens.settings import TokenRouterSettings


class Placement(NamedTuple):
    """Token of a flow's server, and its SYN's sequence number, 0 if that is unknown."""

    token: int
    sequence_number: int


class RecentPlacements:
    """Server of each flow whose SYN may still come again.

    Attributes:
        by_flow: Latest placement by flow key.
        placed: Time and flow key of each placement, oldest first.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.by_flow: dict[bytes, Placement] = {}
        self.placed: deque[tuple[float, bytes]] = deque()

    def record(
        self, flow_key: bytes, token: int, now: float, sequence_number: int = 0
    ) -> None:
        """Record that a flow was placed at a server."""
        self.remove_expired(now)
        if flow_key not in self.by_flow:
            self.placed.append((now, flow_key))
        self.by_flow[flow_key] = Placement(token, sequence_number)

    def token_of(self, flow_key: bytes, now: float, sequence_number: int = 0) -> int:
        """Return the token of the server that a flow was placed at, 0 for none.

        Args:
            flow_key: Key of the flow.
            now: Current time in monotonic seconds.
            sequence_number: Sequence number of one of its packets, which tells it from
                a flow that the caller had before on the same port; 0 if an older VM
                left it out.
        """
        self.remove_expired(now)
        placement = self.by_flow.get(flow_key)
        if placement is None:
            return 0
        is_told_apart = placement.sequence_number and sequence_number
        if is_told_apart and not is_near(placement.sequence_number, sequence_number):
            return 0
        return placement.token

    def remove_expired(self, now: float) -> None:
        """Remove the flows of which no copy of the SYN can be on its way any more."""
        limit = now - self.settings.placement_memory_s
        while self.placed and self.placed[0][0] <= limit:
            del self.by_flow[self.placed.popleft()[1]]
