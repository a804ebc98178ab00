"""A timer whose deadline may be moved forward while a task waits for it."""

from __future__ import annotations

from collections.abc import Callable

import trio


class Timer:
    """Runs work when it is due, and not in between.

    Attributes:
        scope: Scope of the current wait; its deadline is the time of the next run.
    """

    def __init__(self) -> None:
        self.scope = trio.CancelScope()

    def move_forward(self, due_at: float) -> None:
        """Run the work at a time, in seconds of trio's clock, unless it runs sooner."""
        if due_at < self.scope.deadline:
            self.scope.deadline = due_at

    async def run(self, work: Callable[[float], float]) -> None:
        """Run some work each time it is due, until cancelled.

        Args:
            work: Does what is due at a time and returns when it is due next.
        """
        while True:
            due_at = work(trio.current_time())
            self.scope = trio.CancelScope(deadline=due_at)
            with self.scope:
                await trio.sleep_forever()
