"""Persistent state of a replica: log entries, vote record and snapshot."""

from __future__ import annotations

import hashlib
from enum import IntEnum
from typing import NamedTuple

from kumquatmux_core.identity import VmId

FOUNDING_FOLDER_BYTES = 8
"""Length of the folder name that founding replicas share, in bytes."""

MAX_FOUNDING_VMS = 5
"""Most VMs that found a cluster together, as each of them votes."""


class ReplicaId(NamedTuple):
    """Identity of a replica: one data folder on one VM.

    A VM that lost its folder gets a new folder name and so a new identity. Votes and
    acknowledgements of the lost replica are therefore not counted for the new one.

    Attributes:
        vm: VM that has the folder.
        folder: Random identifier assigned when the folder was created, or the one that
            all replicas of a cluster founded together share.
    """

    vm: VmId
    folder: str

    def __str__(self) -> str:
        """Return ``vm/folder``."""
        return f"{self.vm}/{self.folder}"


class Configuration(NamedTuple):
    """Members of the replicated log.

    Attributes:
        wanted_vms: Control VMs that should have a voter: 1, 3 or 5.
        voters: Replicas that vote and whose persisted entries count for a quorum.
        learners: Replicas that receive the log but do not count for a quorum yet.
        origin: Folder of the cluster's founding replicas. It tells clusters that were
            founded by different replicas under the same name apart.
    """

    wanted_vms: tuple[VmId, ...]
    voters: tuple[ReplicaId, ...]
    learners: tuple[ReplicaId, ...] = ()
    origin: str = ""

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Number of voters that must agree.

        The larger of a majority of the voters and a majority of the wanted VMs, but at
        most all voters. An accepted entry thus survives the loss of any minority of the
        wanted VMs.
        """
        required_votes = min(len(self.voters), _majority(len(self.wanted_vms)))
        return max(_majority(len(self.voters)), required_votes)

    @property
    def has_enough_voters(self) -> bool:
        """Whether there are enough voters to accept entries."""
        return len(self.voters) >= _majority(len(self.wanted_vms))


class EntryKind(IntEnum):
    """Kind of a log entry.

    ``EMPTY`` is the first entry of a leader's term.
    """

    EMPTY = 0
    DATA = 1
    CONFIGURATION = 2


class Entry(NamedTuple):
    """Entry of the log.

    Attributes:
        log_index: Index in the log, starting at 1 without gaps.
        term: Term of the leader that created the entry.
        kind: Kind of the entry.
        data: Application data, for ``DATA``.
        configuration: New configuration, for ``CONFIGURATION``.
    """

    log_index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    configuration: Configuration | None = None


class VoteRecord(NamedTuple):
    """Current term of a replica and its vote in that term.

    Attributes:
        term: Current term.
        voted_for: Candidate that got the replica's vote, or None.
    """

    term: int = 0
    voted_for: ReplicaId | None = None


class Snapshot(NamedTuple):
    """Application state after an entry, which replaces the log up to that entry.

    Attributes:
        log_index: Last entry included, 0 for none.
        term: Term of that entry.
        configuration: Configuration after that entry.
        data: Serialized application state, empty at index 0.
    """

    log_index: int
    term: int
    configuration: Configuration
    data: bytes


class DurableState(NamedTuple):
    """Persistent state that a replica loads at startup.

    Attributes:
        vote: Term and vote.
        snapshot: Latest snapshot.
        entries: Entries after the snapshot, without gaps.
    """

    vote: VoteRecord
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()


def founding_state(founder: ReplicaId, vms: tuple[VmId, ...]) -> DurableState:
    """Return the initial state of the replica that founds a cluster.

    Args:
        founder: Founding replica, the only voter until others join.
        vms: All control VMs, including the founder's.
    """
    configuration = Configuration(vms, (founder,), (), founder.folder)
    return DurableState(VoteRecord(), Snapshot(0, 0, configuration, b""))


def founding_vms(seeds: tuple[VmId, ...]) -> tuple[VmId, ...]:
    """Return which of the seeds found a cluster, the same for any order of them."""
    return tuple(sorted(set(seeds)))[:MAX_FOUNDING_VMS]


def founding_folder(vms: tuple[VmId, ...]) -> str:
    """Return the folder name of the replicas with which VMs found a cluster together.

    Args:
        vms: All founding VMs, as from ``founding_vms``.
    """
    names = "\n".join(vms).encode()
    return hashlib.blake2b(names, digest_size=FOUNDING_FOLDER_BYTES).hexdigest()


def shared_founding_state(vms: tuple[VmId, ...]) -> DurableState:
    """Return the initial state of each replica of a cluster that VMs found together.

    Every founding VM votes from the start, so that any majority of them founds the
    cluster, and no two majorities found two. A VM may use this state only until it
    loses its first folder: after that its voter would have forgotten its vote.

    Args:
        vms: All founding VMs, as from ``founding_vms``; each has the folder
            ``founding_folder``.
    """
    origin = founding_folder(vms)
    voters = tuple(ReplicaId(vm, origin) for vm in vms)
    configuration = Configuration(vms, voters, (), origin)
    return DurableState(VoteRecord(), Snapshot(0, 0, configuration, b""))


def joining_state() -> DurableState:
    """Return the initial state of a replica that waits to join a cluster."""
    return DurableState(VoteRecord(), Snapshot(0, 0, Configuration((), ()), b""))


def _majority(count: int) -> int:
    return count // 2 + 1
