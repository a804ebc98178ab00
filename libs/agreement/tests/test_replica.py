from __future__ import annotations

from random import Random

import pytest

from kumquatmux_agreement.entries import (
    Configuration,
    DurableState,
    Entry,
    EntryKind,
    ReplicaId,
    Snapshot,
    VoteRecord,
    founding_state,
    joining_state,
)
from kumquatmux_agreement.events import (
    Apply,
    ChangeMembership,
    MessageReceived,
    Persist,
    Persisted,
    PersistFailed,
    Propose,
    Read,
    Reply,
    RequestOutcome,
    Role,
    Send,
    SnapshotTaken,
    Tick,
    TransferLeadership,
)
from kumquatmux_agreement.messages import (
    MESSAGE_REGISTRY,
    MESSAGE_TYPES,
    AppendReply,
    AppendRequest,
    JoinRequest,
    SnapshotChunk,
    SnapshotReply,
    StandNow,
    VoteReply,
    VoteRequest,
)
from kumquatmux_agreement.replica import Replica
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.problems import Problem

VMS = ("a", "b", "c")
A, B, C = (ReplicaId(vm, "1") for vm in VMS)
THREE_VOTERS = Configuration(VMS, (A, B, C))
DATA = EntryKind.DATA


def data_entry(index, term, data=b"x"):
    return Entry(index, term, DATA, data)


def make_durable_state(term=1, voted_for=None, entries=(), configuration=THREE_VOTERS):
    snapshot = Snapshot(0, 0, configuration, b"")
    return DurableState(VoteRecord(term, voted_for), snapshot, tuple(entries))


class ReplicaDriver:
    """One replica whose persists are confirmed on demand."""

    def __init__(self, replica_id=A, durable_state=None, **settings):
        replica_settings = ReplicaSettings("lab", replica_id, VMS, **settings)
        self.replica = Replica(
            replica_settings, durable_state or make_durable_state(), Random(1)
        )
        self.now = 100.0
        self.pending_persists = []
        self.actions = []

    def handle(self, event, delay_s=0.0):
        self.now += delay_s
        actions = self.replica.handle(event, self.now)
        self.pending_persists += [
            action.number for action in actions if isinstance(action, Persist)
        ]
        self.actions += actions
        return actions

    def confirm_persists(self):
        while self.pending_persists:
            self.handle(Persisted(self.pending_persists.pop(0)))

    def run_ticks(self, seconds):
        for _ in range(round(seconds * 10)):
            self.handle(Tick(), 0.1)

    def sent_messages(self, message_type):
        sends = (action for action in self.actions if isinstance(action, Send))
        return [
            send.message for send in sends if isinstance(send.message, message_type)
        ]

    def replies(self):
        return [action for action in self.actions if isinstance(action, Reply)]

    def role(self):
        return self.replica.status().role

    def receive_append_reply(
        self, sender, *, round=None, log_index=None, is_matched=True
    ):
        core = self.replica.core
        round_number = core.leader_state.round if round is None else round
        acknowledged_index = core.log.last_index if log_index is None else log_index
        reply = AppendReply(
            "lab",
            sender,
            core.replica_id,
            core.term,
            is_matched,
            acknowledged_index,
            round_number,
        )
        return self.handle(MessageReceived(reply))


def make_leader(durable_state=None, **settings):
    """Return a leader whose first entry is committed."""
    driver = ReplicaDriver(durable_state=durable_state, **settings)
    driver.run_ticks(4.5)
    assert driver.role() == Role.CANDIDATE
    term = driver.replica.core.term
    driver.handle(MessageReceived(VoteReply("lab", B, A, term + 1, True, True)))
    driver.confirm_persists()
    driver.handle(MessageReceived(VoteReply("lab", B, A, term + 1, False, True)))
    driver.confirm_persists()
    assert driver.role() == Role.LEADER
    driver.receive_append_reply(B)
    driver.receive_append_reply(C)
    driver.actions.clear()
    return driver


def append_request(
    term=2,
    previous_position=(0, 0),
    entries=(),
    commit=0,
    sender=B,
    to=A,
    cluster="lab",
):
    return AppendRequest(
        cluster, sender, to, term, *previous_position, entries, commit, 1
    )


