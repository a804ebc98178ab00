"""Mapping of flows to services, and of services to the servers that may get packets."""

from __future__ import annotations

from kumquatmux_core.identity import Address, FlowKey, ServiceName, ZoneName
from kumquatmux_flows.events import RoutesChanged

UNKNOWN_REVISION = -1
"""Revision before the first settings are in force."""


def service_key_of(key: FlowKey) -> bytes:
    """Return the service part of a flow key: protocol, IP and port, 7 bytes."""
    return key[0:1] + key[5:9] + key[11:13]


class Routes:
    """Maps services and servers to small numbers to keep flow records compact.

    A service number identifies a name at one address. Numbers are never reused.

    Attributes:
        revision: Settings revision in force.
        current_services: Number of the service in force, by service key.
        service_names: Name of each service number.
        service_keys: Protocol and address of each service number, as in a flow key.
        addresses: Address of each server number.
        announced: Service that each server number announced last.
        in_force: Server numbers that may get new flows.
        server_zones: Availability zone of each server number, empty if unknown.
        answer_times: Time in seconds at which each server number last answered a
            packet that this VM had forwarded.
        service_numbers: Number of each service, by name and service key.
        server_numbers: Number of each server, by address.
    """

    def __init__(self) -> None:
        self.revision = UNKNOWN_REVISION
        self.current_services: dict[bytes, int] = {}
        self.service_names: list[ServiceName] = []
        self.service_keys: list[bytes] = []
        self.addresses: list[Address] = []
        self.announced: list[ServiceName] = []
        self.server_zones: list[ZoneName] = []
        self.in_force: set[int] = set()
        self.answer_times: list[float] = []
        self.service_numbers: dict[tuple[ServiceName, bytes], int] = {}
        self.server_numbers: dict[Address, int] = {}

    def change(self, event: RoutesChanged) -> None:
        """Apply the services and servers of a settings revision."""
        self.revision = event.revision
        self.current_services = {}
        for service_route in event.services:
            service_key = bytes((service_route.protocol,)) + service_route.address
            self.current_services[service_key] = self.register_service(
                service_route.service, service_key
            )
        self.in_force = set()
        for server_route in event.servers:
            server_number = self.register_server(
                server_route.server, server_route.service
            )
            self.announced[server_number] = server_route.service
            self.server_zones[server_number] = server_route.zone
            self.in_force.add(server_number)

    def register_service(self, name: ServiceName, service_key: bytes) -> int:
        """Return the number of a service at a service key, adding it if it is new."""
        number = self.service_numbers.get((name, service_key))
        if number is None:
            number = len(self.service_names)
            self.service_numbers[name, service_key] = number
            self.service_names.append(name)
            self.service_keys.append(service_key)
        return number

    def register_server(self, address: Address, default_service: ServiceName) -> int:
        """Return the number of a server, adding it if it is new.

        Args:
            address: Address of the server.
            default_service: Service recorded as announced by a new server.
        """
        number = self.server_numbers.get(address)
        if number is None:
            number = len(self.addresses)
            self.server_numbers[address] = number
            self.addresses.append(address)
            self.announced.append(default_service)
            self.server_zones.append(ZoneName(""))
            self.answer_times.append(0.0)
        return number

    def permits(self, server_number: int, service_number: int) -> bool:
        """Return whether a server may get packets of an open flow of a service."""
        return self.announced[server_number] == self.service_names[service_number]

    def permits_new_flow(self, server_number: int, service_number: int) -> bool:
        """Return whether a server may get a new flow of a service."""
        return server_number in self.in_force and self.permits(
            server_number, service_number
        )

    def service_address(self, service_number: int) -> Address:
        """Return the address at which callers reach a service."""
        return Address(self.service_keys[service_number][1:])
