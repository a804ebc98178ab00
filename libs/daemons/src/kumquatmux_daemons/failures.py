"""Errors that are contained: counted and logged, while the process goes on."""

from __future__ import annotations

import traceback
from pathlib import Path
from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.problems import DETAIL_CHARACTERS


def log_contained(event: str, error: Exception, subject: str = "") -> None:
    """Log an error that spoils one input only, with the place in the code.

    Args:
        event: Name of the line.
        error: The error.
        subject: What was handled.
    """
    log_decision(
        event,
        subject=subject,
        error=type(error).__name__,
        detail=str(error)[:DETAIL_CHARACTERS],
        place=place_of(error).place,
    )


class Place(NamedTuple):
    """Where in the code an error was raised.

    Attributes:
        place: File and line, empty if unknown.
        function: Function, empty if unknown.
    """

    place: str = ""
    function: str = ""


def place_of(error: BaseException) -> Place:
    """Return where an error was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return Place()
    last = frames[-1]
    return Place(f"{Path(last.filename).name}:{last.lineno}", last.name)
