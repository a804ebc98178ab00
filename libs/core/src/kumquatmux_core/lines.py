"""Structured lines on a stream: bounded, limited by kind and never blocking."""

from __future__ import annotations

import os
from collections import Counter, deque
from typing import Any, NamedTuple

import msgspec


class LineSettings(NamedTuple):
    """How much is written.

    Attributes:
        file: Descriptor that is written to.
        waiting_lines: Lines kept while the stream takes none.
        lines_per_s: Lines of one kind a second; more are counted instead.
    """

    file: int = 1
    waiting_lines: int = 4096
    lines_per_s: int = 200


class LineWriter:
    """Collects lines and writes them in batches.

    Attributes:
        vm: Name of this VM, on each line.
        dropped: Lines not written, by kind.
        written: Lines written so far.
    """

    def __init__(self, settings: LineSettings, vm: str) -> None:
        self.settings = settings
        self.vm = vm
        self.waiting: deque[bytes] = deque()
        self.rest = b""
        self.dropped: Counter[str] = Counter()
        self.told: Counter[str] = Counter()
        self.written = 0
        self.in_second: Counter[str] = Counter()
        self.second = -1
        self.now = 0.0
        try:
            os.set_blocking(settings.file, False)
        except OSError:
            self.dropped["blocking-stream"] += 1

    def tick(self, now: float) -> None:
        """Take the time, in steady seconds, and write what waits."""
        self.now = now
        if int(now) != self.second:
            self.second = int(now)
            self.in_second.clear()
            self._tell_dropped()
        self.flush()

    def put(self, event: str, fields: dict[str, Any]) -> None:
        """Add a line, or count it where there are too many."""
        is_full = len(self.waiting) >= self.settings.waiting_lines
        if is_full or self.in_second[event] >= self.settings.lines_per_s:
            self.dropped[event] += 1
            return
        self.in_second[event] += 1
        line = {"t": round(self.now, 3), "event": event, "vm": self.vm}
        line.update((key, _plain(value)) for key, value in fields.items())
        self.waiting.append(msgspec.json.encode(line) + b"\n")

    def flush(self) -> None:
        """Write as much as the stream takes now."""
        if not self.waiting and not self.rest:
            return
        batch = self.rest + b"".join(self.waiting)
        self.written += len(self.waiting)
        self.waiting.clear()
        try:
            count = os.write(self.settings.file, batch)
        except BlockingIOError:
            count = 0
        except OSError:
            self.dropped["stream-failed"] += 1
            count = len(batch)
        self.rest = batch[count:]
        limit = self.settings.waiting_lines * 256
        if len(self.rest) > limit:
            self.dropped["stream-slow"] += self.rest.count(b"\n")
            self.rest = b""

    def _tell_dropped(self) -> None:
        news = self.dropped - self.told
        if news:
            self.told = self.dropped.copy()
            self.put("lines-dropped", {"counts": dict(news)})


def _plain(value: Any) -> Any:
    if value is None or isinstance(value, int | float | dict):
        return value
    return str(value)
