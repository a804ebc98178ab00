"""The routes in force and those that were removed lately."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

from kumquatmux_core.identity import Address, ServiceName


class Share(NamedTuple):
    """A service and its part of a route's new flows.

    Attributes:
        service: The service.
        weight: Its weight among the route's shares.
    """

    service: ServiceName
    weight: int


class Route(NamedTuple):
    """Where new flows to one address and port go.

    Attributes:
        name: Its name.
        address: 6 bytes: the address and port that callers send to.
        shares: The services, at least one of them with a weight above 0.
    """

    name: str
    address: Address
    shares: tuple[Share, ...]

    def service_for(self, flow: bytes) -> ServiceName:
        """Return the service of a flow, the same for each copy of its first packet."""
        total = sum(share.weight for share in self.shares)
        point = xxhash.xxh3_64_intdigest(flow) % total
        for share in self.shares:
            if point < share.weight:
                return share.service
            point -= share.weight
        raise AssertionError(f"route {self.name} has no weight")


class RouteSet(NamedTuple):
    """The content of one document as routing needs it.

    Attributes:
        number: Number of the document, 0 for none.
        routes: Its routes.
        services: Names of its services.
        idle_s: Seconds after which an idle flow may be given up.
    """

    number: int
    routes: tuple[Route, ...]
    services: frozenset[ServiceName]
    idle_s: float


class RouteTable:
    """Routes by address; a lower number never replaces a higher one.

    Attributes:
        number: Number of the document in force.
        routes: Its routes by address.
        removed: When a route that is no longer there was removed.
    """

    def __init__(self) -> None:
        self.number = 0
        self.routes: dict[bytes, Route] = {}
        self.removed: dict[bytes, float] = {}

    def install(self, routes: RouteSet, now: float) -> bool:
        """Put a document's routes into force; return whether it was newer."""
        if routes.number <= self.number:
            return False
        former = self.routes
        self.number = routes.number
        self.routes = {route.address: route for route in routes.routes}
        for address in former.keys() - self.routes.keys():
            self.removed[address] = now
        for address in self.routes:
            self.removed.pop(address, None)
        return True

    def is_gone(self, address: bytes, since: float) -> bool:
        """Return whether a route was removed before a time."""
        removed = self.removed.get(address)
        return removed is not None and removed < since
