"""Messages that replicate the leader's log or snapshot to a member."""

from __future__ import annotations

from kumquatmux_agreement.core import ReplicaCore
from kumquatmux_agreement.entries import ReplicaId
from kumquatmux_agreement.leadership import LeaderState, ReplicationProgress
from kumquatmux_agreement.messages import AppendRequest, SnapshotChunk


def send_next_message(
    core: ReplicaCore,
    leader_state: LeaderState,
    member: ReplicaId,
    progress: ReplicationProgress,
) -> None:
    """Send a member the next entries or the next chunk of a snapshot."""
    if progress.snapshot is not None or progress.next_index <= core.log.base_index:
        _send_snapshot_chunk(core, leader_state, member, progress)
        return
    previous_index = progress.next_index - 1
    previous_term = core.log.term_at(previous_index)
    if previous_term is None:
        raise AssertionError(f"entry {previous_index} is not in the log")
    entries = core.log.batch(
        progress.next_index, core.log.last_index, core.settings.batch_bytes
    )
    progress.next_index += len(entries)
    progress.sent_commit_index = core.commit_index
    message = AppendRequest(
        core.cluster,
        core.replica_id,
        member,
        core.term,
        previous_index,
        previous_term,
        entries,
        core.commit_index,
        leader_state.round,
    )
    core.send(message, member.vm)


def _send_snapshot_chunk(
    core: ReplicaCore,
    leader_state: LeaderState,
    member: ReplicaId,
    progress: ReplicationProgress,
) -> None:
    if progress.snapshot is None:
        progress.snapshot = core.log.snapshot
        progress.received_bytes = 0
    snapshot = progress.snapshot
    offset = progress.received_bytes
    message = SnapshotChunk(
        core.cluster,
        core.replica_id,
        member,
        core.term,
        snapshot.log_index,
        snapshot.term,
        snapshot.configuration,
        offset,
        len(snapshot.data),
        snapshot.data[offset : offset + core.settings.chunk_bytes],
        leader_state.round,
    )
    core.send(message, member.vm)
