"""Where calls come in, from the start of the program to its last answer."""

from __future__ import annotations

import trio

from kumquatmux_core.identity import Endpoint
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.plain_http.server import (
    Handler,
    HttpAnswer,
    HttpCall,
    Shutdown,
    serve_http,
)
from kumquatmux_daemons.registrar.calls import Answer, CallFormat, Outcome

LAST_ANSWERS_S = 1.0
"""Longest seconds in which the calls that arrived get their answers at a stop."""


class Door:
    """Takes calls, and puts them off until there is somebody to handle them.

    Attributes:
        format: How calls look on the wire.
        handler: What answers calls now.
        shutdown: Graceful shutdown of the server that takes the calls.
        closed: Set when the last call is answered after it.
    """

    def __init__(self, call_format: CallFormat) -> None:
        self.format = call_format
        self.handler: Handler = self._put_off
        self.shutdown = Shutdown()
        self.closed = trio.Event()

    async def serve(self, bind: Endpoint) -> None:
        """Serve calls until the door is closed and the last one is answered."""
        await serve_http(bind, self._handle, self.shutdown)
        self.closed.set()

    async def close(self) -> None:
        """Accept no more connections and wait for the last answers."""
        self.shutdown.requested.set()
        with trio.move_on_after(LAST_ANSWERS_S):
            await self.closed.wait()

    async def _handle(self, call: HttpCall) -> HttpAnswer:
        return await self.handler(call)

    async def _put_off(self, call: HttpCall) -> HttpAnswer:
        problem = Problem("no-answer-yet", "this VM waits for its data folder or port")
        answer = Answer(Outcome.UNAVAILABLE, problem=problem)
        return self.format.write_answer(call, answer)
