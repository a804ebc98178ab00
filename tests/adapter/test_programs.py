"""The programs as the platform starts them."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys

import pytest

from kumquatmux_core import decisions
from kumquatmux_daemons.early_signals import SIGNALS
from kumquatmux_platform import __main__ as programs
from kumquatmux_platform import program
from kumquatmux_platform.node_file import registrar_settings

HEAVY = ("typer", "starlette", "hypercorn", "httpx", "cryptography", "zmq", "absl")
NODE = {
    "node-name": "core-cnx-a-1",
    "ip": "127.0.0.1",
    "zone": "cnx-a",
    "bind-addrs": {"control": "127.0.0.1:8166"},
    "internal-port-range": [7720, 7735],
    "seed-nodes": ["127.0.0.1:8166"],
}
EDGE = {"datagram-addr": "127.0.0.1:8172", "ready": "127.0.0.1:8167"}

# Runs a program as its command does, with signals before anything heavy is loaded.
SIGNALS_DURING_THE_START = """
import importlib, runpy, signal, sys
load = importlib.import_module
def load_late(name):
    for number in {numbers}:
        signal.raise_signal(number)
    return load(name)
importlib.import_module = load_late
sys.argv = ["kumquatmux_platform", "{program}"]
runpy.run_module("kumquatmux_platform", run_name="__main__")
"""


@pytest.fixture(autouse=True)
def handlers():
    before = {number: signal.getsignal(number) for number in SIGNALS}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


def settings_file(tmp_path, **changes):
    node = {**NODE, "data-dir": str(tmp_path / "data")}
    node["bind-addrs"] = {**NODE["bind-addrs"], **EDGE}
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**node, **changes}))
    return path


def test_a_program_that_is_not_there_is_a_usage_error(capsys):
    assert programs.main(["nothing"]) == 64
    assert programs.main([]) == 64
    assert "entry, control" in capsys.readouterr().err


@pytest.mark.parametrize("program", programs.PROGRAMS)
def test_settings_that_cannot_be_read_end_a_program_with_one_line(
    program, tmp_path, monkeypatch, capsys
):
    missing = tmp_path / "settings.json"
    monkeypatch.setenv("KUMQUATMUX_NODE_FILE", str(missing))
    assert programs.main([program]) == 2
    told = capsys.readouterr().err
    assert str(missing) in told and told.count("\n") == 1


@pytest.mark.parametrize("program", programs.PROGRAMS)
def test_a_program_imports_no_heavy_library(program):
    code = f"import sys, kumquatmux_platform.{program}; print(*sys.modules)"
    command = [sys.executable, "-c", code]
    told = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    loaded = {name.partition(".")[0] for name in told.split()}
    assert "trio" in loaded
    assert loaded.isdisjoint(HEAVY)


async def _fail(settings, surroundings):
    raise OverflowError("too large")


# Guards against programs that end without a line that says why.
def test_a_program_that_fails_logs_the_error_and_its_place(tmp_path, monkeypatch):
    lines = []
    monkeypatch.setattr(program.LineWriter, "put", lambda *line: lines.append(line[1:]))
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**NODE, "data-dir": str(tmp_path)}))
    monkeypatch.setenv("KUMQUATMUX_NODE_FILE", str(path))
    try:
        with pytest.raises(OverflowError):
            program.run_program("control", registrar_settings, _fail)
    finally:
        decisions.configure(as_json=False)
    told = dict(lines)
    assert told["launched"]["role"] == "control"
    assert told["program-failed"]["error"] == "OverflowError"
    assert told["program-failed"]["function"] == "_fail"
    assert told["program-failed"]["place"].startswith("test_programs.py:")


def run_with_signals(program, path, *numbers):
    code = SIGNALS_DURING_THE_START.format(
        program=program, numbers=[int(number) for number in numbers]
    )
    environment = {**os.environ, "KUMQUATMUX_NODE_FILE": str(path)}
    command = [sys.executable, "-c", code]
    return subprocess.run(command, capture_output=True, text=True, env=environment)


# Guards against a signal that ends a program because its libraries are still loading.
@pytest.mark.parametrize("program", programs.PROGRAMS)
@pytest.mark.parametrize("stop", [signal.SIGTERM, signal.SIGINT])
def test_signals_during_the_start_do_not_end_a_program_by_themselves(
    tmp_path, program, stop
):
    ended = run_with_signals(program, settings_file(tmp_path), signal.SIGHUP, stop)
    assert (ended.returncode, ended.stderr) == (0, "")
    events = [json.loads(line)["event"] for line in ended.stdout.splitlines()]
    assert events == ["launched", "stopped"]
