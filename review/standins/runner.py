"""Runs one case and turns its result into an exit code."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.record import Record

BROKEN = 1
HELD = 0
NOT_RUN = 2
LONGEST_S = 110.0


def run_case(play: Callable[[Record], Awaitable[int]], folder: Path) -> int:
    """Run a case with a record in its folder; return the exit code.

    Args:
        play: Runs the case, ends all programs and returns the exit code.
        folder: Folder of the case.
    """
    record = Record(folder / "record.txt")
    try:
        return asyncio.run(_bounded(play, record))
    except Exception as error:
        traceback.print_exc()
        record.line(f"the case could not run: {type(error).__name__} {error}")
        return NOT_RUN


async def _bounded(play: Callable[[Record], Awaitable[int]], record: Record) -> int:
    async with asyncio.timeout(LONGEST_S):
        return await play(record)
