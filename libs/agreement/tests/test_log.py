from __future__ import annotations

import pytest

from kumquatmux_agreement.entries import Configuration, Entry, EntryKind, Snapshot
from kumquatmux_agreement.log import Log

FIRST_CONFIGURATION = Configuration(("a",), ())
SECOND_CONFIGURATION = Configuration(("b",), ())


def data_entry(index, term):
    return Entry(index, term, EntryKind.DATA, b"12345")


def log_with_terms(*terms):
    entries = tuple(data_entry(index, term) for index, term in enumerate(terms, 1))
    return Log(Snapshot(0, 0, FIRST_CONFIGURATION, b""), entries)


def test_conflicting_entry_drops_later_entries_and_configurations():
    log = log_with_terms(1, 1)
    log.append((Entry(3, 1, EntryKind.CONFIGURATION, b"", SECOND_CONFIGURATION),))
    assert log.configuration == SECOND_CONFIGURATION
    log.append((data_entry(2, 2),))
    assert (log.last_index, log.last_term, log.configuration) == (
        2,
        2,
        FIRST_CONFIGURATION,
    )


@pytest.mark.parametrize("index", [0, 5])
def test_append_rejects_gaps_and_entries_in_the_snapshot(index):
    log = log_with_terms(1, 1, 1)
    log.compact(Snapshot(2, 1, FIRST_CONFIGURATION, b""), keep_entries=0)
    with pytest.raises(AssertionError):
        log.append((data_entry(index, 2),))


def test_compaction_retains_entries_for_slow_followers():
    log = log_with_terms(1, 1, 2, 2, 3)
    log.compact(Snapshot(4, 2, FIRST_CONFIGURATION, b""), keep_entries=2)
    assert (log.base_index, log.base_term, log.last_index) == (2, 1, 5)
    assert [log.term_at(index) for index in range(1, 7)] == [None, 1, 2, 2, 3, None]


def test_missing_suffix_starts_at_first_missing_entry():
    log = log_with_terms(1, 1, 2)
    assert log.missing_suffix((data_entry(2, 1), data_entry(3, 2))) == ()
    assert log.missing_suffix((data_entry(3, 2), data_entry(4, 2))) == (
        data_entry(4, 2),
    )
    assert log.missing_suffix((data_entry(2, 3), data_entry(3, 3))) == (
        data_entry(2, 3),
        data_entry(3, 3),
    )


def test_batch_has_at_least_one_entry():
    log = log_with_terms(1, 1, 1)
    assert len(log.batch(1, 3, max_bytes=1)) == 1
    assert len(log.batch(1, 3, max_bytes=10)) == 2


def test_conflict_hint_skips_a_whole_term():
    log = log_with_terms(1, 2, 2, 2)
    assert log.conflict_hint(4) == 2
    assert log.conflict_hint(9) == 5
