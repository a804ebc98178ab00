from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.identity import Endpoint
from kumquatmux_registry.follower import Follower, FollowerSettings
from kumquatmux_registry.leases import Leases
from kumquatmux_registry.publisher import Publisher, PublisherSettings
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_registry.settings import RegistrySettings
from kumquatmux_registry.table import ServerTable

STEP_S = 0.25
REPORT_STEPS = 4


def make_report(number=1, born=1):
    place = Endpoint("10.0.0.9", 1)
    lifetime = Lifetime("i-1", born)
    return Report(lifetime, number, "entries", place, "a", "v1", 2, Phase.READY, 0.0)


class Site:
    """Two control VMs, a server that reports to c1, and an entry VM that follows both.

    Attributes:
        cuts: Pairs of VMs that don't hear each other; i-1 stands for the server.
        paused: VMs that stand still. A VM that wakes looks at its leases, then reads
            the reports that waited, then hears other VMs.
        was_late_to_holder: Whether c1 marked the server late at any time.
        deaf_steps: Steps for which the entry VM has listened without hearing c1.
    """

    def __init__(self):
        self.now = 0.0
        self.steps = 0
        self.number = 0
        self.cuts = []
        self.paused = set()
        self.looked_at = 0.0
        self.was_late_to_holder = False
        self.deaf_steps = 0
        self.is_report_due = False
        self.control = {
            vm: Publisher(PublisherSettings(vm, "a", 7), Leases(RegistrySettings(), vm))
            for vm in ("c1", "c2")
        }
        self.followers = {
            "c1": Follower(FollowerSettings("c1", "a", True, ("c2",))),
            "c2": Follower(FollowerSettings("c2", "a", True, ("c1",))),
            "e1": Follower(FollowerSettings("e1", "a", False, ("c1", "c2"))),
        }
        self.table = ServerTable()

    def is_cut(self, one, other):
        return {one, other} in self.cuts

    def cut(self, one, other):
        self.cuts = [*self.cuts, {one, other}]

    def run(self, seconds):
        """Let time pass; return whether i-1 was late to the entry VM at any time."""
        was_late = False
        for _ in range(round(seconds / STEP_S)):
            self.step()
            was_late |= self.is_late()
        return was_late

    def step(self):
        self.steps += 1
        self.now = self.steps * STEP_S
        for vm in ("c1", "c2"):
            if vm not in self.paused:
                self.control[vm].leases.expire(self.now)
        record = self.control["c1"].leases.table.get("i-1")
        self.was_late_to_holder |= record is not None and record.is_late
        self.report()
        if "e1" not in self.paused:
            was_paused = self.now - self.looked_at > 1.0
            self.deaf_steps = 0 if was_paused else self.deaf_steps + 1
            self.looked_at = self.now
        for vm, follower in self.followers.items():
            if vm not in self.paused:
                follower.listening.note(self.now)
                self.poll(vm, follower)

    def report(self):
        self.is_report_due |= self.steps % REPORT_STEPS == 1
        is_heard = "c1" not in self.paused and not self.is_cut("i-1", "c1")
        if self.is_report_due and is_heard:
            self.is_report_due = False
            self.number += 1
            self.control["c1"].leases.report(make_report(self.number), self.now)

    def poll(self, vm, follower):
        for source, poll in follower.polls(self.now):
            if self.is_cut(vm, source) or source in self.paused:
                continue
            answer = self.control[source].answer(poll, self.now)
            follower.take(answer, self.now)
            self.merge(vm, answer)
            if (vm, source) == ("e1", "c1"):
                self.deaf_steps = 0

    def merge(self, vm, answer):
        for record in answer.records:
            if vm == "e1":
                self.table.merge(record, self.now)
            else:
                self.control[vm].leases.merge(record, self.now)

    def is_late(self):
        record = self.table.get("i-1")
        return record is not None and self.followers["e1"].is_known_late(
            record, self.now
        )


@pytest.fixture
def site():
    site = Site()
    assert site.run(5.0) is False
    return site


# Guards against a server that is late on the word of a VM that is cut off from the one
# that hears its reports, which this VM hears too.
def test_the_word_of_another_does_not_count_while_the_holder_is_heard(site):
    site.cut("c1", "c2")
    assert site.run(20.0) is False
    assert site.table.get("i-1").is_late
    site.cuts = []
    assert site.run(1.0) is False
    assert not site.table.get("i-1").is_late


# Guards against servers of a dead control VM that are never late.
def test_the_word_of_another_counts_once_the_holder_is_not_heard(site):
    site.cut("c1", "c2")
    site.cut("c1", "e1")
    site.cut("c1", "i-1")
    assert site.run(5.0) is False
    site.run(1.0)
    assert site.is_late()


