"""Validation of IPv4 packets and parsing into segments."""

from __future__ import annotations

from expression import Error, Ok, Result

from kumquatmux_core.identity import Address, FlowKey
from kumquatmux_core.problems import Problem
from kumquatmux_core.segments import PROTOCOL_TCP, PROTOCOL_UDP, Segment
from kumquatmux_packets import layout


def check(packet: bytes) -> Problem | None:
    """Return why an IPv4 packet is malformed or unsupported, or None if it is valid."""
    if len(packet) < layout.IP_HEADER_BYTES + layout.UDP_HEADER_BYTES:
        return Problem("packet-short", f"packet of {len(packet)} bytes")
    if packet[0] != layout.VERSION_AND_LENGTH:
        return Problem("packet-version", "only IPv4 without options is supported")
    if int.from_bytes(packet[2:4]) != len(packet):
        return Problem(
            "packet-length", "IP total length differs from the datagram length"
        )
    if int.from_bytes(packet[6:8]) & layout.FRAGMENT_MASK:
        return Problem("packet-fragment", "IP fragments are not supported")
    if packet[layout.PROTOCOL] == PROTOCOL_TCP:
        return _check_tcp(packet)
    if packet[layout.PROTOCOL] == PROTOCOL_UDP:
        return _check_udp(packet)
    return Problem(
        "packet-protocol", f"unsupported IP protocol {packet[layout.PROTOCOL]}"
    )


def _check_tcp(packet: bytes) -> Problem | None:
    if len(packet) < layout.IP_HEADER_BYTES + layout.TCP_HEADER_BYTES:
        return Problem("packet-short", f"TCP packet of {len(packet)} bytes")
    header_bytes = _tcp_header_bytes(packet)
    if header_bytes < layout.TCP_HEADER_BYTES:
        return Problem("packet-tcp-offset", f"TCP header of {header_bytes} bytes")
    if layout.IP_HEADER_BYTES + header_bytes > len(packet):
        return Problem("packet-tcp-offset", "TCP header extends beyond the packet")
    return None


def _check_udp(packet: bytes) -> Problem | None:
    if int.from_bytes(packet[24:26]) != len(packet) - layout.IP_HEADER_BYTES:
        return Problem("packet-udp-length", "UDP length differs from the packet length")
    return None


def caller_key(packet: bytes) -> FlowKey:
    """Return the flow key of a valid packet from a caller."""
    return FlowKey(
        packet[layout.PROTOCOL : layout.PROTOCOL + 1]
        + packet[layout.SOURCE_IP : layout.FLOW_KEY_END]
    )


def reply_key(packet: bytes, service: Address) -> FlowKey:
    """Return the flow key of a valid packet from a backend server of a service."""
    return FlowKey(
        packet[layout.PROTOCOL : layout.PROTOCOL + 1]
        + packet[layout.DESTINATION_IP : layout.SOURCE_PORT]
        + service[:4]
        + packet[layout.DESTINATION_PORT : layout.FLOW_KEY_END]
        + service[4:]
    )


def source_address(packet: bytes) -> Address:
    """Return the source IP address and port of a valid packet."""
    return Address(
        packet[layout.SOURCE_IP : layout.DESTINATION_IP]
        + packet[layout.SOURCE_PORT : layout.DESTINATION_PORT]
    )


def target_address(packet: bytes) -> Address:
    """Return the destination IP address and port of a valid packet."""
    return Address(
        packet[layout.DESTINATION_IP : layout.SOURCE_PORT]
        + packet[layout.DESTINATION_PORT : layout.FLOW_KEY_END]
    )


def segment(key: FlowKey, packet: bytes) -> Segment:
    """Build the segment of a valid packet that belongs to the given flow."""
    if packet[layout.PROTOCOL] != PROTOCOL_TCP:
        payload_length = len(packet) - layout.IP_HEADER_BYTES - layout.UDP_HEADER_BYTES
        return Segment(key, 0, 0, 0, payload_length, packet)
    return Segment(
        key=key,
        flags=packet[layout.TCP_FLAGS],
        seq=int.from_bytes(packet[24:28]),
        ack=int.from_bytes(packet[28:32]),
        payload_length=len(packet) - layout.IP_HEADER_BYTES - _tcp_header_bytes(packet),
        packet=packet,
    )


def parse_caller_packet(packet: bytes) -> Result[Segment, Problem]:
    """Validate and parse a packet from a caller."""
    problem = check(packet)
    if problem is not None:
        return Error(problem)
    return Ok(segment(caller_key(packet), packet))


def parse_reply_packet(packet: bytes, service: Address) -> Result[Segment, Problem]:
    """Validate and parse a reply from a backend server of the given service.

    The flow key of the segment is that of the caller's packets.
    """
    problem = check(packet)
    if problem is not None:
        return Error(problem)
    return Ok(segment(reply_key(packet, service), packet))


def _tcp_header_bytes(packet: bytes) -> int:
    return (packet[layout.TCP_DATA_OFFSET] >> 4) * 4
