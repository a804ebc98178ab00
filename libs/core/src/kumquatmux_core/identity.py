"""Names of the things a message can speak of."""

from __future__ import annotations

import ipaddress
from typing import NamedTuple, NewType

VmId = NewType("VmId", str)
"""The name of one VM of the system, unique in the deployment."""

ZoneName = NewType("ZoneName", str)
"""The name of an availability zone."""

ServiceName = NewType("ServiceName", str)
"""The name of a service."""

ServerId = NewType("ServerId", str)
"""The name of a backend server, written ``ip:port``."""

FlowKey = NewType("FlowKey", bytes)
"""13 bytes: protocol, caller IP, service IP, caller port, service port, big endian.

The last 12 bytes stand in this order in a packet from a caller.
"""

Address = NewType("Address", bytes)
"""6 bytes: IPv4 number and port, big endian, as they stand in a packet."""


class Endpoint(NamedTuple):
    """An IPv4 number and a port.

    Attributes:
        ip: Dotted IPv4 number.
        port: Port, 0 to 65535.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return f"{self.ip}:{self.port}"

    @property
    def packed(self) -> Address:
        """The endpoint as 6 bytes."""
        return Address(ipaddress.IPv4Address(self.ip).packed + self.port.to_bytes(2))


def unpack_endpoint(address: Address) -> Endpoint:
    """Return the endpoint that 6 bytes stand for."""
    number = str(ipaddress.IPv4Address(address[:4]))
    return Endpoint(number, int.from_bytes(address[4:]))


class Vm(NamedTuple):
    """One VM of the system as its peers know it.

    Attributes:
        vm: Its name.
        zone: Its availability zone.
        packets: UDP endpoint for packets from the fabric and from peers.
        control: TCP endpoint for messages between the system's processes.
        incarnation: Grows at each start, so that an old process is told apart.
    """

    vm: VmId
    zone: ZoneName
    packets: Endpoint
    control: Endpoint
    incarnation: int = 0
