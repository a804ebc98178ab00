"""Calls to a registrar whose format fails."""

from __future__ import annotations

from collections import Counter

import pytest
from expression import Error, Ok

from kumquatmux_core import decisions
from kumquatmux_core.latencies import Latencies
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.plain_http.server import HttpAnswer, HttpCall
from kumquatmux_daemons.registrar.calls import Answer, Outcome, ReadDocument
from kumquatmux_daemons.registrar.daemon import calls_handler

CALL = HttpCall("GET", "/x", b"")


class FakeDesk:
    def __init__(self):
        self.counts = Counter()
        self.latencies = Latencies()

    async def ask(self, call):
        return Answer(Outcome.DONE)


class FakeFormat:
    def read_call(self, call):
        return Ok(ReadDocument())

    def write_answer(self, call, answer):
        return HttpAnswer(200)


class FailingFormat(FakeFormat):
    def __init__(self, name):
        setattr(self, name, self.fail)

    def fail(self, *arguments):
        raise RecursionError("x" * 9_000)


class FakeParts:
    def __init__(self, call_format):
        self.format = call_format


@pytest.fixture
def lines():
    taken = []
    decisions.configure(as_json=True, sink=lambda *line: taken.append(line))
    yield taken
    decisions.configure(as_json=False)


# Guards against one call whose reading or answering ends the program and all others.
@pytest.mark.parametrize("name", ["read_call", "write_answer"])
async def test_an_error_of_the_format_fails_that_call_only(name, lines):
    handle = calls_handler(FakeDesk(), FakeParts(FailingFormat(name)))
    assert (await handle(CALL)).status == 500
    [(event, fields)] = lines
    assert (event, fields["error"]) == ("call-failed", "RecursionError")
    assert len(str(fields)) < 1_000


# Guards against an error in the decisions that is taken for that of one call.
async def test_an_error_of_the_decisions_stops_the_process():
    class FailingDesk(FakeDesk):
        async def ask(self, call):
            raise AssertionError("broken invariant")

    handle = calls_handler(FailingDesk(), FakeParts(FakeFormat()))
    with pytest.raises(AssertionError, match="broken invariant"):
        await handle(CALL)


# Guards against counts that a caller adds without end, and lines as long as its path.
async def test_what_a_caller_writes_is_counted_and_logged_in_bounds(lines):
    class RefusingFormat(FakeFormat):
        def read_call(self, call):
            return Error(Problem("unknown-call", "unknown"))

    desk = FakeDesk()
    handle = calls_handler(desk, FakeParts(RefusingFormat()))
    for number in range(20):
        await handle(HttpCall(f"M{number}" * 1_000, "/" * 60_000, b""))
    assert list(desk.counts) == ["calls.other.refused"]
    assert list(desk.latencies.histograms) == ["call.other"]
    assert max(len(str(fields)) for _, fields in lines) < 1_000


# Guards against orders that the metrics hide among unknown methods.
async def test_calls_are_counted_by_their_methods():
    desk = FakeDesk()
    handle = calls_handler(desk, FakeParts(FakeFormat()))
    for method in ("GET", "PUT", "POST", "DELETE", "PATCH"):
        await handle(HttpCall(method, "/x", b""))
    assert sorted(desk.counts) == [
        "calls.delete.done",
        "calls.get.done",
        "calls.other.done",
        "calls.post.done",
        "calls.put.done",
    ]
