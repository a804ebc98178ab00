"""Servers of the flows that were placed a short time ago.

Copies of one SYN may reach several VMs, as the fabric's choice changes, and a slow VM
reads one seconds late. If each copy went to another server, both would answer, and the
caller would keep the last token.
"""

from __future__ import annotations

from collections import deque

from kumquatmux_tokens.sequences import is_near
from kumquatmux_tokens.settings import TokenRouterSettings


class RecentPlacements:
    """Token of the server of each flow whose SYN may still come again.

    Attributes:
        token_by_flow: Token by flow key.
        sequence_numbers: Sequence number of the SYN by flow key, 0 if it is not known.
        placed: Time and flow key of each placement, oldest first.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.token_by_flow: dict[bytes, int] = {}
        self.sequence_numbers: dict[bytes, int] = {}
        self.placed: deque[tuple[float, bytes]] = deque()

    def record(
        self, flow_key: bytes, token: int, now: float, sequence_number: int = 0
    ) -> None:
        """Record that a flow was placed at a server."""
        self.remove_expired(now)
        if flow_key not in self.token_by_flow:
            self.placed.append((now, flow_key))
        self.token_by_flow[flow_key] = token
        self.sequence_numbers[flow_key] = sequence_number

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
        known_number = self.sequence_numbers.get(flow_key, 0)
        is_told_apart = known_number and sequence_number
        if is_told_apart and not is_near(known_number, sequence_number):
            return 0
        return self.token_by_flow.get(flow_key, 0)

    def remove_expired(self, now: float) -> None:
        """Remove the flows of which no copy of the SYN can be on its way any more."""
        limit = now - self.settings.placement_memory_s
        while self.placed and self.placed[0][0] <= limit:
            flow_key = self.placed.popleft()[1]
            del self.token_by_flow[flow_key]
            del self.sequence_numbers[flow_key]
