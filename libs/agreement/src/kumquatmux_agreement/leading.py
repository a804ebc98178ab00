"""Leader operations: replication, requests, commits and membership changes."""

from __future__ import annotations

from kumquatmux_agreement.core import ReplicaCore
from kumquatmux_agreement.entries import Configuration, Entry, EntryKind, ReplicaId
from kumquatmux_agreement.events import Reply, RequestOutcome, Role
from kumquatmux_agreement.leadership import (
    LeaderState,
    PendingRead,
    ReplicationProgress,
)
from kumquatmux_agreement.membership import (
    ALLOWED_VM_COUNTS,
    MembershipView,
    has_live_quorum,
    next_configuration,
)
from kumquatmux_agreement.messages import (
    AppendReply,
    SnapshotReply,
)
from kumquatmux_agreement.replication import send_next_message
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_core.problems import Problem


def become_leader(core: ReplicaCore) -> None:
    """Start to lead by appending an empty entry of the current term."""
    core.election = None
    core.leader_state = LeaderState(core.settings, core.log, core.steady_now, core.now)
    core.set_role(Role.LEADER, core.replica_id)
    append_entry(core, EntryKind.EMPTY)
    broadcast(core)


def append_entry(
    core: ReplicaCore,
    kind: EntryKind,
    *,
    data: bytes = b"",
    configuration: Configuration | None = None,
) -> int:
    """Append an entry of the current term and return its index."""
    index = core.log.last_index + 1
    core.append((Entry(index, core.term, kind, data, configuration),))
    return index


def propose(
    core: ReplicaCore, leader_state: LeaderState, data: bytes, token: str
) -> None:
    """Append data to the log, or refuse the request."""
    problem = _proposal_problem(core, leader_state, data)
    if problem is not None:
        core.actions.append(
            Reply(token, RequestOutcome.REFUSED, 0, problem, core.replica_id)
        )
        return
    index = append_entry(core, EntryKind.DATA, data=data)
    leader_state.pending_proposals[index] = token
    send_entries(core, leader_state)


def answer_read(core: ReplicaCore, leader_state: LeaderState, token: str) -> None:
    """Answer a read at once under the lease, else after a quorum has replied."""
    if core.commit_index < leader_state.term_start_index:
        problem = Problem(
            "not-ready", "the leader has not committed an entry of its term yet"
        )
        core.actions.append(
            Reply(token, RequestOutcome.REFUSED, 0, problem, core.replica_id)
        )
        return
    if leader_state.lease_expires_at(core.log.configuration, core.now) > core.now:
        core.actions.append(
            Reply(
                token, RequestOutcome.CURRENT, core.commit_index, None, core.replica_id
            )
        )
        return
    leader_state.pending_reads.append(PendingRead(token, leader_state.round + 1))
    broadcast(core)
    answer_confirmed_reads(core, leader_state)


def change_membership(
    core: ReplicaCore, leader_state: LeaderState, vms: tuple[VmId, ...], token: str
) -> None:
    """Append the new set of control VMs to the log, or refuse the request.

    The members are then changed one at a time by ``tick``.
    """
    current_configuration = core.log.configuration
    new_configuration = current_configuration._replace(
        wanted_vms=tuple(sorted(set(vms)))
    )
    problem = None
    if len(new_configuration.wanted_vms) not in ALLOWED_VM_COUNTS or len(vms) != len(
        new_configuration.wanted_vms
    ):
        detail = f"{len(vms)} control VMs requested; 1, 3 or 5 distinct ones required"
        problem = Problem("membership-size", detail)
    elif not _can_change_membership(core, leader_state):
        problem = Problem("membership-busy", "another membership change is in progress")
    elif not has_live_quorum(
        new_configuration, leader_state.live_members(core.steady_now)
    ):
        problem = Problem("membership-quorum", "too few of the voters are live")
    if problem is not None:
        core.actions.append(
            Reply(token, RequestOutcome.REFUSED, 0, problem, core.replica_id)
        )
        return
    index = append_entry(core, EntryKind.CONFIGURATION, configuration=new_configuration)
    leader_state.pending_proposals[index] = token
    send_entries(core, leader_state)


def tick(core: ReplicaCore, leader_state: LeaderState) -> None:
    """Step down without a live quorum; else send heartbeats and advance membership."""
    live_members = leader_state.live_members(core.steady_now)
    is_in_grace_period = (
        core.steady_now - leader_state.leading_since < core.settings.election_timeout_s
    )
    if not is_in_grace_period and not has_live_quorum(
        core.log.configuration, live_members
    ):
        core.step_down("no quorum of voters is live")
        core.set_role(core.passive_role(), None)
        return
    if core.steady_now >= leader_state.next_heartbeat_at:
        broadcast(core)
    if _can_change_membership(core, leader_state):
        _advance_membership(core, leader_state)


def broadcast(core: ReplicaCore) -> None:
    """Start a round and send each member its missing entries or a heartbeat."""
    leader_state = core.leader_state
    if leader_state is None:
        return
    leader_state.begin_round(core.now)
    leader_state.next_heartbeat_at = core.steady_now + core.settings.heartbeat_s
    for member, progress in leader_state.progress.items():
        progress.next_index = max(
            progress.match_index + 1, min(progress.next_index, _resend_index(progress))
        )
        send_next_message(core, leader_state, member, progress)


def send_entries(core: ReplicaCore, leader_state: LeaderState) -> None:
    """Send the members their missing entries within the send window."""
    for member, progress in leader_state.progress.items():
        has_unsent_entries = progress.next_index <= core.log.last_index
        if (
            has_unsent_entries
            and progress.snapshot is None
            and _has_window_space(core, progress)
        ):
            send_next_message(core, leader_state, member, progress)


