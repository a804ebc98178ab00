"""What membership and leases are told and what they ask for."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from kumquatmux_core.identity import Endpoint, ServerId, ServiceName, Vm, VmId, ZoneName
from kumquatmux_core.problems import Problem


class MemberStatus(IntEnum):
    """What a rumour says; of equal incarnations the higher kind wins."""

    ALIVE = 0
    LOST = 1
    LEFT = 2


class MemberUpdate(NamedTuple):
    """What one VM passes on about another, in sampled mode.

    Attributes:
        vm: Whom it is about.
        incarnation: Which incarnation of it.
        kind: What became of it.
        refutations: Grows when the VM itself contradicts a rumour of its loss.
        about: Its addresses, when the receiver may not know it.
    """

    vm: VmId
    incarnation: int
    status: MemberStatus
    refutations: int = 0
    vm_record: Vm | None = None


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
        echoed: Incarnation of the receiver whose stamp is echoed.
        refused: Whether the sender does not use the receiver at present.
        rumours: What the sender passes on about third VMs, in sampled mode.
        members: Digest of all rumours the sender knows, 0 without sampled mode.
    """

    sender: VmId
    incarnation: int
    timestamp: float
    echoed_timestamp: float
    revision: int
    digest: str
    lease_table_version: int
    leaving: bool = False
    echoed_incarnation: int = 0
    excludes_receiver: bool = False
    updates: tuple[MemberUpdate, ...] = ()
    gossip_digest: int = 0


class Hello(NamedTuple):
    """Sent to a VM that may not know the sender yet.

    The transport hands it over only if it accepts the sender's key.

    Attributes:
        vm: The sender, with its incarnation.
        known: Further VMs the sender knows.
        answer: Whether this answers a ``Hello``, so that it gets no answer.
    """

    vm: Vm
    known_vms: tuple[Vm, ...] = ()
    is_reply: bool = False

    @property
    def sender(self) -> VmId:
        """Who sends it, to be compared with whose key it came under."""
        return self.vm.vm


class Superseded(NamedTuple):
    """The receiver uses an incarnation that is not the highest the sender knows.

    Attributes:
        sender: Who tells.
        incarnation: The highest incarnation of the receiver it has seen.
    """

    sender: VmId
    incarnation: int


class ProbeRequest(NamedTuple):
    """Ask a peer to reach a third VM that does not answer the asker."""

    sender: VmId
    target: VmId
    probe_id: int


class ProbeAnswer(NamedTuple):
    """The peer reached the third VM after it was asked to.

    Attributes:
        sender: Who answers.
        target: The third VM.
        number: Number of the request.
        incarnation: Incarnation of the third VM that was reached.
    """

    sender: VmId
    target: VmId
    probe_id: int
    incarnation: int = 0


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
        version: Session of the server times four, plus its phase (see ``phases``); the
            higher version wins wherever two are told.
        busy: Slots in use by its latest report, -1 without one.
        open: Connections by its latest report, -1 without one.
        held: Whether the sender still holds it; False only travels in an update.
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
    held: bool = True


class LeaseUpdate(NamedTuple):
    """Leases a holder tells its peers, changed ones or, when asked, all.

    Attributes:
        sender: The holder.
        incarnation: Incarnation of the holder.
        version: Version of its lease table after these.
        complete: Whether these are all it holds.
        leases: The leases.
        base: Version of its table that these changes start from.
        ack: Whether the receiver answers with a ``LeaseAck``.
    """

    sender: VmId
    incarnation: int
    version: int
    is_complete: bool
    leases: tuple[Lease, ...]
    base_version: int = 0
    ack_requested: bool = False


class LeaseRequest(NamedTuple):
    """Ask a holder for its leases, because its version is ahead of ours.

    Attributes:
        sender: Who asks.
        since: Version of the holder's table that the asker has, 0 for none.
        incarnation: Incarnation of the holder that this version belongs to.
    """

    sender: VmId
    since_version: int = 0
    incarnation: int = 0


class LeaseAck(NamedTuple):
    """The receiver's lease table is known here up to a version.

    Attributes:
        sender: Who answers.
        incarnation: Incarnation of the holder that the version belongs to.
        version: Version of the holder's table.
    """

    sender: VmId
    incarnation: int
    version: int


