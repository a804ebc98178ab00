"""Property-based test of admission, with a check that each property can fail."""

from __future__ import annotations

import random

import pytest
from hypothesis import Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from kumquatmux_core import decisions
from kumquatmux_core.identity import ServerId, ServiceName, ZoneName
from kumquatmux_placement.admission import Admission
from kumquatmux_placement.backend import ServerLoad
from kumquatmux_placement.events import (
    Adopted,
    Answered,
    Cancel,
    Cancelled,
    Closed,
    Held,
    LoadReported,
    OutcomeLost,
    Placed,
    Refused,
    Server,
    ServersChanged,
    ServerState,
    Shed,
    SizeClass,
    Started,
    Submit,
    Tick,
    Unknown,
    Work,
)
from kumquatmux_placement.memory import RecentWorkIds
from kumquatmux_placement.settings import PlacementSettings
from kumquatmux_placement.waiting import WaitQueue

SERVICE = ServiceName("entries")
SERVER_IDS = [ServerId(f"127.0.0.{number}:9000") for number in (1, 2, 3)]
FOREVER_MS = 1e12
SETTINGS = PlacementSettings(
    hold_ms=1000.0,
    queue_limit=6,
    reserve_ms=FOREVER_MS,
    stuck_ms=FOREVER_MS,
    ended_work_limit=8,
    history_caller_limit=3,
)
PROPERTY_SETTINGS = hypothesis_settings(max_examples=40, stateful_step_count=40)
MUTATION_SETTINGS = hypothesis_settings(
    PROPERTY_SETTINGS,
    max_examples=400,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


class AdmissionStateMachine(RuleBasedStateMachine):
    """Applies events in any order and checks the outcomes against a simple model."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.admission = Admission(SETTINGS, random.Random(1))
        self.servers = {}
        self.deadline_by_held_work = {}
        self.server_by_open_work = {}
        self.work_by_server = {server_id: set() for server_id in SERVER_IDS}
        self.repeatable = {}
        self.ids_with_unknown_outcome = set()
        self.submit_count = 0
        self.change_servers([(ServerState.READY, 2), (ServerState.READY, 1)])

    def handle_event(self, event, submitted=b""):
        for outcome in self.admission.handle(event, self.now):
            self.check_outcome(outcome, submitted)

    def check_outcome(self, outcome, submitted):
        work_id = outcome.work_id
        if isinstance(outcome, Held):
            assert work_id in self.deadline_by_held_work or work_id == submitted
            assert outcome.until <= self.now + SETTINGS.hold_ms / 1000.0
            self.deadline_by_held_work[work_id] = outcome.until
        elif isinstance(outcome, Placed) and outcome.reason == "already-placed":
            assert self.server_by_open_work[work_id] == outcome.server
        elif isinstance(outcome, Placed):
            self.check_placed(outcome, submitted)
        elif isinstance(outcome, (Refused, Cancelled)):
            assert work_id in self.deadline_by_held_work or work_id == submitted
            assert work_id not in self.server_by_open_work, "refused work was placed"
            not_run = (
                self.repeatable[work_id] or work_id not in self.ids_with_unknown_outcome
            )
            assert not_run, "reported as not run"
            self.deadline_by_held_work.pop(work_id, None)
        elif isinstance(outcome, Unknown):
            assert work_id in self.ids_with_unknown_outcome, "outcome is known"

    def check_placed(self, outcome, submitted):
        work_id, server_id = outcome.work_id, outcome.server
        assert work_id in self.deadline_by_held_work or work_id == submitted, (
            "was not submitted"
        )
        assert work_id not in self.server_by_open_work, "placed twice"
        assert (
            self.repeatable[work_id] or work_id not in self.ids_with_unknown_outcome
        ), "placed again"
        assert server_id in self.servers, "not ready: removed"
        assert self.servers[server_id].state is ServerState.READY, "not ready"
        assert len(self.work_by_server[server_id]) < self.servers[server_id].slots, (
            "over-committed"
        )
        self.deadline_by_held_work.pop(work_id, None)
        self.server_by_open_work[work_id] = server_id
        self.work_by_server[server_id].add(work_id)

    @rule(
        size=st.sampled_from(SizeClass),
        repeatable=st.booleans(),
        caller=st.sampled_from(["", "a", "b", "c", "d", "e"]),
        patience_s=st.sampled_from([0.05, 0.5, float("inf")]),
    )
    def submit(self, size, repeatable, caller, patience_s):
        self.submit_count += 1
        work_id = self.submit_count.to_bytes(2)
        self.repeatable[work_id] = repeatable
        deadline = self.now + patience_s
        self.submit_work(
            Work(work_id, SERVICE, caller, 0.0, deadline, repeatable, size)
        )

    def submit_work(self, work):
        self.handle_event(Submit(work), work.work_id)

    @precondition(lambda self: self.submit_count)
    @rule(data=st.data())
    def resubmit(self, data):
        oldest = max(self.submit_count - SETTINGS.ended_work_limit // 2 + 1, 1)
        number = data.draw(st.integers(oldest, self.submit_count))
        work_id = number.to_bytes(2)
        repeatable = self.repeatable[work_id]
        self.submit_work(Work(work_id, SERVICE, "", 0.0, repeatable=repeatable))

    @precondition(lambda self: self.server_by_open_work)
    @rule(data=st.data(), event_type=st.sampled_from([Started, Answered, Closed, Shed]))
    def advance_flow(self, data, event_type):
        work_id = data.draw(st.sampled_from(sorted(self.server_by_open_work)))
        server_id = self.server_by_open_work[work_id]
        if event_type is Started:
            self.work_by_server[server_id].add(work_id)
        else:
            self.work_by_server[server_id].discard(work_id)
        if event_type in (Closed, Shed):
            del self.server_by_open_work[work_id]
        if event_type is Shed:
            self.ids_with_unknown_outcome.add(work_id)
        self.handle_event(event_type(work_id, server_id))

    @precondition(lambda self: self.server_by_open_work or self.deadline_by_held_work)
    @rule(data=st.data(), event_type=st.sampled_from([Cancel, OutcomeLost]))
    def give_up(self, data, event_type):
        work_id = data.draw(
            st.sampled_from(
                sorted([*self.server_by_open_work, *self.deadline_by_held_work])
            )
        )
        if event_type is OutcomeLost and work_id in self.server_by_open_work:
            self.work_by_server[self.server_by_open_work.pop(work_id)].discard(work_id)
            self.ids_with_unknown_outcome.add(work_id)
        self.handle_event(event_type(work_id))
        assert work_id not in self.deadline_by_held_work

    @rule(server_id=st.sampled_from(SERVER_IDS), number=st.integers(60_000, 60_003))
    def adopt(self, server_id, number):
        work_id = number.to_bytes(2)
        if (
            work_id not in self.server_by_open_work
            and server_id in self.admission.load_by_server
        ):
            self.repeatable[work_id] = False
            self.server_by_open_work[work_id] = server_id
            self.handle_event(Adopted(work_id, SERVICE, server_id))

    @rule(
        server_id=st.sampled_from(SERVER_IDS),
        busy=st.integers(0, 9),
        age=st.floats(0, 5),
    )
    def report_load(self, server_id, busy, age):
        self.handle_event(LoadReported(server_id, busy, busy, age))

    @rule(
        states_and_slots=st.lists(
            st.tuples(st.sampled_from(ServerState), st.integers(1, 3)), max_size=3
        )
    )
    def change_servers(self, states_and_slots):
        servers_to_announce = zip(SERVER_IDS, states_and_slots, strict=False)
        servers = [
            Server(server_id, ZoneName("cnx-a"), slots, 50, state, -1e6)
            for server_id, (state, slots) in servers_to_announce
        ]
        self.servers = {server.server: server for server in servers}
        self.handle_event(ServersChanged(SERVICE, tuple(servers)))

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.7, 3.0]))
    def wait(self, seconds):
        until = self.now + seconds
        while self.admission.next_deadline() <= until:
            self.now = max(self.admission.next_deadline(), self.now)
            self.handle_event(Tick())
            assert self.admission.next_deadline() > self.now, (
                "tick left the deadline due"
            )
        self.now = until

    @invariant()
    def held_work_is_decided_by_its_deadline(self):
        overdue = [
            until for until in self.deadline_by_held_work.values() if until < self.now
        ]
        assert not overdue, "held beyond its deadline"

    @invariant()
    def memory_use_is_bounded(self):
        pool = self.admission.pool_for(SERVICE)
        assert set(self.admission.flows) == set(self.server_by_open_work)
        assert len(pool.line) == len(self.deadline_by_held_work) <= SETTINGS.queue_limit
        assert len(pool.line.expiry_heap) <= 2 * len(pool.line) + 17
        assert (
            len(pool.run_time_history.long_share_by_caller)
            <= SETTINGS.history_caller_limit
        )
        assert (
            len(self.admission.unknown_outcomes.ended_at) <= SETTINGS.ended_work_limit
        )
        assert (
            len(self.admission.recently_refused.ended_at) <= SETTINGS.ended_work_limit
        )
        connections = sum(
            load.open_connections for load in self.admission.load_by_server.values()
        )
        assert connections <= len(self.server_by_open_work)


@pytest.fixture(autouse=True)
def disable_decision_log():
    decisions.configure(as_json=False, enabled=False)
    yield
    decisions.configure(as_json=False, enabled=True)


def test_properties_hold_for_any_order_of_events():
    run_state_machine_as_test(AdmissionStateMachine, settings=PROPERTY_SETTINGS)


def _ignore_slots_in_use(monkeypatch):
    monkeypatch.setattr(ServerLoad, "slots_in_use", property(lambda load: 0))


def _accept_work_on_every_server(monkeypatch):
    monkeypatch.setattr(ServerLoad, "accepts_new_work", lambda load, now: True)


def _never_expire_held_work(monkeypatch):
    monkeypatch.setattr(WaitQueue, "remove_expired", lambda line, now: [])


def _forget_submitted_work(monkeypatch):
    monkeypatch.setattr(Admission, "repeat_outcome", lambda admission, work, pool: None)


def _forget_unknown_outcomes(monkeypatch):
    monkeypatch.setattr(RecentWorkIds, "contains", lambda ended, work_id, now: False)


def _never_evict_work_ids(monkeypatch):
    def add(ended, work_id, now):
        ended.ended_at[work_id] = now

    monkeypatch.setattr(RecentWorkIds, "add", add)


@pytest.mark.parametrize(
    ("break_property", "message"),
    [
        (_ignore_slots_in_use, "over-committed"),
        (_accept_work_on_every_server, "not ready"),
        (_never_expire_held_work, "held beyond|left the deadline due"),
        (_forget_submitted_work, "placed twice|placed again|reported as not run"),
        (_forget_unknown_outcomes, "placed again|reported as not run"),
        (_never_evict_work_ids, "ended_work_limit|assert"),
    ],
)
def test_each_broken_property_is_detected(monkeypatch, break_property, message):
    break_property(monkeypatch)
    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(AdmissionStateMachine, settings=MUTATION_SETTINGS)
