from __future__ import annotations

import contextlib
import socket

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from trio.testing import memory_stream_pair, wait_all_tasks_blocked

from kumquatmux_core import decisions
from kumquatmux_core.identity import Endpoint
from kumquatmux_daemons.plain_http.connections import ConnectionLimits, Connections
from kumquatmux_daemons.plain_http.server import (
    BODY_BYTES,
    BODY_PARTS,
    CALL_S,
    HttpAnswer,
    Shutdown,
    serve_connection,
    serve_http,
)


async def answer_to(data, *, handler=None, close=True):
    """Return what the server sends for some bytes."""
    client, server = memory_stream_pair()

    async def echo(call):
        return HttpAnswer(200, call.method.encode() + b" " + call.target.encode())

    received = bytearray()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connection, server, handler or echo, Shutdown())
        await client.send_all(data)
        if close:
            await client.send_eof()
        async for chunk in client:
            received += chunk
    return bytes(received)


async def test_calls_of_one_connection_are_answered_in_order():
    call = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
    received = await answer_to(call % 1 + call % 2)
    assert received.index(b"GET /1") < received.index(b"GET /2")
    assert received.count(b"HTTP/1.1 200") == 2


async def test_a_body_arrives_whole():
    bodies = []

    async def keep(call):
        bodies.append(call.body)
        return HttpAnswer(200)

    call = b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
    await answer_to(call, handler=keep)
    assert bodies == [b"hello"]


# Guards against an order without a body that waits for one until its caller gives up.
@pytest.mark.parametrize("method", [b"POST", b"DELETE"])
@pytest.mark.parametrize("length", [b"", b"Content-Length: 0\r\n"])
async def test_a_call_without_a_body_is_answered_at_once(method, length):
    call = method + b" /v1/x HTTP/1.1\r\nHost: x\r\n" + length + b"\r\n"
    received = await answer_to(call * 2)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.count(method + b" /v1/x") == 2


async def test_a_body_that_is_too_long_is_refused():
    head = b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
    data = head % (BODY_BYTES + 1) + bytes(BODY_BYTES + 1)
    assert b" 413 " in await answer_to(data)


# Guards against a body in parts of one byte, which kept all other calls waiting.
async def test_a_body_in_too_many_parts_is_refused():
    head = b"PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    part = b"1\r\nx\r\n"
    end = b"0\r\n\r\n"
    assert b" 413 " in await answer_to(head + part * BODY_PARTS + end)
    assert b" 200 " in await answer_to(head + part * (BODY_PARTS - 1) + end)


async def test_where_and_when_to_call_again_are_told():
    async def elsewhere(call):
        return HttpAnswer(307, location="http://10.0.0.4:1/x", retry_after_s=1)

    received = await answer_to(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n", handler=elsewhere)
    assert b"Location: http://10.0.0.4:1/x\r\n" in received
    assert b"Retry-After: 1\r\n" in received


async def test_bytes_that_are_no_call_end_the_connection_only():
    assert b"200" not in await answer_to(b"\x00\x01nonsense\r\n\r\n")


async def test_a_call_that_breaks_off_gets_no_answer():
    data = b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhal"
    assert await answer_to(data) == b""


async def shut_down(sent_at, handler_s):
    """Return what a call gets that is sent around a shutdown at 1 s."""
    client, server = memory_stream_pair()
    shutdown = Shutdown()
    received = bytearray()

    async def handle(call):
        await trio.sleep(handler_s)
        return HttpAnswer(200)

    async def call():
        await trio.sleep(sent_at)
        await client.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        async for chunk in client:
            received.extend(chunk)

    with trio.fail_after(10.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_connection, server, handle, shutdown)
            nursery.start_soon(shutdown.close_idle, trio.CancelScope())
            nursery.start_soon(call)
            await trio.sleep(1.0)
            shutdown.requested.set()
    return bytes(received)


@pytest.mark.parametrize("sent_at", [0.9, 1.1])
async def test_a_call_that_was_just_accepted_is_answered_at_a_shutdown(
    autojump_clock, sent_at
):
    assert b" 200 " in await shut_down(sent_at, 2.0)


async def test_a_connection_without_a_call_is_closed_at_a_shutdown(autojump_clock):
    client, server = memory_stream_pair()
    shutdown = Shutdown()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connection, server, None, shutdown)
        nursery.start_soon(shutdown.close_idle, trio.CancelScope())
        await trio.sleep(1.0)
        shutdown.requested.set()
        assert await client.receive_some() == b""


async def test_a_connection_that_breaks_while_idle_leaves_nothing_behind():
    client, server = memory_stream_pair()
    shutdown = Shutdown()

    async def broken(max_bytes=None):
        raise trio.BrokenResourceError

    server.receive_stream.receive_some = broken
    server.receive_some = broken
    await serve_connection(server, None, shutdown)
    assert shutdown.idle == set()


async def test_connections_that_still_queue_at_a_shutdown_are_answered():
    shutdown = Shutdown()
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        place = Endpoint(*probe.getsockname())

    async def answer(call):
        return HttpAnswer(200)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, place, answer, shutdown)
        await wait_all_tasks_blocked()
        callers = [socket.create_connection(place) for _ in range(5)]
        for caller in callers:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        shutdown.requested.set()
    for caller in callers:
        with caller:
            assert caller.recv(64).startswith(b"HTTP/1.1 200")


PUT = b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


async def answer_ok(call):
    return HttpAnswer(200)


