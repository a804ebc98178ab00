"""The daemons of a site, started and stopped as plain processes of this machine."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import trio

from kumquatmux_lab.site import Site, SiteVm

KILL_AFTER_S = 35.0
POLL_S = 0.05


class Processes:
    """The daemons of one site, by name."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, vm: SiteVm, *, found: bool = False) -> None:
        """Start one daemon; its log goes to a file beside its settings."""
        command = [
            str(Path(sys.executable).with_name("kumquatmux")),
            vm.role,
            "--config",
            str(self.site.file_of(vm)),
        ]
        if found:
            command.append("--found")
        with self.log_of(vm).open("ab") as log:
            self.running[vm.name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def start_all(self) -> None:
        """Start every daemon of a new site."""
        for number, vm in enumerate(self.site.controls()):
            self.start(vm, found=number == 0)
        for vm in self.site.entries():
            self.start(vm)

    def kill(self, vm: SiteVm) -> None:
        """End one daemon without warning."""
        self.running[vm.name].kill()

    def terminate(self, vm: SiteVm) -> None:
        """Ask one daemon for a graceful shutdown."""
        self.running[vm.name].terminate()

    async def wait(self, vm: SiteVm) -> int:
        """Return the exit code of a daemon once it has ended."""
        process = self.running[vm.name]
        while process.poll() is None:
            await trio.sleep(POLL_S)
        return process.returncode

    async def stop_all(self) -> dict[str, int]:
        """Shut every daemon down and return their exit codes."""
        for process in self.running.values():
            if process.poll() is None:
                process.terminate()
        with trio.move_on_after(KILL_AFTER_S):
            for vm in self.site.vms:
                if vm.name in self.running:
                    await self.wait(vm)
        for process in self.running.values():
            if process.poll() is None:
                process.kill()
        return {name: process.wait() for name, process in self.running.items()}

    def log_of(self, vm: SiteVm) -> Path:
        """Return the log file of a daemon."""
        return self.site.settings.folder / f"{vm.name}.log"
