from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.identity import Endpoint
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_registry.table import ServerTable


def make_report(
    name="i-1", born=1, number=1, service="entries", port=1, phase=Phase.READY
):
    place = Endpoint("10.0.0.9", port)
    lifetime = Lifetime(name, born)
    return Report(lifetime, number, service, place, "a", "v1", 2, phase, 0.0)


def make_record(holder="c1", doubts=0, **options):
    return ServerRecord(make_report(**options), holder, doubts)


def phases_by_name(table):
    return {name: held.record.report.phase for name, held in table.held.items()}


def test_an_older_record_changes_nothing():
    table = ServerTable()
    table.merge(make_record(number=5, phase=Phase.DRAINING), 0.0)
    assert table.merge(make_record(number=4), 1.0) is False
    assert phases_by_name(table) == {"i-1": Phase.DRAINING}


def test_later_lifetime_replaces_an_earlier_one_regardless_of_report_number():
    table = ServerTable()
    table.merge(make_record(born=10, number=90), 0.0)
    assert table.merge(make_record(born=11, number=1), 1.0)
    assert table.get("i-1").report.lifetime.born_ms == 11


def test_late_report_of_an_earlier_lifetime_is_ignored():
    table = ServerTable()
    table.merge(make_record(born=11, number=1), 0.0)
    assert table.merge(make_record(born=10, number=99), 1.0) is False


def starts_at_endpoint(table):
    found = {name: table.later_at_endpoint(table.get(name)) for name in table.held}
    return {
        name: one and one.record.report.lifetime.name for name, one in found.items()
    }


# Guards against a report that is late and ends the server that has its address now.
@pytest.mark.parametrize("order", [("i-1", "i-2"), ("i-2", "i-1")])
def test_two_servers_at_an_endpoint_are_ended_by_no_report(order):
    table = ServerTable()
    born = {"i-1": 10, "i-2": 20}
    for now, name in enumerate(order):
        record = make_record(name=name, born=born[name], port=7, service=name)
        assert table.merge(record, float(now)) is True
    assert phases_by_name(table) == {"i-1": Phase.READY, "i-2": Phase.READY}
    assert starts_at_endpoint(table) == {"i-1": "i-2", "i-2": None}


def test_an_ended_server_has_no_claim_to_its_endpoint():
    table = ServerTable()
    table.merge(make_record(name="i-1", born=10, port=7), 0.0)
    table.merge(make_record(name="i-2", born=20, port=7, phase=Phase.ENDED), 1.0)
    assert starts_at_endpoint(table)["i-1"] is None


def test_changes_after_a_position_come_in_order_and_in_pages():
    table = ServerTable()
    for number in range(5):
        table.merge(make_record(name=f"i-{number}", port=number), 0.0)
    page = table.entries_after(1, 2)
    assert [held.record.report.lifetime.name for held in page] == ["i-1", "i-2"]
    assert (
        table.entries_after(page[-1].position, 9)[0].position == page[-1].position + 1
    )


def test_ended_servers_are_forgotten_and_others_are_not():
    table = ServerTable()
    table.merge(make_record(name="i-1", port=1, phase=Phase.ENDED), 0.0)
    table.merge(make_record(name="i-2", port=2), 0.0)
    table.remove_ended(before=1.0)
    assert list(table.held) == ["i-2"]


RECORDS = st.builds(
    make_record,
    holder=st.sampled_from(["c1", "c2"]),
    doubts=st.integers(0, 3),
    name=st.sampled_from(["i-1", "i-2"]),
    born=st.integers(1, 3),
    number=st.integers(1, 4),
    port=st.integers(1, 2),
    phase=st.sampled_from(list(Phase)),
)


@given(st.lists(RECORDS, max_size=12), st.randoms(use_true_random=False))
def test_the_newest_start_of_each_name_wins_in_any_order(records, shuffled):
    other = list(records)
    shuffled.shuffle(other)
    tables = ServerTable(), ServerTable()
    for table, order in zip(tables, (records, other), strict=True):
        for one in order:
            table.merge(one, 0.0)
    born = [
        {name: held.record.report.lifetime.born_ms for name, held in table.held.items()}
        for table in tables
    ]
    assert born[0] == born[1]


