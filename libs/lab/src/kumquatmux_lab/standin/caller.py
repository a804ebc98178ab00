"""A stand-in caller: one flow, one request or one feed, and what became of it."""

from __future__ import annotations

from enum import StrEnum

import dpkt

from kumquatmux_core.identity import Endpoint, ServerId
from kumquatmux_lab.standin.connection import Connection
from kumquatmux_lab.standin.work import (
    Request,
    decode_reply,
    encode_request,
    reply_body,
)

PATIENCE_S = 10.0
FEED_LATE_S = 3.0


class Fate(StrEnum):
    """What became of a flow."""

    OPEN = "open"
    WHOLE = "whole"
    BROKEN = "broken"
    REFUSED = "refused"
    MISROUTED = "misrouted"


class StandInCaller:
    """One flow of a caller without a kernel."""

    def __init__(
        self,
        local: Endpoint,
        service: Endpoint,
        request: Request,
        isn: int,
        now: float,
        patience_s: float = PATIENCE_S,
    ) -> None:
        self.local = local
        self.request = request
        self.patience_s = patience_s
        self.started = now
        self.ended: float | None = None
        self.first_byte: float | None = None
        self.fate = Fate.OPEN
        self.detail = ""
        self.server: ServerId | None = None
        self.lines = 0
        self.heard = now
        self.asked = False
        self.connection = Connection(local.packed, service.packed, isn)
        self.connection.open(now)

    def on_packet(self, packet: dpkt.ip.IP, now: float) -> None:
        """Take a packet of the service."""
        self.connection.on_packet(packet.data, now)
        self._progress(now)

    def on_time(self, now: float) -> None:
        """Retransmit, and notice what has gone wrong."""
        self.connection.on_time(now)
        self._progress(now)

    def stop(self, now: float) -> None:
        """End a feed in an orderly way; it is whole if nothing went wrong."""
        if self.fate is Fate.OPEN:
            is_late = now - self.heard > FEED_LATE_S
            self._end(Fate.BROKEN if is_late else Fate.WHOLE, now, "silent")
            self.connection.close(now)

    def take_packets(self) -> list[bytes]:
        """Return the packets to send, once."""
        packets = self.connection.outgoing
        self.connection.outgoing = []
        return packets

    def _progress(self, now: float) -> None:
        if self.fate is not Fate.OPEN:
            return
        if self.connection.established and not self.asked:
            self.asked = True
            self.connection.send(encode_request(self.request), now)
        if self.request.feed:
            self._read_feed(now)
        else:
            self._read_reply(now)
        if self.fate is Fate.OPEN and self.connection.reset:
            self._end(Fate.BROKEN if self.asked else Fate.REFUSED, now, "reset")

    def _read_feed(self, now: float) -> None:
        while b"\n" in self.connection.received:
            line, _, rest = bytes(self.connection.received).partition(b"\n")
            self.connection.received = bytearray(rest)
            self.lines += 1
            self.heard = now
            self._check(line, now)
        if self.fate is Fate.OPEN and now - self.heard > self.patience_s:
            self._end(Fate.BROKEN, now, "silent")

    def _read_reply(self, now: float) -> None:
        received = bytes(self.connection.received)
        if received and self.first_byte is None:
            self.first_byte = now
        line, newline, body = received.partition(b"\n")
        if not newline:
            return
        if not self._check(line, now):
            return
        if len(body) >= self.request.reply_bytes:
            whole = body == reply_body(self.request)
            self._end(Fate.WHOLE if whole else Fate.BROKEN, now, "damaged")
            self.connection.close(now)

    def _check(self, line: bytes, now: float) -> bool:
        reply = decode_reply(line)
        if reply.service != self.request.service:
            self._end(Fate.MISROUTED, now)
            return False
        if reply.request_id != self.request.request_id:
            self._end(Fate.BROKEN, now, "other-answer")
            return False
        if self.server not in (None, reply.server):
            self._end(Fate.BROKEN, now, "other-server")
            return False
        self.server = reply.server
        return True

    def _end(self, fate: Fate, now: float, detail: str = "") -> None:
        self.fate = fate
        self.detail = detail if fate is Fate.BROKEN else ""
        self.ended = now
