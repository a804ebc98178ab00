"""Orders to evacuate zones at one control VM alone."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from kumquatmux_agreement.entries import ReplicaId, founding_state
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core import decisions
from kumquatmux_core.identity import Endpoint
from kumquatmux_daemons.registrar.agreed import Agreed
from kumquatmux_daemons.registrar.calls import (
    OrderEvacuation,
    Outcome,
    PutDocument,
    ReadDocument,
    ReadEvacuations,
)
from kumquatmux_daemons.registrar.core import (
    Answered,
    CoreParts,
    RegistrarCore,
    Sent,
)
from kumquatmux_daemons.registrar.daemon import replica_settings
from kumquatmux_daemons.registrar.folder import open_store
from kumquatmux_daemons.registrar.seats import SEATING_S
from kumquatmux_daemons.registrar.settings import RegistrarSettings
from kumquatmux_registry.feed import FeedPoll
from kumquatmux_registry.saved import SavedServers
from kumquatmux_settings.documents import NumberedDocument, entry_of
from kumquatmux_settings.evacuations import MAX_ZONES, Evacuations
from kumquatmux_storage import Identity, open_or_create
from kumquatmux_storage.memory import MemoryDisk

VM = "127.0.0.1"
ENTRY = "127.0.0.9"
CALLS = Endpoint(VM, 8166)
SETTINGS = RegistrarSettings(
    vm=VM,
    zone="a",
    peers=CALLS,
    calls=CALLS,
    metrics=CALLS,
    seeds=(VM,),
    founds=True,
    folder=Path(),
    losses=0,
    report_period_s=1.0,
)
LEADS_AT = 10.0
SNAPSHOT_ENTRIES = 8


def start(disk, now=0.0, settings=SETTINGS):
    """Start a control VM on a disk."""
    identity = Identity("registrar", VM, "folder")
    first = founding_state(ReplicaId(VM, "folder"), (VM,))
    store = open_or_create(disk, identity, first).ok
    replica = ReplicaSettings(
        cluster="registrar",
        replica_id=ReplicaId(VM, "folder"),
        peers=(),
        snapshot_interval_entries=SNAPSHOT_ENTRIES,
        retained_entries=2,
    )
    agreed = Agreed(replica, store, Random(1))
    parts = CoreParts(agreed, SavedServers(disk))
    return RegistrarCore(settings, parts, 7, now)


def lead(core, now=0.0):
    """Let a control VM lead; return it."""
    for step in range(200):
        core.tick(now + step * 0.05)
    assert core.agreed.is_leader
    return core


@pytest.fixture
def core():
    return lead(start(MemoryDisk()))


@pytest.fixture
def lines():
    taken = []
    decisions.configure(as_json=True, sink=lambda *line: taken.append(line))
    yield taken
    decisions.configure(as_json=False)


def answer_to(core, call, now=11.0):
    effects = core.call(call, "t", now)
    [answer] = [one.answer for one in effects if isinstance(one, Answered)]
    return answer


def evacuate(core, zone, now=11.0):
    return answer_to(core, OrderEvacuation(zone, True), now).outcome


def reverse(core, zone, now=11.0):
    return answer_to(core, OrderEvacuation(zone, False), now).outcome


def evacuations_read(core, now=11.0):
    return answer_to(core, ReadEvacuations(), now).evacuations


def test_orders_are_acknowledged_and_read_back(core):
    assert evacuations_read(core) == Evacuations()
    assert evacuate(core, "b") == evacuate(core, "a") == Outcome.DONE
    assert evacuations_read(core) == Evacuations(2, ("a", "b"))
    assert reverse(core, "b") == Outcome.DONE
    assert evacuations_read(core) == Evacuations(3, ("a",))
    assert core.orders.evacuation_calls == {}


# Guards against a resent order that is refused, or that is pushed as a change.
def test_a_repeat_is_acknowledged_and_changes_nothing(core, lines):
    evacuate(core, "b")
    assert evacuate(core, "b") == Outcome.DONE
    assert reverse(core, "a") == Outcome.DONE
    assert evacuations_read(core).revision == 1
    applied = [fields for event, fields in lines if event == "evacuation-applied"]
    assert [(one["zone"], one["evacuated"], one["outcome"]) for one in applied] == [
        ("b", True, "in-force"),
        ("b", True, "repeated"),
        ("a", False, "repeated"),
    ]


# Guards against an acknowledgment from a state that may be old: a leader that was just
# elected knows of no later order before its own first entry is committed.
def test_a_repeat_goes_through_the_log_like_any_order(core):
    evacuate(core, "b")
    before = core.agreed.replica.core.commit_index
    evacuate(core, "b")
    assert core.agreed.replica.core.commit_index == before + 1


# Guards against a process that loses what it acknowledged when all VMs lose power.
def test_an_acknowledged_order_survives_a_loss_of_power():
    for seed in range(8):
        disk = MemoryDisk()
        core = lead(start(disk))
        evacuate(core, "a")
        evacuate(core, "b")
        reverse(core, "a")
        disk.crash(Random(seed))
        again = lead(start(disk, 20.0), 20.0)
        assert evacuations_read(again, 31.0) == Evacuations(3, ("b",))
        assert again.publisher.evacuations == (3, ("b",))


# Guards against evacuations that a snapshot leaves out.
def test_orders_survive_snapshots_and_a_restart():
    disk = MemoryDisk()
    core = lead(start(disk))
    answer_to(core, PutDocument(4, b"four"))
    for number in range(2 * SNAPSHOT_ENTRIES + 1):
        evacuate(core, "a") if number % 2 == 0 else reverse(core, "a")
    again = start(disk, 20.0)
    assert again.agreed.store.restored.snapshot.log_index > SNAPSHOT_ENTRIES
    lead(again, 20.0)
    revision = 2 * SNAPSHOT_ENTRIES + 1
    assert evacuations_read(again, 31.0) == Evacuations(revision, ("a",))
    assert answer_to(again, ReadDocument(), 31.0).content == b"four"


# Guards against a data folder that is refused for an order, or a snapshot with one.
def test_a_folder_with_orders_is_opened_again(tmp_path):
    settings = SETTINGS._replace(folder=tmp_path)

    def run(now):
        store = open_store(settings).ok
        replica = replica_settings(settings, store)._replace(
            snapshot_interval_entries=SNAPSHOT_ENTRIES, retained_entries=2
        )
        parts = CoreParts(Agreed(replica, store, Random(1)), SavedServers(store.disk))
        return lead(RegistrarCore(settings, parts, 7, now), now)

    core = run(0.0)
    for _ in range(SNAPSHOT_ENTRIES):
        evacuate(core, "a")
        reverse(core, "a")
    evacuate(core, "b")
    core.saved.files.close()
    again = run(20.0)
    assert again.agreed.store.restored.snapshot.data
    assert evacuations_read(again, 31.0) == (2 * SNAPSHOT_ENTRIES + 1, ("b",))
    again.saved.files.close()


# Guards against an order that reaches entry VMs only with their next poll.
def test_a_change_is_pushed_to_entry_vms_with_its_acknowledgment(core):
    core.message(ENTRY, FeedPoll(ENTRY, "a", False, 0, 0, 0, True), 11.0)
    effects = core.call(OrderEvacuation("b", True), "t", 11.1)
    [pushed] = [one for one in effects if isinstance(one, Sent)]
    assert pushed.vm == ENTRY
    assert pushed.message.evacuated_zones == ("b",)
    repeat = core.call(OrderEvacuation("b", True), "t", 11.2)
    assert not [one for one in repeat if isinstance(one, Sent)]


# Guards against an order before any document that is refused, or lost with one disk.
@pytest.mark.parametrize("is_first", [True, False])
def test_the_first_order_waits_for_voters_like_the_first_document(is_first):
    core = lead(start(MemoryDisk(), settings=SETTINGS._replace(losses=1)))
    if not is_first:
        core.agreed.documents.apply(entry_of(NumberedDocument(1, b"x")))
    answer = answer_to(core, OrderEvacuation("b", True))
    assert (answer.outcome == Outcome.UNAVAILABLE) == is_first
    if is_first:
        assert answer.problem.code == "too-few-voters"


def test_an_order_needs_no_document(core):
    assert core.agreed.documents.newest.number == 0
    assert evacuate(core, "b") == Outcome.DONE


# Guards against an order at a leader that may not be there to see it committed.
def test_a_vm_that_stops_puts_orders_off(core):
    core.stop(11.0)
    answer = answer_to(core, OrderEvacuation("b", True), 11.1)
    assert (answer.outcome, answer.problem.code) == (Outcome.UNAVAILABLE, "no-leader")
    assert core.agreed.documents.evacuations.revision == 0


def test_without_a_leader_orders_and_reads_are_put_off():
    core = start(MemoryDisk())
    for call in (OrderEvacuation("b", True), ReadEvacuations()):
        assert answer_to(core, call, 0.0).outcome == Outcome.UNAVAILABLE


# Guards against names that fill the feed, and an operator who isn't told that the order
# is not in force.
def test_an_order_beyond_the_limit_is_refused_until_another_is_reversed(core):
    for number in range(MAX_ZONES):
        assert evacuate(core, f"z-{number}") == Outcome.DONE
    answer = answer_to(core, OrderEvacuation("z", True))
    assert (answer.outcome, answer.problem.code) == (Outcome.REFUSED, "too-many-zones")
    assert evacuate(core, "z-3") == Outcome.DONE
    assert reverse(core, "z-3") == evacuate(core, "z") == Outcome.DONE


def test_the_seating_time_is_shorter_than_an_operator_resends():
    resent_for_s = 6.0
    assert resent_for_s > SEATING_S
