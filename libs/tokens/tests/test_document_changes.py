from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_tokens.document_changes import (
    ChangeKind,
    Entry,
    EntryChange,
    Field,
    FieldChange,
    compare_entries,
)


def make_entry(name, **fields):
    return Entry(name, tuple(Field(key, value) for key, value in fields.items()))


def compared(before, after):
    return list(compare_entries(before, after))


def test_added_removed_and_changed_entries_are_told_apart():
    before = [make_entry("gone"), make_entry("same", a="1"), make_entry("other", a="1")]
    after = [make_entry("other", a="2"), make_entry("new"), make_entry("same", a="1")]
    assert compared(before, after) == [
        EntryChange(ChangeKind.REMOVED, "gone"),
        EntryChange(ChangeKind.CHANGED, "other", (FieldChange("a", "1", "2"),)),
        EntryChange(ChangeKind.ADDED, "new"),
    ]


def test_a_field_that_one_entry_lacks_is_a_change():
    changes = compared([make_entry("r", a="1", b="2")], [make_entry("r", c="3", b="2")])
    fields = (FieldChange("a", "1", None), FieldChange("c", None, "3"))
    assert changes == [EntryChange(ChangeKind.CHANGED, "r", fields)]


def test_the_order_of_fields_and_of_names_is_no_difference():
    """Guards against differences where a tool wrote the document in another order."""
    one, two = make_entry("one", a="1", b="2"), make_entry("two")
    assert compared([one, two], [two, make_entry("one", b="2", a="1")]) == []


def test_entries_of_one_name_are_compared_one_by_one():
    """Guards against the second of two routes of one name hiding the first."""
    one, two = make_entry("r", a="1"), make_entry("r", a="2")
    assert compared([one, two], [one, two]) == []
    assert compared([one, two], [one]) == [EntryChange(ChangeKind.REMOVED, "r")]


entries = st.lists(
    st.builds(
        make_entry,
        st.sampled_from(["r", "q", "p"]),
        a=st.sampled_from(["1", "2"]),
        b=st.sampled_from(["1", "2"]),
    ),
    max_size=4,
)


@given(entries, entries)
def test_there_is_a_difference_unless_each_name_has_the_same_entries(before, after):
    """Guards against a change that is in no list."""
    are_same = sorted(before, key=lambda one: one.name) == sorted(
        after, key=lambda one: one.name
    )
    assert (not compared(before, after)) == are_same
