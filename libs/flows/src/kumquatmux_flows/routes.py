"""Which service a flow is for and which servers may get its packets."""

from __future__ import annotations

from kumquatmux_core.identity import Address, FlowKey, ServiceName, ZoneName
from kumquatmux_flows.events import RoutesChanged

UNKNOWN_REVISION = -1


def service_key_of(key: FlowKey) -> bytes:
    """Return the service side of a flow key: protocol, IP and port, 7 bytes."""
    return key[0:1] + key[5:9] + key[11:13]


class Routes:
    """Services and servers by small numbers, so that records stay compact.

    A service number stands for a name at one address. Numbers are never given twice.

    Attributes:
        revision: Settings revision in force.
        current: Service number in force at each service address.
        names: Name of each service number.
        places: Address of each service number, as in a flow key.
        addresses: Address of each server number.
        announced: Name each server number last announced itself for.
        in_force: Server numbers that may get new flows.
        zones: Availability zone of each server number, empty if unknown.
        answered: When each server number last answered a packet that this VM had
            forwarded, in seconds.
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
        """Take the services and servers of a revision."""
        self.revision = event.revision
        self.current_services = {}
        for service_route in event.services:
            service_key = bytes((service_route.protocol,)) + service_route.address
            self.current_services[service_key] = self.service_number(
                service_route.service, service_key
            )
        self.in_force = set()
        for server_route in event.servers:
            server_number = self.server_number(
                server_route.server, server_route.service
            )
            self.announced[server_number] = server_route.service
            self.server_zones[server_number] = server_route.zone
            self.in_force.add(server_number)

    def service_number(self, name: ServiceName, service_key: bytes) -> int:
        """Return the number of a service at an address."""
        number = self.service_numbers.get((name, service_key))
        if number is None:
            number = len(self.service_names)
            self.service_numbers[name, service_key] = number
            self.service_names.append(name)
            self.service_keys.append(service_key)
        return number

    def server_number(self, address: Address, default_service: ServiceName) -> int:
        """Return the number of a server, with a service assumed if it is new."""
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
        """Return the address callers use for a service."""
        return Address(self.service_keys[service_number][1:])
