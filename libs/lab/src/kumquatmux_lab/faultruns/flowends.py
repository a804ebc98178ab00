"""Callers and backend servers of a flow run: small TCP ends and UDP ends."""

from __future__ import annotations

import random
import struct
from enum import Enum
from typing import NamedTuple

from kumquatmux_core.identity import Address, FlowKey
from kumquatmux_core.segments import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN, Segment

HEADER = struct.Struct(">13sBIIHII6s")
MASK = 0xFFFFFFFF
HALF = 0x80000000
RETRANSMIT_SECONDS = 0.5
GIVE_UP_SECONDS = 45.0
REQUEST_BYTES = 100
ANSWER_BYTES = 999
ANSWER_SEGMENTS = 3
PUSH_BYTES = 50
WINDOW_BYTES = 65_535
NO_SERVER = Address(bytes(6))


class Wire(NamedTuple):
    """A packet as the fabric of a run carries it.

    Attributes:
        key: Its flow, from the caller's side.
        flags: TCP flags.
        seq: Sequence number.
        ack: Acknowledgement number.
        payload_length: Bytes of payload.
        copy: Number of this copy, given by the fabric when an end sends it.
        connection: Initial sequence number of the caller, for the history.
        server: Sender of a reply, zeros for a caller's packet.
    """

    key: FlowKey
    flags: int
    seq: int
    ack: int
    payload_length: int
    copy: int
    connection: int
    server: Address = NO_SERVER

    def packed(self) -> bytes:
        """Return the packet as bytes."""
        return HEADER.pack(*self)

    def segment(self) -> Segment:
        """Return what the engine is told of the packet."""
        return Segment(
            self.key,
            self.flags,
            self.seq,
            self.ack,
            self.payload_length,
            self.packed(),
        )


def unpack(packet: bytes) -> Wire:
    """Return the packet in some bytes."""
    key, flags, seq, ack, length, copy, connection, server = HEADER.unpack(packet)
    return Wire(FlowKey(key), flags, seq, ack, length, copy, connection, server)


def after(left: int, right: int) -> bool:
    """Return whether a sequence number is later than another."""
    return 0 < (left - right) & MASK < HALF


class Sent(NamedTuple):
    """A piece of stream or flag that is not acknowledged yet."""

    seq: int
    flags: int
    length: int

    @property
    def end(self) -> int:
        """Sequence number after it."""
        extra = bool(self.flags & (FLAG_SYN | FLAG_FIN))
        return (self.seq + self.length + extra) & MASK


class Phase(Enum):
    """Where one end of a connection stands."""

    OPENING = "opening"
    OPEN = "open"
    OVER = "over"


class End:
    """One end of a TCP connection: in-order bytes, retransmission, FIN and RST."""

    def __init__(self, key: FlowKey, connection: int, isn: int) -> None:
        self.key = key
        self.connection = connection
        self.phase = Phase.OPENING
        self.isn = isn
        self.next = isn
        self.expected = 0
        self.unacked: list[Sent] = []
        self.sent_at = 0.0
        self.stuck_since: float | None = None
        self.received = 0
        self.remote_fin = False
        self.fin_sent = False
        self.out: list[Wire] = []

    def emit(self, sent: Sent) -> None:
        """Put a piece on the wire."""
        flags = sent.flags if sent.flags == FLAG_SYN else sent.flags | FLAG_ACK
        ack = 0 if sent.flags == FLAG_SYN else self.expected
        self.out.append(
            Wire(self.key, flags, sent.seq, ack, sent.length, 0, self.connection)
        )

    def send(self, flags: int, length: int, now: float) -> None:
        """Send a new piece."""
        piece = Sent(self.next, flags, length)
        self.next = piece.end
        if not self.unacked:
            self.stuck_since = now
            self.sent_at = now
        self.unacked.append(piece)
        self.emit(piece)

    def finish(self, now: float) -> None:
        """Send a FIN, once."""
        if not self.fin_sent:
            self.fin_sent = True
            self.send(FLAG_FIN, 0, now)

    def acknowledge(self) -> None:
        """Send a pure acknowledgement."""
        self.emit(Sent(self.next, 0, 0))

    def take_ack(self, ack: int, now: float) -> None:
        """Drop what the other end has."""
        before = len(self.unacked)
        self.unacked = [piece for piece in self.unacked if after(piece.end, ack)]
        if len(self.unacked) < before:
            self.stuck_since = now
            self.sent_at = now
        if not self.unacked:
            self.stuck_since = None

    def tick(self, now: float) -> None:
        """Retransmit what waits too long."""
        if self.phase == Phase.OVER or not self.unacked:
            return
        if now - self.sent_at >= RETRANSMIT_SECONDS:
            self.sent_at = now
            for piece in self.unacked:
                self.emit(piece)

    def take_data(self, wire: Wire) -> bool:
        """Take the stream forward; return whether new bytes came."""
        if not wire.payload_length and not wire.flags & FLAG_FIN:
            if (wire.seq - self.expected) & MASK > WINDOW_BYTES:
                self.acknowledge()
            return False
        if wire.seq != self.expected or self.remote_fin:
            self.acknowledge()
            return False
        self.expected = (wire.seq + wire.payload_length) & MASK
        self.received += wire.payload_length
        if wire.flags & FLAG_FIN:
            self.remote_fin = True
            self.expected = (self.expected + 1) & MASK
        self.acknowledge()
        return bool(wire.payload_length)

    @property
    def done(self) -> bool:
        """Whether both directions are closed and acknowledged."""
        return self.fin_sent and self.remote_fin and not self.unacked


