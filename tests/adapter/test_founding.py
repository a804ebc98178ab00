"""Control VMs on real folders, lost or started again before a cluster exists."""

from __future__ import annotations

import json
import os
import shutil
import tempfile
from collections import deque
from pathlib import Path
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kumquatmux_core import decisions
from kumquatmux_daemons.registrar import core
from kumquatmux_daemons.registrar.agreed import Agreed
from kumquatmux_daemons.registrar.calls import Outcome, PutDocument
from kumquatmux_daemons.registrar.core import (
    UNFOUNDED_S,
    Answered,
    CoreParts,
    RegistrarCore,
)
from kumquatmux_daemons.registrar.daemon import TICK_S, replica_settings
from kumquatmux_daemons.registrar.first_start import FILE_NAME
from kumquatmux_daemons.registrar.folder import open_store
from kumquatmux_daemons.registrar.seats import SEATING_S
from kumquatmux_platform.first_start import note_first_start
from kumquatmux_platform.node_file import read_node_file, registrar_settings
from kumquatmux_registry.saved import SavedServers

SEEDS = ("10.1.0.13", "10.2.0.41", "10.3.0.9")
FIRST, SECOND, THIRD = SEEDS
SPARES = ("10.1.0.14", "10.2.0.42")
FOUNDED_S = SEATING_S + 1.0
LONG_S = 12.0


@pytest.fixture(autouse=True)
def quiet():
    decisions.configure(as_json=False, enabled=False)
    yield
    decisions.configure(as_json=False)


class Site:
    """Control VMs, their folders and the messages between them, under one clock."""

    def __init__(self, folder):
        self.folder = folder
        self.now = 0.0
        self.random = Random(7)
        self.cores = {}
        self.messages = deque()
        self.answers = {}
        self.cut_off = set()
        self.calls = 0

    def settings(self, vm, *, bootstrap):
        node = {
            "node-name": vm,
            "ip": vm,
            "zone": f"z-{vm.split('.')[1]}",
            "bind-addrs": {"control": f"{vm}:8166"},
            "internal-port-range": [7720, 7735],
            "seed-nodes": [f"{seed}:8166" for seed in SEEDS],
            "bootstrap": bootstrap,
            "data-dir": str(self.folder / vm / "data"),
        }
        path = self.folder / vm / "settings.json"
        path.parent.mkdir(exist_ok=True)
        path.write_bytes(msgspec.json.encode(node))
        return registrar_settings(read_node_file(path).ok).ok

    def end_at_once(self, vm):
        """Let the first process of a VM end before its large imports."""
        self.settings(vm, bootstrap=True)
        note_first_start(str(self.folder / vm / "settings.json"))

    def start(self, vm, *, bootstrap):
        settings = self.settings(vm, bootstrap=bootstrap)
        store = open_store(settings).ok
        agreed = Agreed(replica_settings(settings, store), store, self.random)
        parts = CoreParts(agreed, SavedServers(store.disk))
        number = self.random.getrandbits(40)
        self.cores[vm] = RegistrarCore(settings, parts, number, self.now)

    def kill(self, vm):
        self.cores.pop(vm).agreed.store.disk.close()

    def wipe(self, vm):
        self.kill(vm)
        shutil.rmtree(self.folder / vm / "data")

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for vm in sorted(self.cores):
                self.carry_out(vm, self.cores[vm].tick(self.now))
            self.deliver()

    def deliver(self):
        while self.messages:
            sender, to, message = self.messages.popleft()
            is_cut = (sender in self.cut_off) != (to in self.cut_off)
            if to in self.cores and not is_cut:
                self.carry_out(to, self.cores[to].message(sender, message, self.now))

    def carry_out(self, vm, effects):
        for effect in effects:
            if isinstance(effect, Answered):
                self.answers[effect.token] = effect.answer.outcome
            else:
                self.messages.append((vm, effect.vm, effect.message))

    def acknowledged_by(self, number, vms=(), within_s=1.0):
        """Return the control VMs that acknowledge an order in time."""
        tokens = {}
        for vm in vms or sorted(self.cores):
            self.calls += 1
            token = tokens[vm] = f"call-{self.calls}"
            call = PutDocument(number, b"x")
            self.carry_out(vm, self.cores[vm].call(call, token, self.now))
        self.run(within_s)
        done = Outcome.DONE
        return [vm for vm, token in tokens.items() if self.answers.get(token) == done]

    def voters(self):
        core = self.leader().agreed.replica.core
        return sorted(voter.vm for voter in core.log.configuration.voters)

    def leader(self):
        (leader,) = [one for one in self.cores.values() if one.agreed.is_leader]
        return leader

    def origins(self):
        cores = [one.agreed.replica.core for one in self.cores.values()]
        return {core.log.configuration.origin for core in cores} - {""}


