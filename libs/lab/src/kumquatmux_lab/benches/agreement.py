"""The settings log on real disks: ``python -m kumquatmux_lab.benches.agreement``.

Replicas run in this process, one after the other, with one fsync after the other on
one disk: three replicas pay three syncs a change that three VMs would pay at once.
"""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from random import Random
from typing import Annotated, Any, NamedTuple

import typer
from hdrh.histogram import HdrHistogram

from kumquatmux_agreement.entries import ReplicaId, founding_state, joining_state
from kumquatmux_agreement.events import (
    Apply,
    Event,
    InstallSnapshot,
    MessageReceived,
    Persist,
    Persisted,
    Propose,
    Reply,
    Send,
    SnapshotTaken,
    TakeSnapshot,
    Tick,
)
from kumquatmux_agreement.messages import MESSAGE_REGISTRY
from kumquatmux_agreement.replica import Replica
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core import decisions
from kumquatmux_core.identity import VmId
from kumquatmux_settings.change import Change, Edit
from kumquatmux_settings.changelog import ChangeLog, ChangeLogSettings, encode_change
from kumquatmux_storage.disk import FolderDisk, open_folder
from kumquatmux_storage.files import LOG, SNAPSHOT
from kumquatmux_storage.store import Identity, Store, open_or_create

MICROSECONDS_PER_S = 1e6
LATENCY_MAX_US = 60_000_000
FOUNDING_S = 10.0
TICK_S = 0.1


class Node:
    """One replica with its store and change log.

    Attributes:
        sent_bytes: Bytes of messages it sent.
        answered: Token of the latest answer.
    """

    def __init__(self, vm: VmId, folder: Path, vms: tuple[VmId, ...]) -> None:
        disk = open_folder(folder).ok
        identity = Identity("bench", vm, "1")
        me = ReplicaId(vm, "1")
        first = founding_state(me, vms) if vm == vms[0] else joining_state()
        opened = open_or_create(disk, identity, first)
        self.disk: FolderDisk = disk
        self.vm = vm
        self.store: Store = opened.ok
        restored = self.store.restored
        settings = ReplicaSettings("bench", me, vms)
        self.replica = Replica(settings, restored, Random(1))
        self.changes = ChangeLog(ChangeLogSettings(), lambda values, previous: [])
        if restored.snapshot.data:
            self.changes.restore(restored.snapshot.data)
        self.sent_bytes = 0
        self.answered = ""


class Site:
    """Replicas joined by a queue that delivers at once."""

    def __init__(self, folder: Path, size: int) -> None:
        self.vms = tuple(VmId(f"vm-{number}") for number in range(size))
        self.nodes = {vm: Node(vm, folder / vm, self.vms) for vm in self.vms}
        self.now = 0.0
        self.queue: list[tuple[VmId, Event]] = []

    def found(self) -> None:
        """Let time pass until every VM votes."""
        for _ in range(round(FOUNDING_S / TICK_S)):
            self.now += TICK_S
            for vm in self.vms:
                self.give(vm, Tick())

    def give(self, vm: VmId, event: Event) -> None:
        """Hand an event to a replica and carry out all that follows."""
        self.queue.append((vm, event))
        while self.queue:
            target, following = self.queue.pop(0)
            node = self.nodes[target]
            for action in node.replica.handle(following, self.now):
                self._do(node, action)

    def close(self) -> None:
        """Let go of the folders."""
        for node in self.nodes.values():
            node.disk.close()

    def _do(self, node: Node, action: Any) -> None:
        match action:
            case Send(to, message):
                data = MESSAGE_REGISTRY.encode(message)
                node.sent_bytes += len(data)
                self.queue.append(
                    (to, MessageReceived(MESSAGE_REGISTRY.decode(data).ok))
                )
            case Persist(number):
                if node.store.write(action).is_error():
                    raise OSError("the disk of the benchmark failed")
                self.queue.append((node.vm, Persisted(number)))
            case Apply(entries):
                for entry in entries:
                    node.changes.apply(entry.log_index, entry.data)
            case InstallSnapshot(snapshot):
                node.changes.restore(snapshot.data)
            case TakeSnapshot(log_index):
                taken = SnapshotTaken(log_index, node.changes.snapshot())
                self.queue.append((node.vm, taken))
            case Reply(token):
                node.answered = token


