"""Serving an application over HTTPS inside a trio loop."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from kumquatmux_core.identity import Endpoint

GRACE_S = 5.0
KEEP_ALIVE_S = 30.0


class ServeSettings(NamedTuple):
    """Where and with which certificate an application is served.

    Attributes:
        endpoint: IPv4 number and TCP port.
        certificate_file: PEM certificate.
        key_file: PEM private key.
        grace_s: How long requests in progress may go on after the stop.
    """

    endpoint: Endpoint
    certificate_file: Path
    key_file: Path
    grace_s: float = GRACE_S


async def serve_https(
    app: Any,
    settings: ServeSettings,
    stop: Callable[[], Awaitable[None]],
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``stop`` returns, then let requests in progress finish.

    Args:
        app: ASGI application.
        settings: Where to serve it.
        stop: Returns when the server is to stop.
        task_status: Told when the server accepts connections.
    """
    config = Config()
    config.bind = [str(settings.endpoint)]
    config.certfile = str(settings.certificate_file)
    config.keyfile = str(settings.key_file)
    config.graceful_timeout = settings.grace_s
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    await serve(app, config, shutdown_trigger=stop, task_status=task_status)
