"""Everything around a running site: fabric, backend servers and the operators' tool."""

from __future__ import annotations

import json
import random
import ssl
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import httpx
import tomlkit
import trio

from kumquatmux_core.identity import Endpoint, ServiceName
from kumquatmux_lab.processes import Processes
from kumquatmux_lab.site import Site, SiteService
from kumquatmux_lab.standin.fabric import Fabric, FabricSettings
from kumquatmux_lab.standin.server import ServerSettings, StandInServer
from kumquatmux_lab.standin.server_announcer import (
    AnnouncerSettings,
    LoadReport,
    ServerAnnouncer,
)

SERVER_PORT = 9001
CONNECTIONS = 2_000
READY_WITHIN_S = 30.0
COMMAND_RETRY_S = 0.3


class ServerPlan(NamedTuple):
    """How many backend servers a service has.

    Attributes:
        service: The service.
        servers: How many backend servers.
        slots: Slots of each.
    """

    service: SiteService
    servers: int
    slots: int


class Backend(NamedTuple):
    """A stand-in backend server and the client that keeps it announced."""

    server: StandInServer
    announcer: ServerAnnouncer


class Surroundings:
    """A running site with its fabric and backend servers."""

    def __init__(self, site: Site, seed: int) -> None:
        self.site = site
        self.seed = seed
        self.random = random.Random(seed)
        self.processes = Processes(site)
        vms = tuple(vm.packets for vm in site.entries())
        self.fabric = Fabric(FabricSettings(site.settings.fabric, vms, seed))
        self.backends: list[Backend] = []

    def add_backends(self, plan: ServerPlan, client: httpx.AsyncClient) -> None:
        """Make the backend servers of one service, spread over the zones."""
        zones = self.site.settings.zones
        net = self.site.settings.services.index(plan.service) + 1
        for number in range(plan.servers):
            endpoint = Endpoint(f"127.66.{net}.{number + 1}", SERVER_PORT)
            zone = zones[number % len(zones)]
            settings = ServerSettings(endpoint, plan.service.name, plan.slots)
            server = StandInServer(settings, self.random)
            entries = [vm.http for vm in self.site.entries() if vm.zone == zone]
            announcement = AnnouncerSettings(
                endpoint=endpoint,
                service=plan.service.name,
                zone=zone,
                slots=plan.slots,
                connections=CONNECTIONS,
                token=self.site.tokens[plan.service.name],
                entries=tuple(entries),
                session=time.time_ns() // 1_000_000,
                scheme="https",
            )
            announcer = ServerAnnouncer(
                announcement, client, self.random, load_of(server)
            )
            self.fabric.add_server(server)
            self.backends.append(Backend(server, announcer))

    def backends_of(self, service: ServiceName) -> list[Backend]:
        """Return the backend servers of a service."""
        return [b for b in self.backends if b.server.settings.service == service]

    async def command(self, *arguments: str) -> dict[str, Any]:
        """Run one ``kumquatmux`` command and return its JSON answer."""
        command = [str(Path(sys.executable).with_name("kumquatmux"))]
        for vm in self.site.controls():
            command += ["--api", str(vm.operators)]
        folder = self.site.settings.folder
        command += ["--token-file", str(folder / "operator.token")]
        command += ["--certificate-file", str(self.site.certificate)]
        done = await trio.run_process(
            [*command, *arguments, "--json"], capture_stdout=True, check=False
        )
        answer = json.loads(done.stdout or "{}")
        return {"exit_code": done.returncode, **answer}

    async def command_until_done(self, *arguments: str) -> dict[str, Any]:
        """Run a command again until it succeeds."""
        while True:
            answer = await self.command(*arguments)
            if answer["exit_code"] == 0:
                return answer
            await trio.sleep(COMMAND_RETRY_S)

    async def found(self) -> None:
        """Bring the first settings into force and wait for the backend servers."""
        tree = self.site.settings.folder / "tree.toml"
        tree.write_text(tree_text(self.site))
        await self.command_until_done("apply", str(tree), "--note", "first settings")
        for backend in self.backends:
            await backend.announcer.announced.wait()


def load_of(server: StandInServer) -> Any:
    """Return the call that tells a server's load."""
    return lambda: LoadReport(server.busy, len(server.connections))


def tree_text(site: Site) -> str:
    """Return the first settings of a site as a TOML tree."""
    tree: dict[str, Any] = {}
    for edit in site.first_edits():
        *path, name = edit.path.split(".")
        table = tree
        for part in path:
            table = table.setdefault(part, {})
        table[name] = json.loads(edit.value or "null")
    return tomlkit.dumps(tree)


@asynccontextmanager
async def open_surroundings(
    site: Site, plans: tuple[ServerPlan, ...], seed: int
) -> AsyncIterator[Surroundings]:
    """Start a site with its surroundings and stop all of it at the end."""
    around = Surroundings(site, seed)
    tls = ssl.create_default_context(cafile=str(site.certificate))
    try:
        async with httpx.AsyncClient(verify=tls) as client:
            for plan in plans:
                around.add_backends(plan, client)
            around.processes.start_all()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(around.fabric.run)
                for backend in around.backends:
                    nursery.start_soon(backend.announcer.run)
                with trio.fail_after(READY_WITHIN_S):
                    await around.found()
                yield around
                nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            await around.processes.stop_all()
