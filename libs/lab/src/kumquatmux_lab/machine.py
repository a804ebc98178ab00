"""The machine that a figure was measured on."""

from __future__ import annotations

import os
import platform
from pathlib import Path
from typing import TypedDict

CPU_FILE = Path("/proc/cpuinfo")


class Machine(TypedDict):
    """What is recorded about a machine.

    Attributes:
        cores: Cores of the machine.
        cpu: Model of its CPU.
        python: Version of Python.
    """

    cores: int
    cpu: str
    python: str


def this_machine() -> Machine:
    """Return what is recorded about this machine."""
    return Machine(
        cores=os.cpu_count() or 0, cpu=cpu_model(), python=platform.python_version()
    )


def cpu_model() -> str:
    """Return the CPU's model, or the architecture where none is told."""
    try:
        lines = CPU_FILE.read_text().splitlines()
    except OSError:
        return platform.machine()
    names = [line.partition(":")[2] for line in lines if line.startswith("model name")]
    return names[0].strip() if names else platform.machine()
