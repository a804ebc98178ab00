from __future__ import annotations

import pytest
from typer.testing import CliRunner

from kumquatmux_core import decisions
from kumquatmux_lab import soak
from kumquatmux_lab.cli import app
from kumquatmux_lab.faultruns.report import RunReport

BAD_SEED = 13


def stub_run(seed: int) -> RunReport:
    broken = ("a flow was lost",) if seed == BAD_SEED else ()
    return RunReport(seed, {"kill": 2}, broken)


@pytest.fixture(autouse=True)
def decisions_logged_afterwards():
    yield
    decisions.configure(as_json=False)


@pytest.fixture
def stubbed(monkeypatch):
    monkeypatch.setattr(soak.soak, "__defaults__", (lambda what: stub_run,))


@pytest.mark.parametrize(("first", "code"), [(1, 0), (10, 1)])
def test_exit_code_tells_of_violations(stubbed, first, code):
    command = ["soak", "--seed", str(first), "--runs", "5", "--what", "flows"]
    done = CliRunner().invoke(app, [*command, "--workers", "1"])
    assert done.exit_code == code
    assert "fault kill: 10" in done.output


def test_failing_seed_is_reported_with_a_command_that_repeats_it(stubbed):
    settings = soak.SoakSettings(10, 5, ("flows",), workers=1)
    [report] = soak.soak(settings, print)
    [violation] = report.violations
    text = soak.format_report(report)
    command = soak.command_of(violation)
    assert f"VIOLATION seed {BAD_SEED}: a flow was lost" in text
    assert command in text
    done = CliRunner().invoke(app, command.split()[1:])
    assert done.exit_code == 1
    assert "1 runs, 1 with violations" in done.output


def test_worker_processes_find_what_one_process_finds():
    settings = soak.SoakSettings(10, 6, ("stub",), workers=2)
    spread = soak.soak_kind(settings, "stub", stub_run, print)
    alone = soak.soak_kind(settings._replace(workers=1), "stub", stub_run, print)
    assert spread == alone


def test_progress_and_violations_are_told_while_it_runs():
    told = []

    def run_and_look(seed):
        seen.append(len(told))
        return stub_run(seed)

    seen = []
    settings = soak.SoakSettings(1, 20, ("flows",), workers=1)
    soak.soak_kind(settings, "flows", run_and_look, told.append)
    assert seen[0] == 0 and seen[10] == 5
    assert told[0] == "flows: 2 of 20 runs, 0 violations"
    assert f"flows: violation at seed {BAD_SEED}: a flow was lost" in told
    assert told[-1] == "flows: 20 of 20 runs, 1 violations"


def test_a_kinds_report_comes_before_the_next_kind_runs():
    asked = []

    def choose(what):
        asked.append(what)
        return stub_run

    settings = soak.SoakSettings(1, 2, ("one", "two"), workers=1)
    reports = soak.soak(settings, print, choose)
    assert next(reports).what == "one"
    assert asked == ["one"]


def test_unknown_kind_is_one_line():
    done = CliRunner().invoke(app, ["soak", "--what", "weather"])
    assert done.exit_code == 2
    assert len(done.output.splitlines()) == 1
