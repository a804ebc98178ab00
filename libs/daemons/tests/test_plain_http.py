from __future__ import annotations

import trio
from trio.testing import memory_stream_pair

from kumquatmux_daemons.plain_http.server import (
    BODY_BYTES,
    HttpAnswer,
    serve_connection,
)


async def answer_to(data, *, handler=None, close=True):
    """Return what the server sends for some bytes."""
    client, server = memory_stream_pair()

    async def echo(call):
        return HttpAnswer(200, call.method.encode() + b" " + call.target.encode())

    received = bytearray()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connection, server, handler or echo)
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
