"""One run of the model: a policy, a workload and backend servers."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple, Protocol

from kumquatmux_core.identity import ServerId, ServiceName, ZoneName
from kumquatmux_lab.queueing.backend import Backend, Machine
from kumquatmux_lab.queueing.clock import SimulatedClock
from kumquatmux_lab.queueing.figures import Figures
from kumquatmux_lab.queueing.workload import Job, Workload, jobs
from kumquatmux_placement.events import (
    Answered,
    Closed,
    Event,
    LoadReported,
    Outcome,
    Placed,
    Refused,
    Server,
    ServersChanged,
    ServerState,
    Shed,
    Started,
    Submit,
    Tick,
    Work,
)
from kumquatmux_placement.settings import PlacementSettings

SERVICE = ServiceName("entries")
REPORT_PERIOD_S = 0.1
REPORT_DELAY_S = 1.0
DRAIN_S = 30.0


class Policy(Protocol):
    """What the model asks of a policy."""

    def handle(self, event: Event, now: float) -> list[Outcome]:
        """Take in one event and return what it decided."""

    def next_deadline(self) -> float:
        """Return when a tick is needed, in seconds."""


MakePolicy = Callable[[PlacementSettings, random.Random], Policy]


class Scenario(NamedTuple):
    """What a run is made of.

    Attributes:
        name: Short name for tables.
        workload: The arrivals.
        machines: The backend servers.
        link_s: One-way time between availability zones, in seconds.
        placer_zone: Where the placer runs; empty if it costs nothing to reach.
        settings: Settings of placement.
        retries: How often a caller tries again after a refusal.
        retry_after_s: How long it waits before, in seconds.
        window_s: Start and end of the time that has figures of its own, in seconds.
    """

    name: str
    workload: Workload
    machines: tuple[Machine, ...]
    link_s: float = 0.0
    placer_zone: str = ""
    settings: PlacementSettings = PlacementSettings()
    retries: int = 0
    retry_after_s: float = 0.1
    window_s: tuple[float, float] = (0.0, 0.0)


class Run:
    """Drives one policy through one scenario.

    Attributes:
        figures: What came of it.
    """

    def __init__(self, scenario: Scenario, make: MakePolicy, seed: int) -> None:
        self.scenario = scenario
        self.make = make
        self.seed = seed
        self.clock = SimulatedClock()
        self.policy = self.new_policy()
        self.figures = Figures(scenario.window_s)
        self.jobs: dict[bytes, Job] = {}
        self.attempts: dict[bytes, int] = {}
        self.backends = {
            machine.server: Backend(machine, self.clock, self.started, self.done)
            for machine in scenario.machines
        }
        self.bound: dict[bytes, str] = {}
        self.next_tick = float("inf")

    def new_policy(self) -> Policy:
        """Return a policy that knows nothing."""
        return self.make(self.scenario.settings, self.new_random())

    def new_random(self) -> random.Random:
        """Return randomness of the run's seed."""
        return random.Random(self.seed)

    def run(self) -> Figures:
        """Run all of it and return the figures."""
        self.tell(self.servers_changed())
        self.arrivals = jobs(self.scenario.workload, self.seed)
        self.arrive_next()
        self.clock.at(REPORT_PERIOD_S, self.report)
        self.clock.run(self.scenario.workload.duration_s + DRAIN_S)
        self.figures.end(list(self.backends.values()), self.jobs.values())
        return self.figures

    def servers_changed(self) -> ServersChanged:
        """Return the announcement of all servers."""
        servers = [
            Server(
                ServerId(machine.server),
                ZoneName(machine.zone),
                machine.claimed_slots,
                2000,
                ServerState.READY,
                machine.cold_from_s,
            )
            for machine in self.scenario.machines
        ]
        return ServersChanged(SERVICE, tuple(servers))

    def arrive_next(self) -> None:
        """Let the next job arrive at its time."""
        job = next(self.arrivals, None)
        if job is None:
            return
        self.clock.at(job.arrival, lambda: self.arrive(job))

    def arrive(self, job: Job) -> None:
        """Send one job to the placer."""
        self.jobs[job.work_id] = job
        self.submit(job, attempt=0)
        self.arrive_next()

    def submit(self, job: Job, attempt: int) -> None:
        """Ask for a server, after the way to the placer."""
        self.attempts[job.work_id] = attempt
        work = Work(
            job.work_id,
            SERVICE,
            job.caller,
            self.clock.now,
            size=job.size,
            attempt=attempt,
        )
        delay_s = self.link_s(job.zone, self.placer_zone(job))
        self.later(delay_s, lambda: self.tell(Submit(work)))

    def later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call something after a delay, at once if there is none."""
        if delay_s == 0.0:
            call()
        else:
            self.clock.at(self.clock.now + delay_s, call)

    def placer_zone(self, job: Job) -> str:
        """Return where a job is placed: at the placer or where it arrived."""
        return self.scenario.placer_zone or job.zone

    def link_s(self, one: str, other: str) -> float:
        """Return the one-way time between two zones, in seconds."""
        return 0.0 if one == other else self.scenario.link_s

    def tell(self, event: Event) -> None:
        """Give the policy an event and carry out what it decides."""
        self.carry_out(self.policy.handle(event, self.clock.now))

    def carry_out(self, outcomes: list[Outcome]) -> None:
        """Carry out what the policy decided and set the next tick."""
        for outcome in outcomes:
            if isinstance(outcome, Placed):
                self.place(outcome)
            elif isinstance(outcome, Refused):
                self.refuse(outcome)
        deadline = self.policy.next_deadline()
        if deadline < self.next_tick:
            self.next_tick = deadline
            self.clock.at(deadline, self.tick)

    def tick(self) -> None:
        """Tell the policy that time has passed, unless a later tick was set."""
        if self.clock.now < self.next_tick:
            return
        self.next_tick = float("inf")
        self.tell(Tick())

    def place(self, placed: Placed) -> None:
        """Send a job to its server."""
        job = self.jobs[placed.work_id]
        if placed.work_id in self.bound:
            self.figures.twice += 1
            return
        self.bound[placed.work_id] = placed.server
        backend = self.backends[placed.server]
        self.policy.handle(Started(placed.work_id, placed.server), self.clock.now)
        delay_s = self.link_s(self.placer_zone(job), backend.machine.zone)
        self.later(delay_s, lambda: self.run_job(job, backend))

    def run_job(self, job: Job, backend: Backend) -> None:
        """Hand a job to its server."""
        if not backend.take(job):
            self.figures.shed += 1
            server = ServerId(backend.machine.server)
            self.tell(Shed(job.work_id, server))

    def refuse(self, refused: Refused) -> None:
        """Let the caller try again, or count the refusal."""
        job = self.jobs[refused.work_id]
        attempt = self.attempts[refused.work_id] + 1
        if attempt > self.scenario.retries:
            self.figures.refuse(job)
            return
        self.figures.retries += 1
        after = self.clock.now + self.scenario.retry_after_s
        self.clock.at(after, lambda: self.submit(job, attempt))

    def started(self, job: Job) -> None:
        """Note how long a job has waited for its server."""
        self.figures.start(job, self.clock.now)

    def done(self, job: Job) -> None:
        """Pass the answer to the placer, and close or keep the connection."""
        server = ServerId(self.bound[job.work_id])
        backend = self.backends[server]
        delay_s = self.link_s(backend.machine.zone, self.placer_zone(job))
        self.later(delay_s, lambda: self.tell(Answered(job.work_id, server)))
        closes_s = job.feed_s + delay_s
        self.later(closes_s, lambda: self.close(job, backend))

    def close(self, job: Job, backend: Backend) -> None:
        """Close the connection of a job."""
        backend.release(job)
        self.tell(Closed(job.work_id, ServerId(backend.machine.server)))

    def report(self) -> None:
        """Let every server report its load, to arrive late."""
        for backend in self.backends.values():
            report = LoadReported(
                ServerId(backend.machine.server),
                backend.reported_busy,
                backend.connections,
                REPORT_DELAY_S,
            )
            arrives_s = self.clock.now + REPORT_DELAY_S
            self.clock.at(arrives_s, partial(self.tell, report))
        if self.clock.now < self.scenario.workload.duration_s:
            self.clock.at(self.clock.now + REPORT_PERIOD_S, self.report)
