"""Seeded runs of whole entry VMs under load and faults."""

from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from kumquatmux_core import decisions
from kumquatmux_core.identity import Endpoint, ServiceName, VmId, ZoneName
from kumquatmux_lab.faultruns import site_history as history
from kumquatmux_lab.faultruns.report import RunReport
from kumquatmux_lab.faultruns.site_world import Plan, World
from kumquatmux_lab.standin.caller import StandInCaller
from kumquatmux_settings.change import Edit

ENTRIES = (ServiceName("entries"), Endpoint("127.66.0.50", 80))
PAGESETTER = (ServiceName("pagesetter"), Endpoint("127.66.0.51", 80))
COOPERATIVE = Plan(
    zones=(ZoneName("cnx-a"), ZoneName("cnx-b"), ZoneName("lpg-a")),
    entries_per_zone=2,
    services=(ENTRIES, PAGESETTER),
    servers=(7, 3),
    slots=2,
)
TOKEN_HASH = "0" * 64
READY_S = 6.0
FAULTS_S = 40.0
CALM_S = 16.0
FEEDS = 24
FEED_LINE_MS = 500
REQUESTS_PER_SECOND = 30.0
CALM_REQUESTS_PER_SECOND = 3.0
LAST_ANSWERS_S = 10.0
CUT_S = 6.0
CUT_GIVE_UP_S = 7.0
PAUSE_S = 4.0


class Fault(NamedTuple):
    """One kind of disturbance.

    Attributes:
        name: What it is called.
        is_planned: Whether operators or the platform mean it.
        make: Makes it in a run and returns what it hit.
    """

    name: str
    is_planned: bool
    make: Callable[[SiteRun], str]


