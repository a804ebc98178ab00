"""A late goodbye of an earlier lifetime ends the lifetime that runs now."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Iterable
from pathlib import Path

from standins.calls import request_bytes
from standins.clients import Client, ClientFlow, Fabric
from standins.deployment import Deployment
from standins.links import Link
from standins.operator import Operator, manifest, route
from standins.record import Record
from standins.runner import run_case
from standins.servers import Server

HERE = Path(__file__).parent
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
HOST = "198.18.0.1"
PORT = 8443
SERVICE = "entries"
SERVERS = 7
DRAIN_S = 3.5
CUT_S = 7.0
"""Length of the cut, at most the 10 s of ``node_cut`` in the site file."""

RESENT_S = 12.6
"""When TCP resends bytes for the seventh time: 0.2 s, doubled each time, in all."""

CONTACT_S = 4.0
THINK_S = 0.04
BUDGET_S = 2.0
ROUNDS = 3
FLOWS = 24


class Play:
    """One run of the case.

    Attributes:
        broken: Lines about flows that were reset against the rule.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(record)
        self.operator = Operator(self.deployment, record)
        self.fabric = Fabric(self.deployment)
        self.client = Client(self.deployment, record, self.fabric, 60)
        self.servers: list[Server] = []
        self.links: list[Link] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.broken: list[str] = []
        self.joined_at = 0.0
        self.asked = 0
        self.answered = 0

    async def start(self) -> bool:
        """Start everything; return whether the first manifest was accepted."""
        self.deployment.start()
        routes = [route("r-ring-feed", HOST, PORT, "safe", SERVICE)]
        if not await self.operator.put_first(manifest(7, routes)):
            return False
        for number in range(SERVERS):
            self.servers.append(await self.start_server(number))
        await self.client.start()
        self.tasks.append(asyncio.create_task(self.fabric.probe_for_ever()))
        await asyncio.sleep(CONTACT_S + 0.5)
        return True

    async def start_server(self, number: int, cut_from: Iterable[str] = ()) -> Server:
        """Start a server under the id that belongs to its place."""
        name = f"i-{0xA0 + number:08x}"
        server = Server(self.deployment, self.record, name, 100 + number, SERVICE)
        server.cut_from.update(cut_from)
        await server.start()
        return server

    async def stop(self) -> None:
        """End everything."""
        for task in self.tasks:
            task.cancel()
        for link in self.links:
            link.stop()
        for server in self.servers:
            server.end()
        await self.deployment.stop()

    async def restart_server(self, number: int) -> None:
        """Replace a server by plan, under the same id; its goodbye may come late."""
        server = self.servers[number]
        server.state = "draining"
        await server.report()
        self.record.line(f"server {server.name}: said that it drains")
        await asyncio.sleep(DRAIN_S)
        control = server.report_to
        link = Link(self.record, self.deployment.ip(150 + len(self.links)), control)
        self.links.append(link)
        await link.start()
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        if IS_TROUBLED:
            await self.send_goodbye_into_cut(server, link)
            server.cut_from.add(control)
        await server.leave()
        self.record.line(f"server {server.name}@{server.born}: DELETE acknowledged")
        server.end()
        await asyncio.sleep(0.5)
        following = await self.start_server(number, server.cut_from)
        self.servers[number] = following
        await asyncio.sleep(max(sent_at + CUT_S - loop.time(), 0.0))
        following.cut_from.clear()
        self.joined_at = self.record.now()
        self.record.line(f"cut of server {server.name} from {control}: healed")
        keepers = [asyncio.create_task(self.keep_flow(number)) for _ in range(FLOWS)]
        await asyncio.sleep(max(sent_at + RESENT_S - loop.time(), 0.0))
        await self.after_report(following)
        link.join()
        await asyncio.sleep(2.5)
        for keeper in keepers:
            keeper.cancel()

    async def send_goodbye_into_cut(self, server: Server, link: Link) -> None:
        """Send a goodbye over a connection whose bytes are held up from now on."""
        ip, _, port = link.address.rpartition(":")
        _, writer = await asyncio.open_connection(ip, int(port))
        link.writers.append(writer)
        link.cut()
        path = f"/v1/instances/{server.name}"
        writer.write(request_bytes("DELETE", path, link.target, b""))
        self.record.line(
            f"server {server.name}@{server.born}: DELETE sent to {link.target}, cut off"
        )

    async def after_report(self, server: Server) -> None:
        """Wait until the server has just reported."""
        known = server.reported_at
        for _ in range(200):
            if server.reported_at != known:
                return
            await asyncio.sleep(0.01)

    async def keep_flow(self, number: int) -> None:
        """Keep a flow open and ask again and again."""
        flow = await self.client.open(HOST, PORT)
        count = 0
        while flow.state == "open":
            count += 1
            data = f"feed {flow.port} {count}".encode()
            self.asked += 1
            is_answered = await self.client.ask(flow, data, BUDGET_S)
            self.answered += is_answered
            await asyncio.sleep(THINK_S)
        self.judge(flow)

    def judge(self, flow: ClientFlow) -> None:
        """Note a reset that the rule forbids."""
        if flow.state != "reset":
            return
        key = (self.client.ip, flow.port, HOST, PORT)
        holders = [one for one in self.servers if key in one.flows]
        has_reset = any(key in one.reset_flows for one in self.servers)
        is_calm = flow.reset_at - self.joined_at > CONTACT_S
        self.record.line(
            f"client: flow {flow.port} reset by the {flow.reset_by}, opened at "
            f"{flow.opened_at:.3f}, {len(flow.answers)} answers, server "
            f"{holders[0].name if holders else 'none'} lives, calm: {is_calm}"
        )
        if flow.reset_by == "system" and holders and not has_reset and is_calm:
            self.broken.append(f"flow {flow.port}")


async def play(record: Record) -> int:
    """Run the case; return the exit code."""
    one = Play(record)
    try:
        if not await one.start():
            return 2
        for number in range(ROUNDS):
            await one.restart_server(number)
    finally:
        await one.stop()
    if any(machine.ends for machine in one.deployment.machines.values()):
        return 2
    record.line(f"heartbeats every {one.deployment.site.heartbeat_ms} ms")
    ran = sum(len(server.ran) for server in one.servers)
    record.line(
        f"clients: {one.asked} requests sent, {one.answered} answered; {ran} run by "
        "the servers that live"
    )
    record.line(f"rule FLOW: {'broken' if one.broken else 'held'}")
    return 1 if one.broken else 0


if __name__ == "__main__":
    sys.exit(run_case(play, HERE))
