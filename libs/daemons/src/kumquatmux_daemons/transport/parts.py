"""Messages of any length as datagrams, and back.

A lost part loses the message; whoever sends repeats what has to arrive.
"""

from __future__ import annotations

import math
import struct
import zlib
from collections import Counter
from typing import NamedTuple

PART_BYTES = 1200
"""Bytes of a message in one datagram, below the usual MTU."""

PACKED_ABOVE_BYTES = 400
"""Length from which on a message is compressed."""

LONGEST_BYTES = 4_194_304
"""Longest message taken, so that a small datagram cannot fill the memory."""

MESSAGES_HELD = 64
"""Messages of which parts are missing, over all senders."""

BYTES_HELD = 16 * 1024 * 1024
"""Bytes held of messages of which parts are missing, over all senders."""

PART_OVERHEAD_BYTES = 150
"""Bytes that a part takes beside its content."""

WAIT_S = 2.0
"""Seconds after which a message with missing parts is given up."""

_header = struct.Struct("!BIHH")
PLAIN = 0
PACKED = 1


class Whole(NamedTuple):
    """A message of which all parts came, or what is there of it.

    Attributes:
        parts: The parts by place.
        total: How many there are.
        since: When the first one came.
    """

    parts: dict[int, bytes]
    total: int
    since: float


class Cutter:
    """Cuts messages into datagrams.

    Attributes:
        number: Number of the latest message.
    """

    def __init__(self, first: int) -> None:
        self.number = first & 0xFFFFFFFF

    def cut(self, message: bytes) -> list[bytes]:
        """Return the datagrams of a message.

        Raises:
            ValueError: The message is longer than a receiver takes.
        """
        if len(message) > LONGEST_BYTES:
            raise ValueError(f"message of {len(message)} bytes")
        self.number = (self.number + 1) & 0xFFFFFFFF
        form = PLAIN
        if len(message) > PACKED_ABOVE_BYTES:
            message = zlib.compress(message, 1)
            form = PACKED
        count = max(math.ceil(len(message) / PART_BYTES), 1)
        return [
            _header.pack(form, self.number, place, count)
            + message[place * PART_BYTES : (place + 1) * PART_BYTES]
            for place in range(count)
        ]


class Joiner:
    """Joins datagrams to messages.

    Attributes:
        open: Messages of which parts are missing, by sender and number, oldest first.
        held_bytes: Bytes that they take, by sender.
    """

    def __init__(self) -> None:
        self.open: dict[tuple[str, int], Whole] = {}
        self.held_bytes: Counter[str] = Counter()

    def take(self, sender: str, datagram: bytes, now: float) -> bytes | None:
        """Return the message that a datagram completes, None if there is none."""
        if len(datagram) < _header.size:
            return None
        form, number, place, count = _header.unpack_from(datagram)
        if not 0 <= place < count or count * PART_BYTES > LONGEST_BYTES:
            return None
        part = datagram[_header.size :]
        if len(part) > PART_BYTES:
            return None
        if count == 1:
            return _plain(form, part)
        key = (sender, number)
        whole = self.open.get(key)
        if whole is None:
            self._make_room(now)
            whole = self.open[key] = Whole({}, count, now)
        if whole.total != count or place in whole.parts:
            return None
        whole.parts[place] = part
        self.held_bytes[sender] += len(part) + PART_OVERHEAD_BYTES
        if len(whole.parts) < count:
            self._shed()
            return None
        self._drop(key)
        return _plain(form, b"".join(whole.parts[at] for at in range(count)))

    def _make_room(self, now: float) -> None:
        """Make room for a message."""
        for key, whole in list(self.open.items()):
            if whole.since < now - WAIT_S:
                self._drop(key)
        while len(self.open) >= MESSAGES_HELD:
            self._drop_oldest_of_heaviest()

    def _shed(self) -> None:
        while self.held_bytes.total() > BYTES_HELD:
            self._drop_oldest_of_heaviest()

    def _drop_oldest_of_heaviest(self) -> None:
        """Drop the oldest message of the sender that holds most.

        So a sender of many or long messages pushes out its own, not those of others.
        """
        heaviest = max(self.held_bytes, key=self.held_bytes.__getitem__)
        self._drop(next(key for key in self.open if key[0] == heaviest))

    def _drop(self, key: tuple[str, int]) -> None:
        sender = key[0]
        parts = self.open.pop(key).parts.values()
        self.held_bytes[sender] -= sum(map(len, parts))
        self.held_bytes[sender] -= PART_OVERHEAD_BYTES * len(parts)
        if not self.held_bytes[sender]:
            del self.held_bytes[sender]


def _plain(form: int, data: bytes) -> bytes | None:
    if form == PLAIN:
        return data
    unpacker = zlib.decompressobj()
    try:
        message = unpacker.decompress(data, LONGEST_BYTES)
    except zlib.error:
        return None
    return message if unpacker.eof else None
