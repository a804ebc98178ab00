"""A small deployment on loopback addresses, with stand-ins for all around it.

The programs are started with the commands of ``deploy/system.toml``. The fabric, the
backend servers, the callers and the operator are stand-ins that behave as the users'
pages say; each case adds its own disturbance.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[2]
SYN, ACK, FIN, RST = 128, 16, 8, 64
HEAD = struct.Struct("!IH4s4sHIIIB5sH")
SERVER_HEAD = struct.Struct("!Q")
SPACE = 1 << 32
SYN_TIMES_S = (0.0, 0.2, 0.6)
SYN_GIVE_UP_S = 1.4
RESENDS = 8
RESEND_S = 0.2
LONGEST_RESEND_S = 1.6
PROBE_S = 0.5
CALL_S = 1.0
RESTART_S = 0.3
MAX_DATA = 1200
"""Bytes of data in a packet at most."""

TO_CALLER_S = 0.0059
"""Seconds from a server to a caller in another zone: 4.9 ms and 1 ms."""

ZONES = ("cnx-a", "cnx-b", "lpg-a")
BOUNDS = {
    "seed-lag-s": 3,
    "addr-reuse-s": 2,
    "contact-ms": 4000,
    "ack-ms": 5000,
    "catch-up-s": 4,
    "drain-ms": 3000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 3000,
    "rollback-slack-ms": 250,
    "max-stretch-ms": 12000,
    "recovery-s": 12,
    "reorder-ms": 2000,
    "max-flow-s": 60,
}


class Packet(NamedTuple):
    """A packet of a flow; field names are those of the users' pages."""

    echo: int
    dport: int
    dst: str
    src: str
    sport: int
    sum: int
    seq: int
    ack: int
    flags: int
    data: bytes = b""

    def encode(self) -> bytes:
        """Return the packet's bytes."""
        return (
            HEAD.pack(
                self.echo,
                self.dport,
                socket.inet_aton(self.dst),
                socket.inet_aton(self.src),
                self.sport,
                self.sum,
                self.seq,
                self.ack,
                self.flags,
                bytes(5),
                len(self.data),
            )
            + self.data
        )


def decode(data: bytes) -> Packet:
    """Return the packet in some bytes."""
    echo, dport, dst, src, sport, total, seq, ack, flags, _, size = HEAD.unpack_from(
        data
    )
    body = data[HEAD.size :]
    assert len(body) == size
    return Packet(
        echo,
        dport,
        socket.inet_ntoa(dst),
        socket.inet_ntoa(src),
        sport,
        total,
        seq,
        ack,
        flags,
        body,
    )


class Datagrams(asyncio.DatagramProtocol):
    """A UDP socket that hands each datagram to a function."""

    def __init__(self, take: Callable[[bytes], None]) -> None:
        self.take = take
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a datagram on."""
        self.take(data)

    def error_received(self, exc: Exception) -> None:
        """Leave errors about datagrams that met no listener."""


async def bind(ip: str, port: int, take: Callable[[bytes], None]) -> Datagrams:
    """Return a bound UDP socket."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: Datagrams(take), local_addr=(ip, port)
    )
    return protocol


