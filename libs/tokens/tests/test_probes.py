from __future__ import annotations

import pytest

from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.probes import ProbeResult, ServerProbes
from kumquatmux_tokens.settings import TokenRouterSettings

TOKEN = 5
LOST = (ProbeResult.REFUSED, ProbeResult.UNANSWERED)


def data_of(caller):
    key = caller.to_bytes(12)
    return PacketHeader(key, key[6:], TOKEN, False, False, 0, 101, 500, 9)


@pytest.fixture
def probes():
    return ServerProbes(TokenRouterSettings("e1", "a", probe_packets_limit=2))


# Guards against a probe for each packet of each flow.
def test_one_probe_at_a_time_is_made_of_a_server(probes):
    assert probes.start(TOKEN, 1.0)
    assert not probes.start(TOKEN, 1.5)
    probes.record(TOKEN, ProbeResult.ACCEPTED, 1.6, 0.0)
    assert not probes.start(TOKEN, 2.5)
    assert probes.start(TOKEN, 2.6)


# Guards against a verdict on a server that outlives what it rests on.
@pytest.mark.parametrize("result", LOST)
def test_a_server_is_lost_for_a_while_after_a_failed_probe(probes, result):
    probes.start(TOKEN, 1.0)
    assert not probes.is_lost(TOKEN, 1.5)
    probes.record(TOKEN, result, 1.6, 0.0)
    assert probes.is_lost(TOKEN, 2.5)
    assert not probes.is_lost(TOKEN, 2.6)


# Guards against flows that stay unanswered as no result of a probe ever came.
def test_a_probe_without_a_result_is_made_again(probes):
    probes.start(TOKEN, 1.0)
    assert not probes.start(TOKEN, 3.9)
    assert probes.start(TOKEN, 4.0)


# Guards against a server that is taken for silent as this VM stood still meanwhile.
def test_a_pause_voids_a_probe_that_was_not_answered(probes):
    probes.start(TOKEN, 1.0)
    probes.hold(data_of(7), b"seven", TOKEN, 1.0)
    assert probes.record(TOKEN, ProbeResult.UNANSWERED, 6.0, 5.9) == []
    assert not probes.is_lost(TOKEN, 6.0)
    assert probes.start(TOKEN, 6.0)


# Guards against a server that is taken for silent as this VM could not ask it, and
# against a probe for each packet while it can't.
def test_a_probe_that_could_not_be_made_says_nothing_and_is_made_again(probes):
    probes.start(TOKEN, 1.0)
    probes.record(TOKEN, ProbeResult.NOT_MADE, 1.1, 0.0)
    assert not probes.is_lost(TOKEN, 1.2)
    assert not probes.start(TOKEN, 2.0)
    assert probes.start(TOKEN, 2.1)


# Guards against callers that learn of a lost server only when they repeat themselves.
@pytest.mark.parametrize("result", ProbeResult)
def test_held_packets_come_back_if_the_server_is_lost(probes, result):
    probes.start(TOKEN, 1.0)
    for caller, data in ((7, b"old"), (7, b"seven"), (8, b"eight"), (9, b"nine")):
        probes.hold(data_of(caller), data, TOKEN, 1.1)
    held = probes.record(TOKEN, result, 1.6, 0.0)
    expected = [b"seven", b"eight"] if result in LOST else []
    assert [one.data for one in held] == expected
    assert probes.record(TOKEN, result, 1.7, 0.0) == []


def test_old_probes_are_removed(probes):
    probes.start(TOKEN, 1.0)
    probes.record(TOKEN, ProbeResult.ACCEPTED, 1.6, 0.0)
    probes.remove_expired(2.5)
    assert probes.by_token
    probes.remove_expired(2.6)
    assert not probes.by_token


SERVERS = range(1, 21)


@pytest.fixture
def few_probes():
    return ServerProbes(TokenRouterSettings("e1", "a", probes_limit=2))


