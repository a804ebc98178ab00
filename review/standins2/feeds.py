"""Callers that keep flows open and pause, after some packets of servers were lost."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from standins2 import site as standin

ROUTE = ("198.18.0.1", 8443)
SETTLING_S = 4.5
"""Seconds without a disturbance before the callers begin, longer than contact-ms."""


class Plan(NamedTuple):
    """What a play of the feeds does.

    Attributes:
        flows: Number of callers, each with one flow.
        loss: Share of the servers' packets to the callers that is lost.
        lossy_s: Seconds for which they are.
        begin_s: Seconds in which the callers begin, one after the other.
        pauses_s: Seconds between the answer to a request of a caller and its next one.
        idle_timeout_ms: The manifest's ``idle-timeout-ms``.
        rolled: Entry VMs that are stopped and started in turn.
        roll_at_s: Seconds from the first caller's beginning to the first of the stops.
        roll_gap_s: Seconds between two of these stops.
        moved_share: Share of the callers that have moved to another zone when they send
            their last request.
    """

    flows: int = 300
    loss: float = 0.025
    lossy_s: float = 5.5
    begin_s: float = 5.5
    pauses_s: tuple[float, ...] = (11.5,)
    idle_timeout_ms: int = 15_000
    rolled: tuple[str, ...] = ()
    roll_at_s: float = 6.0
    roll_gap_s: float = 1.3
    moved_share: float = 0.0


async def play(site: standin.Site, plan: Plan) -> list[str]:
    """Play a plan; return a sentence for each flow that the rule says is broken."""
    await site.start()
    await site.put_manifest([feed_route()], idle_timeout_ms=plan.idle_timeout_ms)
    servers = [
        standin.Server(
            site, f"i-{number:010x}", f"{site.net}.2.{50 + number}", "cnx-b", "entries"
        )
        for number in range(1, 5)
    ]
    callers = [
        standin.Caller(
            site, f"{site.net}.{100 + number // 200}.{number % 200 + 1}", "cnx-a", ROUTE
        )
        for number in range(plan.flows)
    ]
    for one in (*servers, *callers):
        await one.start()
    await site.wait_until_ready()
    await site.wait_until(lambda: all(one.acks for one in servers), 10, "reports")
    await asyncio.sleep(SETTLING_S)

    began = time.monotonic()
    lost: list[str] = []

    def drops(packet: standin.Packet) -> bool:
        is_lossy = time.monotonic() - began < plan.lossy_s
        is_lost = is_lossy and site.random.random() < plan.loss
        if is_lost:
            lost.append(packet.dst)
        return is_lost

    for server in servers:
        server.drops_out = drops
    results: dict[str, str] = {}

    async def use(caller: standin.Caller, at: float) -> None:
        await asyncio.sleep(began + at - time.monotonic())
        opened = await caller.open()
        first = await caller.ask() if opened else "not opened"
        if first != "answered":
            results[caller.ip] = f"first request {first}"
            return
        for number, pause_s in enumerate(plan.pauses_s, 1):
            await asyncio.sleep(pause_s)
            is_last = number == len(plan.pauses_s)
            if is_last and site.random.random() < plan.moved_share:
                caller.zone = "lpg-a"
                site.note(f"caller {caller.ip} has moved to {caller.zone}")
            results[caller.ip] = await caller.ask()

    uses = [
        asyncio.ensure_future(use(caller, plan.begin_s * number / plan.flows))
        for number, caller in enumerate(callers)
    ]
    await asyncio.sleep(began + plan.roll_at_s - time.monotonic())
    for name in plan.rolled:
        machine = next(one for one in site.machines if one.name == name)
        site.spawn(site.terminate(machine))
        await asyncio.sleep(plan.roll_gap_s)
    await asyncio.gather(*uses)
    site.note(f"packets lost: {len(lost)}; flows with one lost: {len(set(lost))}")
    for caller in callers:
        site.note(f"flow {caller.ip}:{caller.port} {results[caller.ip]}")
    counts = {one: list(results.values()).count(one) for one in set(results.values())}
    site.note(f"outcomes: {counts}")
    print(f"packets lost: {len(lost)}; outcomes: {counts}")
    return broken_flows(callers, servers)


def broken_flows(
    callers: list[standin.Caller], servers: list[standin.Server]
) -> list[str]:
    """Return a sentence for each open flow that another than its server reset."""
    marks = {server.number: server.name for server in servers}
    return [
        f"FLOW: flow {one.ip}:{one.port}, open at {marks[one.holder]} for "
        f"{time.monotonic() - one.opened_at:.0f} s, was reset by "
        f"{marks.get(one.reset_by, 'the system')}"
        for one in callers
        if one.state == "reset" and one.reset_by != one.holder
    ]


def feed_route() -> dict[str, object]:
    """Return the route of the feeds."""
    return {
        "name": "r-feed",
        "host": ROUTE[0],
        "path-prefix": f"/{ROUTE[1]}/",
        "route-type": "safe",
        "timeout-ms": 2500,
        "target-latency-ms": 200,
        "priority": 2,
        "backend": "entries",
        "max-attempts": 2,
    }
