"""Pace of upload data towards servers, so that other packets don't queue behind it.

The network carries packets in the order in which they were sent. Data of uploads waits
here instead, and goes out as the link becomes free; all else goes out at once.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Generic, NamedTuple, TypeVar

from kumquatmux_tokens.link_account import LinkAccount, Upload

Packet = TypeVar("Packet")


class HeldPacket(NamedTuple, Generic[Packet]):
    """A packet that waits to go out.

    Attributes:
        packet: The packet, as it will be sent.
        size: Its bytes when it was received.
        upload: The upload that it belongs to.
        sequence_number: Sequence number of its first byte of data.
    """

    packet: Packet
    size: int
    upload: Upload
    sequence_number: int


class LinkPacer(Generic[Packet]):
    """Packets of uploads that wait to go out, oldest first.

    Attributes:
        account: The link's queue.
        held: The packets.
    """

    def __init__(self, account: LinkAccount) -> None:
        self.settings = account.settings
        self.account = account
        self.held: deque[HeldPacket[Packet]] = deque()

    def hold(self, held: HeldPacket[Packet], now: float) -> list[Packet]:
        """Hold a packet; return those that go out now, the oldest if there are many."""
        self.held.append(held)
        self.account.held_bytes += held.size
        held.upload.departures[held.sequence_number] = math.inf
        released = self.release(now)
        if len(self.held) > self.settings.held_limit:
            released.append(self._release_one(now))
        return released

    def release(self, now: float) -> list[Packet]:
        """Remove and return the packets that the link has room for now."""
        released = []
        while now >= self.due_at():
            released.append(self._release_one(now))
        return released

    def due_at(self) -> float:
        """Return when the next packet goes out, infinity if none waits."""
        if not self.held:
            return math.inf
        return self.account.busy_until - self.settings.paced_queue_s

    def _release_one(self, now: float) -> Packet:
        held = self.held.popleft()
        self.account.held_bytes -= held.size
        self.account.record_sent(held.size, now)
        held.upload.departures[held.sequence_number] = self.account.busy_until
        return held.packet
