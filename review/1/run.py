"""An entry VM never finds the control VMs again after a cut between regions."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from standins.calls import call_once, json_bytes
from standins.clients import Client, Fabric
from standins.deployment import TWO_REGIONS, Deployment
from standins.operator import Operator, manifest, route
from standins.record import Record
from standins.relay import Relay
from standins.runner import run_case
from standins.servers import Server

HERE = Path(__file__).parent
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
HOST = "198.18.0.1"
PORT = 8443
OLD = "entries"
NEW = "pagesetter"
FAR_ZONE = "bkk-a"
CONTACT_S = 4.0
APPLY_S = 3.0
CUT_S = 25.0
"""Length of the cut between the two regions."""

REPLACE_GAP_S = 8.0
MEASURE_S = 10.0
BUDGET_S = 2.0


class Play:
    """One run of the case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(record, TWO_REGIONS)
        self.deployment.is_relayed = True
        self.relay = Relay(self.deployment, record)
        self.operator = Operator(self.deployment, record)
        self.fabric = Fabric(self.deployment)
        self.client = Client(self.deployment, record, self.fabric, 60)
        self.client.zone = FAR_ZONE
        self.servers: list[Server] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> bool:
        """Start everything; return whether the first manifest was accepted."""
        for machine in self.deployment.entries:
            await self.relay.add_entry(machine.ip)
        for machine in self.deployment.controls:
            await self.relay.add_control(machine.ip)
        self.deployment.start()
        if not await self.put(7, OLD):
            return False
        for number, service in enumerate((OLD, OLD, NEW, NEW)):
            name = f"i-{0xA0 + number:08x}"
            server = Server(self.deployment, self.record, name, 100 + number, service)
            server.zone = self.deployment.zones[number % 3]
            await server.start()
            self.servers.append(server)
        await self.client.start()
        self.tasks.add(asyncio.create_task(self.fabric.probe_for_ever()))
        await asyncio.sleep(CONTACT_S + 0.5)
        return True

    async def stop(self) -> None:
        """End everything."""
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.end()
        self.relay.stop()
        await self.deployment.stop()

    async def put(self, version: int, service: str) -> bool:
        """Send a manifest that gives the route to a service."""
        both = [route("r-entry-amend", HOST, PORT, "unsafe", service)]
        both.append(route("r-other", "198.18.0.9", PORT, "safe", OLD))
        both.append(route("r-third", "198.18.0.8", PORT, "safe", NEW))
        content = json_bytes(manifest(version, both))
        answer = await self.operator.put(content, f"manifest {version}", 25.0)
        return answer.status == 200

    async def replace_controls(self) -> None:
        """Replace each control VM of the start by an empty one, one by one."""
        for number, old in enumerate(list(self.deployment.controls)):
            fresh = self.deployment.replace_control(old, 40 + number)
            await self.relay.add_control(fresh.ip)
            await asyncio.sleep(REPLACE_GAP_S)

    async def ask_by_new_flows(self, seconds: float) -> dict[str, int]:
        """Send requests on new flows and return how many each service ran."""
        before = {name: self.ran(name) for name in (OLD, NEW)}
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        sent = answered = 0
        while loop.time() < until:
            sent += 1
            flow = await self.client.open(HOST, PORT)
            if flow.state == "open":
                data = f"amend {sent}".encode()
                answered += await self.client.ask(flow, data, BUDGET_S)
            self.client.close(flow)
            await asyncio.sleep(0.1)
        ran = {name: self.ran(name) - before[name] for name in (OLD, NEW)}
        self.record.line(f"client: {sent} requests sent, {answered} answered; {ran}")
        return ran

    def ran(self, service: str) -> int:
        """Return how many requests the servers of a service ran."""
        return sum(len(one.ran) for one in self.servers if one.service == service)

    async def note_documents(self) -> None:
        """Write which manifest each entry VM has in force, as its metrics say."""
        for machine in self.deployment.entries:
            answer = await call_once(f"{machine.ip}:9464", "GET", "/metrics", b"")
            lines = answer.body.decode().splitlines()
            held = [one for one in lines if one.startswith("kumquatmux_document")]
            self.record.line(f"{machine.name}: {held[0] if held else 'no answer'}")


async def play(record: Record) -> int:
    """Run the case; return the exit code."""
    one = Play(record)
    try:
        if not await one.start():
            return 2
        await one.ask_by_new_flows(2.0)
        await one.replace_controls()
        if not await one.put(8, OLD):
            return 2
        await asyncio.sleep(1.0)
        await one.note_documents()
        far = {m.ip for m in one.deployment.entries if m.zone == FAR_ZONE}
        if IS_TROUBLED:
            one.relay.cut(far)
        await asyncio.sleep(CUT_S)
        if IS_TROUBLED:
            one.relay.heal()
        await asyncio.sleep(CONTACT_S + 2.0)
        if not await one.put(9, NEW):
            return 2
        await asyncio.sleep(APPLY_S + 0.5)
        await one.note_documents()
        ran = await one.ask_by_new_flows(MEASURE_S)
    finally:
        await one.stop()
    if any(machine.ends for machine in one.deployment.machines.values()):
        return 2
    record.line(f"rule CONFIG: {'broken' if ran[OLD] else 'held'}")
    return 1 if ran[OLD] else 0


if __name__ == "__main__":
    sys.exit(run_case(play, HERE))
