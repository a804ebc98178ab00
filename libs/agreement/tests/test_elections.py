"""Simulated elections after a simultaneous start of replicas in three zones."""

from __future__ import annotations

import heapq
from itertools import count
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
)
from kumquatmux_agreement.events import (
    Apply,
    MessageReceived,
    Persist,
    Persisted,
    Send,
    Tick,
)
from kumquatmux_agreement.messages import VoteReply, VoteRequest
from kumquatmux_agreement.replica import Replica
from kumquatmux_agreement.settings import ReplicaSettings

VMS = ("a", "b", "c")
REPLICA_IDS = tuple(ReplicaId(vm, "1") for vm in VMS)
ELECTION_TIMEOUT_S = 0.6
START_TIMEOUT_S = 0.03
TICK_INTERVAL_S = 0.05
MESSAGE_DELAY_S = 0.005
START_WINDOW_S = 0.1
"""Time within which all replicas start."""


def new_replica(replica_number, random, last_term=4):
    settings = ReplicaSettings(
        "lab",
        REPLICA_IDS[replica_number],
        VMS,
        heartbeat_s=0.12,
        lease_fraction=0.0,
        start_timeout_s=START_TIMEOUT_S,
        election_timeout_s=ELECTION_TIMEOUT_S,
    )
    snapshot = Snapshot(0, 0, Configuration(VMS, REPLICA_IDS), b"")
    entries = (Entry(1, last_term, EntryKind.DATA, b"x"),)
    return Replica(
        settings, DurableState(VoteRecord(4, None), snapshot, entries), random
    )


class ClusterSimulation:
    """Simulation of replicas that start at about the same time.

    Messages are delayed; persists are confirmed at once.
    """

    def __init__(self, started, seed):
        self.random = Random(seed)
        self.event_numbers = count()
        self.events = []
        self.replicas = {
            VMS[number]: new_replica(number, self.random) for number in started
        }
        for vm in self.replicas:
            self._schedule(self.random.random() * START_WINDOW_S, vm, Tick())

    def _schedule(self, due_at, vm, event):
        heapq.heappush(self.events, (due_at, next(self.event_numbers), vm, event))

    def run_until_commit(self):
        """Run until a replica applies the initial log entry and return the time."""
        while True:
            now, _, vm, event = heapq.heappop(self.events)
            if isinstance(event, Tick):
                self._schedule(now + TICK_INTERVAL_S, vm, event)
            if self._handle(vm, event, now):
                return now
            assert now < 60, "no leader"

    def _handle(self, vm, event, now):
        pending_actions = list(self.replicas[vm].handle(event, now))
        while pending_actions:
            action = pending_actions.pop(0)
            if isinstance(action, Persist):
                persisted = Persisted(action.number)
                pending_actions += self.replicas[vm].handle(persisted, now)
            elif isinstance(action, Send) and action.to in self.replicas:
                delay_s = MESSAGE_DELAY_S * (1 + 0.3 * self.random.random())
                self._schedule(
                    now + delay_s, action.to, MessageReceived(action.message)
                )
            elif isinstance(action, Apply):
                return True
        return False


@pytest.mark.parametrize("started", [(0, 1, 2), (0, 1), (0, 2), (1, 2)])
def test_simultaneous_start_commits_within_one_election_timeout(started):
    commit_times = [
        ClusterSimulation(started, seed).run_until_commit() for seed in range(100)
    ]
    assert max(commit_times) < START_WINDOW_S + ELECTION_TIMEOUT_S


def pre_vote_request(to, sender, last_term=4):
    return MessageReceived(VoteRequest("lab", sender, to, 5, 1, last_term, True, False))


def granted_votes(actions):
    messages = [action.message for action in actions if isinstance(action, Send)]
    return [
        message.is_granted for message in messages if isinstance(message, VoteReply)
    ]


def pre_vote_candidate(replica_number):
    candidate = new_replica(replica_number, Random(1))
    candidate.handle(Tick(), 100.0)
    candidate.handle(Tick(), 100.3)
    assert candidate.core.election is not None
    return candidate


def test_one_of_two_candidates_with_equal_logs_wins_its_pre_vote():
    assert granted_votes(
        pre_vote_candidate(0).handle(
            pre_vote_request(REPLICA_IDS[0], REPLICA_IDS[1]), 100.31
        )
    ) == [False]
    assert granted_votes(
        pre_vote_candidate(1).handle(
            pre_vote_request(REPLICA_IDS[1], REPLICA_IDS[0]), 100.31
        )
    ) == [True]


def test_candidate_grants_pre_vote_to_a_more_complete_log():
    candidate = pre_vote_candidate(0)
    assert granted_votes(
        candidate.handle(
            pre_vote_request(REPLICA_IDS[0], REPLICA_IDS[1], last_term=5), 100.31
        )
    ) == [True]
