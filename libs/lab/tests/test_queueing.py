from __future__ import annotations

import pytest

from kumquatmux_core import decisions
from kumquatmux_lab.queueing import policies, scenarios
from kumquatmux_lab.queueing.leases import LeasedShards
from kumquatmux_lab.queueing.model import Run
from kumquatmux_lab.queueing.takeover import Loss, TakeOverRun
from kumquatmux_lab.queueing.workload import Workload, jobs
from kumquatmux_placement.admission import Admission

SECONDS = 10.0


@pytest.fixture(autouse=True)
def quiet():
    decisions.configure(as_json=False, enabled=False)
    yield
    decisions.configure(as_json=False, enabled=True)


def short(scenario):
    workload = scenario.workload._replace(duration_s=SECONDS)
    return scenario._replace(workload=workload)


@pytest.mark.parametrize(
    "make",
    [
        policies.AtRandom,
        policies.PlainHash,
        policies.LeastReported,
        policies.TwoChoicesReported,
        policies.OwnWorkByOwner,
        policies.SplitForGood,
        policies.ExactAtArrival,
        policies.OneQueue,
        LeasedShards,
        Admission,
    ],
)
def test_every_policy_runs_the_same_work_once(make):
    scenario = short(scenarios.steady(0.5))
    figures = Run(scenario, make, 1).run()
    assert figures.jobs == len(list(jobs(scenario.workload, 1)))
    assert len(figures.decided) == figures.jobs
    assert figures.twice == 0
    assert figures.refused == 0


def test_same_seed_gives_the_same_figures():
    scenario = short(scenarios.crest(retries=2))
    runs = [Run(scenario, Admission, 7).run().summary() for _ in range(2)]
    assert runs[0] == runs[1]


def test_crest_multiplies_demand():
    workload = Workload(crest_at_s=10.0)
    assert [workload.factor(time) for time in (9.0, 12.0, 16.9, 19.0)] == [1, 3, 3, 1]


def test_late_binding_meets_what_the_users_expect_on_one_seed():
    scenario = scenarios.steady(0.7)
    scenario = scenario._replace(workload=scenario.workload._replace(duration_s=60.0))
    ours, hashed, two, one = (
        Run(scenario, make, 1).run().summary()["short_p99_ms"]
        for make in (
            Admission,
            policies.PlainHash,
            policies.TwoChoicesReported,
            policies.OneQueue,
        )
    )
    assert ours * 5 <= hashed
    assert ours < two
    assert ours <= one * 1.5


def test_take_over_places_nothing_twice_and_loses_nothing():
    scenario = short(scenarios.take_over())
    for loss in (Loss(at_s=5.0), Loss(at_s=5.0, found_s=0.05)):
        figures = TakeOverRun(scenario, loss, 1).run()
        assert figures.twice == 0
        assert len(figures.decided) == figures.jobs
