"""What deploy/build.sh does again, with a stand-in for the interpreter."""

from __future__ import annotations

import os
import shutil
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
SCRIPT = ROOT / "deploy" / "build.sh"
PACKAGES = (
    "core",
    "registry",
    "placement",
    "tokens",
    "agreement",
    "storage",
    "settings",
    "daemons",
)
INTERPRETER = """#!/bin/sh
echo "$2" >> calls
case "$1 $2" in
  "-m pip") mkdir -p target/deps && touch target/deps/library.so ;;
  "-c "*) echo "$BUILT_FOR" ;;
esac
"""


@pytest.fixture
def tree(tmp_path):
    (tmp_path / "deploy").mkdir()
    shutil.copy(SCRIPT, tmp_path / "deploy")
    (tmp_path / "deploy" / "requirements.txt").write_text("trio\n")
    (tmp_path / "constraints.txt").write_text("trio==1\n")
    for package in PACKAGES:
        (tmp_path / "libs" / package / "src" / f"kumquatmux_{package}").mkdir(
            parents=True
        )
    (tmp_path / "platform" / "src" / "kumquatmux_platform").mkdir(parents=True)
    (tmp_path / "bin").mkdir()
    (tmp_path / "bin" / "python3").write_text(INTERPRETER)
    (tmp_path / "bin" / "python3").chmod(0o755)
    return tmp_path


def installs(tree, built_for):
    """Build; return whether the libraries were installed."""
    calls = tree / "calls"
    calls.write_text("")
    path = f"{tree / 'bin'}{os.pathsep}{os.environ['PATH']}"
    environment = {**os.environ, "PATH": path, "BUILT_FOR": built_for}
    subprocess.run(["sh", "deploy/build.sh"], cwd=tree, env=environment, check=True)
    return "pip" in calls.read_text().split()


# Guards against compiled libraries of another machine that no program can load.
def test_libraries_of_another_interpreter_or_processor_are_installed_anew(tree):
    assert installs(tree, "cpython-311 aarch64")
    assert not installs(tree, "cpython-311 aarch64")
    assert installs(tree, "cpython-312 aarch64")
    assert installs(tree, "cpython-312 x86_64")


def test_other_requirements_are_installed_whatever_their_time(tree):
    assert installs(tree, "cpython-311 aarch64")
    (tree / "constraints.txt").write_text("trio==2\n")
    os.utime(tree / "constraints.txt", (0, 0))
    assert installs(tree, "cpython-311 aarch64")


def test_an_install_that_broke_off_is_done_again(tree):
    assert installs(tree, "cpython-311 aarch64")
    (tree / "target" / "deps" / ".libraries").unlink()
    assert installs(tree, "cpython-311 aarch64")
