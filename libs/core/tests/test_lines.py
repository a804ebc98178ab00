from __future__ import annotations

import json
import os

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from kumquatmux_core.lines import LineSettings, LineWriter


@pytest.fixture
def pipe():
    read_fd, write_fd = os.pipe()
    os.set_blocking(read_fd, False)
    yield read_fd, write_fd
    os.close(read_fd)
    os.close(write_fd)


def read_lines(read_fd):
    return [json.loads(line) for line in os.read(read_fd, 1 << 20).splitlines()]


def test_line_includes_time_event_vm_and_fields(pipe):
    read_fd, write_fd = pipe
    writer = LineWriter(LineSettings(write_fd), "e1")
    writer.tick(3.25)
    writer.put("flow-placed", {"token": 7, "server": ("i-1", 2)})
    writer.flush()
    assert read_lines(read_fd) == [
        {
            "t": 3.25,
            "event": "flow-placed",
            "vm": "e1",
            "token": 7,
            "server": "('i-1', 2)",
        }
    ]


def test_lines_above_the_rate_limit_are_counted_and_reported(pipe):
    read_fd, write_fd = pipe
    writer = LineWriter(LineSettings(write_fd, max_lines_per_s=2), "e1")
    writer.tick(1.0)
    for _ in range(5):
        writer.put("noise", {})
    writer.put("signal", {})
    writer.tick(2.0)
    events = [line["event"] for line in read_lines(read_fd)]
    assert events == ["noise", "noise", "signal", "lines-dropped"]
    assert writer.dropped["noise"] == 3


def test_full_stream_never_blocks_and_the_buffer_stays_bounded(pipe):
    _, write_fd = pipe
    settings = LineSettings(write_fd, max_buffered_lines=50, max_lines_per_s=100_000)
    writer = LineWriter(settings, "e1")
    writer.tick(1.0)
    for _ in range(4000):
        writer.put("noise", {"text": "x" * 200})
        writer.flush()
    assert len(writer.buffered) <= 50
    assert len(writer.unwritten) <= 50 * 256 + 300
    assert writer.dropped["stream-slow"] > 0


def test_write_to_a_closed_stream_is_counted_as_failed():
    read_fd, write_fd = os.pipe()
    os.close(read_fd)
    writer = LineWriter(LineSettings(write_fd), "e1")
    writer.put("noise", {})
    writer.flush()
    assert writer.dropped["stream-failed"] == 1
    os.close(write_fd)


class Unprintable:
    def __str__(self):
        raise ValueError("no text")


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text() | st.integers(), inner, max_size=3)
    ),
    max_leaves=6,
)


# Guards against: a value in a line that JSON cannot hold, which ended the process.
@given(st.dictionaries(st.text(max_size=5), VALUES, max_size=4))
@example({"number": 1 << 64, "other": -(1 << 63) - 1})
@example({"number": 10**5000})
@example({"text": "\ud800 lone", "pair": ("\ud800", 1)})
@example({"\ud800": 1, "counts": {"\ud800": 1 << 70, 5: 1}})
@example({"ratio": float("nan"), "most": float("inf")})
@example({"object": Unprintable(), "numbers": (10**5000,)})
def test_any_value_becomes_one_line(fields):
    writer = LineWriter(LineSettings(-1), "e1")
    writer.put("event", fields)
    (line,) = writer.buffered
    assert line.count(b"\n") == 1
    assert "event" in json.loads(line)


# Guards against: a line as long as what a caller sent.
def test_long_values_are_cut():
    writer = LineWriter(LineSettings(-1), "e1")
    long_text = "\u00e9" * 1_000_000
    counts = {f"name-{number}": number for number in range(100_000)}
    writer.put(
        "event", {"text": long_text, "counts": counts, "inner": {"a": long_text}}
    )
    assert len(writer.buffered[0]) < 10_000
    assert json.loads(writer.buffered[0])["text"].startswith("\u00e9" * 1000)


def test_large_numbers_are_written_out():
    writer = LineWriter(LineSettings(-1), "e1")
    writer.put("event", {"large": 1 << 64, "small": (1 << 64) - 1, "long": 1 << 999})
    line = json.loads(writer.buffered[0])
    assert (line["large"], line["small"]) == (1 << 64, (1 << 64) - 1)
    assert line["long"] == "integer of 1000 bits"
