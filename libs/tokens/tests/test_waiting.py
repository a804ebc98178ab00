from __future__ import annotations

import pytest

from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.waiting import SynBuffer

SETTINGS = TokenRouterSettings("e1", "a", syn_buffer_limit=2)


def make_syn(retransmission_count=0, flow_key=b"f"):
    return PacketHeader(
        flow_key, b"r", 0, True, False, retransmission_count, 0, retransmission_count, 0
    )


@pytest.mark.parametrize(
    ("retransmission_count", "remaining_s"), [(0, 1.4), (1, 1.2), (2, 0.8), (9, 0.8)]
)
def test_syn_is_buffered_until_its_caller_times_out(retransmission_count, remaining_s):
    syn_buffer = SynBuffer(SETTINGS)
    syn_buffer.add(make_syn(retransmission_count), b"", 10.0)
    assert len(syn_buffer.unexpired_packets(10.0 + remaining_s - 0.01)) == 1
    assert syn_buffer.unexpired_packets(10.0 + remaining_s + 0.01) == []


def test_retransmission_does_not_extend_the_deadline():
    syn_buffer = SynBuffer(SETTINGS)
    syn_buffer.add(make_syn(0), b"", 10.0)
    syn_buffer.add(make_syn(2), b"", 11.3)
    assert syn_buffer.unexpired_packets(11.5) == []


def test_full_buffer_rejects_syns_of_further_flows():
    syn_buffer = SynBuffer(SETTINGS)
    assert syn_buffer.add(make_syn(flow_key=b"1"), b"", 0.0)
    assert syn_buffer.add(make_syn(flow_key=b"2"), b"", 0.0)
    assert not syn_buffer.add(make_syn(flow_key=b"3"), b"", 0.0)
    assert syn_buffer.add(make_syn(1, flow_key=b"2"), b"", 0.0)


def test_removed_syn_is_not_returned():
    syn_buffer = SynBuffer(SETTINGS)
    syn_buffer.add(make_syn(), b"", 0.0)
    syn_buffer.remove(b"f")
    assert syn_buffer.unexpired_packets(0.1) == []