async def connect(nursery, connections, handler=answer_ok):
    """Open a connection; return the caller's end once the server waits for it."""
    client, server = memory_stream_pair()
    nursery.start_soon(serve_connection, server, handler, Shutdown(), connections)
    await wait_all_tasks_blocked()
    return client


# Guards against idle and slow callers that keep all others out.
@pytest.mark.parametrize("sent", [b"", b"PUT / HT", PUT + b"half"])
async def test_a_caller_that_waits_gives_way_to_a_new_one(sent):
    connections = Connections(ConnectionLimits(max_connections=3))
    async with trio.open_nursery() as nursery:
        slow = [await connect(nursery, connections) for _ in range(3)]
        for one in slow:
            await one.send_all(sent)
            await wait_all_tasks_blocked()
        sound = await connect(nursery, connections)
        await sound.send_all(GET)
        assert b" 200 " in await sound.receive_some()
        assert await slow[0].receive_some() == b""
        nursery.cancel_scope.cancel()
    assert (connections.open_count, connections.held_bytes) == (0, 0)
    assert connections.waiting == {}


# Guards against bodies under way that fill the memory.
async def test_bodies_under_way_are_bounded():
    limits = ConnectionLimits(max_held_bytes=250)
    head = b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 81\r\n\r\n"
    connections = Connections(limits)
    async with trio.open_nursery() as nursery:
        slow = [await connect(nursery, connections) for _ in range(4)]
        for one in slow:
            await one.send_all(head + bytes(80))
            await wait_all_tasks_blocked()
            assert connections.held_bytes <= limits.max_held_bytes
        assert await slow[0].receive_some() == b""
        await slow[3].send_all(b"x")
        assert b" 200 " in await slow[3].receive_some()
        nursery.cancel_scope.cancel()
    assert connections.held_bytes == 0


# Guards against answers that callers don't read and that fill the memory.
async def test_answers_that_are_not_read_are_bounded():
    connections = Connections(ConnectionLimits(max_held_bytes=2_500))

    async def answer_long(call):
        return HttpAnswer(200, bytes(1_000))

    class Unread(trio.abc.Stream):
        def __init__(self):
            self.received = [GET]
            self.is_closed = False

        async def send_all(self, data):
            await trio.sleep_forever()

        async def wait_send_all_might_not_block(self):
            await trio.sleep_forever()

        async def receive_some(self, max_bytes=None):
            return self.received.pop()

        async def aclose(self):
            self.is_closed = True

    streams = [Unread() for _ in range(4)]
    async with trio.open_nursery() as nursery:
        for one in streams:
            nursery.start_soon(
                serve_connection, one, answer_long, Shutdown(), connections
            )
            await wait_all_tasks_blocked()
        closed = [one.is_closed for one in streams]
        nursery.cancel_scope.cancel()
    assert closed == [True, True, False, False]


# Guards against a call that trickles in for ever.
async def test_a_call_that_never_ends_is_given_up(autojump_clock):
    client, server = memory_stream_pair()

    async def trickle():
        await client.send_all(
            b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n"
        )
        with contextlib.suppress(trio.BrokenResourceError):
            while True:
                await client.send_all(b"x")
                await trio.sleep(1.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trickle)
        await serve_connection(server, answer_ok, Shutdown())
    assert trio.current_time() < 2 * CALL_S


# Guards against a log line as long as what a caller sent.
async def test_what_cannot_be_read_is_logged_briefly():
    lines = []
    decisions.configure(
        as_json=True, sink=lambda event, fields: lines.append((event, fields))
    )
    try:
        await answer_to(b"GET / HTTP/1.1\r\n" + b"\x00" * 9_000 + b"\r\n\r\n")
    finally:
        decisions.configure(as_json=False)
    [(event, fields)] = lines
    assert event == "call-unread"
    assert len(str(fields["problem"])) <= 200


HEADS = st.sampled_from(
    [
        b"GET / HTTP/1.1",
        b"PUT /v1/config HTTP/1.1",
        b"HEAD / HTTP/1.1",
        b"CONNECT a:1 HTTP/1.1",
        b"OPTIONS * HTTP/1.0",
        b"GET / HTTP/9.9",
        b"GET /" + b"x" * 70_000 + b" HTTP/1.1",
        b"G\xc3\xa9T / HTTP/1.1",
        b"",
    ]
)
FIELDS = st.lists(
    st.sampled_from(
        [
            b"Host: x",
            b"Content-Length: 3",
            b"Content-Length: -3",
            b"Content-Length: 99999999999999999999",
            b"Transfer-Encoding: chunked",
            b"Transfer-Encoding: gzip",
            b"Expect: 100-continue",
            b"Upgrade: websocket",
            b"Connection: close",
            b"Connection: upgrade",
            b"X-\xff: \xff",
            b"no colon",
        ]
    ),
    max_size=4,
)
BODIES = st.sampled_from(
    [b"", b"abc", b"3\r\nabc\r\n0\r\n\r\n", b"ffffffffffffffffffffff\r\n", b"zz\r\n"]
)


# Guards against heads and bodies that no one thought of.
@given(st.lists(st.tuples(HEADS, FIELDS, BODIES), max_size=3), st.binary(max_size=9))
def test_any_calls_are_answered_or_end_their_connection_only(calls, rest):
    data = b"".join(
        head + b"\r\n" + b"".join(field + b"\r\n" for field in fields) + b"\r\n" + body
        for head, fields, body in calls
    )
    trio.run(answer_to, data + rest)
