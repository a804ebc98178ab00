"""What a replica is told and what it asks for."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from kumquatmux_agreement.entries import Entry, ReplicaId, Snapshot, VoteRecord
from kumquatmux_agreement.messages import Message
from kumquatmux_core.identity import VmId
from kumquatmux_core.problems import Problem


class Received(NamedTuple):
    """A message from another replica arrived."""

    message: Message


class Tick(NamedTuple):
    """Time has passed; due heartbeats and timeouts are looked at."""


class Propose(NamedTuple):
    """Put bytes into the log; answered by one ``Reply`` with the same token."""

    data: bytes
    token: str


class Read(NamedTuple):
    """Ask whether the applied state is the latest; answered by one ``Reply``."""

    token: str


class ChangeMembership(NamedTuple):
    """Make these the control VMs; at most one joins and one goes at a time.

    The reply comes when the wish is in the log. New VMs vote once they have joined
    and caught up, which ``Replica.status`` shows.
    """

    vms: tuple[VmId, ...]
    token: str


class HandOver(NamedTuple):
    """The process is about to stop: a leader asks another voter to lead."""


class Persisted(NamedTuple):
    """A ``Persist`` has been synced. They are reported in the order of asking."""

    number: int


class PersistFailed(NamedTuple):
    """A ``Persist`` could not be synced; the replica takes no further part."""

    number: int
    problem: Problem


class SnapshotTaken(NamedTuple):
    """The embedding program's state after an entry, asked for by ``TakeSnapshot``."""

    log_index: int
    data: bytes


class Send(NamedTuple):
    """Send a message to a VM; it may get lost, late or doubled."""

    to: VmId
    message: Message


class Persist(NamedTuple):
    """Make all of this durable, in the order of asking, then tell ``Persisted``.

    Attributes:
        number: Echoed by ``Persisted``.
        vote: The vote record to replace the former one, None if unchanged.
        entries: Entries to append. An entry whose index is already in the log
            replaces it and drops all that follow.
        snapshot: Replaces the former one and the log up to it, None if unchanged.
        keep_entries: With a snapshot: whether the entries after it stay.
    """

    number: int
    vote: VoteRecord | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    keep_entries: bool = True


class Apply(NamedTuple):
    """Committed entries that hold data, in order, to be run by the program.

    An entry comes once in the life of a replica object, and again after a restart
    if it is later than the snapshot.
    """

    entries: tuple[Entry, ...]


class InstallSnapshot(NamedTuple):
    """Replace the program's state by this snapshot."""

    snapshot: Snapshot


class TakeSnapshot(NamedTuple):
    """Hand in the state after this entry, which is the last one applied."""

    log_index: int


class Outcome(StrEnum):
    """What became of what was asked.

    ``REFUSED`` is said only of what never entered any log.
    """

    COMMITTED = "committed"
    CURRENT = "current"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Reply(NamedTuple):
    """The answer to ``Propose``, ``Read`` or ``ChangeMembership``.

    Attributes:
        token: The token of the question.
        outcome: What became of it. A proposal that may have been lost is
            ``UNKNOWN``.
        log_index: The committed entry, or the applied one a read may use.
        problem: Why it was refused or is unknown, else None.
        leader: The leader if known, to ask instead.
    """

    token: str
    outcome: Outcome
    log_index: int = 0
    problem: Problem | None = None
    leader: ReplicaId | None = None


class Role(StrEnum):
    """What a replica is at the moment."""

    OUTSIDER = "outsider"
    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


class RoleChanged(NamedTuple):
    """The replica has another role, term or leader."""

    role: Role
    term: int
    leader: ReplicaId | None


Event = (
    Received
    | Tick
    | Propose
    | Read
    | ChangeMembership
    | HandOver
    | Persisted
    | PersistFailed
    | SnapshotTaken
)
Action = Send | Persist | Apply | InstallSnapshot | TakeSnapshot | Reply | RoleChanged