async def call(
    address: str, method: str, path: str, body: object = None, source: str = ""
) -> tuple[int, dict[str, str], bytes]:
    """Make one HTTP call; status 0 if no answer came within a second."""
    ip, _, port = address.rpartition(":")
    text = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
    )
    local = (source, 0) if source else None
    writer = None
    try:
        async with asyncio.timeout(CALL_S):
            reader, writer = await asyncio.open_connection(
                ip, int(port), local_addr=local
            )
            writer.write(head.encode() + text)
            answer = await reader.read()
    except (OSError, TimeoutError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()
    top, _, rest = answer.partition(b"\r\n\r\n")
    lines = top.decode(errors="replace").split("\r\n")
    if not lines[0].startswith("HTTP/1.1 "):
        return 0, {}, b""
    fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    return int(lines[0].split()[1]), fields, rest


async def call_any(
    addresses: list[str], method: str, path: str, body: object = None, tries: int = 30
) -> tuple[int, bytes]:
    """Call one control VM after another as callers do, until one answers clearly."""
    wait_s = 0.05
    for number in range(tries):
        address = addresses[number % len(addresses)]
        for _ in range(3):
            status, fields, answer = await call(address, method, path, body)
            if status != 307:
                break
            rest = fields["location"].removeprefix("http://")
            address = rest.partition("/")[0]
        if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
            return status, answer
        await asyncio.sleep(wait_s)
        wait_s = min(2 * wait_s, 1.0)
    return 0, b""


class Machine:
    """A machine of the system, with the process that runs on it."""

    def __init__(self, name: str, ip: str, zone: str, role: str) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.role = role
        self.process: asyncio.subprocess.Process | None = None
        self.is_wanted = True
        self.restart_s = RESTART_S
        self.is_told = False
        self.own_ends: list[int] = []
        self.misses = 2
        self.is_first_start = True
        self.has_disk_left = True


class Site:
    """The deployment: processes, fabric, operator and the record of a case."""

    def __init__(
        self, folder: Path, entries: int = 2, seed: int = 1, spares: int = 0
    ) -> None:
        self.random = random.Random(seed)
        self.folder = folder
        self.started_at = time.monotonic()
        self.work = Path(tempfile.mkdtemp(prefix="review-case-"))
        self.net = f"127.{os.getpid() % 200 + 20}"
        self.record_file = (folder / "record.txt").open("w")
        self.ports = free_ports()
        self.machines: list[Machine] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.version = 0
        self.manifest: dict[str, object] = {}
        for number, zone in enumerate(ZONES, 1):
            self.machines.append(
                Machine(f"core-{zone}-1", f"{self.net}.{number}.9", zone, "control")
            )
            for entry in range(1, entries + 1):
                name = f"edge-{zone}-{entry}"
                ip = f"{self.net}.{number}.{20 + entry}"
                self.machines.append(Machine(name, ip, zone, "entry"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.commands = {
            role: shlex.split(one["run"]) for role, one in deploy["roles"].items()
        }
        self.extra_bounds: dict[str, float] = {}

    def note(self, text: str) -> None:
        """Write a line to the record."""
        at = time.monotonic() - self.started_at
        self.record_file.write(f"{at:8.3f} {text}\n")
        self.record_file.flush()

    @property
    def controls(self) -> list[Machine]:
        """The control VMs."""
        return [one for one in self.machines if one.role == "control"]

    @property
    def control_addresses(self) -> list[str]:
        """Where the control VMs take calls."""
        return [f"{one.ip}:{self.ports['control']}" for one in self.controls]

    def entries(self, zone: str) -> list[Machine]:
        """Return the entry VMs of a zone, in their fixed order."""
        return [
            one for one in self.machines if one.role == "entry" and one.zone == zone
        ]

    def settings(self, machine: Machine) -> dict[str, object]:
        """Return the settings file of a machine as the pages describe it."""
        ports = self.ports
        is_core = machine.role == "control"
        binds = (
            {"control": f"{machine.ip}:{ports['control']}"}
            if is_core
            else {
                "datagram-addr": f"{machine.ip}:{ports['packets']}",
                "ready": f"{machine.ip}:{ports['ready']}",
            }
        )
        folder = self.work / f"{machine.name}.data"
        if is_core:
            folder.mkdir(exist_ok=True)
        return {
            "node-name": machine.name,
            "role": machine.role,
            "machine-class": "core" if is_core else "edge",
            "serves": ["control"] if is_core else ["edge"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": "th-north",
            "zones": dict.fromkeys(ZONES, "th-north"),
            "bind-addrs": binds,
            "internal-port-range": [ports["internal"], ports["internal"] + 3],
            "seed-nodes": self.control_addresses[:3],
            "bootstrap": machine.is_first_start,
            "fault-counted": is_core,
            "limits": {
                "cpu-share": 0.645 if is_core else 0.537,
                "cpu-speed-factor": 1 if is_core else 2,
                "memory-mb": 296 if is_core else 300,
                "max-fds": 4096 if is_core else 4100,
                "link-mbps": 170.0 if is_core else 1000.0,
                "disk-mb": 128 if is_core else 0,
            },
            "data-dir": str(folder) if is_core else None,
            "discovery": "registry",
            "entry": "advertise",
            "heartbeat-ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows"],
            "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {**BOUNDS, **self.extra_bounds},
            "config_mode": "highest",
            "hash": "mod",
            "forwarding-mode": "echo",
        }

    async def start(self) -> None:
        """Start all programs and the fabric's looks at them."""
        for machine in self.machines:
            self.spawn(self.keep_running(machine))
            if machine.role == "entry":
                self.spawn(self.probe(machine))

    def spawn(self, work: object) -> None:
        """Run some work until the end."""
        self.tasks.append(asyncio.ensure_future(work))  # type: ignore[arg-type]

    async def keep_running(self, machine: Machine) -> None:
        """Start a machine's program, also again after it ended."""
        while machine.is_wanted:
            path = self.work / f"{machine.name}.json"
            path.write_text(json.dumps(self.settings(machine)))
            machine.is_first_start = False
            environment = {
                "PATH": os.environ.get("PATH", ""),
                "HOME": str(self.work),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "KUMQUATMUX_NODE_FILE": str(path),
            }
            with (self.work / f"{machine.name}.log").open("ab") as log:
                machine.is_told = False
                machine.process = await asyncio.create_subprocess_exec(
                    *self.commands[machine.role],
                    cwd=ROOT,
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
            self.note(f"{machine.name} starts as process {machine.process.pid}")
            code = await machine.process.wait()
            if not machine.is_told:
                machine.own_ends.append(code)
            self.note(f"{machine.name} ended with {code}")
            await asyncio.sleep(machine.restart_s)

    def send_signal(self, machine: Machine, number: int) -> None:
        """Send a signal to a machine's program."""
        if machine.process is None or machine.process.returncode is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            machine.is_told = True
        self.note(f"{signal.Signals(number).name} to {machine.name}")
        machine.process.send_signal(number)

    async def terminate(self, machine: Machine) -> None:
        """Stop a program as the platform does: SIGTERM, SIGKILL after grace-s."""
        process = machine.process
        self.send_signal(machine, signal.SIGTERM)
        await asyncio.sleep(BOUNDS["grace-s"])
        if process is machine.process and process and process.returncode is None:
            self.send_signal(machine, signal.SIGKILL)

    async def probe(self, machine: Machine) -> None:
        """Look twice a second whether an entry VM is ready."""
        address = f"{machine.ip}:{self.ports['ready']}"
        while True:
            began = time.monotonic()
            status, _, _ = await call(address, "GET", "/v1/readiness")
            was_in = machine.misses < 2
            machine.misses = 0 if status == 200 else machine.misses + 1
            if was_in != (machine.misses < 2):
                self.note(f"fabric: {machine.name} in rotation: {machine.misses < 2}")
            await asyncio.sleep(max(PROBE_S - (time.monotonic() - began), 0.0))

    def rotation(self, zone: str) -> list[Machine]:
        """Return the entry VMs that take the packets of a zone's callers."""
        own = self.entries(zone)
        ready = [one for one in own if one.misses < 2]
        if 2 * len(ready) >= len(own):
            return ready
        if ready:
            return own
        others = [
            one for other in ZONES if other != zone for one in self.entries(other)
        ]
        return [one for one in others if one.misses < 2]

    def route(self, zone: str, packet: Packet, sender: Datagrams) -> None:
        """Forward a caller's packet to an entry VM of its zone."""
        vms = self.rotation(zone)
        if not vms or sender.transport is None:
            return
        key = f"{packet.src}:{packet.sport}>{packet.dst}:{packet.dport}".encode()
        chosen = vms[int.from_bytes(key_hash(key)) % len(vms)]
        sender.transport.sendto(packet.encode(), (chosen.ip, self.ports["packets"]))

    async def wait_until(
        self, holds: Callable[[], bool], seconds: float, what: str
    ) -> None:
        """Wait until something holds, or give the case up."""
        give_up_at = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > give_up_at:
                raise CannotRunError(f"not within {seconds} s: {what}")
            await asyncio.sleep(0.05)

    async def wait_until_ready(self) -> None:
        """Wait until all entry VMs are in rotation."""
        entries = [one for one in self.machines if one.role == "entry"]
        await self.wait_until(
            lambda: all(one.misses == 0 for one in entries), 20, "entry VMs ready"
        )

    async def put_manifest(
        self, routes: list[dict[str, object]], idle_timeout_ms: int = 15_000
    ) -> int:
        """Send a manifest until it is acknowledged; return its version."""
        self.version += 1
        services = sorted({str(one["backend"]) for one in routes})
        self.manifest = {
            "version": self.version,
            "routes": routes,
            "backends": [
                {
                    "name": one,
                    "health-path": "/health",
                    "max-conns": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for one in services
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": idle_timeout_ms,
            },
        }
        version = self.version
        status, answer = await call_any(
            self.control_addresses, "PUT", "/v1/config", self.manifest
        )
        self.note(f"operator: PUT version {version} answered {status}")
        if status != 200:
            raise CannotRunError(f"manifest {version}: {status} {answer[:200]!r}")
        return version

    async def stop(self) -> None:
        """End every process that was started."""
        for machine in self.machines:
            machine.is_wanted = False
            machine.is_told = True
            process = machine.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for machine in self.machines:
            if machine.process is not None:
                await machine.process.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        shutil.rmtree(self.work, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not run."""


class ServerFlow:
    """A flow at a server, half open until the caller acknowledges its SYN+ACK."""

    def __init__(self, packet: Packet, seq: int) -> None:
        self.caller = packet
        self.echo = packet.echo
        self.first_seq = seq
        self.next_seq = (seq + 1) % SPACE
        self.expected = (packet.seq + 1) % SPACE
        self.is_open = False
        self.resends = 0
        self.last_answer: Packet | None = None


class Server:
    """One lifetime of a backend server, which answers each packet of data.

    Attributes:
        drops_out: Tells whether a packet that this server sends is lost.
        syn_delay_s: Seconds by which it answers a SYN late.
    """

    def __init__(
        self, site: Site, name: str, ip: str, zone: str, service: str, port: int = 8400
    ) -> None:
        self.site = site
        self.name = name
        self.ip = ip
        self.port = port
        self.zone = zone
        self.service = service
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.flows: dict[tuple[str, int, str, int], ServerFlow] = {}
        self.drops_out: Callable[[Packet], bool] = lambda packet: False
        self.syn_delay_s = 0.0
        self.work_s = 0.03
        self.is_up = False
        self.is_reporting = True
        self.acks: list[tuple[float, str]] = []
        self.ran: list[str] = []
        self.syns: list[tuple[float, Packet]] = []
        self.heartbeat_addr = ""
        self.on_run: Callable[[Server, Packet], None] = lambda server, packet: None

    @property
    def number(self) -> int:
        """The number that names this server in a datagram."""
        return int(self.name.rpartition("-")[2], 16)

    async def start(self) -> None:
        """Listen and begin to report."""
        self.socket = await bind(self.ip, self.port, self.take)
        self.listener = await asyncio.start_server(self.health, self.ip, self.port)
        self.is_up = True
        self.site.spawn(self.report_on())

    async def health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a health probe."""
        try:
            if await reader.readline():
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def report_on(self) -> None:
        """Report what this server says of itself about every heartbeat-ms."""
        while self.is_up and self.is_reporting:
            await self.report()
            await asyncio.sleep(1.2 * self.site.random.uniform(0.95, 1.05))

    async def report(self, first: str = "") -> str:
        """Report once; return the address that acknowledged, empty for none."""
        self.seq += 1
        state = self.state
        body = {
            "backend": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": 2,
            "state": state,
            "warmup-left-ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        addresses = list(self.site.control_addresses)
        self.site.random.shuffle(addresses)
        preferred = first or self.heartbeat_addr
        if preferred:
            addresses = [preferred, *(one for one in addresses if one != preferred)]
        for address in addresses:
            status, _, answer = await call(
                address, "PUT", f"/v1/instances/{self.name}", body
            )
            if 200 <= status < 300:
                self.acks.append((time.monotonic(), state))
                told = json.loads(answer or b"{}")
                self.heartbeat_addr = told.get("heartbeat-addr", "")
                return address
            self.heartbeat_addr = ""
        return ""

    async def leave(self) -> bool:
        """Say that this server ends; return whether that was acknowledged."""
        self.is_reporting = False
        for address in [self.heartbeat_addr, *self.site.control_addresses]:
            if not address:
                continue
            status, _, _ = await call(address, "DELETE", f"/v1/instances/{self.name}")
            if 200 <= status < 300:
                return True
        return False

    def end(self) -> None:
        """End this lifetime; its port is free then."""
        self.is_up = False
        self.is_reporting = False
        self.flows.clear()
        self.listener.close()
        if self.socket.transport is not None:
            self.socket.transport.close()

    def take(self, data: bytes) -> None:
        """Take a datagram."""
        if not self.is_up:
            return
        (number,) = SERVER_HEAD.unpack_from(data)
        if number not in (0, self.number):
            return
        packet = decode(data[SERVER_HEAD.size :])
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            self.take_syn(key, packet)
            return
        flow = self.flows.get(key)
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        opens = flow is not None and packet.ack == flow.next_seq
        if flow is None or not (flow.is_open or opens):
            self.site.note(f"{self.name} does not hold flow {key}: RST")
            self.send(self.answer_to(packet, RST, packet.ack, 0, echo=packet.echo))
            return
        if not flow.is_open:
            flow.is_open = True
            self.site.note(f"{self.name} has the end of the handshake of {key[0]}")
        flow.echo = packet.echo
        self.take_data(key, flow, packet)

    def take_syn(self, key: tuple[str, int, str, int], packet: Packet) -> None:
        """Answer a SYN."""
        self.syns.append((time.monotonic(), packet))
        flow = self.flows.get(key)
        if flow is not None and flow.is_open:
            return
        if flow is None:
            flow = ServerFlow(packet, self.site.random.randrange(SPACE))
            self.flows[key] = flow
            self.site.spawn(self.accept(key, flow))
        flow.echo = packet.echo

    async def accept(self, key: tuple[str, int, str, int], flow: ServerFlow) -> None:
        """Send the SYN+ACK, again while it is not acknowledged."""
        await asyncio.sleep(self.syn_delay_s)
        wait_s = RESEND_S
        for _ in range(RESENDS + 1):
            if self.flows.get(key) is not flow or flow.is_open:
                return
            answer = self.answer_to(
                flow.caller, SYN | ACK, flow.first_seq, flow.expected, echo=flow.echo
            )
            self.send(answer)
            await asyncio.sleep(wait_s)
            wait_s = min(2 * wait_s, LONGEST_RESEND_S)
        if self.flows.get(key) is flow and not flow.is_open:
            del self.flows[key]

    def take_data(
        self, key: tuple[str, int, str, int], flow: ServerFlow, packet: Packet
    ) -> None:
        """Run a request, answer it, and answer a copy of it with a copy."""
        if packet.flags & FIN:
            end = (packet.seq + len(packet.data) + 1) % SPACE
            self.send(
                self.answer_to(packet, ACK | FIN, flow.next_seq, end, echo=flow.echo)
            )
            del self.flows[key]
            return
        if not packet.data:
            return
        if packet.seq == flow.expected:
            flow.expected = (packet.seq + len(packet.data)) % SPACE
            self.site.spawn(self.run(key, flow, packet))
        elif flow.last_answer is not None:
            self.send(flow.last_answer._replace(echo=flow.echo))

    async def run(
        self, key: tuple[str, int, str, int], flow: ServerFlow, packet: Packet
    ) -> None:
        """Work on a request and send its answer, which fits one packet."""
        request = packet.data.split(b"X-Request-Id: ")[-1].split(b"\r\n")[0].decode()
        self.ran.append(request)
        self.on_run(self, packet)
        self.site.note(f"{self.name} runs request {request}")
        await asyncio.sleep(self.work_s)
        if not self.is_up or self.flows.get(key) is not flow:
            return
        body = f"X-Server-Signature: {self.name} {request}\r\n".encode().ljust(
            900, b"."
        )
        answer = self.answer_to(
            packet, ACK, flow.next_seq, flow.expected, body, echo=flow.echo
        )
        flow.next_seq = (flow.next_seq + len(body)) % SPACE
        flow.last_answer = answer
        self.send(answer)

    def answer_to(
        self,
        packet: Packet,
        flags: int,
        seq: int,
        ack: int,
        data: bytes = b"",
        echo: int = 0,
    ) -> Packet:
        """Return a packet of this server for the caller of another one."""
        return Packet(
            echo,
            packet.sport,
            packet.src,
            packet.dst,
            packet.dport,
            self.number & 0xFFFFFFFF or 1,
            seq,
            ack,
            flags,
            data,
        )

    def send(self, packet: Packet) -> None:
        """Send a packet to its caller, unless it is lost on the way."""
        if self.drops_out(packet) or self.socket.transport is None:
            return
        asyncio.get_running_loop().call_later(TO_CALLER_S, self.deliver, packet)

    def deliver(self, packet: Packet) -> None:
        """Hand a packet to its caller, unless this lifetime has ended meanwhile."""
        if self.is_up and self.socket.transport is not None:
            target = (packet.dst, self.site.ports["packets"])
            self.socket.transport.sendto(packet.encode(), target)


class Caller:
    """A caller with one flow at a time.

    Attributes:
        echo: The last echo that it received on the flow.
        state: ``opening``, ``open``, ``refused``, ``reset`` or ``given-up``.
        reset_by: Who sent the reset: the mark of a server, 0 for the system.
    """

    def __init__(self, site: Site, ip: str, zone: str, route: tuple[str, int]) -> None:
        self.site = site
        self.ip = ip
        self.zone = zone
        self.route_ip, self.route_port = route
        self.port = 40000
        self.requests = 0
        self.reset_by = -1
        self.answers: dict[str, str] = {}
        self.forget()

    def forget(self) -> None:
        """Begin anew, from another port."""
        self.port += 1
        self.state = "idle"
        self.echo = 0
        self.seq = self.site.random.randrange(SPACE)
        self.ack = 0
        self.holder = 0
        self.opened_at = 0.0
        self.wake = asyncio.Event()
        self.answered = ""

    async def start(self) -> None:
        """Take packets."""
        self.socket = await bind(self.ip, self.site.ports["packets"], self.take)

    def send(self, flags: int, data: bytes = b"", ack: int | None = None) -> None:
        """Send a packet by way of the fabric."""
        packet = Packet(
            self.echo,
            self.route_port,
            self.route_ip,
            self.ip,
            self.port,
            7,
            self.seq,
            self.ack if ack is None else ack,
            flags,
            data,
        )
        self.site.route(self.zone, packet, self.socket)

    async def open(self) -> bool:
        """Open a flow; return whether it opened."""
        self.forget()
        self.state = "opening"
        began = time.monotonic()
        for copy, offset_s in enumerate(SYN_TIMES_S):
            left_s = began + offset_s - time.monotonic()
            if await self.left(left_s):
                break
            self.send_syn(copy)
        await self.left(began + SYN_GIVE_UP_S - time.monotonic())
        if self.state == "opening":
            self.state = "given-up"
        return self.state == "open"

    def send_syn(self, copy: int) -> None:
        """Send a copy of the SYN, which carries no echo."""
        echo, self.echo = self.echo, 0
        self.send(SYN, ack=copy)
        self.echo = echo

    async def left(self, seconds: float) -> bool:
        """Wait while the flow is opening; return whether it is no longer."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(seconds, 0.0)):
                await self.wake.wait()
        return self.state != "opening"

    async def ask(self, budget_s: float = 2.5) -> str:
        """Send a request; return ``answered``, ``reset`` or ``silent``."""
        self.requests += 1
        request = f"{self.ip}-{self.requests}"
        data = f"GET / HTTP/1.1\r\nX-Request-Id: {request}\r\n\r\n".encode()
        self.answered = ""
        give_up_at = time.monotonic() + budget_s
        wait_s = RESEND_S
        while self.state == "open" and time.monotonic() < give_up_at:
            self.send(ACK, data)
            resend_at = min(time.monotonic() + wait_s, give_up_at)
            while time.monotonic() < resend_at and self.state == "open":
                if self.answered:
                    self.answers[request] = self.answered
                    return "answered"
                await asyncio.sleep(0.005)
            wait_s = min(2 * wait_s, LONGEST_RESEND_S)
        return "reset" if self.state == "reset" else "silent"

    def take(self, data: bytes) -> None:
        """Take a packet of a server or the system."""
        packet = decode(data)
        if packet.dport != self.port or self.state not in ("opening", "open"):
            return
        if packet.flags & RST:
            self.take_reset(packet)
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            if self.state == "opening":
                self.state = "open"
                self.wake.set()
                self.opened_at = time.monotonic()
                self.holder = packet.sum
                self.seq = (self.seq + 1) % SPACE
                self.ack = (packet.seq + 1) % SPACE
                self.send(ACK)
            elif packet.sum != self.holder:
                self.site.note(f"caller {self.ip} gets a late SYN+ACK of {packet.sum}")
            return
        if self.state == "open" and packet.data and packet.seq == self.ack:
            self.ack = (packet.seq + len(packet.data)) % SPACE
            self.seq = packet.ack
            self.answered = packet.data.decode().split("\r\n")[0]
            self.send(ACK)

    def take_reset(self, packet: Packet) -> None:
        """Take a reset if its place in the flow is one that this caller accepts."""
        offset = (packet.seq - self.ack + 76_800) % SPACE
        if self.state == "open" and offset > 2 * 76_800:
            return
        self.state = "reset" if self.state == "open" else "refused"
        self.wake.set()
        self.reset_by = packet.sum


def key_hash(key: bytes) -> bytes:
    """Return a hash of the four addresses and ports, as the fabric's routers do."""
    return hashlib.blake2b(key, digest_size=4).digest()


def free_ports() -> dict[str, int]:
    """Return ports that nothing uses now."""
    holders = []
    names = ("control", "packets", "ready", "internal")
    ports = {}
    for name in names:
        holder = socket.socket()
        holder.bind(("127.0.0.1", 0))
        holders.append(holder)
        ports[name] = holder.getsockname()[1]
    for holder in holders:
        holder.close()
    ports["internal"] = min(ports["internal"], 65_000)
    return ports


def play(case: object, folder: Path, entries: int = 2) -> None:
    """Play a case and exit with its outcome: 0 held, 1 broken, 2 could not run."""

    async def run() -> int:
        site = Site(folder, entries=entries, seed=int(os.environ.get("SEED", "1")))
        try:
            async with asyncio.timeout(115):
                broken: Iterable[str] = await case(site)  # type: ignore[operator]
        except (CannotRunError, TimeoutError, OSError, AssertionError) as error:
            site.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await site.stop()
        for sentence in broken:
            site.note(f"BROKEN {sentence}")
            print(f"BROKEN {sentence}")
        site.note(f"outcome: {'broken' if broken else 'held'}")
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))


def has_trouble() -> bool:
    """Return whether the disturbance is part of this play."""
    return os.environ.get("TROUBLE", "1") != "0"
