"""Servers of the flows that were placed a short time ago.

Copies of one SYN may reach several VMs, as the fabric's choice changes, and a slow VM
reads one seconds late. If each copy went to another server, both would answer, and the
caller would keep the last token.
"""

from __future__ import annotations

from collections import deque

from kumquatmux_tokens.settings import TokenRouterSettings


class RecentPlacements:
    """Token of the server of each flow whose SYN may still come again.

    Attributes:
        token_by_flow: Token by flow key.
        placed: Time and flow key of each placement, oldest first.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.token_by_flow: dict[bytes, int] = {}
        self.placed: deque[tuple[float, bytes]] = deque()

    def record(self, flow_key: bytes, token: int, now: float) -> None:
        """Record that a flow was placed at a server."""
        self.remove_expired(now)
        if flow_key not in self.token_by_flow:
            self.placed.append((now, flow_key))
        self.token_by_flow[flow_key] = token

    def token_of(self, flow_key: bytes, now: float) -> int:
        """Return the token of the server that a flow was placed at, 0 for none."""
        self.remove_expired(now)
        return self.token_by_flow.get(flow_key, 0)

    def remove_expired(self, now: float) -> None:
        """Remove the flows of which no copy of the SYN can be on its way any more."""
        limit = now - self.settings.placement_memory_s
        while self.placed and self.placed[0][0] <= limit:
            del self.token_by_flow[self.placed.popleft()[1]]
