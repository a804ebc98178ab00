from __future__ import annotations

import socket

import pytest
import trio
from trio.testing import memory_stream_pair, wait_all_tasks_blocked

from kumquatmux_core.identity import Endpoint
from kumquatmux_daemons.plain_http.server import (
    BODY_BYTES,
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


async def test_a_body_that_is_too_long_is_refused():
    head = b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
    data = head % (BODY_BYTES + 1) + bytes(BODY_BYTES + 1)
    assert b" 413 " in await answer_to(data)


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
