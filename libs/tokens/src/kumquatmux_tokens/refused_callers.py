"""Callers that were refused a short time ago, by which their retries are recognized.

A retry comes from a new port, so that only the addresses of caller and route tell it
from another opening. Each refusal makes one later opening with both count as a retry:
many callers may share an address, and their first attempts are no retries.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from kumquatmux_tokens.settings import TokenRouterSettings

CALLER_BYTES = 4
ROUTE_OFFSET = 6
"""Offset of the route's address and port in a flow key."""


class Refusals(NamedTuple):
    """Refusals of one caller address at one route.

    Attributes:
        unused: Number of them that no retry has followed yet.
        latest_at: Time of the latest one, in monotonic seconds.
    """

    unused: int
    latest_at: float


def caller_of(flow_key: bytes) -> bytes:
    """Return the caller's address, the first 4 bytes of a flow key."""
    return flow_key[:CALLER_BYTES]


def caller_and_route_of(flow_key: bytes) -> bytes:
    """Return the caller's address and the route's address and port, without a port."""
    return flow_key[:CALLER_BYTES] + flow_key[ROUTE_OFFSET:]


class RefusedCallers:
    """Refusals that may still be followed by a retry, in bounded memory.

    Attributes:
        by_caller: Refusals by addresses of caller and route, the latest last.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.by_caller: OrderedDict[bytes, Refusals] = OrderedDict()

    def add(self, flow_key: bytes, now: float) -> None:
        """Note that a flow was refused; forget the oldest caller if there are many."""
        self.remove_expired(now)
        caller = caller_and_route_of(flow_key)
        previous = self.by_caller.pop(caller, None)
        unused = previous.unused if previous is not None else 0
        self.by_caller[caller] = Refusals(unused + 1, now)
        if len(self.by_caller) > self.settings.refused_callers_limit:
            self.by_caller.popitem(last=False)

    def take(self, flow_key: bytes, now: float) -> bool:
        """Return whether a flow counts as a retry, which uses up one refusal."""
        if not self.by_caller:
            return False
        self.remove_expired(now)
        caller = caller_and_route_of(flow_key)
        refusals = self.by_caller.get(caller)
        if refusals is None:
            return False
        if refusals.unused > 1:
            self.by_caller[caller] = refusals._replace(unused=refusals.unused - 1)
        else:
            del self.by_caller[caller]
        return True

    def remove_expired(self, now: float) -> None:
        """Forget refusals that are too old for a retry to follow."""
        limit = now - self.settings.refused_caller_s
        while self.by_caller:
            caller, refusals = next(iter(self.by_caller.items()))
            if refusals.latest_at > limit:
                return
            del self.by_caller[caller]
