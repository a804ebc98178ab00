from __future__ import annotations

import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.identity import Endpoint
from kumquatmux_daemons.entry.port import BATCH_DATAGRAMS, PacketPort


@pytest.fixture
def port():
    made = PacketPort(Endpoint("127.0.0.1", 0))
    yield made
    made.close()


# Guards against: OverflowError, UnicodeError and ValueError of sendto, which are no
# OSError, and look-ups of host names, which block the loop.
@pytest.mark.parametrize(
    "target",
    [
        ("10.0.0.1", 65_536),
        ("10.0.0.1", -1),
        ("10.0.0.1", 0),
        ("10.0.0.1", 1 << 70),
        ("", 80),
        ("localhost", 80),
        ("<broadcast>", 80),
        ("0..01.0.0.1", 80),
        ("10.0.0.1\0", 80),
        ("x" * 100 + ".1", 80),
        ("\u00e9", 80),
        ("\ud800", 80),
    ],
)
def test_a_target_that_is_no_address_loses_its_datagram_only(port, target, monkeypatch):
    def look_up(*_):
        raise AssertionError("a host name was looked up")

    monkeypatch.setattr(socket, "getaddrinfo", look_up)
    port.send(b"x", target)
    assert port.counts["packets.unsent"] == 1


# Guards against: errors of the kernel for addresses that cannot be sent to.
@pytest.mark.parametrize("ip", ["255.255.255.255", "0.0.0.0", "224.0.0.1", "127.0.0.1"])
def test_broadcast_own_and_group_addresses_are_sent_to_or_counted(port, ip):
    port.send(b"x", (ip, 9))
    port.send(bytes(65_536), (ip, 9))
    assert port.counts["packets.unsent"] >= 1


@given(st.text(max_size=8), st.integers())
def test_any_target_is_sent_to_or_counted(ip, number):
    port = PacketPort(Endpoint("127.0.0.1", 0))
    try:
        port.send(b"x", (ip, number))
        assert port.counts["packets.unsent"] == 1
    finally:
        port.close()


# Guards against packets that wait on while their queue is taken for empty, or the other
# way round: openings read behind them are taken for outdated, or for new.
def test_the_queue_is_empty_only_once_all_datagrams_are_read(port):
    taken = []
    target = port.socket.getsockname()
    for _ in range(BATCH_DATAGRAMS + 1):
        port.send(b"x", target)
    port.read_batch(lambda *given: taken.append(given), 1.0)
    assert (len(taken), port.is_queue_empty) == (BATCH_DATAGRAMS, False)
    port.read_batch(lambda *given: taken.append(given), 1.0)
    assert (len(taken), port.is_queue_empty) == (BATCH_DATAGRAMS + 1, True)