def vote_request(
    term=2, is_pre_vote=False, last_position=(9, 9), sender=B, to=A, cluster="lab"
):
    return VoteRequest(cluster, sender, to, term, *last_position, is_pre_vote)


def test_every_message_decodes_to_itself():
    messages_by_type = {
        VoteRequest: vote_request(),
        VoteReply: VoteReply("lab", A, B, 1, True, False),
        AppendRequest: append_request(
            entries=(
                data_entry(1, 1),
                Entry(2, 1, EntryKind.CONFIGURATION, b"", THREE_VOTERS),
            )
        ),
        AppendReply: AppendReply("lab", A, B, 1, True, 3, 4),
        SnapshotChunk: SnapshotChunk(
            "lab", A, B, 1, 9, 1, THREE_VOTERS, 0, 3, b"abc", 2
        ),
        SnapshotReply: SnapshotReply("lab", A, B, 1, 9, 3, 2),
        JoinRequest: JoinRequest("lab", A),
        StandNow: StandNow("lab", A, B, 1),
    }
    assert set(messages_by_type) == set(MESSAGE_TYPES.values())
    for message in messages_by_type.values():
        assert MESSAGE_REGISTRY.decode(MESSAGE_REGISTRY.encode(message)).ok == message


def test_follower_acknowledges_only_persisted_entries():
    follower = ReplicaDriver()
    follower.handle(MessageReceived(append_request(entries=(data_entry(1, 2),))))
    assert follower.sent_messages(AppendReply) == []
    follower.confirm_persists()
    assert follower.sent_messages(AppendReply)[0].log_index == 1


def test_vote_is_granted_only_once_it_is_persisted():
    voter = ReplicaDriver()
    voter.run_ticks(2.5)
    voter.handle(MessageReceived(vote_request()))
    assert voter.sent_messages(VoteReply) == []
    voter.confirm_persists()
    assert voter.sent_messages(VoteReply)[0].is_granted


def test_restarted_voter_keeps_its_vote():
    voter = ReplicaDriver()
    voter.run_ticks(2.5)
    voter.handle(MessageReceived(vote_request(sender=B)))
    voter.confirm_persists()
    saved_votes = [
        action.vote
        for action in voter.actions
        if isinstance(action, Persist) and action.vote
    ]
    restarted_voter = ReplicaDriver(
        durable_state=make_durable_state()._replace(vote=saved_votes[-1])
    )
    restarted_voter.run_ticks(2.5)
    restarted_voter.handle(MessageReceived(vote_request(sender=C)))
    restarted_voter.confirm_persists()
    assert not restarted_voter.sent_messages(VoteReply)[0].is_granted


@pytest.mark.parametrize(
    ("name", "durable_state", "wait_s", "message", "is_granted"),
    [
        ("no vote yet", make_durable_state(), 2.5, vote_request(), True),
        ("pre-vote", make_durable_state(), 2.5, vote_request(is_pre_vote=True), True),
        ("just started", make_durable_state(), 0.5, vote_request(), False),
        ("old term", make_durable_state(term=5), 2.5, vote_request(term=4), False),
        (
            "voted for another",
            make_durable_state(2, C),
            2.5,
            vote_request(term=2),
            False,
        ),
        (
            "voted for the same",
            make_durable_state(2, B),
            2.5,
            vote_request(term=2),
            True,
        ),
        (
            "shorter log",
            make_durable_state(entries=[data_entry(1, 1), data_entry(2, 1)]),
            2.5,
            vote_request(last_position=(1, 1)),
            False,
        ),
        (
            "longer log of an older term",
            make_durable_state(2, None, [data_entry(1, 2)]),
            2.5,
            vote_request(term=3, last_position=(9, 1)),
            False,
        ),
    ],
)
def test_vote_is_granted_only_to_an_eligible_candidate(
    name, durable_state, wait_s, message, is_granted
):
    voter = ReplicaDriver(durable_state=durable_state)
    voter.run_ticks(wait_s)
    voter.confirm_persists()
    voter.actions.clear()
    voter.handle(MessageReceived(message))
    voter.confirm_persists()
    assert [reply.is_granted for reply in voter.sent_messages(VoteReply)] == [
        is_granted
    ], name


def test_voter_refuses_while_it_hears_from_a_leader():
    voter = ReplicaDriver()
    voter.run_ticks(2.5)
    voter.handle(MessageReceived(append_request()))
    voter.handle(MessageReceived(vote_request(term=7, sender=C)))
    voter.confirm_persists()
    assert not voter.sent_messages(VoteReply)[-1].is_granted
    assert voter.replica.core.term == 2


