"""Openings that wait for a server that started or recovered."""

from __future__ import annotations

import math
from collections.abc import Set
from typing import TypeVar

from kumquatmux_core.identity import ServiceName

LOG_INTERVAL_S = 1.0
"""Least seconds between two lines about one service."""

DEFERRED_S = 0.3
"""Seconds after which an opening that is not tried again counts no longer as waiting.

Others are tried every 20 ms, or every 200 ms by a VM whose requests are limited.
"""

Key = TypeVar("Key")


class DeferredOpenings:
    """Counts these openings, and limits the lines about them.

    Attributes:
        limit: Limit of the openings that are counted.
        tried_at: Times at which the openings were last tried, by flow key.
        logged_at: Times of the latest line, by service.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.tried_at: dict[bytes, float] = {}
        self.logged_at: dict[ServiceName, float] = {}

    def record(self, flow_key: bytes, now: float) -> None:
        """Record that an opening was tried and waits."""
        if len(self.tried_at) < self.limit or flow_key in self.tried_at:
            self.tried_at[flow_key] = now

    def remove(self, flow_key: bytes) -> None:
        """Remove an opening that was placed."""
        self.tried_at.pop(flow_key, None)

    def is_line_due(self, service: ServiceName, now: float) -> bool:
        """Return whether to write a line about a service now; note it if so."""
        if now - self.logged_at.get(service, -math.inf) < LOG_INTERVAL_S:
            return False
        self.logged_at[service] = now
        return True

    def count(self, now: float) -> int:
        """Return the number of openings that wait."""
        self.remove_expired(now)
        return len(self.tried_at)

    def remove_expired(self, now: float) -> None:
        """Remove the openings that are tried no longer."""
        remove_before(self.tried_at, now - DEFERRED_S)

    def keep_services(self, services: Set[ServiceName]) -> None:
        """Forget the lines about all other services."""
        for service in self.logged_at.keys() - services:
            del self.logged_at[service]


def remove_before(times: dict[Key, float], limit: float) -> None:
    """Remove the entries with a time before a limit."""
    for key in [key for key, time in times.items() if time < limit]:
        del times[key]
