"""Events that a replica handles and actions that it requests."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from kumquatmux_agreement.entries import Entry, ReplicaId, Snapshot, VoteRecord
from kumquatmux_agreement.messages import Message
from kumquatmux_core.identity import VmId
from kumquatmux_core.problems import Problem


class MessageReceived(NamedTuple):
    """Event: a message from another replica has arrived.

    Attributes:
        message: Received message.
    """

    message: Message


class Tick(NamedTuple):
    """Event: time has passed; due heartbeats and timeouts are processed."""


class Propose(NamedTuple):
    """Event: a request to append data to the log, answered by one ``Reply``.

    Attributes:
        data: Data of the new entry.
        token: Token that the reply repeats.
    """

    data: bytes
    token: str


class Read(NamedTuple):
    """Event: a request to confirm that the applied state is the latest.

    It is answered by one ``Reply``.

    Attributes:
        token: Token that the reply repeats.
    """

    token: str


class ChangeMembership(NamedTuple):
    """Event: a request to replace the set of control VMs.

    It is answered by one ``Reply``, once the request is committed to the log. The
    members are then changed one at a time: a new VM votes after it has joined and
    caught up, which ``Replica.status`` shows.

    Attributes:
        vms: All control VMs that should have a voter.
        token: Token that the reply repeats.
    """

    vms: tuple[VmId, ...]
    token: str


class TransferLeadership(NamedTuple):
    """Event: the process is about to stop; a leader asks another voter to lead."""


class Persisted(NamedTuple):
    """Event: a ``Persist`` action is durable; reported in the order of the actions.

    Attributes:
        number: Number of the ``Persist`` action.
    """

    number: int


class PersistFailed(NamedTuple):
    """Event: a ``Persist`` action failed; the replica stops participating.

    Attributes:
        number: Number of the ``Persist`` action.
        problem: Cause of the failure.
    """

    number: int
    problem: Problem


class SnapshotTaken(NamedTuple):
    """Event: the application state that a ``TakeSnapshot`` action requested.

    Attributes:
        log_index: Last entry included in the state.
        data: Serialized application state.
    """

    log_index: int
    data: bytes


class Send(NamedTuple):
    """Action: send a message to a VM; it may be lost, delayed or duplicated.

    Attributes:
        to: VM of the recipient.
        message: Message to send.
    """

    to: VmId
    message: Message


class Persist(NamedTuple):
    """Action: make state durable, in order of the actions, then report ``Persisted``.

    Attributes:
        number: Number that ``Persisted`` repeats.
        vote: Vote record that replaces the stored one, or None if unchanged.
        entries: Entries to append. An entry whose index is already in the stored log
            replaces the stored one and drops all later ones.
        snapshot: Snapshot that replaces the stored one and the log up to it, or None
            if unchanged.
        keep_entries: Whether the stored entries after the snapshot are kept.
    """

    number: int
    vote: VoteRecord | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    keep_entries: bool = True


class Apply(NamedTuple):
    """Action: apply committed data entries to the application state, in order.

    Each entry is passed once during the lifetime of a replica object, and again after a
    restart if it is later than the snapshot.

    Attributes:
        entries: Entries to apply.
    """

    entries: tuple[Entry, ...]


class InstallSnapshot(NamedTuple):
    """Action: replace the application state by a snapshot.

    Attributes:
        snapshot: Snapshot to install.
    """

    snapshot: Snapshot


class TakeSnapshot(NamedTuple):
    """Action: report the application state as a ``SnapshotTaken`` event.

    Attributes:
        log_index: Last entry applied, which the state must include.
    """

    log_index: int


class RequestOutcome(StrEnum):
    """Outcome of a request.

    ``COMMITTED`` answers a proposal or a membership change, ``CURRENT`` a read.
    ``REFUSED`` means that the request was not appended to any log, ``UNKNOWN`` that it
    was appended and may or may not be committed.
    """

    COMMITTED = "committed"
    CURRENT = "current"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Reply(NamedTuple):
    """Action: answer a ``Propose``, ``Read`` or ``ChangeMembership`` request.

    Attributes:
        token: Token of the request.
        outcome: Outcome of the request.
        log_index: Committed entry, or for a read the last committed entry, which must
            be applied before the state is read.
        problem: Why the request was refused or its outcome is unknown, else None.
        leader: Leader to send the request to instead, or None if unknown.
    """

    token: str
    outcome: RequestOutcome
    log_index: int = 0
    problem: Problem | None = None
    leader: ReplicaId | None = None


class Role(StrEnum):
    """Role of a replica.

    An ``OUTSIDER`` is not in the configuration. A ``FAILED`` replica could not persist
    its state and no longer participates.
    """

    OUTSIDER = "outsider"
    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


class RoleChanged(NamedTuple):
    """Action: note that the replica's role or leader has changed.

    Attributes:
        role: New role.
        term: Current term.
        leader: Current leader, or None if unknown.
    """

    role: Role
    term: int
    leader: ReplicaId | None


Event = (
    MessageReceived
    | Tick
    | Propose
    | Read
    | ChangeMembership
    | TransferLeadership
    | Persisted
    | PersistFailed
    | SnapshotTaken
)
Action = Send | Persist | Apply | InstallSnapshot | TakeSnapshot | Reply | RoleChanged
