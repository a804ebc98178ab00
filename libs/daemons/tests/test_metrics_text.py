from __future__ import annotations

import re
from collections import Counter

from hypothesis import example, given
from hypothesis import strategies as st

from kumquatmux_core.latencies import Latencies
from kumquatmux_daemons.metrics_text import render

LINE = re.compile(rb'kumquatmux_[A-Za-z0-9_]*(\{percentile="[0-9.]+"\})? \S+')
NAMES = st.dictionaries(st.text(max_size=12), st.integers(), max_size=4)


# Guards against: a name that breaks the lines, or cannot be encoded.
@given(NAMES, st.dictionaries(st.text(max_size=9), st.floats(), max_size=3))
@example({"a b\nc 1": 1, "\ud800": 2, "x" * 100_000: 3}, {'{"': 1e300})
def test_metrics_with_any_names_are_one_a_line(counts, gauges):
    latencies = Latencies()
    for name in counts:
        latencies.record(name, 0.1)
    text = render(Counter(counts), gauges, latencies)
    lines = [line for line in text.splitlines() if line]
    assert len(lines) <= len(counts) * 6 + len(gauges)
    assert all(LINE.fullmatch(line) for line in lines)
    assert max(map(len, lines), default=0) < 400


def test_usual_names_stay():
    text = render(Counter({"packets.unread": 2}), {"lines_dropped": 1.0}, Latencies())
    assert text == b"kumquatmux_packets_unread 2\nkumquatmux_lines_dropped 1\n"
