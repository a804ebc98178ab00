"""Arrivals of work, the same for every policy."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import NamedTuple

from kumquatmux_placement.events import SizeClass

ZONES = ("cnx-a", "cnx-b", "lpg-a")


class Job(NamedTuple):
    """One piece of work as it will turn out.

    Attributes:
        work_id: Its name.
        caller: Who asks.
        arrival: When it arrives at some VM, in seconds.
        run_s: How long it runs on a warm server, in seconds.
        long: Whether it is one of the long ones.
        feed_s: How long its connection stays open after the answer, in seconds.
        size: What placement is told about its size.
        zone: Availability zone of the VM it arrives at.
    """

    work_id: bytes
    caller: str
    arrival: float
    run_s: float
    long: bool
    feed_s: float
    size: SizeClass
    zone: str


class Workload(NamedTuple):
    """How work arrives and how long it runs.

    Attributes:
        load: Offered work over the slots of all servers.
        slots: Slots of all servers.
        duration_s: Seconds of arrivals.
        short_s: Run time of short work, in seconds.
        long_s: Run time of long work, in seconds.
        long_share: Share of long work.
        crest_at_s: When demand starts to swing up, in seconds; negative for never.
        crest_rise_s: How long it takes to rise, in seconds.
        crest_hold_s: How long it stays up, in seconds.
        crest_factor: Demand at the crest over demand before.
        feed_share: Share of work whose connection stays open.
        feed_s: Mean time a feed stays open, in seconds.
        size_known: Whether placement is told the size.
        callers: Number of callers of short work; 0 for unnamed callers.
        long_callers: Number of callers that ask for the long work.
        varied: Whether run times vary (exponentially) around the two means.
    """

    load: float = 0.7
    slots: int = 14
    duration_s: float = 200.0
    short_s: float = 0.02
    long_s: float = 1.0
    long_share: float = 0.01
    crest_at_s: float = -1.0
    crest_rise_s: float = 2.0
    crest_hold_s: float = 5.0
    crest_factor: float = 3.0
    feed_share: float = 0.0
    feed_s: float = 60.0
    size_known: bool = False
    callers: int = 0
    long_callers: int = 4
    varied: bool = False

    @property
    def rate(self) -> float:
        """Arrivals in a second before any crest."""
        mean_s = self.short_s + self.long_share * (self.long_s - self.short_s)
        return self.load * self.slots / mean_s

    def factor(self, time: float) -> float:
        """Return demand at a time over demand before the crest."""
        if self.crest_at_s < 0:
            return 1.0
        rise = (time - self.crest_at_s) / self.crest_rise_s
        top_s = self.crest_rise_s + self.crest_hold_s
        fall = (time - self.crest_at_s - top_s) / self.crest_rise_s
        height = min(max(rise, 0.0), 1.0) - min(max(fall, 0.0), 1.0)
        return 1.0 + (self.crest_factor - 1.0) * height


def jobs(workload: Workload, seed: int) -> Iterator[Job]:
    """Yield the jobs of a workload in order of arrival."""
    random_ = random.Random(seed)
    peak = workload.rate * max(workload.crest_factor, 1.0)
    if workload.crest_at_s < 0:
        peak = workload.rate
    time = 0.0
    number = 0
    while True:
        time += random_.expovariate(peak)
        if time > workload.duration_s:
            return
        if random_.random() * peak > workload.rate * workload.factor(time):
            continue
        number += 1
        yield _job(workload, random_, time, number)


def _job(workload: Workload, random_: random.Random, time: float, number: int) -> Job:
    long = random_.random() < workload.long_share
    feed = not long and random_.random() < workload.feed_share
    run_s = workload.long_s if long else workload.short_s
    if workload.varied:
        run_s = random_.expovariate(1.0 / run_s)
    caller = ""
    if workload.callers:
        caller = f"caller-{random_.randrange(workload.callers)}"
        if long:
            caller = f"printer-{random_.randrange(workload.long_callers)}"
    size = SizeClass.UNKNOWN
    if workload.size_known:
        size = SizeClass.LONG if long else SizeClass.SHORT
    return Job(
        work_id=number.to_bytes(13),
        caller=caller,
        arrival=time,
        run_s=run_s,
        long=long,
        feed_s=random_.expovariate(1.0 / workload.feed_s) if feed else 0.0,
        size=size,
        zone=random_.choice(ZONES),
    )
