"""What the flow engine is told and what it asks for."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from kumquatmux_core.identity import Address, FlowKey, ServiceName, Vm, VmId, ZoneName
from kumquatmux_core.segments import Segment
from kumquatmux_flows.messages import FlowMessage
from kumquatmux_flows.refusals import Refusal


class Stage(IntEnum):
    """Why one VM passes a packet to another."""

    TO_OWNER = 1
    STORE = 2
    LOOKUP = 3
    ADOPT = 4
    MISS = 5
    REPLY_TO_OWNER = 6
    REPLY_CLOSE = 7


class Binding(NamedTuple):
    """The backend server a flow belongs to.

    Attributes:
        server: Address of the backend server.
        revision: Settings revision in force when the flow was placed.
        epoch: Grows each time the key is placed anew; the higher binding wins.
        established: Whether the sender saw the handshake finished.
        service: The service it was placed for, which the rules in force may have
            dropped since; empty if the key's service in force is meant.
    """

    server: Address
    revision: int
    epoch: int
    established: bool = False
    service: ServiceName = ServiceName("")


class Passing(NamedTuple):
    """What travels with a packet from one VM to another.

    Attributes:
        stage: Why the packet is passed.
        hops: How many VMs have passed it on before.
        binding: The record that goes with it, if the stage has one.
        origin: For ``LOOKUP``, the VM that wants the answer.
        suspect: For ``LOOKUP`` and ``MISS``, whether a VM on the way lately lost
            another one, which may have had the record.
    """

    stage: Stage
    hops: int = 0
    binding: Binding | None = None
    origin: VmId = VmId("")
    record_maybe_lost: bool = False


class CallerPacket(NamedTuple):
    """A packet from a caller, straight from the fabric."""

    segment: Segment


class ServerPacket(NamedTuple):
    """A packet from a backend server, its key already seen from the caller's side."""

    segment: Segment
    server: Address


class PeerPacket(NamedTuple):
    """A packet another VM passed on.

    For ``REPLY_TO_OWNER`` and ``REPLY_CLOSE`` the segment is a server's and the binding
    names the server.
    """

    sender: VmId
    header: Passing
    segment: Segment


class PeerMessage(NamedTuple):
    """A message of another VM's flow engine, decoded with ``FLOW_MESSAGES``."""

    sender: VmId
    message: FlowMessage


class ViewChanged(NamedTuple):
    """The entry VMs this one can reach, itself included.

    Attributes:
        live: The VMs packets may be passed to.
        lost: VMs that went without a handover since the last view.
    """

    live: tuple[Vm, ...]
    lost_vms: tuple[VmId, ...] = ()


class ServiceRoute(NamedTuple):
    """One service in force.

    Attributes:
        service: Its name.
        address: The address callers use.
        protocol: IP protocol number.
    """

    service: ServiceName
    address: Address
    protocol: int


class ServerRoute(NamedTuple):
    """One backend server and the one service it may get packets of.

    Attributes:
        server: Its address.
        service: The service it serves.
        zone: Its availability zone; one VM of it keeps a record of each flow there.
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
    """Time has passed; due work is done."""


class Leaving(NamedTuple):
    """This VM begins a graceful shutdown."""


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
    """Pass a packet to another VM."""

    vm: VmId
    passing: Passing
    packet: bytes


class SendMessage(NamedTuple):
    """Send a message to another VM's flow engine, encoded with ``FLOW_MESSAGES``."""

    vm: VmId
    message: FlowMessage


class AskPlacement(NamedTuple):
    """Ask for a server; ``FlowPlaced`` or ``FlowRefused`` follows."""

    key: FlowKey
    service: ServiceName


class CancelPlacement(NamedTuple):
    """Withdraw a request for a server: the flow is not wanted here any more."""

    key: FlowKey


class ResetCaller(NamedTuple):
    """Tell the caller its flow is gone: TCP reset, or ICMP port unreachable for UDP.

    The reset takes its sequence number from the segment's acknowledgement number. The
    segment's packet is empty when no packet of the caller was the cause (TCP only).
    """

    segment: Segment
    reason: str


class ResetServer(NamedTuple):
    """Tell the server a flow is gone, by a TCP reset with this sequence number."""

    key: FlowKey
    server: Address
    seq: int


class ProbeServer(NamedTuple):
    """Send a TCP keepalive probe to the server in the caller's name."""

    key: FlowKey
    server: Address
    seq: int
    ack: int


class ProbeCaller(NamedTuple):
    """Send a TCP keepalive probe to the caller in the service's name."""

    key: FlowKey
    seq: int
    ack: int


class WorkStarted(NamedTuple):
    """A flow has unanswered bytes of its caller: it takes a slot."""

    key: FlowKey
    server: Address


class WorkAnswered(NamedTuple):
    """The server began to answer: the slot is free again."""

    key: FlowKey
    server: Address


class FlowClosed(NamedTuple):
    """A flow is over or was given up."""

    key: FlowKey
    server: Address


class FlowAdopted(NamedTuple):
    """A flow placed by another VM is now counted here."""

    key: FlowKey
    server: Address
    service: ServiceName


class RefreshRoute(NamedTuple):
    """A route failed: whoever gave it should get a fresh one now.

    Attributes:
        reason: What was found wrong with it.
        service: The service it was for, empty if unknown.
        server: The backend server it named, if it named one.
    """

    reason: Refusal
    service: ServiceName
    server: Address | None = None


class Quiet(NamedTuple):
    """A leaving VM has handed everything over and sees no more packets."""


class Dropped(NamedTuple):
    """A packet went nowhere, for a reason that is counted."""

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
