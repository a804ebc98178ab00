"""Runs an experiment against the daemons on loopback."""

from __future__ import annotations

import datetime
import random
from pathlib import Path
from typing import cast

import trio
from expression import Error, Ok, Result

from kumquatmux_core.identity import ServiceName
from kumquatmux_core.problems import Problem
from kumquatmux_lab.demo import address_taken
from kumquatmux_lab.experiments.plan import (
    ArrivalPlan,
    ExperimentPlan,
    FaultPlan,
    ServicePlan,
)
from kumquatmux_lab.experiments.result import (
    ExperimentResult,
    FaultResult,
    KindResult,
    seconds_of,
)
from kumquatmux_lab.machine import this_machine
from kumquatmux_lab.site import SiteService, SiteSettings, SiteVm, write_site
from kumquatmux_lab.standin.load import Load, LoadKind, LoadRow
from kumquatmux_lab.surroundings import ServerPlan, Surroundings, open_surroundings

CALLERS_NET = "127.87.0"
FABRIC_NOTICES_S = 1.0


class Experiment:
    """One running experiment.

    Args:
        plan: What to do.
        around: The running site.
    """

    def __init__(self, plan: ExperimentPlan, around: Surroundings) -> None:
        self.plan = plan
        self.around = around
        self.load = Load(around.fabric, CALLERS_NET, plan.seed)
        self.faults: list[FaultResult] = []
        self.began = trio.current_time()

    async def run(self) -> None:
        """Load the site, disturb it and wait for the last replies."""
        self.began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for arrival in self.plan.arrivals:
                nursery.start_soon(self.arrive, arrival)
            for fault in self.plan.faults:
                nursery.start_soon(self.disturb, fault)
        await trio.sleep(self.plan.settle_s)

    async def arrive(self, arrival: ArrivalPlan) -> None:
        """Open flows of one kind at its rate, which changes over time."""
        kind = self.kind_of(arrival)
        end = self.began + self.plan.duration_s
        if arrival.feeds:
            await self.load.run(kind, end)
            return
        chance = random.Random(f"{self.plan.seed} {arrival.name}")
        for at, until, per_second in spans(arrival, self.plan.duration_s):
            due = self.began + at
            while per_second:
                due += chance.expovariate(per_second)
                if due >= self.began + until:
                    break
                await trio.sleep_until(due)
                self.load.open(kind)

    def kind_of(self, arrival: ArrivalPlan) -> LoadKind:
        """Return a kind of flow in the terms of the load."""
        addresses = {service.name: service.address for service in self.plan.services}
        return LoadKind(
            name=arrival.name,
            service=arrival.service,
            address=addresses[arrival.service],
            per_second=0,
            work_ms=arrival.work_ms,
            reply_bytes=arrival.reply_bytes,
            feeds=arrival.feeds,
            long_share=arrival.long_share,
            long_factor=arrival.long_factor,
        )

    async def disturb(self, fault: FaultPlan) -> None:
        """Make one disturbance at its time."""
        await trio.sleep_until(self.began + fault.at_s)
        second = trio.current_time() - self.began
        text = f"{fault.action} {fault.target}"
        self.faults.append(FaultResult(second=round(second, 2), text=text))
        if fault.action == "set":
            await self.around.command_until_done("set", fault.target, fault.value)
        elif fault.action == "drain":
            backends = self.around.backends_of(ServiceName(fault.target))
            await backends[fault.number].announcer.drain()
        else:
            await self.remove(self.vm(fault.target), graceful=fault.action == "stop")

    async def remove(self, vm: SiteVm, *, graceful: bool) -> None:
        """End an entry VM; the fabric notices a second later."""
        processes = self.around.processes
        (processes.terminate if graceful else processes.kill)(vm)
        await trio.sleep(FABRIC_NOTICES_S)
        self.around.fabric.remove_vm(vm.packets)

    def vm(self, name: str) -> SiteVm:
        """Return an entry VM by its name."""
        return next(vm for vm in self.around.site.entries() if vm.name == name)

    def result(self, command: str) -> ExperimentResult:
        """Return what was found."""
        held = {arrival.name for arrival in self.plan.arrivals if arrival.feeds}
        requests = [
            caller
            for name, callers in self.load.callers.items()
            for caller in callers
            if name not in held
        ]
        servers = [backend.server for backend in self.around.backends]
        ids = [run.request_id for server in servers for run in server.runs]
        return ExperimentResult(
            experiment=self.plan.name,
            seed=self.plan.seed,
            command=command,
            date=datetime.datetime.now(datetime.UTC).date().isoformat(),
            machine=this_machine(),
            kinds=[kind_result(row) for row in self.load.rows()],
            seconds=seconds_of(requests, self.began),
            faults=sorted(self.faults, key=lambda fault: fault["second"]),
            runs_by_server={str(server.name): len(server.runs) for server in servers},
            wrong_service=sum(server.misrouted for server in servers),
            run_twice=len(ids) - len(set(ids)),
        )


def kind_result(row: LoadRow) -> KindResult:
    """Return a row of the load as it is recorded."""
    return cast(KindResult, row._asdict())


def spans(arrival: ArrivalPlan, duration_s: float) -> list[tuple[float, float, float]]:
    """Return start, end and rate of each stretch of arrivals."""
    ends = [point.second for point in arrival.rate[1:]] + [duration_s]
    return [
        (point.second, min(end, duration_s), point.per_second)
        for point, end in zip(arrival.rate, ends, strict=True)
    ]


def run_experiment(
    plan: ExperimentPlan, folder: Path, command: str
) -> Result[ExperimentResult, Problem]:
    """Run an experiment whose site is written to an empty folder."""
    services = tuple(SiteService(s.name, s.address) for s in plan.services)
    settings = SiteSettings(
        folder=folder,
        zones=plan.zones,
        entries_per_zone=plan.entries_per_zone,
        controls=plan.controls,
        services=services,
        network=plan.network,
    )
    taken = address_taken(settings)
    if taken is not None:
        return Error(Problem("address-taken", "is in use", str(taken)))
    return Ok(trio.run(_run, plan, settings, command))


async def _run(
    plan: ExperimentPlan, settings: SiteSettings, command: str
) -> ExperimentResult:
    plans = tuple(map(_server_plan, plan.services))
    async with open_surroundings(write_site(settings), plans, plan.seed) as around:
        experiment = Experiment(plan, around)
        await experiment.run()
        return experiment.result(command)


def _server_plan(service: ServicePlan) -> ServerPlan:
    site_service = SiteService(service.name, service.address)
    return ServerPlan(site_service, service.servers, service.slots)