class SiteRun:
    """One run: load, faults at random times, then calm."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.world = World(plan, seed)
        self.random = random.Random(seed + 1)
        self.made: Counter[str] = Counter()
        self.feeds: list[StandInCaller] = []
        self.down: list[VmId] = []

    def go(
        self, faults: tuple[Fault, ...], count: int, calm_s: float
    ) -> history.History:
        """Run it whole and return what happened."""
        world = self.world
        world.change(first_edits(world.plan))
        world.run_until(world.now + READY_S)
        self._open_feeds()
        ends = world.now + FAULTS_S
        self._keep_opening(ends + calm_s - LAST_ANSWERS_S, calm_from=ends)
        step = FAULTS_S / (count + 1)
        for number in range(count):
            fault = self.random.choice(faults)
            shift = self.random.random() * step
            world.after(number * step + shift, partial(self._make, fault))
        world.run_until(ends + calm_s)
        for feed in self.feeds:
            world.stop_feed(feed)
        world.run_until(world.now + 1.0)
        return world.history

    def _open_feeds(self) -> None:
        for number in range(FEEDS):
            zone = self.world.plan.zones[number % len(self.world.plan.zones)]
            service = number % len(self.world.plan.services)
            feed = self.world.open(service, zone, feed=True, work_ms=FEED_LINE_MS)
            self.feeds.append(feed)

    def _keep_opening(self, until: float, calm_from: float) -> None:
        if self.world.now >= until:
            return
        is_calm = self.world.now >= calm_from
        rate = CALM_REQUESTS_PER_SECOND if is_calm else REQUESTS_PER_SECOND
        zone = self.random.choice(self.world.plan.zones)
        service = 0 if self.random.random() < 0.8 else 1
        long = self.random.random() < 0.01
        self.world.open(service, zone, feed=False, work_ms=1_000 if long else 20)
        gap = self.random.expovariate(rate)
        self.world.after(gap, lambda: self._keep_opening(until, calm_from))

    def _make(self, fault: Fault) -> None:
        target = fault.make(self)
        if target:
            self.made[fault.name] += 1
            self.world.note(
                history.FaultMade(self.world.now, fault.name, target, fault.is_planned)
            )

    # Faults; each returns what it hit, empty if it had no target

    def kill_and_restart(self) -> str:
        """Kill an entry VM; it comes back empty."""
        name = self._victim()
        if name:
            self.world.kill_vm(name)
            self.world.after(5.0, lambda: self._back(name))
        return name

    def leave_and_return(self) -> str:
        """Shut an entry VM down gracefully; a new one takes its place."""
        name = self._victim()
        if name:
            self.world.leave_vm(name)
            self.world.after(12.0, lambda: self._back(name))
        return name

    def pause(self) -> str:
        """Let an entry VM stand still and wake up again."""
        name = self._victim()
        if name:
            self.world.pause_vm(name, PAUSE_S)
            self.world.after(PAUSE_S + 4.0, lambda: self.down.remove(name))
        return name

    def drain_server(self) -> str:
        """Drain a backend server."""
        return self._retire(leave=False)

    def change_setting(self) -> str:
        """Change a default and, at times, undo it."""
        path = "defaults.placement.hold_ms"
        value = self.random.choice(["600", "900", None])
        self.world.change((Edit(path, value),))
        return path

    def one_way_cut(self) -> str:
        """Let packets from one VM to another get lost for some seconds."""
        names = sorted(self.world.running)
        one, other = self.random.sample(names, 2)
        self.world.blocked.add((one, other))
        self.world.after(CUT_S, lambda: self.world.blocked.discard((one, other)))
        return f"{one}>{other}"

    def zone_cut(self) -> str:
        """Cut a zone off for some seconds."""
        if self.world.cut_zone is not None:
            return ""
        zone = self.random.choice(self.world.plan.zones)
        self.world.cut_zone = zone
        until = self.world.now + CUT_S
        self.world.note(history.SideCut(self.world.now, until))
        self.world.at(until, self._heal)
        return zone

    def silence_flow(self) -> str:
        """Let something outside lose track of one open feed."""
        feeds = [feed for feed in self.feeds if feed.server and not feed.ended]
        if not feeds:
            return ""
        feed = self.random.choice(feeds)
        self.world.silence(feed)
        return str(feed.request.request_id)

    def _heal(self) -> None:
        self.world.cut_zone = None

    def _victim(self) -> VmId:
        """Return a VM that may go: one at a time, and never in a cut."""
        names = sorted(set(self.world.running) - set(self.down))
        if self.down or self.world.cut_zone is not None or not names:
            return VmId("")
        name = self.random.choice(names)
        self.down.append(name)
        return name

    def _back(self, name: VmId) -> None:
        if name in self.world.running:
            self.world.after(1.0, lambda: self._back(name))
            return
        self.world.start_vm(name)
        self.world.after(6.0, lambda: self.down.remove(name))

    def _retire(self, *, leave: bool) -> str:
        backends = [
            b
            for b in self.world.backends.values()
            if not b.is_draining and b.server.settings.service == ENTRIES[0]
        ]
        if len(backends) < 3:
            return ""
        backend = self.random.choice(backends)
        backend.retire(leave=leave)
        return backend.server.name


KILL = Fault("kill", False, SiteRun.kill_and_restart)
LEAVE = Fault("leave", True, SiteRun.leave_and_return)
PAUSE = Fault("pause", False, SiteRun.pause)
DRAIN = Fault("drain", True, SiteRun.drain_server)
CHANGE = Fault("change", True, SiteRun.change_setting)
ONE_WAY = Fault("one-way-cut", False, SiteRun.one_way_cut)
ZONE_CUT = Fault("zone-cut", False, SiteRun.zone_cut)
SILENCE = Fault("silence", False, SiteRun.silence_flow)
PLANNED = (LEAVE, DRAIN, CHANGE)
ALL = (*PLANNED, KILL, PAUSE, ONE_WAY)


def first_edits(plan: Plan) -> tuple[Edit, ...]:
    """Return the edits that declare the zones and services of a plan."""
    edits = [Edit(f"zones.{zone}.region", '"th-north"') for zone in plan.zones]
    for service, address in plan.services:
        path = f"services.{service}"
        edits.append(Edit(f"{path}.address", json.dumps(str(address))))
        edits.append(Edit(f"{path}.announce_token_hashes", json.dumps([TOKEN_HASH])))
    return tuple(edits)


def run_history(
    seed: int,
    faults: tuple[Fault, ...] = ALL,
    count: int = 4,
    calm_s: float = CALM_S,
) -> tuple[history.History, Counter[str]]:
    """Return the history of one run and the faults made in it."""
    decisions.configure(as_json=False, enabled=False)
    run_ = SiteRun(COOPERATIVE, seed)
    return run_.go(faults, count, calm_s), run_.made


def run(seed: int) -> RunReport:
    """Make one run and check every promise."""
    happened, made = run_history(seed)
    return RunReport(seed, dict(made), history.check(happened))
