"""State that a replica keeps only while it is the leader."""

from __future__ import annotations

import math
from typing import NamedTuple

from kumquatmux_agreement.entries import Configuration, ReplicaId, Snapshot
from kumquatmux_agreement.log import Log
from kumquatmux_agreement.settings import ReplicaSettings

MAX_TRACKED_ROUNDS = 64
"""Number of latest rounds whose start times are kept."""


class ReplicationProgress:
    """Replication progress of one other member.

    Attributes:
        match_index: Last entry that is known to be persisted by the member and equal
            to the leader's.
        next_index: Next entry to send.
        acknowledged_round: Latest round that the member has replied to.
        acknowledged_sent_at: Start of the latest round that the member has replied to,
            on the caller's clock in seconds; -inf if unknown.
        last_contact_at: Time of the member's last reply on the leader's steady clock,
            in seconds.
        snapshot: Snapshot that is being sent to the member, or None.
        received_bytes: Number of bytes of that snapshot that the member has received.
        sent_commit_index: Last commit index sent to the member, -1 before the first.
    """

    def __init__(self, next_index: int, last_contact_at: float) -> None:
        self.match_index = 0
        self.next_index = next_index
        self.acknowledged_round = 0
        self.acknowledged_sent_at = -math.inf
        self.last_contact_at = last_contact_at
        self.snapshot: Snapshot | None = None
        self.received_bytes = 0
        self.sent_commit_index = -1


class PendingRead(NamedTuple):
    """Read request that waits until a quorum has replied to a round.

    Attributes:
        token: Token of the request, repeated in the reply.
        round: Round that a quorum has to reply to.
    """

    token: str
    round: int


