from __future__ import annotations

from random import Random

import pytest
from expression import Error, Ok

from kumquatmux_agreement.entries import (
    DurableState,
    ReplicaId,
    founding_state,
    joining_state,
)
from kumquatmux_agreement.events import Role
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.identity import Endpoint
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.control.core import ControlCore, ControlSettings, Member
from kumquatmux_daemons.control.effects import (
    Ask,
    AskControlVms,
    FromCopy,
    FromReplica,
    LogBehind,
    Send,
    StoodDown,
    Tell,
    Tick,
)
from kumquatmux_daemons.operators.desk import NotLeader, Reshaped, Settled, Uncertain
from kumquatmux_settings.change import Change, Edit, Verdict
from kumquatmux_settings.copy_events import (
    DistributionSettings,
    PeerRevision,
    Received,
    SendMessage,
)
from kumquatmux_settings.distribution import SettingsCopy
from kumquatmux_settings.messages import MESSAGE_TYPES, DeltaRequest

STEP_S = 0.1
CONTROL = {
    f"{zone}-c": Member(f"{zone}-c", zone, Endpoint(f"10.0.{number}.9", 4800))
    for number, zone in enumerate(("cnx-a", "cnx-b", "lpg-a"))
}
ENTRY = tuple(Member(f"{zone}-1", zone) for zone in ("cnx-a", "cnx-b", "lpg-a"))


class Folder:
    """Keeps what is persisted; fails on demand."""

    def __init__(self, state):
        self.state = state
        self.fails = False

    def write(self, persist):
        if self.fails:
            return Error(Problem("disk-failed", "the disk failed"))
        vote, snapshot, entries = self.state
        vote = persist.vote or vote
        if persist.snapshot is not None:
            snapshot = persist.snapshot
            entries = tuple(e for e in entries if e.log_index > snapshot.log_index)
            entries = entries if persist.keep_entries else ()
        if persist.entries:
            first = persist.entries[0].log_index
            entries = tuple(e for e in entries if e.log_index < first)
            entries += persist.entries
        self.state = DurableState(vote, snapshot, entries)
        return Ok(None)


class Site:
    """Control cores and entry copies joined in memory."""

    def __init__(self):
        self.now = 0.0
        self.cut = set()
        self.told = {}
        self.loss = 0.0
        self.rng = Random(3)
        self.effects = []
        founder = ReplicaId("cnx-a-c", "f-cnx-a-c")
        states = {vm: joining_state() for vm in CONTROL}
        states["cnx-a-c"] = founding_state(founder, tuple(CONTROL))
        self.folders = {vm: Folder(state) for vm, state in states.items()}
        self.cores = {}
        for vm in CONTROL:
            self.start(vm)
        sources = frozenset(CONTROL)
        self.copies = {
            m.vm: SettingsCopy(DistributionSettings(m.vm, sources), Random(2))
            for m in ENTRY
        }

    def start(self, vm, control=CONTROL, folder_name=None):
        folder_name = folder_name or f"f-{vm}"
        me = control[vm]
        others = tuple(member for member in control.values() if member != me)
        peers = tuple(member.vm for member in others)
        replica = ReplicaSettings("site", ReplicaId(vm, folder_name), peers)
        chosen = ControlSettings(replica, me.zone, others, ENTRY)
        folder = self.folders[vm]
        rng = Random(list(control).index(vm))
        self.cores[vm] = ControlCore(chosen, folder.state, folder, rng)

    def restart(self, vm):
        if vm in CONTROL:
            self.start(vm)
        else:
            options = DistributionSettings(vm, frozenset(CONTROL))
            self.copies[vm] = SettingsCopy(options, Random(2))

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for vm in list(self.cores):
                self.give(vm, Tick())

    def give(self, vm, event):
        queue = [(vm, event)]
        while queue:
            vm, event = queue.pop(0)
            for effect in self.cores[vm].handle(event, self.now):
                self.effects.append(effect)
                if isinstance(effect, Tell):
                    self.told[effect.token] = effect.handling
                elif isinstance(effect, Send) and self.passes(vm, effect.vm):
                    queue += self.deliver(effect.vm, effect.message)

    def passes(self, sender, receiver):
        return not self.cut & {sender, receiver} and self.rng.random() >= self.loss

    def gossip(self):
        """Let each entry VM hear the revision of each other one it reaches."""
        for sender, source in self.copies.items():
            for receiver, copy in self.copies.items():
                if sender != receiver and self.passes(sender, receiver):
                    news = PeerRevision(sender, source.revision, source.digest)
                    for action in copy.handle(news, self.now):
                        self.carry(receiver, action)

    def carry(self, sender, action):
        if isinstance(action, SendMessage) and self.passes(sender, action.vm):
            if action.vm in self.cores:
                self.give(action.vm, FromCopy(action.message))
            else:
                received = Received(action.message)
                for answer in self.copies[action.vm].handle(received, self.now):
                    self.carry(action.vm, answer)

    def deliver(self, vm, message):
        if vm in self.cores:
            is_copy = type(message) in MESSAGE_TYPES.values()
            return [(vm, FromCopy(message) if is_copy else FromReplica(message))]
        if vm not in self.copies:
            return []
        actions = self.copies[vm].handle(Received(message), self.now)
        sends = [a for a in actions if isinstance(a, SendMessage)]
        return [(a.vm, FromCopy(a.message)) for a in sends if a.vm in self.cores]

    def leader(self):
        live = [vm for vm in self.cores if vm not in self.cut]
        (vm,) = [v for v in live if self.cores[v].replica.status().role == Role.LEADER]
        return vm

    def ask(self, vm, change, token):
        self.give(vm, Ask(change, token))
        return self.told.get(token)

    def revisions(self):
        return {copy.revision for copy in self.copies.values()}


