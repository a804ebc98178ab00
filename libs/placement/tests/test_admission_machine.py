"""Histories of admission, and each promise shown to fail when it is broken."""

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
NAMES = [ServerId(f"127.0.0.{number}:9000") for number in (1, 2, 3)]
FOREVER_MS = 1e12
SETTINGS = PlacementSettings(
    hold_ms=1000.0,
    queue_limit=6,
    reserve_ms=FOREVER_MS,
    stuck_ms=FOREVER_MS,
    ended_work_limit=8,
    history_caller_limit=3,
)
RUN = hypothesis_settings(max_examples=40, stateful_step_count=40)
BREAK = hypothesis_settings(
    RUN, max_examples=400, phases=[Phase.generate], report_multiple_bugs=False
)


class History(RuleBasedStateMachine):
    """Any order of events; the outcomes are checked against plain bookkeeping."""

    @initialize()
    def begin(self):
        self.now = 0.0
        self.admission = Admission(SETTINGS, random.Random(1))
        self.servers = {}
        self.pending = {}
        self.open = {}
        self.slots = {name: set() for name in NAMES}
        self.repeatable = {}
        self.gone = set()
        self.count = 0
        self.change([(ServerState.READY, 2), (ServerState.READY, 1)])

    def tell(self, event, submitted=b""):
        for outcome in self.admission.handle(event, self.now):
            self.check(outcome, submitted)

    def check(self, outcome, submitted):
        work_id = outcome.work_id
        if isinstance(outcome, Held):
            assert work_id in self.pending or work_id == submitted
            assert outcome.until <= self.now + SETTINGS.hold_ms / 1000.0
            self.pending[work_id] = outcome.until
        elif isinstance(outcome, Placed) and outcome.reason == "already-placed":
            assert self.open[work_id] == outcome.server
        elif isinstance(outcome, Placed):
            self.check_placed(outcome, submitted)
        elif isinstance(outcome, (Refused, Cancelled)):
            assert work_id in self.pending or work_id == submitted
            assert work_id not in self.open, "refused work was placed"
            certain = self.repeatable[work_id] or work_id not in self.gone
            assert certain, "called not run"
            self.pending.pop(work_id, None)
        elif isinstance(outcome, Unknown):
            assert work_id in self.gone, "work with a known fate"

    def check_placed(self, outcome, submitted):
        work_id, name = outcome.work_id, outcome.server
        assert work_id in self.pending or work_id == submitted, "not asked for"
        assert work_id not in self.open, "placed twice"
        assert self.repeatable[work_id] or work_id not in self.gone, "placed again"
        assert name in self.servers, "not ready: gone"
        assert self.servers[name].state is ServerState.READY, "not ready"
        assert len(self.slots[name]) < self.servers[name].slots, "over-committed"
        self.pending.pop(work_id, None)
        self.open[work_id] = name
        self.slots[name].add(work_id)

    @rule(
        size=st.sampled_from(SizeClass),
        repeatable=st.booleans(),
        caller=st.sampled_from(["", "a", "b", "c", "d", "e"]),
        patience_s=st.sampled_from([0.05, 0.5, float("inf")]),
    )
    def submit(self, size, repeatable, caller, patience_s):
        self.count += 1
        work_id = self.count.to_bytes(2)
        self.repeatable[work_id] = repeatable
        deadline = self.now + patience_s
        self.ask(Work(work_id, SERVICE, caller, 0.0, deadline, repeatable, size))

    def ask(self, work):
        self.tell(Submit(work), work.work_id)

    @precondition(lambda self: self.count)
    @rule(data=st.data())
    def submit_again(self, data):
        oldest = max(self.count - SETTINGS.ended_work_limit // 2 + 1, 1)
        number = data.draw(st.integers(oldest, self.count))
        work_id = number.to_bytes(2)
        repeatable = self.repeatable[work_id]
        self.ask(Work(work_id, SERVICE, "", 0.0, repeatable=repeatable))

    @precondition(lambda self: self.open)
    @rule(data=st.data(), kind=st.sampled_from([Started, Answered, Closed, Shed]))
    def progress(self, data, kind):
        work_id = data.draw(st.sampled_from(sorted(self.open)))
        name = self.open[work_id]
        if kind is Started:
            self.slots[name].add(work_id)
        else:
            self.slots[name].discard(work_id)
        if kind in (Closed, Shed):
            del self.open[work_id]
        if kind is Shed:
            self.gone.add(work_id)
        self.tell(kind(work_id, name))

    @precondition(lambda self: self.open or self.pending)
    @rule(data=st.data(), kind=st.sampled_from([Cancel, OutcomeLost]))
    def give_up(self, data, kind):
        work_id = data.draw(st.sampled_from(sorted([*self.open, *self.pending])))
        if kind is OutcomeLost and work_id in self.open:
            self.slots[self.open.pop(work_id)].discard(work_id)
            self.gone.add(work_id)
        self.tell(kind(work_id))
        assert work_id not in self.pending

    @rule(name=st.sampled_from(NAMES), number=st.integers(60_000, 60_003))
    def adopt(self, name, number):
        work_id = number.to_bytes(2)
        if work_id not in self.open and name in self.admission.load_by_server:
            self.repeatable[work_id] = False
            self.open[work_id] = name
            self.tell(Adopted(work_id, SERVICE, name))

    @rule(name=st.sampled_from(NAMES), busy=st.integers(0, 9), age=st.floats(0, 5))
    def report(self, name, busy, age):
        self.tell(LoadReported(name, busy, busy, age))

    @rule(
        shapes=st.lists(
            st.tuples(st.sampled_from(ServerState), st.integers(1, 3)), max_size=3
        )
    )
    def change(self, shapes):
        named = zip(NAMES, shapes, strict=False)
        servers = [
            Server(name, ZoneName("cnx-a"), slots, 50, state, -1e6)
            for name, (state, slots) in named
        ]
        self.servers = {server.server: server for server in servers}
        self.tell(ServersChanged(SERVICE, tuple(servers)))

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.7, 3.0]))
    def wait(self, seconds):
        until = self.now + seconds
        while self.admission.next_deadline() <= until:
            self.now = max(self.admission.next_deadline(), self.now)
            self.tell(Tick())
            assert self.admission.next_deadline() > self.now, (
                "a tick that changes nothing"
            )
        self.now = until

    @invariant()
    def held_work_is_decided_by_its_deadline(self):
        late = [until for until in self.pending.values() if until < self.now]
        assert not late, "held beyond its deadline"

    @invariant()
    def memory_is_bounded(self):
        pool = self.admission.pool_for(SERVICE)
        assert set(self.admission.flows) == set(self.open)
        assert len(pool.line) == len(self.pending) <= SETTINGS.queue_limit
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
        assert connections <= len(self.open)


