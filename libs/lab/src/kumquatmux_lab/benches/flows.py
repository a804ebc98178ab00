"""What the flow engine costs: time a call, memory a flow, bytes on the wire."""

from __future__ import annotations

import random
import resource
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import msgspec
import typer

from kumquatmux_core import decisions
from kumquatmux_core.identity import (
    Endpoint,
    FlowKey,
    ServiceName,
    VmId,
)
from kumquatmux_core.segments import FLAG_ACK, FLAG_SYN, Segment
from kumquatmux_flows.engine import FlowEngine
from kumquatmux_flows.events import (
    Action,
    AskPlacement,
    CallerPacket,
    FlowPlaced,
    RefreshRoute,
    ResetCaller,
    RoutesChanged,
    SendMessage,
    SendToPeer,
    ServerPacket,
    ServerRoute,
    ServiceRoute,
    Tick,
)
from kumquatmux_flows.messages import FLOW_MESSAGES
from kumquatmux_flows.settings import FlowSettings
from kumquatmux_lab.faultruns.flows import FlowRun
from kumquatmux_lab.faultruns.flowworld import RUN_SETTINGS, Node, World

CALLS = 200_000
ENVELOPE_BYTES = 12
SERVICE = Endpoint("127.66.0.50", 80).packed
NAME = ServiceName("entries")
SERVERS = tuple(Endpoint(f"127.66.1.{number}", 9001).packed for number in range(1, 8))
STALE_SECONDS = 2.5
NEW_FLOWS_A_SECOND = 100

app = typer.Typer(add_completion=False)


class Cost(NamedTuple):
    """Microseconds of one call, by kind."""

    acknowledgement: float
    payload: float
    reply: float


def key_of(number: int) -> FlowKey:
    """Return the key of a flow by its number."""
    caller = number.to_bytes(4)
    return FlowKey(b"\x06" + caller + SERVICE[:4] + b"\x10\x00" + SERVICE[4:])


def new_engine(flows: int) -> FlowEngine:
    """Return the engine of a VM that is alone, before seven servers."""
    settings = FlowSettings(flow_limit=2 * flows)
    engine = FlowEngine(VmId("vm1"), settings, random.Random(1))
    services = (ServiceRoute(NAME, SERVICE, 6),)
    servers = tuple(ServerRoute(server, NAME) for server in SERVERS)
    engine.handle(RoutesChanged(1, services, servers), 0.0)
    return engine


def open_flow(engine: FlowEngine, number: int, now: float) -> None:
    """Take one flow through placement and handshake: four events."""
    key = key_of(number)
    server = SERVERS[number % len(SERVERS)]
    first = Segment(key, FLAG_SYN, 99, 0, 0, b"")
    engine.handle(CallerPacket(first), now)
    engine.handle(FlowPlaced(key, server), now)
    answer = Segment(key, FLAG_SYN | FLAG_ACK, 499, 100, 0, b"")
    engine.handle(ServerPacket(answer, server), now)
    engine.handle(CallerPacket(Segment(key, FLAG_ACK, 100, 500, 0, b"")), now)


def microseconds(step: Callable[[], None], calls: int) -> float:
    """Return the time of one call in a step that makes many."""
    start = time.perf_counter()
    step()
    return (time.perf_counter() - start) / calls * 1e6


def fast_path(engine: FlowEngine, flows: int, now: float) -> Cost:
    """Return the cost of the fast path over flows drawn at random.

    Work starts and is answered before the clock runs, so that every size does the same.
    """
    draw = random.Random(2)
    numbers = [draw.randrange(flows) for _ in range(CALLS)]
    keys = [bytes(bytearray(key_of(number))) for number in numbers]
    pairs = [(key_of(number), SERVERS[number % len(SERVERS)]) for number in numbers]

    def acknowledgements() -> None:
        for key in keys:
            engine.route_caller(key, FLAG_ACK, 100, 500, 0, now)

    def payloads(seq: int = 100) -> None:
        for key in keys:
            engine.route_caller(key, FLAG_ACK, seq, 500, 10, now)
            seq += 10

    def replies() -> None:
        for key, server in pairs:
            engine.route_reply(key, FLAG_ACK, 500, 100, 10, server, now)

    payloads()
    engine.drain()
    later = partial(payloads, 100 + 10 * CALLS)
    acknowledgement = microseconds(acknowledgements, CALLS)
    payload = microseconds(later, CALLS)
    replies()
    engine.drain()
    return Cost(acknowledgement, payload, microseconds(replies, CALLS))


