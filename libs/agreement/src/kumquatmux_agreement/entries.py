"""What a replica keeps on its disk: entries, the vote record and the snapshot."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from kumquatmux_core.identity import VmId


class ReplicaId(NamedTuple):
    """One data folder of one VM.

    A VM that lost its folder comes back with another folder name, and so as another
    replica: votes and acknowledgements of the lost one are never counted for it.

    Attributes:
        vm: The VM the folder is on.
        folder: Made at random when the folder was created.
    """

    vm: VmId
    folder: str

    def __str__(self) -> str:
        """Return ``vm/folder``."""
        return f"{self.vm}/{self.folder}"


class Configuration(NamedTuple):
    """Who takes part in the log.

    Attributes:
        vms: The control VMs as operators want them: 1, 3 or 5.
        voters: Replicas that vote and whose synced copies count.
        learners: Replicas that receive the log and do not count yet.
        origin: Folder of the founder, which tells a cluster that was founded again
            under the same name apart.
    """

    vms: tuple[VmId, ...]
    voters: tuple[ReplicaId, ...]
    learners: tuple[ReplicaId, ...] = ()
    origin: str = ""

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """How many voters must agree.

        A majority of the voters, and while VMs are missing as many as a majority of
        the wanted VMs, so that an accepted entry outlives any minority of them.
        """
        required_votes = min(len(self.voters), _majority(len(self.vms)))
        return max(_majority(len(self.voters)), required_votes)

    @property
    def is_ready(self) -> bool:
        """Whether enough voters exist to accept entries."""
        return len(self.voters) >= _majority(len(self.vms))


class EntryKind(IntEnum):
    """What an entry of the log holds."""

    EMPTY = 0
    DATA = 1
    CONFIGURATION = 2


class Entry(NamedTuple):
    """One entry of the log.

    Attributes:
        log_index: Place in the log, from 1, without gaps.
        term: Term of the leader that wrote it.
        kind: What it holds.
        data: Bytes of the embedding program, for ``DATA``.
        configuration: The new configuration, for ``CONFIGURATION``.
    """

    log_index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    configuration: Configuration | None = None


class VoteRecord(NamedTuple):
    """The term a replica is in and whom it voted for in it."""

    term: int = 0
    voted_for: ReplicaId | None = None


class Snapshot(NamedTuple):
    """The state of the embedding program after an entry, in place of the log up to it.

    Attributes:
        log_index: Last entry it contains, 0 for none.
        term: Term of that entry.
        configuration: The configuration after that entry.
        data: State of the embedding program, empty at index 0.
    """

    log_index: int
    term: int
    configuration: Configuration
    data: bytes


class DurableState(NamedTuple):
    """All that a replica reads back after a restart.

    Attributes:
        vote: The vote record.
        snapshot: The latest snapshot.
        entries: The entries after the snapshot, without gaps.
    """

    vote: VoteRecord
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()


def founding_state(founder: ReplicaId, vms: tuple[VmId, ...]) -> DurableState:
    """Return the state of the one replica that founds a cluster.

    Args:
        founder: The replica, the only voter until others join.
        vms: All control VMs, the founder's included.
    """
    configuration = Configuration(vms, (founder,), (), founder.folder)
    return DurableState(VoteRecord(), Snapshot(0, 0, configuration, b""))


def joining_state() -> DurableState:
    """Return the state of a replica that waits to be let into a cluster."""
    return DurableState(VoteRecord(), Snapshot(0, 0, Configuration((), ()), b""))


def _majority(count: int) -> int:
    return count // 2 + 1
