from __future__ import annotations

import pytest

from kumquatmux_lab import bench
from kumquatmux_lab.bench import BenchSettings, row_of, run_bench
from kumquatmux_lab.benches import changes, tokens


@pytest.mark.parametrize(
    ("line", "figures"),
    [
        ("| 3 | 1.250 | 16_000 |", [3.0, 1.25, 16000.0]),
        ("leases 1,000: 2.5e-3 s", [1000.0, 0.0025]),
        ("p99 of vm2: -4", [-4.0]),
        ("no figures", []),
    ],
)
def test_numbers_of_a_line(line, figures):
    assert row_of(line)["figures"] == figures


@pytest.mark.parametrize("name", ["weather", "no.such", "../flows"])
def test_unknown_bench_is_a_problem(name):
    assert run_bench(BenchSettings(name, 1)).error.code == "unknown-bench"


def test_bench_that_prints_nothing_is_a_problem(monkeypatch):
    monkeypatch.setattr(bench, "MODULE_PREFIX", "kumquatmux_lab.")
    assert run_bench(BenchSettings("machine", 1)).error.code == "bench-silent"


def test_token_costs_are_measured_for_what_was_asked():
    costs = tokens.measure(200, 4, seed=1)
    assert (costs.open_flows, costs.servers) == (200, 4)
    assert costs.packets_per_s > 0
    assert costs.new_flows_per_s > 0
    assert costs.record_bytes > 0


def test_a_change_costs_each_follower_the_same_few_bytes():
    few, many = changes.measure(2), changes.measure(40)
    assert many.change_bytes == 20 * few.change_bytes
    assert few.change_bytes / 2 < 120