@pytest.fixture
def site(tmp_path):
    return Site(tmp_path)


# Guards against: no cluster for good, as the one seed that could found it was ended
# before its first write and started again as one that joins.
@pytest.mark.parametrize("lost", SEEDS)
def test_a_cluster_is_founded_without_the_start_of_any_one_seed(site, lost):
    for vm in SEEDS:
        site.start(vm, bootstrap=vm != lost)
    site.run(FOUNDED_S)
    assert site.acknowledged_by(4)
    site.run(FOUNDED_S)
    assert site.voters() == sorted(SEEDS)
    assert len(site.origins()) == 1


# Guards against: no cluster for good, as the seed that founded it lost its disk before
# any other had joined.
@pytest.mark.parametrize("lost", SEEDS)
def test_a_cluster_outlives_any_one_seed_wiped_at_its_start(site, lost):
    site.start(lost, bootstrap=True)
    site.run(1.0)
    site.wipe(lost)
    for vm in SEEDS:
        site.start(vm, bootstrap=vm != lost)
    site.run(FOUNDED_S)
    assert site.acknowledged_by(4)
    assert len(site.origins()) == 1


# Guards against: the first order waits for a seed that is lost for good at its start.
@pytest.mark.parametrize("lost", SEEDS)
def test_the_first_order_does_not_wait_for_a_seed_that_never_comes(site, lost):
    for vm in SEEDS:
        if vm != lost:
            site.start(vm, bootstrap=True)
    site.run(1.0)
    assert site.acknowledged_by(4) == []
    site.run(FOUNDED_S)
    assert site.acknowledged_by(4)


# Guards against: the first order is on two disks while the third VM still joins, and is
# lost with one of the two.
@pytest.mark.parametrize("lost", SEEDS)
@pytest.mark.parametrize("joining", SEEDS)
def test_the_first_order_outlives_any_one_disk(site, joining, lost):
    for vm in SEEDS:
        site.start(vm, bootstrap=vm != joining)
    while not site.acknowledged_by(4, within_s=TICK_S):
        assert site.now < LONG_S
    site.wipe(lost)
    site.start(lost, bootstrap=False)
    site.run(FOUNDED_S)
    assert site.leader().agreed.documents.newest.number == 4


# Guards against: a seed that comes alone, or is cut off, founds a cluster of its own.
def test_a_seed_alone_founds_nothing(site):
    site.start(FIRST, bootstrap=True)
    site.run(LONG_S)
    assert site.acknowledged_by(4) == []
    assert not site.cores[FIRST].agreed.is_leader


# Guards against: a majority of seeds that were never told to found make a cluster,
# though another one may exist out of their sight.
def test_seeds_that_were_started_empty_again_found_nothing(site):
    for vm in SEEDS:
        site.start(vm, bootstrap=vm == THIRD)
    site.run(LONG_S)
    assert site.acknowledged_by(4) == []


