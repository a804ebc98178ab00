from __future__ import annotations

from unittest.mock import patch

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_settings.documents import (
    DocumentLog,
    NumberedDocument,
    entry_of,
    read_entry,
    read_snapshot,
)
from kumquatmux_settings.evacuations import (
    MAX_ZONES,
    EvacuationOrder,
    entry_of_order,
)

zones = st.sampled_from(["a", "b", "c", "cnx-ä"])
orders = st.builds(EvacuationOrder, zones, st.booleans()).map(entry_of_order)
numbers = st.integers(1, 5) | st.integers(2**64, 10**38 - 1)
documents = st.builds(NumberedDocument, numbers, st.binary(max_size=3)).map(entry_of)
ORDER = entry_of_order(EvacuationOrder("b", True))


def applied(*entries):
    log = DocumentLog()
    for entry in entries:
        log.apply(entry)
    return log


# Guards against a revision that moves with each resent order, so that feeds are pushed.
@patch("kumquatmux_settings.documents.log_decision")
def test_only_an_order_that_changes_the_zones_moves_the_revision(log_decision):
    log = DocumentLog()
    for zone, is_evacuated, expected in [
        ("a", False, (0, ())),
        ("b", True, (1, ("b",))),
        ("a", True, (2, ("a", "b"))),
        ("a", True, (2, ("a", "b"))),
        ("b", False, (3, ("a",))),
    ]:
        former = log.evacuations
        entry = entry_of_order(EvacuationOrder(zone, is_evacuated))
        assert log.apply(entry) is (expected != former)
        outcome = "repeated" if expected == former else "in-force"
        assert log_decision.call_args.kwargs["outcome"] == outcome
        assert log.evacuations == expected
        assert read_snapshot(entry).is_error()


# Guards against replicas that differ by where each took or was sent a snapshot.
@given(st.lists(orders | documents, max_size=10))
def test_every_replica_holds_the_same_wherever_its_snapshot_was(entries):
    whole = applied(*entries)
    for cut in range(len(entries) + 1):
        resumed = applied(ORDER)
        resumed.restore(applied(*entries[:cut]).snapshot())
        for entry in entries[cut:]:
            resumed.apply(entry)
        assert resumed.newest == whole.newest
        assert resumed.evacuations == whole.evacuations


# Guards against replicas that all end, or differ, at one odd entry of the log.
@pytest.mark.parametrize(
    "values",
    [
        *(["evacuation", *rest] for rest in ([], ["a"], ["a", 1], ["a", True, 1])),
        *(["evacuation", name, True] for name in ("", "x" * 256, "ä" * 128, "a\n")),
        ["evacuations", "a", True],
        [1, b"x", [1, ["a"]]],
        "evacuation",
        {"evacuation": True},
    ],
)
def test_an_odd_entry_changes_nothing(values):
    log = applied(ORDER)
    data = msgspec.msgpack.encode(values)
    assert read_entry(data).is_error()
    assert log.apply(data) is False
    assert log.evacuations == (1, ("b",))


# Guards against an order that was accepted, and is acknowledged once it is committed,
# but not in force, as others that were accepted with it filled the list.
def test_an_order_in_the_log_is_in_force_whatever_the_number_of_zones():
    log = applied(
        *(
            entry_of_order(EvacuationOrder(f"z-{number}", True))
            for number in range(MAX_ZONES + 1)
        )
    )
    assert len(log.evacuations.zones) == MAX_ZONES + 1
    assert not log.evacuations.has_room_for(EvacuationOrder("z", True))
    assert log.evacuations.has_room_for(EvacuationOrder("z-0", True))
    assert log.evacuations.has_room_for(EvacuationOrder("z-0", False))
