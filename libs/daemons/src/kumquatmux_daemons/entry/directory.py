"""Which service an address belongs to, as packets show it."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import Address, ServerId, ServiceName
from kumquatmux_daemons.entry.traffic import Gate
from kumquatmux_flows.events import RoutesChanged, ServerRoute, ServiceRoute
from kumquatmux_membership.events import Lease, ServersChanged
from kumquatmux_placement import events as placement
from kumquatmux_settings.tree import Service

REMEMBERED_SERVERS = 10_000


class ServiceServers(NamedTuple):
    """What one service may use now."""

    service: ServiceName
    servers: tuple[placement.Server, ...]


class Directory:
    """Services in force and the backend servers known for them.

    A server that has left is remembered, so that late packets of its open flows still
    find their service; an address is forgotten when another service's server takes it.

    Attributes:
        revision: Settings revision in force here.
        services: Services by name.
        by_target: Services by protocol and address, 7 bytes, as in a caller's packet.
        service_by_server: Service of each server address, 6 bytes.
        gates: Traffic rules by service.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.services: dict[ServiceName, Service] = {}
        self.by_target: dict[bytes, ServiceRoute] = {}
        self.service_by_server: dict[bytes, ServiceRoute] = {}
        self.leases: ServersChanged = ServersChanged((), ())
        self.since: dict[ServerId, float] = {}
        self.gates: dict[ServiceName, Gate] = {}

    def use_services(self, revision: int, services: tuple[Service, ...]) -> None:
        """Take the services of a settings revision into force."""
        self.revision = revision
        self.services = {service.service: service for service in services}
        routes = [_route(service) for service in services]
        self.by_target = {_target(route): route for route in routes}
        self._learn_servers()

    def use_gates(self, gates: dict[ServiceName, Gate]) -> None:
        """Take the traffic rules of a settings revision into force."""
        self.gates = gates

    def use_leases(self, leases: ServersChanged, now: float) -> None:
        """Take the backend servers known now."""
        self.leases = leases
        known = {lease.server for lease in (*leases.fresh, *leases.stale)}
        self.since = {server: self.since.get(server, now) for server in sorted(known)}
        self._learn_servers()

    def routes(self) -> RoutesChanged:
        """Return what the flow engine has to know."""
        return RoutesChanged(
            revision=self.revision,
            services=tuple(self.by_target.values()),
            servers=tuple(
                ServerRoute(lease.endpoint.packed, lease.service, lease.zone)
                for lease in self._usable()
            ),
        )

    def placement_servers(self) -> list[ServiceServers]:
        """Return what placement has to know, for every service."""
        return [
            ServiceServers(name, tuple(self._servers_of(name)))
            for name in sorted(self.services)
        ]

    def _usable(self) -> list[Lease]:
        leases = (*self.leases.fresh, *self.leases.stale)
        return [lease for lease in leases if not lease.left]

    def _servers_of(self, service: ServiceName) -> list[placement.Server]:
        zones = self.services[service].zones
        gate = self.gates.get(service, Gate())
        stale = {lease.server for lease in self.leases.stale}
        return [
            self._server(lease, is_stale=lease.server in stale)
            for lease in self._usable()
            if lease.service == service
            and (not zones or lease.zone in zones)
            and gate.uses(lease.zone)
        ]

    def _server(self, lease: Lease, *, is_stale: bool) -> placement.Server:
        state = placement.ServerState.READY
        if lease.draining:
            state = placement.ServerState.DRAINING
        elif is_stale:
            state = placement.ServerState.STALE
        return placement.Server(
            server=lease.server,
            zone=lease.zone,
            slots=lease.slots,
            connections=lease.connections,
            state=state,
            since=self.since[lease.server],
        )

    def _learn_servers(self) -> None:
        for lease in self._usable():
            service = self.services.get(lease.service)
            if service is not None:
                self.service_by_server[lease.endpoint.packed] = _route(service)
        while len(self.service_by_server) > REMEMBERED_SERVERS:
            self.service_by_server.pop(next(iter(self.service_by_server)))


def _route(service: Service) -> ServiceRoute:
    return ServiceRoute(service.service, service.address.packed, service.protocol)


def _target(route: ServiceRoute) -> bytes:
    return bytes([route.protocol]) + route.address


def server_id(address: Address) -> ServerId:
    """Return the name of the server at an address."""
    ip = ".".join(str(byte) for byte in address[:4])
    return ServerId(f"{ip}:{int.from_bytes(address[4:])}")
