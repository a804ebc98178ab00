"""Arithmetic of sequence numbers, which begin anew after the last one."""

from __future__ import annotations

from kumquatmux_tokens.packets import PacketHeader

SEQUENCE_SPACE = 1 << 32
HALF_SEQUENCE_SPACE = 1 << 31

OPENING_REACH_BYTES = 1 << 16
"""Bytes after a SYN's sequence number up to which packets are taken for its flow's.

Callers choose the first sequence number of each flow at random.
"""

FLOW_REACH_BYTES = 1 << 18
"""Bytes from where a flow stands within which packets are taken for its own.

More than its ends have in flight, and than pass other VMs before one comes here again.
"""


def is_after(number: int, reference: int) -> bool:
    """Return whether a sequence number comes after another, allowing for wraparound."""
    return 0 < (number - reference) % SEQUENCE_SPACE < HALF_SEQUENCE_SPACE


def is_near(known_number: int, sequence_number: int) -> bool:
    """Return whether two sequence numbers may be of one flow."""
    offset = sequence_number - known_number + FLOW_REACH_BYTES
    return offset % SEQUENCE_SPACE <= 2 * FLOW_REACH_BYTES


def number_after_syn(syn: PacketHeader) -> int:
    """Return the sequence number of the first byte of data after a SYN."""
    return (syn.sequence_number + 1) % SEQUENCE_SPACE


def follows_syn(sequence_number: int, syn: PacketHeader) -> bool:
    """Return whether a packet's sequence number is one of the flow that a SYN opens."""
    offset = (sequence_number - syn.sequence_number) % SEQUENCE_SPACE
    return 0 < offset <= OPENING_REACH_BYTES
