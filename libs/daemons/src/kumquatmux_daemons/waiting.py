"""Waits for what a program needs of its surroundings: an address, a port, a disk."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import trio
from expression import Error, Ok, Result

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import Endpoint
from kumquatmux_core.problems import Problem

Needed = TypeVar("Needed")

RETRY_S = 0.5
"""Seconds between attempts."""

MAX_BUSY_SHARE = 0.2
"""Largest share of the time that attempts take, if one is slow."""

REPEAT_S = 10.0
"""Seconds after which a line about a problem that lasts is repeated."""


async def wait_for(
    attempt: Callable[[], Result[Needed, Problem]], event: str
) -> Needed:
    """Return what an attempt gives, once it succeeds.

    Args:
        attempt: Called until it succeeds.
        event: Event of the line about a problem, which comes at once, when it
            changes and every ``REPEAT_S``.
    """
    told: Problem | None = None
    told_at = 0.0
    while True:
        began = trio.current_time()
        tried = attempt()
        if tried.is_ok():
            return tried.ok
        now = trio.current_time()
        if tried.error != told or now - told_at >= REPEAT_S:
            told, told_at = tried.error, now
            log_decision(event, problem=told)
        await trio.sleep(max(RETRY_S, (now - began) / MAX_BUSY_SHARE))


async def bind_when_possible(
    bind: Callable[[Endpoint], Needed], endpoint: Endpoint
) -> Needed:
    """Return a bound socket, waiting while the port is taken or the address missing.

    Args:
        bind: Returns a socket bound to an endpoint; may raise ``OSError``.
        endpoint: The endpoint.
    """

    def attempt() -> Result[Needed, Problem]:
        try:
            return Ok(bind(endpoint))
        except OSError as error:
            detail = error.strerror or str(error)
            return Error(Problem("address-unavailable", detail, str(endpoint)))

    return await wait_for(attempt, "bind-waits")