def change(change_id, base, value=5, option="hold_ms"):
    edits = (Edit(f"defaults.placement.{option}", str(value)),)
    return Change(change_id, base, "nok", "", edits)


@pytest.fixture
def site():
    site = Site()
    site.run(12.0)
    return site


def test_an_accepted_change_is_in_force_on_every_vm(site):
    told = site.ask(site.leader(), change("c1", 0), "t1")
    assert told.outcome.verdict is Verdict.ACCEPTED
    site.run(1.0)
    assert site.revisions() == {1}
    assert {core.changes.revision for core in site.cores.values()} == {1}
    site.run(2.0)
    assert max(copy.staleness(site.now) for copy in site.copies.values()) < 2.0


def test_what_status_says_of_changes_is_what_happens_to_them():
    site = Site()
    others = {vm: site.cores.pop(vm) for vm in ("cnx-b-c", "lpg-a-c")}
    founder = site.cores["cnx-a-c"]
    site.run(5.0)
    assert not founder.can_accept(site.now)
    assert site.ask("cnx-a-c", change("c1", 0), "t1").problem.code == "too-few-voters"
    site.cores.update(others)
    site.run(5.0)
    assert [core.can_accept(site.now) for core in site.cores.values()] == [True] * 3
    assert isinstance(site.ask("cnx-a-c", change("c1", 0), "t2"), Settled)
    site.cut = {"cnx-a-c"}
    site.run(5.0)
    assert not founder.can_accept(site.now)


def test_a_follower_names_the_leaders_endpoint(site):
    leader = site.leader()
    follower = next(vm for vm in CONTROL if vm != leader)
    told = site.ask(follower, change("c1", 0), "t1")
    assert isinstance(told, NotLeader)
    assert told.leader == CONTROL[leader].operators
    assert site.revisions() == {0}


def test_a_race_on_one_base_has_one_winner_and_resending_tells_the_same(site):
    leader = site.leader()
    first = site.ask(leader, change("c1", 0, 5), "t1")
    second = site.ask(leader, change("c2", 0, 6), "t2")
    again = site.ask(leader, change("c1", 0, 5), "t3")
    verdicts = [told.outcome.verdict for told in (first, second, again)]
    assert verdicts == [Verdict.ACCEPTED, Verdict.CONFLICT, Verdict.ACCEPTED]
    assert again == first


def test_a_refused_change_names_key_value_and_reason(site):
    told = site.ask(site.leader(), change("c1", 0, -1), "t1")
    assert told.outcome.verdict is Verdict.INVALID
    assert "defaults.placement.hold_ms: -1 must be from 0" in told.outcome.detail


def test_an_isolated_leader_accepts_nothing_and_shows_staleness(site):
    old = site.leader()
    site.cut = {old}
    told = site.ask(old, change("c1", 0), "t1")
    assert told is None
    site.run(15.0)
    assert isinstance(site.told["t1"], Uncertain | NotLeader)
    new = site.leader()
    assert isinstance(site.ask(new, change("c2", 0, 7), "t2"), Settled)
    assert site.cores[old].changes.revision == 0
    assert site.cores[old].copy.staleness(site.now) > 10.0
    site.cut = set()
    site.run(5.0)
    assert site.cores[old].changes.values == {"defaults.placement.hold_ms": "7"}


def test_a_failed_disk_stands_down_and_says_so(site):
    leader = site.leader()
    site.folders[leader].fails = True
    site.ask(leader, change("c1", 0), "t1")
    site.run(15.0)
    assert site.cores[leader].failure == "the disk failed [disk-failed]"
    assert StoodDown("the disk failed [disk-failed]") in site.effects
    del site.cores[leader]
    assert site.ask(site.leader(), change("c1", 0), "t2").outcome.revision == 1


