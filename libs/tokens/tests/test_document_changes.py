from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_tokens.document_changes import Entry, Field, compare_entries


def make_entry(name, **fields):
    return Entry(name, tuple(Field(key, value) for key, value in fields.items()))


def test_each_kind_of_change_is_told_and_order_is_none():
    """Guards against a second entry of one name that is hidden by the first."""
    same, second = make_entry("same", a="1", b="2"), make_entry("same", a="2")
    before = [make_entry("gone"), same, second, make_entry("r", a="1", b="2")]
    other_order = make_entry("same", b="2", a="1")
    after = [make_entry("r", c="4", b="3"), make_entry("new"), other_order]
    assert list(compare_entries(before, after)) == [
        ("removed", "gone", ()),
        ("removed", "same", ()),
        ("changed", "r", (("a", "1", None), ("b", "2", "3"), ("c", None, "4"))),
        ("added", "new", ()),
    ]


values, names = st.sampled_from(["1", "2"]), st.sampled_from(["r", "q", "p"])
entries = st.lists(st.builds(make_entry, names, a=values, b=values), max_size=4)


@given(entries, entries)
def test_there_is_a_difference_unless_each_name_has_the_same_entries(before, after):
    """Guards against a change that is in no list."""
    one, other = (
        sorted(them, key=lambda entry: entry.name) for them in (before, after)
    )
    assert (not list(compare_entries(before, after))) == (one == other)
