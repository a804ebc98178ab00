"""Figures of one run of the model."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypedDict

from hdrh.histogram import HdrHistogram

from kumquatmux_lab.queueing.backend import Backend
from kumquatmux_lab.queueing.workload import Job

MICROSECONDS = 1_000_000
LONGEST_WAIT_S = 60.0
IN_TIME_S = 0.5


class Summary(TypedDict):
    """The figures of a run.

    Waits are in ms from arrival to the start on a server; outside the window the
    refused count as the longest wait, inside it they are left out of the waits.
    """

    short_p50_ms: float
    short_p99_ms: float
    short_p999_ms: float
    long_p50_ms: float
    long_p99_ms: float
    refused_share: float
    in_time_share: float
    window_served_p50_ms: float
    window_served_p99_ms: float
    window_refused_share: float
    window_in_time_share: float
    busy_max_over_mean: float
    connections_max_over_mean: float
    server_queue_max: int
    jobs: int
    retries: int
    shed: int
    placed_twice: int


class Window:
    """Figures of the short work that arrived in some span of time.

    Attributes:
        start_s: When it begins, in seconds.
        end_s: When it ends, in seconds.
        served: Waits of the work that ran, in microseconds.
    """

    def __init__(self, start_s: float, end_s: float) -> None:
        self.start_s = start_s
        self.end_s = end_s
        self.served = _histogram()
        self.jobs = 0
        self.in_time = 0
        self.refused = 0

    def holds(self, job: Job) -> bool:
        """Return whether a job counts here."""
        return not job.long and self.start_s <= job.arrival < self.end_s

    def start(self, wait_s: float) -> None:
        """Count a job that a server began to run."""
        self.jobs += 1
        self.in_time += wait_s <= IN_TIME_S
        self.served.record_value(_microseconds(wait_s))

    def refuse(self) -> None:
        """Count a job that was refused for good."""
        self.jobs += 1
        self.refused += 1


class Figures:
    """Collects waits and refusals.

    Attributes:
        short: Waits of short work, in microseconds.
        long: Waits of long work, in microseconds.
        window: Figures of a part of the run.
        decided: Work that ran or was refused.
    """

    def __init__(self, window_s: tuple[float, float]) -> None:
        self.short = _histogram()
        self.long = _histogram()
        self.window = Window(*window_s)
        self.refused = 0
        self.in_time = 0
        self.jobs = 0
        self.retries = 0
        self.shed = 0
        self.twice = 0
        self.decided: set[bytes] = set()
        self.busy: list[float] = []
        self.connections: list[int] = []
        self.queued = 0

    def start(self, job: Job, now: float) -> None:
        """Count a job that a server began to run."""
        wait_s = now - job.arrival
        self.record(job, wait_s)
        self.in_time += wait_s <= IN_TIME_S
        if self.window.holds(job):
            self.window.start(wait_s)

    def refuse(self, job: Job) -> None:
        """Count a job that was refused for good."""
        self.refused += 1
        self.record(job, LONGEST_WAIT_S)
        if self.window.holds(job):
            self.window.refuse()

    def record(self, job: Job, wait_s: float) -> None:
        """Put a wait into the histograms."""
        self.decided.add(job.work_id)
        (self.long if job.long else self.short).record_value(_microseconds(wait_s))

    def end(self, backends: list[Backend], jobs: Iterable[Job]) -> None:
        """Close the books: what never started waited the longest."""
        for job in jobs:
            self.jobs += 1
            if job.work_id not in self.decided:
                self.record(job, LONGEST_WAIT_S)
        self.busy = [backend.busy_s for backend in backends]
        self.queued = max(backend.most_queued for backend in backends)
        self.connections = [backend.most_connections for backend in backends]

    def summary(self) -> Summary:
        """Return the figures as numbers."""
        window = self.window
        return Summary(
            short_p50_ms=quantile_ms(self.short, 50.0),
            short_p99_ms=quantile_ms(self.short, 99.0),
            short_p999_ms=quantile_ms(self.short, 99.9),
            long_p50_ms=quantile_ms(self.long, 50.0),
            long_p99_ms=quantile_ms(self.long, 99.0),
            refused_share=_share(self.refused, self.jobs),
            in_time_share=_share(self.in_time, self.jobs),
            window_served_p50_ms=quantile_ms(window.served, 50.0),
            window_served_p99_ms=quantile_ms(window.served, 99.0),
            window_refused_share=_share(window.refused, window.jobs),
            window_in_time_share=_share(window.in_time, window.jobs),
            busy_max_over_mean=_imbalance(self.busy),
            connections_max_over_mean=_imbalance(self.connections),
            server_queue_max=self.queued,
            jobs=self.jobs,
            retries=self.retries,
            shed=self.shed,
            placed_twice=self.twice,
        )


def quantile_ms(histogram: HdrHistogram, percent: float) -> float:
    """Return a quantile in ms; a wait of 1 microsecond stands for none."""
    value_us = histogram.get_value_at_percentile(percent)
    return 0.0 if value_us <= 1 else round(value_us / 1000.0, 1)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, int(LONGEST_WAIT_S * MICROSECONDS) + 1, 3)


def _microseconds(wait_s: float) -> int:
    return max(int(min(wait_s, LONGEST_WAIT_S) * MICROSECONDS), 1)


def _share(part: int, whole: int) -> float:
    return round(part / whole, 4) if whole else 0.0


def _imbalance(values: list[float] | list[int]) -> float:
    mean = sum(values) / max(len(values), 1)
    return round(max(values) / mean, 3) if mean else 0.0
