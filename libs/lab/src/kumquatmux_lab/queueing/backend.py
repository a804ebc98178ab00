"""A backend server of the model: slots and a queue, first come first served."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from kumquatmux_lab.queueing.clock import SimulatedClock
from kumquatmux_lab.queueing.workload import Job


class Machine(NamedTuple):
    """How a backend server of the model behaves.

    Attributes:
        server: Its name.
        zone: Its availability zone.
        slots: Pieces of work it runs at once.
        claimed_slots: Slots it announces.
        lies: Whether it always reports that it is idle.
        cold_from_s: When it started, in seconds; it is slow at first.
        cold_s: How long it takes to warm up, in seconds.
        cold_factor: How much longer work runs right after the start.
        queue_limit: Work it lets wait before it sheds.
    """

    server: str
    zone: str
    slots: int = 2
    claimed_slots: int = 2
    lies: bool = False
    cold_from_s: float = -1000.0
    cold_s: float = 10.0
    cold_factor: float = 3.0
    queue_limit: int = 1_000_000


class Backend:
    """Runs jobs in its slots, the rest waits in order.

    Attributes:
        busy_s: Seconds of slots used so far.
        held: Jobs whose connection is open.
        most_connections: Most connections ever open.
        most_queued: Most work that ever waited at the server itself.
    """

    def __init__(
        self,
        machine: Machine,
        clock: SimulatedClock,
        started: Callable[[Job], None],
        done: Callable[[Job], None],
    ) -> None:
        self.machine = machine
        self.clock = clock
        self.started = started
        self.done = done
        self.running = 0
        self.queue: deque[Job] = deque()
        self.busy_s = 0.0
        self.held: dict[bytes, Job] = {}
        self.most_connections = 0
        self.most_queued = 0

    def take(self, job: Job) -> bool:
        """Run a job or let it wait; return False if it is shed."""
        if len(self.queue) >= self.machine.queue_limit:
            return False
        self.held[job.work_id] = job
        self.most_connections = max(self.most_connections, self.connections)
        self.queue.append(job)
        self.start()
        self.most_queued = max(self.most_queued, len(self.queue))
        return True

    def start(self) -> None:
        """Start waiting jobs while there are slots."""
        while self.queue and self.running < self.machine.slots:
            job = self.queue.popleft()
            self.running += 1
            self.started(job)
            run_s = job.run_s * self.slowness()
            self.busy_s += run_s
            self.clock.at(self.clock.now + run_s, partial(self.finish, job))

    def slowness(self) -> float:
        """Return how much longer work runs now than on a warm server."""
        age_s = self.clock.now - self.machine.cold_from_s
        cold = max(1.0 - age_s / self.machine.cold_s, 0.0)
        return 1.0 + (self.machine.cold_factor - 1.0) * cold

    def finish(self, job: Job) -> None:
        """End a job and start the next."""
        self.running -= 1
        self.done(job)
        self.start()

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self.held)

    def release(self, job: Job) -> None:
        """Close the connection of a job."""
        self.held.pop(job.work_id, None)

    def open_jobs(self) -> list[Job]:
        """Return the jobs whose connection is open."""
        return list(self.held.values())

    @property
    def reported_busy(self) -> int:
        """What it says is in progress."""
        return 0 if self.machine.lies else self.running + len(self.queue)
