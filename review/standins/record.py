"""The record of a run: what was sent, answered, run and ended, line by line."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes lines with seconds since the start of the run to a file.

    Attributes:
        path: The file.
        started_at: Start of the run, in seconds of the monotonic clock.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.started_at = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()
