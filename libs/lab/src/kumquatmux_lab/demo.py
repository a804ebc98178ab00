"""The demonstration: a whole site, its callers and four disturbances."""

from __future__ import annotations

import shutil
import socket
import sys
from pathlib import Path

import trio

from kumquatmux_core.identity import Endpoint, ServiceName, ZoneName
from kumquatmux_lab.site import (
    DEFAULT_NETWORK,
    Site,
    SiteService,
    SiteSettings,
    planned_vms,
    write_site,
)
from kumquatmux_lab.standin.load import Load, LoadKind, LoadRow, format_rows
from kumquatmux_lab.surroundings import ServerPlan, Surroundings, open_surroundings

SEED = 20
LOAD_S = 16.0
DRAIN_AT_S = 3.0
CHANGE_AT_S = 6.0
KILL_AT_S = 9.0
STOP_AT_S = 12.0
FABRIC_NOTICES_S = 1.0
LAST_REPLIES_S = 3.0
LEAVING_LIMIT_S = 3.0
WATCH_S = 0.05
WATCH_LIMIT_S = 10.0

ENTRIES = SiteService(ServiceName("entries"), Endpoint("127.66.0.50", 80))
PAGESETTER = SiteService(ServiceName("pagesetter"), Endpoint("127.66.0.51", 80))
ZONES = (ZoneName("cnx-a"), ZoneName("cnx-b"), ZoneName("lpg-a"))
PLANS = (ServerPlan(ENTRIES, 7, 2), ServerPlan(PAGESETTER, 3, 2))
KINDS = (
    LoadKind("results feeds", ENTRIES.name, ENTRIES.address, 0, 500, 0, feeds=60),
    LoadKind("entry amendments", ENTRIES.name, ENTRIES.address, 80, 20, 600),
    LoadKind(
        name="finished pages",
        service=PAGESETTER.name,
        address=PAGESETTER.address,
        per_second=15,
        work_ms=20,
        reply_bytes=50_000,
        long_share=0.02,
        long_factor=25,
    ),
)


def main(folder: Path, network: str = DEFAULT_NETWORK) -> int:
    """Run the demonstration; return 0 if nothing was broken or misrouted."""
    settings = SiteSettings(folder, ZONES, 2, 3, (ENTRIES, PAGESETTER), network)
    taken = address_taken(settings)
    if taken is not None:
        print(f"{taken} is in use; does another demonstration run?", file=sys.stderr)
        return 2
    shutil.rmtree(folder, ignore_errors=True)
    site = write_site(settings)
    say(f"six entry VMs in three zones and three control VMs; logs in {folder.name}/")
    return trio.run(run, site)


def address_taken(settings: SiteSettings) -> Endpoint | None:
    """Return the first address of a site that another process listens on."""
    for vm in planned_vms(settings):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(vm.control)
            except OSError:
                return vm.control
    return None


async def run(site: Site) -> int:
    """Start the site, load it, disturb it and report."""
    async with open_surroundings(site, PLANS, SEED) as around:
        say("settings agreed, backend servers announced; callers begin")
        load = Load(around.fabric, "127.67.0", SEED)
        until = trio.current_time() + LOAD_S
        async with trio.open_nursery() as nursery:
            for kind in KINDS:
                nursery.start_soon(load.run, kind, until)
            nursery.start_soon(drain, around)
            nursery.start_soon(change, around)
            nursery.start_soon(kill, around)
            nursery.start_soon(stop, around)
        await trio.sleep(LAST_REPLIES_S)
        return report(around, load.rows())


async def drain(around: Surroundings) -> None:
    """Drain one backend server and watch that it gets nothing new."""
    await trio.sleep(DRAIN_AT_S)
    backend = around.backends_of(ENTRIES.name)[0]
    await backend.announcer.drain()
    say(f"drained backend server {backend.server.name}")
    await trio.sleep(LEAVING_LIMIT_S)
    before = backend.server.accepted
    await trio.sleep(LOAD_S - DRAIN_AT_S - LEAVING_LIMIT_S)
    new = backend.server.accepted - before
    say(f"it got {new} new flows later than {LEAVING_LIMIT_S:.0f} s after that")


async def change(around: Surroundings) -> None:
    """Change one default and tell how long it takes to be in force everywhere."""
    await trio.sleep(CHANGE_AT_S)
    answer = await around.command_until_done(
        "set", "defaults.placement.hold_ms", "800", "--note", "demonstration"
    )
    accepted = trio.current_time()
    revision = answer["revision"]
    say(f"set defaults.placement.hold_ms to 800: revision {revision}")
    with trio.move_on_after(WATCH_LIMIT_S) as scope:
        while not await in_force(around, revision):
            await trio.sleep(WATCH_S)
    if scope.cancelled_caught:
        say(f"not in force everywhere after {WATCH_LIMIT_S:.0f} s")
        return
    taken = trio.current_time() - accepted
    say(f"in force on every entry VM within {taken:.1f} s")


async def in_force(around: Surroundings, revision: int) -> bool:
    """Return whether every entry VM runs a revision."""
    status = await around.command("status")
    entries = [vm for vm in status.get("vms", []) if vm["role"] == "entry"]
    up = [vm for vm in entries if vm["state"] == "up"]
    behind = [vm for vm in up if vm["revision"] < revision]
    return len(up) >= len(around.fabric.vms) and not behind


async def kill(around: Surroundings) -> None:
    """Kill one entry daemon without warning."""
    await trio.sleep(KILL_AT_S)
    vm = around.site.entries()[1]
    around.processes.kill(vm)
    say(f"killed entry VM {vm.name}")
    await trio.sleep(FABRIC_NOTICES_S)
    around.fabric.remove_vm(vm.packets)


async def stop(around: Surroundings) -> None:
    """Stop one entry daemon gracefully."""
    await trio.sleep(STOP_AT_S)
    vm = around.site.entries()[4]
    around.processes.terminate(vm)
    say(f"asked entry VM {vm.name} to stop")
    await trio.sleep(FABRIC_NOTICES_S)
    around.fabric.remove_vm(vm.packets)
    code = await around.processes.wait(vm)
    say(f"it stopped with exit code {code}")


def report(around: Surroundings, rows: list[LoadRow]) -> int:
    """Print what became of every flow; return the exit code."""
    print()
    print(format_rows(rows))
    wrong = sum(backend.server.misrouted for backend in around.backends)
    runs = [run.request_id for b in around.backends for run in b.server.runs]
    twice = len(runs) - len(set(runs))
    print(f"\nrequests that reached a wrong service: {wrong}; run twice: {twice}")
    bad = sum(row.broken + row.misrouted for row in rows) + wrong + twice
    return 1 if bad else 0


def say(text: str) -> None:
    """Print one line at once."""
    print(f"- {text}")
    sys.stdout.flush()
