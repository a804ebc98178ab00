"""Starting a daemon from its settings file."""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from pathlib import Path

import zmq
from absl import logging

from kumquatmux_daemons.commands.exit_codes import ExitCode
from kumquatmux_settings.node import NodeSettings, load_node


def run_daemon(role: str, path: Path, *, found: bool = False) -> int:
    """Run a daemon until it stops and return its exit code.

    Args:
        role: ``entry`` or ``control``.
        path: The process's own settings file.
        found: Whether a control daemon may found a cluster.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    loaded = load_node(path)
    if loaded.is_error():
        for problem in loaded.error:
            logging.error("%s", problem)
        return ExitCode.USAGE
    settings = loaded.ok
    for warning in settings.warnings:
        logging.warning("%s", warning)
    if settings.role != role:
        logging.error("%s is for a daemon of role %s", path, settings.role)
        return ExitCode.USAGE
    return _until_stopped(settings, found)


def _until_stopped(settings: NodeSettings, found: bool) -> int:
    try:
        return _daemon(settings, found)()
    except* (OSError, zmq.ZMQError) as group:
        logging.error("cannot go on: %s", _first(group))
    return ExitCode.USAGE


def _daemon(settings: NodeSettings, found: bool) -> Callable[[], int]:
    """Return the daemon's main call; only its own modules are loaded."""
    main = import_module(f"kumquatmux_daemons.{settings.role}.daemon").main
    if settings.role == "entry":
        return lambda: main(settings)
    return lambda: main(settings, found=found)


def _first(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
