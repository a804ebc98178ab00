from __future__ import annotations

import errno
import socket

import pytest
import trio

from kumquatmux_core.identity import Endpoint
from kumquatmux_daemons.token_entry.probing import probe_server
from kumquatmux_tokens.probes import ProbeResult


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as listening:
        yield listening


async def test_a_server_that_listens_accepts(listener):
    endpoint = Endpoint(*listener.getsockname())
    assert await probe_server(endpoint, 60.0) == ProbeResult.ACCEPTED


async def test_a_port_without_a_listener_refuses(listener):
    endpoint = Endpoint(*listener.getsockname())
    listener.close()
    assert await probe_server(endpoint, 60.0) == ProbeResult.REFUSED


class BrokenSocket:
    """A connection that fails with an error, or hangs if there is none."""

    def __init__(self, error=None):
        self.error = error

    def __enter__(self):
        return self

    def __exit__(self, *_):
        return None

    async def connect(self, _):
        if self.error is None:
            await trio.sleep_forever()
        raise OSError(self.error, "broken")


# Guards against a server that is taken for silent as this VM is out of descriptors.
@pytest.mark.parametrize(
    ("error", "result"),
    [
        (None, ProbeResult.UNANSWERED),
        (errno.EHOSTUNREACH, ProbeResult.UNANSWERED),
        (errno.EMFILE, ProbeResult.NOT_MADE),
    ],
)
async def test_only_an_error_of_the_way_says_that_a_server_is_silent(
    monkeypatch, autojump_clock, error, result
):
    monkeypatch.setattr(trio.socket, "socket", lambda: BrokenSocket(error))
    assert await probe_server(Endpoint("127.0.0.1", 9), 1.5) == result


class WorkingSocket(BrokenSocket):
    """A connection that is accepted."""

    async def connect(self, _):
        await trio.lowlevel.checkpoint()


# Guards against a server that is taken for gone as a disturbance reset the connections
# of a machine just then, and against one that is not as its port resets all of them.
@pytest.mark.parametrize(
    ("second", "result"),
    [
        (WorkingSocket(), ProbeResult.ACCEPTED),
        (BrokenSocket(errno.ECONNRESET), ProbeResult.REFUSED),
        (BrokenSocket(errno.ECONNREFUSED), ProbeResult.REFUSED),
        (BrokenSocket(errno.EMFILE), ProbeResult.NOT_MADE),
        (BrokenSocket(), ProbeResult.NOT_MADE),
    ],
)
async def test_a_reset_connection_is_asked_for_once_more(
    monkeypatch, autojump_clock, second, result
):
    silent = BrokenSocket()
    sockets = [BrokenSocket(errno.ECONNRESET), second, silent, silent]
    monkeypatch.setattr(trio.socket, "socket", lambda: sockets.pop(0))
    assert await probe_server(Endpoint("127.0.0.1", 9), 1.5) == result
    assert trio.current_time() <= 1.5


# Guards against a server that is taken for silent as a packet was lost: a link that
# loses a third of all packets loses about half of all connection requests, or answers.
@pytest.mark.parametrize("lost", [1, 2])
async def test_a_lost_connection_request_is_no_silence(
    monkeypatch, autojump_clock, lost
):
    sockets = [*[BrokenSocket()] * lost, WorkingSocket()]
    monkeypatch.setattr(trio.socket, "socket", lambda: sockets.pop(0))
    result = await probe_server(Endpoint("127.0.0.1", 9), 1.5)
    assert result == ProbeResult.ACCEPTED


# Guards against a report with an odd address that ends the program, or is looked up.
@pytest.mark.parametrize("ip", ["a..b", "nonsense", "10.0.0.9\x00", "\u00fc" * 70, ""])
async def test_an_address_that_is_no_number_is_not_probed(ip):
    assert await probe_server(Endpoint(ip, 80), 60.0) == ProbeResult.NOT_MADE


# Guards against a port without a listener that is asked again and again.
async def test_a_refusal_ends_a_probe_at_once(monkeypatch, autojump_clock):
    sockets = [BrokenSocket(errno.ECONNREFUSED)]
    monkeypatch.setattr(trio.socket, "socket", lambda: sockets.pop(0))
    result = await probe_server(Endpoint("127.0.0.1", 9), 1.5)
    assert result == ProbeResult.REFUSED
    assert trio.current_time() == 0.0
