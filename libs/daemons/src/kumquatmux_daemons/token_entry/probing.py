"""Asks a server for a connection, to see whether it still answers this VM."""

from __future__ import annotations

import errno

import trio

from kumquatmux_core.addresses import is_sendable
from kumquatmux_core.identity import Endpoint
from kumquatmux_tokens.probes import ProbeResult

RESET_PAUSE_S = 0.1

REQUEST_TIMES_S = (0.0, 0.2, 0.4)
"""Seconds after a probe's start at which a connection is asked for.

None is when a reset connection is asked for once more, so that the order is fixed.
"""

RESULT_BY_ERROR = {
    0: ProbeResult.ACCEPTED,
    errno.ECONNREFUSED: ProbeResult.REFUSED,
    errno.ECONNRESET: ProbeResult.REFUSED,
    errno.ETIMEDOUT: ProbeResult.UNANSWERED,
    errno.EHOSTUNREACH: ProbeResult.UNANSWERED,
    errno.ENETUNREACH: ProbeResult.UNANSWERED,
}
"""What an error of a connection says of the server; all others are of this VM."""

RESULTS_BY_WEIGHT = (
    ProbeResult.ACCEPTED,
    ProbeResult.REFUSED,
    ProbeResult.NOT_MADE,
    ProbeResult.UNANSWERED,
)
"""Results of the requests of one probe; the first that came is the probe's."""


async def probe_server(endpoint: Endpoint, timeout_s: float) -> ProbeResult:
    """Return whether a server accepts a connection, which is closed at once.

    No request is sent on it, so that it occupies none of the server's slots. A lost
    packet is no silence: while there is no answer, more connections are asked for.

    Args:
        endpoint: IP number and port of the server.
        timeout_s: Seconds after which the server counts as silent.
    """
    if not is_sendable(endpoint):
        return ProbeResult.NOT_MADE
    results: list[ProbeResult] = []
    with trio.move_on_after(timeout_s):
        async with trio.open_nursery() as nursery:
            for delay_s in REQUEST_TIMES_S:
                nursery.start_soon(_ask_once, endpoint, delay_s, results, nursery)
    return min(results, key=RESULTS_BY_WEIGHT.index, default=ProbeResult.UNANSWERED)


async def _ask_once(
    endpoint: Endpoint,
    delay_s: float,
    results: list[ProbeResult],
    nursery: trio.Nursery,
) -> None:
    """Ask for one connection after a delay; a result ends the others' requests.

    A disturbance may reset the connections of a machine, which says nothing of a
    server: one that is reset is asked for once more.
    """
    await trio.sleep(delay_s)
    error = await _connect(endpoint)
    if error == errno.ECONNRESET:
        results.append(ProbeResult.NOT_MADE)
        await trio.sleep(RESET_PAUSE_S)
        error = await _connect(endpoint)
    results.append(RESULT_BY_ERROR.get(error, ProbeResult.NOT_MADE))
    nursery.cancel_scope.cancel()


async def _connect(endpoint: Endpoint) -> int:
    """Return the error number of a connection that is closed at once, 0 without."""
    try:
        with trio.socket.socket() as connection:
            await connection.connect(endpoint)
    except OSError as error:
        return error.errno or errno.EIO
    return 0
