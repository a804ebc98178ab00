"""Names of the things a message can speak of."""

from __future__ import annotations

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
"""13 bytes: protocol, caller IP and port, service IP and port, big endian."""


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
