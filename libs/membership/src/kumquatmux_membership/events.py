"""Messages, events and actions of failure detection and leases."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from kumquatmux_core.identity import Endpoint, ServerId, ServiceName, Vm, VmId, ZoneName
from kumquatmux_core.problems import Problem


class MemberStatus(IntEnum):
    """Status of a VM in a membership update.

    If two updates have the same incarnation and number of refutations, the one with the
    higher status takes precedence.
    """

    ALIVE = 0
    LOST = 1
    LEFT = 2


class MemberUpdate(NamedTuple):
    """Status of one VM, spread by gossip in sampled mode.

    Attributes:
        vm: VM that the update is about.
        incarnation: Incarnation of that VM.
        status: Status of that incarnation.
        refutations: Counter that the VM raises when it refutes a report of its loss.
        vm_record: Endpoints and zone of the VM, for receivers that may not know it.
    """

    vm: VmId
    incarnation: int
    status: MemberStatus
    refutations: int = 0
    vm_record: Vm | None = None


class Heartbeat(NamedTuple):
    """Heartbeat that a VM sends to a peer in every period.

    Attributes:
        sender: VM that sends the heartbeat.
        incarnation: Incarnation of the sender.
        timestamp: Time on the sender's clock, in seconds.
        echoed_timestamp: Latest timestamp received from the receiver, 0.0 if none.
        revision: Highest settings revision that the sender has accepted.
        digest: Digest of the settings at that revision.
        lease_table_version: Version of the table of leases that the sender holds.
        leaving: Whether the sender is shutting down gracefully.
        echoed_incarnation: Incarnation of the receiver whose timestamp is echoed.
        excludes_receiver: Whether the sender currently excludes the receiver from its
            view as unreachable.
        updates: Membership updates that the sender gossips, in sampled mode.
        gossip_digest: Digest of all membership updates that the sender knows, 0 without
            sampled mode.
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
    """Introduces the sender to a VM that may not know it yet.

    The transport delivers this message only if it accepts the sender's key.

    Attributes:
        vm: Record of the sender, with its incarnation.
        known_vms: Other VMs that the sender knows.
        is_reply: Whether this message replies to a ``Hello`` and so gets no reply.
    """

    vm: Vm
    known_vms: tuple[Vm, ...] = ()
    is_reply: bool = False

    @property
    def sender(self) -> VmId:
        """Id of the sender, which the transport compares with the owner of the key."""
        return self.vm.vm


class Superseded(NamedTuple):
    """Tells the receiver that the sender knows a higher incarnation of it.

    Attributes:
        sender: VM that sends the message.
        incarnation: Highest incarnation of the receiver that the sender has seen.
    """

    sender: VmId
    incarnation: int


class ProbeRequest(NamedTuple):
    """Asks a peer to probe a third VM that does not answer the sender."""

    sender: VmId
    target: VmId
    probe_id: int


class ProbeAnswer(NamedTuple):
    """Reports that the sender reached the third VM named in a ``ProbeRequest``.

    Attributes:
        sender: VM that sends the answer.
        target: The third VM.
        probe_id: Number of the request.
        incarnation: Incarnation of the third VM that was reached.
    """

    sender: VmId
    target: VmId
    probe_id: int
    incarnation: int = 0


class Lease(NamedTuple):
    """Lease of a backend server, with the properties that the server announced.

    Attributes:
        server: Id of the server, ``ip:port``.
        endpoint: Endpoint at which the server receives packets.
        service: The one service that the server belongs to.
        zone: Availability zone of the server.
        slots: Number of work items that the server processes concurrently.
        connections: Maximum number of connections to the server.
        draining: Whether the server accepts no new work.
        left: Whether the server has left permanently.
        version: Session of the server times four, plus its phase (see ``phases``). Of
            two leases of a server, the one with the higher version takes precedence.
        busy: Busy slots in the server's latest report, -1 without a report.
        open: Open connections in the server's latest report, -1 without a report.
        held: Whether the sender still holds the lease. It is False only in a
            ``LeaseUpdate``.
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
    """Leases that a VM sends to its peers: changed leases or its complete table.

    Attributes:
        sender: VM that holds the leases.
        incarnation: Incarnation of the sender.
        version: Version of the sender's lease table after these changes.
        is_complete: Whether ``leases`` is the complete table.
        leases: The leases.
        base_version: Version of the table that the changes start from.
        ack_requested: Whether the receiver must reply with a ``LeaseAck``.
    """

    sender: VmId
    incarnation: int
    version: int
    is_complete: bool
    leases: tuple[Lease, ...]
    base_version: int = 0
    ack_requested: bool = False


class LeaseRequest(NamedTuple):
    """Requests the leases of a holder whose table version is ahead of the known one.

    Attributes:
        sender: VM that sends the request.
        since_version: Version of the holder's table that the sender has, 0 for none.
        incarnation: Incarnation of the holder that this version belongs to.
    """

    sender: VmId
    since_version: int = 0
    incarnation: int = 0


class LeaseAck(NamedTuple):
    """Acknowledges the receiver's lease table up to a version.

    Attributes:
        sender: VM that acknowledges the table.
        incarnation: Incarnation of the receiver that the version belongs to.
        version: Version of the receiver's lease table.
    """

    sender: VmId
    incarnation: int
    version: int


class Members(NamedTuple):
    """All membership updates that the sender knows, sent because the digests differ.

    Attributes:
        sender: VM that sends the message.
        updates: The latest update about each VM.
        is_reply: Whether this message replies to ``Members`` and so gets no reply.
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
    """A message from a peer has arrived."""

    message: Message