def test_a_control_vm_is_replaced_by_one_with_another_name(site):
    leader = site.leader()
    gone = next(vm for vm in CONTROL if vm != leader)
    site.give(leader, AskControlVms((*CONTROL,), "t0"))
    site.give(leader, AskControlVms(tuple(CONTROL)[:2], "t1"))
    assert site.told["t0"] == Reshaped(tuple(CONTROL))
    assert site.told["t1"].problem.code == "membership-size"
    site.cut = {gone}
    new = Member("new-c", CONTROL[gone].zone, Endpoint("10.0.9.9", 4800))
    site.folders["new-c"] = Folder(joining_state())
    control = {**CONTROL, "new-c": new}
    site.start("new-c", control)
    wanted = tuple(vm for vm in control if vm != gone)
    site.give(leader, AskControlVms(wanted, "t2"))
    site.run(10.0)
    assert site.told["t2"] == Reshaped(wanted)
    voters = site.cores[leader].replica.status().configuration.voters
    assert sorted(voter.vm for voter in voters) == sorted(wanted)
    assert site.ask(leader, change("c1", 0), "t3").outcome.revision == 1
    site.run(1.0)
    assert site.cores["new-c"].changes.revision == 1


def test_a_control_vm_that_lost_its_disk_joins_again_under_its_name(site):
    leader = site.leader()
    lost = next(vm for vm in CONTROL if vm != leader)
    site.ask(leader, change("c1", 0), "t1")
    site.folders[lost] = Folder(joining_state())
    site.start(lost, folder_name="f-second")
    site.run(15.0)
    assert site.cores[lost].changes.revision == 1
    status = site.cores[site.leader()].replica.status()
    assert ReplicaId(lost, "f-second") in status.configuration.voters
    assert len(status.configuration.voters) == len(CONTROL)
    assert site.ask(site.leader(), change("c2", 1), "t2").outcome.revision == 2


def test_a_log_that_lost_its_past_takes_no_change_that_would_not_be_in_force(site):
    leader = site.leader()
    ahead = DeltaRequest("cnx-a-1", 7, "d" * 32)
    site.give(leader, FromCopy(ahead))
    told = site.ask(leader, change("c1", 0), "t1")
    assert told.problem.code == "log-behind"
    site.run(3.0)
    assert site.effects.count(LogBehind(7, 0)) == 1
    assert site.cores[leader].changes.revision == 0


def test_all_restart_with_hundreds_of_changes_and_go_on(site):
    leader = site.leader()
    for number in range(300):
        site.ask(leader, change(f"c{number}", number, number), f"t{number}")
    for vm in CONTROL:
        site.start(vm)
    site.run(15.0)
    assert {core.changes.revision for core in site.cores.values()} == {300}
    told = site.ask(site.leader(), change("c299", 299, 299), "again")
    assert told.outcome.revision == 300


VMS = [*CONTROL, *[member.vm for member in ENTRY]]
STEP_KINDS = (
    ["ask"] * 6 + ["resend"] * 2 + ["run"] * 4 + ["cut", "restart", "lose", "lose"]
)
STEPS = 60
OPTIONS = ["hold_ms", "queue_limit", "warm_ms"]
SEEDS = range(30)


class History:
    """What every VM has had in force, and what operators were told."""

    def __init__(self, site):
        self.site = site
        self.values = {0: {}}
        self.seen = {}
        self.outcomes = {}

    def look(self):
        for vm, core in self.site.cores.items():
            self.note(vm, core.changes.revision, core.changes.values)
        for vm, copy in self.site.copies.items():
            self.note(vm, copy.revision, copy.values)
        for token, handling in self.site.told.items():
            if isinstance(handling, Settled):
                change_id = token.partition("/")[0]
                first = self.outcomes.setdefault(change_id, handling.outcome)
                assert first == handling.outcome

    def note(self, vm, revision, values):
        assert revision >= self.seen.get(vm, 0)
        self.seen[vm] = revision
        assert self.values.setdefault(revision, dict(values)) == values


@pytest.mark.parametrize("seed", SEEDS)
def test_what_is_accepted_is_in_force_everywhere_and_never_reverts(seed):
    rng = Random(seed)
    site = Site()
    site.run(12.0)
    history = History(site)
    sent = []
    for number in range(STEPS):
        step = rng.choice(STEP_KINDS)
        vm = rng.choice(VMS)
        if step == "ask":
            asked = rng.choice(list(CONTROL))
            sent.append(
                change(f"c{number}", site.cores[asked].changes.revision, number)
            )
            site.ask(asked, sent[-1], f"c{number}/{number}")
        elif step == "resend" and sent:
            again = rng.choice(sent)
            token = f"{again.change_id}/{number}"
            site.ask(rng.choice(list(CONTROL)), again, token)
        elif step == "cut":
            site.cut = set(rng.sample(VMS, rng.randrange(3)))
        elif step == "lose":
            site.loss = rng.choice([0.0, 0.2])
        elif step == "run":
            site.run(rng.choice([0.3, 6.0]))
            site.gossip()
        elif step == "restart":
            site.restart(vm)
            history.seen.pop(vm, None)
        history.look()
    site.cut, site.loss = set(), 0.0
    for _ in range(4):
        site.run(6.0)
        site.gossip()
    history.look()
    final = site.cores[site.leader()].changes
    assert set(history.seen.values()) == {final.revision}
    for change_id, outcome in history.outcomes.items():
        if outcome.verdict is Verdict.ACCEPTED:
            made = [r for r in final.revisions.retained if r.change_id == change_id]
            assert [r.number for r in made] == [outcome.revision]
