"""Measure what the distribution of settings costs; prints tables for the docs.

Nothing here opens a socket. The fan-out runs real copies in virtual time.
"""

from __future__ import annotations

import heapq
import random
import sys
import time
import tracemalloc
from typing import Any

from kumquatmux_core import decisions
from kumquatmux_daemons.entry.in_force import ServicesInForce
from kumquatmux_daemons.transport.registry import all_messages
from kumquatmux_settings.assembly import cut
from kumquatmux_settings.change import Edit
from kumquatmux_settings.copy_events import (
    Accepted,
    ChildrenChanged,
    Confirmed,
    DistributionSettings,
    InForce,
    PeerRevision,
    Received,
    SendMessage,
)
from kumquatmux_settings.digest import digest_of
from kumquatmux_settings.distribution import SettingsCopy
from kumquatmux_settings.messages import Current, Delta, DeltaRequest, Snapshot
from kumquatmux_settings.validate import validate

SEED = 1
REGISTRY = all_messages()
HASH = '["' + "a" * 64 + '"]'
REPEATS = 5
ONE_WAY_S = 0.005
CONFIRM_S = 1.0
HEARTBEAT_S = 0.5


def tree_of(service_count: int) -> dict[str, str]:
    values = {f"zones.zone-{n}.region": '"region"' for n in range(20)}
    for number in range(service_count):
        name = f"services.service-{number}"
        address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
        values[f"{name}.address"] = f'"{address}:80"'
        values[f"{name}.announce_token_hashes"] = HASH
        values[f"{name}.placement.hold_ms"] = "300"
    return values


def seconds_of(action: Any) -> float:
    best = float("inf")
    for _ in range(REPEATS):
        start = time.perf_counter()
        action()
        best = min(best, time.perf_counter() - start)
    return best


def message_sizes() -> None:
    digest = digest_of({})
    edit = Edit("zones.cnx-a.services.entries.placement.hold_ms", "300")
    rows = {
        "Delta, one key": Delta("cnx-a-control", 41, digest, 42, digest, (edit,)),
        "DeltaRequest": DeltaRequest("cnx-a-1", 41, digest),
        "Current": Current("cnx-a-control", 42, digest, 250),
    }
    print("| message | bytes |\n|---|---|")
    for name, message in rows.items():
        print(f"| {name} | {len(REGISTRY.encode(message))} |")


def tree_costs() -> None:
    print(
        "| services | keys | whole tree, bytes | largest part, bytes |",
        end=" copy, MB | in force, MB |",
    )
    print(
        " apply a delta, us | validate whole, ms | a change, ms | a move, ms |", end=""
    )
    print(" all in force, ms | a change in force, ms |")
    print("|" + "---|" * 12)
    for count in (2, 240, 2_400, 24_000):
        tree_cost(count)


def tree_cost(count: int) -> None:
    tracemalloc.start()
    values = tree_of(count)
    held_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    digest = digest_of(values)
    parts = [
        len(REGISTRY.encode(p)) for p in cut(Snapshot("c", 1, digest, ()), values, 2000)
    ]
    member = SettingsCopy(DistributionSettings("e"), random.Random(SEED))
    for part in cut(Snapshot("c", 1, digest, ()), values, 2000):
        member.handle(Received(part), 0.0)
    source = SettingsCopy(DistributionSettings("c"), random.Random(SEED))
    source.handle(Accepted(1, dict(values)), 0.0)
    source.handle(ChildrenChanged(("e",)), 0.0)
    deltas = []
    for revision in range(2, 102):
        values["services.service-0.placement.hold_ms"] = str(revision)
        actions = source.handle(Accepted(revision, values), 0.0)
        deltas += [a.message for a in actions if isinstance(a, SendMessage)]
    start = time.perf_counter()
    for delta in deltas:
        member.handle(Received(delta), 0.0)
    apply_us = (time.perf_counter() - start) / len(deltas) * 1e6
    assert member.revision == 101
    changed = {**values, "services.service-1.placement.hold_ms": "1"}
    moved = {**changed, "services.service-1.address": '"10.9.9.9:80"'}
    in_force = ServicesInForce("zone-1")
    everything = InForce(1, "", (Edit("defaults.placement.hold_ms", "1"),))
    one_key = InForce(2, "", (Edit("services.service-1.placement.hold_ms", "1"),))
    tracemalloc.start()
    in_force.update(values, everything)
    in_force_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    costs_ms = [
        seconds_of(action) * 1e3
        for action in (
            lambda: validate(values),
            lambda: validate(changed, values),
            lambda: validate(moved, values),
            lambda: ServicesInForce("zone-1").update(values, everything),
            lambda: in_force.update(values, one_key),
        )
    ]
    sizes = f"{sum(parts)} | {max(parts)} | {held_mb:.2f} | {in_force_mb:.2f}"
    costs = " | ".join(f"{cost:.1f}" for cost in costs_ms)
    print(f"| {count} | {len(values)} | {sizes} | {apply_us:.0f} | {costs} |")


