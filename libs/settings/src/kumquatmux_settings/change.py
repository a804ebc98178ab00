"""A change of settings as operators ask for it, and its outcome."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Edit(NamedTuple):
    """One key set or unset.

    Attributes:
        path: Dotted key in the tree, such as ``defaults.placement.hold_ms``,
            ``zones.cnx-a.placement.hold_ms``, ``services.entries.address`` or
            ``zones.cnx-a.services.entries.placement.hold_ms``.
        value: The new value as JSON text, or None to unset it.
    """

    path: str
    value: str | None


class Change(NamedTuple):
    """One change, the same each time it is resent.

    Attributes:
        change_id: Made once by the operator's tool.
        base_revision: The revision the operator saw.
        operator: Who asks.
        note: Why, in the operator's words.
        edits: What is set and unset; empty for an undo.
        undo_to: The revision whose values are restored, -1 for none.
        at: Wall-clock time at which the change was asked for, seconds since 1970.
    """

    change_id: str
    base_revision: int
    operator: str
    note: str
    edits: tuple[Edit, ...]
    undo_to: int = -1
    at: float = 0.0


class Verdict(StrEnum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    EXPIRED = "expired"
    UNKNOWN = "unknown"


class ChangeOutcome(NamedTuple):
    """The one outcome of a change, however often it is sent.

    Attributes:
        change_id: Which change.
        verdict: What became of it.
        revision: The revision it made, or the one it conflicted with.
        detail: Key, value and reason where it was not accepted.
    """

    change_id: str
    verdict: Verdict
    revision: int
    detail: str = ""