def started(probes, tokens, now):
    """Return the servers to probe among some whose callers repeat themselves."""
    return [token for token in tokens if probes.start(token, now)]


def start_waiting(probes, now):
    return list(iter(lambda: probes.start_waiting(now), None))


def end(probes, tokens, now):
    """End probes; return those that start in their place."""
    for token in tokens:
        probes.record(token, ProbeResult.UNANSWERED, now, 0.0)
    return start_waiting(probes, now)


# Guards against more connections than descriptors once a whole zone is lost.
def test_a_limit_bounds_the_probes_of_all_servers(few_probes):
    assert started(few_probes, SERVERS, 1.0) == [1, 2]
    assert started(few_probes, SERVERS, 1.1) == []
    assert start_waiting(few_probes, 1.1) == []
    assert end(few_probes, (1,), 1.2) == [3]
    assert end(few_probes, (2, 3), 1.3) == [4, 5]


# Guards against a server that is lost without a probe, and against flows that learn of
# it only when their callers repeat themselves once more.
def test_packets_are_held_while_a_probe_waits(few_probes):
    started(few_probes, (1, 2, 3), 1.0)
    few_probes.hold(data_of(7), b"seven", 3, 1.1)
    assert few_probes.record(3, ProbeResult.UNANSWERED, 1.2, 0.0) == []
    assert not few_probes.is_lost(3, 1.2)
    few_probes.remove_expired(60.0)
    assert start_waiting(few_probes, 60.0) == [3]
    held = few_probes.record(3, ProbeResult.UNANSWERED, 61.5, 0.0)
    assert [one.data for one in held] == [b"seven"]
    assert few_probes.is_lost(3, 61.5)


# Guards against a limit that is used up for good by probes without a result.
def test_probes_without_a_result_make_room_for_others(few_probes):
    assert started(few_probes, (1, 2, 3), 1.0) == [1, 2]
    assert start_waiting(few_probes, 3.9) == []
    assert start_waiting(few_probes, 4.0) == [3]
    assert started(few_probes, (1, 2), 4.0) == [1]
    assert end(few_probes, (1,), 4.1) == [2]


# Guards against a late result that is taken for that of the next probe, or of none.
def test_a_result_of_an_overdue_probe_counts_for_nothing(few_probes):
    assert started(few_probes, (1, 2, 3), 1.0) == [1, 2]
    assert not few_probes.start(1, 4.0)
    few_probes.remove_expired(4.0)
    for token in (1, 2):
        assert few_probes.record(token, ProbeResult.UNANSWERED, 4.0, 3.9) == []
        assert not few_probes.is_lost(token, 4.0)
    assert start_waiting(few_probes, 4.0) == [3, 1]


# Guards against a limit that is used up by probes whose results count for nothing.
def test_a_probe_that_a_pause_voids_makes_room_for_others(few_probes):
    assert started(few_probes, (1, 2, 3), 1.0) == [1, 2]
    few_probes.record(1, ProbeResult.UNANSWERED, 2.5, 2.4)
    assert start_waiting(few_probes, 2.5) == [3]


# Guards against servers whose callers repeat themselves often and take all room.
def test_no_server_is_probed_again_before_all_that_wait(few_probes):
    probed = []
    now = 0.0
    while len(probed) < 100:
        now += 2.6
        new = start_waiting(few_probes, now) + started(few_probes, SERVERS, now)
        probed += new
        for token in new:
            few_probes.record(token, ProbeResult.UNANSWERED, now + 1.5, 0.0)
    assert probed == list(SERVERS) * 5


# Guards against a lost zone of the two-year size whose last servers wait for long.
def test_the_servers_of_a_lost_zone_are_probed_within_five_rounds():
    probes = ServerProbes(TokenRouterSettings("e1", "a"))
    rounds = [started(probes, range(4850), 0.0)]
    while rounds[-1]:
        rounds.append(end(probes, rounds[-1], 1.5 * len(rounds)))
    assert [len(one) for one in rounds] == [1024, 1024, 1024, 1024, 754, 0]
