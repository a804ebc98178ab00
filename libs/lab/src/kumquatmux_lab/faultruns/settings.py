"""One seeded run of the settings log under faults."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from kumquatmux_agreement.entries import ReplicaId
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.identity import VmId
from kumquatmux_lab.faultruns.report import RunReport
from kumquatmux_lab.faultruns.settings_cluster import CLUSTER, Cluster
from kumquatmux_lab.faultruns.settings_faults import Faults
from kumquatmux_lab.faultruns.settings_history import (
    Answered,
    Ended,
    History,
    Stuck,
    violations,
)
from kumquatmux_lab.faultruns.settings_network import NetworkSettings
from kumquatmux_lab.faultruns.settings_operators import Operator
from kumquatmux_settings.change import Verdict
from kumquatmux_settings.changelog import ChangeLogSettings

SIZES = (1, 3, 3, 3, 5)
FOUNDING_S = 40.0
FAULTS_S = 40.0
HEALING_S = 60.0
DRAIN_S = 10.0
POLL_S = 0.5


def run(seed: int) -> RunReport:
    """Run a cluster through faults and check its history."""
    random = Random(seed)
    cluster = _new_cluster(random)
    faults, history = _play(cluster)
    return RunReport(seed, dict(sorted(faults.counts.items())), violations(history))


def _new_cluster(random: Random) -> Cluster:
    size = random.choice(SIZES)
    founders = tuple(VmId(f"vm-{number}") for number in range(size))
    vms = founders if size == 1 else (*founders, VmId("vm-spare"))
    settings = ReplicaSettings(
        CLUSTER,
        ReplicaId(founders[0], ""),
        vms,
        snapshot_interval_entries=random.choice((4, 16, 1024)),
        retained_entries=random.choice((0, 4)),
        chunk_bytes=random.choice((1000, 16384)),
        batch_bytes=random.choice((1, 4096)),
        window_entries=random.choice((2, 64)),
    )
    changelog = ChangeLogSettings(outcomes=random.choice((8, 64, 8192)))
    network = NetworkSettings(loss=random.choice((0, 0.02, 0.1)))
    sync_s = random.choice((0.002, 0.05, 0.4))
    return Cluster(vms, founders, settings, changelog, network, random, sync_s)


def _play(cluster: Cluster) -> tuple[Faults, History]:
    timeline = cluster.timeline
    spare = [vm for vm in cluster.nodes if vm not in cluster.founders]
    faults = Faults(cluster, spare[0] if spare else VmId(""))
    for vm in cluster.founders:
        cluster.nodes[vm].start(founds=vm == cluster.founders[0])
    if not _comes_about(cluster, cluster.is_whole, FOUNDING_S):
        cluster.note(Stuck(timeline.now, "the cluster was not founded"))
    operators = [Operator(f"operator-{n}", cluster, 0.1) for n in range(3)]
    for operator in operators:
        timeline.after(0, operator.begin)
    timeline.after(0, faults.inject)
    timeline.after(0, faults.watch)
    timeline.run_until(timeline.now + FAULTS_S)
    faults.end()
    _heal(cluster, operators)
    return faults, tuple(cluster.history)


def _heal(cluster: Cluster, operators: list[Operator]) -> None:
    timeline = cluster.timeline
    healed_at = timeline.now

    def accepts() -> bool:
        return any(
            isinstance(one, Answered)
            and one.at > healed_at
            and one.outcome.verdict == Verdict.ACCEPTED
            for one in reversed(cluster.history)
        )

    if not _comes_about(cluster, accepts, HEALING_S):
        cluster.note(Stuck(timeline.now, "no change was accepted after healing"))
    if not _comes_about(cluster, cluster.is_whole, HEALING_S):
        cluster.note(Stuck(timeline.now, "the cluster did not become whole again"))
    for operator in operators:
        operator.is_done = True
        operator.link_loss = 0.0
    timeline.run_until(timeline.now + DRAIN_S)
    _note_ends(cluster)


def _note_ends(cluster: Cluster) -> None:
    leader = cluster.leader()
    if leader is None or leader.life is None:
        cluster.note(Stuck(cluster.timeline.now, "there is no leader in the end"))
        return
    for voter in leader.life.replica.status().configuration.voters:
        life = cluster.nodes[voter.vm].life
        if life is None:
            cluster.note(Stuck(cluster.timeline.now, f"{voter} is down in the end"))
            continue
        changes = life.changes
        held = frozenset(one.change_id for one in changes.revisions.retained)
        now = cluster.timeline.now
        cluster.note(Ended(now, voter.vm, changes.revision, changes.digest, held))


def _comes_about(cluster: Cluster, holds: Callable[[], bool], within_s: float) -> bool:
    until = cluster.timeline.now + within_s
    while cluster.timeline.now < until:
        if holds():
            return True
        cluster.timeline.run_until(cluster.timeline.now + POLL_S)
    return holds()
