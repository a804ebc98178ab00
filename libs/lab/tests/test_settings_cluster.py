from __future__ import annotations

from contextlib import contextmanager
from random import Random

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from kumquatmux_agreement.entries import ReplicaId
from kumquatmux_agreement.events import (
    ChangeMembership,
    Propose,
    Read,
    RequestOutcome,
    Role,
)
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_lab.faultruns.settings_cluster import CLUSTER, Cluster
from kumquatmux_lab.faultruns.settings_faults import Faults
from kumquatmux_lab.faultruns.settings_history import violations
from kumquatmux_lab.faultruns.settings_network import NetworkSettings
from kumquatmux_lab.faultruns.settings_operators import Operator
from kumquatmux_settings.change import Change, Edit, Verdict
from kumquatmux_settings.changelog import ChangeLogSettings, encode_change
from kumquatmux_settings.digest import EMPTY_DIGEST

VMS = ("vm-0", "vm-1", "vm-2")
KINDS = ("crash", "crash_at_write", "isolate", "isolate_leader", "one_way_cut")
KINDS += ("power_cut", "lose_disk", "fill_disk", "fail_sync", "damage", "jump_clock")


def new_cluster(network, *, snapshot_entries=64, lease_fraction=0.6):
    me = ReplicaId(VMS[0], "")
    names = (*VMS, "vm-spare")
    options = ReplicaSettings(
        CLUSTER,
        me,
        names,
        snapshot_interval_entries=snapshot_entries,
        lease_fraction=lease_fraction,
    )
    cluster = Cluster(
        names, VMS, options, ChangeLogSettings(), network, Random(5), sync_s=0.002
    )
    for vm in VMS:
        cluster.nodes[vm].start(founds=vm == VMS[0])
    return cluster


class Site:
    """Three control VMs on a network without faults."""

    def __init__(self, **options):
        self.cluster = new_cluster(NetworkSettings(0, 0, 0), **options)
        self.answers = {}
        self.wait(5)
        assert self.cluster.is_whole()

    def wait(self, seconds):
        self.cluster.timeline.run_until(self.cluster.timeline.now + seconds)

    def leader(self):
        return self.cluster.leader()

    def change(self, change_id, *, at=None):
        node = at or self.leader()
        base = node.life.changes.revision
        edits = (Edit("key", f'"{change_id}"'),)
        data = encode_change(Change(change_id, base, "malee", "", edits))
        self.answers.pop(change_id, None)
        node.ask(
            Propose(data, change_id),
            lambda reply: self.answers.update({change_id: reply.outcome}),
        )
        self.wait(0.1)
        return self.answers.get(change_id)

    def held(self, node):
        changes = node.life.changes
        return (changes.revision, changes.digest)

    def lose(self, node):
        node.wipe()
        node.start()

    def cut_off(self, node):
        others = [vm for vm in self.cluster.nodes if vm != node.vm]
        links = [(node.vm, vm) for vm in others] + [(vm, node.vm) for vm in others]
        self.cluster.network.cuts.update(links)

    @contextmanager
    def suspended(self, node):
        """Suspend a VM for a while; its steady clock does not count the time."""
        life, node.life = node.life, None
        began = self.cluster.timeline.now
        yield
        life.clock_s -= self.cluster.timeline.now - began
        node.life = life

    def read(self, node):
        """Return the outcome of a read that meets no message of the other VMs."""
        outcomes = []
        node.ask(Read("read"), lambda reply: outcomes.append(reply.outcome))
        return outcomes

    def voters(self):
        status = self.leader().life.replica.status()
        return sorted(voter.vm for voter in status.configuration.voters)


@pytest.mark.parametrize(
    ("lease_fraction", "outcomes"), [(0.6, [RequestOutcome.CURRENT]), (0.0, [])]
)
def test_a_leader_that_was_suspended_reads_old_settings_only_under_a_lease(
    lease_fraction, outcomes
):
    site = Site(lease_fraction=lease_fraction)
    site.change("before")
    former = site.leader()
    before = site.held(former)
    with site.suspended(former):
        site.wait(8.0)
        assert site.change("after") == RequestOutcome.COMMITTED
        assert site.held(site.leader()) != before
    assert site.held(former) == before
    assert site.read(former) == outcomes


@pytest.mark.parametrize("snapshot_entries", [64, 10_000])
def test_all_come_back_to_the_right_state_after_500_changes(snapshot_entries):
    site = Site(snapshot_entries=snapshot_entries)
    for number in range(500):
        assert site.change(f"c{number}") == RequestOutcome.COMMITTED
    before = site.held(site.leader())
    for vm in VMS:
        site.cluster.nodes[vm].stop()
    for vm in VMS:
        site.cluster.nodes[vm].start()
    site.wait(10)
    assert {site.held(site.cluster.nodes[vm]) for vm in VMS} == {before}
    assert before[0] == 500


def test_a_leader_cut_off_for_minutes_accepts_nothing_and_reverts_nothing():
    site = Site()
    site.change("before")
    old = site.leader()
    site.cut_off(old)
    assert site.change("to-the-old", at=old) is None
    site.wait(5)
    assert site.answers["to-the-old"] == RequestOutcome.UNKNOWN
    assert site.leader() is not old
    assert site.change("to-the-new") == RequestOutcome.COMMITTED
    for _ in range(30):
        site.wait(10)
        assert site.change("again", at=old) == RequestOutcome.REFUSED
    accepted = site.held(site.leader())
    term = site.leader().life.replica.status().term
    site.cluster.network.cuts.clear()
    site.wait(5)
    assert {site.held(site.cluster.nodes[vm]) for vm in VMS} == {accepted}
    assert site.leader().life.replica.status().term == term


