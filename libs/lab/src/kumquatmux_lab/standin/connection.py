"""A minimal TCP endpoint made of packets, for callers and servers without a kernel.

It keeps what the system must cope with: handshake, sequence numbers, retransmission,
reset and orderly close. It has no congestion control and sends at most one window.
"""

from __future__ import annotations

from typing import NamedTuple

import dpkt

from kumquatmux_core.identity import Address
from kumquatmux_core.segments import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN

RETRANSMIT_S = 0.3
GIVE_UP_S = 30.0
SEGMENT_BYTES = 1_200
WINDOW_SEGMENTS = 16
EARLY_SEGMENTS = 64
SEQ_MASK = 0xFFFFFFFF


class Unacked(NamedTuple):
    """A segment sent and not yet acknowledged."""

    seq: int
    flags: int
    payload: bytes

    @property
    def end(self) -> int:
        """The sequence number after it."""
        length = len(self.payload) + bool(self.flags & (FLAG_SYN | FLAG_FIN))
        return self.seq + length & SEQ_MASK


class Early(NamedTuple):
    """A segment received, perhaps before those that come first."""

    payload: bytes
    is_last: bool


class Connection:
    """One end of a connection; ``outgoing`` collects the packets to send."""

    def __init__(self, local: Address, remote: Address, isn: int) -> None:
        self.local = local
        self.remote = remote
        self.next_seq = isn & SEQ_MASK
        self.expected: int | None = None
        self.unacked: list[Unacked] = []
        self.early: dict[int, Early] = {}
        self.waiting = b""
        self.received = bytearray()
        self.established = False
        self.closing = False
        self.fin_sent = False
        self.remote_closed = False
        self.reset = False
        self.sent_at = 0.0
        self.stuck_since: float | None = None
        self.outgoing: list[bytes] = []

    @property
    def over(self) -> bool:
        """Whether nothing more will happen here."""
        done = self.closing and self.remote_closed and not self.unacked
        return self.reset or done

    def open(self, now: float) -> None:
        """Begin the handshake."""
        self._queue(FLAG_SYN, b"", now)

    def send(self, data: bytes, now: float) -> None:
        """Send some bytes as soon as the window allows."""
        self.waiting += data
        self._pump(now)

    def close(self, now: float) -> None:
        """Close this direction after everything sent so far."""
        if not self.closing:
            self.closing = True
            self._pump(now)

    def abort(self) -> None:
        """Reset the connection."""
        self.reset = True
        self._emit(FLAG_RST | FLAG_ACK, self.next_seq, b"")

    def on_packet(self, tcp: dpkt.tcp.TCP, now: float) -> None:
        """Take a segment of the other end."""
        if tcp.flags & FLAG_RST:
            self._on_reset(tcp)
            return
        if tcp.flags & FLAG_SYN:
            self._on_syn(tcp, now)
            return
        if self.expected is None:
            return
        if tcp.flags & FLAG_ACK:
            self._on_ack(tcp.ack, now)
        self._on_payload(tcp)
        self._pump(now)

    def on_time(self, now: float) -> None:
        """Retransmit what has waited too long, and give up in the end."""
        if not self.unacked or now - self.sent_at < RETRANSMIT_S:
            return
        if self.stuck_since is None:
            self.stuck_since = now
        if now - self.stuck_since > GIVE_UP_S:
            self.abort()
            return
        self.sent_at = now
        for segment in self.unacked:
            self._emit_unacked(segment)

    def _on_reset(self, tcp: dpkt.tcp.TCP) -> None:
        in_order = self.expected is None or tcp.seq == self.expected
        acks_syn = self.expected is None and tcp.ack == self.next_seq
        if in_order or acks_syn:
            self.reset = True

    def _on_syn(self, tcp: dpkt.tcp.TCP, now: float) -> None:
        if self.expected is None:
            self.expected = tcp.seq + 1 & SEQ_MASK
            if not tcp.flags & FLAG_ACK:
                self._queue(FLAG_SYN | FLAG_ACK, b"", now)
        if tcp.flags & FLAG_ACK:
            if tcp.seq + 1 & SEQ_MASK != self.expected:
                return
            self._on_ack(tcp.ack, now)
            self._emit(FLAG_ACK, self.next_seq, b"")
            self._pump(now)

    def _on_ack(self, ack: int, now: float) -> None:
        before = len(self.unacked)
        self.unacked = [s for s in self.unacked if not _at_or_after(ack, s.end)]
        if len(self.unacked) < before:
            self.established = True
            self.stuck_since = None
            self.sent_at = now

    def _on_payload(self, tcp: dpkt.tcp.TCP) -> None:
        length = len(tcp.data) + bool(tcp.flags & FLAG_FIN)
        is_probe = length == 0 and tcp.seq != self.expected
        if length == 0 and not is_probe:
            return
        if length and len(self.early) < EARLY_SEGMENTS:
            is_last = bool(tcp.flags & FLAG_FIN)
            self.early.setdefault(tcp.seq, Early(bytes(tcp.data), is_last))
        self._take_in_order()
        self._emit(FLAG_ACK, self.next_seq, b"")

    def _take_in_order(self) -> None:
        while self.expected in self.early:
            segment = self.early.pop(self.expected)
            length = len(segment.payload) + segment.is_last
            self.received += segment.payload
            self.expected = self.expected + length & SEQ_MASK
            self.remote_closed |= segment.is_last

    def _pump(self, now: float) -> None:
        if not self.established:
            return
        while self.waiting and len(self.unacked) < WINDOW_SEGMENTS:
            chunk = self.waiting[:SEGMENT_BYTES]
            self.waiting = self.waiting[SEGMENT_BYTES:]
            self._queue(FLAG_ACK, chunk, now)
        if self.closing and not self.waiting and not self.fin_sent:
            self._queue(FLAG_FIN | FLAG_ACK, b"", now)

    def _queue(self, flags: int, payload: bytes, now: float) -> None:
        segment = Unacked(self.next_seq, flags, payload)
        if flags & FLAG_FIN:
            self.fin_sent = True
        self.next_seq = segment.end
        self.unacked.append(segment)
        self.sent_at = now
        self._emit_unacked(segment)

    def _emit_unacked(self, segment: Unacked) -> None:
        self._emit(segment.flags, segment.seq, segment.payload)

    def _emit(self, flags: int, seq: int, payload: bytes) -> None:
        ack = self.expected if self.expected is not None else 0
        tcp = dpkt.tcp.TCP(
            sport=int.from_bytes(self.local[4:]),
            dport=int.from_bytes(self.remote[4:]),
            seq=seq,
            ack=ack,
            flags=flags,
            data=payload,
        )
        packet = dpkt.ip.IP(
            src=bytes(self.local[:4]),
            dst=bytes(self.remote[:4]),
            p=dpkt.ip.IP_PROTO_TCP,
            data=tcp,
        )
        packet.len = len(packet)
        self.outgoing.append(bytes(packet))


def _at_or_after(left: int, right: int) -> bool:
    return (left - right) & SEQ_MASK < 1 << 31
