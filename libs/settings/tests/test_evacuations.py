from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_settings.documents import (
    DocumentLog,
    NumberedDocument,
    document_of,
    entry_of,
    read_entry,
    read_snapshot,
)
from kumquatmux_settings.evacuations import (
    MAX_ZONES,
    EvacuationOrder,
    Evacuations,
    entry_of_order,
)

zones = st.sampled_from(["a", "b", "c", "cnx-ä"])
orders = st.builds(EvacuationOrder, zones, st.booleans()).map(entry_of_order)
documents = st.builds(NumberedDocument, st.integers(1, 5), st.binary(max_size=3)).map(
    entry_of
)


def order(zone, is_evacuated=True):
    return entry_of_order(EvacuationOrder(zone, is_evacuated))


def applied(*entries):
    log = DocumentLog()
    for entry in entries:
        log.apply(entry)
    return log


def state(log):
    return log.newest, log.evacuations


def test_a_zone_is_evacuated_until_the_order_is_reversed():
    log = applied(order("b"), order("a"))
    assert log.evacuations == Evacuations(2, ("a", "b"))
    assert log.apply(order("b", False)) is True
    assert log.evacuations == Evacuations(3, ("a",))


# Guards against a revision that moves with each resent order, so that feeds are pushed.
@pytest.mark.parametrize("is_evacuated", [True, False])
def test_an_order_that_repeats_the_state_changes_nothing(is_evacuated):
    log = applied(order("a"), order("b"), order("b", False))
    zone = "a" if is_evacuated else "b"
    assert log.apply(order(zone, is_evacuated)) is False
    assert log.evacuations == Evacuations(3, ("a",))


def test_of_two_operators_who_cross_the_later_in_the_log_decides():
    assert applied(order("a"), order("a", False)).evacuations.zones == ()
    assert applied(order("a", False), order("a")).evacuations.zones == ("a",)


# Guards against replicas that differ by where each took or was sent a snapshot.
@given(st.lists(orders | documents, max_size=10))
def test_every_replica_holds_the_same_wherever_its_snapshot_was(entries):
    whole = applied(*entries)
    for cut in range(len(entries) + 1):
        resumed = applied(order("z"))
        resumed.restore(applied(*entries[:cut]).snapshot())
        for entry in entries[cut:]:
            resumed.apply(entry)
        assert state(resumed) == state(whole)


# Guards against snapshots of former versions that cannot be read, or are read as the
# document alone with the evacuations of before.
def test_a_snapshot_of_a_document_alone_names_no_evacuated_zone():
    log = applied(order("a"))
    log.restore(entry_of(NumberedDocument(7, b"seven")))
    assert state(log) == (NumberedDocument(7, b"seven"), Evacuations())


# Guards against control VMs of the former version that cannot read a new one's
# snapshot though nobody ever ordered an evacuation.
@given(st.lists(documents, max_size=4))
def test_without_evacuations_a_snapshot_is_that_of_the_document_alone(entries):
    log = applied(*entries)
    assert log.snapshot() == entry_of(log.newest)


# Guards against a revision that starts again once no zone is evacuated any more.
def test_a_snapshot_keeps_the_revision_also_without_evacuated_zones():
    log = DocumentLog()
    log.restore(applied(order("a"), order("a", False)).snapshot())
    assert log.evacuations == Evacuations(2, ())


@given(st.integers(2**64, 10**38 - 1))
def test_a_snapshot_holds_zones_beside_a_document_under_a_long_number(number):
    log = applied(entry_of(NumberedDocument(number, b"x")), order("a"))
    restored = DocumentLog()
    restored.restore(log.snapshot())
    assert state(restored) == state(log)


# Guards against feed answers that grow with names that an operator's script makes up.
def test_no_more_zones_are_evacuated_than_an_answer_may_name():
    log = applied(*(order(f"z-{number}") for number in range(MAX_ZONES + 1)))
    assert len(log.evacuations.zones) == log.evacuations.revision == MAX_ZONES
    assert log.apply(order("z-0")) is False
    assert log.apply(order("z-0", False)) is True
    assert log.apply(order("z-64")) is True


# Guards against replicas that all end, or differ, at one odd entry of the log.
@pytest.mark.parametrize(
    "values",
    [
        ["evacuation"],
        ["evacuation", "a"],
        ["evacuation", "a", 1],
        ["evacuation", "", True],
        ["evacuation", "x" * 256, True],
        ["evacuation", "ä" * 128, True],
        ["evacuation", "a\n", True],
        ["evacuation", "a", True, 1],
        ["evacuations", "a", True],
        [1, b"x", [1, ["a"]]],
        "evacuation",
        {"evacuation": True},
    ],
)
def test_an_odd_entry_changes_nothing(values):
    log = applied(order("b"))
    data = msgspec.msgpack.encode(values)
    assert read_entry(data).is_error()
    assert log.apply(data) is False
    assert log.evacuations == Evacuations(1, ("b",))


@given(st.binary(max_size=40))
def test_any_bytes_are_an_entry_or_change_nothing(data):
    log = applied(order("b"))
    if read_entry(data).is_error():
        assert log.apply(data) is False
        assert state(log) == (NumberedDocument(), Evacuations(1, ("b",)))


def test_orders_documents_and_snapshots_are_told_apart():
    assert document_of(order("a")).is_error()
    assert read_snapshot(order("a")).is_error()
    assert read_entry(applied(order("a")).snapshot()).is_error()