class Tick(NamedTuple):
    """Time has passed; heartbeats and timeouts that are due are handled."""


class Leave(NamedTuple):
    """This VM begins a graceful shutdown."""


class PeersChanged(NamedTuple):
    """The VMs that belong to the system, reachable or not, without this one.

    As an event, it contains the VMs configured in the settings. As an action, it also
    contains the VMs discovered at run time.
    """

    peers: tuple[Vm, ...]


class Ticket(NamedTuple):
    """Timestamp issued to a backend server, which returns it in its next call.

    Attributes:
        incarnation: Incarnation of the VM that issued the ticket.
        stamp: Time on that VM's clock when it issued the ticket, in seconds.
    """

    incarnation: int
    stamp: float


class Announce(NamedTuple):
    """A backend server, already authenticated, announces itself or renews its lease.

    Attributes:
        lease: Properties that the server announces.
        ticket: Latest ticket that this VM issued to the server. The lease duration
            counts from the ticket's timestamp.
    """

    lease: Lease
    ticket: Ticket | None = None


class Drain(NamedTuple):
    """A backend server accepts no new work from now on.

    Attributes:
        server: Id of the server.
        session: Session of the server, 0 for the latest one known to this VM.
        service: Service of the server, required if this VM does not know the server.
    """

    server: ServerId
    session: int = 0
    service: ServiceName = ServiceName("")


class Depart(NamedTuple):
    """A backend server ends its session permanently.

    Attributes:
        server: Id of the server.
        session: Session of the server, 0 for the latest one known to this VM.
        service: Service of the server, required if this VM does not know the server.
    """

    server: ServerId
    session: int = 0
    service: ServiceName = ServiceName("")


class SendMessage(NamedTuple):
    """Send a message to a peer."""

    vm: VmId
    message: Message


class PeerLearned(NamedTuple):
    """A peer was added to the list of peers: connect to it."""

    vm: Vm


class IncarnationRaised(NamedTuple):
    """This VM raised its incarnation because peers knew a higher one than its own."""

    incarnation: int


class ViewSuspended(NamedTuple):
    """The view must not be used until the next ``ViewChanged``.

    This process was paused, or its clock jumped, for so long that its peers may have
    removed it from their views. Before the first ``ViewChanged``, the view must not be
    used either.

    Attributes:
        gap_seconds: How long the process was paused, in seconds.
    """

    gap_seconds: float


class ViewChanged(NamedTuple):
    """The VMs that this VM can reach, itself included.

    Attributes:
        live: The reachable VMs.
        lost: VMs that left the view without a graceful shutdown since the last view.
    """

    live: tuple[Vm, ...]
    lost: tuple[VmId, ...]


class ServersChanged(NamedTuple):
    """The known backend servers, divided into those with fresh and stale leases.

    Attributes:
        fresh: Leases that may receive new work, as far as their phase allows it.
        stale: Leases whose holder has not confirmed them recently, or whose address two
            services claim.
    """

    fresh: tuple[Lease, ...]
    stale: tuple[Lease, ...]


class LeaseState(IntEnum):
    """Result of a backend server's call."""

    GRANTED = 1
    NOTED = 2
    IN_FORCE = 3
    REFUSED = 4


class LeaseAnswer(NamedTuple):
    """Answer to ``Announce``, ``Drain`` or ``Depart``.

    Attributes:
        server: Id of the server that called.
        state: ``GRANTED`` if the server has a lease; ``NOTED`` if a drain or leave may
            not be in force on every VM yet, so that the server repeats the call;
            ``IN_FORCE`` if no new work arrives later than 3 s from now; ``REFUSED`` if
            there is a problem.
        ticket: Ticket for the server's next call to this VM.
        session: Latest known session of the server, 0 if none.
        problem: Why the call was refused, None if it was not.
    """

    server: ServerId
    state: LeaseState
    ticket: Ticket
    session: int
    problem: Problem | None = None


class PeerAhead(NamedTuple):
    """A peer has a higher settings revision than this VM."""

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
