"""What operators see of a replica."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_agreement.entries import Configuration, ReplicaId
from kumquatmux_agreement.events import Role
from kumquatmux_core.identity import VmId


class ReplicaStatus(NamedTuple):
    """What operators see of a replica.

    Attributes:
        role: What it is.
        term: The term it is in.
        leader: The leader if known.
        commit: Last entry known to be committed.
        last_index: Last entry of its log.
        snapshot_index: Last entry of its snapshot.
        configuration: Who takes part.
        live: Members that answered lately, if it leads.
        has_lease: Whether it may answer reads alone.
        is_whole: Whether every wanted VM votes by a committed configuration, and if
            it leads, whether they hold all entries. Only then may another disk go.
    """

    role: Role
    term: int
    leader: ReplicaId | None
    commit: int
    last_index: int
    snapshot_index: int
    configuration: Configuration
    live: tuple[ReplicaId, ...]
    has_lease: bool
    is_whole: bool

    @property
    def voting_vms(self) -> frozenset[VmId]:
        """VMs whose voters answered lately, if it leads."""
        voters = self.configuration.voters
        return frozenset(replica.vm for replica in self.live if replica in voters)

    @property
    def joining_vms(self) -> frozenset[VmId]:
        """VMs that answered lately and do not vote yet, if it leads."""
        return frozenset(replica.vm for replica in self.live) - self.voting_vms
