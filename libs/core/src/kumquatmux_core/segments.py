"""Header fields of one packet that routing decisions need."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import FlowKey

PROTOCOL_TCP = 6
PROTOCOL_UDP = 17

FLAG_FIN = 0x01
FLAG_SYN = 0x02
FLAG_RST = 0x04
FLAG_ACK = 0x10


class Segment(NamedTuple):
    """A TCP segment or UDP datagram of one flow, with its IPv4 packet.

    Attributes:
        key: Key of the packet's flow, the same in both directions.
        flags: TCP flags, 0 for UDP.
        seq: TCP sequence number, 0 for UDP.
        ack: TCP acknowledgement number, 0 for UDP.
        payload_length: Number of bytes after the TCP or UDP header.
        packet: The whole IPv4 packet; routing decisions do not read it.
    """

    key: FlowKey
    flags: int
    seq: int
    ack: int
    payload_length: int
    packet: bytes

    @property
    def is_tcp(self) -> bool:
        """Whether the flow is a TCP connection."""
        return self.key[0] == PROTOCOL_TCP

    @property
    def opens(self) -> bool:
        """Whether this is the initial SYN of a TCP handshake."""
        return self.flags & (FLAG_SYN | FLAG_ACK | FLAG_RST) == FLAG_SYN
