"""Counters and latency histograms as text."""

from __future__ import annotations

import re
from collections import Counter

from kumquatmux_core.latencies import Latencies

MAX_NAME_CHARACTERS = 100
OTHER_CHARACTERS = re.compile("[^a-zA-Z0-9_]")
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def render(
    counts: Counter[str], gauges: dict[str, float], latencies: Latencies
) -> bytes:
    """Return all metrics, one a line, by name."""
    lines = [f"{_name(name)} {value}" for name, value in sorted(counts.items())]
    lines += [f"{_name(name)} {value:g}" for name, value in sorted(gauges.items())]
    for name, histogram in sorted(latencies.histograms.items()):
        lines.append(f"{_name(name)}_us_count {histogram.get_total_count()}")
        for percentile in PERCENTILES:
            value = histogram.get_value_at_percentile(percentile)
            lines.append(f'{_name(name)}_us{{percentile="{percentile:g}"}} {value}')
    return ("\n".join(lines) + "\n").encode()


def _name(name: str) -> str:
    return "kumquatmux_" + OTHER_CHARACTERS.sub("_", name[:MAX_NAME_CHARACTERS])
