"""Asks a server for a connection, to see whether it still answers this VM."""

from __future__ import annotations

import errno

import trio

from kumquatmux_core.addresses import is_sendable
from kumquatmux_core.identity import Endpoint
from kumquatmux_tokens.probes import ProbeResult

RESULT_BY_ERROR = {
    errno.ECONNREFUSED: ProbeResult.REFUSED,
    errno.ECONNRESET: ProbeResult.REFUSED,
    errno.ETIMEDOUT: ProbeResult.UNANSWERED,
    errno.EHOSTUNREACH: ProbeResult.UNANSWERED,
    errno.ENETUNREACH: ProbeResult.UNANSWERED,
}
"""What an error of a connection says of the server; all others are of this VM."""


async def probe_server(endpoint: Endpoint, timeout_s: float) -> ProbeResult:
    """Return whether a server accepts a connection, which is closed at once.

    No request is sent on it, so that it occupies none of the server's slots.

    Args:
        endpoint: IP number and port of the server.
        timeout_s: Seconds after which the server counts as silent.
    """
    if not is_sendable(endpoint):
        return ProbeResult.NOT_MADE
    try:
        with trio.move_on_after(timeout_s), trio.socket.socket() as connection:
            await connection.connect(endpoint)
            return ProbeResult.ACCEPTED
    except OSError as error:
        return RESULT_BY_ERROR.get(error.errno or 0, ProbeResult.NOT_MADE)
    return ProbeResult.UNANSWERED
