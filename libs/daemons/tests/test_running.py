from __future__ import annotations

import signal

import pytest
import trio
import trio.testing

from kumquatmux_core.identity import VmId
from kumquatmux_core.lines import LineSettings, LineWriter
from kumquatmux_daemons.early_signals import SIGNALS, EarlySignals
from kumquatmux_daemons.running import Steering, Watch


class Seeds:
    """Takes the seeds, as a follower does."""

    def __init__(self):
        self.given = []

    def set_seeds(self, seeds):
        self.given.append(seeds)


@pytest.fixture
def early():
    before = {number: signal.getsignal(number) for number in SIGNALS}
    yield EarlySignals()
    for number, handler in before.items():
        signal.signal(number, handler)


@pytest.fixture
def steering(tmp_path, early):
    path = tmp_path / "settings.json"
    path.write_bytes(b"10.0.0.1")

    def read_seeds():
        return (VmId(path.read_text()),)

    return Steering(Watch(path, read_seeds, path.read_bytes()), early)


def lines():
    return LineWriter(LineSettings(file_descriptor=-1), "10.0.0.9")


def test_early_signals_are_noted_and_taken_once(early):
    early.install()
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGHUP):
        signal.raise_signal(number)
    assert early.asks_to_stop
    assert early.take() == [signal.SIGHUP, signal.SIGTERM]
    assert early.take() == [] and not early.asks_to_stop


# Guards against a change of the settings that is lost because it was told too early.
async def test_a_reload_asked_for_during_the_start_is_made_up_for(steering):
    steering.early.install()
    signal.raise_signal(signal.SIGHUP)
    seeds = Seeds()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(steering.watch_signals)
        await trio.testing.wait_all_tasks_blocked()
        steering.watch.path.write_text("10.0.0.2")
        steering.steer(seeds)
        nursery.cancel_scope.cancel()
    assert seeds.given == [("10.0.0.2",)]


# Guards against a change of the settings between their first reading and the watching.
async def test_settings_that_changed_during_the_start_are_reloaded(steering):
    steering.watch.path.write_text("10.0.0.2")
    seeds = Seeds()
    steering.steer(seeds)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(steering.watch_settings)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    assert seeds.given == [("10.0.0.2",)]


async def test_settings_that_did_not_change_are_not_reloaded(steering, autojump_clock):
    seeds = Seeds()
    steering.steer(seeds)
    with trio.move_on_after(10):
        await steering.watch_settings()
    assert seeds.given == []


# Guards against a program that can't be stopped while it waits for its surroundings.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_a_program_that_still_waits_obeys_a_signal_to_stop(
    steering, autojump_clock, number
):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(steering.watch_signals)
        await trio.testing.wait_all_tasks_blocked()
        signal.raise_signal(number)
        part = await steering.prepare(trio.sleep_forever, lines())
        nursery.cancel_scope.cancel()
    assert part is None
