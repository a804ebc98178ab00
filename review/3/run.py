"""Liveness reports of another writer end the programs of the control VMs."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

from standins.calls import call_once, json_bytes
from standins.deployment import Deployment, Machine
from standins.operator import Operator, manifest, route
from standins.record import Record
from standins.runner import run_case

HERE = Path(__file__).parent
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 4.0
SERVERS = 3
ROUNDS = 4
ENDS_ALLOWED = 2
"""The rule is broken from the third end of a machine's program on."""


def report(deployment: Deployment, number: int, count: int) -> dict[str, Any]:
    """Return a sound liveness report of one server."""
    return {
        "backend": "entries",
        "address": f"{deployment.ip(100 + number)}:8080",
        "zone": "cnx-a",
        "version": "v1",
        "concurrency": 2,
        "state": "ready",
        "warmup-left-ms": 0,
        "seq": count,
        "born": 1_790_000_000_000 + number,
    }


def bodies_of_another_writer(deployment: Deployment, count: int) -> dict[str, bytes]:
    """Return reports that name no server to use, by what is wrong with them."""
    sound = report(deployment, 90, count)
    if not IS_TROUBLED:
        return {"sound": json_bytes(sound)}
    missing = {key: value for key, value in sound.items() if key != "zone"}
    return {
        "field missing": json_bytes(missing),
        "seq is text": json_bytes({**sound, "seq": "four"}),
        "state isn't named": json_bytes({**sound, "state": "asleep"}),
        "bytes cut short": json_bytes(sound)[:60],
        "seq of 128 bits": json_bytes({**sound, "seq": 2**127 + count}),
    }


async def report_for_ever(deployment: Deployment, number: int) -> None:
    """Report as a sound server does, to the next VM where one doesn't answer."""
    count = 0
    place = number
    while True:
        count += 1
        body = json_bytes(report(deployment, number, count))
        for _ in deployment.controls:
            address = deployment.control_addresses[place % len(deployment.controls)]
            path = f"/v1/instances/i-{0xA0 + number:08x}"
            answer = await call_once(address, "PUT", path, body)
            if 200 <= answer.status < 300:
                break
            place += 1
        await asyncio.sleep(deployment.heartbeat_s)


async def write_as_another(deployment: Deployment, record: Record) -> None:
    """Send each kind of report to each control VM in turn."""
    count = 0
    for turn in range(ROUNDS):
        for machine in deployment.controls:
            count += 1
            bodies = bodies_of_another_writer(deployment, count)
            address = f"{machine.ip}:{deployment.ports.control}"
            for what, body in bodies.items():
                path = "/v1/instances/i-0badc0de"
                answer = await call_once(address, "PUT", path, body)
                answered = answer.status or "none"
                record.line(
                    f"another writer: report ({what}) to {machine.name}: {answered}"
                )
            await asyncio.sleep(deployment.heartbeat_s)
        record.line(f"another writer: round {turn + 1} sent")


def is_broken(machines: list[Machine]) -> bool:
    """Return whether half of the core ended by itself three times."""
    often = [one for one in machines if len(one.ends) > ENDS_ALLOWED]
    return 2 * len(often) >= len(machines)


async def play(record: Record) -> int:
    """Run the case; return the exit code."""
    deployment = Deployment(record)
    operator = Operator(deployment, record)
    routes = [route("r-entry-amend", "198.18.0.1", 8443, "unsafe", "entries")]
    deployment.start()
    servers = [
        asyncio.create_task(report_for_ever(deployment, number))
        for number in range(SERVERS)
    ]
    try:
        if not await operator.put_first(manifest(7, routes)):
            return 2
        await asyncio.sleep(CONTACT_S + 0.5)
        await write_as_another(deployment, record)
        change = manifest(8, routes)
        await operator.put(json_bytes(change), "manifest 8")
        await operator.read()
    finally:
        for task in servers:
            task.cancel()
        await deployment.stop()
    for machine in deployment.controls:
        record.line(f"{machine.name}: ended by itself {len(machine.ends)} times")
    broken = is_broken(deployment.controls)
    record.line(f"rule Fault: {'broken' if broken else 'held'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(play, HERE))
