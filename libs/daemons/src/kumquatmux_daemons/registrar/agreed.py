"""The replica, its store and the document log of one control VM as one part."""

from __future__ import annotations

from functools import singledispatchmethod
from random import Random
from typing import NamedTuple

from kumquatmux_agreement.entries import ReplicaId, Snapshot, joining_state
from kumquatmux_agreement.events import (
    Action,
    Apply,
    Event,
    InstallSnapshot,
    Persist,
    Persisted,
    PersistFailed,
    Reply,
    Role,
    RoleChanged,
    Send,
    SnapshotTaken,
    TakeSnapshot,
    Tick,
    TransferLeadership,
)
from kumquatmux_agreement.messages import Message
from kumquatmux_agreement.replica import Replica
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_daemons.registrar.folder import check_documents
from kumquatmux_settings.documents import DocumentLog
from kumquatmux_storage.store import Store, open_or_create

FOLDER_NAME_BITS = 64
REOPEN_S = 0.5
"""Seconds between attempts to go on with a disk that failed."""


class AgreedSends(NamedTuple):
    """A message to another replica."""

    vm: VmId
    message: Message


class Agreed:
    """Carries out what the replica asks for and applies what it commits.

    Attributes:
        replica: The replica.
        documents: The state machine.
        sends: Messages to be sent.
        replies: Answers of the replica.
    """

    def __init__(self, settings: ReplicaSettings, store: Store, random: Random) -> None:
        self.settings = settings
        self.store = store
        self.random = random
        self.sends: list[AgreedSends] = []
        self.replies: list[Reply] = []
        self.reopen_at: float | None = None
        self.replica = self._new_replica()
        # Bound once: binding such a method anew costs more than most of its calls.
        self.perform = self._perform

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads."""
        return self.replica.core.leader_state is not None

    @property
    def leader_vm(self) -> VmId | None:
        """The VM that leads, if known."""
        leader = self.replica.core.leader
        return leader.vm if leader else None

    def give(self, event: Event, now: float) -> None:
        """Hand the replica an event and carry out what follows."""
        if self.reopen_at is not None and now >= self.reopen_at:
            self._reopen()
        self._carry_out(self.replica.handle(event, now), now)

    def tick(self, now: float) -> None:
        """Tell the replica the time."""
        self.give(Tick(), now)

    def hand_over(self, now: float) -> None:
        """Ask another replica to lead, if this one does."""
        self.give(TransferLeadership(), now)

    def is_current(self) -> bool:
        """Return whether a leader of now has confirmed what is applied here."""
        core = self.replica.core
        if core.log.term_at(core.commit_index) != core.term:
            return False
        if core.leader_state is not None:
            return core.commit_index >= core.leader_state.term_start_index
        is_fresh = (
            core.steady_now - core.last_leader_contact_at
            < core.settings.election_timeout_s
        )
        return core.leader is not None and is_fresh

    def answering_voters(self) -> int:
        """Return how many voters hold an entry of this leader, itself included."""
        core = self.replica.core
        if core.leader_state is None:
            return 0
        started_at = core.leader_state.term_start_index
        progress = core.leader_state.progress
        held = [
            progress[voter].match_index if voter in progress else core.persisted_index
            for voter in core.log.configuration.voters
        ]
        return sum(index >= started_at for index in held)

    def set_peers(self, vms: tuple[VmId, ...]) -> None:
        """Name the VMs that are asked for admission."""
        core = self.replica.core
        if vms != core.settings.peers:
            self.settings = self.settings._replace(peers=vms)
            core.settings = self.settings

    def _carry_out(self, actions: list[Action], now: float) -> None:
        waiting = list(actions)
        while waiting:
            action = waiting.pop(0)
            event = self.perform(action, now)
            if event is not None:
                waiting.extend(self.replica.handle(event, now))

    @singledispatchmethod
    def _perform(self, action: Action, now: float) -> Event | None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_perform.register
    def _(self, action: Send, now: float) -> Event | None:
        self.sends.append(AgreedSends(action.to, action.message))
        return None

    @_perform.register
    def _(self, action: Persist, now: float) -> Event | None:
        written = self.store.write(action)
        if written.is_ok():
            return Persisted(action.number)
        self.reopen_at = now + REOPEN_S
        return PersistFailed(action.number, written.error)

    @_perform.register
    def _(self, action: Apply, now: float) -> Event | None:
        for entry in action.entries:
            self.documents.apply(entry.data)
        return None

    @_perform.register
    def _(self, action: InstallSnapshot, now: float) -> Event | None:
        self._restore(action.snapshot)
        return None

    @_perform.register
    def _(self, action: TakeSnapshot, now: float) -> Event | None:
        return SnapshotTaken(action.log_index, self.documents.snapshot())

    @_perform.register
    def _(self, action: Reply, now: float) -> Event | None:
        self.replies.append(action)
        return None

    @_perform.register
    def _(self, action: RoleChanged, now: float) -> Event | None:
        return None

    def _restore(self, snapshot: Snapshot) -> None:
        if snapshot.data:
            self.documents.restore(snapshot.data)

    def _new_replica(self) -> Replica:
        """Return the replica of what the disk holds.

        The state begins from there too: the entries that follow are applied again, and
        orders that ran twice would count as further changes.
        """
        self.documents = DocumentLog()
        restored = self.store.restored
        self._restore(restored.snapshot)
        log_decision(
            "replica-started",
            replica=self.settings.replica_id,
            term=restored.vote.term,
            snapshot=restored.snapshot.log_index,
            entries=len(restored.entries),
            document=self.documents.newest.number,
        )
        return Replica(self.settings, restored, self.random)

    def _reopen(self) -> None:
        """Go on from what the disk holds after a write failed.

        A folder that was emptied meanwhile gets another name: under its own, the
        replica would vote and count again without what it knew.
        """
        self.reopen_at = None
        if self.replica.core.role != Role.FAILED:
            return
        folder = f"{self.random.getrandbits(FOLDER_NAME_BITS):016x}"
        identity = self.store.identity._replace(folder=folder)
        opened = open_or_create(self.store.disk, identity, joining_state()).bind(
            check_documents
        )
        if opened.is_error():
            log_decision("storage-still-failing", problem=opened.error)
            self.reopen_at = self.replica.core.now + REOPEN_S
            return
        self.store = opened.ok
        replica = ReplicaId(identity.vm, self.store.identity.folder)
        self.settings = self.settings._replace(replica_id=replica)
        self.replica = self._new_replica()
