"""Non-blocking writer of JSON log lines, with a bounded buffer and rate limits."""

from __future__ import annotations

import os
from collections import Counter, deque
from itertools import islice
from typing import Any, NamedTuple

import msgspec

MAX_TEXT_CHARACTERS = 1000
"""Longest text in a line; the rest of a longer one is left out."""

MAX_ENTRIES = 100
"""Most entries of a mapping in a line."""

ENCODED_INTEGERS = range(-(1 << 63), 1 << 64)
MAX_INTEGER_BITS = 256
"""Length up to which larger integers are written out, which the encoder does not do."""


class LineSettings(NamedTuple):
    """Output file descriptor and limits of a line writer.

    Attributes:
        file_descriptor: File descriptor to write to.
        max_buffered_lines: Maximum number of buffered lines.
        max_lines_per_s: Maximum number of lines per second for one event name. Further
            lines are dropped and counted.
    """

    file_descriptor: int = 1
    max_buffered_lines: int = 4096
    max_lines_per_s: int = 200


class LineWriter:
    """Buffers JSON log lines and writes them to a file descriptor in batches.

    Attributes:
        settings: Output file descriptor and limits.
        vm: Name of this VM, included in each line.
        buffered: Encoded lines in the buffer.
        unwritten: Bytes of earlier batches that the stream has not yet accepted.
        dropped: Number of dropped lines by event name. Stream errors are counted
            here as ``blocking-stream``, ``stream-failed`` and ``stream-slow``.
        reported: Values of ``dropped`` when they were last reported.
        written_lines: Number of lines removed from the buffer for writing.
        lines_this_second: Number of lines added in the current second, by event name.
        current_second: Current whole second of the monotonic clock.
        now: Current time as last set, in monotonic seconds.
    """

    def __init__(self, settings: LineSettings, vm: str) -> None:
        self.settings = settings
        self.vm = vm
        self.buffered: deque[bytes] = deque()
        self.unwritten = b""
        self.dropped: Counter[str] = Counter()
        self.reported: Counter[str] = Counter()
        self.written_lines = 0
        self.lines_this_second: Counter[str] = Counter()
        self.current_second = -1
        self.now = 0.0
        try:
            os.set_blocking(settings.file_descriptor, False)
        except OSError:
            self.dropped["blocking-stream"] += 1

    def tick(self, now: float) -> None:
        """Set the current time, in monotonic seconds, and write buffered lines."""
        self.set_time(now)
        self.flush()

    def set_time(self, now: float) -> None:
        """Set the current time, in monotonic seconds, which the next lines bear."""
        self.now = now
        if int(now) != self.current_second:
            self.current_second = int(now)
            self.lines_this_second.clear()
            self._report_dropped()

    def put(self, event: str, fields: dict[str, Any]) -> None:
        """Buffer a line, or drop and count it if a limit is reached."""
        is_full = len(self.buffered) >= self.settings.max_buffered_lines
        if is_full or self.lines_this_second[event] >= self.settings.max_lines_per_s:
            self.dropped[event] += 1
            return
        self.lines_this_second[event] += 1
        line = {"t": round(self.now, 3), "event": event, "vm": self.vm}
        line.update(_json_value(fields))
        self.buffered.append(msgspec.json.encode(line) + b"\n")

    def flush(self) -> None:
        """Write as many buffered bytes as the stream accepts without blocking."""
        if not self.buffered and not self.unwritten:
            return
        batch = self.unwritten + b"".join(self.buffered)
        self.written_lines += len(self.buffered)
        self.buffered.clear()
        try:
            written_bytes = os.write(self.settings.file_descriptor, batch)
        except BlockingIOError:
            written_bytes = 0
        except OSError:
            self.dropped["stream-failed"] += 1
            written_bytes = len(batch)
        self.unwritten = batch[written_bytes:]
        max_unwritten_bytes = self.settings.max_buffered_lines * 256
        if len(self.unwritten) > max_unwritten_bytes:
            self.dropped["stream-slow"] += self.unwritten.count(b"\n")
            self.unwritten = b""

    def _report_dropped(self) -> None:
        unreported = self.dropped - self.reported
        if unreported:
            self.reported = self.dropped.copy()
            self.put("lines-dropped", {"counts": dict(unreported)})


def _json_value(value: Any) -> Any:
    """Return a value as JSON can hold it, and of bounded length."""
    if value is None or isinstance(value, bool | float):
        return value
    if isinstance(value, int):
        return _json_integer(value)
    if isinstance(value, dict):
        entries = islice(value.items(), MAX_ENTRIES)
        return {_text(key): _json_value(inner) for key, inner in entries}
    return _text(value)


def _json_integer(value: int) -> int | str | msgspec.Raw:
    if value in ENCODED_INTEGERS:
        return value
    if value.bit_length() <= MAX_INTEGER_BITS:
        return msgspec.Raw(str(value).encode())
    return f"integer of {value.bit_length()} bits"


def _text(value: Any) -> str:
    try:
        text = str(value)
    except Exception as error:
        # A log line must not end the process for the sake of what it shows.
        return f"{type(value).__name__} ({type(error).__name__})"
    if len(text) > MAX_TEXT_CHARACTERS:
        text = text[:MAX_TEXT_CHARACTERS] + "..."
    return text.encode(errors="backslashreplace").decode()