def test_clock_jump_does_not_end_the_vote_refusal_early():
    voter = ReplicaDriver()
    voter.run_ticks(2.5)
    voter.handle(MessageReceived(append_request()))
    voter.now += 3600
    voter.handle(MessageReceived(vote_request(term=7, sender=C)))
    assert voter.replica.core.term == 2


@pytest.mark.parametrize(
    "message",
    [
        append_request(cluster="other"),
        append_request(to=ReplicaId("a", "lost")),
        vote_request(cluster="other"),
        vote_request(to=ReplicaId("a", "lost")),
    ],
)
def test_messages_for_other_cluster_or_folder_are_dropped(message):
    replica = ReplicaDriver()
    replica.run_ticks(2.5)
    replica.actions.clear()
    assert replica.handle(MessageReceived(message)) == []


@pytest.mark.parametrize(
    ("own_origin", "message_cluster", "is_accepted"),
    [("", "lab/f1", True), ("f1", "lab/f1", True), ("f1", "lab/f2", False)],
)
def test_cluster_founded_again_under_the_same_name_is_rejected(
    own_origin, message_cluster, is_accepted
):
    driver = ReplicaDriver(
        durable_state=make_durable_state(
            configuration=THREE_VOTERS._replace(origin=own_origin)
        )
    )
    driver.run_ticks(2.5)
    driver.handle(MessageReceived(append_request(cluster=message_cluster)))
    assert (driver.replica.core.term == 2) == is_accepted


def test_vote_of_a_vm_that_lost_its_folder_is_not_counted():
    candidate = ReplicaDriver()
    candidate.run_ticks(4.5)
    replacement = ReplicaId("b", "2")
    candidate.handle(MessageReceived(VoteReply("lab", replacement, A, 2, True, True)))
    assert candidate.replica.core.election.is_pre_vote


def test_commit_requires_a_majority_that_has_persisted():
    driver = make_leader()
    driver.handle(Propose(b"x", "t"))
    driver.receive_append_reply(B)
    assert driver.replies() == []
    driver.confirm_persists()
    assert driver.replies()[0].outcome == RequestOutcome.COMMITTED


def test_two_followers_commit_before_the_leader_has_persisted():
    driver = make_leader()
    driver.handle(Propose(b"x", "t"))
    driver.receive_append_reply(B)
    driver.receive_append_reply(C)
    assert driver.replies()[0].outcome == RequestOutcome.COMMITTED


def test_earlier_term_entry_is_committed_only_with_current_term_entry():
    durable_state = make_durable_state(1, None, [data_entry(1, 1)])
    driver = ReplicaDriver(durable_state=durable_state)
    driver.run_ticks(4.5)
    driver.handle(MessageReceived(VoteReply("lab", B, A, 2, True, True)))
    driver.confirm_persists()
    driver.handle(MessageReceived(VoteReply("lab", B, A, 2, False, True)))
    driver.confirm_persists()
    driver.receive_append_reply(B, log_index=1)
    driver.receive_append_reply(C, log_index=1)
    assert driver.replica.core.commit_index == 0
    driver.receive_append_reply(B, log_index=2)
    assert driver.replica.core.commit_index == 2


def test_isolated_leader_steps_down_and_refuses_proposals():
    driver = make_leader()
    driver.handle(Propose(b"x", "before"))
    driver.confirm_persists()
    driver.run_ticks(2.5)
    driver.handle(Propose(b"x", "after"))
    outcomes = {reply.token: reply.outcome for reply in driver.replies()}
    assert outcomes == {
        "before": RequestOutcome.UNKNOWN,
        "after": RequestOutcome.REFUSED,
    }
    assert driver.role() != Role.LEADER


def test_uncommitted_entry_of_a_replaced_leader_is_not_applied():
    driver = make_leader()
    driver.handle(Propose(b"lost", "t"))
    driver.confirm_persists()
    last_index = driver.replica.core.log.last_index
    winning_entry = data_entry(last_index, 9, b"won")
    previous_position = (
        last_index - 1,
        driver.replica.core.log.term_at(last_index - 1),
    )
    driver.handle(
        MessageReceived(
            append_request(9, previous_position, (winning_entry,), last_index)
        )
    )
    driver.confirm_persists()
    assert driver.replies()[0].outcome == RequestOutcome.UNKNOWN
    apply_actions = [action for action in driver.actions if isinstance(action, Apply)]
    assert [entry.data for entry in apply_actions[-1].entries] == [b"won"]


