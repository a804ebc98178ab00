"""Replica state and operations that are common to all roles."""

from __future__ import annotations

import math
from random import Random

from kumquatmux_agreement.election import Election
from kumquatmux_agreement.entries import (
    DurableState,
    Entry,
    EntryKind,
    ReplicaId,
    Snapshot,
    VoteRecord,
)
from kumquatmux_agreement.events import (
    Action,
    Apply,
    Persist,
    Reply,
    RequestOutcome,
    Role,
    RoleChanged,
    Send,
    TakeSnapshot,
)
from kumquatmux_agreement.leadership import LeaderState
from kumquatmux_agreement.log import Log
from kumquatmux_agreement.messages import Message
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_core.problems import Problem


class PendingPersist:
    """``Persist`` action that has not been confirmed.

    Attributes:
        last_index: Last entry that is durable once the action is confirmed.
        deferred_actions: Actions to request once the action is confirmed.
    """

    def __init__(self, last_index: int) -> None:
        self.last_index = last_index
        self.deferred_actions: list[Action] = []


class IncomingSnapshot:
    """Snapshot that is being received in chunks.

    Attributes:
        log_index: Last entry included.
        term: Term of the leader that sends the snapshot.
        data: Bytes received so far, without a gap.
    """

    def __init__(self, log_index: int, term: int) -> None:
        self.log_index = log_index
        self.term = term
        self.data = bytearray()


