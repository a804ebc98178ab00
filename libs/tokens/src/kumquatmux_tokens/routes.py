"""Routes in force and recently removed routes."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

from kumquatmux_core.identity import Address, ServiceName


class WeightedService(NamedTuple):
    """A service with its weight on a route.

    Attributes:
        service: Name of the service.
        weight: Share of the route's new flows, relative to the other weights.
    """

    service: ServiceName
    weight: int


class Route(NamedTuple):
    """Assignment of the new flows to one address and port to services.

    Attributes:
        name: Name of the route.
        address: 6 bytes: the IPv4 address and port that callers send to.
        weighted_services: Weighted services, at least one of them with a weight above
            0.
    """

    name: str
    address: Address
    weighted_services: tuple[WeightedService, ...]

    def select_service(self, flow_key: bytes) -> ServiceName:
        """Return the service of a flow, which is the same for every SYN of the flow.

        Raises:
            AssertionError: No service has a weight above 0.
        """
        total_weight = sum(share.weight for share in self.weighted_services)
        hash_point = xxhash.xxh3_64_intdigest(flow_key) % total_weight
        for share in self.weighted_services:
            if hash_point < share.weight:
                return share.service
            hash_point -= share.weight
        raise AssertionError(f"route {self.name} has no service with a weight above 0")


class RouteSet(NamedTuple):
    """The part of a configuration document that routing needs.

    Attributes:
        document_number: Document number, 0 for no document.
        routes: The document's routes.
        services: Names of the document's services.
        idle_timeout_s: Idle time in seconds after which a flow may be dropped.
    """

    document_number: int
    routes: tuple[Route, ...]
    services: frozenset[ServiceName]
    idle_timeout_s: float


class RouteTable:
    """Routes in force, by address.

    A document never replaces one with an equal or higher number.

    Attributes:
        document_number: Number of the document in force, 0 for none.
        routes: Routes of that document, by address.
        removed_at: Removal times of routes that are no longer in force, by address.
    """

    def __init__(self) -> None:
        self.document_number = 0
        self.routes: dict[bytes, Route] = {}
        self.removed_at: dict[bytes, float] = {}

    def install(self, route_set: RouteSet, now: float) -> bool:
        """Install the routes of a newer document; return whether it was newer."""
        if route_set.document_number <= self.document_number:
            return False
        previous_routes = self.routes
        self.document_number = route_set.document_number
        self.routes = {route.address: route for route in route_set.routes}
        for address in previous_routes.keys() - self.routes.keys():
            self.removed_at[address] = now
        for address in self.routes:
            self.removed_at.pop(address, None)
        return True

    def was_removed_before(self, address: bytes, limit: float) -> bool:
        """Return whether a route was removed before a given time."""
        removed_at = self.removed_at.get(address)
        return removed_at is not None and removed_at < limit
