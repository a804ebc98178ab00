"""Handling of the leader's entries and snapshots by a follower."""

from __future__ import annotations

from kumquatmux_agreement.core import IncomingSnapshot, ReplicaCore
from kumquatmux_agreement.entries import Snapshot
from kumquatmux_agreement.events import InstallSnapshot
from kumquatmux_agreement.messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
)


def handle_append_request(core: ReplicaCore, message: AppendRequest) -> None:
    """Append a leader's entries, or reply where the logs start to differ."""
    if not _accept_leader(core, message):
        _send_append_reply(
            core, message, is_matched=False, log_index=core.log.last_index + 1
        )
        return
    last_message_index = message.previous_index + len(message.entries)
    if last_message_index <= core.log.base_index:
        _send_append_reply(core, message, is_matched=True, log_index=core.commit_index)
        return
    previous_index = message.previous_index
    is_before_base = previous_index < core.log.base_index
    if not is_before_base and core.log.term_at(previous_index) != message.previous_term:
        retry_index = core.log.conflict_hint(previous_index)
        _send_append_reply(core, message, is_matched=False, log_index=retry_index)
        return
    missing_entries = core.log.missing_suffix(message.entries)
    if missing_entries:
        core.append(missing_entries)
    core.commit_up_to(min(message.commit_index, last_message_index))
    _send_append_reply(core, message, is_matched=True, log_index=last_message_index)


def handle_snapshot_chunk(core: ReplicaCore, message: SnapshotChunk) -> None:
    """Store a chunk of a snapshot, and install the snapshot once it is complete."""
    if not _accept_leader(core, message):
        _send_append_reply(
            core, message, is_matched=False, log_index=core.log.last_index + 1
        )
        return
    if message.log_index <= core.commit_index:
        _send_append_reply(core, message, is_matched=True, log_index=core.commit_index)
        return
    incoming = core.incoming_snapshot
    is_different_snapshot = incoming is None or incoming.log_index != message.log_index
    if incoming is None or is_different_snapshot or incoming.term != message.term:
        incoming = IncomingSnapshot(message.log_index, message.term)
        core.incoming_snapshot = incoming
    if message.offset == len(incoming.data):
        incoming.data += message.data
    if len(incoming.data) < message.total_bytes:
        _send_snapshot_reply(core, message, len(incoming.data))
        return
    snapshot = Snapshot(
        message.log_index,
        message.log_term,
        message.configuration,
        bytes(incoming.data),
    )
    _install_snapshot(core, snapshot)
    _send_append_reply(core, message, is_matched=True, log_index=snapshot.log_index)


def _install_snapshot(core: ReplicaCore, snapshot: Snapshot) -> None:
    core.incoming_snapshot = None
    is_in_log = core.log.term_at(snapshot.log_index) == snapshot.term
    if is_in_log:
        core.log.compact(snapshot, keep_entries=0)
    else:
        core.log.reset(snapshot)
        core.persisted_index = snapshot.log_index
        for pending_persist in core.pending_persists.values():
            pending_persist.last_index = snapshot.log_index
    core.commit_index = snapshot.log_index
    core.last_snapshot_index = snapshot.log_index
    core.persist(snapshot=snapshot, keep_entries=is_in_log)
    core.actions.append(InstallSnapshot(snapshot))
    core.apply_latest_configuration()


def _accept_leader(core: ReplicaCore, message: AppendRequest | SnapshotChunk) -> bool:
    """Follow the sender as leader, or return False if its term is over."""
    if message.term < core.term:
        return False
    if message.term > core.term:
        core.enter_term(message.term, message.sender)
    if core.leader_state is not None:
        raise AssertionError(f"two leaders in term {message.term}")
    core.election = None
    core.set_role(core.passive_role(), message.sender)
    core.last_leader_contact_at = core.steady_now
    core.election_deadline = core.random_election_deadline()
    return True


def _send_append_reply(
    core: ReplicaCore,
    message: AppendRequest | SnapshotChunk,
    *,
    is_matched: bool,
    log_index: int,
) -> None:
    reply = AppendReply(
        message.cluster,
        core.replica_id,
        message.sender,
        core.term,
        is_matched,
        log_index,
        message.round,
    )
    core.send_after_persist(reply, message.sender.vm)


def _send_snapshot_reply(
    core: ReplicaCore, message: SnapshotChunk, received_bytes: int
) -> None:
    reply = SnapshotReply(
        message.cluster,
        core.replica_id,
        message.sender,
        core.term,
        message.log_index,
        received_bytes,
        message.round,
    )
    core.send_after_persist(reply, message.sender.vm)
