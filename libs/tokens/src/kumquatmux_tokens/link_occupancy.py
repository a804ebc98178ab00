"""Reports between entry VMs of a zone, of the uploads that wait for their links."""

from __future__ import annotations

import math
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_tokens.settings import LinkSettings

MILLISECONDS_PER_S = 1000


class LinkOccupancy(NamedTuple):
    """Report of the queue for a VM's link.

    Attributes:
        sender: The VM.
        waiting: Number of SYN packets that wait for its link.
        wait_ms: Milliseconds that a further one would wait there.
    """

    sender: VmId
    waiting: int
    wait_ms: int


class HeardOccupancy(NamedTuple):
    """What another VM last reported.

    Attributes:
        wait_s: Seconds that a further SYN packet would wait there.
        expires_at: Time until which that counts.
    """

    wait_s: float
    expires_at: float


class ZoneOccupancy:
    """Queues of the other VMs of the zone, and when they are told of this one's.

    Attributes:
        by_vm: What each VM reported.
        sent_at: Time of the latest report of this VM.
        has_reported_queue: Whether that one reported a queue.
    """

    def __init__(self, settings: LinkSettings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.by_vm: dict[VmId, HeardOccupancy] = {}
        self.sent_at = -math.inf
        self.has_reported_queue = False

    def record(self, report: LinkOccupancy, now: float) -> None:
        """Record the report of another VM."""
        expires_at = now + self.settings.occupancy_validity_s
        wait_s = report.wait_ms / MILLISECONDS_PER_S
        self.by_vm[report.sender] = HeardOccupancy(wait_s, expires_at)

    def room_share(
        self, others: Sequence[VmId], longest_wait_s: float, now: float
    ) -> float:
        """Return the share of other VMs where an upload waits no longer than a time.

        A VM that has not reported of late has no queue as far as is known.
        """
        if not others:
            return 0.0
        full = sum(self._wait_s(vm, now) > longest_wait_s for vm in others)
        return 1.0 - full / len(others)

    def due_at(self, has_queue: bool) -> float:
        """Return when the next report is due, infinity if there is nothing to tell."""
        if not has_queue and not self.has_reported_queue:
            return math.inf
        return self.sent_at + self.settings.occupancy_interval_s

    def note_report(self, has_queue: bool, now: float) -> None:
        """Note that this VM reports now."""
        self.sent_at = now
        self.has_reported_queue = has_queue

    def receivers(self, others: Sequence[VmId]) -> Sequence[VmId]:
        """Return the VMs that a report goes to."""
        limit = self.settings.occupancy_vms
        return others if len(others) <= limit else self.random.sample(others, limit)

    def remove_expired(self, now: float) -> None:
        """Remove what is out of date."""
        for vm, heard in list(self.by_vm.items()):
            if heard.expires_at <= now:
                del self.by_vm[vm]

    def _wait_s(self, vm: VmId, now: float) -> float:
        heard = self.by_vm.get(vm)
        return heard.wait_s if heard is not None and heard.expires_at > now else 0.0
