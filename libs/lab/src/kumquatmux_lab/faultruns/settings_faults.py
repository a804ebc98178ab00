"""Faults of a run of the settings log."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial

from kumquatmux_agreement.events import ChangeMembership, Reply
from kumquatmux_core.identity import VmId
from kumquatmux_lab.faultruns.settings_cluster import Cluster, Node
from kumquatmux_lab.faultruns.settings_history import Isolated

WATCH_S = 0.1


class Faults:
    """Injects faults, never losing more disks at once than the promise covers.

    Attributes:
        cluster: Where they happen.
        counts: Faults injected, by kind.
        lost: VMs whose disk was lost since the cluster was whole last.
        spare: A VM outside the cluster, to replace another.
    """

    def __init__(self, cluster: Cluster, spare: VmId) -> None:
        self.cluster = cluster
        self.random = cluster.random
        self.counts: Counter[str] = Counter()
        self.lost: set[VmId] = set()
        self.spare = spare
        self.leaving: VmId | None = None
        self.is_second_due = False
        self.is_over = False
        self.kinds: dict[str, Callable[[], bool]] = {
            "crash": self.crash,
            "crash-at-write": self.crash_at_write,
            "power-cut": self.power_cut,
            "isolate": self.isolate,
            "isolate-leader": self.isolate_leader,
            "one-way-cut": self.one_way_cut,
            "split": self.split,
            "disk-lost": self.lose_disk,
            "disk-full": self.fill_disk,
            "sync-fails": self.fail_sync,
            "damage": self.damage,
            "clock-jump": self.jump_clock,
            "replace-vm": self.replace_vm,
        }

    def inject(self) -> None:
        """Let one fault happen, and the next one later."""
        if self.is_over:
            return
        kind = self.random.choice(list(self.kinds))
        if self.kinds[kind]():
            self.counts[kind] += 1
        self.cluster.timeline.after(self.random.uniform(0.1, 3), self.inject)

    def watch(self) -> None:
        """Note when repairs have finished, and strike again at that moment."""
        if self.cluster.is_whole():
            self._repaired()
        for node in self.members():
            if node.problem:
                self._rejoin(node)
        self.cluster.timeline.after(WATCH_S, self.watch)

    def end(self) -> None:
        """Heal everything; cuts heal by themselves when their time has come."""
        self.is_over = True
        for node in self.cluster.nodes.values():
            node.disk.is_full = False
            node.disk.fails_sync = False
            node.disk.crash_at = -1
        for node in self.members():
            self._start(node)

    def members(self) -> list[Node]:
        """Return the VMs that are or are becoming control VMs."""
        nodes = self.cluster.nodes.values()
        return [node for node in nodes if node.vm != self.spare]

    def crash(self) -> bool:
        """Stop a process; what was not synced is lost."""
        node = self._any()
        node.stop()
        self._start_later(node)
        return True

    def crash_at_write(self) -> bool:
        """Stop a process within one of its next operations on the disk."""
        node = self._any()
        node.disk.crash_at = node.disk.operations + self.random.randint(1, 8)
        self._later(2, partial(self._start_later, node))
        return True

    def power_cut(self) -> bool:
        """Stop every process at once, and perhaps lose a disk with it."""
        for node in self.members():
            node.stop()
            self._start_later(node)
        if self.random.random() < 0.5:
            self.lose_disk()
        return True

    def isolate(self) -> bool:
        """Cut a VM off from all others for long."""
        self._isolate(self._any())
        return True

    def isolate_leader(self) -> bool:
        """Cut the leader off for long, perhaps while the others' clocks jump."""
        leader = self.cluster.leader()
        if leader is None:
            return False
        self._isolate(leader)
        if self.random.random() < 0.5:
            jump_s = self.random.choice((0.35, 5, 60))
            for node in self.members():
                if node.life is not None and node is not leader:
                    node.life.clock_s += jump_s
        return True

    def one_way_cut(self) -> bool:
        """Lose all messages on some directed links."""
        vms = list(self.cluster.nodes)
        pairs = [(one, other) for one in vms for other in vms if one != other]
        self._cut(set(self.random.sample(pairs, len(pairs) // 3)))
        return True

    def split(self) -> bool:
        """Cut the VMs into two groups."""
        vms = list(self.cluster.nodes)
        group = set(self.random.sample(vms, len(vms) // 2))
        self._cut(
            {
                (one, other)
                for one in vms
                for other in vms
                if (one in group) != (other in group)
            }
        )
        return True

    def lose_disk(self) -> bool:
        """Lose a VM's disk."""
        node = self._any()
        if not self._may_lose(node):
            return False
        self._lose(node)
        self.is_second_due = self.random.random() < 0.6
        return True

    def fill_disk(self) -> bool:
        """Let writes to a disk fail halfway for a while."""
        node = self._any()
        node.disk.is_full = True
        self._later(3, lambda: setattr(node.disk, "is_full", False))
        return True

    def fail_sync(self) -> bool:
        """Let a disk fail to sync for a while."""
        node = self._any()
        node.disk.fails_sync = True
        self._later(3, lambda: setattr(node.disk, "fails_sync", False))
        return True

    def damage(self) -> bool:
        """Change a byte of a file while the process is down."""
        node = self._any()
        if not self._may_lose(node):
            return False
        node.stop()
        self.lost.add(node.vm)
        name = self.random.choice(node.disk.names() or [""])
        file = node.disk.files.get(name)
        if file is not None and file.data:
            place = self.random.randrange(len(file.data))
            other = bytes((file.data[place] ^ 0xFF,))
            file.data = file.data[:place] + other + file.data[place + 1 :]
        self._start_later(node)
        return True

    def jump_clock(self) -> bool:
        """Move a VM's clock forward or back."""
        node = self._any()
        if node.life is None:
            return False
        node.life.clock_s += self.random.choice((-60, -1, -0.3, 0.3, 1, 60))
        return True

    def replace_vm(self) -> bool:
        """Replace a control VM by the spare one."""
        leader = self.cluster.leader()
        if leader is None or leader.life is None or self.leaving is not None:
            return False
        if self.spare == "" or not self.cluster.is_whole():
            return False
        vms = leader.life.replica.status().configuration.wanted_vms
        self.leaving = self.random.choice(vms)
        wanted = tuple(vm for vm in vms if vm != self.leaving) + (self.spare,)
        self._start(self.cluster.nodes[self.spare])
        self.spare = VmId("")
        leader.ask(ChangeMembership(wanted, "membership"), self._told)
        return True

    def _told(self, reply: Reply) -> None:
        """Take the answer to a change of membership; the watch sees what came of it."""

    def _repaired(self) -> None:
        leader = self.cluster.leader()
        if leader is None or leader.life is None:
            return
        self.lost.clear()
        vms = leader.life.replica.status().configuration.wanted_vms
        outside = [vm for vm in self.cluster.nodes if vm not in vms]
        if self.spare == "" and outside:
            self.spare = outside[0]
            self.leaving = None
            self.cluster.nodes[self.spare].wipe()
        if self.is_second_due and not self.is_over:
            self.is_second_due = False
            node = leader if self.random.random() < 0.5 else self._any()
            if self._may_lose(node):
                self._lose(node)
                self.counts["second-disk-lost"] += 1

    def _may_lose(self, node: Node) -> bool:
        others = self.lost - {node.vm}
        return len(others) + 1 <= (len(self.cluster.founders) - 1) // 2

    def _lose(self, node: Node) -> None:
        self.lost.add(node.vm)
        node.wipe()
        self._start_later(node)

    def _rejoin(self, node: Node) -> None:
        """Do as the message of a refused folder says: move it away and restart."""
        if self._may_lose(node):
            self.lost.add(node.vm)
            node.wipe()
            self._start(node)

    def _isolate(self, node: Node) -> None:
        others = [vm for vm in self.cluster.nodes if vm != node.vm]
        links = {(node.vm, vm) for vm in others} | {(vm, node.vm) for vm in others}
        seconds = self._cut(links)
        now = self.cluster.timeline.now
        if len(self.cluster.founders) > 1:
            self.cluster.note(Isolated(now, now + seconds, node.vm))

    def _cut(self, links: set[tuple[VmId, VmId]]) -> float:
        seconds = self.random.choice((0.5, 3, 10)) * self.random.uniform(0.5, 1.5)
        self.cluster.network.cuts.update(links)
        self.cluster.timeline.after(seconds, lambda: self._mend(links))
        return seconds

    def _mend(self, links: set[tuple[VmId, VmId]]) -> None:
        self.cluster.network.cuts.subtract(links)

    def _any(self) -> Node:
        return self.random.choice(self.members())

    def _start_later(self, node: Node) -> None:
        self._later(4, partial(self._start, node))

    def _start(self, node: Node) -> None:
        if node.life is None and node.vm != self.spare:
            node.start()

    def _later(self, longest_s: float, action: Callable[[], None]) -> None:
        self.cluster.timeline.after(self.random.uniform(0.1, longest_s), action)
