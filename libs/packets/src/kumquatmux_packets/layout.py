"""Byte offsets of IPv4, TCP and UDP header fields, from the start of the packet.

Only IPv4 headers without options are supported, so every offset is fixed. Sources:
RFC 791 (IPv4), RFC 9293 (TCP), RFC 768 (UDP).
"""

from __future__ import annotations

VERSION_AND_LENGTH = 0x45
IP_HEADER_BYTES = 20
UDP_HEADER_BYTES = 8
TCP_HEADER_BYTES = 20

TOTAL_LENGTH = 2
FLAGS_AND_FRAGMENT_OFFSET = 6
# The mask covers the more-fragments flag and the fragment offset.
FRAGMENT_MASK = 0x3FFF
PROTOCOL = 9
IP_CHECKSUM = 10
SOURCE_IP = 12
DESTINATION_IP = 16
SOURCE_PORT = 20
DESTINATION_PORT = 22
FLOW_KEY_END = 24
TCP_SEQ = 24
TCP_ACK = 28
TCP_DATA_OFFSET = 32
TCP_FLAGS = 33
TCP_CHECKSUM = 36
UDP_CHECKSUM = 26
"""A UDP checksum of zero means that the sender computed none."""
