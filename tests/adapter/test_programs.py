"""The programs as the platform starts them."""

from __future__ import annotations

import subprocess
import sys

import pytest

from kumquatmux_platform import __main__ as programs

HEAVY = ("typer", "starlette", "hypercorn", "httpx", "cryptography", "zmq", "absl")


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