class Members(NamedTuple):
    """All rumours the sender knows, because the receiver's digest differs.

    Attributes:
        sender: Who tells.
        rumours: The latest rumour about each VM.
        answer: Whether this answers ``Members``, so that it gets no answer.
    """

    sender: VmId
    updates: tuple[MemberUpdate, ...]
    is_reply: bool = False


Message = (
    Heartbeat
    | Members
    | Hello
    | Superseded
    | ProbeRequest
    | ProbeAnswer
    | LeaseUpdate
    | LeaseRequest
    | LeaseAck
)


class Received(NamedTuple):
    """A message from a peer reached this VM."""

    message: Message


class Tick(NamedTuple):
    """Time has passed; due heartbeats and timeouts are looked at."""


class Leave(NamedTuple):
    """This VM begins a graceful shutdown."""


class PeersChanged(NamedTuple):
    """The VMs that belong to the system, reachable or not, without this one.

    As an event it gives the VMs that the settings name; as an action it adds those
    that were learned at run time.
    """

    peers: tuple[Vm, ...]


class Ticket(NamedTuple):
    """A time stamp of the VM that a backend server calls, given back by the server.

    Attributes:
        incarnation: Incarnation of the VM.
        stamp: Its clock when it gave the ticket, in seconds.
    """

    incarnation: int
    stamp: float


class Announce(NamedTuple):
    """A backend server announces or renews itself, already authenticated.

    Attributes:
        lease: What it says of itself.
        ticket: The latest ticket this VM gave it; the lease runs from its stamp.
    """

    lease: Lease
    ticket: Ticket | None = None


class Drain(NamedTuple):
    """A backend server takes no new work from now on.

    Attributes:
        server: Which server.
        session: Its session, 0 for the latest known here.
        service: Its service, needed where this VM does not know the server.
    """

    server: ServerId
    session: int = 0
    service: ServiceName = ServiceName("")


class Depart(NamedTuple):
    """A backend server leaves for good.

    Attributes:
        server: Which server.
        session: Its session, 0 for the latest known here.
        service: Its service, needed where this VM does not know the server.
    """

    server: ServerId
    session: int = 0
    service: ServiceName = ServiceName("")


class SendMessage(NamedTuple):
    """Send a message to a peer."""

    vm: VmId
    message: Message


class PeerLearned(NamedTuple):
    """A VM that the settings do not name has joined: connect to it."""

    vm: Vm


class IncarnationRaised(NamedTuple):
    """Peers remember a higher incarnation of this VM, so it now uses this one."""

    incarnation: int


class ViewSuspended(NamedTuple):
    """The view is not to be acted on until the next ``ViewChanged``.

    This process stood still, or its clock jumped, for so long that its peers may have
    gone on without it. Before the first ``ViewChanged`` the same holds.

    Attributes:
        gap: How long it stood still, in seconds.
    """

    gap_seconds: float


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
        stale: Leases whose holder has not confirmed them lately, or whose address two
            services claim.
    """

    fresh: tuple[Lease, ...]
    stale: tuple[Lease, ...]


class LeaseState(IntEnum):
    """What became of a call of a backend server."""

    GRANTED = 1
    NOTED = 2
    IN_FORCE = 3
    REFUSED = 4


class LeaseAnswer(NamedTuple):
    """The answer to ``Announce``, ``Drain`` or ``Depart``.

    Attributes:
        server: Which server called.
        state: ``GRANTED`` for a lease, ``NOTED`` when a drain or leave is not yet sure
            to hold everywhere (repeat the call), ``IN_FORCE`` when no new work
            arrives later than 3 s from now.
        ticket: The ticket for the server's next call to this VM.
        session: The latest session known of the server.
        problem: Why the call was refused.
    """

    server: ServerId
    state: LeaseState
    ticket: Ticket
    session: int
    problem: Problem | None = None


class PeerAhead(NamedTuple):
    """A peer runs a higher settings revision than this VM."""

    vm: VmId
    revision: int


Event = (
    Received
    | Tick
    | Leave
    | Announce
    | Drain
    | Depart
    | PeersChanged
    | IncarnationRaised
)
Action = (
    SendMessage
    | PeersChanged
    | PeerLearned
    | IncarnationRaised
    | ViewSuspended
    | ViewChanged
    | ServersChanged
    | LeaseAnswer
    | PeerAhead
)
