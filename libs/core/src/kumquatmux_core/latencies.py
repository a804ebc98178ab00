"""Histograms of durations."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 2


class Latencies:
    """Histograms by name, in microseconds."""

    def __init__(self) -> None:
        self.histograms: dict[str, HdrHistogram] = {}

    def record(self, name: str, seconds: float) -> None:
        """Count one duration."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self.histograms[name] = histogram
        value = int(seconds * 1_000_000)
        histogram.record_value(min(max(value, LOWEST_US), HIGHEST_US))
