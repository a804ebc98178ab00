from __future__ import annotations

import socket

import pytest
import trio
import trio.testing
from expression import Error, Ok

from kumquatmux_core import decisions
from kumquatmux_core.identity import Endpoint
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.entry.port import PacketPort
from kumquatmux_daemons.plain_http.server import HttpAnswer, listen, serve_http
from kumquatmux_daemons.waiting import bind_when_possible, wait_for

LOOPBACK = "127.0.41.2"
"""An address from which nothing connects, so that a free port stays free."""

STUCK_S = 60


@pytest.fixture
def lines():
    told = []
    decisions.configure(as_json=False, sink=lambda *line: told.append(line))
    yield told
    decisions.configure(as_json=False)


def taken(kind):
    holder = socket.socket(socket.AF_INET, kind)
    holder.bind((LOOPBACK, 0))
    if kind == socket.SOCK_STREAM:
        holder.listen()
    return holder, Endpoint(*holder.getsockname())


# Guards against a program that ends because its port is still held.
@pytest.mark.parametrize(
    ("bind", "kind"), [(PacketPort, socket.SOCK_DGRAM), (listen, socket.SOCK_STREAM)]
)
async def test_a_taken_port_is_waited_for(lines, autojump_clock, bind, kind):
    holder, endpoint = taken(kind)
    with trio.move_on_after(60):
        await bind_when_possible(bind, endpoint)
    assert 5 <= len(lines) <= 8
    assert lines[0] == (
        "bind-waits",
        {
            "problem": Problem(
                "address-unavailable", "Address already in use", str(endpoint)
            )
        },
    )
    holder.close()
    with trio.fail_after(STUCK_S):
        bound = await bind_when_possible(bind, endpoint)
    bound.close()


# Guards against a program that ends because its address comes later.
async def test_an_address_that_is_not_there_is_waited_for(lines, autojump_clock):
    with trio.move_on_after(60):
        await bind_when_possible(PacketPort, Endpoint("192.0.2.1", 8172))
    assert 5 <= len(lines) <= 8
    assert lines[0][1]["problem"].detail == "Cannot assign requested address"


# Guards against a lasting problem that hides the one that takes its place.
async def test_a_problem_that_changes_is_told_at_once(lines, autojump_clock):
    results = [
        Error(Problem("a", "")),
        Error(Problem("a", "")),
        Error(Problem("b", "")),
    ]

    def attempt():
        return results.pop(0) if results else Ok("it")

    assert await wait_for(attempt, "waits") == "it"
    assert [fields["problem"].code for _, fields in lines] == ["a", "b"]


# Guards against metrics that keep a program from serving, or never come.
async def test_a_server_whose_port_is_taken_serves_once_it_is_free(lines):
    holder, endpoint = taken(socket.SOCK_STREAM)

    async def answer(call):
        return HttpAnswer(200, b"{}")

    with trio.fail_after(STUCK_S):
        await serve_and_ask(lines, holder, endpoint, answer)


async def serve_and_ask(lines, holder, endpoint, answer):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, endpoint, answer)
        await trio.testing.wait_all_tasks_blocked()
        assert [event for event, _ in lines] == ["bind-waits"]
        holder.close()
        stream = None
        while stream is None:
            try:
                stream = await trio.open_tcp_stream(*endpoint)
            except OSError:
                await trio.sleep(0.05)
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await stream.receive_some(99)).startswith(b"HTTP/1.1 200")
        nursery.cancel_scope.cancel()
