"""Settings of one replica."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_agreement.entries import ReplicaId
from kumquatmux_core.identity import VmId


class ReplicaSettings(NamedTuple):
    """Identity, timing and limits of a replica.

    Attributes:
        cluster: Name of the cluster. Messages of other clusters are dropped, including
            those of a cluster that was founded again under the same name.
        replica_id: Identity of this replica.
        peers: VMs that get join requests while no leader is known.
        heartbeat_s: Interval between a leader's heartbeats, in seconds.
        election_timeout_s: Minimum time without a leader before an election, in
            seconds; the maximum is twice as long. A replica does not vote within this
            time of a message from a leader, except in a leadership transfer.
        start_timeout_s: Minimum time after startup before a replica starts an election
            or votes, in seconds. It may be less than the election timeout only if
            leaders have no read lease, that is, with a ``lease_fraction`` of 0.
        lease_fraction: Fraction of the election timeout for which a leader answers
            reads without contacting a quorum. The rest is a margin for clock drift.
        max_event_gap_s: Maximum time between two events, in seconds. A longer one is
            treated as a clock jump or a paused process.
        join_period_s: Interval between join requests, in seconds.
        snapshot_interval_entries: Number of committed entries between two log
            compactions.
        retained_entries: Number of entries retained before a snapshot for slow
            followers.
        batch_bytes: Approximate maximum size of one message's entries, in bytes.
        window_entries: Maximum number of entries sent ahead of a member's
            acknowledgement.
        chunk_bytes: Maximum size of one message's snapshot data, in bytes.
        max_entry_bytes: Maximum size of an entry's data, in bytes.
        max_pending_entries: Maximum number of uncommitted proposals of a leader.
    """

    cluster: str
    replica_id: ReplicaId
    peers: tuple[VmId, ...] = ()
    heartbeat_s: float = 0.5
    election_timeout_s: float = 2.0
    start_timeout_s: float = 2.0
    lease_fraction: float = 0.6
    max_event_gap_s: float = 0.4
    join_period_s: float = 1.0
    snapshot_interval_entries: int = 1024
    retained_entries: int = 128
    batch_bytes: int = 262_144
    window_entries: int = 256
    chunk_bytes: int = 262_144
    max_entry_bytes: int = 1_048_576
    max_pending_entries: int = 256
