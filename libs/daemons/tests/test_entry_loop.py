from __future__ import annotations

import socket
from types import SimpleNamespace

import pytest
import trio

from kumquatmux_core.identity import Endpoint
from kumquatmux_daemons.entry.port import PacketPort
from kumquatmux_daemons.token_entry.daemon import EntryLoop, Ports
from kumquatmux_daemons.token_entry.effects import Probe
from kumquatmux_tokens.backlog import Backlog
from kumquatmux_tokens.probes import ProbeResult
from kumquatmux_tokens.settings import TokenRouterSettings

SETTINGS = TokenRouterSettings("e1", "a")


class RecordingCore:
    """Keeps what it is given, and wants nothing."""

    def __init__(self):
        self.router = SimpleNamespace(settings=SETTINGS, backlog=Backlog(SETTINGS))
        self.packets = []
        self.results = []
        self.was_probed = trio.Event()

    def packet(self, data, now):
        self.packets.append((data, self.router.backlog.is_unread(now)))
        return []

    def probed(self, token, result, now):
        self.results.append((token, result))
        self.was_probed.set()
        return []

    def tick(self, now):
        return []

    def due_at(self, now):
        return now + 1.0


@pytest.fixture
def port():
    port = PacketPort(Endpoint("127.0.0.1", 0))
    yield port
    port.close()


def make_loop(port, nursery=None):
    lines = SimpleNamespace(tick=lambda now: None, set_time=lambda now: None)
    return EntryLoop(RecordingCore(), Ports(port, None), lines, nursery)


# Guards against a probe that is asked for and never made, or whose result is lost.
async def test_the_core_learns_the_result_of_a_probe_that_it_asked_for(port):
    with socket.create_server(("127.0.0.1", 0)) as server:
        endpoint = Endpoint(*server.getsockname())
        async with trio.open_nursery() as nursery:
            loop = make_loop(port, nursery)
            loop.carry_out([Probe(5, endpoint)])
            await loop.core.was_probed.wait()
    assert loop.core.results == [(5, ProbeResult.ACCEPTED)]


# Guards against fresh packets that are taken for ones that waited out a pause, and the
# other way round.
@pytest.mark.parametrize("waiting", [0, 1, 70])
def test_what_waited_out_a_pause_is_read_before_anything_newer(port, waiting):
    loop = make_loop(port)
    loop.core.router.backlog.note_pause(10.0, 5.0)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        for _ in range(waiting):
            caller.sendto(b"old", port.socket.getsockname())
        loop.tick(10.0)
        while not port.is_queue_empty:
            port.read_batch(loop.take_packet, 10.0)
            loop.end_packets(10.0)
        caller.sendto(b"new", port.socket.getsockname())
    port.read_batch(loop.take_packet, 10.1)
    assert loop.core.packets == [(b"old", True)] * waiting + [(b"new", False)]
