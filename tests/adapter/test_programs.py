"""The programs as the platform starts them."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time

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


# Guards against a traceback in place of what to do, with libraries of another machine.
@pytest.mark.parametrize("program", programs.PROGRAMS)
def test_a_library_that_cannot_be_loaded_is_told_in_one_line(tmp_path, program):
    (tmp_path / "msgspec.py").write_text("raise ImportError('invalid\\nELF header')\n")
    path = os.pathsep.join([str(tmp_path), *filter(None, sys.path)])
    command = [sys.executable, "-m", "kumquatmux_platform", program]
    ended = subprocess.run(
        command, capture_output=True, text=True, env={**os.environ, "PYTHONPATH": path}
    )
    assert ended.returncode == 70
    assert ended.stderr.count("\n") == 1
    assert "invalid ELF header" in ended.stderr and "deploy/build.sh" in ended.stderr


def test_a_python_that_is_too_old_is_told_in_one_line(monkeypatch, capsys):
    monkeypatch.setattr(programs, "OLDEST_PYTHON", (9, 9))
    assert programs.main(["entry"]) == 70
    told = capsys.readouterr().err
    assert "Python 9.9 or newer is needed" in told and told.count("\n") == 1


WITHOUT_DESCRIPTORS = """
import os, sys
for descriptor in {closed}:
    os.close(descriptor)
from kumquatmux_platform import __main__ as programs
programs.main(["check"])
opened = os.open(os.devnull, os.O_RDONLY)
with open({told!r}, "w") as file:
    file.write(str(opened))
"""


# Guards against log lines that are written to a socket with the number of a stream.
@pytest.mark.parametrize("closed", [(0,), (1,), (2,), (0, 1, 2)])
def test_a_socket_never_gets_the_number_of_a_standard_stream(tmp_path, closed):
    told = tmp_path / "told"
    code = WITHOUT_DESCRIPTORS.format(closed=closed, told=str(told))
    subprocess.run([sys.executable, "-c", code], check=True, capture_output=True)
    assert int(told.read_text()) > 2


SIGNAL_AT_THE_END = """
import builtins, runpy, signal, sys
class Late:
    def __del__(self):
        signal.raise_signal({number})
builtins.late = Late()
sys.argv = ["kumquatmux_platform", "{program}"]
runpy.run_module("kumquatmux_platform", run_name="__main__")
"""


# Guards against a program that has stopped and is ended by one more signal.
@pytest.mark.parametrize("number", SIGNALS)
def test_a_signal_at_the_very_end_changes_no_exit_code(tmp_path, number):
    code = SIGNAL_AT_THE_END.format(program="entry", number=int(number))
    missing = tmp_path / "settings.json"
    environment = {**os.environ, "KUMQUATMUX_NODE_FILE": str(missing)}
    command = [sys.executable, "-c", code]
    ended = subprocess.run(command, capture_output=True, text=True, env=environment)
    assert ended.returncode == 2
    assert ended.stderr.count("\n") == 1 and str(missing) in ended.stderr


# Guards against an exit code of the interpreter's in place of the program's.
def test_a_stream_without_a_reader_changes_no_exit_code(tmp_path):
    reader, writer = os.pipe()
    os.close(reader)
    environment = {**os.environ, "KUMQUATMUX_NODE_FILE": str(tmp_path / "none")}
    command = [sys.executable, "-m", "kumquatmux_platform", "entry"]
    ended = subprocess.run(command, stdout=writer, stderr=writer, env=environment)
    os.close(writer)
    assert ended.returncode == 2


# Guards against a program that ends since its settings file was just being replaced.
def test_settings_that_are_replaced_meanwhile_are_waited_for(
    tmp_path, monkeypatch, capsys
):
    path = tmp_path / "settings.json"
    path.write_text("{")
    monkeypatch.setenv("KUMQUATMUX_NODE_FILE", str(path))
    sound = json.dumps({**NODE, "data-dir": str(tmp_path)})
    monkeypatch.setattr(time, "sleep", lambda _: path.write_text(sound))
    started = []

    async def note(settings, surroundings):
        started.append(settings.vm)

    try:
        assert program.run_program("control", registrar_settings, note) == 0
    finally:
        decisions.configure(as_json=False)
    assert started == ["127.0.0.1"]
    assert capsys.readouterr().err == ""
