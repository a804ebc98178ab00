"""The copy of the settings that each VM holds, and how it catches up.

A copy only moves to higher revisions. Messages may be lost, repeated, reordered or
come from a VM that is itself behind: what does not fit exactly is dropped, and the
copy asks for what it lacks.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from functools import singledispatchmethod
from random import Random
from typing import Any

from kumquatmux_core.decisions import log
from kumquatmux_core.identity import VmId
from kumquatmux_settings.assembly import Assembly, cut
from kumquatmux_settings.change import Edit
from kumquatmux_settings.copy_events import (
    Accepted,
    Action,
    ChildrenChanged,
    Confirmed,
    DistributionSettings,
    InForce,
    PeerGone,
    PeerRevision,
    Received,
    SendMessage,
    Tick,
)
from kumquatmux_settings.digest import EMPTY_DIGEST, digest_after, digest_of
from kumquatmux_settings.messages import (
    Current,
    Delta,
    DeltaRequest,
    Message,
    Snapshot,
)
from kumquatmux_settings.revisions import difference

MS_PER_S = 1000.0


class SettingsCopy:
    """One VM's copy of the settings.

    Attributes:
        settings: Settings of the copy.
        revision: Revision in force here, 0 before the first.
        digest: Digest of the values.
        values: The tree in force here; not to be changed by others.
        confirmed_at: When the leader last confirmed the revision in force here as
            the newest, in seconds of this VM's clock.
        newest: Highest revision heard of.
    """

    def __init__(self, settings: DistributionSettings, rng: Random) -> None:
        self.settings = settings
        self.rng = rng
        self.revision = 0
        self.digest = EMPTY_DIGEST
        self.values: dict[str, str] = {}
        self.confirmed_at = -math.inf
        self.newest = 0
        self.ahead: dict[VmId, int] = {}
        self.children: tuple[VmId, ...] = ()
        self.history: deque[Delta] = deque(maxlen=settings.history_limit)
        self.asked_at = -math.inf
        self.is_flawed = False
        self.assembly = Assembly()

    def staleness(self, now: float) -> float:
        """Return seconds since this copy was confirmed as the newest."""
        return now - self.confirmed_at

    @singledispatchmethod
    def handle(self, event: Any, now: float) -> list[Action]:
        """Take one event and return what is to be done.

        Args:
            event: What happened.
            now: Time in seconds of a monotonic clock.
        """
        raise TypeError(f"no handler for {type(event).__name__}")

    @handle.register
    def _(self, event: Accepted, now: float) -> list[Action]:
        if event.revision <= self.revision:
            return []
        edits = difference(self.values, event.values)
        digest = digest_after(self.digest, self.values, edits)
        delta = Delta(
            self.settings.vm, self.revision, self.digest, event.revision, digest, edits
        )
        return self._advance(delta)

    @handle.register
    def _(self, event: Confirmed, now: float) -> list[Action]:
        self.confirmed_at = now
        current = Current(self.settings.vm, self.revision, self.digest, 0)
        return [SendMessage(child, current) for child in self.children]

    @handle.register
    def _(self, event: PeerRevision, now: float) -> list[Action]:
        self._note_peer(event.vm, event.revision)
        if self._disagrees(event.vm, event.revision, event.digest):
            return self._dispute(event.vm, now)
        return self._catch_up(now)

    @handle.register
    def _(self, event: PeerGone, now: float) -> list[Action]:
        self.ahead.pop(event.vm, None)
        return []

    @handle.register
    def _(self, event: ChildrenChanged, now: float) -> list[Action]:
        self.children = event.children
        return []

    @handle.register
    def _(self, event: Received, now: float) -> list[Action]:
        return self._receive(event.message, now)

    @handle.register
    def _(self, event: Tick, now: float) -> list[Action]:
        return self._catch_up(now)

    @singledispatchmethod
    def _receive(self, message: Any, now: float) -> list[Action]:
        raise TypeError(f"no handler for {type(message).__name__}")

    @_receive.register
    def _(self, message: DeltaRequest, now: float) -> list[Action]:
        if message.revision > self.revision:
            self._note_peer(message.sender, message.revision)
            return self._catch_up(now)
        answers = self._answers(message)
        return [SendMessage(message.sender, answer) for answer in answers]

    @_receive.register
    def _(self, message: Delta, now: float) -> list[Action]:
        self._note_peer(message.sender, message.revision)
        if message.revision <= self.revision:
            return []
        fits = message.base_revision == self.revision
        if not fits or message.base_digest != self.digest:
            return self._catch_up(now)
        digest = digest_after(self.digest, self.values, message.edits)
        if digest != message.digest:
            log("settings-delta-refused", sender=message.sender, why="digest")
            return self._dispute(message.sender, now)
        return self._advance(message)

    @_receive.register
    def _(self, message: Snapshot, now: float) -> list[Action]:
        self._note_peer(message.sender, message.revision)
        repairs = self.is_flawed and message.sender in self.settings.sources
        if message.revision < self.revision + (0 if repairs else 1):
            return []
        self.asked_at = now
        values = self.assembly.add(message)
        if values is None:
            return []
        if digest_of(values) != message.digest:
            log("settings-snapshot-refused", sender=message.sender, why="digest")
            return []
        edits = difference(self.values, values)
        self.history.clear()
        base = Delta(
            message.sender,
            self.revision,
            self.digest,
            message.revision,
            message.digest,
            edits,
        )
        return self._advance(base)

    @_receive.register
    def _(self, message: Current, now: float) -> list[Action]:
        self._note_peer(message.sender, message.revision)
        actions: list[Action] = []
        confirmed_at = now - message.age_ms / MS_PER_S
        if self._disagrees(message.sender, message.revision, message.digest):
            return self._dispute(message.sender, now)
        if message.revision == self.revision and confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
            passed_on = message._replace(sender=self.settings.vm)
            actions += [SendMessage(child, passed_on) for child in self.children]
        return actions + self._catch_up(now)

    def _advance(self, delta: Delta) -> list[Action]:
        for edit in delta.edits:
            if edit.value is None:
                self.values.pop(edit.path, None)
            else:
                self.values[edit.path] = edit.value
        self.revision = delta.revision
        self.digest = delta.digest
        self.newest = max(self.newest, self.revision)
        self.is_flawed = False
        self.asked_at = -math.inf
        own = delta._replace(sender=self.settings.vm)
        self.history.append(own)
        self.ahead = {
            vm: revision
            for vm, revision in self.ahead.items()
            if revision > self.revision
        }
        log("settings-in-force", revision=self.revision, sender=delta.sender)
        actions: list[Action] = [InForce(self.revision, self.digest, delta.edits)]
        actions += [
            SendMessage(child, own) for child in self.children if child != delta.sender
        ]
        return actions

    def _answers(self, request: DeltaRequest) -> Sequence[Message]:
        if request.digest == self.digest and request.revision == self.revision:
            return []
        following = [d for d in self.history if d.base_revision >= request.revision]
        if following and (following[0].base_revision, following[0].base_digest) == (
            request.revision,
            request.digest,
        ):
            delta = following[0]._replace(
                revision=self.revision, digest=self.digest, edits=_merge(following)
            )
            return [delta]
        whole = Snapshot(self.settings.vm, self.revision, self.digest, ())
        return cut(whole, self.values, self.settings.part_keys)

    def _note_peer(self, vm: VmId, revision: int) -> None:
        self.newest = max(self.newest, revision)
        if revision > self.revision:
            self.ahead[vm] = revision
        else:
            self.ahead.pop(vm, None)

    def _catch_up(self, now: float) -> list[Action]:
        if not self.ahead or now - self.asked_at < self.settings.retry_s:
            return []
        highest = max(self.ahead.values())
        best = sorted(vm for vm, revision in self.ahead.items() if revision == highest)
        return self._ask(self.rng.choice(best), now)

    def _disagrees(self, vm: VmId, revision: int, digest: str) -> bool:
        is_source = vm in self.settings.sources
        return (
            is_source and revision == self.revision and digest not in ("", self.digest)
        )

    def _dispute(self, vm: VmId, now: float) -> list[Action]:
        """Ask a control VM for a whole tree, as this copy or the sender's is flawed."""
        if now - self.asked_at < self.settings.retry_s:
            return []
        self.is_flawed = True
        log("settings-digest-differs", revision=self.revision, peer=vm)
        return self._ask(vm, now)

    def _ask(self, vm: VmId, now: float) -> list[Action]:
        self.asked_at = now
        digest = "" if self.is_flawed else self.digest
        return [SendMessage(vm, DeltaRequest(self.settings.vm, self.revision, digest))]


def _merge(deltas: list[Delta]) -> tuple[Edit, ...]:
    merged: dict[str, Edit] = {}
    for delta in deltas:
        merged.update({edit.path: edit for edit in delta.edits})
    return tuple(merged.values())