class ReplicaCore:
    """Replica state that does not depend on the role.

    The steady clock counts seconds since the start. It never goes back and advances by
    at most ``max_event_gap_s`` between two events.

    Attributes:
        settings: Identity, timing and limits of the replica.
        random: Random source of election timeouts.
        vote_record: Current term and vote.
        log: Log in memory.
        persisted_index: Last entry known to be durable on this replica's disk.
        commit_index: Last entry known to be committed.
        role: Current role.
        leader: Leader that the replica follows, or None if unknown.
        leader_state: Leader state, or None if the replica is not the leader.
        election: Election in which the replica is the candidate, or None.
        incoming_snapshot: Snapshot that is being received, or None.
        failure: Problem that made the replica fail, or None.
        now: Time of the latest event on the caller's clock, in seconds.
        steady_now: Current time on the steady clock.
        last_leader_contact_at: Time of the last message from a leader, on the steady
            clock.
        election_deadline: Time at which the next pre-vote starts, on the steady clock.
        election_retry_at: Earliest time of a new pre-vote after an election is started,
            on the steady clock.
        next_join_request_at: Time of the next join request, on the steady clock.
        last_snapshot_index: Last entry of the latest requested or installed snapshot.
        last_persist_number: Number of the latest ``Persist`` action.
        pending_persists: Unconfirmed ``Persist`` actions by number, in order.
        actions: Actions requested by the event that is being handled.
    """

    def __init__(
        self, settings: ReplicaSettings, durable_state: DurableState, random: Random
    ) -> None:
        self.settings = settings
        self.random = random
        self.vote_record = durable_state.vote
        self.log = Log(durable_state.snapshot, durable_state.entries)
        self.persisted_index = self.log.last_index
        self.commit_index = durable_state.snapshot.log_index
        self.role = Role.FOLLOWER
        self.leader: ReplicaId | None = None
        self.leader_state: LeaderState | None = None
        self.election: Election | None = None
        self.incoming_snapshot: IncomingSnapshot | None = None
        self.failure: Problem | None = None
        self.now = -math.inf
        self.steady_now = 0.0
        start_timeout_s = settings.start_timeout_s
        if settings.lease_fraction and start_timeout_s < settings.election_timeout_s:
            raise ValueError(
                "a read lease requires start_timeout_s >= election_timeout_s"
            )
        self.last_leader_contact_at = start_timeout_s - settings.election_timeout_s
        self.next_join_request_at = 0.0
        self.schedule_elections()
        self.last_snapshot_index = durable_state.snapshot.log_index
        self.last_persist_number = 0
        self.pending_persists: dict[int, PendingPersist] = {}
        self.actions: list[Action] = []
        self.role = self.passive_role()

    @property
    def replica_id(self) -> ReplicaId:
        """Identity of this replica."""
        return self.settings.replica_id

    @property
    def term(self) -> int:
        """Current term."""
        return self.vote_record.term

    @property
    def cluster(self) -> str:
        """Cluster name with its origin, or without it while that is unknown."""
        origin = self.log.configuration.origin
        name = self.settings.cluster
        return f"{name}/{origin}" if origin else name

    def accepts_cluster(self, cluster: str) -> bool:
        """Return whether messages with this cluster name are accepted.

        While the replica does not know its cluster's origin, it accepts any origin.
        """
        if cluster == self.cluster:
            return True
        has_no_origin = not self.log.configuration.origin
        return has_no_origin and cluster.startswith(self.settings.cluster + "/")

    @property
    def can_start_election(self) -> bool:
        """Whether the replica is a voter in the latest or the committed configuration.

        A voter whose removal is not committed may still have to lead, because its log
        may be the most complete one.
        """
        committed_configuration = self.log.configuration_at(self.commit_index)
        return (
            self.replica_id
            in self.log.configuration.voters + committed_configuration.voters
        )

    def random_election_deadline(self) -> float:
        """Return a random deadline between one and two election timeouts from now."""
        election_timeout_s = self.settings.election_timeout_s
        return self.steady_now + election_timeout_s * (1 + self.random.random())

    def schedule_elections(self) -> None:
        """Draw random times for the next pre-vote and for a retry after an election.

        A pre-vote does not bind voters and may be repeated soon. An election uses up
        the votes of its term, so candidates that split them must retry at different
        times.
        """
        timeout_factor = 1 + self.random.random()
        self.election_deadline = (
            self.steady_now + self.settings.start_timeout_s * timeout_factor
        )
        self.election_retry_at = (
            self.steady_now + self.settings.election_timeout_s * timeout_factor
        )

    def advance_clock(self, now: float) -> None:
        """Advance both clocks, and discard round start times after a clock jump.

        Args:
            now: Time on the caller's clock, in seconds.
        """
        elapsed = now - self.now if math.isfinite(self.now) else 0.0
        self.now = now
        self.steady_now += min(max(elapsed, 0.0), self.settings.max_event_gap_s)
        has_jumped = not 0.0 <= elapsed <= self.settings.max_event_gap_s
        if has_jumped and self.leader_state is not None:
            self.leader_state.discard_send_times()

    def passive_role(self) -> Role:
        """Return the role of this replica as neither leader nor candidate."""
        configuration = self.log.configuration
        if self.can_start_election:
            return Role.FOLLOWER
        if self.replica_id in configuration.learners:
            return Role.LEARNER
        return Role.OUTSIDER

    def set_role(self, role: Role, leader: ReplicaId | None) -> None:
        """Change the role or leader and report the change."""
        if (role, leader) == (self.role, self.leader):
            return
        self.role = role
        self.leader = leader
        log_decision(
            "agreement-role",
            replica=self.replica_id,
            role=role,
            term=self.term,
            leader=leader,
        )
        self.actions.append(RoleChanged(role, self.term, leader))

    def send(self, message: Message, to: VmId) -> None:
        """Request that a message be sent at once."""
        self.actions.append(Send(to, message))

    def send_after_persist(self, message: Message, to: VmId) -> None:
        """Request that a message be sent once all pending persists are confirmed."""
        if self.pending_persists:
            last_persist = next(reversed(self.pending_persists.values()))
            last_persist.deferred_actions.append(Send(to, message))
        else:
            self.send(message, to)

    def persist(
        self,
        *,
        vote: VoteRecord | None = None,
        entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
        keep_entries: bool = True,
    ) -> None:
        """Request that state be made durable."""
        self.last_persist_number += 1
        persist_number = self.last_persist_number
        self.pending_persists[persist_number] = PendingPersist(self.log.last_index)
        self.actions.append(
            Persist(persist_number, vote, entries, snapshot, keep_entries)
        )

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries to the log and request that they be made durable."""
        first_index = entries[0].log_index
        if first_index <= self.commit_index:
            raise AssertionError(f"cannot replace committed entry {first_index}")
        self.persisted_index = min(self.persisted_index, first_index - 1)
        for pending_persist in self.pending_persists.values():
            pending_persist.last_index = min(
                pending_persist.last_index, first_index - 1
            )
        self.log.append(entries)
        self.persist(entries=entries)
        if any(entry.kind == EntryKind.CONFIGURATION for entry in entries):
            self.apply_latest_configuration()

    def apply_latest_configuration(self) -> None:
        """Adapt the role or the leader state to the log's latest configuration."""
        log_decision(
            "agreement-configuration",
            replica=self.replica_id,
            index=self.log.configuration_index,
            voters=",".join(map(str, self.log.configuration.voters)),
            learners=",".join(map(str, self.log.configuration.learners)),
        )
        if self.leader_state is not None:
            next_index = self.log.last_index + 1
            self.leader_state.track_members(
                self.log.configuration, next_index, self.steady_now
            )
        elif self.role not in (Role.CANDIDATE, Role.FAILED):
            self.set_role(self.passive_role(), self.leader)

    def enter_term(self, term: int, leader: ReplicaId | None) -> None:
        """Enter a later term as a follower."""
        self.vote_record = VoteRecord(term)
        self.persist(vote=self.vote_record)
        self.step_down("a later term has begun")
        self.set_role(self.passive_role(), leader)

    def step_down(self, reason: str) -> None:
        """End leadership or candidacy and answer all open requests.

        Args:
            reason: Why leadership ends, for the log and the replies.
        """
        self.election = None
        leader_state = self.leader_state
        self.leader_state = None
        if leader_state is None:
            return
        log_decision("agreement-step-down", replica=self.replica_id, reason=reason)
        unknown_problem = Problem(
            "outcome-unknown", f"the leader stepped down: {reason}"
        )
        for token in leader_state.pending_proposals.values():
            self.actions.append(
                Reply(token, RequestOutcome.UNKNOWN, 0, unknown_problem, self.leader)
            )
        not_leader_problem = Problem("not-leader", f"the leader stepped down: {reason}")
        for read in leader_state.pending_reads:
            self.actions.append(
                Reply(read.token, RequestOutcome.REFUSED, 0, not_leader_problem)
            )
        self.election_deadline = self.random_election_deadline()

    def commit_up_to(self, index: int) -> None:
        """Commit entries, request their application and answer their proposals."""
        if index <= self.commit_index:
            return
        entries = self.log.entries_between(self.commit_index + 1, index)
        self.commit_index = index
        data_entries = tuple(entry for entry in entries if entry.kind == EntryKind.DATA)
        if data_entries:
            self.actions.append(Apply(data_entries))
        if self.leader_state is not None:
            self.reply_to_committed(entries)
        snapshot_due_index = (
            self.last_snapshot_index + self.settings.snapshot_interval_entries
        )
        if index >= snapshot_due_index:
            self.last_snapshot_index = index
            self.actions.append(TakeSnapshot(index))

    def reply_to_committed(self, entries: tuple[Entry, ...]) -> None:
        """Answer the proposals and membership changes in committed entries."""
        leader_state = self.leader_state
        if leader_state is None:
            return
        for entry in entries:
            token = leader_state.pending_proposals.pop(entry.log_index, None)
            if token is not None:
                reply = Reply(
                    token,
                    RequestOutcome.COMMITTED,
                    entry.log_index,
                    None,
                    self.replica_id,
                )
                self.actions.append(reply)

    def fail(self, problem: Problem) -> None:
        """Stop participating after a failed write, as the disk state is unknown."""
        self.failure = problem
        self.pending_persists.clear()
        self.step_down(str(problem))
        self.set_role(Role.FAILED, None)
