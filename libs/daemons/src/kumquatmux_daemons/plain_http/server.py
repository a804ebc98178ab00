"""Serves HTTP/1.1 calls over TCP, one task a connection."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11
import trio

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import Endpoint
from kumquatmux_core.problems import DETAIL_CHARACTERS
from kumquatmux_daemons.plain_http.connections import (
    Connections,
    DisplacedError,
    Place,
)
from kumquatmux_daemons.waiting import bind_when_possible

BACKLOG = 512
READ_BYTES = 65_536
BODY_BYTES = 1_048_576
"""Longest body taken; a longer one is refused with 413."""

BODY_PARTS = 4096
"""Most parts in which a body may come; one in more is refused with 413."""

IDLE_S = 30.0
"""Seconds a connection may wait for its next call, or a call for its next bytes."""

CALL_S = 30.0
"""Seconds in which a call has to arrive in full."""


class HttpCall(NamedTuple):
    """One call.

    Attributes:
        method: Its method, in capitals.
        target: Its path with the query.
        body: Its whole body.
    """

    method: str
    target: str
    body: bytes


class HttpAnswer(NamedTuple):
    """The answer to one call.

    Attributes:
        status: Status code.
        body: The body, empty for none.
        content_type: Type of the body.
        location: Where to call instead, empty for none.
        retry_after_s: Seconds after which to call again, 0 for nothing said.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    location: str = ""
    retry_after_s: int = 0


LAST_CALLS_S = 0.3
"""Seconds for calls already sent to arrive once no connection is accepted any more."""

Handler = Callable[[HttpCall], Awaitable[HttpAnswer]]


class Shutdown:
    """Graceful shutdown of a server: calls that arrived are answered, none is cut.

    Attributes:
        requested: Set when no further connection is to be accepted.
        idle: Scopes of the connections that wait for a call.
    """

    def __init__(self) -> None:
        self.requested = trio.Event()
        self.idle: set[trio.CancelScope] = set()

    async def close_idle(self, accepting: trio.CancelScope) -> None:
        """End the accepting and, soon after, the idle connections, when requested."""
        await self.requested.wait()
        accepting.cancel()
        await trio.sleep(LAST_CALLS_S)
        for scope in list(self.idle):
            scope.cancel()


async def serve_http(
    bind: Endpoint, handler: Handler, shutdown: Shutdown | None = None
) -> None:
    """Serve calls at an address, until cancelled or shut down.

    It waits while the address cannot be bound.

    Args:
        bind: The address.
        handler: Answers calls.
        shutdown: Lets the server end once the calls that arrived are answered.
    """
    bound = await bind_when_possible(listen, bind)
    listener = trio.socket.from_stdlib_socket(bound)
    shutdown = shutdown or Shutdown()
    connections = Connections()
    async with trio.open_nursery() as nursery:
        accepting = trio.CancelScope()
        nursery.start_soon(shutdown.close_idle, accepting)
        with accepting:
            while True:
                try:
                    connection, _ = await listener.accept()
                except OSError as error:
                    log_decision("accept-failed", endpoint=bind, problem=error)
                    connections.displace_one()
                    await trio.sleep(0.1)
                    continue
                stream = trio.SocketStream(connection)
                nursery.start_soon(
                    serve_connection, stream, handler, shutdown, connections
                )
        for connection in _close_listener(bound):
            stream = trio.SocketStream(connection)
            nursery.start_soon(serve_connection, stream, handler, shutdown, connections)


def _close_listener(listener: socket.socket) -> list[trio.socket.SocketType]:
    """Close a listening socket; return the connections that it had queued."""
    queued = []
    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            queued.append(trio.socket.from_stdlib_socket(connection))
    listener.close()
    return queued


def listen(bind: Endpoint) -> socket.socket:
    """Return a listening socket that does not block; may raise ``OSError``."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(bind)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


async def serve_connection(
    stream: trio.abc.Stream,
    handler: Handler,
    shutdown: Shutdown,
    connections: Connections | None = None,
) -> None:
    """Serve the calls of one connection, one after the other."""
    connections = connections or Connections()
    connection = h11.Connection(h11.SERVER)
    try:
        async with stream:
            with connections.opened() as place:
                caller = Caller(stream, connection, place)
                while (
                    await serve_call(caller, handler, shutdown)
                    and not shutdown.requested.is_set()
                ):
                    connection.start_next_cycle()
    except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
        # The caller went away or fell silent: it calls again if it needs an answer.
        return
    except DisplacedError:
        log_decision("call-unread", problem="displaced by other connections")
    except (h11.RemoteProtocolError, h11.LocalProtocolError) as error:
        log_decision("call-unread", problem=str(error)[:DETAIL_CHARACTERS])


class Caller(NamedTuple):
    """The other end of a connection.

    Attributes:
        stream: Its bytes.
        connection: The state of the protocol.
        place: What the connection occupies.
    """

    stream: trio.abc.Stream
    connection: h11.Connection
    place: Place


async def serve_call(caller: Caller, handler: Handler, shutdown: Shutdown) -> bool:
    """Serve one call; return whether another one may follow."""
    request = await _first_event(caller, shutdown)
    if not isinstance(request, h11.Request):
        return False
    with trio.fail_after(CALL_S):
        body = await _read_body(caller)
    if body is None:
        return False
    if isinstance(body, HttpAnswer):
        await _send(caller, body)
        return False
    call = HttpCall(request.method.decode(), request.target.decode(), body)
    answer = await handler(call)
    caller.place.release()
    await _send(caller, answer)
    connection = caller.connection
    return connection.our_state is h11.DONE and connection.their_state is h11.DONE


async def _read_body(caller: Caller) -> bytes | HttpAnswer | None:
    """Return the body of a call, a refusal if it is too long, None if it broke off."""
    body = bytearray()
    for _ in range(BODY_PARTS):
        event = await _next_event(caller)
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            return None
        caller.place.hold(len(event.data))
        body += event.data
        if len(body) > BODY_BYTES:
            break
    return HttpAnswer(413)


async def _first_event(caller: Caller, shutdown: Shutdown) -> object:
    """Return the event that begins a call, None if a shutdown ends the waiting."""
    with trio.CancelScope() as idle:
        shutdown.idle.add(idle)
        try:
            return await _next_event(caller)
        finally:
            shutdown.idle.discard(idle)
    return None


async def _next_event(caller: Caller) -> object:
    connection = caller.connection
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        with caller.place.waiting(), trio.fail_after(IDLE_S):
            if connection.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await caller.stream.send_all(connection.send(go_on) or b"")
            received = await caller.stream.receive_some(READ_BYTES)
        connection.receive_data(bytes(received))


async def _send(caller: Caller, answer: HttpAnswer) -> None:
    connection = caller.connection
    headers = [("Content-Length", str(len(answer.body)))]
    if answer.body:
        headers.append(("Content-Type", answer.content_type))
    if answer.location:
        headers.append(("Location", answer.location))
    if answer.retry_after_s:
        headers.append(("Retry-After", str(answer.retry_after_s)))
    response = h11.Response(status_code=answer.status, headers=headers)
    data = connection.send(response) or b""
    if answer.body:
        data += connection.send(h11.Data(data=answer.body)) or b""
    data += connection.send(h11.EndOfMessage()) or b""
    caller.place.hold(len(data))
    with caller.place.waiting(), trio.fail_after(IDLE_S):
        await caller.stream.send_all(data)
    caller.place.release()
