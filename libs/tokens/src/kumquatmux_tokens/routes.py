"""Routes in force and recently removed routes."""

from __future__ import annotations

import math
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
        priority: Priority of its requests; 0 is the highest.
        target_latency_s: Seconds within which a request should be answered, infinity
            if the document does not say.
        timeout_s: Seconds after which a request has failed, infinity likewise.
        is_upload: Whether its callers send bulk data.
    """

    name: str
    address: Address
    weighted_services: tuple[WeightedService, ...]
    priority: int = 0
    target_latency_s: float = math.inf
    timeout_s: float = math.inf
    is_upload: bool = False

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


class WarmUp(NamedTuple):
    """What servers of a service bear while they are cold.

    Attributes:
        service: Name of the service.
        duration_s: Seconds for which a server is cold after its start.
        requests_per_s: Requests a second that a cold server bears.
    """

    service: ServiceName
    duration_s: float
    requests_per_s: float


class RouteSet(NamedTuple):
    """The part of a configuration document that routing needs.

    Attributes:
        document_number: Document number, 0 for no document.
        routes: The document's routes.
        services: Names of the document's services.
        idle_timeout_s: Idle time in seconds after which a flow may be dropped.
        warm_ups: Warm-up of each service whose servers start cold.
    """

    document_number: int
    routes: tuple[Route, ...]
    services: frozenset[ServiceName]
    idle_timeout_s: float
    warm_ups: tuple[WarmUp, ...] = ()


class RouteTable:
    """Routes in force, by address.

    A document never replaces one with an equal or higher number.

    Attributes:
        document_number: Number of the document in force, 0 for none.
        routes: Routes of that document, by address.
        warm_ups: Warm-up of each service whose servers start cold, by service.
        queued_services: Services with a route that has a target latency; openings that
            find all their servers full wait in a queue.
        removed_at: Removal times of routes that are no longer in force, by address.
    """

    def __init__(self) -> None:
        self.document_number = 0
        self.routes: dict[bytes, Route] = {}
        self.warm_ups: dict[ServiceName, WarmUp] = {}
        self.queued_services: frozenset[ServiceName] = frozenset()
        self.removed_at: dict[bytes, float] = {}

    def install(self, route_set: RouteSet, now: float) -> bool:
        """Install the routes of a newer document; return whether it was newer."""
        if route_set.document_number <= self.document_number:
            return False
        previous_routes = self.routes
        self.document_number = route_set.document_number
        self.routes = {route.address: route for route in route_set.routes}
        self.warm_ups = {one.service: one for one in route_set.warm_ups}
        self.queued_services = frozenset(
            share.service
            for route in route_set.routes
            if math.isfinite(route.target_latency_s)
            for share in route.weighted_services
            if share.weight
        )
        for address in previous_routes.keys() - self.routes.keys():
            self.removed_at[address] = now
        for address in self.routes:
            self.removed_at.pop(address, None)
        return True

    def was_removed_before(self, address: bytes, limit: float) -> bool:
        """Return whether a route was removed before a given time."""
        removed_at = self.removed_at.get(address)
        return removed_at is not None and removed_at < limit
