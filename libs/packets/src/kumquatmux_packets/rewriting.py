"""Rewriting of packet addresses with incremental checksum updates (RFC 1624)."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import Address
from kumquatmux_core.segments import PROTOCOL_TCP
from kumquatmux_packets import layout

WORD_MASK = 0xFFFF


class Rewrite(NamedTuple):
    """A new address and the checksum differences that it causes.

    Attributes:
        ip: The new IP address, 4 bytes.
        port: The new port, 2 bytes.
        ip_checksum_difference: Amount to add to the one's complement sum of the IP
            header.
        transport_checksum_difference: Amount to add to the one's complement sum of the
            TCP segment or UDP datagram.
    """

    ip: bytes
    port: bytes
    ip_checksum_difference: int
    transport_checksum_difference: int


def plan_rewrite(old: Address, new: Address) -> Rewrite:
    """Compute the rewrite that replaces one address with another."""
    ip_difference = _checksum_difference(old[:4], new[:4])
    port_difference = _checksum_difference(old[4:], new[4:])
    return Rewrite(
        ip=bytes(new[:4]),
        port=bytes(new[4:]),
        ip_checksum_difference=ip_difference,
        transport_checksum_difference=_fold_carries(ip_difference + port_difference),
    )


def rewrite_target(packet: bytes, rewrite: Rewrite) -> bytearray:
    """Return a copy of a packet with its destination IP address and port replaced."""
    rewritten = bytearray(packet)
    rewritten[16:20] = rewrite.ip
    rewritten[22:24] = rewrite.port
    _update_checksums(rewritten, rewrite)
    return rewritten


def rewrite_source(packet: bytes, rewrite: Rewrite) -> bytearray:
    """Return a copy of a packet with its source IP address and port replaced."""
    rewritten = bytearray(packet)
    rewritten[12:16] = rewrite.ip
    rewritten[20:22] = rewrite.port
    _update_checksums(rewritten, rewrite)
    return rewritten


def _update_checksums(packet: bytearray, rewrite: Rewrite) -> None:
    total = (
        ~(packet[10] << 8 | packet[11]) & WORD_MASK
    ) + rewrite.ip_checksum_difference
    total = ~((total & WORD_MASK) + (total >> 16)) & WORD_MASK
    packet[10] = total >> 8
    packet[11] = total & 0xFF
    if packet[9] == PROTOCOL_TCP:
        offset = layout.TCP_CHECKSUM
        old_checksum = packet[offset] << 8 | packet[offset + 1]
    else:
        offset = layout.UDP_CHECKSUM
        old_checksum = packet[offset] << 8 | packet[offset + 1]
        if old_checksum == 0:
            return
    total = (~old_checksum & WORD_MASK) + rewrite.transport_checksum_difference
    total = ~((total & WORD_MASK) + (total >> 16)) & WORD_MASK
    if total == 0 and offset == layout.UDP_CHECKSUM:
        total = WORD_MASK
    packet[offset] = total >> 8
    packet[offset + 1] = total & 0xFF


def _checksum_difference(old: bytes, new: bytes) -> int:
    total = 0
    for offset in range(0, len(old), 2):
        total += ~int.from_bytes(old[offset : offset + 2]) & WORD_MASK
        total += int.from_bytes(new[offset : offset + 2])
    return _fold_carries(total)


def _fold_carries(total: int) -> int:
    while total > WORD_MASK:
        total = (total & WORD_MASK) + (total >> 16)
    return total
