"""Errors that are contained: counted and logged, while the process goes on."""

from __future__ import annotations

import traceback
from pathlib import Path

from kumquatmux_core.decisions import log as log_decision

DETAIL_CHARACTERS = 200
"""Longest text of an error in a log line."""


def log_contained(event: str, error: Exception, subject: str = "") -> None:
    """Log an error that spoils one input only, with the place in the code.

    Args:
        event: Name of the line.
        error: The error.
        subject: What was handled.
    """
    frames = traceback.extract_tb(error.__traceback__)
    last = frames[-1] if frames else None
    log_decision(
        event,
        subject=subject,
        error=type(error).__name__,
        detail=str(error)[:DETAIL_CHARACTERS],
        place=f"{Path(last.filename).name}:{last.lineno}" if last else "",
    )