class FanOut:
    """Copies in a tree of relays, in virtual time, over links that lose messages."""

    def __init__(self, nodes: int, width: int, loss: float) -> None:
        self.rng = random.Random(SEED)
        self.loss = loss
        self.queue: list[tuple[float, int, int, Any]] = []
        self.number = 0
        self.sent_bytes = [0] * nodes
        self.received_bytes = [0] * nodes
        self.copies = []
        for index in range(nodes):
            copy = SettingsCopy(DistributionSettings(str(index)), random.Random(index))
            first = index * width + 1
            children = range(first, min(first + width, nodes))
            copy.handle(ChildrenChanged(tuple(str(c) for c in children)), 0.0)
            self.copies.append(copy)

    def give(self, index: int, event: Any, now: float) -> None:
        for action in self.copies[index].handle(event, now):
            if not isinstance(action, SendMessage):
                continue
            size = len(REGISTRY.encode(action.message))
            self.sent_bytes[index] += size
            if self.rng.random() < self.loss:
                continue
            self.number += 1
            delay = ONE_WAY_S * (1 + self.rng.random())
            entry = (now + delay, self.number, int(action.vm), action.message)
            heapq.heappush(self.queue, entry)

    def settle(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            at, _, index, message = heapq.heappop(self.queue)
            self.received_bytes[index] += len(REGISTRY.encode(message))
            self.give(index, Received(message), at)


def fan_out(nodes: int, width: int, loss: float) -> None:
    net = FanOut(nodes, width, loss)
    net.give(0, Accepted(1, {"defaults.placement.hold_ms": "1"}), 0.0)
    in_force = []
    now = 0.0
    while len(in_force) < nodes and now < 30.0:
        end = now + HEARTBEAT_S
        net.settle(end)
        in_force = [c for c in net.copies if c.revision == 1]
        now = end
        if now % CONFIRM_S == 0.0:
            net.give(0, Confirmed(), now)
        heartbeats(net, now)
    others = net.sent_bytes[1:]
    mean = sum(others) / len(others)
    print(
        f"| {nodes} | {width} | {loss:.0%} | {now:.1f} | {net.sent_bytes[0]} |"
        f" {max(others)} | {mean:.0f} | {max(net.received_bytes)} |"
    )


def heartbeats(net: FanOut, now: float) -> None:
    """Let each node that is behind hear one random peer's revision."""
    for index, copy in enumerate(net.copies):
        if copy.revision == 0:
            peer = net.rng.randrange(len(net.copies))
            news = PeerRevision(str(peer), net.copies[peer].revision)
            net.give(index, news, now)


def main() -> int:
    decisions.configure(as_json=False, enabled=False)
    message_sizes()
    print()
    tree_costs()
    print()
    print(
        "| nodes | width | loss | in force everywhere by, s | root sent, bytes |",
        end="",
    )
    print(" most a relay sent | mean sent | most received |")
    print("|---|---|---|---|---|---|---|---|")
    for nodes, width, loss in (
        (6, 16, 0.0),
        (6, 16, 0.05),
        (1_000, 16, 0.01),
        (14_000, 16, 0.0),
        (14_000, 16, 0.01),
        (14_000, 32, 0.01),
        (14_000, 32, 0.05),
    ):
        fan_out(nodes, width, loss)
    return 0


if __name__ == "__main__":
    sys.exit(main())
