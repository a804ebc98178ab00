from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.rendezvous import first, rank

MEMBERS = st.sets(st.text("abcdef", min_size=1, max_size=3), min_size=1, max_size=8)


@given(st.binary(max_size=16), MEMBERS)
def test_removing_the_first_member_keeps_the_order_of_the_others(key, members):
    order = rank(key, members)
    assert rank(key, members - {order[0]}) == order[1:]


@given(st.binary(max_size=16), MEMBERS)
def test_first_choice_equals_the_first_ranked_member(key, members):
    assert first(key, members) == rank(key, members)[0]


def test_no_first_choice_without_members():
    assert first(b"k", []) is None
