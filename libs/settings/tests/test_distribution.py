from __future__ import annotations

import json
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from kumquatmux_settings.assembly import cut
from kumquatmux_settings.change import Edit
from kumquatmux_settings.copy_events import (
    Accepted,
    ChildrenChanged,
    Confirmed,
    DistributionSettings,
    InForce,
    PeerGone,
    PeerRevision,
    Received,
    SendMessage,
    Tick,
)
from kumquatmux_settings.digest import EMPTY_DIGEST, digest_after, digest_of
from kumquatmux_settings.distribution import SettingsCopy
from kumquatmux_settings.messages import Current, Delta, DeltaRequest, Snapshot

CONTROL = "control"
NODES = ["entry-1", "entry-2", "entry-3"]
KEYS = st.sampled_from(["a", "b", "c", "d"])


def copy(vm, **options):
    chosen = DistributionSettings(vm, frozenset({CONTROL}), **options)
    return SettingsCopy(chosen, Random(1))


class Network:
    """Copies joined by a lossy, reordering, duplicating wire; one control VM."""

    def __init__(self, children, **options):
        self.copies = {vm: copy(vm, **options) for vm in [CONTROL, *NODES]}
        self.wire = []
        self.now = 0.0
        self.log = {0: {}}
        self.tell(CONTROL, ChildrenChanged(tuple(children)))

    def tell(self, vm, event):
        member = self.copies[vm]
        before = member.revision
        actions = member.handle(event, self.now)
        assert member.revision >= before
        assert member.values == self.log[member.revision]
        assert member.digest == digest_of(member.values)
        self.wire += [(a.vm, a.message) for a in actions if isinstance(a, SendMessage)]

    def accept(self, edits):
        revision = max(self.log) + 1
        values = {**self.log[revision - 1]}
        for key, value in edits:
            values.pop(key, None)
            if value is not None:
                values[key] = json.dumps(value)
        self.log[revision] = values
        self.tell(CONTROL, Accepted(revision, dict(values)))

    def heartbeat(self, sender, receiver):
        source = self.copies[sender]
        self.tell(receiver, PeerRevision(sender, source.revision, source.digest))

    def settle(self):
        for _ in range(6):
            self.now += 2.0
            for vm in NODES:
                self.heartbeat(CONTROL, vm)
            while self.wire:
                vm, message = self.wire.pop(0)
                self.tell(vm, Received(message))


NODE = st.sampled_from(NODES)
PLACE = st.integers(0, 9)
EDITS = st.lists(st.tuples(KEYS, st.none() | st.integers(0, 3)), min_size=1, max_size=3)


class Spreading(RuleBasedStateMachine):
    """No copy goes back or holds other values than the log, and all converge."""

    @initialize(
        children=st.sampled_from([NODES, NODES[:1], []]),
        history=st.integers(1, 3),
        part_keys=st.integers(1, 3),
    )
    def begin(self, children, history, part_keys):
        self.net = Network(children, history_limit=history, part_keys=part_keys)

    @rule(edits=EDITS)
    def accept(self, edits):
        self.net.accept(edits)

    @rule(place=PLACE, is_lost=st.booleans(), is_repeated=st.booleans())
    def deliver(self, place, is_lost, is_repeated):
        wire = self.net.wire
        if wire:
            vm, message = wire[place % len(wire)]
            if not is_repeated:
                del wire[place % len(wire)]
            if not is_lost:
                self.net.tell(vm, Received(message))

    @rule(sender=st.sampled_from([CONTROL, *NODES]), receiver=NODE)
    def beat(self, sender, receiver):
        if sender != receiver:
            self.net.heartbeat(sender, receiver)

    @rule()
    def confirm(self):
        self.net.tell(CONTROL, Confirmed())

    @rule(vm=NODE)
    def restart(self, vm):
        self.net.copies[vm] = copy(vm)

    @rule(vm=NODE, seconds=st.sampled_from([0.4, 1.0]))
    def wait(self, vm, seconds):
        self.net.now += seconds
        self.net.tell(vm, Tick())

    def teardown(self):
        if hasattr(self, "net"):
            self.net.settle()
            revisions = {member.revision for member in self.net.copies.values()}
            assert revisions == {max(self.net.log)}


TestSpreading = Spreading.TestCase
TestSpreading.settings = settings(max_examples=80, stateful_step_count=60)


@given(st.dictionaries(KEYS, st.text()), st.dictionaries(KEYS, st.none() | st.text()))
def test_a_digest_updated_by_edits_equals_one_made_anew(values, changes):
    edits = tuple(Edit(key, text) for key, text in changes.items())
    after = {k: v for k, v in {**values, **changes}.items() if v is not None}
    assert digest_after(digest_of(values), values, edits) == digest_of(after)


