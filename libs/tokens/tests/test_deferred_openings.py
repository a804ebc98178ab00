from __future__ import annotations

from kumquatmux_tokens.deferred_openings import (
    DEFERRED_S,
    LOG_INTERVAL_S,
    DeferredOpenings,
)


def test_an_opening_counts_until_it_is_placed_or_tried_no_longer():
    openings = DeferredOpenings(8)
    openings.record(b"a", 1.0)
    openings.record(b"b", 1.0)
    openings.record(b"a", 1.2)
    assert openings.count(1.2) == 2
    assert openings.count(1.01 + DEFERRED_S) == 1
    openings.remove(b"a")
    assert openings.count(1.3) == 0


# Guards against: a count that grows with the openings of an overload.
def test_no_more_than_the_limit_are_counted():
    openings = DeferredOpenings(2)
    for key in (b"a", b"b", b"c"):
        openings.record(key, 1.0)
    assert set(openings.tried_at) == {b"a", b"b"}
    openings.record(b"a", 1.1)
    assert openings.tried_at[b"a"] == 1.1


# Guards against: a line for each opening of an overload.
def test_a_line_about_a_service_is_due_once_in_an_interval():
    openings = DeferredOpenings(8)
    times = [1.0, 1.5, 1.0 + LOG_INTERVAL_S, 1.1 + LOG_INTERVAL_S]
    due = [openings.is_line_due("entries", time) for time in times]
    assert due == [True, False, True, False]
    assert openings.is_line_due("others", 1.5)
    openings.keep_services({"entries"})
    assert set(openings.logged_at) == {"entries"}
