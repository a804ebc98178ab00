"""The fakes of time and network that join control VMs in a run."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from kumquatmux_core.identity import VmId


class Timeline:
    """Things to be done in the order of their time.

    Attributes:
        now: Seconds since the run began.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.number = 0

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something later."""
        self.number += 1
        heapq.heappush(self.queue, (self.now + seconds, self.number, action))

    def run_until(self, at: float) -> None:
        """Do all that is due up to a time."""
        while self.queue and self.queue[0][0] <= at:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = at


class NetworkSettings(NamedTuple):
    """How badly the network treats messages.

    Attributes:
        loss: Share of messages lost.
        duplication: Share of messages that come twice.
        stray: Share of messages that come up to ``stray_s`` late.
        delay_s: Longest delay of the others, in seconds.
        stray_s: Longest delay of strays, in seconds.
    """

    loss: float = 0.02
    duplication: float = 0.02
    stray: float = 0.01
    delay_s: float = 0.01
    stray_s: float = 4.0


class Network:
    """Messages between VMs, delayed, lost, doubled, reordered or cut off.

    Attributes:
        cuts: How many faults cut each directed link; nothing arrives on it.
    """

    def __init__(
        self, settings: NetworkSettings, timeline: Timeline, random: Random
    ) -> None:
        self.settings = settings
        self.timeline = timeline
        self.random = random
        self.cuts: Counter[tuple[VmId, VmId]] = Counter()

    def carry(self, sender: VmId, to: VmId, deliver: Callable[[], None]) -> None:
        """Deliver a message, perhaps."""
        settings = self.settings
        copies = 1 + (self.random.random() < settings.duplication)
        for _ in range(copies):
            if self.random.random() < settings.loss:
                continue
            is_stray = self.random.random() < settings.stray
            longest = settings.stray_s if is_stray else settings.delay_s
            delay = longest * self.random.uniform(0.1, 1)
            self.timeline.after(delay, lambda: self._arrive(sender, to, deliver))

    def _arrive(self, sender: VmId, to: VmId, deliver: Callable[[], None]) -> None:
        if self.cuts[sender, to] <= 0:
            deliver()