def handle_append_reply(core: ReplicaCore, message: AppendReply) -> None:
    """Process a member's acknowledgement or rejection of entries."""
    leader_state = core.leader_state
    if leader_state is None or message.term != core.term:
        return
    sender = message.sender
    progress = leader_state.record_reply(sender, message.round, core.steady_now)
    if progress is None:
        return
    if message.is_matched:
        progress.snapshot = None
        progress.match_index = max(progress.match_index, message.log_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        advance_commit(core)
    else:
        retry_index = min(message.log_index, core.log.last_index + 1)
        if message.round >= progress.acknowledged_round:
            _lower_match_index(progress, sender, retry_index)
        progress.next_index = max(progress.match_index + 1, retry_index)
        send_next_message(core, leader_state, sender, progress)
    if core.leader_state is not leader_state:
        return
    answer_confirmed_reads(core, leader_state)
    has_unsent_entries = progress.next_index <= core.log.last_index
    if message.is_matched and has_unsent_entries and _has_window_space(core, progress):
        send_next_message(core, leader_state, sender, progress)


def handle_snapshot_reply(core: ReplicaCore, message: SnapshotReply) -> None:
    """Send the next chunk of a snapshot."""
    leader_state = core.leader_state
    if leader_state is None or message.term != core.term:
        return
    progress = leader_state.record_reply(message.sender, message.round, core.steady_now)
    if progress is None or progress.snapshot is None:
        return
    if progress.snapshot.log_index != message.log_index:
        return
    has_progressed = message.received_bytes != progress.received_bytes
    progress.received_bytes = message.received_bytes
    answer_confirmed_reads(core, leader_state)
    if has_progressed:
        send_next_message(core, leader_state, message.sender, progress)


def advance_commit(core: ReplicaCore) -> None:
    """Commit the entries that a quorum has persisted, if of the current term."""
    leader_state = core.leader_state
    if leader_state is None:
        return
    quorum_index = leader_state.quorum_match_index(
        core.log.configuration, core.persisted_index
    )
    if quorum_index <= core.commit_index or core.log.term_at(quorum_index) != core.term:
        return
    core.commit_up_to(quorum_index)
    if core.log.configuration_index <= quorum_index:
        if core.replica_id not in core.log.configuration.voters:
            core.step_down("the replica is no longer a voter")
            core.set_role(core.passive_role(), None)
            return
    for member, progress in leader_state.progress.items():
        needs_commit_index = (
            progress.sent_commit_index < core.commit_index <= progress.match_index
        )
        if needs_commit_index:
            send_next_message(core, leader_state, member, progress)


def answer_confirmed_reads(core: ReplicaCore, leader_state: LeaderState) -> None:
    """Answer the pending reads whose round a quorum has replied to."""
    if not leader_state.pending_reads:
        return
    quorum_round = leader_state.quorum_round(core.log.configuration)
    pending_reads = leader_state.pending_reads
    leader_state.pending_reads = [
        read for read in pending_reads if read.round > quorum_round
    ]
    for pending_read in pending_reads:
        if pending_read.round <= quorum_round:
            reply = Reply(
                pending_read.token,
                RequestOutcome.CURRENT,
                core.commit_index,
                None,
                core.replica_id,
            )
            core.actions.append(reply)


def _proposal_problem(
    core: ReplicaCore, leader_state: LeaderState, data: bytes
) -> Problem | None:
    if not core.log.configuration.has_enough_voters:
        voter_count = len(core.log.configuration.voters)
        wanted_count = len(core.log.configuration.wanted_vms)
        return Problem(
            "too-few-voters", f"{voter_count} of {wanted_count} control VMs are voters"
        )
    if len(data) > core.settings.max_entry_bytes:
        return Problem(
            "entry-too-long", f"entry of {len(data)} bytes exceeds the limit"
        )
    if len(leader_state.pending_proposals) >= core.settings.max_pending_entries:
        return Problem(
            "too-many-pending", "too many proposals are waiting to be committed"
        )
    return None


def _can_change_membership(core: ReplicaCore, leader_state: LeaderState) -> bool:
    has_committed_in_term = core.commit_index >= leader_state.term_start_index
    return has_committed_in_term and core.commit_index >= core.log.configuration_index


def _advance_membership(core: ReplicaCore, leader_state: LeaderState) -> None:
    configuration = core.log.configuration
    caught_up_learners = frozenset(
        learner
        for learner in configuration.learners
        if leader_state.progress[learner].match_index >= core.commit_index
    )
    live_members = leader_state.live_members(core.steady_now)
    join_requests = leader_state.recent_join_requests(core.steady_now)
    view = MembershipView(
        core.replica_id, join_requests, live_members, caught_up_learners
    )
    next_step = next_configuration(configuration, view)
    if next_step is not None:
        append_entry(core, EntryKind.CONFIGURATION, configuration=next_step)
        broadcast(core)


def _has_window_space(core: ReplicaCore, progress: ReplicationProgress) -> bool:
    return progress.next_index <= progress.match_index + core.settings.window_entries


def _resend_index(progress: ReplicationProgress) -> int:
    """Return the next index to send after the latest messages were not acknowledged."""
    return progress.match_index + 1 if progress.match_index else progress.next_index


def _lower_match_index(
    progress: ReplicationProgress, member: ReplicaId, retry_index: int
) -> None:
    """Lower the match index of a member that lost entries it had acknowledged."""
    if retry_index <= progress.match_index:
        log_decision("agreement-entries-lost", member=member, after=retry_index - 1)
        progress.match_index = retry_index - 1
