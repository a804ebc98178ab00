"""Latency histograms."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2

MAX_HISTOGRAMS = 64
OTHER_NAMES = "other"
"""Histogram of the names for which there is no room."""


class Latencies:
    """Latency histograms in microseconds, by name.

    Attributes:
        histograms: Histogram by name; the first recorded value creates it.
    """

    def __init__(self) -> None:
        self.histograms: dict[str, HdrHistogram] = {}

    def record(self, name: str, seconds: float) -> None:
        """Record one duration in the named histogram, creating it if necessary.

        Durations outside 1 microsecond to 60 seconds are clamped to this range.
        Durations that are no number count as the shortest.
        """
        if name not in self.histograms and len(self.histograms) >= MAX_HISTOGRAMS:
            name = OTHER_NAMES
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self.histograms[name] = histogram
        microseconds = min(seconds * 1_000_000, MAX_LATENCY_US)
        is_long_enough = microseconds >= MIN_LATENCY_US
        histogram.record_value(int(microseconds) if is_long_enough else MIN_LATENCY_US)
