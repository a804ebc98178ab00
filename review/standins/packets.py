"""Packets of clients and servers: a head of 36 bytes and data."""

from __future__ import annotations

import ipaddress
import struct
import zlib
from typing import NamedTuple

SYN = 128
ACK = 16
FIN = 8
RST = 64
HEAD_BYTES = 36
SERVER_BYTES = 8
SEQUENCES = 1 << 32

_head = struct.Struct("!IH4s4sHIIIB5sH")
_server = struct.Struct("!Q")
_KEY = b"stand-in key"


class Packet(NamedTuple):
    """One packet, with addresses as text."""

    echo: int
    source: str
    source_port: int
    target: str
    target_port: int
    flags: int
    seq: int
    ack: int
    data: bytes = b""
    sum: int = 0


def encode(packet: Packet) -> bytes:
    """Return a packet as it is sent, with the sum that only the ends know."""
    fields = _pack(packet._replace(echo=0), 0)
    return _pack(packet, zlib.crc32(fields + _KEY) or 1)


def decode(datagram: bytes) -> Packet:
    """Read a packet."""
    head = _head.unpack_from(datagram)
    echo, target_port, target, source, source_port = head[:5]
    total, seq, ack, flags, _, _ = head[5:]
    return Packet(
        echo,
        str(ipaddress.IPv4Address(source)),
        source_port,
        str(ipaddress.IPv4Address(target)),
        target_port,
        flags,
        seq,
        ack,
        datagram[HEAD_BYTES:],
        total,
    )


def is_genuine(packet: Packet) -> bool:
    """Return whether an end of the flow wrote the packet."""
    fields = _pack(packet._replace(echo=0), 0)
    return packet.sum == (zlib.crc32(fields + _KEY) or 1)


def split_server(datagram: bytes) -> tuple[int, bytes]:
    """Return the number of the intended server and the packet."""
    return _server.unpack_from(datagram)[0], datagram[SERVER_BYTES:]


def _pack(packet: Packet, total: int) -> bytes:
    return (
        _head.pack(
            packet.echo,
            packet.target_port,
            ipaddress.IPv4Address(packet.target).packed,
            ipaddress.IPv4Address(packet.source).packed,
            packet.source_port,
            total,
            packet.seq,
            packet.ack,
            packet.flags,
            bytes(5),
            len(packet.data),
        )
        + packet.data
    )
