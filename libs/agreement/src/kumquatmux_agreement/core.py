"""State of a replica and the steps that every role shares."""

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
    Outcome,
    Persist,
    Reply,
    Role,
    RoleChanged,
    Send,
    TakeSnapshot,
)
from kumquatmux_agreement.leader_state import LeaderState
from kumquatmux_agreement.log import Log
from kumquatmux_agreement.messages import Message
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_core.problems import Problem


class PendingPersist:
    """A ``Persist`` that has not been confirmed.

    Attributes:
        last_index: Entry up to which the log is synced once it is.
        then: Actions that have to wait for it.
    """

    def __init__(self, last_index: int) -> None:
        self.last_index = last_index
        self.deferred_actions: list[Action] = []


class IncomingSnapshot:
    """A snapshot that arrives in parts.

    Attributes:
        log_index: Last entry it contains.
        term: Term of the leader that sends it.
        data: What has arrived without a gap.
    """

    def __init__(self, log_index: int, term: int) -> None:
        self.log_index = log_index
        self.term = term
        self.data = bytearray()


class ReplicaCore:
    """What a replica knows, whatever its role.

    Attributes:
        settings: Who it is and how it keeps time.
        random: Source of election timeouts.
        vote: Its term and vote.
        log: Its log.
        synced: Last entry known to be on its own disk.
        commit: Last entry known to be committed.
        role: What it is at the moment.
        leader: The leader it follows, if known.
        leadership: What it keeps while it leads.
        election: The votes it gathers as a candidate.
        incoming: The snapshot that arrives.
        now: The caller's clock, in seconds.
        clock: Steady clock in seconds: it never goes back, and counts a gap
            between two events as ``clock_gap_s`` at most.
        heard_at: When a leader was heard last, on the steady clock.
        election_at: When it stands for election, on the steady clock.
        retry_at: When it stands again at the earliest if it does not win.
        out: The actions of the event being handled.
    """

    def __init__(
        self, settings: ReplicaSettings, durable_state: DurableState, random: Random
    ) -> None:
        self.settings = settings
        self.random = random
        self.vote_record = durable_state.vote
        self.log = Log(durable_state.snapshot, durable_state.entries)
        self.synced_index = self.log.last_index
        self.commit = durable_state.snapshot.log_index
        self.role = Role.FOLLOWER
        self.leader: ReplicaId | None = None
        self.leadership: LeaderState | None = None
        self.election: Election | None = None
        self.incoming_snapshot: IncomingSnapshot | None = None
        self.failure: Problem | None = None
        self.now = -math.inf
        self.clock = 0.0
        start_timeout_s = settings.start_timeout_s
        if settings.lease_share and start_timeout_s < settings.election_timeout_s:
            raise ValueError("a leader's lease needs the whole timeout at a start")
        self.heard_at = start_timeout_s - settings.election_timeout_s
        self.next_join_request_at = 0.0
        self.schedule_elections()
        self.last_snapshot_index = durable_state.snapshot.log_index
        self.last_persist_number = 0
        self.pending_persists: dict[int, PendingPersist] = {}
        self.actions: list[Action] = []
        self.role = self.passive_role()

    @property
    def replica_id(self) -> ReplicaId:
        """The name of this replica."""
        return self.settings.replica

    @property
    def term(self) -> int:
        """The term it is in."""
        return self.vote_record.term

    @property
    def cluster(self) -> str:
        """The cluster's name with its origin, the bare name while that is unknown."""
        origin = self.log.configuration.origin
        name = self.settings.cluster
        return f"{name}/{origin}" if origin else name

    def accepts_cluster(self, cluster: str) -> bool:
        """Return whether a message's cluster may be this replica's own."""
        if cluster == self.cluster:
            return True
        has_no_origin = not self.log.configuration.origin
        return has_no_origin and cluster.startswith(self.settings.cluster + "/")

    @property
    def can_start_election(self) -> bool:
        """Whether it is a voter, or is until its removal is committed.

        Others may need it to lead until then, because its log may be the longest.
        """
        committed_configuration = self.log.configuration_at(self.commit)
        return (
            self.replica_id
            in self.log.configuration.voters + committed_configuration.voters
        )

    def random_election_deadline(self) -> float:
        """Return a random time at which to stand for election."""
        election_timeout_s = self.settings.election_timeout_s
        return self.clock + election_timeout_s * (1 + self.random.random())

    def schedule_elections(self) -> None:
        """Draw when to ask for votes on trial again, and when to stand again.

        Asking binds nobody and may follow soon. Standing spoils a term for others, so
        that candidates of one term must wait for different times.
        """
        timeout_factor = 1 + self.random.random()
        self.election_deadline = (
            self.clock + self.settings.start_timeout_s * timeout_factor
        )
        self.election_retry_at = (
            self.clock + self.settings.election_timeout_s * timeout_factor
        )

    def advance_clock(self, now: float) -> None:
        """Take the caller's clock; forget what a jump of it makes untrue."""
        elapsed = now - self.now if math.isfinite(self.now) else 0.0
        self.now = now
        self.clock += min(max(elapsed, 0.0), self.settings.clock_gap_s)
        has_jumped = not 0.0 <= elapsed <= self.settings.clock_gap_s
        if has_jumped and self.leadership is not None:
            self.leadership.discard_send_times()

    def passive_role(self) -> Role:
        """Return the role it has when it neither leads nor stands."""
        configuration = self.log.configuration
        if self.can_start_election:
            return Role.FOLLOWER
        if self.replica_id in configuration.learners:
            return Role.LEARNER
        return Role.OUTSIDER

    def set_role(self, role: Role, leader: ReplicaId | None) -> None:
        """Change role or leader and tell about it."""
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
        """Send a message at once."""
        self.actions.append(Send(to, message))

    def send_after_sync(self, message: Message, to: VmId) -> None:
        """Send a message once all that was asked for is synced."""
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
        """Ask for something to be made durable."""
        self.last_persist_number += 1
        persist_number = self.last_persist_number
        self.pending_persists[persist_number] = PendingPersist(self.log.last_index)
        self.actions.append(
            Persist(persist_number, vote, entries, snapshot, keep_entries)
        )

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries to the log and ask for them to be synced."""
        first_index = entries[0].log_index
        if first_index <= self.commit:
            raise AssertionError(f"committed entry {first_index} would be replaced")
        self.synced_index = min(self.synced_index, first_index - 1)
        for pending in self.pending_persists.values():
            pending.last_index = min(pending.last_index, first_index - 1)
        self.log.append(entries)
        self.persist(entries=entries)
        if any(entry.kind == EntryKind.CONFIGURATION for entry in entries):
            self.apply_latest_configuration()

    def apply_latest_configuration(self) -> None:
        """Follow the latest configuration of the log."""
        log_decision(
            "agreement-configuration",
            replica=self.replica_id,
            index=self.log.configuration_index,
            voters=",".join(map(str, self.log.configuration.voters)),
            learners=",".join(map(str, self.log.configuration.learners)),
        )
        if self.leadership is not None:
            next_index = self.log.last_index + 1
            self.leadership.track_members(
                self.log.configuration, next_index, self.clock
            )
        elif self.role not in (Role.CANDIDATE, Role.FAILED):
            self.set_role(self.passive_role(), self.leader)

    def enter_term(self, term: int, leader: ReplicaId | None) -> None:
        """Move to a later term as a follower."""
        self.vote_record = VoteRecord(term)
        self.persist(vote=self.vote_record)
        self.step_down("a later term began")
        self.set_role(self.passive_role(), leader)

    def step_down(self, reason: str) -> None:
        """Give up leading or standing; answer what is owed."""
        self.election = None
        leader_state = self.leadership
        self.leadership = None
        if leader_state is None:
            return
        log_decision("agreement-step-down", replica=self.replica_id, reason=reason)
        unknown_problem = Problem(
            "outcome-unknown", f"the leader stepped down: {reason}"
        )
        for token in leader_state.pending_proposals.values():
            self.actions.append(
                Reply(token, Outcome.UNKNOWN, 0, unknown_problem, self.leader)
            )
        not_leader_problem = Problem("not-leader", f"the leader stepped down: {reason}")
        for read in leader_state.pending_reads:
            self.actions.append(
                Reply(read.token, Outcome.REFUSED, 0, not_leader_problem)
            )
        self.election_deadline = self.random_election_deadline()

    def commit_up_to(self, index: int) -> None:
        """Take entries as committed, have them applied and answer for them."""
        if index <= self.commit:
            return
        entries = self.log.entries_between(self.commit + 1, index)
        self.commit = index
        data_entries = tuple(entry for entry in entries if entry.kind == EntryKind.DATA)
        if data_entries:
            self.actions.append(Apply(data_entries))
        if self.leadership is not None:
            self.reply_to_committed(entries)
        snapshot_due_index = self.last_snapshot_index + self.settings.snapshot_entries
        if index >= snapshot_due_index:
            self.last_snapshot_index = index
            self.actions.append(TakeSnapshot(index))

    def reply_to_committed(self, entries: tuple[Entry, ...]) -> None:
        """Answer the proposals that these entries carry out."""
        leader_state = self.leadership
        if leader_state is None:
            return
        for entry in entries:
            token = leader_state.pending_proposals.pop(entry.log_index, None)
            if token is not None:
                reply = Reply(
                    token, Outcome.COMMITTED, entry.log_index, None, self.replica_id
                )
                self.actions.append(reply)

    def fail(self, problem: Problem) -> None:
        """Take no further part: what is on the disk is no longer known."""
        self.failure = problem
        self.pending_persists.clear()
        self.step_down(str(problem))
        self.set_role(Role.FAILED, None)
