"""The UDP socket through which packets come and go."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable

import trio

from kumquatmux_core.addresses import is_sendable
from kumquatmux_core.identity import Endpoint

BATCH_DATAGRAMS = 64
DATAGRAM_BYTES = 65_535
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024

Handler = Callable[[bytes, tuple[str, int], float], None]


class PacketPort:
    """Datagrams in batches: many a turn of the loop, and never a wait to send.

    Attributes:
        counts: Datagrams that were lost here, by reason.
        is_queue_empty: Whether the latest batch took all datagrams that waited.
    """

    def __init__(self, bind: Endpoint) -> None:
        self.counts: Counter[str] = Counter()
        self.is_queue_empty = True
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        try:
            self.socket.bind(bind)
        except OSError:
            self.socket.close()
            raise

    def send(self, data: bytes | bytearray, target: tuple[str, int]) -> None:
        """Send a datagram; a full or refused socket drops it like any network.

        So does a target that is no IP number and port.
        """
        if not is_sendable(target):
            self.counts["packets.unsent"] += 1
            return
        try:
            self.socket.sendto(data, target)
        except OSError:
            self.counts["packets.unsent"] += 1

    async def serve(self, handler: Handler, end_batch: Callable[[float], None]) -> None:
        """Hand every datagram to a handler, until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self.socket)
            now = trio.current_time()
            self.read_batch(handler, now)
            end_batch(now)

    def read_batch(self, handler: Handler, now: float) -> None:
        """Hand over the datagrams that wait, up to one batch."""
        receive = self.socket.recvfrom
        self.is_queue_empty = False
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, source = receive(DATAGRAM_BYTES)
            except BlockingIOError:
                self.is_queue_empty = True
                return
            except OSError:
                # An ICMP error about a datagram sent earlier; it is read once.
                self.counts["packets.icmp"] += 1
                continue
            handler(data, source, now)

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()
