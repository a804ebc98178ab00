"""Packets that the load balancer generates: resets, refusals and keepalive probes."""

from __future__ import annotations

import dpkt

from kumquatmux_core.identity import Address, FlowKey
from kumquatmux_core.segments import FLAG_ACK, FLAG_FIN, FLAG_SYN, Segment

SEQ_MASK = 0xFFFFFFFF
TIME_TO_LIVE = 64
QUOTED_BYTES = 28
"""ICMP errors quote the IP header and the next eight bytes (RFC 792)."""


def refuse_caller(segment: Segment) -> bytes:
    """Build the packet that refuses a caller's packet.

    The result is a TCP reset whose sequence number the caller accepts (RFC 9293,
    section 3.10.7.1), or ICMP port unreachable for a UDP datagram.
    """
    if segment.is_tcp:
        return _build_tcp_reset(segment)
    return _build_port_unreachable(segment)


def reset_server(key: FlowKey, server: Address, seq: int) -> bytes:
    """Build a TCP reset to the backend server, with the caller's source address."""
    return _build_tcp_packet(
        source=caller_address(key),
        destination=server,
        flags=dpkt.tcp.TH_RST,
        seq=seq,
        ack=0,
    )


def probe_server(key: FlowKey, server: Address, seq: int, ack: int) -> bytes:
    """Build a TCP keepalive probe to the backend server.

    Its source address is the caller's address.
    """
    return _build_tcp_packet(
        source=caller_address(key),
        destination=server,
        flags=dpkt.tcp.TH_ACK,
        seq=seq,
        ack=ack,
    )


def probe_caller(key: FlowKey, seq: int, ack: int) -> bytes:
    """Build a TCP keepalive probe to the caller, with the service's source address."""
    return _build_tcp_packet(
        source=service_address(key),
        destination=caller_address(key),
        flags=dpkt.tcp.TH_ACK,
        seq=seq,
        ack=ack,
    )


def caller_address(key: FlowKey) -> Address:
    """Return the caller's IP address and port from a flow key."""
    return Address(key[1:5] + key[9:11])


def service_address(key: FlowKey) -> Address:
    """Return the service's IP address and port from a flow key."""
    return Address(key[5:9] + key[11:13])


def target_of(key: FlowKey) -> bytes:
    """Return the protocol and service address of a flow key, 7 bytes."""
    return key[:1] + service_address(key)


def _build_tcp_reset(segment: Segment) -> bytes:
    if segment.flags & FLAG_ACK:
        flags, seq, ack = dpkt.tcp.TH_RST, segment.ack, 0
    else:
        segment_length = segment.payload_length
        segment_length += bool(segment.flags & FLAG_SYN) + bool(
            segment.flags & FLAG_FIN
        )
        flags = dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK
        seq, ack = 0, segment.seq + segment_length & SEQ_MASK
    return _build_tcp_packet(
        source=service_address(segment.key),
        destination=caller_address(segment.key),
        flags=flags,
        seq=seq,
        ack=ack,
    )


def _build_port_unreachable(segment: Segment) -> bytes:
    quoted = dpkt.icmp.ICMP.Unreach(data=segment.packet[:QUOTED_BYTES])
    icmp = dpkt.icmp.ICMP(
        type=dpkt.icmp.ICMP_UNREACH,
        code=dpkt.icmp.ICMP_UNREACH_PORT,
        data=quoted,
    )
    packet = dpkt.ip.IP(
        src=segment.key[5:9],
        dst=segment.key[1:5],
        p=dpkt.ip.IP_PROTO_ICMP,
        ttl=TIME_TO_LIVE,
        data=icmp,
    )
    packet.len = len(packet)
    return bytes(packet)


def _build_tcp_packet(
    *, source: Address, destination: Address, flags: int, seq: int, ack: int
) -> bytes:
    tcp = dpkt.tcp.TCP(
        sport=int.from_bytes(source[4:]),
        dport=int.from_bytes(destination[4:]),
        seq=seq & SEQ_MASK,
        ack=ack & SEQ_MASK,
        flags=flags,
        win=0,
    )
    packet = dpkt.ip.IP(
        src=bytes(source[:4]),
        dst=bytes(destination[:4]),
        p=dpkt.ip.IP_PROTO_TCP,
        ttl=TIME_TO_LIVE,
        data=tcp,
    )
    packet.len = len(packet)
    return bytes(packet)
