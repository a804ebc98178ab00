"""Control VMs of real replicas, stores and change logs on fakes of disk and network."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import singledispatchmethod
from random import Random
from typing import Any

from kumquatmux_agreement.entries import ReplicaId, founding_state, joining_state
from kumquatmux_agreement.events import (
    Apply,
    Event,
    InstallSnapshot,
    MessageReceived,
    Persist,
    Persisted,
    PersistFailed,
    Reply,
    Role,
    RoleChanged,
    Send,
    SnapshotTaken,
    TakeSnapshot,
    Tick,
)
from kumquatmux_agreement.messages import MESSAGE_REGISTRY, Message
from kumquatmux_agreement.replica import Replica
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.identity import VmId
from kumquatmux_lab.faultruns.settings_history import Applied, Happening
from kumquatmux_lab.faultruns.settings_network import Network, NetworkSettings, Timeline
from kumquatmux_settings.change import ChangeOutcome
from kumquatmux_settings.changelog import ChangeLog, ChangeLogSettings
from kumquatmux_storage.memory import Crashed, MemoryDisk
from kumquatmux_storage.store import Identity, Store, open_or_create

CLUSTER = "lab"
TICK_S = 0.1


class Life:
    """One run of a control VM's process, from its start to its end."""

    def __init__(
        self, replica: Replica, store: Store, changes: ChangeLog, clock_s: float
    ) -> None:
        self.replica = replica
        self.store = store
        self.changes = changes
        self.clock_s = clock_s
        self.outcomes: dict[int, ChangeOutcome] = {}
        self.asked: dict[str, Callable[[Reply], None]] = {}
        self.writes: deque[Persist] = deque()


class Node:
    """One control VM, with its disk, through all its lives.

    Attributes:
        vm: Its name.
        disk: Its disk.
        life: Its process, None while it is down.
        problem: Why its folder could not be opened, empty if it could.
    """

    def __init__(self, vm: VmId, cluster: Cluster) -> None:
        self.vm = vm
        self.cluster = cluster
        self.disk = MemoryDisk()
        self.life: Life | None = None
        self.folders = 0
        self.problem = ""

    @property
    def folder(self) -> str:
        """Name of the folder now on the disk."""
        return f"f{self.folders}"

    def start(self, *, founds: bool = False) -> None:
        """Start the process on what the disk holds."""
        cluster = self.cluster
        identity = Identity(CLUSTER, self.vm, self.folder)
        me = ReplicaId(self.vm, self.folder)
        first = founding_state(me, cluster.founders) if founds else joining_state()
        try:
            opened = open_or_create(self.disk, identity, first)
        except Crashed:
            self.stop()
            return
        self.problem = str(opened.error) if opened.is_error() else ""
        if self.problem:
            return
        store = opened.ok
        me = ReplicaId(self.vm, store.identity.folder)
        settings = cluster.settings._replace(replica_id=me)
        replica = Replica(settings, store.restored, cluster.random)
        changes = ChangeLog(cluster.changelog, _no_problems)
        if store.restored.snapshot.data:
            changes.restore(store.restored.snapshot.data)
        clock_s = cluster.random.uniform(0, 1000) - cluster.timeline.now
        self.life = Life(replica, store, changes, clock_s)
        self._tick(self.life)

    def stop(self) -> None:
        """Crash: what was not synced is lost."""
        self.life = None
        self.disk.crash(self.cluster.random)

    def wipe(self) -> None:
        """Lose the process and the disk."""
        self.life = None
        self.disk.wipe()
        self.folders += 1

    def give(self, event: Event) -> None:
        """Hand an event to the process, if it runs."""
        life = self.life
        if life is None:
            return
        now = self.cluster.timeline.now + life.clock_s
        try:
            for action in life.replica.handle(event, now):
                self._do(action, life)
        except Crashed:
            self.stop()

    def ask(self, event: Any, told: Callable[[Reply], None]) -> None:
        """Hand over a question; the answer is dropped if the process ends first."""
        if self.life is not None:
            self.life.asked[event.token] = told
            self.give(event)

    @singledispatchmethod
    def _do(self, action: Any, life: Life) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_do.register
    def _(self, action: Send, life: Life) -> None:
        self.cluster.send(self.vm, action.to, action.message)

    @_do.register
    def _(self, action: Persist, life: Life) -> None:
        life.writes.append(action)
        delay = self.cluster.random.uniform(0, self.cluster.sync_s)
        self.cluster.timeline.after(delay, lambda: self._write(life))

    @_do.register
    def _(self, action: Apply, life: Life) -> None:
        for entry in action.entries:
            outcome = life.changes.apply(entry.log_index, entry.data)
            life.outcomes[entry.log_index] = outcome
            digest = life.changes.digest
            now = self.cluster.timeline.now
            self.cluster.note(Applied(now, self.vm, entry.log_index, outcome, digest))

    @_do.register
    def _(self, action: InstallSnapshot, life: Life) -> None:
        if life.changes.restore(action.snapshot.data).is_error():
            raise AssertionError("a snapshot of a peer is unsound")

    @_do.register
    def _(self, action: TakeSnapshot, life: Life) -> None:
        taken = SnapshotTaken(action.log_index, life.changes.snapshot())
        self.cluster.timeline.after(0, lambda: self._hand_in(life, taken))

    @_do.register
    def _(self, action: Reply, life: Life) -> None:
        told = life.asked.pop(action.token, None)
        if told is not None:
            told(action)

    @_do.register
    def _(self, action: RoleChanged, life: Life) -> None:
        if action.role == Role.FAILED:
            self.cluster.timeline.after(0.5, lambda: self._restart(life))

    def _write(self, life: Life) -> None:
        if self.life is not life:
            return
        persist = life.writes.popleft()
        try:
            written = life.store.write(persist)
        except Crashed:
            self.stop()
            return
        if written.is_ok():
            self.give(Persisted(persist.number))
        else:
            self.give(PersistFailed(persist.number, written.error))

    def _hand_in(self, life: Life, taken: SnapshotTaken) -> None:
        if self.life is life:
            self.give(taken)

    def _restart(self, life: Life) -> None:
        if self.life is life:
            self.stop()
            self.start()

    def _tick(self, life: Life) -> None:
        if self.life is life:
            self.cluster.timeline.after(TICK_S, lambda: self._tick(life))
            self.give(Tick())


