"""Replica of the log as a state machine: an event and a time in, actions out."""

from __future__ import annotations

from functools import singledispatchmethod
from random import Random

from kumquatmux_agreement import following, leading, voting
from kumquatmux_agreement.core import ReplicaCore
from kumquatmux_agreement.entries import (
    DurableState,
    ReplicaId,
    Snapshot,
)
from kumquatmux_agreement.events import (
    Action,
    ChangeMembership,
    Event,
    MessageReceived,
    Persisted,
    PersistFailed,
    Propose,
    Read,
    Reply,
    RequestOutcome,
    Role,
    SnapshotTaken,
    Tick,
    TransferLeadership,
)
from kumquatmux_agreement.messages import (
    AppendReply,
    AppendRequest,
    JoinRequest,
    SnapshotChunk,
    SnapshotReply,
    StandNow,
    VoteReply,
    VoteRequest,
)
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_agreement.status import ReplicaStatus
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.problems import Problem

MAX_TERM_STEP = 1 << 32
"""Terms that a message may be ahead; no cluster holds that many elections.

A later term would come so near the largest number that no election could follow it.
"""

MAX_RETAINED_COMPACTIONS = 16
"""Limit on entries retained during a snapshot transfer, in compaction intervals."""


class Replica:
    """Replica of the log.

    The caller performs the actions in order and reports the result of each
    ``Persist``. Events must arrive at least every ``max_event_gap_s`` seconds, ``Tick``
    if there is no other.
    """

    def __init__(
        self, settings: ReplicaSettings, durable_state: DurableState, random: Random
    ) -> None:
        """Start from the persisted state.

        Args:
            settings: Identity, timing and limits of the replica.
            durable_state: Persisted state; for a new replica from ``founding_state`` or
                ``joining_state``.
            random: Random source of election timeouts.
        """
        self.core = ReplicaCore(settings, durable_state, random)
        # Bound once: binding such a method anew costs more than most of its calls.
        self.handle_event = self._handle_event
        self.handle_message = self._handle_message

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the actions that it requires.

        Args:
            event: Event to handle.
            now: Monotonic time in seconds.
        """
        self.core.advance_clock(now)
        if self.core.role == Role.FAILED:
            self._refuse(event, "replica-failed", str(self.core.failure))
        else:
            self.handle_event(event)
        actions = self.core.actions
        self.core.actions = []
        return actions

    def status(self) -> ReplicaStatus:
        """Return the replica's status for operators."""
        core = self.core
        configuration = core.log.configuration
        leader_state = core.leader_state
        voting_vms = sorted(voter.vm for voter in configuration.voters)
        is_configuration_committed = core.commit_index >= core.log.configuration_index
        is_whole = is_configuration_committed and voting_vms == sorted(
            configuration.wanted_vms
        )
        live_members: tuple[ReplicaId, ...] = ()
        has_lease = False
        if leader_state is not None:
            live_members = tuple(sorted(leader_state.live_members(core.steady_now)))
            has_lease = (
                leader_state.lease_expires_at(configuration, core.now) > core.now
            )
            member_progress = leader_state.progress.values()
            lagging_members = [
                progress
                for progress in member_progress
                if progress.match_index < core.commit_index
            ]
            is_whole = is_whole and not lagging_members
        return ReplicaStatus(
            core.role,
            core.term,
            core.leader,
            core.commit_index,
            core.log.last_index,
            core.log.snapshot.log_index,
            configuration,
            live_members,
            has_lease,
            is_whole,
        )

    @singledispatchmethod
    def _handle_event(self, event: Event) -> None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_handle_event.register
    def _(self, event: Tick) -> None:
        core = self.core
        if core.leader_state is not None:
            leading.tick(core, core.leader_state)
            return
        configuration = core.log.configuration
        is_election_due = core.steady_now >= core.election_deadline
        is_sole_voter = (
            configuration.voters == (core.replica_id,) and core.election is None
        )
        if core.can_start_election and (is_election_due or is_sole_voter):
            voting.start_pre_vote(core)
        if self._should_request_join() and core.steady_now >= core.next_join_request_at:
            self._send_join_requests()

    @_handle_event.register
    def _(self, event: Propose) -> None:
        if self.core.leader_state is None:
            self._refuse(event, "not-leader", "this replica is not the leader")
            return
        leading.propose(self.core, self.core.leader_state, event.data, event.token)

    @_handle_event.register
    def _(self, event: Read) -> None:
        if self.core.leader_state is None:
            self._refuse(event, "not-leader", "this replica is not the leader")
            return
        leading.answer_read(self.core, self.core.leader_state, event.token)

    @_handle_event.register
    def _(self, event: ChangeMembership) -> None:
        leader_state = self.core.leader_state
        if leader_state is None:
            self._refuse(event, "not-leader", "this replica is not the leader")
            return
        leading.change_membership(self.core, leader_state, event.vms, event.token)

    @_handle_event.register
    def _(self, event: TransferLeadership) -> None:
        if self.core.leader_state is not None:
            voting.transfer_leadership(self.core, self.core.leader_state)

    @_handle_event.register
    def _(self, event: Persisted) -> None:
        core = self.core
        pending_persist = core.pending_persists.pop(event.number)
        core.persisted_index = pending_persist.last_index
        core.actions.extend(pending_persist.deferred_actions)
        if not core.pending_persists:
            voting.count_own_vote(core)
        leading.advance_commit(core)

    @_handle_event.register
    def _(self, event: PersistFailed) -> None:
        self.core.fail(event.problem)

    @_handle_event.register
    def _(self, event: SnapshotTaken) -> None:
        core = self.core
        if event.log_index <= core.log.snapshot.log_index:
            return
        term = core.log.term_at(event.log_index)
        if term is None or event.log_index > core.commit_index:
            raise AssertionError(
                f"no committed entry at snapshot index {event.log_index}"
            )
        configuration = core.log.configuration_at(event.log_index)
        snapshot = Snapshot(event.log_index, term, configuration, event.data)
        core.log.compact(snapshot, self._entries_to_keep(event.log_index))
        core.persist(snapshot=snapshot)

    @_handle_event.register
    def _(self, event: MessageReceived) -> None:
        message = event.message
        if isinstance(message, JoinRequest):
            self.handle_message(message)
        elif message.to == self.core.replica_id and self.core.accepts_cluster(
            message.cluster
        ):
            if message.term - self.core.term > MAX_TERM_STEP:
                log_decision("term-refused", sender=message.sender, term=message.term)
                return
            self.handle_message(message)

    @singledispatchmethod
    def _handle_message(self, message: object) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle_message.register
    def _(self, message: VoteRequest) -> None:
        voting.handle_vote_request(self.core, message)

    @_handle_message.register
    def _(self, message: VoteReply) -> None:
        voting.handle_vote_reply(self.core, message)

    @_handle_message.register
    def _(self, message: AppendRequest) -> None:
        following.handle_append_request(self.core, message)

    @_handle_message.register
    def _(self, message: AppendReply) -> None:
        if self._enter_later_term(message):
            return
        leading.handle_append_reply(self.core, message)

    @_handle_message.register
    def _(self, message: SnapshotChunk) -> None:
        following.handle_snapshot_chunk(self.core, message)

    @_handle_message.register
    def _(self, message: SnapshotReply) -> None:
        if self._enter_later_term(message):
            return
        leading.handle_snapshot_reply(self.core, message)

    @_handle_message.register
    def _(self, message: StandNow) -> None:
        voting.handle_stand_now(self.core, message)

    @_handle_message.register
    def _(self, message: JoinRequest) -> None:
        leader_state = self.core.leader_state
        if leader_state is None:
            return
        if message.cluster in (self.core.cluster, self.core.settings.cluster):
            leader_state.join_requests[message.sender] = self.core.steady_now
        else:
            log_decision(
                "agreement-other-cluster",
                replica=self.core.replica_id,
                cluster=self.core.cluster,
                sender=message.sender,
                other=message.cluster,
            )

    def _enter_later_term(self, message: AppendReply | SnapshotReply) -> bool:
        if message.term <= self.core.term:
            return False
        self.core.enter_term(message.term, None)
        return True

    def _entries_to_keep(self, snapshot_index: int) -> int:
        """Return how many entries up to a new snapshot's index to keep.

        Entries that a live member needs after the snapshot that is being sent to it are
        kept, up to ``MAX_RETAINED_COMPACTIONS`` compaction intervals.
        """
        settings = self.core.settings
        leader_state = self.core.leader_state
        oldest_snapshot_index = (
            leader_state.oldest_sent_snapshot_index(self.core.steady_now)
            if leader_state
            else None
        )
        if oldest_snapshot_index is None:
            return settings.retained_entries
        needed_entries = min(
            snapshot_index - oldest_snapshot_index,
            MAX_RETAINED_COMPACTIONS * settings.snapshot_interval_entries,
        )
        return max(settings.retained_entries, needed_entries)

    def _should_request_join(self) -> bool:
        """Return whether the replica is an outsider or hears from no leader.

        A replica that hears from no leader may not be a member: the entry that made it
        a member may never have been committed.
        """
        core = self.core
        since_contact_s = core.steady_now - core.last_leader_contact_at
        has_no_leader = since_contact_s >= core.settings.election_timeout_s
        return core.leader_state is None and (
            has_no_leader or core.role == Role.OUTSIDER
        )

    def _send_join_requests(self) -> None:
        core = self.core
        core.next_join_request_at = core.steady_now + core.settings.join_period_s
        for vm in core.settings.peers:
            core.send(JoinRequest(core.cluster, core.replica_id), vm)

    def _refuse(self, event: Event, code: str, detail: str) -> None:
        if isinstance(event, Propose | Read | ChangeMembership):
            problem = Problem(code, detail)
            leader = self.core.leader
            reply = Reply(event.token, RequestOutcome.REFUSED, 0, problem, leader)
            self.core.actions.append(reply)