@pytest.fixture(autouse=True)
def quiet():
    decisions.configure(as_json=False, enabled=False)
    yield
    decisions.configure(as_json=False, enabled=True)


def test_promises_hold_in_any_history():
    run_state_machine_as_test(History, settings=RUN)


def _overcommits(monkeypatch):
    monkeypatch.setattr(ServerLoad, "slots_in_use", property(lambda load: 0))


def _places_anywhere(monkeypatch):
    monkeypatch.setattr(ServerLoad, "accepts_new_work", lambda load, now: True)


def _never_refuses(monkeypatch):
    monkeypatch.setattr(WaitQueue, "remove_expired", lambda line, now: [])


def _forgets_submitted(monkeypatch):
    monkeypatch.setattr(Admission, "repeat_outcome", lambda admission, work, pool: None)


def _forgets_lost(monkeypatch):
    monkeypatch.setattr(RecentWorkIds, "contains", lambda ended, work_id, now: False)


def _remembers_all(monkeypatch):
    def add(ended, work_id, now):
        ended.ended_at[work_id] = now

    monkeypatch.setattr(RecentWorkIds, "add", add)


@pytest.mark.parametrize(
    ("mutate", "message"),
    [
        (_overcommits, "over-committed"),
        (_places_anywhere, "not ready"),
        (_never_refuses, "held beyond|changes nothing"),
        (_forgets_submitted, "placed twice|placed again|called not run"),
        (_forgets_lost, "placed again|called not run"),
        (_remembers_all, "ended_work_limit|assert"),
    ],
)
def test_each_promise_fails_when_broken(monkeypatch, mutate, message):
    mutate(monkeypatch)
    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(History, settings=BREAK)
