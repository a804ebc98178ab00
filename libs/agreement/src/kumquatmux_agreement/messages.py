"""Messages between replicas and their codec registry."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_agreement.entries import Configuration, Entry, ReplicaId
from kumquatmux_core.codec import registry


class VoteRequest(NamedTuple):
    """Request for a vote or a pre-vote.

    Attributes:
        cluster: Name of the sender's cluster.
        sender: Candidate.
        to: Replica that is asked.
        term: Term of the election.
        last_index: Index of the last entry in the candidate's log.
        last_term: Term of that entry.
        is_pre_vote: Whether this is a pre-vote, which does not bind the voter.
        is_leadership_transfer: Whether the leader asked the candidate to replace it.
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
    """Reply to a ``VoteRequest``.

    Attributes:
        cluster: Name of the cluster.
        sender: Replica that replies.
        to: Candidate.
        term: Term of the election if the vote is granted, else the sender's term.
        is_pre_vote: Whether this is the reply to a pre-vote.
        is_granted: Whether the vote is granted.
    """

    cluster: str
    sender: ReplicaId
    to: ReplicaId
    term: int
    is_pre_vote: bool
    is_granted: bool


class AppendRequest(NamedTuple):
    """Entries sent by the leader; without entries a heartbeat.

    Attributes:
        cluster: Name of the cluster.
        sender: Leader.
        to: Recipient.
        term: Leader's term.
        previous_index: Index of the entry before ``entries``.
        previous_term: Term of that entry.
        entries: Entries in log order.
        commit_index: Last entry that the leader knows to be committed.
        round: Number of the leader's current round, repeated in the reply.
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
    """Reply to an ``AppendRequest`` or to the last chunk of a snapshot.

    Attributes:
        cluster: Name of the cluster.
        sender: Replica that replies.
        to: Leader.
        term: Sender's term.
        is_matched: Whether the sender's log contains the entry before the sent ones.
        log_index: If matched, the last entry up to which the logs are equal and
            persisted; otherwise the next entry that the leader should send.
        round: Round of the request.
    """

    cluster: str
    sender: ReplicaId
    to: ReplicaId
    term: int
    is_matched: bool
    log_index: int
    round: int


class SnapshotChunk(NamedTuple):
    """Chunk of the leader's snapshot.

    Attributes:
        cluster: Name of the cluster.
        sender: Leader.
        to: Recipient.
        term: Leader's term.
        log_index: Last entry included in the snapshot.
        log_term: Term of that entry.
        configuration: Configuration as of that entry.
        offset: Position of the chunk in the snapshot, in bytes.
        total_bytes: Size of the complete snapshot in bytes.
        data: Content of the chunk.
        round: Number of the leader's current round, repeated in the reply.
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
    """Reply to a ``SnapshotChunk`` while the snapshot is incomplete.

    Attributes:
        cluster: Name of the cluster.
        sender: Replica that replies.
        to: Leader.
        term: Sender's term.
        log_index: Last entry included in the snapshot.
        received_bytes: Number of bytes received without a gap.
        round: Round of the chunk.
    """

    cluster: str
    sender: ReplicaId
    to: ReplicaId
    term: int
    log_index: int
    received_bytes: int
    round: int


class JoinRequest(NamedTuple):
    """Request by a replica outside the configuration to join the cluster.

    Attributes:
        cluster: Name of the cluster, without the origin if the sender does not know it.
        sender: Replica that asks to join.
    """

    cluster: str
    sender: ReplicaId


class StandNow(NamedTuple):
    """Request by a stopping leader for a voter to start an election at once.

    Attributes:
        cluster: Name of the cluster.
        sender: Leader.
        to: Voter, whose log is equal to the leader's.
        term: Leader's term.
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
"""Message types by kind, for the codec registry of a channel."""

MESSAGE_REGISTRY = registry(MESSAGE_TYPES)
