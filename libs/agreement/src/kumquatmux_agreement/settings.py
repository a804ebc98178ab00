"""Settings of one replica."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_agreement.entries import ReplicaId
from kumquatmux_core.identity import VmId


class ReplicaSettings(NamedTuple):
    """Who a replica is and how it keeps time.

    Attributes:
        cluster: Name of the cluster; messages of another one are dropped, also of
            one that was founded again under the same name.
        replica: This replica.
        peers: VMs to ask for admission while no leader is heard.
        heartbeat_s: Seconds between heartbeats of a leader.
        election_timeout_s: Seconds without a leader before an election, at least;
            twice as long at most. Nobody votes within it of a leader's message.
        start_timeout_s: Seconds after its start before a replica stands or votes, at
            least; less than the election timeout only where no leader reads under
            a lease, that is with a ``lease_share`` of 0.
        lease_share: Share of the election timeout for which a leader reads without
            asking; the rest covers clocks that run at different speeds.
        clock_gap_s: Seconds between two events above which the clock counts as
            having jumped or the process as having stood still.
        join_period_s: Seconds between requests to join.
        snapshot_entries: Entries applied after which the log is compacted.
        keep_entries: Entries kept behind a snapshot for followers that are slow.
        batch_bytes: Bytes of entries in one message, about.
        window_entries: Entries sent ahead of a follower's acknowledgement.
        chunk_bytes: Bytes of a snapshot in one message.
        entry_bytes: Longest entry in bytes.
        pending_entries: Entries not yet committed that a leader holds at most.
    """

    cluster: str
    replica: ReplicaId
    peers: tuple[VmId, ...] = ()
    heartbeat_s: float = 0.5
    election_timeout_s: float = 2.0
    start_timeout_s: float = 2.0
    lease_share: float = 0.6
    clock_gap_s: float = 0.4
    join_period_s: float = 1.0
    snapshot_entries: int = 1024
    keep_entries: int = 128
    batch_bytes: int = 262_144
    window_entries: int = 256
    chunk_bytes: int = 262_144
    max_entry_bytes: int = 1_048_576
    max_pending_entries: int = 256
