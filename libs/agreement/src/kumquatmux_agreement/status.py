"""Status of a replica for operators."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_agreement.entries import Configuration, ReplicaId
from kumquatmux_agreement.events import Role
from kumquatmux_core.identity import VmId


class ReplicaStatus(NamedTuple):
    """Status of a replica for operators.

    Attributes:
        role: Current role.
        term: Current term.
        leader: Leader, or None if unknown.
        commit_index: Last entry known to be committed.
        last_index: Last entry of the log.
        snapshot_index: Last entry included in the snapshot.
        configuration: Latest configuration in the log.
        live_members: Members that replied recently, if this replica is the leader.
        has_lease: Whether the replica may answer reads without contacting a quorum.
        is_fully_replicated: Whether every wanted VM has a voter in a committed
            configuration and, if this replica is the leader, whether all members hold
            every committed entry. Only then is it safe to lose another disk.
    """

    role: Role
    term: int
    leader: ReplicaId | None
    commit_index: int
    last_index: int
    snapshot_index: int
    configuration: Configuration
    live_members: tuple[ReplicaId, ...]
    has_lease: bool
    is_fully_replicated: bool

    @property
    def voting_vms(self) -> frozenset[VmId]:
        """VMs whose voters replied recently, if this replica is the leader."""
        voters = self.configuration.voters
        return frozenset(
            replica.vm for replica in self.live_members if replica in voters
        )

    @property
    def joining_vms(self) -> frozenset[VmId]:
        """VMs with a recent reply but without a vote, if this replica is the leader."""
        return frozenset(replica.vm for replica in self.live_members) - self.voting_vms
