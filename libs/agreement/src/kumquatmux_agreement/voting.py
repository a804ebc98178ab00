"""Leader elections: pre-votes, votes and leadership transfer."""

from __future__ import annotations

from kumquatmux_agreement.core import ReplicaCore
from kumquatmux_agreement.election import Election
from kumquatmux_agreement.entries import VoteRecord
from kumquatmux_agreement.events import Role, Send
from kumquatmux_agreement.leadership import LeaderState
from kumquatmux_agreement.leading import become_leader
from kumquatmux_agreement.messages import StandNow, VoteReply, VoteRequest
from kumquatmux_core.decisions import log as log_decision


def start_pre_vote(core: ReplicaCore) -> None:
    """Start a pre-vote, or an election if this replica's own vote is a quorum."""
    core.schedule_elections()
    core.set_role(Role.CANDIDATE, None)
    election = Election(core.term + 1, is_pre_vote=True)
    core.election = election
    election.granted_by.add(core.replica_id)
    if election.is_won(core.log.configuration):
        _start_election(core)
        return
    for request in _vote_requests(core, election):
        core.actions.append(request)


def handle_vote_request(core: ReplicaCore, message: VoteRequest) -> None:
    """Grant or refuse a vote or pre-vote.

    A replica that leads or has recently heard from a leader refuses, unless the
    leader itself asked for the election.
    """
    if _has_live_leader(core) and not message.is_leadership_transfer:
        _send_vote_reply(core, message, is_granted=False)
        return
    if message.is_pre_vote:
        can_grant = message.term > core.term and not _wins_pre_vote_tie(core, message)
        _send_vote_reply(
            core,
            message,
            is_granted=can_grant and _is_sender_log_up_to_date(core, message),
        )
        return
    if message.term > core.term:
        core.enter_term(message.term, None)
    can_grant = core.vote_record.voted_for in (None, message.sender)
    is_current_term = message.term == core.term
    if not (is_current_term and can_grant and _is_sender_log_up_to_date(core, message)):
        _send_vote_reply(core, message, is_granted=False)
        return
    if core.vote_record.voted_for is None:
        core.vote_record = VoteRecord(core.term, message.sender)
        core.persist(vote=core.vote_record)
        core.election_deadline = core.random_election_deadline()
    _send_vote_reply(core, message, is_granted=True)


def handle_vote_reply(core: ReplicaCore, message: VoteReply) -> None:
    """Count a granted vote and become leader once a quorum has granted it."""
    if not message.is_granted and message.term > core.term:
        core.enter_term(message.term, None)
        return
    election = core.election
    is_same_term = election is not None and election.term == message.term
    if (
        election is None
        or not is_same_term
        or election.is_pre_vote != message.is_pre_vote
    ):
        return
    if not message.is_granted:
        return
    election.granted_by.add(message.sender)
    if not election.is_won(core.log.configuration):
        return
    if election.is_pre_vote:
        _start_election(core)
    else:
        become_leader(core)


def count_own_vote(core: ReplicaCore) -> None:
    """Count the candidate's own vote once its vote record is persisted."""
    election = core.election
    if (
        election is None
        or election.is_pre_vote
        or core.replica_id in election.granted_by
    ):
        return
    election.granted_by.add(core.replica_id)
    if election.is_won(core.log.configuration):
        become_leader(core)


def handle_stand_now(core: ReplicaCore, message: StandNow) -> None:
    """Start an election at once because a stopping leader asked for it."""
    if (
        message.term == core.term
        and core.can_start_election
        and core.leader_state is None
    ):
        core.set_role(Role.CANDIDATE, None)
        _start_election(core, is_leadership_transfer=True)


def transfer_leadership(core: ReplicaCore, leader_state: LeaderState) -> None:
    """Ask a live voter whose log is complete to lead instead, if there is one."""
    live_members = leader_state.live_members(core.steady_now)
    for voter in core.log.configuration.voters:
        progress = leader_state.progress.get(voter)
        if progress is None or voter not in live_members:
            continue
        if progress.match_index >= core.log.last_index:
            log_decision("agreement-hand-over", replica=core.replica_id, to=voter)
            core.send(
                StandNow(core.cluster, core.replica_id, voter, core.term), voter.vm
            )
            return


def _start_election(core: ReplicaCore, *, is_leadership_transfer: bool = False) -> None:
    term = core.term + 1
    log_decision("agreement-stand", replica=core.replica_id, term=term)
    core.vote_record = VoteRecord(term, core.replica_id)
    core.persist(vote=core.vote_record)
    core.election_deadline = max(core.election_deadline, core.election_retry_at)
    election = Election(term, is_pre_vote=False)
    core.election = election
    last_persist = next(reversed(core.pending_persists.values()))
    last_persist.deferred_actions.extend(
        _vote_requests(core, election, is_leadership_transfer=is_leadership_transfer)
    )


def _vote_requests(
    core: ReplicaCore, election: Election, *, is_leadership_transfer: bool = False
) -> list[Send]:
    other_voters = [
        voter for voter in core.log.configuration.voters if voter != core.replica_id
    ]
    return [
        Send(
            voter.vm,
            VoteRequest(
                core.cluster,
                core.replica_id,
                voter,
                election.term,
                core.log.last_index,
                core.log.last_term,
                election.is_pre_vote,
                is_leadership_transfer,
            ),
        )
        for voter in other_voters
    ]


def _has_live_leader(core: ReplicaCore) -> bool:
    if core.leader_state is not None:
        return True
    return (
        core.steady_now - core.last_leader_contact_at < core.settings.election_timeout_s
    )


def _wins_pre_vote_tie(core: ReplicaCore, message: VoteRequest) -> bool:
    """Return whether this replica's pre-vote takes precedence over the sender's.

    Of two candidates with equal logs, only the one with the lower replica ID may win
    its pre-vote. Otherwise both would start an election, vote for themselves and
    have to wait for another term.
    """
    if core.election is None or not core.election.is_pre_vote:
        return False
    own_position = (core.log.last_term, core.log.last_index)
    is_equal_position = (message.last_term, message.last_index) == own_position
    return is_equal_position and core.replica_id < message.sender


def _is_sender_log_up_to_date(core: ReplicaCore, message: VoteRequest) -> bool:
    own_position = (core.log.last_term, core.log.last_index)
    return (message.last_term, message.last_index) >= own_position


def _send_vote_reply(
    core: ReplicaCore, message: VoteRequest, *, is_granted: bool
) -> None:
    reply = VoteReply(
        message.cluster,
        core.replica_id,
        message.sender,
        message.term if is_granted else core.term,
        message.is_pre_vote,
        is_granted,
    )
    core.send_after_persist(reply, message.sender.vm)