# Guards against: a founder that was frozen at its start leads a second cluster, or a
# wiped one votes again as the replica that it was.
@pytest.mark.parametrize("late", SEEDS)
def test_a_founder_that_wakes_late_follows_the_cluster_of_the_others(site, late):
    others = [vm for vm in SEEDS if vm != late]
    for vm in others:
        site.start(vm, bootstrap=True)
    site.run(FOUNDED_S)
    assert site.acknowledged_by(4)
    site.start(late, bootstrap=True)
    site.run(FOUNDED_S)
    site.wipe(others[0])
    site.start(others[0], bootstrap=False)
    site.run(FOUNDED_S)
    assert site.acknowledged_by(5)
    identities = {one.agreed.replica.core.replica_id for one in site.cores.values()}
    voters = site.leader().agreed.replica.core.log.configuration.voters
    assert set(voters) == identities
    folders = {voter.folder for voter in voters if voter.vm != others[0]}
    assert folders == site.origins()
    assert site.cores[others[0]].agreed.replica.core.replica_id.folder not in folders


# Guards against: seats that have moved to other VMs while two seeds were cut off, and
# those two, with one that is wiped, make a second cluster that takes orders.
def test_seeds_without_a_seat_found_no_second_cluster(site):
    for vm in (*SEEDS, *SPARES):
        site.start(vm, bootstrap=True)
    site.run(FOUNDED_S)
    assert site.acknowledged_by(4)
    away = [vm for vm in SEEDS if vm != site.leader().settings.vm]
    for vm in away:
        site.cut_off = {vm}
        site.run(FOUNDED_S)
    site.cut_off = set(away)
    site.run(FOUNDED_S)
    assert not set(site.voters()) & set(away)
    lost = next(vm for vm in SEEDS if vm not in away)
    site.wipe(lost)
    site.start(lost, bootstrap=False)
    site.cut_off = set(SEEDS)
    site.run(LONG_S)
    assert site.acknowledged_by(5, SEEDS) == []
    site.cut_off = set()
    site.run(FOUNDED_S)
    assert site.acknowledged_by(6)
    assert len(site.origins()) == 1


TROUBLES = st.lists(
    st.tuples(
        st.sampled_from(["kill", "cut", "heal", "order"]),
        st.sampled_from(SEEDS),
        st.floats(0.0, 2.0),
    ),
    max_size=12,
)


def play(site, delays, lost, is_wiped, troubles):
    """Start the seeds with troubles between; return the highest order acknowledged.

    One seed, ``lost``, is ended before its first write, or loses its disk.
    """
    for delay, vm in sorted(zip(delays, SEEDS, strict=True)):
        site.run(delay)
        site.start(vm, bootstrap=vm != lost or is_wiped)
    acknowledged = 0
    for number, (kind, vm, seconds) in enumerate(troubles, 1):
        if kind == "kill":
            site.kill(vm)
            site.run(seconds)
            site.start(vm, bootstrap=False)
        elif kind == "order":
            acknowledged = number if site.acknowledged_by(number) else acknowledged
        else:
            site.cut_off = {vm} if kind == "cut" else set()
            site.run(seconds)
        assert len(site.origins()) <= 1
    site.cut_off = set()
    if is_wiped:
        site.run(FOUNDED_S)
        site.wipe(lost)
        site.start(lost, bootstrap=False)
    return acknowledged


# Guards against: two clusters, none, or an acknowledged order that is lost, whatever
# ends, comes late, is cut off or loses its disk while the cluster is founded.
@settings(max_examples=40)
@given(
    st.tuples(*[st.floats(0.0, 2.0)] * 3),
    st.sampled_from(SEEDS),
    st.booleans(),
    TROUBLES,
)
def test_one_cluster_is_founded_and_keeps_its_orders(delays, lost, is_wiped, troubles):
    with tempfile.TemporaryDirectory() as folder:
        site = Site(Path(folder))
        acknowledged = play(site, delays, lost, is_wiped, troubles)
        site.run(FOUNDED_S)
        assert len(site.origins()) == 1
        assert site.leader().agreed.documents.newest.number >= acknowledged
        assert site.acknowledged_by(len(troubles) + 1)


# Guards against: no cluster for good, as all control VMs, or two of three, were ended
# while they started for the first time.
@pytest.mark.parametrize("ended", [SEEDS, SEEDS[:2], SEEDS[1:]])
def test_processes_that_end_while_they_start_leave_the_founding_to_the_next(
    site, ended
):
    for vm in ended:
        site.end_at_once(vm)
    for vm in SEEDS:
        site.start(vm, bootstrap=vm not in ended)
    site.run(FOUNDED_S)
    assert site.acknowledged_by(4)
    assert len(site.origins()) == 1


