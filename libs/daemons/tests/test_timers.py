from __future__ import annotations

import math

import trio

from kumquatmux_daemons.timers import Timer


async def runs(autojump_clock, plan, move):
    """Return the times of the runs; ``plan`` says when the next is due."""
    timer, times = Timer(), []

    def work(now):
        times.append(now)
        return now + plan

    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run, work)
        await trio.sleep(1.0)
        timer.move_forward(trio.current_time() + move)
        await trio.sleep(9.5)
        nursery.cancel_scope.cancel()
    start = times[0]
    return [round(at - start, 6) for at in times]


async def test_work_runs_only_when_it_is_due(autojump_clock):
    assert await runs(autojump_clock, 4.0, 60.0) == [0.0, 4.0, 8.0]


async def test_a_deadline_moved_forward_runs_the_work_sooner(autojump_clock):
    assert await runs(autojump_clock, 4.0, 0.5) == [0.0, 1.5, 5.5, 9.5]


async def test_work_that_is_never_due_waits_until_it_is_moved(autojump_clock):
    assert await runs(autojump_clock, math.inf, 0.5) == [0.0, 1.5]