@pytest.mark.parametrize("second_is_leader", [True, False])
def test_a_second_vm_lost_right_after_a_repair_takes_nothing_with_it(second_is_leader):
    site = Site()
    for number in range(20):
        site.change(f"c{number}")
    accepted = site.held(site.leader())
    first = next(n for n in site.cluster.nodes.values() if n is not site.leader())
    site.lose(first)
    while not site.cluster.is_whole():
        site.wait(0.01)
    others = [site.cluster.nodes[vm] for vm in VMS if vm != first.vm]
    second = next(n for n in others if (n is site.leader()) == second_is_leader)
    site.lose(second)
    site.wait(15)
    assert site.cluster.is_whole()
    assert {site.held(site.cluster.nodes[vm]) for vm in VMS} == {accepted}


def test_a_lost_vm_that_founds_again_takes_nobody_over():
    site = Site()
    site.change("one")
    accepted = site.held(site.cluster.nodes["vm-1"])
    site.cluster.nodes["vm-0"].wipe()
    site.cluster.nodes["vm-2"].stop()
    again = site.cluster.nodes["vm-0"]
    again.start(founds=True)
    site.wait(30)
    assert again.life.replica.status().role == Role.LEADER
    assert site.change("to-the-new-cluster", at=again) == RequestOutcome.REFUSED
    assert site.held(site.cluster.nodes["vm-1"]) == accepted
    site.cluster.nodes["vm-2"].start()
    site.wait(10)
    assert site.change("two", at=site.cluster.nodes["vm-1"]) or site.change(
        "three", at=site.cluster.nodes["vm-2"]
    )
    assert site.held(again) == (0, EMPTY_DIGEST)


def test_a_repair_is_not_called_finished_before_it_is():
    site = Site()
    site.change("one")
    lost = next(n for n in site.cluster.nodes.values() if n is not site.leader())
    site.lose(lost)
    while True:
        status = site.leader().life.replica.status()
        if status.is_fully_replicated and site.cluster.is_whole():
            break
        site.wait(0.01)
    assert lost.life.replica.status().role == Role.FOLLOWER
    assert lost.life.replica.status().last_index >= status.commit_index


def test_a_leader_whose_disk_is_full_steps_down_and_acknowledges_nothing():
    site = Site()
    old = site.leader()
    old.disk.is_full = True
    assert site.change("one", at=old) in (None, RequestOutcome.UNKNOWN)
    assert old.life.replica.status().role == Role.FAILED
    site.wait(6)
    assert site.leader() is not old or not old.disk.is_full
    assert site.change("two") == RequestOutcome.COMMITTED
    old.disk.is_full = False
    site.wait(6)
    assert len({site.held(site.cluster.nodes[vm]) for vm in VMS}) == 1


@pytest.mark.parametrize("is_down", [True, False])
@pytest.mark.parametrize("goes", VMS)
def test_a_control_vm_is_replaced(goes, is_down):
    site = Site()
    site.change("one")
    if is_down:
        site.cluster.nodes[goes].stop()
        site.wait(6)
    wanted = tuple(vm for vm in VMS if vm != goes) + ("vm-spare",)
    site.cluster.nodes["vm-spare"].start()
    site.leader().ask(ChangeMembership(wanted, "m"), lambda reply: None)
    site.wait(10)
    assert site.voters() == sorted(wanted)
    assert site.change("two") == RequestOutcome.COMMITTED
    assert site.held(site.cluster.nodes["vm-spare"])[0] >= 1


class SettingsMachine(RuleBasedStateMachine):
    """Faults chosen by hypothesis; the history has to hold at every step."""

    @initialize(seed=st.integers(0, 99))
    def found(self, seed):
        self.cluster = new_cluster(NetworkSettings(), snapshot_entries=8)
        self.cluster.random.seed(seed)
        self.faults = Faults(self.cluster, "vm-spare")
        self.wait(10)
        self.faults.watch()
        for number in range(2):
            Operator(f"operator-{number}", self.cluster, 0.1).begin()

    @rule(kind=st.sampled_from(KINDS))
    def strike(self, kind):
        getattr(self.faults, kind)()

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def wait(self, seconds):
        self.cluster.timeline.run_until(self.cluster.timeline.now + seconds)

    @invariant()
    def holds(self):
        if hasattr(self, "cluster"):
            assert violations(tuple(self.cluster.history)) == ()


TestSettingsMachine = SettingsMachine.TestCase
TestSettingsMachine.settings = hypothesis_settings(
    max_examples=20, stateful_step_count=15
)


def test_operators_get_changes_accepted():
    cluster = new_cluster(NetworkSettings())
    cluster.timeline.run_until(10)
    Operator("operator", cluster, 0.0).begin()
    cluster.timeline.run_until(20)
    outcomes = [one for one in cluster.history if hasattr(one, "outcome")]
    assert any(one.outcome.verdict == Verdict.ACCEPTED for one in outcomes)