class ServerEnd(End):
    """The server's end of one connection: it answers each request in segments."""

    def __init__(
        self, key: FlowKey, connection: int, isn: int, push_every: float
    ) -> None:
        super().__init__(key, connection, isn)
        self.answered = 0
        self.push_every = push_every
        self.pushed_at = 0.0

    def take(self, wire: Wire, now: float) -> None:
        """Take one packet of the caller."""
        if wire.flags & FLAG_RST:
            if wire.seq == self.expected:
                self.phase = Phase.OVER
            return
        if wire.flags & FLAG_SYN:
            if self.phase == Phase.OPENING:
                self.emit(self.unacked[0])
            return
        if self.phase == Phase.OPENING and not self.open(wire):
            return
        self.take_ack(wire.ack, now)
        self.take_data(wire)
        while self.received >= (self.answered + 1) * REQUEST_BYTES:
            self.answered += 1
            self.pushed_at = now
            for _ in range(ANSWER_SEGMENTS):
                self.send(0, ANSWER_BYTES // ANSWER_SEGMENTS, now)
        if self.remote_fin:
            self.finish(now)
        if self.done:
            self.phase = Phase.OVER

    def open(self, wire: Wire) -> bool:
        """Finish the handshake, or reset one that was not ours."""
        if wire.ack != self.next:
            reset = Wire(self.key, FLAG_RST, wire.ack, 0, 0, 0, self.connection)
            self.out.append(reset)
            return False
        self.phase = Phase.OPEN
        return True

    def push(self, now: float) -> None:
        """Send a feed's update when it is time."""
        idle = now - self.pushed_at
        if self.phase == Phase.OPEN and self.answered and not self.fin_sent:
            if self.push_every and idle >= self.push_every:
                self.pushed_at = now
                self.send(0, PUSH_BYTES, now)


class CallerEnd(End):
    """The caller's end: requests one after the other, then a FIN, or a long feed."""

    def __init__(self, key: FlowKey, isn: int, requests: int, pause: float) -> None:
        super().__init__(key, isn, isn)
        self.requests = requests
        self.pause = pause
        self.asked = 0
        self.whole = 0
        self.ready_at = 0.0
        self.cause = ""

    def start(self, now: float) -> None:
        """Send the SYN."""
        self.send(FLAG_SYN, 0, now)

    def take(self, wire: Wire, now: float) -> bool:
        """Take one packet; return whether its bytes were accepted."""
        if self.phase == Phase.OVER:
            return False
        if wire.flags & FLAG_RST:
            self.take_reset(wire)
            return False
        if self.phase == Phase.OPENING:
            return self.open(wire, now)
        if wire.flags & FLAG_SYN:
            self.acknowledge()
            return False
        if after(wire.ack, self.next):
            self.acknowledge()
            return False
        self.take_ack(wire.ack, now)
        fresh = self.take_data(wire)
        if self.received >= self.asked * ANSWER_BYTES:
            self.whole = self.asked
        if self.done:
            self.phase = Phase.OVER
            self.cause = "done"
        return fresh

    def open(self, wire: Wire, now: float) -> bool:
        """Take the handshake's answer."""
        syn_ack = FLAG_SYN | FLAG_ACK
        if wire.flags & syn_ack != syn_ack or wire.ack != self.next:
            return False
        self.expected = (wire.seq + 1) & MASK
        self.take_ack(wire.ack, now)
        self.phase = Phase.OPEN
        self.ready_at = now
        self.acknowledge()
        return True

    def take_reset(self, wire: Wire) -> None:
        """Take a reset that carries exactly the next number expected."""
        if self.phase == Phase.OPENING and wire.ack == self.next:
            self.phase = Phase.OVER
            self.cause = "refused"
        elif self.phase == Phase.OPEN and wire.seq == self.expected:
            self.phase = Phase.OVER
            self.cause = "reset"

    def act(self, now: float) -> None:
        """Ask the next request, or close, when the answer is whole."""
        if self.phase != Phase.OPEN or self.fin_sent or self.whole < self.asked:
            return
        if now < self.ready_at:
            return
        if self.asked < self.requests:
            self.asked += 1
            self.ready_at = now + self.pause
            self.send(0, REQUEST_BYTES, now)
        elif self.requests and self.pause == 0.0:
            self.finish(now)

    def gives_up(self, now: float) -> bool:
        """Return whether the caller waited too long for any progress."""
        if self.phase == Phase.OVER or self.stuck_since is None:
            return False
        return now - self.stuck_since > GIVE_UP_SECONDS


def new_isn(source: random.Random) -> int:
    """Return an initial sequence number."""
    return source.getrandbits(32)
