from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.identity import Endpoint
from kumquatmux_platform.packets import (
    caller_ip,
    read_head,
    reset_for,
    server_number,
    to_server,
)
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord

# A caller at 100.64.0.9:1234 opens a flow to 198.18.0.3:8443.
OPENING = bytes.fromhex(
    "00000000 20fb c6120003 64400009 04d2 0a0b0c0d 00000010 00000000 80 0000000000 0000"
)
DATA = bytes.fromhex(
    "00c0ffee 20fb c6120003 64400009 04d2 0a0b0c0d 00000011 00000222 10 0000000000 0003"
)


def server(name="i-00ab"):
    place = Endpoint("10.0.0.9", 1)
    report = Report(
        Lifetime(name, 1), 1, "entries", place, "a", "v1", 2, Phase.READY, 0.0
    )
    return ServerRecord(report, "c1")


def test_an_opening_packet_is_read():
    head = read_head(OPENING)
    assert head.is_syn
    assert not head.is_fin_or_rst
    assert head.route_address == bytes([198, 18, 0, 3]) + (8443).to_bytes(2)
    assert head.flow_key[:6] == bytes([100, 64, 0, 9]) + (1234).to_bytes(2)
    assert (
        head.token,
        head.retransmission_count,
        head.sequence_number,
        head.payload_length,
    ) == (
        0,
        0,
        16,
        0,
    )


def test_a_copy_of_an_opening_packet_counts_itself():
    second = OPENING[:24] + (2).to_bytes(4) + OPENING[28:]
    assert read_head(second).retransmission_count == 2


def test_a_data_packet_is_read():
    head = read_head(DATA + b"abc")
    assert (head.token, head.sequence_number, head.ack_number) == (
        0xC0FFEE,
        17,
        0x222,
    )
    assert (head.payload_length, head.retransmission_count, head.is_syn) == (
        3,
        0,
        False,
    )


@pytest.mark.parametrize(("flags", "closing"), [(8, True), (64, True), (16, False)])
def test_a_caller_that_closes_or_breaks_off_is_seen(flags, closing):
    packet = DATA[:28] + bytes([flags]) + DATA[29:34] + bytes(2)
    assert read_head(packet).is_fin_or_rst == closing


@pytest.mark.parametrize(
    "packet",
    [b"", OPENING[:35], DATA, DATA + b"abcd", OPENING + bytes(1300)],
    ids=["empty", "short head", "short data", "long data", "too long"],
)
def test_what_is_no_sound_packet_is_left(packet):
    assert read_head(packet) is None


def test_an_answer_to_an_opening_packet_never_comes_from_a_caller():
    assert read_head(OPENING[:28] + bytes([144]) + OPENING[29:]) is None


def test_only_the_token_changes_on_the_way_to_a_server():
    sent = to_server(DATA + b"abc", server(), 0x01020304)
    assert sent[:8] == (0xAB).to_bytes(8)
    assert sent[8:12] == bytes([1, 2, 3, 4])
    assert sent[12:] == DATA[4:] + b"abc"


def test_a_reset_comes_from_the_routes_address_without_a_sum():
    reset = reset_for(DATA + b"abc", 0x222)
    assert reset == bytes.fromhex(
        "00000000 04d2 64400009 c6120003 20fb 00000000 00000222 00000000 40"
        "0000000000 0000"
    )


def test_a_reset_goes_to_the_caller():
    assert caller_ip(OPENING) == "100.64.0.9"


@pytest.mark.parametrize(
    ("name", "number"),
    [("i-7f3a91c2", 0x7F3A91C2), ("b-0496cf9a91", 0x0496CF9A91), ("ff", 255)],
)
def test_a_server_is_named_by_its_digits(name, number):
    assert server_number(name) == number


@given(st.binary(max_size=1300))
def test_any_bytes_are_read_or_left(packet):
    head = read_head(packet)
    if head is not None:
        assert len(packet) == 36 + head.payload_length
        assert len(head.flow_key) == 12
