"""Messages between replicas, and the registry that carries them."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_agreement.entries import Configuration, Entry, ReplicaId
from kumquatmux_core.codec import registry


class VoteRequest(NamedTuple):
    """Ask for a vote, or whether it would be given.

    Attributes:
        cluster: Name of the cluster the sender belongs to.
        sender: The candidate.
        to: Whom it is for.
        term: Term the candidate stands in.
        last_index: Last entry of its log.
        last_term: Term of that entry.
        is_trial: Whether this is the pre-vote, which binds nobody.
        is_handover: Whether the leader asked the sender to stand in its place.
    """

    cluster: str
    sender: ReplicaId
    to: ReplicaId
    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool
    is_leadership_transfer: bool = False


class VoteReply(NamedTuple):
    """The answer to a ``VoteRequest``.

    Attributes:
        cluster: Name of the cluster.
        sender: Who answers.
        to: The candidate.
        term: Term asked for if granted, else the sender's own.
        is_trial: Whether it answers a pre-vote.
        is_granted: Whether the vote is given.
    """

    cluster: str
    sender: ReplicaId
    to: ReplicaId
    term: int
    is_pre_vote: bool
    is_granted: bool


class AppendRequest(NamedTuple):
    """Entries from the leader; a heartbeat if there are none.

    Attributes:
        cluster: Name of the cluster.
        sender: The leader.
        to: Whom it is for.
        term: The leader's term.
        previous_index: Entry before the first one carried.
        previous_term: Term of that entry.
        entries: The entries, in order.
        commit: Highest entry known to be committed.
        round: Number of the sending, echoed by the answer.
    """

    cluster: str
    sender: ReplicaId
    to: ReplicaId
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int


class AppendReply(NamedTuple):
    """The answer to an ``AppendRequest`` or to the last chunk of a snapshot.

    Attributes:
        cluster: Name of the cluster.
        sender: Who answers.
        to: The leader.
        term: The sender's term.
        is_matched: Whether the sender's log holds the entry before the first one.
        log_index: Entry up to which the logs are equal and synced if matched, else
            where the leader should try next.
        round: The round answered.
    """

    cluster: str
    sender: ReplicaId
    to: ReplicaId
    term: int
    is_matched: bool
    log_index: int
    round: int


class SnapshotChunk(NamedTuple):
    """A part of the leader's snapshot.

    Attributes:
        cluster: Name of the cluster.
        sender: The leader.
        to: Whom it is for.
        term: The leader's term.
        log_index: Last entry the snapshot contains.
        index_term: Term of that entry.
        configuration: Configuration at that entry.
        offset: Where this part begins, in bytes.
        total: Length of the whole snapshot in bytes.
        data: This part.
        round: Number of the sending, echoed by the answer.
    """

    cluster: str
    sender: ReplicaId
    to: ReplicaId
    term: int
    log_index: int
    log_term: int
    configuration: Configuration
    offset: int
    total_bytes: int
    data: bytes
    round: int


class SnapshotReply(NamedTuple):
    """How much of a snapshot has arrived.

    Attributes:
        cluster: Name of the cluster.
        sender: Who answers.
        to: The leader.
        term: The sender's term.
        log_index: Last entry of the snapshot.
        received: Bytes received without a gap.
        round: The round answered.
    """

    cluster: str
    sender: ReplicaId
    to: ReplicaId
    term: int
    log_index: int
    received_bytes: int
    round: int


class JoinRequest(NamedTuple):
    """A replica outside the configuration asks to be let in.

    Attributes:
        cluster: Name of the cluster, without an origin if the sender knows none yet.
        sender: Who asks.
    """

    cluster: str
    sender: ReplicaId


class StandNow(NamedTuple):
    """A leader that stops asks a voter to stand for election at once.

    Attributes:
        cluster: Name of the cluster.
        sender: The leader.
        to: The voter, whose log equals the leader's.
        term: The leader's term.
    """

    cluster: str
    sender: ReplicaId
    to: ReplicaId
    term: int


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | JoinRequest
    | StandNow
)

MESSAGE_TYPES: dict[int, type] = {
    0x0301: VoteRequest,
    0x0302: VoteReply,
    0x0303: AppendRequest,
    0x0304: AppendReply,
    0x0305: SnapshotChunk,
    0x0306: SnapshotReply,
    0x0307: JoinRequest,
    0x0308: StandNow,
}
"""Message types by kind, to be merged into the registry of a channel."""

MESSAGES = registry(MESSAGE_TYPES)