# Guards against: a note that outlives its disk, or that a VM takes which is no founder.
def test_a_wiped_or_foreign_note_founds_nothing(site):
    site.start(FIRST, bootstrap=True)
    site.wipe(FIRST)
    site.start(FIRST, bootstrap=False)
    assert site.origins() == set()
    site.end_at_once(SPARES[0])
    site.start(SPARES[0], bootstrap=False)
    assert site.origins() == set()


# Guards against: seeds that change after the first start and make another cluster.
def test_the_noted_seeds_found_though_the_settings_name_others(site, monkeypatch):
    site.end_at_once(FIRST)
    site.start(SECOND, bootstrap=True)
    monkeypatch.setattr(f"{__name__}.SEEDS", (FIRST, *SPARES))
    site.start(FIRST, bootstrap=False)
    site.run(FOUNDED_S)
    assert site.acknowledged_by(4)
    assert len(site.origins()) == 1


# Guards against: a program that ends, or founds with others, over a damaged note.
@pytest.mark.parametrize("place", range(0, 48, 3))
def test_a_damaged_note_is_no_note(site, place):
    site.end_at_once(FIRST)
    note = site.folder / FIRST / "data" / FILE_NAME
    content = bytearray(note.read_bytes())
    content[place % len(content)] ^= 0x81
    note.write_bytes(content)
    site.start(FIRST, bootstrap=False)
    assert site.origins() == set()


# Guards against: no cluster for good, and no line that says why.
@pytest.mark.parametrize("told", [(), SEEDS[:1]])
def test_a_cluster_that_cannot_be_founded_is_told(site, monkeypatch, told):
    lines = []
    monkeypatch.setattr(core, "log_decision", lambda event, **line: lines.append(line))
    for vm in SEEDS:
        site.start(vm, bootstrap=vm in told)
    site.run(UNFOUNDED_S - 1.0)
    assert lines == []
    site.run(2 * UNFOUNDED_S)
    assert len(lines) == 2 * len(SEEDS)
    assert [line["founds"] for line in lines[:3]] == [vm in told for vm in SEEDS]
    founders = {line["founders"] for line in lines if line["founds"]}
    assert founders == ({",".join(SEEDS)} if told else set())


def test_a_founded_cluster_is_not_told(site, monkeypatch):
    lines = []
    monkeypatch.setattr(core, "log_decision", lambda event, **line: lines.append(event))
    for vm in SEEDS:
        site.start(vm, bootstrap=True)
    site.run(2 * UNFOUNDED_S)
    assert "cluster-not-founded" not in lines


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
FIELDS = st.fixed_dictionaries(
    {"bootstrap": st.just(True)},
    optional={"data-dir": JSON, "seed-nodes": JSON, "ip": JSON, "x": JSON},
)


# Guards against: a first start that ends over settings that cannot be read.
@settings(max_examples=200)
@given(st.binary() | (JSON | FIELDS).map(lambda node: json.dumps(node).encode()))
def test_settings_that_are_not_sound_are_left_to_the_program(content):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_bytes(content)
        note_first_start(str(path))
        assert os.listdir(folder) == ["settings.json"]


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"[" * 200_000,
        b'{"bootstrap": 1' + b"0" * 10_000 + b"}",
        b'{"bootstrap": true, "data-dir": "\\u0000", "ip": "1.1.1.1",'
        b' "seed-nodes": ["1.1.1.1:1"]}',
        b'{"bootstrap": true, "data-dir": "\\ud800", "ip": "1.1.1.1",'
        b' "seed-nodes": ["1.1.1.1:1"]}',
    ],
)
def test_settings_that_end_a_decoder_are_left_to_the_program(tmp_path, content):
    path = tmp_path / "settings.json"
    path.write_bytes(content)
    note_first_start(str(path))
    assert [one.name for one in tmp_path.iterdir()] == ["settings.json"]
