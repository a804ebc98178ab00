from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.latencies import MAX_HISTOGRAMS, OTHER_NAMES, Latencies


# Guards against: ValueError and OverflowError for a duration that is no usual number.
@pytest.mark.parametrize(
    ("seconds", "least_us"),
    [
        (float("nan"), 1),
        (float("-inf"), 1),
        (-5.0, 1),
        (0.0, 1),
        (0.001, 1000),
        (1e300, 60_000_000),
        (float("inf"), 60_000_000),
    ],
)
def test_odd_durations_are_clamped(seconds, least_us):
    latencies = Latencies()
    latencies.record("a", seconds)
    histogram = latencies.histograms["a"]
    assert histogram.get_total_count() == 1
    assert histogram.get_max_value() == pytest.approx(least_us, rel=0.01)


@given(st.floats())
def test_any_duration_is_recorded(seconds):
    latencies = Latencies()
    latencies.record("a", seconds)
    assert latencies.histograms["a"].get_total_count() == 1


# Guards against: a histogram for each name that a caller thinks of.
def test_the_number_of_histograms_is_bounded():
    latencies = Latencies()
    for number in range(3 * MAX_HISTOGRAMS):
        latencies.record(f"call-{number}", 0.1)
    assert len(latencies.histograms) == MAX_HISTOGRAMS + 1
    others = latencies.histograms[OTHER_NAMES].get_total_count()
    assert others == 2 * MAX_HISTOGRAMS
