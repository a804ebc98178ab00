"""What every lean daemon does around its core: signals, settings and lines."""

from __future__ import annotations

import os
import resource
import signal
import sys
import traceback
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import trio

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_registry.follower import Follower

EXIT_OK = 0
EXIT_SETTINGS = 2

WATCH_S = 2.0
"""Seconds between looks at the settings file, which may change without a signal."""


DETAIL_CHARACTERS = 200
"""Longest text of an error in a log line."""


class Watch(NamedTuple):
    """The settings file and how the part of it is read that may change.

    Attributes:
        path: The file.
        read_seeds: Returns the seeds that it names, none if it cannot be read.
    """

    path: Path
    read_seeds: Callable[[], tuple[VmId, ...]]


def reload(watch: Watch, follower: Follower) -> None:
    """Read the seeds anew; what cannot be read changes nothing."""
    seeds = watch.read_seeds()
    log_decision("reloaded", file=watch.path, seeds=",".join(seeds))
    if seeds:
        follower.set_seeds(seeds)


async def watch_signals(watch: Watch, follower: Follower, stopping: trio.Event) -> None:
    """Reload at SIGHUP and begin to stop at SIGTERM or SIGINT, until cancelled."""
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                reload(watch, follower)
                continue
            log_decision("stopping", signal=signal.Signals(number).name)
            stopping.set()


async def watch_settings(watch: Watch, follower: Follower) -> None:
    """Reload when the content of the settings file changes, until cancelled."""
    known = _content(watch.path)
    while True:
        await trio.sleep(WATCH_S)
        content = _content(watch.path)
        if content and content != known:
            known = content
            reload(watch, follower)


def _content(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        log_decision("settings-unread", file=path, problem=error)
        return b""


def log_launch(role: str) -> None:
    """Log what a program runs on: interpreter, processor, descriptors."""
    log_decision(
        "launched",
        role=role,
        python=sys.version.partition(" ")[0],
        processor=os.uname().machine,
        descriptors=resource.getrlimit(resource.RLIMIT_NOFILE)[0],
    )


def log_failure(failure: BaseException) -> None:
    """Log each error that ends a program, with the place in the code."""
    for error in _single_errors(failure):
        frames = traceback.extract_tb(error.__traceback__)
        last = frames[-1] if frames else None
        log_decision(
            "program-failed",
            error=type(error).__name__,
            detail=str(error)[:DETAIL_CHARACTERS],
            place=f"{Path(last.filename).name}:{last.lineno}" if last else "",
            function=last.name if last else "",
        )


def _single_errors(failure: BaseException) -> Iterator[BaseException]:
    """Yield the errors of a group, or the error itself."""
    if not isinstance(failure, BaseExceptionGroup):
        yield failure
        return
    for error in failure.exceptions:
        yield from _single_errors(error)