class LeaderState:
    """Leader's state of the other members and of unanswered requests.

    A round starts with a broadcast to all members. Messages carry the number of their
    round and replies repeat it, so that the leader knows how recent a reply is.

    Attributes:
        settings: Settings of the replica.
        progress: Replication progress by member, without the leader itself.
        pending_proposals: Request token by the index of the uncommitted entry.
        pending_reads: Read requests that wait for a quorum.
        join_requests: Time of the latest join request by replica, on the steady clock
            in seconds.
        round: Number of the latest round.
        round_sent_at: Start of the latest rounds on the caller's clock, in seconds.
        next_heartbeat_at: Time of the next heartbeat on the steady clock, in seconds.
        leading_since: Time at which leadership began on the steady clock, in seconds.
        term_start_index: First entry of the leader's own term. Until it is committed,
            the leader cannot know which earlier entries are committed.
    """

    def __init__(
        self, settings: ReplicaSettings, log: Log, steady_now: float, now: float
    ) -> None:
        self.settings = settings
        self.progress: dict[ReplicaId, ReplicationProgress] = {}
        self.pending_proposals: dict[int, str] = {}
        self.pending_reads: list[PendingRead] = []
        self.join_requests: dict[ReplicaId, float] = {}
        self.round = 0
        self.round_sent_at: dict[int, float] = {}
        self.next_heartbeat_at = steady_now
        self.leading_since = steady_now
        self.term_start_index = log.last_index + 1
        self.track_members(log.configuration, log.last_index + 1, steady_now)
        self.begin_round(now)

    def track_members(
        self, configuration: Configuration, next_index: int, steady_now: float
    ) -> None:
        """Track the progress of exactly the other members of a configuration.

        Args:
            configuration: Configuration whose members are tracked.
            next_index: Next entry to send to a member that was not tracked before.
            steady_now: Current time on the steady clock, in seconds.
        """
        other_members = [
            member
            for member in configuration.members
            if member != self.settings.replica_id
        ]
        progress_by_member = {
            member: self.progress.get(member) for member in other_members
        }
        self.progress = {
            member: progress or ReplicationProgress(next_index, steady_now)
            for member, progress in progress_by_member.items()
        }

    def begin_round(self, now: float) -> None:
        """Start the next round and record its start time."""
        self.round += 1
        self.round_sent_at[self.round] = now
        self.round_sent_at.pop(self.round - MAX_TRACKED_ROUNDS, None)

    def discard_send_times(self) -> None:
        """Discard the start times of all rounds after a clock jump."""
        self.round_sent_at.clear()
        for progress in self.progress.values():
            progress.acknowledged_sent_at = -math.inf

    def record_reply(
        self, sender: ReplicaId, round_number: int, steady_now: float
    ) -> ReplicationProgress | None:
        """Record a member's reply to a round and return the member's progress.

        Args:
            sender: Replica that replied.
            round_number: Round that the reply repeats.
            steady_now: Current time on the steady clock, in seconds.

        Returns:
            The sender's progress, or None if the sender is not a member.
        """
        progress = self.progress.get(sender)
        if progress is None:
            return None
        progress.last_contact_at = steady_now
        progress.acknowledged_round = max(progress.acknowledged_round, round_number)
        sent_at = self.round_sent_at.get(round_number, -math.inf)
        progress.acknowledged_sent_at = max(progress.acknowledged_sent_at, sent_at)
        return progress

    def lease_expires_at(self, configuration: Configuration, now: float) -> float:
        """Return when the read lease expires, on the caller's clock in seconds.

        No other replica can become leader before that time.
        """
        own_id = self.settings.replica_id
        acknowledged_times = [
            now if voter == own_id else self.progress[voter].acknowledged_sent_at
            for voter in configuration.voters
        ]
        lease_duration = self.settings.election_timeout_s * self.settings.lease_fraction
        return _quorum_value(acknowledged_times, configuration.quorum) + lease_duration

    def quorum_round(self, configuration: Configuration) -> int:
        """Return the latest round that a quorum has replied to."""
        own_id = self.settings.replica_id
        rounds = [
            self.round if voter == own_id else self.progress[voter].acknowledged_round
            for voter in configuration.voters
        ]
        return int(_quorum_value(rounds, configuration.quorum))

    def quorum_match_index(
        self, configuration: Configuration, persisted_index: int
    ) -> int:
        """Return the last entry that a quorum has persisted.

        Args:
            configuration: Configuration whose voters are counted.
            persisted_index: Last entry that the leader itself has persisted.
        """
        own_id = self.settings.replica_id
        indexes = [
            persisted_index if voter == own_id else self.progress[voter].match_index
            for voter in configuration.voters
        ]
        return int(_quorum_value(indexes, configuration.quorum))

    def live_members(self, steady_now: float) -> frozenset[ReplicaId]:
        """Return the leader and members that replied within the election timeout."""
        contact_cutoff = steady_now - self.settings.election_timeout_s
        recent_members = {
            member
            for member, progress in self.progress.items()
            if progress.last_contact_at > contact_cutoff
        }
        return frozenset(recent_members | {self.settings.replica_id})

    def oldest_sent_snapshot_index(self, steady_now: float) -> int | None:
        """Return the lowest index of a snapshot that is being sent to a live member."""
        live_members = self.live_members(steady_now)
        sent_indexes = [
            progress.snapshot.log_index
            for member, progress in self.progress.items()
            if progress.snapshot is not None and member in live_members
        ]
        return min(sent_indexes, default=None)

    def recent_join_requests(self, steady_now: float) -> tuple[ReplicaId, ...]:
        """Return the non-members that sent a join request recently, sorted by ID.

        Requests older than three join periods are discarded.
        """
        request_cutoff = steady_now - 3 * self.settings.join_period_s
        recent_requests = {
            replica: requested_at
            for replica, requested_at in self.join_requests.items()
            if requested_at > request_cutoff
        }
        self.join_requests = recent_requests
        members = {*self.progress, self.settings.replica_id}
        return tuple(
            sorted(replica for replica in recent_requests if replica not in members)
        )


def _quorum_value(values: list[float] | list[int], quorum: int) -> float:
    """Return the highest value that a quorum has reached, 0 without a quorum."""
    descending = sorted(values, reverse=True)
    return descending[quorum - 1] if len(descending) >= quorum > 0 else 0
