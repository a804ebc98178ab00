"""Messages of any length as datagrams, and back.

A lost part loses the message; whoever sends repeats what has to arrive.
"""

from __future__ import annotations

import math
import struct
import zlib
from typing import NamedTuple

PART_BYTES = 1200
"""Bytes of a message in one datagram, below the usual MTU."""

PACKED_ABOVE_BYTES = 400
"""Length from which on a message is compressed."""

LONGEST_BYTES = 4_194_304
"""Longest message taken, so that a small datagram cannot fill the memory."""

MESSAGES_HELD = 64
"""Messages of which parts are missing, over all senders."""

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
        """Return the datagrams of a message."""
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
    """Joins datagrams to messages."""

    def __init__(self) -> None:
        self.open: dict[tuple[str, int], Whole] = {}

    def take(self, sender: str, datagram: bytes, now: float) -> bytes | None:
        """Return the message that a datagram completes, None if there is none."""
        if len(datagram) < _header.size:
            return None
        form, number, place, count = _header.unpack_from(datagram)
        if not 0 <= place < count or count * PART_BYTES > LONGEST_BYTES:
            return None
        part = datagram[_header.size :]
        if count == 1:
            return _plain(form, part)
        key = (sender, number)
        whole = self.open.get(key)
        if whole is None:
            self._make_room(now)
            whole = self.open[key] = Whole({}, count, now)
        if whole.total != count:
            return None
        whole.parts[place] = part
        if len(whole.parts) < count:
            return None
        del self.open[key]
        return _plain(form, b"".join(whole.parts[at] for at in range(count)))

    def _make_room(self, now: float) -> None:
        for key, whole in list(self.open.items()):
            if whole.since < now - WAIT_S or len(self.open) >= MESSAGES_HELD:
                del self.open[key]


def _plain(form: int, data: bytes) -> bytes | None:
    if form == PLAIN:
        return data
    unpacker = zlib.decompressobj()
    try:
        message = unpacker.decompress(data, LONGEST_BYTES)
    except zlib.error:
        return None
    return message if unpacker.eof else None