# Guards against a dead server whose holder says just what another VM said before, so
# that it would never be late.
@pytest.mark.parametrize("is_told_before", [True, False])
def test_the_word_of_the_holder_counts(site, is_told_before):
    if is_told_before:
        site.cut("c1", "c2")
        assert site.run(20.0) is False
    site.cut("c1", "i-1")
    assert site.run(3.0) is False
    site.run(2.0)
    assert site.is_late()


# Guards against a server that stays late after its holder heard it again, or that is
# late again on another's word as its holder once called it late.
def test_a_former_word_of_the_holder_does_not_count(site):
    site.cut("c1", "i-1")
    site.run(6.0)
    assert site.is_late()
    site.cuts = []
    site.run(2.0)
    assert not site.is_late()
    site.cut("c1", "c2")
    assert site.run(20.0) is False
    assert site.table.get("i-1").is_late


# Guards against hearsay that counts since this VM stood still and missed the holder.
def test_the_word_of_another_does_not_count_as_this_vm_stood_still(site):
    site.cut("c1", "c2")
    site.run(10.0)
    assert site.table.get("i-1").is_late
    entry = site.followers["e1"]
    entry.listening.note(site.now + 30.0)
    assert not entry.is_known_late(site.table.get("i-1"), site.now + 30.0)


# Guards against hearsay that counts for a VM that looks too rarely to read all answers.
def test_the_word_of_another_does_not_count_for_a_starved_vm(site):
    site.cut("c1", "c2")
    site.run(10.0)
    entry = site.followers["e1"]
    answer = site.control["c2"].answer(entry.poll_of("c2", site.now), site.now)
    for look in range(1, 9):
        now = site.now + look * 1.125
        entry.listening.note(now)
        entry.take(answer, now)
        assert not entry.is_known_late(site.table.get("i-1"), now)


# Guards against hearsay that counts for a VM that is cut off itself.
def test_the_word_of_another_does_not_count_for_a_vm_that_hears_none(site):
    site.cut("c1", "c2")
    site.run(10.0)
    site.cut("e1", "c1")
    site.cut("e1", "c2")
    assert site.run(10.0) is False
    assert site.table.get("i-1").is_late


# Guards against a word that the holder took back while this VM could not hear it.
def test_a_word_does_not_count_once_its_holder_is_not_heard(site):
    site.cut("c1", "i-1")
    site.run(6.0)
    assert site.is_late()
    entry = site.followers["e1"]
    assert not entry.is_known_late(site.table.get("i-1"), site.now + 1.25)
    site.cuts = [{"e1", "c1"}, {"e1", "c2"}]
    site.run(1.25)
    assert site.run(10.0) is False
    assert site.table.get("i-1").is_late


# Guards against a word that is taken for one of a later lifetime or of a later holder.
def test_a_word_counts_for_its_lifetime_and_holder_only(site):
    site.cut("c1", "i-1")
    site.run(6.0)
    entry = site.followers["e1"]
    late = site.table.get("i-1")
    assert late.holder == "c1" and entry.is_known_late(late, site.now)
    later = ServerRecord(make_report(1, born=2), "c1", doubts=1)
    assert not entry.is_known_late(later, site.now)
    assert not entry.is_known_late(late._replace(holder="c2"), site.now)
    assert not entry.is_known_late(late._replace(doubts=2), site.now)


# Guards against words that pile up, or that outlive the process that gave them.
def test_only_the_words_of_servers_that_are_late_are_kept(site):
    source = site.followers["e1"].sources["c1"]
    site.cut("c1", "i-1")
    site.run(6.0)
    assert set(source.late_records) == {"i-1"}
    site.cuts = []
    site.run(2.0)
    assert source.late_records == {}
    site.cut("c1", "i-1")
    site.run(6.0)
    answer = site.control["c1"].answer(site.followers["e1"].poll_of("c1", site.now), 0)
    site.followers["e1"].take(answer._replace(incarnation=8, records=()), site.now)
    assert source.late_records == {}


CUTS = [("c1", "c2"), ("c1", "e1"), ("c2", "e1")]
DISTURBANCES = st.lists(
    st.tuples(
        st.lists(st.sampled_from(CUTS), unique=True),
        st.sets(st.sampled_from(["c1", "c2", "e1"])),
        st.integers(1, 40),
    ),
    max_size=8,
)


# Guards against any run of cuts and pauses in which a server that reports is late to
# its holder or to a VM that hears it, or in which a dead server is never late again.
@given(DISTURBANCES)
def test_a_server_that_reports_is_late_only_to_a_vm_that_misses_its_holder(spans):
    site = Site()
    site.run(4.0)
    for cuts, paused, steps in spans:
        site.cuts = [set(cut) for cut in cuts]
        site.paused = paused
        for _ in range(steps):
            site.step()
            assert not site.was_late_to_holder
            if "e1" not in paused and site.is_late():
                assert site.deaf_steps * STEP_S > 3.0
    site.cuts = []
    site.paused = set()
    site.run(4.0)
    assert not site.table.get("i-1").is_late
    site.cut("i-1", "c1")
    site.run(6.0)
    assert site.is_late()
