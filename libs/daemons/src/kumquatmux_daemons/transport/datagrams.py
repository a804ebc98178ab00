"""Messages between VMs as datagrams.

No connection has to be found dead or made anew after a partition, and no queue delivers
old messages after one. What has to arrive is repeated by the protocols on top.
"""

from __future__ import annotations

import secrets
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import trio

from kumquatmux_core.codec import Registry
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import Endpoint, VmId
from kumquatmux_daemons.entry.port import PacketPort
from kumquatmux_daemons.failures import log_contained
from kumquatmux_daemons.transport.intake import take_in
from kumquatmux_daemons.transport.parts import Cutter, Joiner
from kumquatmux_registry.feed import ELEMENT_TYPES

Receiver = Callable[[VmId, Any, float], None]


class PeerDatagrams:
    """Sends and takes messages; a VM is named by its IP number.

    Attributes:
        counts: Messages and bytes sent and taken, by what they are.
        latest: Message sent last; one that goes to many VMs is encoded once.
        latest_datagrams: Its datagrams.
    """

    def __init__(self, bind: Endpoint, messages: Registry) -> None:
        self.port = PacketPort(bind)
        self.peer_port = bind.port
        self.messages = messages._replace(element_types=ELEMENT_TYPES)
        self.cutter = Cutter(secrets.randbits(32))
        self.joiner = Joiner()
        self.counts: Counter[str] = Counter()
        self.latest: Any = None
        self.latest_datagrams: list[bytes] = []

    def send(self, vm: VmId, message: Any) -> None:
        """Send a message, which may get lost."""
        target = (vm, self.peer_port)
        if message is not self.latest:
            self.latest = message
            self.latest_datagrams = self._cut(message)
        for datagram in self.latest_datagrams:
            self.counts["peers.sent_bytes"] += len(datagram)
            self.port.send(datagram, target)
        self.counts["peers.sent"] += 1

    def _cut(self, message: Any) -> list[bytes]:
        """Return the datagrams of a message, none if it cannot be written."""
        try:
            return self.cutter.cut(self.messages.encode(message))
        except (ValueError, TypeError, OverflowError, RecursionError) as error:
            self.counts["peers.unwritten"] += 1
            log_contained("peer-unwritten", error, type(message).__name__)
            return []

    async def serve(
        self, receiver: Receiver, end_batch: Callable[[float], None] | None = None
    ) -> None:
        """Hand every message to a receiver, until cancelled.

        Args:
            receiver: Takes the sender, the message and the time.
            end_batch: Called with the time after each batch of messages.
        """

        def take(data: bytes, source: tuple[str, int], now: float) -> None:
            self.take(data, source, now, receiver)

        await self.port.serve(take, end_batch or _nothing)

    def take(
        self, data: bytes, source: tuple[str, int], now: float, receiver: Receiver
    ) -> None:
        """Hand on the message that a datagram completes, if it is sound."""
        self.counts["peers.taken_bytes"] += len(data)
        message = self.joiner.take(source[0], data, now)
        if message is None:
            return
        decoded = self.messages.decode(message).bind(partial(take_in, source[0]))
        if decoded.is_error():
            self.counts["peers.unread"] += 1
            log_decision("peer-unread", sender=source[0], problem=decoded.error)
            return
        self.counts["peers.taken"] += 1
        receiver(VmId(source[0]), decoded.ok, now)

    def close(self) -> None:
        """Close the socket."""
        self.port.close()


def _nothing(now: float) -> None:
    """A batch of messages needs nothing at its end."""


async def every(period_s: float, work: Callable[[float], None]) -> None:
    """Call some work each period with the steady time, until cancelled."""
    while True:
        work(trio.current_time())
        await trio.sleep(period_s)