@pytest.mark.parametrize(
    ("name", "since_reply_s", "jump_s", "outcomes"),
    [
        ("lease valid", 0.5, 0.0, [RequestOutcome.CURRENT]),
        ("lease expired", 1.5, 0.0, []),
        ("clock jumped back", 0.1, -5.0, []),
        ("clock jumped forward", 0.1, 5.0, []),
    ],
)
def test_read_needs_a_lease_or_an_answered_round(name, since_reply_s, jump_s, outcomes):
    driver = make_leader()
    driver.handle(Tick(), 0.1)
    driver.replica.core.leader_state.next_heartbeat_at = 0
    driver.handle(Tick(), 0.1)
    driver.receive_append_reply(B)
    driver.run_ticks(since_reply_s)
    driver.now += jump_s
    driver.actions.clear()
    driver.handle(Read("r"))
    assert [reply.outcome for reply in driver.replies()] == outcomes, name
    driver.receive_append_reply(C)
    assert [reply.outcome for reply in driver.replies()] == [RequestOutcome.CURRENT], (
        name
    )


def test_reply_to_an_earlier_round_does_not_confirm_a_read():
    driver = make_leader()
    driver.run_ticks(1.5)
    earlier_round = driver.replica.core.leader_state.round
    driver.handle(Read("r"))
    driver.receive_append_reply(B, round=earlier_round)
    assert driver.replies() == []


def test_new_leader_refuses_reads_before_its_first_commit():
    driver = ReplicaDriver()
    driver.run_ticks(4.5)
    driver.handle(MessageReceived(VoteReply("lab", B, A, 2, True, True)))
    driver.confirm_persists()
    driver.handle(MessageReceived(VoteReply("lab", B, A, 2, False, True)))
    driver.handle(Read("r"))
    assert driver.replies()[0].problem.code == "not-ready"


def test_replica_stops_participating_after_a_disk_failure():
    driver = make_leader()
    driver.handle(Propose(b"x", "t"))
    problem = Problem("disk-full", "the disk is full")
    driver.handle(PersistFailed(driver.pending_persists.pop(), problem))
    assert driver.replies()[0].outcome == RequestOutcome.UNKNOWN
    assert driver.role() == Role.FAILED
    driver.actions.clear()
    driver.run_ticks(9)
    driver.handle(MessageReceived(vote_request(term=9)))
    driver.handle(MessageReceived(append_request(9)))
    assert driver.actions == []
    driver.handle(Propose(b"x", "u"))
    assert driver.replies()[0].problem.code == "replica-failed"


@pytest.mark.parametrize(
    ("code", "settings", "event"),
    [
        ("entry-too-long", {"max_entry_bytes": 3}, Propose(b"long", "t")),
        ("too-many-pending", {"max_pending_entries": 0}, Propose(b"x", "t")),
        ("membership-size", {}, ChangeMembership(("a", "b"), "t")),
        ("membership-size", {}, ChangeMembership(("a", "b", "b"), "t")),
    ],
)
def test_refused_request_is_not_appended(code, settings, event):
    driver = make_leader(**settings)
    last_index = driver.replica.core.log.last_index
    driver.handle(event)
    assert driver.replies()[0].problem.code == code
    assert driver.replica.core.log.last_index == last_index


def test_founder_refuses_proposals_without_other_voters():
    driver = ReplicaDriver(durable_state=founding_state(A, VMS))
    driver.run_ticks(0.2)
    driver.confirm_persists()
    assert driver.role() == Role.LEADER
    driver.handle(Propose(b"x", "t"))
    assert driver.replies()[0].problem.code == "too-few-voters"


def test_joining_replica_sends_join_requests_and_no_vote_requests():
    driver = ReplicaDriver(durable_state=joining_state())
    driver.run_ticks(9)
    assert driver.role() == Role.OUTSIDER
    assert driver.sent_messages(JoinRequest) and not driver.sent_messages(VoteRequest)


