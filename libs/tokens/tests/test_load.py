from __future__ import annotations

import pytest

from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.work import LoadShare

ROUTE_ADDRESS = bytes([198, 18, 0, 1, 1, 187])
FLOW_KEY = bytes(6) + ROUTE_ADDRESS
SYN = PacketHeader(FLOW_KEY, ROUTE_ADDRESS, 0, True, False, 0, 100, 0, 0)


def make_packet(sequence=101, acknowledged=500, length=0, is_closing=False):
    return PacketHeader(
        FLOW_KEY, ROUTE_ADDRESS, 7, False, is_closing, 0, sequence, acknowledged, length
    )


@pytest.fixture
def tracker():
    load_tracker = LoadTracker(TokenRouterSettings("e1", "a"))
    load_tracker.record_syn(SYN, 7, 0.0)
    return load_tracker


def test_syn_request_expires_if_the_caller_sends_nothing_more(tracker):
    assert tracker.local_loads[7].active_requests == 1
    tracker.expire_syn_requests(0.2)
    assert tracker.local_loads[7].active_requests == 1
    tracker.expire_syn_requests(0.3)
    assert tracker.local_loads[7].active_requests == 0


def test_request_is_active_until_its_answer_is_acknowledged(tracker):
    tracker.record_packet(make_packet(length=900), 7, 0.01)
    tracker.record_packet(make_packet(sequence=1001), 7, 0.02)
    assert tracker.local_loads[7].active_requests == 1
    tracker.record_packet(make_packet(sequence=1001, acknowledged=1700), 7, 0.05)
    assert tracker.local_loads[7].active_requests == 0
    assert tracker.local_loads[7].open_flows == 1


def test_retransmission_is_not_counted_as_a_request(tracker):
    tracker.record_packet(make_packet(length=900), 7, 0.01)
    tracker.record_packet(make_packet(sequence=1001, acknowledged=1700), 7, 0.05)
    tracker.record_packet(make_packet(length=900, acknowledged=1700), 7, 0.3)
    assert tracker.local_loads[7].active_requests == 0


def test_closing_a_flow_removes_its_load(tracker):
    tracker.record_packet(make_packet(length=900), 7, 0.01)
    tracker.record_packet(make_packet(sequence=1001, is_closing=True), 7, 0.02)
    assert (
        tracker.local_loads[7].active_requests,
        tracker.local_loads[7].open_flows,
    ) == (
        0,
        0,
    )


def test_unanswered_request_times_out(tracker):
    tracker.record_packet(make_packet(length=900), 7, 0.01)
    tracker.remove_expired(0.6)
    assert tracker.local_loads[7].active_requests == 1
    tracker.remove_expired(0.8)
    assert tracker.local_loads[7].active_requests == 0


def test_idle_flow_is_removed(tracker):
    tracker.record_packet(make_packet(length=900), 7, 0.01)
    tracker.remove_expired(16.0)
    assert tracker.flows == {}


def test_sequence_numbers_wrap_around():
    tracker = LoadTracker(TokenRouterSettings("e1", "a"))
    tracker.record_syn(SYN._replace(sequence_number=0xFFFFFFEF), 7, 0.0)
    tracker.record_packet(make_packet(sequence=0xFFFFFFF0, length=0), 7, 0.01)
    tracker.record_packet(make_packet(sequence=0xFFFFFFF0, length=32), 7, 0.02)
    tracker.record_packet(make_packet(sequence=16, acknowledged=900), 7, 0.03)
    assert tracker.local_loads[7].active_requests == 0
    tracker.record_packet(
        make_packet(sequence=16, acknowledged=900, length=32), 7, 0.04
    )
    assert tracker.local_loads[7].active_requests == 1


def test_many_requests_per_flow_are_expected_on_a_route_that_had_them(tracker):
    assert not tracker.expects_many_requests(ROUTE_ADDRESS)
    for number in range(40):
        sequence = 101 + number * 10
        tracker.record_packet(
            make_packet(sequence, 500 + number, length=10), 7, number * 1.0
        )
        tracker.record_packet(make_packet(sequence + 10, 501 + number), 7, number + 0.5)
    assert tracker.expects_many_requests(ROUTE_ADDRESS)


def test_reported_load_counts_until_it_expires(tracker):
    other_tracker = LoadTracker(TokenRouterSettings("e2", "a"))
    other_tracker.peer_load.apply_report(
        LoadShare("e1", 1, True, 0, tuple(tracker.reportable_loads(0.1))), 0.1
    )
    other_tracker.remove_expired(1.6)
    assert other_tracker.peer_load.totals[7].active_requests == 1
    other_tracker.remove_expired(1.8)
    assert other_tracker.peer_load.totals == {}


# Guards against copies of a packet that waited out a pause of this VM, and count as a
# server's silence.
def test_a_server_is_not_unresponsive_for_a_time_in_which_this_vm_stood_still(tracker):
    for now in (0.1, 5.0, 5.0, 5.0):
        tracker.record_packet(make_packet(length=9), 7, now)
    assert tracker.is_server_unresponsive(FLOW_KEY, 0.0, 5.0)
    assert not tracker.is_server_unresponsive(FLOW_KEY, 5.0, 5.4)
    assert tracker.is_server_unresponsive(FLOW_KEY, 5.0, 5.5)
