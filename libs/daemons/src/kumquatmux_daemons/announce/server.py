"""Serves the announce interface by hypercorn on trio."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio
from hypercorn.config import Config
from hypercorn.trio import serve as hypercorn_serve
from starlette.applications import Starlette

from kumquatmux_core.identity import Endpoint

GRACEFUL_TIMEOUT_SECONDS = 3.0
KEEP_ALIVE_SECONDS = 30.0
HEADER_LIMIT_BYTES = 8192


class TlsFiles(NamedTuple):
    """Paths of a certificate and its key in PEM form."""

    certificate: str
    key: str


async def serve(
    app: Starlette,
    endpoint: Endpoint,
    *,
    tls: TlsFiles | None = None,
    shutdown: Callable[[], Awaitable[None]] | None = None,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until the shutdown call returns.

    Args:
        app: The application.
        endpoint: Where it listens.
        tls: Certificate and key, None for plain HTTP.
        shutdown: Returns when no more calls are to be taken; None to run for good.
        task_status: Told the URLs once it listens.
    """
    config = Config()
    config.bind = [str(endpoint)]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = GRACEFUL_TIMEOUT_SECONDS
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.h11_max_incomplete_size = HEADER_LIMIT_BYTES
    config.include_server_header = False
    if tls is not None:
        config.certfile = tls.certificate
        config.keyfile = tls.key
    await hypercorn_serve(
        app,  # type: ignore[arg-type]
        config,
        shutdown_trigger=shutdown,
        task_status=task_status,
    )