def test_member_without_a_leader_sends_join_requests():
    learner_configuration = Configuration(VMS, (A, B), (C,))
    driver = ReplicaDriver(C, make_durable_state(configuration=learner_configuration))
    driver.run_ticks(5)
    assert driver.role() == Role.LEARNER
    assert driver.sent_messages(JoinRequest)


def test_voter_with_uncommitted_removal_starts_an_election():
    configuration = Configuration(("b", "c"), (B, C))
    removal = Entry(1, 1, EntryKind.CONFIGURATION, b"", configuration)
    driver = ReplicaDriver(durable_state=make_durable_state(entries=[removal]))
    driver.run_ticks(4.5)
    assert {request.to for request in driver.sent_messages(VoteRequest)} == {B, C}


def test_entries_lost_by_a_member_are_sent_again():
    driver = make_leader()
    driver.handle(Propose(b"x", "t"))
    driver.confirm_persists()
    driver.receive_append_reply(B)
    driver.actions.clear()
    driver.receive_append_reply(B, log_index=1, is_matched=False)
    requests = driver.sent_messages(AppendRequest)
    assert requests[0].entries[0].log_index == 1


def test_snapshot_chunks_may_be_duplicated_and_reordered():
    follower = ReplicaDriver(durable_state=joining_state())
    chunks = [(0, b"ab"), (0, b"ab"), (4, b"ef"), (2, b"cd"), (4, b"ef")]
    for offset, data in chunks:
        chunk = SnapshotChunk("lab", B, A, 2, 9, 1, THREE_VOTERS, offset, 6, data, 1)
        follower.handle(MessageReceived(chunk))
    follower.confirm_persists()
    assert [
        reply.received_bytes for reply in follower.sent_messages(SnapshotReply)
    ] == [
        2,
        2,
        2,
        4,
    ]
    assert follower.sent_messages(AppendReply)[-1].log_index == 9
    assert follower.replica.core.log.snapshot.data == b"abcdef"


def test_vm_that_lost_its_disk_is_joining_until_it_votes():
    replacement = ReplicaId("c", "2")
    configuration = Configuration(VMS, (A, B, C), (replacement,))
    durable_state = make_durable_state(
        entries=[Entry(1, 1, EntryKind.CONFIGURATION, b"", configuration)]
    )
    driver = ReplicaDriver(durable_state=durable_state)
    driver.run_ticks(4.5)
    driver.handle(MessageReceived(VoteReply("lab", B, A, 2, True, True)))
    driver.confirm_persists()
    driver.handle(MessageReceived(VoteReply("lab", B, A, 2, False, True)))
    driver.confirm_persists()
    for _ in range(30):
        driver.receive_append_reply(B)
        driver.receive_append_reply(replacement, log_index=0, is_matched=False)
        driver.run_ticks(0.1)
    status = driver.replica.status()
    assert (status.voting_vms, status.joining_vms) == ({"a", "b"}, {"c"})
    assert not status.is_fully_replicated


def test_status_is_fully_replicated_only_once_the_configuration_is_committed():
    driver = make_leader()
    assert driver.replica.status().is_fully_replicated
    driver.handle(ChangeMembership(VMS, "t"))
    driver.confirm_persists()
    assert not driver.replica.status().is_fully_replicated
    driver.receive_append_reply(B)
    driver.receive_append_reply(C)
    assert driver.replica.status().is_fully_replicated


def test_leader_ignores_its_own_earlier_join_request():
    driver = make_leader()
    former_configuration = driver.replica.core.log.configuration
    driver.handle(MessageReceived(JoinRequest("lab", A)))
    driver.run_ticks(0.5)
    assert driver.replica.core.log.configuration == former_configuration


def test_snapshot_transfer_continues_after_a_newer_compaction():
    durable_state = make_durable_state()._replace(
        snapshot=Snapshot(5, 1, THREE_VOTERS, b"abcdef")
    )
    driver = make_leader(durable_state=durable_state, chunk_bytes=2, retained_entries=0)
    driver.receive_append_reply(C, log_index=1, is_matched=False)
    driver.handle(Propose(b"x", "t"))
    driver.confirm_persists()
    driver.receive_append_reply(B)
    commit_index = driver.replica.core.commit_index
    driver.handle(SnapshotTaken(commit_index, b"another"))
    driver.confirm_persists()
    term = driver.replica.core.term
    for received_bytes in (2, 4):
        round_number = driver.replica.core.leader_state.round
        reply = SnapshotReply("lab", C, A, term, 5, received_bytes, round_number)
        driver.handle(MessageReceived(reply))
    chunks = driver.sent_messages(SnapshotChunk)
    assert [(chunk.log_index, chunk.offset) for chunk in chunks] == [
        (5, 0),
        (5, 2),
        (5, 4),
    ]
    driver.actions.clear()
    driver.receive_append_reply(C, log_index=5)
    assert driver.sent_messages(AppendRequest)[0].entries[0].log_index == 6