@given(st.lists(RECORDS, max_size=12))
def test_merging_again_changes_nothing(records):
    table = ServerTable()
    for one in records:
        table.merge(one, 0.0)
    position = table.position
    for held in list(table.held.values()):
        table.merge(held.record, 1.0)
    assert table.position == position


@given(
    st.lists(
        st.tuples(st.integers(1, 6), st.integers(1, 3), st.integers(1, 40)), max_size=40
    ),
    st.integers(0, 40),
)
def test_changes_after_a_position_are_those_of_a_look_at_all(merges, position):
    table = ServerTable()
    for name, born, number in merges:
        record = make_record(name=f"i-{name}", born=born, number=number, port=name)
        table.merge(record, 0.0)
    by_position = sorted(table.held.values(), key=lambda entry: entry.position)
    newer = [entry for entry in by_position if entry.position > position]
    assert table.entries_after(position, 5) == newer[:5]
    for entry in by_position:
        assert table.find_token(entry.record.token) == entry.record


def test_the_token_of_an_earlier_lifetime_finds_nothing():
    table = ServerTable()
    earlier = make_record(born=10)
    table.merge(earlier, 0.0)
    table.merge(make_record(born=11), 1.0)
    assert table.find_token(earlier.token) is None


# Guards against a server that is ended for an address that its earlier lifetime had.
def test_an_address_of_an_earlier_lifetime_ends_no_later_one():
    table = ServerTable()
    table.merge(make_record(name="i-1", born=10, port=7), 0.0)
    table.merge(make_record(name="i-1", born=20, port=8), 1.0)
    table.merge(make_record(name="i-2", born=30, port=7), 2.0)
    assert phases_by_name(table) == {"i-1": Phase.READY, "i-2": Phase.READY}


# Guards against claims that pile up with each address that was ever reported.
def test_claims_are_those_of_the_servers_that_are_known():
    table = ServerTable()
    for port in range(1, 50):
        table.merge(make_record(born=port, port=port), 0.0)
    assert list(table.name_by_endpoint) == [Endpoint("10.0.0.9", 49)]
    table.merge(make_record(born=49, number=2, port=49, phase=Phase.ENDED), 1.0)
    table.remove_ended(before=2.0)
    assert table.name_by_endpoint == {}


# Guards against: the endpoint of each server that ever ended, kept for good.
def test_ended_servers_leave_no_trace_once_they_are_removed():
    table = ServerTable()
    for port in range(1, 100):
        table.merge(make_record(name=f"i-{port}", port=port, phase=Phase.READY), 0.0)
        ended = make_record(name=f"i-{port}", port=port, number=2, phase=Phase.ENDED)
        table.merge(ended, 1.0)
    table.merge(make_record(name="i-a", port=7), 2.0)
    table.remove_ended(3.0)
    assert set(table.held) == {"i-a"}
    assert set(table.name_by_token.values()) == {"i-a"}
    assert set(table.name_by_endpoint.values()) == {"i-a"}


# Guards against a report of another service that hides a sound server for good.
@pytest.mark.parametrize("is_known_first", [True, False])
def test_a_server_of_a_named_service_goes_before_a_later_start(is_known_first):
    table = ServerTable()
    odd = make_record(born=99, service="nosuch")
    if is_known_first:
        table.name_services(frozenset(["entries"]))
    table.merge(odd, 0.0)
    assert table.merge(make_record(), 1.0) is is_known_first
    assert table.name_services(frozenset(["entries"])) is not is_known_first
    table.merge(make_record(), 2.0)
    assert table.merge(odd, 3.0) is False
    assert table.get("i-1").report.service == "entries"


def test_records_are_asked_for_again_only_after_a_conflict_and_a_change():
    table = ServerTable()
    table.merge(make_record(), 0.0)
    assert table.name_services(frozenset(["entries"])) is False
    table.merge(make_record(born=99, service="nosuch"), 1.0)
    assert table.name_services(frozenset(["entries"])) is False
    assert table.name_services(frozenset(["entries", "nosuch"])) is True
    assert table.name_services(frozenset(["entries"])) is False
