"""What a leader keeps while it leads."""

from __future__ import annotations

import math
from typing import NamedTuple

from kumquatmux_agreement.entries import Configuration, ReplicaId, Snapshot
from kumquatmux_agreement.log import Log
from kumquatmux_agreement.settings import ReplicaSettings

MAX_TRACKED_ROUNDS = 64
"""Rounds whose time of sending is remembered."""


class ReplicationProgress:
    """How far one follower is.

    Attributes:
        match: Entry up to which its synced log equals the leader's.
        next: Entry to be sent next.
        round: Latest round it answered.
        confirmed: When that round was sent by the leader's clock, in seconds.
        heard_at: When it last answered, on the replica's steady clock.
        snapshot: The snapshot being sent to it, None for none.
        received: Bytes of it that have arrived.
        told_commit: Commit index it was last told.
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
    """A read that waits for a round to be answered by a quorum."""

    token: str
    round: int


class LeaderState:
    """The leader's knowledge of its followers and of what it owes answers for.

    Attributes:
        progress: Each other member's progress.
        pending: Token to answer by index of a proposal.
        reads: Reads that wait.
        joining: When replicas outside last asked to join, steady seconds.
        round: Number of the latest round.
        heartbeat_at: When the next heartbeat is due, steady seconds.
        since: When it began to lead, steady seconds.
        first_index: Its first entry; nothing is known committed before that one.
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
        self.first_index = log.last_index + 1
        self.track_members(log.configuration, log.last_index + 1, steady_now)
        self.begin_round(now)

    def track_members(
        self, configuration: Configuration, next_index: int, steady_now: float
    ) -> None:
        """Keep progress for just the other members of a configuration."""
        other_members = [
            member
            for member in configuration.members
            if member != self.settings.replica
        ]
        progress_by_member = {
            member: self.progress.get(member) for member in other_members
        }
        self.progress = {
            member: progress or ReplicationProgress(next_index, steady_now)
            for member, progress in progress_by_member.items()
        }

    def begin_round(self, now: float) -> None:
        """Number the messages sent from now on."""
        self.round += 1
        self.round_sent_at[self.round] = now
        self.round_sent_at.pop(self.round - MAX_TRACKED_ROUNDS, None)

    def discard_send_times(self) -> None:
        """Trust no time of sending from before a jump of the clock."""
        self.round_sent_at.clear()
        for progress in self.progress.values():
            progress.acknowledged_sent_at = -math.inf

    def record_reply(
        self, sender: ReplicaId, round_number: int, steady_now: float
    ) -> ReplicationProgress | None:
        """Note an answer to a round; None if the sender is no member."""
        progress = self.progress.get(sender)
        if progress is None:
            return None
        progress.last_contact_at = steady_now
        progress.acknowledged_round = max(progress.acknowledged_round, round_number)
        sent_at = self.round_sent_at.get(round_number, -math.inf)
        progress.acknowledged_sent_at = max(progress.acknowledged_sent_at, sent_at)
        return progress

    def lease_expires_at(self, configuration: Configuration, now: float) -> float:
        """Return until when no other leader can exist, by the leader's clock."""
        own_id = self.settings.replica
        acknowledged_times = [
            now if voter == own_id else self.progress[voter].acknowledged_sent_at
            for voter in configuration.voters
        ]
        lease_duration = self.settings.election_timeout_s * self.settings.lease_share
        return _quorum_value(acknowledged_times, configuration.quorum) + lease_duration

    def quorum_round(self, configuration: Configuration) -> int:
        """Return the latest round that a quorum has answered."""
        own_id = self.settings.replica
        rounds = [
            self.round if voter == own_id else self.progress[voter].acknowledged_round
            for voter in configuration.voters
        ]
        return int(_quorum_value(rounds, configuration.quorum))

    def quorum_match_index(self, configuration: Configuration, synced: int) -> int:
        """Return the last entry that a quorum has synced."""
        own_id = self.settings.replica
        indexes = [
            synced if voter == own_id else self.progress[voter].match_index
            for voter in configuration.voters
        ]
        return int(_quorum_value(indexes, configuration.quorum))

    def live_members(self, steady_now: float) -> frozenset[ReplicaId]:
        """Return the members heard within the election timeout, itself included."""
        contact_cutoff = steady_now - self.settings.election_timeout_s
        recent_members = {
            member
            for member, progress in self.progress.items()
            if progress.last_contact_at > contact_cutoff
        }
        return frozenset(recent_members | {self.settings.replica})

    def oldest_sent_snapshot_index(self, steady_now: float) -> int | None:
        """Return the last entry of the oldest snapshot on its way to a live member."""
        live_members = self.live_members(steady_now)
        sent_indexes = [
            progress.snapshot.log_index
            for member, progress in self.progress.items()
            if progress.snapshot is not None and member in live_members
        ]
        return min(sent_indexes, default=None)

    def recent_join_requests(self, steady_now: float) -> tuple[ReplicaId, ...]:
        """Return who asked to join lately, by name."""
        request_cutoff = steady_now - 3 * self.settings.join_period_s
        recent_requests = {
            who: at for who, at in self.join_requests.items() if at > request_cutoff
        }
        self.join_requests = recent_requests
        members = {*self.progress, self.settings.replica}
        return tuple(sorted(who for who in recent_requests if who not in members))


def _quorum_value(values: list[float] | list[int], quorum: int) -> float:
    """Return the highest value that a quorum has reached."""
    descending = sorted(values, reverse=True)
    return descending[quorum - 1] if len(descending) >= quorum > 0 else 0
