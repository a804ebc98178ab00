"""The replicated state of the settings: one change after the other, each run once."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec
import xxhash
from expression import Error, Ok, Result

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.problems import Problem
from kumquatmux_settings.change import Change, ChangeOutcome, Edit, Verdict

FORMAT_VERSION = 1
DIGEST_BITS = 64
CHANGE_ID_CHARACTERS = 128
DETAIL_CHARACTERS = 1000

Validator = Callable[[Mapping[str, str]], Problem | None]
"""Judges a whole tree of values by path; None if it is sound. Deterministic."""


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


class Revision(NamedTuple):
    """One accepted change as history shows it.

    Attributes:
        number: The revision it made.
        change_id: Which change.
        operator: Who asked.
        note: Why.
        at: When it was asked for, seconds since 1970.
        edits: What changed against the revision before.
        inverse: What leads back to it.
        digest: Digest of the values at this revision.
    """

    number: int
    change_id: str
    operator: str
    note: str
    at: float
    edits: tuple[Edit, ...]
    inverse: tuple[Edit, ...]
    digest: str


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


def apply_edits(values: Mapping[str, str], edits: tuple[Edit, ...]) -> dict[str, str]:
    """Return values after edits, in order."""
    edited = dict(values)
    for edit in edits:
        if edit.value is None:
            edited.pop(edit.path, None)
        else:
            edited[edit.path] = edit.value
    return edited


def difference(old: Mapping[str, str], new: Mapping[str, str]) -> tuple[Edit, ...]:
    """Return the edits that lead from old values to new ones, by path."""
    unset = [Edit(path, None) for path in old if path not in new]
    given = [Edit(path, value) for path, value in new.items() if old.get(path) != value]
    return tuple(sorted(unset + given, key=lambda edit: edit.path))


def digest_of(values: Mapping[str, str]) -> str:
    """Return the digest of values: 16 hexadecimal digits, whatever their order."""
    return _hex(_sum_of(values.items()))


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
        history: The revisions retained, oldest first.
        remembered: Outcomes by change id, oldest first.
    """

    def __init__(self, settings: ChangeLogSettings, validate: Validator) -> None:
        self.settings = settings
        self.validate = validate
        self.applied = 0
        self.revision = 0
        self.floor = 0
        self.values: dict[str, str] = {}
        self.history: deque[Revision] = deque()
        self.history_bytes = 0
        self.remembered: dict[str, Remembered] = {}
        self._digest = 0

    @property
    def digest(self) -> str:
        """Digest of the values in force."""
        return _hex(self._digest)

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
        """Return the values at a retained revision, None if it is not retained."""
        if not self._is_retained(revision):
            return None
        values = dict(self.values)
        for past in reversed(self.history):
            if past.number <= revision:
                break
            values = apply_edits(values, past.inverse)
        return values

    def since(self, revision: int) -> tuple[Edit, ...] | None:
        """Return the edits from a revision to the one in force, None if too old."""
        if not self._is_retained(revision):
            return None
        latest: dict[str, Edit] = {}
        for past in self.history:
            if past.number > revision:
                latest.update((edit.path, edit) for edit in past.edits)
        return tuple(latest[path] for path in sorted(latest))

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        state = State(
            FORMAT_VERSION,
            self.applied,
            self.revision,
            self.floor,
            self.digest,
            self.values,
            tuple(self.history),
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
        self._digest = int(state.digest, 16)
        self.history = deque(state.history)
        self.history_bytes = sum(map(_size_bytes, state.history))
        self.remembered = {one.outcome.change_id: one for one in state.remembered}
        return Ok(None)

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
        problem = self.validate(wanted.ok)
        if problem is not None:
            return self._invalid(change, problem)
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
            oldest = self.revision - len(self.history)
            detail = f"revision {change.undo_to} is not retained, oldest is {oldest}"
            return Error(Problem("undo-unknown", detail))
        return Ok(values)

    def _invalid(self, change: Change, problem: Problem) -> ChangeOutcome:
        detail = str(problem)[:DETAIL_CHARACTERS]
        return ChangeOutcome(change.change_id, Verdict.INVALID, self.revision, detail)

    def _accept(self, change: Change, wanted: dict[str, str]) -> None:
        edits = difference(self.values, wanted)
        inverse = difference(wanted, self.values)
        gone = [(edit.path, edit.value) for edit in inverse if edit.value is not None]
        come = [(edit.path, edit.value) for edit in edits if edit.value is not None]
        self._digest = (self._digest - _sum_of(gone) + _sum_of(come)) % 2**DIGEST_BITS
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
        self.history.append(made)
        self.history_bytes += _size_bytes(made)
        self._forget_revisions()

    def _forget_revisions(self) -> None:
        while (
            len(self.history) > self.settings.revisions
            or self.history_bytes > self.settings.revision_bytes
        ):
            self.history_bytes -= _size_bytes(self.history.popleft())

    def _forget_outcomes(self) -> None:
        while len(self.remembered) > self.settings.outcomes:
            oldest = self.remembered.pop(next(iter(self.remembered)))
            self.floor = max(self.floor, oldest.base_revision + 1)

    def _is_retained(self, revision: int) -> bool:
        return self.revision - len(self.history) <= revision <= self.revision


def _size_bytes(revision: Revision) -> int:
    edits = revision.edits + revision.inverse
    text = revision.change_id + revision.operator + revision.note
    return len(text) + sum(len(edit.path) + len(edit.value or "") for edit in edits)


def _sum_of(items: Iterable[tuple[str, str]]) -> int:
    total = 0
    for path, value in items:
        total += xxhash.xxh3_64_intdigest(f"{path}={value}".encode())
    return total % 2**DIGEST_BITS


def _hex(digest: int) -> str:
    return f"{digest:016x}"
