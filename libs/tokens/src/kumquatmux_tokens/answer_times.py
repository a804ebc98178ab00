"""Times to the first answer of the servers of each service."""

from __future__ import annotations

import math
from collections.abc import Set

from kumquatmux_core.identity import ServiceName
from kumquatmux_tokens.routes import RouteTable
from kumquatmux_tokens.settings import TokenRouterSettings


class AnswerTimes:
    """Tells whether an answer came in time.

    Attributes:
        mean_s: Recent mean of the seconds to the first answer, by service.
    """

    def __init__(self, settings: TokenRouterSettings, route_table: RouteTable) -> None:
        self.settings = settings
        self.route_table = route_table
        self.mean_s: dict[ServiceName, float] = {}

    def record(self, service: ServiceName, answer_s: float) -> None:
        """Record the seconds to a first answer."""
        mean_s = self.mean_s.get(service, answer_s)
        smoothing = self.settings.mean_answer_smoothing
        self.mean_s[service] = mean_s + smoothing * (answer_s - mean_s)

    def is_in_time(
        self, service: ServiceName, route_address: bytes, answer_s: float
    ) -> bool:
        """Return whether an answer came within its route's target latency.

        Without such a target the limit is a multiple of the service's mean, and without
        a mean there is none.
        """
        route = self.route_table.routes.get(route_address)
        if route is not None and not math.isinf(route.target_latency_s):
            return answer_s <= route.target_latency_s
        mean_s = self.mean_s.get(service, math.inf)
        return answer_s <= self.settings.late_answer_factor * mean_s

    def keep_services(self, services: Set[ServiceName]) -> None:
        """Remove the means of all other services."""
        for service in self.mean_s.keys() - services:
            del self.mean_s[service]
