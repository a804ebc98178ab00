from __future__ import annotations

import pytest

from kumquatmux_lab.faultruns.settings import run
from kumquatmux_lab.faultruns.settings_history import (
    CHECKERS,
    Answered,
    Applied,
    Asked,
    Ended,
    GivenUp,
    Isolated,
    Seen,
    Stuck,
    violations,
)
from kumquatmux_settings.change import ChangeOutcome, Verdict

SEEDS = range(24)
KINDS = {
    "clock-jump",
    "crash",
    "crash-at-write",
    "damage",
    "disk-full",
    "disk-lost",
    "isolate",
    "isolate-leader",
    "one-way-cut",
    "power-cut",
    "replace-vm",
    "second-disk-lost",
    "split",
    "sync-fails",
}


def test_faults_of_every_kind_break_no_promise():
    reports = [run(seed) for seed in SEEDS]
    found = {report.seed: report.violations for report in reports if report.violations}
    assert found == {}
    assert {kind for report in reports for kind in report.faults} == KINDS


def test_a_run_repeats_byte_for_byte():
    assert run(3) == run(3)


def accepted(change: str, revision: int) -> ChangeOutcome:
    return ChangeOutcome(change, Verdict.ACCEPTED, revision)


SOUND = (
    Asked(1.0, "x", 0),
    Applied(1.5, "a", 2, accepted("x", 1), "d1"),
    Answered(2.0, "a", accepted("x", 1)),
    Asked(2.1, "y", 0),
    Answered(2.5, "a", ChangeOutcome("y", Verdict.CONFLICT, 1)),
    Asked(2.6, "z", 1),
    GivenUp(2.9, "z"),
    Seen(3.0, 3.1, "a", 1),
    Applied(3.5, "b", 2, accepted("x", 1), "d1"),
    Isolated(4.0, 9.0, "a"),
    Ended(20.0, "a", 1, "d1", frozenset({"x"})),
    Ended(20.0, "b", 1, "d1", frozenset({"x"})),
)

MUTATIONS = {
    "same_log_everywhere": Applied(5.0, "c", 2, accepted("x", 1), "other"),
    "runs_once": Applied(5.0, "a", 7, accepted("x", 4), "d1"),
    "one_outcome": Answered(9.5, "b", ChangeOutcome("x", Verdict.CONFLICT, 1)),
    "one_winner": Applied(5.0, "a", 3, accepted("y", 2), "d2"),
    "linearizable": Seen(10.0, 10.1, "b", 0),
    "refused_never_ran": Applied(5.0, "a", 3, accepted("z", 2), "d2"),
    "isolated_accepts_nothing": Answered(5.5, "a", accepted("x", 1)),
    "nothing_reverts": Ended(20.0, "c", 0, "d0", frozenset()),
    "comes_back": Stuck(20.0, "no change was accepted"),
}


def test_a_sound_history_passes():
    assert violations(SOUND) == ()


def test_a_cut_off_vm_may_only_finish_what_others_had_acknowledged():
    late = (Asked(4.1, "w", 1), Answered(4.2, "a", accepted("w", 2)))
    before = Answered(4.5, "a", accepted("x", 1))
    assert violations((*SOUND, before)) == ()
    assert any("cut off" in line for line in violations((*SOUND, *late)))


def test_every_checker_has_a_mutation():
    assert {checker.__name__ for checker in CHECKERS} == set(MUTATIONS)


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_checker_fails_on_its_mutation(name):
    found = violations((*SOUND, MUTATIONS[name]))
    assert any(line.startswith(name) for line in found)
