from __future__ import annotations

import dpkt
import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.identity import Endpoint
from kumquatmux_core.segments import FLAG_ACK, FLAG_SYN, PROTOCOL_TCP, PROTOCOL_UDP
from kumquatmux_flows.events import Binding, Passing, Stage
from kumquatmux_packets import answers, envelope, reading
from kumquatmux_packets.rewriting import plan_rewrite, rewrite_source, rewrite_target

CALLER = Endpoint("127.67.0.9", 40001)
SERVICE = Endpoint("127.66.0.50", 80)
SERVER = Endpoint("127.66.1.7", 9001)
ENDPOINTS = st.builds(
    Endpoint,
    st.ip_addresses(v=4).map(str),
    st.integers(1, 0xFFFF),
)
KEY = bytes(range(16))


def tcp_packet(source, target, *, flags=FLAG_ACK, seq=1, ack=2, payload=b""):
    tcp = dpkt.tcp.TCP(
        sport=source.port, dport=target.port, flags=flags, seq=seq, ack=ack
    )
    tcp.data = payload
    return ip_packet(source, target, PROTOCOL_TCP, tcp)


def udp_packet(source, target, payload=b""):
    udp = dpkt.udp.UDP(sport=source.port, dport=target.port, data=payload)
    udp.ulen = len(udp)
    return ip_packet(source, target, PROTOCOL_UDP, udp)


def ip_packet(source, target, protocol, data):
    packet = dpkt.ip.IP(
        src=source.packed[:4], dst=target.packed[:4], p=protocol, ttl=64, data=data
    )
    packet.len = len(packet)
    return bytes(packet)


def has_valid_checksums(packet):
    """Return whether the packet's checksums equal those that dpkt computes."""
    recomputed = dpkt.ip.IP(packet)
    recomputed.sum = 0
    recomputed.data.sum = 0
    return bytes(recomputed) == bytes(packet)


@given(ENDPOINTS, ENDPOINTS, ENDPOINTS, st.binary(max_size=40))
def test_rewriting_keeps_checksums_valid(caller, service, server, payload):
    for packet in (
        tcp_packet(caller, service, payload=payload),
        udp_packet(caller, service, payload),
    ):
        rewritten = rewrite_target(packet, plan_rewrite(service.packed, server.packed))
        assert reading.target_address(bytes(rewritten)) == server.packed
        assert has_valid_checksums(bytes(rewritten))
        rewritten = rewrite_source(packet, plan_rewrite(caller.packed, server.packed))
        assert reading.source_address(bytes(rewritten)) == server.packed
        assert has_valid_checksums(bytes(rewritten))


def test_rewriting_keeps_a_zero_udp_checksum():
    packet = bytearray(udp_packet(CALLER, SERVICE, b"x"))
    packet[26:28] = b"\0\0"
    rewrite = plan_rewrite(SERVICE.packed, SERVER.packed)
    assert rewrite_target(bytes(packet), rewrite)[26:28] == b"\0\0"


def test_both_directions_have_the_same_flow_key():
    request = reading.parse_caller_packet(
        tcp_packet(CALLER, SERVICE, payload=b"abc")
    ).ok
    reply = reading.parse_reply_packet(tcp_packet(SERVER, CALLER), SERVICE.packed).ok
    assert request.key == reply.key
    assert (request.seq, request.ack, request.payload_length) == (1, 2, 3)
    assert answers.caller_address(request.key) == CALLER.packed
    assert answers.service_address(request.key) == SERVICE.packed


VALID_PACKET = tcp_packet(CALLER, SERVICE)


def with_byte(offset, value, packet=VALID_PACKET):
    return packet[:offset] + bytes([value]) + packet[offset + 1 :]


@pytest.mark.parametrize(
    ("packet", "code"),
    [
        (b"", "packet-short"),
        (VALID_PACKET[:39], "packet-length"),
        (with_byte(0, 0x46), "packet-version"),
        (with_byte(3, 99), "packet-length"),
        (with_byte(6, 0x20), "packet-fragment"),
        (with_byte(7, 0x01), "packet-fragment"),
        (with_byte(9, 47), "packet-protocol"),
        (with_byte(32, 0x10), "packet-tcp-offset"),
        (with_byte(32, 0xF0), "packet-tcp-offset"),
        (with_byte(25, 99, udp_packet(CALLER, SERVICE)), "packet-udp-length"),
    ],
)
def test_malformed_packets_return_their_error_code(packet, code):
    assert reading.parse_caller_packet(packet).error.code == code


@given(st.binary(max_size=80))
def test_arbitrary_bytes_never_crash_the_parser(data):
    result = reading.parse_caller_packet(data)
    assert result.is_ok() or result.error.code.startswith("packet-")


def test_refused_syn_is_answered_with_an_acceptable_reset():
    segment = reading.parse_caller_packet(
        tcp_packet(CALLER, SERVICE, flags=FLAG_SYN, seq=0xFFFFFFFF, ack=0)
    ).ok
    reset = dpkt.ip.IP(answers.refuse_caller(segment))
    assert reset.data.flags == dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK
    assert reset.data.ack == 0
    assert reset.src == SERVICE.packed[:4]


def test_reset_of_a_segment_with_ack_uses_its_acknowledgement_number():
    segment = reading.parse_caller_packet(tcp_packet(CALLER, SERVICE, ack=77)).ok
    reset = dpkt.ip.IP(answers.refuse_caller(segment))
    assert (reset.data.flags, reset.data.seq) == (dpkt.tcp.TH_RST, 77)


def test_refused_datagram_is_answered_with_icmp_port_unreachable():
    packet = udp_packet(CALLER, SERVICE, b"hello")
    answer = dpkt.ip.IP(answers.refuse_caller(reading.parse_caller_packet(packet).ok))
    assert (answer.data.type, answer.data.code) == (3, 3)
    assert bytes(answer.data.data.data)[:28] == packet[:28]


PASSINGS = st.builds(
    Passing,
    st.sampled_from(Stage),
    st.integers(0, 255),
    st.none()
    | st.builds(
        Binding,
        st.just(SERVER.packed),
        st.integers(0, 2**63),
        st.integers(0, 2**63),
    ),
)


@given(PASSINGS)
def test_envelope_round_trip(passing):
    decoded = envelope.unseal(envelope.seal(passing, VALID_PACKET, key=KEY), key=KEY).ok
    assert decoded == envelope.DecodedEnvelope(passing, VALID_PACKET)


@given(st.integers(0, envelope.HEADER_AND_DIGEST_BYTES + 39), st.integers(1, 255))
def test_modified_envelope_is_refused(offset, difference):
    encapsulated = bytearray(envelope.seal(Passing(Stage.STORE), VALID_PACKET, key=KEY))
    encapsulated[offset] ^= difference
    assert envelope.unseal(bytes(encapsulated), key=KEY).is_error()


@given(st.binary(max_size=80))
def test_arbitrary_bytes_are_refused_as_an_envelope(data):
    assert envelope.unseal(data, key=KEY).is_error()
