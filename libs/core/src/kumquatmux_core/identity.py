"""Identifiers and addresses of VMs, zones, services, backend servers and flows."""

from __future__ import annotations

import ipaddress
from typing import NamedTuple, NewType

VmId = NewType("VmId", str)
"""The name of a load balancer VM, unique in the deployment."""

ZoneName = NewType("ZoneName", str)
"""The name of an availability zone."""

ServiceName = NewType("ServiceName", str)
"""The name of a service."""

ServerId = NewType("ServerId", str)
"""The name of a backend server, written ``ip:port``."""

FlowKey = NewType("FlowKey", bytes)
"""13 bytes: protocol, caller IP, service IP, caller port, service port, big endian.

The last 12 bytes have the same order as in the headers of a caller's packet.
"""

Address = NewType("Address", bytes)
"""6 bytes: IPv4 address and port, big endian, as in packet headers."""


class Endpoint(NamedTuple):
    """An IPv4 address and a port.

    Attributes:
        ip: IPv4 address in dotted-decimal notation.
        port: Port, 0 to 65535.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return f"{self.ip}:{self.port}"

    @property
    def packed(self) -> Address:
        """The endpoint in its 6-byte form."""
        return Address(ipaddress.IPv4Address(self.ip).packed + self.port.to_bytes(2))


def unpack_endpoint(address: Address) -> Endpoint:
    """Convert a 6-byte address to an endpoint."""
    ip_text = str(ipaddress.IPv4Address(address[:4]))
    return Endpoint(ip_text, int.from_bytes(address[4:]))


class Vm(NamedTuple):
    """The name, zone and endpoints of a load balancer VM.

    Attributes:
        vm: Name of the VM.
        zone: Availability zone of the VM.
        packets: UDP endpoint for packets from the fabric and from peers.
        control: TCP endpoint for messages between the system's processes.
        incarnation: Number that grows at each start of the VM's process, so that peers
            can tell the current process from an earlier one.
    """

    vm: VmId
    zone: ZoneName
    packets: Endpoint
    control: Endpoint
    incarnation: int = 0
