"""Tells people something in one line, before there are log lines."""

from __future__ import annotations

import contextlib
import sys


def tell(text: object) -> None:
    """Write one line to standard error, whether or not anybody reads it."""
    line = " ".join(str(text).split())
    with contextlib.suppress(OSError):
        print(line, file=sys.stderr, flush=True)