class Figures(NamedTuple):
    """What one run measured.

    Attributes:
        replicas: How many.
        changes: How many were made.
        p50_ms: Median time from proposal to answer, in milliseconds.
        p99_ms: 99th percentile of it, in milliseconds.
        max_ms: Longest, in milliseconds.
        per_s: Changes a second, one after the other.
        log_bytes: Bytes the log file grew by a change, before compaction.
        sent_bytes: Bytes a change that the leader sent.
        restart_s: Seconds to open the folder and have the last revision applied.
        disk_bytes: Bytes of log and snapshot at the restart.
    """

    replicas: int
    changes: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    per_s: float
    log_bytes: float
    sent_bytes: float
    restart_s: float
    disk_bytes: int


def measure(size: int, changes: int, folder: Path) -> Figures:
    """Make changes one after the other, then restart."""
    site = Site(folder, size)
    site.found()
    leader = site.nodes[site.vms[0]]
    histogram = HdrHistogram(1, LATENCY_MAX_US, 3)
    sent = leader.sent_bytes
    log_bytes = 0
    began = time.perf_counter()
    for number in range(changes):
        before = leader.store.length
        start = time.perf_counter()
        data = encode_change(_change(number))
        site.give(leader.vm, Propose(data, str(number)))
        if leader.answered != str(number):
            raise AssertionError(f"change {number} was not answered")
        elapsed = time.perf_counter() - start
        histogram.record_value(int(elapsed * MICROSECONDS_PER_S))
        log_bytes += max(0, leader.store.length - before)
    took = time.perf_counter() - began
    sent = leader.sent_bytes - sent
    site.close()
    restart_s = _restart(folder, site.vms, changes)
    sizes = [(folder / site.vms[0] / name).stat().st_size for name in (LOG, SNAPSHOT)]
    return Figures(
        size,
        changes,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        histogram.get_max_value() / 1000,
        changes / took,
        log_bytes / changes,
        sent / changes,
        restart_s,
        sum(sizes),
    )


def _restart(folder: Path, vms: tuple[VmId, ...], revision: int) -> float:
    """Open the first VM's folder and run its log up to the last revision."""
    start = time.perf_counter()
    node = Node(vms[0], folder / vms[0], vms)
    for entry in node.store.restored.entries:
        if entry.data:
            node.changes.apply(entry.log_index, entry.data)
    took = time.perf_counter() - start
    if node.changes.revision != revision:
        raise AssertionError(f"restarted at revision {node.changes.revision}")
    node.disk.close()
    return took


def _change(number: int) -> Change:
    path = f"services.s{number % 1000}.placement.hold_ms"
    change_id = f"{number:032x}"
    edits = (Edit(path, str(number)),)
    return Change(change_id, number, "malee", "a reason of some length", edits)


def main(
    replicas: Annotated[list[int], typer.Option(help="Replica counts.")] = [1, 3],  # noqa: B006
    changes: Annotated[list[int], typer.Option(help="Changes.")] = [500, 16_000],  # noqa: B006
    folder: Annotated[Path | None, typer.Option(help="A folder on the disk.")] = None,
) -> None:
    """Print commit latency, changes a second and restart time as a table."""
    decisions.configure(as_json=False, enabled=False)
    names = Figures._fields
    typer.echo("| " + " | ".join(names) + " |")
    typer.echo("|" + "---|" * len(names))
    for size in replicas:
        for count in changes:
            with tempfile.TemporaryDirectory(dir=folder) as scratch:
                figures = measure(size, count, Path(scratch))
            cells = [f"{value:.3f}".rstrip("0").rstrip(".") for value in figures]
            typer.echo("| " + " | ".join(cells) + " |")


if __name__ == "__main__":
    typer.run(main)
