"""Routes whose callers send bulk data, by the document or by what their flows send."""

from __future__ import annotations

from kumquatmux_tokens.flow import Flow
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.routes import Route
from kumquatmux_tokens.sequences import SEQUENCE_SPACE, is_near
from kumquatmux_tokens.settings import LinkSettings

LEAST_DURATION_S = 1.0
"""Least life of a flow in its rate, so that a single packet is no high rate."""


class FlowSizes:
    """What the flows of a route send, on average.

    Attributes:
        mean_bytes: Bytes of data of a flow.
        mean_rate: Bytes a second of a flow's life, which counts as one second at least.
            A mean of bytes alone would take long flows with little traffic for bulk
            data.
    """

    __slots__ = ("mean_bytes", "mean_rate")

    def __init__(self, mean_bytes: float) -> None:
        self.mean_bytes = mean_bytes
        self.mean_rate = 0.0

    def record(self, size: int, duration_s: float, smoothing: float) -> None:
        """Record a flow that has ended."""
        rate = size / max(duration_s, LEAST_DURATION_S)
        self.mean_bytes += smoothing * (size - self.mean_bytes)
        self.mean_rate += smoothing * (rate - self.mean_rate)


class BulkRoutes:
    """The routes that carry bulk data towards servers.

    Attributes:
        by_address: Those routes by address.
        sizes: What the flows of each route send, by address.
        routes: All routes in force, by address.
    """

    def __init__(self, settings: LinkSettings) -> None:
        self.settings = settings
        self.by_address: dict[bytes, Route] = {}
        self.sizes: dict[bytes, FlowSizes] = {}
        self.routes: dict[bytes, Route] = {}

    def install(self, routes: dict[bytes, Route]) -> None:
        """Take over the routes of a new document."""
        self.routes = routes
        self.sizes = {one: size for one, size in self.sizes.items() if one in routes}
        self.by_address = {
            address: route for address, route in routes.items() if self._is_bulk(route)
        }

    def record_end(self, flow: Flow, header: PacketHeader, now: float) -> None:
        """Record a flow that its caller closes and that opened here."""
        route = self.routes.get(header.route_address)
        is_whole = bool(flow.tried_tokens) and flow.is_established
        is_sound = is_near(flow.next_sequence_number, header.sequence_number)
        if route is None or not is_whole or not is_sound:
            return
        size = (flow.next_sequence_number - flow.first_sequence_number) % SEQUENCE_SPACE
        sizes = self.sizes.get(route.address)
        if sizes is None:
            sizes = self.sizes[route.address] = FlowSizes(self._first_mean(route))
        sizes.record(size, now - flow.syn_forwarded_at, self.settings.size_smoothing)
        if self._is_bulk(route):
            self.by_address[route.address] = route
        else:
            self.by_address.pop(route.address, None)

    def expected_bytes(self, address: bytes) -> float:
        """Return the bytes of data that a flow of a route is expected to send."""
        sizes = self.sizes.get(address)
        return sizes.mean_bytes if sizes else self.settings.default_upload_bytes

    def _first_mean(self, route: Route) -> float:
        return self.settings.default_upload_bytes if route.is_upload else 0.0

    def _is_bulk(self, route: Route) -> bool:
        sizes = self.sizes.get(route.address)
        is_seen = sizes is not None and sizes.mean_rate > self.settings.bulk_bytes
        return route.is_upload or is_seen
