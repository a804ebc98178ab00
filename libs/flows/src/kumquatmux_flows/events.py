"""What the flow engine is told and what it asks for."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from kumquatmux_core.identity import Address, FlowKey, ServiceName, Vm, VmId
from kumquatmux_core.segments import Segment


class Stage(IntEnum):
    """Why one VM passes a packet to another."""

    TO_OWNER = 1
    STORE = 2
    LOOKUP = 3
    ADOPT = 4
    MISS = 5
    REPLY_TO_OWNER = 6


class Binding(NamedTuple):
    """The backend server a flow belongs to.

    Attributes:
        server: Address of the backend server.
        revision: Settings revision in force when the flow was placed.
        epoch: Grows each time the key is placed anew; the higher binding wins.
    """

    server: Address
    revision: int
    epoch: int


class Passing(NamedTuple):
    """What travels with a packet from one VM to another.

    Attributes:
        stage: Why the packet is passed.
        hops: How many VMs have passed it on before.
        binding: The record that goes with it, if the stage has one.
    """

    stage: Stage
    hops: int = 0
    binding: Binding | None = None


class CallerPacket(NamedTuple):
    """A packet from a caller, straight from the fabric."""

    segment: Segment


class ServerPacket(NamedTuple):
    """A packet from a backend server, its key already seen from the caller's side."""

    segment: Segment
    server: Address


class PeerPacket(NamedTuple):
    """A packet another VM passed on.

    For ``REPLY_TO_OWNER`` the segment is a server's and the binding names the server.
    """

    sender: VmId
    passing: Passing
    segment: Segment


class ViewChanged(NamedTuple):
    """The entry VMs this one can reach, itself included.

    Attributes:
        live: The VMs packets may be passed to.
        lost: VMs that went without a handover since the last view.
    """

    live: tuple[Vm, ...]
    lost: tuple[VmId, ...] = ()


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
    """One backend server and the one service it may get packets of."""

    server: Address
    service: ServiceName


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


class AskPlacement(NamedTuple):
    """Ask for a server; ``FlowPlaced`` or ``FlowRefused`` follows."""

    key: FlowKey
    service: ServiceName


class ResetCaller(NamedTuple):
    """Tell the caller its flow is gone: TCP reset, or ICMP port unreachable for UDP."""

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


class Dropped(NamedTuple):
    """A packet went nowhere, for a reason that is counted."""

    reason: str


Action = (
    SendToServer
    | SendToCaller
    | SendToPeer
    | AskPlacement
    | ResetCaller
    | ResetServer
    | ProbeServer
    | ProbeCaller
    | WorkStarted
    | WorkAnswered
    | FlowClosed
    | FlowAdopted
    | Dropped
)
