"""Entry VMs end by themselves once the last server of one service is lost."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path

from standins.clients import Client, Fabric
from standins.deployment import FEDERATION, Deployment, Machine
from standins.operator import Operator, manifest, route
from standins.record import Record
from standins.runner import run_case
from standins.servers import Server

HERE = Path(__file__).parent
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 4.0
LENGTH_S = 80.0
LEAVE_AT_S = (2.0, 7.0)
"""Seconds at which a server of the small service leaves by plan."""

LOST_AT_S = 13.0
"""Seconds at which the last server of the small service is lost for good."""

DRAIN_S = 3.5
SMALL_SERVERS = 3
PORT = 8443
SLOTS = 3
BUDGET_S = 2.0
ENDS_ALLOWED = 2
"""The rule is broken from the third end of a machine's program on."""


class Service:
    """A service with its route and its callers.

    Attributes:
        counts: What became of its flows.
        counted: The counts that the record has.
    """

    def __init__(self, name: str, host: str, flows_per_s: float) -> None:
        self.name = name
        self.host = host
        self.flows_per_s = flows_per_s
        self.counts: Counter[str] = Counter()
        self.counted: Counter[str] = Counter()


LARGE = Service("depot-desk", "198.18.0.1", 20.0)
SMALL = Service("ledger-house", "198.18.0.2", 60.0)


class Play:
    """One run of the case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(record, FEDERATION)
        self.operator = Operator(self.deployment, record)
        self.fabric = Fabric(self.deployment)
        self.clients = [
            Client(self.deployment, record, self.fabric, 60 + n) for n in range(3)
        ]
        self.servers: dict[str, list[Server]] = {LARGE.name: [], SMALL.name: []}
        self.tasks: set[asyncio.Task[None]] = set()

    def begin(self, work: Coroutine[None, None, None]) -> None:
        """Run a task until the end of the run."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self) -> bool:
        """Start everything; return whether the first manifest was accepted."""
        self.deployment.start()
        routes = [
            route("r-desk", LARGE.host, PORT, "safe", LARGE.name),
            route("r-ledger", SMALL.host, PORT, "download", SMALL.name),
        ]
        if not await self.operator.put_first(manifest(7, routes)):
            return False
        host = 100
        for service, count in ((LARGE, 7), (SMALL, SMALL_SERVERS)):
            for _ in range(count):
                name = f"i-{0xA0 + host:08x}"
                server = Server(self.deployment, self.record, name, host, service.name)
                server.concurrency = SLOTS
                await server.start()
                self.servers[service.name].append(server)
                host += 1
        for client in self.clients:
            await client.start()
        self.begin(self.fabric.probe_for_ever())
        await asyncio.sleep(CONTACT_S + 0.5)
        return True

    async def stop(self) -> None:
        """End everything."""
        for task in list(self.tasks):
            task.cancel()
        for server in (*self.servers[LARGE.name], *self.servers[SMALL.name]):
            server.end()
        await self.deployment.stop()

    async def open_flows(self, service: Service) -> None:
        """Open flows at the rate of a service until the end of the run."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        number = 0
        while True:
            number += 1
            client = self.clients[number % len(self.clients)]
            self.begin(self.one_flow(service, client, number))
            due_at = started_at + number / service.flows_per_s
            await asyncio.sleep(max(due_at - loop.time(), 0.0))

    async def one_flow(self, service: Service, client: Client, number: int) -> None:
        """Open a flow, ask once and close it."""
        service.counts["sent"] += 1
        flow = await client.open(service.host, PORT)
        if flow.state == "open":
            service.counts["opened"] += 1
            data = f"{service.name} {number}".encode()
            is_answered = await client.ask(flow, data, BUDGET_S)
            service.counts["answered"] += is_answered
        client.close(flow)

    async def shrink(self) -> None:
        """Let all servers of the small service but one leave by plan."""
        before_s = 0.0
        for server, at_s in zip(self.servers[SMALL.name], LEAVE_AT_S, strict=False):
            await asyncio.sleep(at_s - before_s)
            server.state = "draining"
            is_told = await server.report()
            self.record.line(f"server {server.name}: drains, acknowledged: {is_told}")
            await asyncio.sleep(DRAIN_S)
            await server.leave()
            server.end()
            before_s = at_s + DRAIN_S

    async def lose_last(self) -> None:
        """Lose the last server of the small service for good."""
        await asyncio.sleep(LOST_AT_S)
        self.servers[SMALL.name][-1].lose()

    async def count_each_second(self) -> None:
        """Write each second what became of the flows."""
        while True:
            await asyncio.sleep(1.0)
            for service in (LARGE, SMALL):
                new = service.counts - service.counted
                service.counted = service.counts.copy()
                ran = sum(len(one.ran) for one in self.servers[service.name])
                self.record.line(
                    f"{service.name}: {new['sent']} flows sent, {new['opened']} "
                    f"opened, {new['answered']} answered; {ran} requests run so far"
                )


def is_broken(machines: list[Machine]) -> bool:
    """Return whether two machines or more ended by themselves three times."""
    return sum(len(one.ends) > ENDS_ALLOWED for one in machines) >= 2


async def play(record: Record) -> int:
    """Run the case; return the exit code."""
    one = Play(record)
    try:
        if not await one.start():
            return 2
        one.begin(one.count_each_second())
        one.begin(one.open_flows(LARGE))
        one.begin(one.open_flows(SMALL))
        one.begin(one.shrink())
        if IS_TROUBLED:
            one.begin(one.lose_last())
        await asyncio.sleep(LENGTH_S)
    finally:
        await one.stop()
    machines = list(one.deployment.machines.values())
    for machine in machines:
        record.line(f"{machine.name}: ended by itself {len(machine.ends)} times")
    broken = is_broken(machines)
    record.line(f"rule Fault: {'broken' if broken else 'held'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(play, HERE))
