"""What membership and leases are told and what they ask for."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import Endpoint, ServerId, ServiceName, Vm, VmId, ZoneName


class Heartbeat(NamedTuple):
    """Sent to each peer every period.

    Attributes:
        sender: Who sends it.
        incarnation: Incarnation of the sender.
        stamp: The sender's clock, in seconds.
        echo: The latest stamp seen from the receiver, 0.0 if none.
        revision: Highest accepted settings revision of the sender.
        digest: Digest of the settings at that revision.
        leases: Version of the sender's own lease table.
        leaving: Whether the sender is shutting down gracefully.
    """

    sender: VmId
    incarnation: int
    stamp: float
    echo: float
    revision: int
    digest: str
    leases: int
    leaving: bool = False


class ProbeRequest(NamedTuple):
    """Ask a peer to reach a third VM that does not answer the asker."""

    sender: VmId
    target: VmId
    number: int


class ProbeAnswer(NamedTuple):
    """The peer reached the third VM lately."""

    sender: VmId
    target: VmId
    number: int


class Lease(NamedTuple):
    """One backend server's announcement, as its holder tells it.

    Attributes:
        server: Its name, ``ip:port``.
        endpoint: Where it takes packets.
        service: The one service it serves.
        zone: Its availability zone.
        slots: Pieces of work it runs at once.
        connections: Connections it holds at most.
        draining: Whether it takes no new work.
        left: Whether it has left for good.
        version: Grows with each change of this lease.
        busy: Slots in use by its latest report, -1 without one.
        open: Connections by its latest report, -1 without one.
    """

    server: ServerId
    endpoint: Endpoint
    service: ServiceName
    zone: ZoneName
    slots: int
    connections: int
    draining: bool
    left: bool
    version: int
    busy: int = -1
    open: int = -1


class LeaseUpdate(NamedTuple):
    """Leases a holder tells its peers, changed ones or, when asked, all.

    Attributes:
        sender: The holder.
        incarnation: Incarnation of the holder.
        version: Version of its lease table after these.
        complete: Whether these are all it holds.
        leases: The leases.
    """

    sender: VmId
    incarnation: int
    version: int
    complete: bool
    leases: tuple[Lease, ...]


class LeaseRequest(NamedTuple):
    """Ask a holder for all its leases, because its version is ahead of ours."""

    sender: VmId


class Received(NamedTuple):
    """A message from a peer reached this VM."""

    message: Heartbeat | ProbeRequest | ProbeAnswer | LeaseUpdate | LeaseRequest


class Tick(NamedTuple):
    """Time has passed; due heartbeats and timeouts are looked at."""


class Leave(NamedTuple):
    """This VM begins a graceful shutdown."""


class Announce(NamedTuple):
    """A backend server announces or renews itself, already authenticated."""

    lease: Lease


class Drain(NamedTuple):
    """A backend server takes no new work from now on."""

    server: ServerId


class Depart(NamedTuple):
    """A backend server leaves for good."""

    server: ServerId


class SendMessage(NamedTuple):
    """Send a message to a peer."""

    vm: VmId
    message: Heartbeat | ProbeRequest | ProbeAnswer | LeaseUpdate | LeaseRequest


class ViewChanged(NamedTuple):
    """The VMs this one can reach, itself included.

    Attributes:
        live: The VMs that answer.
        lost: VMs that went without a graceful shutdown since the last view.
    """

    live: tuple[Vm, ...]
    lost: tuple[VmId, ...]


class ServersChanged(NamedTuple):
    """The backend servers known here, with whether their leases are fresh.

    Attributes:
        fresh: Leases that new work may use, by state.
        stale: Leases whose holder has not confirmed them lately.
    """

    fresh: tuple[Lease, ...]
    stale: tuple[Lease, ...]


class PeerAhead(NamedTuple):
    """A peer runs a higher settings revision than this VM."""

    vm: VmId
    revision: int


Event = Received | Tick | Leave | Announce | Drain | Depart
Action = SendMessage | ViewChanged | ServersChanged | PeerAhead
