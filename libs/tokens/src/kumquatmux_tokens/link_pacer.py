"""Pace of upload data towards servers, so that other packets don't queue behind it.

The network carries packets in the order in which they were sent. Data of uploads waits
here instead, and goes out as the link becomes free; all else goes out at once.

Packets of one upload go out by sequence number. A window that was reordered on its way
in would otherwise be acknowledged with its last packet only, and a caller retransmits
all that is not acknowledged in time. Uploads go out one after the other, the oldest
first, so that each is done as early as the link allows.
"""

from __future__ import annotations

import heapq
import itertools
import math
from typing import Generic, NamedTuple, TypeVar

from kumquatmux_tokens.link_account import LinkAccount, Upload
from kumquatmux_tokens.sequences import SEQUENCE_SPACE

Packet = TypeVar("Packet")

LARGE_UPLOAD_FACTOR = 2.0
"""Multiple of its expected size beyond which an upload goes after all others.

Otherwise one that is many times larger would hold up those that came later.
"""


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


class ReleaseKey(NamedTuple):
    """Place of a packet in the order of release; the least goes out first.

    Attributes:
        is_large: Whether its upload is much larger than expected.
        started_at: Time of the upload's start.
        offset: Bytes of the upload before the packet.
        number: Number of the packet, which tells packets apart.
    """

    is_large: bool
    started_at: float
    offset: int
    number: int


class LinkPacer(Generic[Packet]):
    """Packets of uploads that wait to go out.

    Attributes:
        account: The link's queue.
        held: Heap of the packets by their place in the order of release.
    """

    def __init__(self, account: LinkAccount) -> None:
        self.settings = account.settings
        self.account = account
        self.held: list[tuple[ReleaseKey, HeldPacket[Packet]]] = []
        self.numbers = itertools.count()

    def hold(self, held: HeldPacket[Packet], now: float) -> list[Packet]:
        """Hold a packet; return those that go out now, the first if there are many."""
        heapq.heappush(self.held, (self._release_key(held), held))
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

    def _release_key(self, held: HeldPacket[Packet]) -> ReleaseKey:
        upload = held.upload
        offset = (held.sequence_number - upload.first_sequence_number) % SEQUENCE_SPACE
        is_large = offset > LARGE_UPLOAD_FACTOR * upload.expected_bytes
        return ReleaseKey(is_large, upload.started_at, offset, next(self.numbers))

    def _release_one(self, now: float) -> Packet:
        _, held = heapq.heappop(self.held)
        self.account.held_bytes -= held.size
        self.account.record_sent(held.size, now, is_upload=True)
        held.upload.departures[held.sequence_number] = self.account.busy_until
        return held.packet
