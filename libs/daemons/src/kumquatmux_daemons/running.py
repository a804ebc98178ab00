"""What every lean daemon does around its core: signals, settings and lines."""

from __future__ import annotations

import errno
import os
import resource
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import NamedTuple, TypeVar

import trio
from expression import Result

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_core.lines import LineWriter
from kumquatmux_core.problems import DETAIL_CHARACTERS, Problem
from kumquatmux_daemons.early_signals import SIGNALS, EarlySignals
from kumquatmux_daemons.failures import place_of
from kumquatmux_registry.follower import Follower

EXIT_OK = 0
EXIT_SETTINGS = 2

WATCH_S = 2.0
"""Seconds between looks at the settings file, which may change without a signal."""

SETTINGS_BYTES = 1_048_576
"""Longest settings file."""

SETTINGS_WAIT_S = 2.0
"""Seconds in which a settings file that is not sound may yet be replaced at a start."""

SETTINGS_RETRY_S = 0.1

LINES_S = 0.1
"""Seconds between writes of lines while a program prepares its parts."""

Part = TypeVar("Part")
"""What a program prepares before it serves."""

Sound = TypeVar("Sound")
"""Settings that a program can start with."""


class Watch(NamedTuple):
    """The settings file and how the part of it is read that may change.

    Attributes:
        path: The file.
        read_seeds: Returns the seeds that it names, none if it cannot be read.
        content: What it held when the program read its settings.
    """

    path: Path
    read_seeds: Callable[[], tuple[VmId, ...]]
    content: bytes = b""


class Steering:
    """What signals and the settings file ask of a program, from its start on.

    Attributes:
        watch: The settings file.
        early: Signals that came before they were watched.
        stopping: Set when the program has to stop.
        follower: What the seeds are for, None until the program has it.
        is_reload_due: Whether to reload as soon as there is a follower.
    """

    def __init__(self, watch: Watch, early: EarlySignals) -> None:
        self.watch = watch
        self.early = early
        self.stopping = trio.Event()
        self.follower: Follower | None = None
        self.is_reload_due = False

    def steer(self, follower: Follower) -> None:
        """Hand the seeds to a follower from now on."""
        self.follower = follower
        if self.is_reload_due:
            self.reload()

    def reload(self) -> None:
        """Read the seeds anew; what cannot be read changes nothing."""
        if self.follower is None:
            self.is_reload_due = True
            return
        seeds = self.watch.read_seeds()
        log_decision("reloaded", file=self.watch.path, seeds=",".join(seeds))
        if seeds:
            self.follower.set_seeds(seeds)

    def take(self, number: int) -> None:
        """Reload at SIGHUP, begin to stop at any other signal."""
        if number == signal.SIGHUP:
            self.reload()
            return
        log_decision("stopping", signal=signal.Signals(number).name)
        self.stopping.set()

    async def watch_signals(self) -> None:
        """Take the early signals and all that follow, until cancelled."""
        with trio.open_signal_receiver(*SIGNALS) as signals:
            for number in self.early.take():
                self.take(number)
            async for number in signals:
                self.take(number)

    async def watch_settings(self) -> None:
        """Reload when the content of the settings file changes, until cancelled."""
        known = self.watch.content
        while True:
            content = _content(self.watch.path)
            if content and content != known:
                known = content
                self.reload()
            await trio.sleep(WATCH_S)

    async def prepare(
        self, prepared: Callable[[], Awaitable[Part]], lines: LineWriter
    ) -> Part | None:
        """Return what a preparation gives, None if the program has to stop first.

        Args:
            prepared: Prepares a part, however long its surroundings take.
            lines: Lines that are written meanwhile.
        """
        part: Part | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_at_stop, nursery.cancel_scope)
            nursery.start_soon(_write_lines, lines)
            part = await prepared()
            nursery.cancel_scope.cancel()
        return part

    async def _cancel_at_stop(self, scope: trio.CancelScope) -> None:
        await self.stopping.wait()
        scope.cancel()


async def _write_lines(lines: LineWriter) -> None:
    while True:
        lines.tick(trio.current_time())
        await trio.sleep(LINES_S)


def read_settings(path: Path) -> bytes:
    """Return the content of a settings file; raises ``OSError`` if it is too long.

    What is no file, such as a pipe that nobody writes to, is not waited for.
    """
    if path.exists() and not path.is_file():
        raise OSError(errno.EINVAL, "it is not a file", str(path))
    with path.open("rb") as file:
        content = file.read(SETTINGS_BYTES + 1)
    if len(content) > SETTINGS_BYTES:
        raise OSError(errno.EFBIG, os.strerror(errno.EFBIG), str(path))
    return content


def _content(path: Path) -> bytes:
    try:
        return read_settings(path)
    except OSError as error:
        log_decision("settings-unread", file=path, problem=error)
        return b""


def read_when_sound(
    read: Callable[[], Result[Sound, Problem]], early: EarlySignals
) -> Result[Sound, Problem]:
    """Return what is read at a start, reading again while the file may be replaced.

    Args:
        read: Returns the settings, or what is wrong with them.
        early: Signals that have come; one to stop ends the waiting.
    """
    give_up_at = time.monotonic() + SETTINGS_WAIT_S
    while True:
        settings = read()
        if settings.is_ok() or early.asks_to_stop or time.monotonic() >= give_up_at:
            return settings
        time.sleep(SETTINGS_RETRY_S)


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
        place, function = place_of(error)
        log_decision(
            "program-failed",
            error=type(error).__name__,
            detail=str(error)[:DETAIL_CHARACTERS],
            place=place,
            function=function,
        )


def _single_errors(failure: BaseException) -> Iterator[BaseException]:
    """Yield the errors of a group, or the error itself."""
    if not isinstance(failure, BaseExceptionGroup):
        yield failure
        return
    for error in failure.exceptions:
        yield from _single_errors(error)