class Cluster:
    """All control VMs of a run.

    Attributes:
        timeline: The run's time.
        network: What joins the VMs.
        nodes: The VMs by name, those outside the cluster included.
        founders: The control VMs named when the cluster was founded.
        history: All that happened.
    """

    def __init__(
        self,
        vms: tuple[VmId, ...],
        founders: tuple[VmId, ...],
        settings: ReplicaSettings,
        changelog: ChangeLogSettings,
        network: NetworkSettings,
        random: Random,
        sync_s: float = 0.01,
    ) -> None:
        self.random = random
        self.timeline = Timeline()
        self.network = Network(network, self.timeline, random)
        self.founders = founders
        self.settings = settings
        self.changelog = changelog
        self.sync_s = sync_s
        self.history: list[Happening] = []
        self.nodes = {vm: Node(vm, self) for vm in vms}

    def note(self, happening: Happening) -> None:
        """Add to the history."""
        self.history.append(happening)

    def send(self, sender: VmId, to: VmId, message: Message) -> None:
        """Carry a message as bytes."""
        data = MESSAGE_REGISTRY.encode(message)
        node = self.nodes[to]
        self.network.carry(
            sender,
            to,
            lambda: node.give(MessageReceived(MESSAGE_REGISTRY.decode(data).ok)),
        )

    def leader(self) -> Node | None:
        """Return the leader of the highest term, if one leads."""
        leaders = [
            (node.life.replica.core.term, node.vm)
            for node in self.nodes.values()
            if node.life and node.life.replica.core.leader_state
        ]
        return self.nodes[max(leaders)[1]] if leaders else None

    def is_whole(self) -> bool:
        """Return whether every control VM votes and holds all that is committed."""
        leader = self.leader()
        if leader is None or leader.life is None:
            return False
        status = leader.life.replica.status()
        voters = status.configuration.voters
        nodes = [self.nodes[voter.vm] for voter in voters]
        are_up = all(
            node.life is not None and node.life.store.identity.folder == voter.folder
            for node, voter in zip(nodes, voters, strict=True)
        )
        return (
            status.is_fully_replicated
            and are_up
            and len(status.live_members) == len(voters)
        )


def _no_problems(values: Any, previous: Any) -> list[Any]:
    return []