def test_idle_leader_sends_each_follower_two_messages_per_second():
    driver = make_leader()
    for _ in range(100):
        driver.handle(Tick(), 0.1)
        driver.receive_append_reply(B)
        driver.receive_append_reply(C)
    requests = driver.sent_messages(AppendRequest)
    assert len(requests) <= 2 * 2 * 10 + 2
    assert max(len(MESSAGE_REGISTRY.encode(request)) for request in requests) < 100


def test_stopping_leader_transfers_leadership_to_a_voter_with_its_log():
    driver = make_leader()
    driver.handle(TransferLeadership())
    requests = driver.sent_messages(StandNow)
    assert len(requests) == 1
    assert requests[0].to in (B, C)


def test_leadership_is_not_transferred_to_a_voter_that_lacks_an_entry():
    driver = make_leader()
    driver.handle(Propose(b"x", "t"))
    driver.handle(TransferLeadership())
    assert driver.sent_messages(StandNow) == []


def test_voter_starts_an_election_at_once_at_the_leaders_request():
    driver = ReplicaDriver(replica_id=B, durable_state=make_durable_state(term=2))
    driver.handle(MessageReceived(append_request(sender=A, to=B)))
    driver.handle(MessageReceived(StandNow("lab", A, B, 2)))
    driver.confirm_persists()
    requests = driver.sent_messages(VoteRequest)
    assert {request.term for request in requests} == {3}
    assert all(
        request.is_leadership_transfer and not request.is_pre_vote
        for request in requests
    )


def test_stand_now_of_an_earlier_term_is_ignored():
    driver = ReplicaDriver(replica_id=B, durable_state=make_durable_state(term=3))
    assert driver.handle(MessageReceived(StandNow("lab", A, B, 2))) == []


@pytest.mark.parametrize("is_leadership_transfer", [False, True])
def test_vote_despite_a_live_leader_needs_a_leadership_transfer(
    is_leadership_transfer,
):
    voter = ReplicaDriver(replica_id=C, durable_state=make_durable_state(term=2))
    voter.handle(MessageReceived(append_request(sender=A, to=C)))
    request = vote_request(term=3, sender=B, to=C)._replace(
        is_leadership_transfer=is_leadership_transfer
    )
    voter.handle(MessageReceived(request))
    voter.confirm_persists()
    assert voter.sent_messages(VoteReply)[-1].is_granted == is_leadership_transfer


def test_replica_without_leases_starts_its_pre_vote_early():
    driver = ReplicaDriver(lease_fraction=0.0, start_timeout_s=0.15)
    driver.handle(Tick())
    assert driver.role() == Role.FOLLOWER
    driver.handle(Tick(), delay_s=0.31)
    assert driver.role() == Role.CANDIDATE


def test_short_start_timeout_is_rejected_with_a_read_lease():
    with pytest.raises(ValueError, match="lease"):
        ReplicaDriver(start_timeout_s=0.1)


def test_split_vote_candidates_retry_at_different_times():
    retry_delays = set()
    for seed in range(20):
        settings = ReplicaSettings(
            "lab",
            A,
            VMS,
            lease_fraction=0.0,
            start_timeout_s=0.08,
            election_timeout_s=0.6,
        )
        replica = Replica(settings, make_durable_state(), Random(seed))
        replica.handle(Tick(), 100.0)
        replica.handle(Tick(), 100.2)
        vote_reply = VoteReply("lab", B, A, replica.core.term + 1, True, True)
        replica.handle(MessageReceived(vote_reply), 100.21)
        retry_delays.add(
            round(replica.core.election_deadline - replica.core.steady_now, 2)
        )
    assert len(retry_delays) > 10
    assert max(retry_delays) - min(retry_delays) > 0.3
