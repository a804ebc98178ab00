from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.work import LoadShare, OutgoingReports, PeerLoad, ServerLoad

SETTINGS = TokenRouterSettings("e1", "a")


@pytest.fixture
def peer_load():
    return PeerLoad(SETTINGS, set())


def make_report(
    *server_loads, sender="e2", number=1, is_complete=True, included_reservation=0
):
    return LoadShare(sender, number, is_complete, included_reservation, server_loads)


def make_server_load(token, active_requests=1, open_flows=1, is_avoided=False):
    return ServerLoad(token, active_requests, open_flows, is_avoided)


def load_totals(peer_load):
    return {
        token: (total.active_requests, total.open_flows)
        for token, total in peer_load.totals.items()
    }


def test_load_is_summed_over_the_reporting_vms(peer_load):
    peer_load.apply_report(make_report(make_server_load(7, 2, 5)), 1.0)
    peer_load.apply_report(
        make_report(make_server_load(7, 1, 1), make_server_load(8), sender="e3"), 1.0
    )
    assert load_totals(peer_load) == {7: (3, 6), 8: (1, 1)}


def test_complete_report_replaces_the_earlier_load(peer_load):
    peer_load.apply_report(make_report(make_server_load(7), make_server_load(8)), 1.0)
    peer_load.apply_report(make_report(make_server_load(8, 3, 4), number=2), 1.1)
    assert load_totals(peer_load) == {8: (3, 4)}


def test_incremental_report_changes_only_the_listed_servers(peer_load):
    peer_load.apply_report(make_report(make_server_load(7), make_server_load(8)), 1.0)
    peer_load.apply_report(
        make_report(make_server_load(8, 0, 0), number=2, is_complete=False), 1.1
    )
    assert load_totals(peer_load) == {7: (1, 1)}


def test_overtaken_report_is_ignored(peer_load):
    peer_load.apply_report(make_report(make_server_load(7, 5, 5), number=9), 1.0)
    peer_load.apply_report(
        make_report(make_server_load(7, 1, 1), number=8, is_complete=False), 1.1
    )
    assert load_totals(peer_load) == {7: (5, 5)}


def test_restarted_process_may_restart_its_report_numbers(peer_load):
    peer_load.apply_report(make_report(make_server_load(7), number=900), 1.0)
    peer_load.apply_report(make_report(make_server_load(8), number=1), 1.1)
    assert load_totals(peer_load) == {8: (1, 1)}


def test_reservation_counts_until_a_report_includes_it(peer_load):
    reservation = peer_load.reserve("e2", 7, 1.0)
    assert load_totals(peer_load) == {7: (1, 1)}
    peer_load.apply_report(
        make_report(make_server_load(7), included_reservation=reservation.number), 1.05
    )
    assert load_totals(peer_load) == {7: (1, 1)}
    peer_load.apply_report(
        make_report(number=2, included_reservation=reservation.number), 1.1
    )
    assert load_totals(peer_load) == {}


def test_unused_reservation_expires(peer_load):
    peer_load.reserve("e2", 7, 1.0)
    peer_load.remove_expired(1.4)
    assert load_totals(peer_load) == {7: (1, 1)}
    peer_load.remove_expired(1.6)
    assert load_totals(peer_load) == {}


def test_silent_vm_is_removed_with_its_load(peer_load):
    peer_load.apply_report(make_report(make_server_load(7)), 1.0)
    peer_load.remove_expired(2.5)
    assert load_totals(peer_load) == {7: (1, 1)}
    peer_load.remove_expired(2.7)
    assert (load_totals(peer_load), peer_load.reporting_peers) == ({}, {})


def test_reports_are_incremental_until_a_complete_one_is_due():
    reports = OutgoingReports()
    first_report = reports.next_report(
        "e1", 1, [make_server_load(7), make_server_load(8)], 1.0, 0.7
    )
    assert first_report.is_complete and len(first_report.server_loads) == 2
    assert (
        reports.next_report(
            "e1", 2, [make_server_load(7), make_server_load(8)], 1.1, 0.7
        )
        is None
    )
    report = reports.next_report("e1", 2, [make_server_load(7, 2, 2)], 1.2, 0.7)
    assert set(report.server_loads) == {
        make_server_load(7, 2, 2),
        make_server_load(8, 0, 0),
    }
    assert not report.is_complete
    assert reports.next_report(
        "e1", 3, [make_server_load(7, 2, 2)], 1.8, 0.7
    ).is_complete


def test_used_reservation_is_reported_without_load_changes():
    reports = OutgoingReports()
    reports.next_report("e1", 1, [], 1.0, 0.7)
    reports.used_reservation = 4
    assert reports.next_report("e1", 2, [], 1.1, 0.7).included_reservation == 4
    assert reports.next_report("e1", 3, [], 1.2, 0.7) is None


load_counts = st.integers(0, 3)
load_states = st.dictionaries(
    st.integers(1, 5), st.tuples(load_counts, load_counts), max_size=5
)


@given(st.lists(st.tuples(load_states, st.booleans()), min_size=1, max_size=12))
def test_complete_report_corrects_lost_reports(steps):
    peer_load, reports = PeerLoad(SETTINGS, set()), OutgoingReports()
    now = 0.0
    for number, (load_state, is_lost) in enumerate(steps, 1):
        now += 0.05
        loads = [
            make_server_load(token, *counts) for token, counts in load_state.items()
        ]
        report = reports.next_report("e1", number, loads, now, 0.7)
        if report is not None and not is_lost:
            peer_load.apply_report(report, now)
    complete_report = reports.next_report("e1", len(steps) + 1, loads, now + 0.7, 0.7)
    peer_load.apply_report(complete_report, now + 0.7)
    assert load_totals(peer_load) == {
        token: counts for token, counts in load_state.items() if any(counts)
    }
