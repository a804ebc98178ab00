"""The accepted changes of the past, as many as are retained."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from kumquatmux_settings.change import Edit


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


def apply_edits(values: Mapping[str, str], edits: tuple[Edit, ...]) -> dict[str, str]:
    """Return values after edits, in order."""
    edited = dict(values)
    for edit in edits:
        if edit.value is None:
            edited.pop(edit.path, None)
        else:
            edited[edit.path] = edit.value
    return edited


def difference(
    old: Mapping[str, str],
    new: Mapping[str, str],
    paths: Iterable[str] | None = None,
) -> tuple[Edit, ...]:
    """Return the edits that lead from old values to new ones, by path.

    Args:
        old: The values before.
        new: The values after.
        paths: The paths that may differ, None for all.
    """
    candidates = {*old, *new} if paths is None else set(paths)
    changed = sorted(path for path in candidates if old.get(path) != new.get(path))
    return tuple(Edit(path, new.get(path)) for path in changed)


class Revisions:
    """The latest revisions, bounded by number and by bytes.

    Attributes:
        limit: Revisions retained at most.
        limit_bytes: Bytes of their text, at most.
        retained: The revisions, oldest first, numbered without gaps.
    """

    def __init__(self, limit: int, limit_bytes: int) -> None:
        self.limit = limit
        self.limit_bytes = limit_bytes
        self.retained: deque[Revision] = deque()
        self.size_bytes = 0

    def add(self, revision: Revision) -> None:
        """Retain a revision; the oldest ones may go for it."""
        self.retained.append(revision)
        self.size_bytes += _size_bytes(revision)
        while len(self.retained) > self.limit or self.size_bytes > self.limit_bytes:
            self.size_bytes -= _size_bytes(self.retained.popleft())

    def values_at(
        self, values: Mapping[str, str], current: int, revision: int
    ) -> dict[str, str] | None:
        """Return the values at a revision, None if it is not retained.

        Args:
            values: The values at the current revision.
            current: The current revision.
            revision: The one wanted.
        """
        if not self._reaches(current, revision):
            return None
        restored = dict(values)
        for past in reversed(self.retained):
            if past.number <= revision:
                break
            restored = apply_edits(restored, past.inverse)
        return restored

    def since(self, current: int, revision: int) -> tuple[Edit, ...] | None:
        """Return the edits that lead from a revision to the current one, by path."""
        if not self._reaches(current, revision):
            return None
        latest: dict[str, Edit] = {}
        for past in reversed(self.retained):
            if past.number <= revision:
                break
            for edit in past.edits:
                latest.setdefault(edit.path, edit)
        return tuple(latest[path] for path in sorted(latest))

    def _reaches(self, current: int, revision: int) -> bool:
        return current - len(self.retained) <= revision <= current


def _size_bytes(revision: Revision) -> int:
    edits = revision.edits + revision.inverse
    text = revision.change_id + revision.operator + revision.note
    return len(text) + sum(len(edit.path) + len(edit.value or "") for edit in edits)
