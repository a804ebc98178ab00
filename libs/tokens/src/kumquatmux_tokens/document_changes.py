"""Compares the entries of a configuration document with those of another."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import NamedTuple


class ChangeKind(StrEnum):
    """What became of an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Field(NamedTuple):
    """A field of an entry.

    Attributes:
        name: Its name.
        value: Its value as text; equal values have equal texts.
    """

    name: str
    value: str


class Entry(NamedTuple):
    """A route, a service or another named part of a document."""

    name: str
    fields: tuple[Field, ...]


class FieldChange(NamedTuple):
    """A field whose value differs; None where the entry doesn't have it."""

    name: str
    before: str | None
    after: str | None


class EntryChange(NamedTuple):
    """An entry that differs, with its fields if it is in both documents."""

    kind: ChangeKind
    name: str
    fields: tuple[FieldChange, ...] = ()


class EntryKey(NamedTuple):
    """Identifies an entry: names may occur more than once, so they are counted."""

    name: str
    occurrence: int


def compare_entries(
    before: Iterable[Entry], after: Iterable[Entry]
) -> Iterator[EntryChange]:
    """Yield the entries that differ: removed, then added and changed ones.

    Entries of one name are compared in their order. The order of entries with
    different names makes no difference.
    """
    former, latter = _by_key(before), _by_key(after)
    for key in former:
        if key not in latter:
            yield EntryChange(ChangeKind.REMOVED, key.name)
    for key, entry in latter.items():
        if key not in former:
            yield EntryChange(ChangeKind.ADDED, key.name)
            continue
        fields = tuple(_compare_fields(former[key], entry))
        if fields:
            yield EntryChange(ChangeKind.CHANGED, key.name, fields)


def _by_key(entries: Iterable[Entry]) -> dict[EntryKey, Entry]:
    counts: Counter[str] = Counter()
    found = {}
    for entry in entries:
        found[EntryKey(entry.name, counts[entry.name])] = entry
        counts[entry.name] += 1
    return found


def _compare_fields(before: Entry, after: Entry) -> Iterator[FieldChange]:
    former = {field.name: field.value for field in before.fields}
    latter = {field.name: field.value for field in after.fields}
    for name in sorted(former.keys() | latter.keys()):
        if former.get(name) != latter.get(name):
            yield FieldChange(name, former.get(name), latter.get(name))