ONE = Delta(CONTROL, 0, EMPTY_DIGEST, 1, digest_of({"a": "1"}), (Edit("a", "1"),))
LATER = Delta(CONTROL, 4, "f" * 32, 5, "e" * 32, ())
BAD = ONE._replace(digest="f" * 32)
FLAWED_TREE = Snapshot(CONTROL, 9, "f" * 32, (Edit("a", "1"),))


@pytest.mark.parametrize(
    "message, revision, asked",
    [
        (ONE, 1, None),
        (LATER, 0, EMPTY_DIGEST),
        (BAD, 0, ""),
        (FLAWED_TREE, 0, None),
        (Current(CONTROL, 3, "f" * 32, 0), 0, EMPTY_DIGEST),
        (Current(CONTROL, 0, "f" * 32, 0), 0, ""),
        (DeltaRequest("entry-2", 7, "f" * 32), 0, EMPTY_DIGEST),
    ],
)
def test_only_what_fits_exactly_is_taken(message, revision, asked):
    member = copy("entry-1")
    actions = member.handle(Received(message), 0.0)
    assert member.revision == revision
    requests = [a.message.digest for a in actions if isinstance(a, SendMessage)]
    assert requests == ([] if asked is None else [asked])


OLD_TREE = Snapshot(CONTROL, 2, digest_of({"a": "0"}), (Edit("a", "0"),))
NEW_TREE = Snapshot(CONTROL, 4, digest_of({"a": "1"}), (Edit("a", "1"),))


@pytest.mark.parametrize(
    "late", [OLD_TREE, NEW_TREE, ONE, Current(CONTROL, 2, OLD_TREE.digest, 0)]
)
def test_what_comes_late_changes_nothing(late):
    member = copy("entry-1")
    member.handle(Received(NEW_TREE), 0.0)
    assert member.handle(Received(late), 9.0) == []
    assert (member.revision, member.values) == (4, {"a": "1"})
    assert member.staleness(9.0) == float("inf")


def test_a_flawed_copy_is_repaired_by_a_control_vm_only():
    member = copy("entry-1")
    member.handle(Received(ONE), 0.0)
    right = {"a": "2"}
    tree = Snapshot("entry-2", 1, digest_of(right), (Edit("a", "2"),))
    assert member.handle(PeerRevision("entry-2", 1, tree.digest), 0.0) == []
    (ask,) = member.handle(PeerRevision(CONTROL, 1, tree.digest), 0.0)
    assert ask.message == DeltaRequest("entry-1", 1, "")
    assert member.handle(Received(tree), 0.0) == []
    told = member.handle(Received(tree._replace(sender=CONTROL)), 0.0)
    assert told == [InForce(1, tree.digest, (Edit("a", "2"),))]


def test_a_tree_in_parts_is_taken_once_it_is_whole():
    values = {str(number): "0" for number in range(5)}
    whole = Snapshot(CONTROL, 3, digest_of(values), ())
    parts = cut(whole, values, 2)
    assert [len(part.edits) for part in parts] == [2, 2, 1]
    member = copy("entry-1")
    other = parts[2]._replace(sender="entry-2")
    for part in (parts[1], other, parts[2], parts[2], parts[1]):
        assert member.handle(Received(part), 0.0) == []
    (in_force,) = member.handle(Received(parts[0]), 0.0)
    assert (in_force.revision, member.values) == (3, values)


def test_parts_that_still_come_hold_back_the_next_request():
    member = copy("entry-1")
    parts = cut(Snapshot(CONTROL, 3, "f" * 32, ()), {"a": "1", "b": "2"}, 1)
    member.handle(PeerRevision(CONTROL, 3), 0.0)
    member.handle(Received(parts[0]), 0.9)
    assert member.handle(Tick(), 1.5) == []
    (again,) = member.handle(Tick(), 2.0)
    assert again.vm == CONTROL


def test_an_unanswered_request_goes_to_another_peer():
    member = copy("entry-1")
    (first,) = member.handle(PeerRevision("entry-2", 4), 0.0)
    assert member.handle(PeerRevision("entry-3", 4), 0.5) == []
    member.handle(PeerGone("entry-2"), 0.6)
    (second,) = member.handle(Tick(), 1.0)
    assert [first.vm, second.vm] == ["entry-2", "entry-3"]


def test_staleness_grows_until_the_leader_is_heard_again():
    member = copy("entry-1")
    member.handle(Received(ONE), 0.0)
    member.handle(ChildrenChanged(("entry-2",)), 0.0)
    assert member.staleness(10.0) == float("inf")
    (passed_on,) = member.handle(Received(Current(CONTROL, 1, ONE.digest, 300)), 10.0)
    assert passed_on.message == Current("entry-1", 1, ONE.digest, 300)
    assert member.staleness(11.0) == pytest.approx(1.3)
    member.handle(Received(Current(CONTROL, 1, ONE.digest, 5000)), 11.0)
    assert member.staleness(11.0) == pytest.approx(1.3)
