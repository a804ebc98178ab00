"""The platform's programs as processes of this machine, disturbed from outside."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

from standins.deployment import ROOT, Deployment, Machine, Site
from standins.record import Record

METRICS_PORT = 9464
HANDLER_S = 20.0
"""Longest wait for a process that sets its signal handlers."""

POLL_S = 0.01


def entry_site(entries_a_zone: int) -> Site:
    """Return a site with a control VM and some entry VMs in each of three zones."""
    zones = dict.fromkeys(("cnx-a", "cnx-b", "lpg-a"), entries_a_zone)
    return Site("th-north", zones, 1200)


class Programs(Deployment):
    """A deployment whose programs run from the checkout's own packages.

    Attributes:
        stop_codes: Exit codes of programs that were told to stop, by name.
    """

    def __init__(self, record: Record, site: Site) -> None:
        super().__init__(record, site)
        self.stop_codes: list[tuple[str, int]] = []
        self.stopping: set[str] = set()

    def own_ends(self) -> list[str]:
        """Return a sentence for each time that a program ended by itself."""
        return [
            f"{one.name} ended by itself with {code}: {self.log_tail(one, 2)}"
            for one in self.machines.values()
            for code in one.ends
        ]

    def is_running(self, machine: Machine) -> bool:
        """Return whether a machine's program runs now."""
        return machine.process is not None and machine.process.returncode is None

    def kill(self, machine: Machine) -> None:
        """Kill a program; it is started again."""
        if self.is_running(machine):
            self.stopping.discard(machine.name)
            machine.is_killed = True
            machine.process.send_signal(signal.SIGKILL)

    def terminate(self, machine: Machine) -> None:
        """Ask a program to stop, unless it was just killed; it is started again."""
        is_ending = machine.is_killed or machine.name in self.stopping
        if self.is_running(machine) and not is_ending:
            self.stopping.add(machine.name)
            machine.process.send_signal(signal.SIGTERM)

    def hang_up(self, machine: Machine) -> None:
        """Tell a program that its settings file has changed."""
        if self.is_running(machine):
            machine.process.send_signal(signal.SIGHUP)

    async def wait_for_handlers(self, machine: Machine) -> bool:
        """Wait until a program catches SIGHUP, as an interpreter's start does not."""
        try:
            async with asyncio.timeout(HANDLER_S):
                while not _catches_hang_up(machine):
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            return False
        return True

    def settings_path(self, machine: Machine) -> Path:
        """Return the settings file of a machine."""
        return self.folder / f"{machine.name}.json"

    def data_folder(self, machine: Machine) -> Path:
        """Return the data folder of a control VM."""
        return self.folder / f"{machine.name}.data"

    def hold_port(self, machine: Machine, port: int) -> socket.socket | None:
        """Listen at a port of a machine, None if something else does."""
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            holder.bind((machine.ip, port))
            holder.listen()
        except OSError:
            holder.close()
            return None
        return holder

    def _note_end(self, machine: Machine, code: int) -> None:
        if machine.name in self.stopping:
            self.stopping.discard(machine.name)
            machine.is_killed = False
            self.stop_codes.append((machine.name, code))
            return
        super()._note_end(machine, code)

    async def _start_program(self, machine: Machine) -> asyncio.subprocess.Process:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": os.pathsep.join(path for path in sys.path if path),
            "KUMQUATMUX_NODE_FILE": str(self.settings_path(machine)),
        }
        command = [sys.executable, *self.commands[machine.role][1:]]
        out = (self.folder / f"{machine.name}.out").open("ab")
        err = (self.folder / f"{machine.name}.err").open("ab")
        with out, err:
            process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=out, stderr=err
            )
        if not machine.is_wanted:
            # All were stopped while this one was about to start again.
            process.kill()
        return process


def _catches_hang_up(machine: Machine) -> bool:
    if machine.process is None:
        return False
    try:
        status = Path(f"/proc/{machine.process.pid}/status").read_text()
    except OSError:
        return False
    masks = [line for line in status.splitlines() if line[:7] in ("SigCgt:", "SigIgn:")]
    return any(int(line.split()[1], 16) & 1 for line in masks)
