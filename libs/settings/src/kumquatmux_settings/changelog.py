"""The replicated state of the settings: one change after the other, each run once."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec
import xxhash
from expression import Error, Ok, Result

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.problems import Problem
from kumquatmux_settings.change import Change, ChangeOutcome, Edit, Verdict
from kumquatmux_settings.digest import EMPTY_DIGEST, digest_after, digest_of
from kumquatmux_settings.revisions import Revision, Revisions, apply_edits, difference

FORMAT_VERSION = 1
CHANGE_ID_CHARACTERS = 128
DETAIL_CHARACTERS = 1000

Validator = Callable[[Mapping[str, str], Mapping[str, str]], list[Problem]]
"""Judges the values a change would make, given those in force.

It is to say the same on every replica; empty if the change may come into force.
"""


class ChangeLogSettings(NamedTuple):
    """How much of the past is kept; the same on every replica.

    Attributes:
        revisions: Revisions whose values can be restored, at most.
        revision_bytes: Bytes of their edits, at most.
        outcomes: Outcomes remembered for resent changes, at most.
        change_bytes: Longest change in bytes.
    """

    revisions: int = 4096
    revision_bytes: int = 8_388_608
    outcomes: int = 8192
    change_bytes: int = 262_144


class Remembered(NamedTuple):
    """The first outcome of a change, for when it is resent.

    Attributes:
        outcome: What became of it.
        base_revision: The revision it was based on.
        fingerprint: Tells another change under the same id apart.
    """

    outcome: ChangeOutcome
    base_revision: int
    fingerprint: str


class State(NamedTuple):
    """All that a ``ChangeLog`` holds, as a snapshot carries it."""

    version: int
    applied: int
    revision: int
    floor: int
    digest: str
    values: dict[str, str]
    history: tuple[Revision, ...]
    remembered: tuple[Remembered, ...]


def encode_change(change: Change) -> bytes:
    """Return a change as the bytes of a log entry."""
    return msgspec.msgpack.encode(change)


def decode_change(entry: bytes) -> Result[Change, Problem]:
    """Return the change in the bytes of a log entry."""
    try:
        return Ok(msgspec.msgpack.decode(entry, type=Change))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Error(Problem("change-malformed", str(error)))


class ChangeLog:
    """Values by path, their revisions and the outcome of each change.

    Attributes:
        settings: How much of the past is kept.
        validate: Judges the values a change would make.
        applied: Last log entry applied.
        revision: Grows by one with each accepted change, 0 at first.
        floor: A change based on an earlier revision that is not remembered is
            expired: all forgotten changes are.
        values: JSON text by dotted path.
        digest: Digest of the values.
        revisions: The revisions retained.
        remembered: Outcomes by change id, oldest first.
    """

    def __init__(self, settings: ChangeLogSettings, validate: Validator) -> None:
        self.settings = settings
        self.validate = validate
        self.applied = 0
        self.revision = 0
        self.floor = 0
        self.values: dict[str, str] = {}
        self.revisions = self._no_revisions()
        self.remembered: dict[str, Remembered] = {}
        self.digest = EMPTY_DIGEST

    def apply(self, index: int, entry: bytes) -> ChangeOutcome:
        """Run one committed entry.

        Args:
            index: Its place in the log, later than the last one applied.
            entry: What ``encode_change`` made.

        Returns:
            The first outcome of the change, also when it comes again.
        """
        if index <= self.applied:
            raise AssertionError(f"entry {index} after {self.applied}")
        self.applied = index
        decoded = decode_change(entry)
        if decoded.is_error():
            return ChangeOutcome("", Verdict.INVALID, self.revision, str(decoded.error))
        change = decoded.ok
        if not 0 < len(change.change_id) <= CHANGE_ID_CHARACTERS:
            detail = f"a change id has 1 to {CHANGE_ID_CHARACTERS} characters"
            return ChangeOutcome("", Verdict.INVALID, self.revision, detail)
        fingerprint = xxhash.xxh3_64_hexdigest(entry)
        known = self.remembered.get(change.change_id)
        if known is not None:
            return self._resent(known, fingerprint)
        outcome = self._run(change, len(entry))
        log_decision(
            "settings-change",
            change=change.change_id,
            operator=change.operator,
            base=change.base_revision,
            verdict=outcome.verdict,
            revision=outcome.revision,
            detail=outcome.detail,
        )
        if outcome.verdict != Verdict.EXPIRED:
            known = Remembered(outcome, change.base_revision, fingerprint)
            self.remembered[change.change_id] = known
            self._forget_outcomes()
        return outcome

    def outcome(self, change_id: str) -> ChangeOutcome | None:
        """Return the outcome of a change if it is remembered."""
        known = self.remembered.get(change_id)
        return known.outcome if known else None

    def values_at(self, revision: int) -> dict[str, str] | None:
        """Return the values at a revision, None if it is not retained."""
        return self.revisions.values_at(self.values, self.revision, revision)

    def since(self, revision: int) -> tuple[Edit, ...] | None:
        """Return the edits from a revision to the one in force, None if too old."""
        return self.revisions.since(self.revision, revision)

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        state = State(
            FORMAT_VERSION,
            self.applied,
            self.revision,
            self.floor,
            self.digest,
            self.values,
            tuple(self.revisions.retained),
            tuple(self.remembered.values()),
        )
        return msgspec.msgpack.encode(state)

    def restore(self, data: bytes) -> Result[None, Problem]:
        """Take over the state of a snapshot; nothing changes if it is unsound."""
        try:
            state = msgspec.msgpack.decode(data, type=State)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return Error(Problem("snapshot-malformed", str(error)))
        if state.version != FORMAT_VERSION:
            detail = f"format version {state.version}, known is {FORMAT_VERSION}"
            return Error(Problem("snapshot-version", detail))
        if digest_of(state.values) != state.digest:
            return Error(Problem("snapshot-digest", "values do not match their digest"))
        self.applied = state.applied
        self.revision = state.revision
        self.floor = state.floor
        self.values = state.values
        self.digest = state.digest
        self.revisions = self._no_revisions()
        for past in state.history:
            self.revisions.add(past)
        self.remembered = {one.outcome.change_id: one for one in state.remembered}
        return Ok(None)

    def _no_revisions(self) -> Revisions:
        return Revisions(self.settings.revisions, self.settings.revision_bytes)

    def _resent(self, known: Remembered, fingerprint: str) -> ChangeOutcome:
        if known.fingerprint == fingerprint:
            return known.outcome
        detail = "the change id was used by another change"
        change_id = known.outcome.change_id
        return ChangeOutcome(change_id, Verdict.INVALID, self.revision, detail)

    def _run(self, change: Change, size_bytes: int) -> ChangeOutcome:
        refused = self._refusal(change, size_bytes)
        if refused is not None:
            return refused
        wanted = self._wanted_values(change)
        if wanted.is_error():
            return self._invalid(change, wanted.error)
        problems = self.validate(wanted.ok, self.values)
        if problems:
            return self._invalid(change, *problems)
        self._accept(change, wanted.ok)
        return ChangeOutcome(change.change_id, Verdict.ACCEPTED, self.revision)

    def _refusal(self, change: Change, size_bytes: int) -> ChangeOutcome | None:
        base = change.base_revision
        if base < min(self.floor, self.revision):
            detail = f"base revision {base} is older than what is remembered"
            return ChangeOutcome(
                change.change_id, Verdict.EXPIRED, self.revision, detail
            )
        if base < self.revision:
            detail = f"based on revision {base}, in force is {self.revision}"
            return ChangeOutcome(
                change.change_id, Verdict.CONFLICT, self.revision, detail
            )
        if base > self.revision:
            detail = f"revision {base} does not exist, in force is {self.revision}"
            return self._invalid(change, Problem("base-unknown", detail))
        if size_bytes > self.settings.change_bytes:
            detail = f"{size_bytes} bytes, {self.settings.change_bytes} allowed"
            return self._invalid(change, Problem("change-long", detail))
        return None

    def _wanted_values(self, change: Change) -> Result[dict[str, str], Problem]:
        if change.undo_to < 0:
            return Ok(apply_edits(self.values, change.edits))
        if change.edits:
            return Error(Problem("undo-edits", "an undo carries no edits"))
        values = self.values_at(change.undo_to)
        if values is None:
            detail = f"revision {change.undo_to} is not retained"
            return Error(Problem("undo-unknown", detail))
        return Ok(values)

    def _invalid(self, change: Change, *problems: Problem) -> ChangeOutcome:
        detail = "; ".join(map(str, problems))[:DETAIL_CHARACTERS]
        return ChangeOutcome(change.change_id, Verdict.INVALID, self.revision, detail)

    def _accept(self, change: Change, wanted: dict[str, str]) -> None:
        touched = [edit.path for edit in change.edits] or None
        edits = difference(self.values, wanted, touched)
        inverse = difference(wanted, self.values, touched)
        self.digest = digest_after(self.digest, self.values, edits)
        self.values = wanted
        self.revision += 1
        made = Revision(
            self.revision,
            change.change_id,
            change.operator,
            change.note,
            change.at,
            edits,
            inverse,
            self.digest,
        )
        self.revisions.add(made)

    def _forget_outcomes(self) -> None:
        while len(self.remembered) > self.settings.outcomes:
            oldest = self.remembered.pop(next(iter(self.remembered)))
            self.floor = max(self.floor, oldest.base_revision + 1)
