from __future__ import annotations

import json

import pytest
from typer.testing import CliRunner

from kumquatmux_core.identity import Endpoint, ServiceName
from kumquatmux_lab.cli import app
from kumquatmux_lab.experiments.plan import ArrivalPlan, RatePoint
from kumquatmux_lab.experiments.reader import read_experiment
from kumquatmux_lab.experiments.result import compare, seconds_of
from kumquatmux_lab.experiments.runner import spans
from kumquatmux_lab.standin.caller import Fate, StandInCaller
from kumquatmux_lab.standin.work import Request

GOOD = """
name = "small"
seed = 1
duration_s = 5
zones = ["a", "b"]
entries_per_zone = 1
controls = 3
[[services]]
name = "entries"
address = "127.86.9.50:80"
servers = 2
slots = 2
[[arrivals]]
name = "amendments"
service = "entries"
work_ms = 40
rate = [[0, 20], [3, 50]]
[[faults]]
at_s = 1
action = "kill"
target = "a-1"
"""

FAULTS = [
    ("seed = 1", "", "seed: is missing"),
    ("seed = 1", 'seed = "x"', "seed: must be a whole number"),
    ("seed = 1", "seed = true", "seed: must be a whole number"),
    ("seed = 1", "seed = 1\nsede = 2", "sede: is not a key of this table"),
    ("duration_s = 5", "duration_s = -1", "duration_s: must be a number"),
    ("duration_s = 5", "duration_s = nan", "duration_s: must be a number"),
    ('["a", "b"]', "[]", "zones: must name a zone"),
    ("seed = 1", 'seed = 1\nnetwork = "10.0.0"', "network: must be three numbers"),
    ("127.86.9.50:80", "10.0.0.1:80", "services[0].address: must be ip:port within"),
    ("127.86.9.50:80", "127.86.9.50", "services[0].address: must be ip:port within"),
    ("slots = 2", "slots = 0", "services[0].slots: must be a whole number"),
    ('service = "entries"', 'service = "pages"', "arrivals[0].service: is not a"),
    ("[[0, 20], [3, 50]]", "[[0, 20], [3]]", "arrivals[0].rate: must be an array"),
    ("[[0, 20], [3, 50]]", "[[3, 20], [0, 5]]", "arrivals[0].rate: must have the"),
    ("[[0, 20], [3, 50]]", "[]", "arrivals[0].rate: give either rate or feeds"),
    ("at_s = 1", "at_s = 5", "faults[0].at_s: is after duration_s"),
    ('"kill"', '"burn"', "faults[0].action: must be one of kill, stop, drain, set"),
    ('"kill"', '"set"', "faults[0].value: is missing"),
    ('target = "a-1"', 'target = "a-2"', "faults[0].target: is not an entry VM"),
    ('"kill"\ntarget = "a-1"', '"drain"\ntarget = "x"', "faults[0].target: is not a"),
    (
        '"kill"\ntarget = "a-1"',
        '"drain"\ntarget = "entries"\nnumber = 2',
        "faults[0].number: there are fewer backend servers",
    ),
    ('name = "small"', "name = ", "Invalid value"),
]


def test_good_file_is_read():
    plan = read_experiment(GOOD).ok
    assert plan.network == "127.86.0"
    assert plan.arrivals[0].rate == (RatePoint(0, 20), RatePoint(3, 50))


@pytest.mark.parametrize(("old", "new", "expected"), FAULTS)
def test_fault_is_named_with_its_key(old, new, expected):
    assert old in GOOD
    problems = read_experiment(GOOD.replace(old, new, 1)).error
    assert [str(p) for p in problems if str(p).startswith(expected)], problems


def test_all_faults_of_a_file_are_told_in_a_line_each(tmp_path):
    file = tmp_path / "bad.toml"
    file.write_text(GOOD.replace("seed = 1", "").replace("slots = 2", "slots = 0"))
    done = CliRunner().invoke(app, ["run", str(file)])
    assert done.exit_code == 2
    lines = done.output.splitlines()
    assert [line.split(": ")[1] for line in lines] == ["seed", "services[0].slots"]


def test_rates_become_stretches_that_end_with_the_experiment():
    rate = (RatePoint(0, 20), RatePoint(3, 50), RatePoint(9, 1))
    arrival = ArrivalPlan("amendments", ServiceName("entries"), 40, rate=rate)
    assert spans(arrival, 5) == [(0, 3, 20), (3, 5, 50), (9, 5, 1)]


def test_a_second_without_a_first_byte_has_no_times():
    request = Request(1, ServiceName("entries"), 40, 10)
    end = Endpoint("127.87.0.1", 10_000)
    callers = [StandInCaller(end, end, request, 1, 100.0 + at) for at in (0.2, 0.9, 2)]
    callers[0].first_byte = 100.25
    callers[2].fate = Fate.REFUSED
    first, last = seconds_of(callers, 100.0)
    assert (first["second"], first["opened"], first["refused"]) == (0, 2, 0)
    assert first["p50_ms"] == pytest.approx(50, rel=0.01)
    assert (last["second"], last["refused"], last["p50_ms"]) == (2, 1, None)


def record(seed, broken, p99_ms):
    kind = {"name": "amendments", "opened": 10, "broken": broken, "p99_ms": p99_ms}
    return {"experiment": "small", "seed": seed, "kinds": [kind], "run_twice": 0}


def test_compare_sets_figures_side_by_side():
    lines = compare(record(1, 0, 40.0), record(2, 3, 60.0)).splitlines()
    rows = {tuple(line.split()[:2]): line.split()[2:] for line in lines}
    assert rows["kind", "figure"] == ["small/1", "small/2", "ratio"]
    assert rows["amendments", "broken"] == ["0", "3", "-"]
    assert rows["amendments", "p99_ms"] == ["40.0", "60.0", "1.50"]
    assert rows["amendments", "whole"] == ["-", "-", "-"]


def test_compare_refuses_what_is_no_record(tmp_path):
    file = tmp_path / "a.json"
    for text in ("{", "[]", json.dumps({"seed": 1})):
        file.write_text(text)
        done = CliRunner().invoke(app, ["compare", str(file), str(file)])
        assert done.exit_code == 2
        assert len(done.output.splitlines()) == 1