def resident_bytes() -> int:
    """Return the memory this process has in use."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


@app.command()
def calls(flows: int = 400_000) -> None:
    """Measure one table size: run each size in a process of its own."""
    decisions.configure(as_json=False, enabled=False)
    engine = new_engine(flows)
    before = resident_bytes()

    def fill() -> None:
        for number in range(flows):
            open_flow(engine, number, number / 5_000)

    fill_us = microseconds(fill, flows)
    now = flows / 5_000
    engine.handle(Tick(), now + 2)
    memory = (resident_bytes() - before) / flows
    cost = fast_path(engine, flows, now + 3)

    def more() -> None:
        for number in range(flows, flows + 20_000):
            open_flow(engine, number, now + 4)

    more_us = microseconds(more, 20_000)
    typer.echo(
        f"flows={flows} ack_us={cost.acknowledgement:.2f} "
        f"payload_us={cost.payload:.2f} reply_us={cost.reply:.2f} "
        f"bytes_a_flow={memory:.0f} open_us={fill_us:.1f} "
        f"open_more_us={more_us:.1f} new_flows_s={1e6 / more_us:.0f}"
    )


class Meter(World):
    """A world that counts what its VMs send each other."""

    sent: Counter[str]
    carried: Counter[str]

    def do(self, node: Node, action: Action) -> None:
        """Count one action, then do it."""
        match action:
            case SendToPeer(_, passing, _):
                kind = passing.stage.name
                size = ENVELOPE_BYTES + len(msgspec.msgpack.encode(passing))
            case SendMessage(_, message):
                kind = type(message).__name__
                size = len(FLOW_MESSAGES.encode(message))
            case _:
                super().do(node, action)
                return
        self.sent[kind] += 1
        self.carried[kind] += size
        super().do(node, action)


def metered_run(seed: int) -> FlowRun:
    """Return a run whose world counts."""
    run = FlowRun(seed, RUN_SETTINGS)
    world = Meter(run.random, RUN_SETTINGS)
    world.sent = Counter()
    world.carried = Counter()
    run.world = world
    run.build()
    run.start_flows()
    run.tick_ends()
    return run


@app.command()
def wire(seed: int = 1, seconds: float = 60.0) -> None:
    """Count packets and header bytes between VMs for each new flow."""
    decisions.configure(as_json=False, enabled=False)
    run = metered_run(seed)
    run.world.run_until(seconds)
    report(run, "quiet", seconds)


@app.command()
def loss(seed: int = 1) -> None:
    """Count the same just before and after the loss of one VM."""
    decisions.configure(as_json=False, enabled=False)
    run = metered_run(seed)
    run.world.run_until(20.0)
    clear(run)
    run.world.run_until(26.0)
    report(run, "before", 6.0)
    run.crash()
    for second in range(0, 6, 2):
        clear(run)
        run.world.run_until(28.0 + second)
        report(run, f"after-{second}-{second + 2}s", 2.0)


def clear(run: FlowRun) -> None:
    """Begin to count anew."""
    world = run.world
    if isinstance(world, Meter):
        world.sent.clear()
        world.carried.clear()


def report(run: FlowRun, name: str, seconds: float) -> None:
    """Print the counts of a run."""
    world = run.world
    if not isinstance(world, Meter):
        return
    flows = max(len(world.callers), 1)
    typer.echo(f"{name} seconds={seconds} callers={flows}")
    for kind, count in sorted(world.sent.items()):
        size = world.carried[kind]
        typer.echo(
            f"  {kind} a_second={count / seconds:.1f} bytes_each={size / count:.0f} "
            f"bytes_a_second={size / seconds:.0f}"
        )


@app.command()
def refresh(seed: int = 1) -> None:
    """Count failures of placement by a stale list, with and without refresh."""
    decisions.configure(as_json=False, enabled=False)
    for attempts in (1, 2):
        for refreshes in (False, True):
            failed, refused = stale_placement(seed, attempts, refreshes)
            typer.echo(
                f"attempts={attempts} refresh={refreshes} "
                f"failed_choices={failed} refused_flows={refused}"
            )


def stale_placement(seed: int, attempts: int, refreshes: bool) -> tuple[int, int]:
    """Return failed choices and refused flows until the list is fresh by itself."""
    source = random.Random(seed)
    settings = FlowSettings(placement_attempts=attempts, refresh_on_failure=refreshes)
    engine = FlowEngine(VmId("vm1"), settings, source)
    services = (ServiceRoute(NAME, SERVICE, 6),)
    servers = tuple(ServerRoute(server, NAME) for server in SERVERS[1:])
    engine.handle(RoutesChanged(2, services, servers), 0.0)
    choices = list(SERVERS)
    failed = refused = 0
    for number in range(int(STALE_SECONDS * NEW_FLOWS_A_SECOND)):
        now = 100.0 + number / NEW_FLOWS_A_SECOND
        first = Segment(key_of(number), FLAG_SYN, 99, 0, 0, b"")
        actions = engine.handle(CallerPacket(first), now)
        while any(isinstance(action, AskPlacement) for action in actions):
            server = source.choice(choices)
            failed += server == SERVERS[0]
            actions = engine.handle(FlowPlaced(first.key, server), now)
            if any(isinstance(action, RefreshRoute) for action in actions):
                choices = list(SERVERS[1:])
        refused += any(isinstance(action, ResetCaller) for action in actions)
    return failed, refused


if __name__ == "__main__":
    app()
