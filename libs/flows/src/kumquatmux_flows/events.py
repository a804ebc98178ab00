"""Events that the flow engine handles and actions that it returns."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from kumquatmux_core.identity import Address, FlowKey, ServiceName, Vm, VmId, ZoneName
from kumquatmux_core.segments import Segment
from kumquatmux_flows.messages import FlowMessage
from kumquatmux_flows.refusals import Refusal


class Stage(IntEnum):
    """Purpose for which one VM sends a packet to another.

    Attributes:
        TO_OWNER: A caller's packet goes to the owner of its flow.
        STORE: The backup VM stores the record and forwards the packet to the server.
        LOOKUP: The record of the packet's flow is looked up.
        ADOPT: The VM that needs the record gets it with the packet.
        MISS: The lookup found no record, and the packet returns to its origin.
        REPLY_TO_OWNER: A server's packet goes to the owner of its flow.
        REPLY_CLOSE: The backup VM closes the flow on a server's FIN or RST and
            forwards the packet to the caller.
    """

    TO_OWNER = 1
    STORE = 2
    LOOKUP = 3
    ADOPT = 4
    MISS = 5
    REPLY_TO_OWNER = 6
    REPLY_CLOSE = 7


class Binding(NamedTuple):
    """The backend server that a flow is bound to.

    Attributes:
        server: Address of the backend server.
        revision: Settings revision in force when the flow was placed.
        epoch: Number of times that the key has been placed; the higher one wins.
        established: Whether the sender saw the handshake finish.
        service: Service that the flow was placed for, which may no longer be in force;
            empty for the service now in force at the key's address.
    """

    server: Address
    revision: int
    epoch: int
    established: bool = False
    service: ServiceName = ServiceName("")


class Passing(NamedTuple):
    """Header that accompanies a packet from one VM to another.

    Attributes:
        stage: Purpose of sending the packet.
        hops: Number of VMs that have forwarded the packet before.
        binding: Binding of the flow, if the purpose needs one.
        origin: For ``LOOKUP``, the VM that started the lookup.
        record_maybe_lost: For ``LOOKUP`` and ``MISS``, whether a visited VM recently
            lost another VM, which may have held the record.
    """

    stage: Stage
    hops: int = 0
    binding: Binding | None = None
    origin: VmId = VmId("")
    record_maybe_lost: bool = False


class CallerPacket(NamedTuple):
    """A packet from a caller, received directly from the network fabric."""

    segment: Segment


class ServerPacket(NamedTuple):
    """A packet from a backend server, received directly from the network fabric.

    The key of its segment is already the one of the caller's direction.
    """

    segment: Segment
    server: Address


class PeerPacket(NamedTuple):
    """A packet that another VM sent on.

    For ``REPLY_TO_OWNER`` and ``REPLY_CLOSE`` the segment comes from a server, and
    the binding names this server.
    """

    sender: VmId
    header: Passing
    segment: Segment


class PeerMessage(NamedTuple):
    """A message of another VM's flow engine, decoded with ``FLOW_MESSAGES``."""

    sender: VmId
    message: FlowMessage


class ViewChanged(NamedTuple):
    """The entry VMs that this VM can reach, including itself.

    Attributes:
        live: VMs that packets may be sent to.
        lost_vms: VMs that left without a handover since the last view.
    """

    live: tuple[Vm, ...]
    lost_vms: tuple[VmId, ...] = ()


class ServiceRoute(NamedTuple):
    """One service in force.

    Attributes:
        service: Name of the service.
        address: Address at which callers reach the service.
        protocol: IP protocol number.
    """

    service: ServiceName
    address: Address
    protocol: int


class ServerRoute(NamedTuple):
    """One backend server and the only service whose packets it may get.

    Attributes:
        server: Address of the server.
        service: Service that the server runs.
        zone: Availability zone of the server, empty if unknown; a VM of this zone holds
            a record of each of the server's flows.
    """

    server: Address
    service: ServiceName
    zone: ZoneName = ZoneName("")


