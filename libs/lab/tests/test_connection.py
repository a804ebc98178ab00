from __future__ import annotations

import random

import dpkt
import pytest

from kumquatmux_core.identity import Endpoint, ServiceName
from kumquatmux_lab.standin.caller import Fate, StandInCaller
from kumquatmux_lab.standin.server import ServerSettings, StandInServer
from kumquatmux_lab.standin.work import Request

ENTRIES = ServiceName("entries")
SERVER = Endpoint("127.66.1.1", 9001)
CALLER = Endpoint("127.67.0.1", 40001)


def talk(request, *, loss, seconds=30, seed=5):
    """Join one caller and one server directly; both addresses are the server's."""
    chance = random.Random(seed)
    server = StandInServer(ServerSettings(SERVER, ENTRIES, 2), chance)
    caller = StandInCaller(CALLER, SERVER, request, 7, 0.0)
    for tick in range(seconds * 100):
        now = tick / 100
        caller.on_time(now)
        to_caller = server.on_time(now)
        for packet in caller.take_packets():
            if chance.random() >= loss:
                to_caller += server.on_packet(dpkt.ip.IP(packet), now)
        for packet in to_caller:
            if chance.random() >= loss:
                caller.on_packet(dpkt.ip.IP(packet), now)
    return caller, server


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_a_reply_comes_whole_and_the_work_runs_once(loss):
    request = Request(1, ENTRIES, work_ms=20, reply_bytes=30_000)
    caller, server = talk(request, loss=loss)
    assert caller.fate is Fate.WHOLE
    assert len(server.runs) == 1
    assert server.connections == {}


def test_a_server_notices_a_request_meant_for_another_service():
    request = Request(1, ServiceName("pagesetter"), work_ms=1, reply_bytes=10)
    caller, server = talk(request, loss=0.0, seconds=3)
    assert server.misrouted == 1
    assert caller.fate is Fate.MISROUTED


def test_a_feed_that_falls_silent_counts_as_broken():
    request = Request(1, ENTRIES, work_ms=100, reply_bytes=0, feed=True)
    caller, _ = talk(request, loss=0.0, seconds=3)
    assert caller.fate is Fate.OPEN and caller.lines > 20
    caller.on_time(3 + 10.0)
    assert caller.fate is Fate.BROKEN