class RoutesChanged(NamedTuple):
    """The services and servers in force at a settings revision."""

    revision: int
    services: tuple[ServiceRoute, ...]
    servers: tuple[ServerRoute, ...]


class FlowPlaced(NamedTuple):
    """Placement chose a backend server for a new flow."""

    key: FlowKey
    server: Address


class FlowRefused(NamedTuple):
    """Placement refused a new flow before any byte of it was forwarded."""

    key: FlowKey
    reason: str


class Tick(NamedTuple):
    """Time has passed, and the engine does the work that is due."""


class Leaving(NamedTuple):
    """This VM starts a graceful shutdown."""


Event = (
    CallerPacket
    | ServerPacket
    | PeerPacket
    | PeerMessage
    | ViewChanged
    | RoutesChanged
    | FlowPlaced
    | FlowRefused
    | Tick
    | Leaving
)


class SendToServer(NamedTuple):
    """Forward a caller's packet to a backend server."""

    server: Address
    packet: bytes


class SendToCaller(NamedTuple):
    """Forward a server's packet to its caller, from the service address."""

    service: Address
    packet: bytes


class SendToPeer(NamedTuple):
    """Send a packet to another VM."""

    vm: VmId
    passing: Passing
    packet: bytes


class SendMessage(NamedTuple):
    """Send a message to another VM's flow engine, encoded with ``FLOW_MESSAGES``."""

    vm: VmId
    message: FlowMessage


class AskPlacement(NamedTuple):
    """Request a server for a flow; ``FlowPlaced`` or ``FlowRefused`` follows."""

    key: FlowKey
    service: ServiceName


class CancelPlacement(NamedTuple):
    """Withdraw a placement request, because this VM no longer needs a server."""

    key: FlowKey


class ResetCaller(NamedTuple):
    """Tell a caller that its flow is closed: TCP RST, or ICMP port unreachable for UDP.

    The RST takes its sequence number from the segment's acknowledgement number. The
    segment's packet is empty if no packet of the caller caused the reset (TCP only).
    """

    segment: Segment
    reason: str


class ResetServer(NamedTuple):
    """Tell a server by a TCP RST with this sequence number that a flow is closed."""

    key: FlowKey
    server: Address
    seq: int


class ProbeServer(NamedTuple):
    """Send a TCP keepalive probe to a server from the caller's address."""

    key: FlowKey
    server: Address
    seq: int
    ack: int


class ProbeCaller(NamedTuple):
    """Send a TCP keepalive probe to a caller from the service address."""

    key: FlowKey
    seq: int
    ack: int


class WorkStarted(NamedTuple):
    """A flow takes a slot of its server for bytes that the server has to answer."""

    key: FlowKey
    server: Address


class WorkAnswered(NamedTuple):
    """A flow frees its slot of the server, which has begun to answer."""

    key: FlowKey
    server: Address


class FlowClosed(NamedTuple):
    """A flow of this VM ended, was given up or moved to another owner."""

    key: FlowKey
    server: Address


class FlowAdopted(NamedTuple):
    """This VM takes ownership of a flow and counts it from now on."""

    key: FlowKey
    server: Address
    service: ServiceName


class RefreshRoute(NamedTuple):
    """A route failed and must be refreshed now by the component that supplied it.

    Attributes:
        reason: Reason for the failure.
        service: Service of the route, empty if unknown.
        server: Backend server of the route, None if it has none.
    """

    reason: Refusal
    service: ServiceName
    server: Address | None = None


class Quiet(NamedTuple):
    """This VM, which shuts down, has handed over all flows and gets no more packets."""


class Dropped(NamedTuple):
    """A packet was dropped for a reason that is counted."""

    reason: str


Action = (
    SendToServer
    | SendToCaller
    | SendToPeer
    | SendMessage
    | AskPlacement
    | CancelPlacement
    | ResetCaller
    | ResetServer
    | ProbeServer
    | ProbeCaller
    | WorkStarted
    | WorkAnswered
    | FlowClosed
    | FlowAdopted
    | RefreshRoute
    | Quiet
    | Dropped
)
