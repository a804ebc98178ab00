from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.numbers import NUMBER_LIMIT
from kumquatmux_settings.documents import (
    DocumentLog,
    NumberedDocument,
    document_of,
    entry_of,
)


def applied(*documents):
    log = DocumentLog()
    for number, content in documents:
        log.apply(entry_of(NumberedDocument(number, content)))
    return log


def test_the_highest_number_is_in_force():
    assert applied((3, b"c"), (7, b"g"), (5, b"e")).newest == (7, b"g")


def test_the_first_content_under_a_number_holds():
    log = applied((3, b"first"))
    assert log.apply(entry_of(NumberedDocument(3, b"second"))) is False
    assert log.newest.content == b"first"


def test_a_snapshot_restores_the_state():
    log = DocumentLog()
    log.restore(applied((3, b"c")).snapshot())
    assert log.newest == (3, b"c")


@given(st.lists(st.tuples(st.integers(1, 5), st.binary(max_size=3)), max_size=8))
def test_every_replica_holds_the_same_wherever_its_snapshot_was(documents):
    whole = applied(*documents)
    for cut in range(len(documents)):
        resumed = DocumentLog()
        resumed.restore(applied(*documents[:cut]).snapshot())
        for number, content in documents[cut:]:
            resumed.apply(entry_of(NumberedDocument(number, content)))
        assert resumed.newest == whole.newest


# Guards against a leader that ends at a version of date, time and nanoseconds.
@given(st.integers(1, NUMBER_LIMIT - 1), st.binary(max_size=9))
def test_a_document_under_any_number_of_38_digits_is_held_and_restored(number, content):
    log = applied((number, content))
    assert log.newest == (number, content)
    restored = DocumentLog()
    restored.restore(log.snapshot())
    assert restored.newest == (number, content)


# Guards against an order that changes where the encoding of numbers does.
def test_numbers_of_more_than_64_bits_keep_their_order():
    numbers = [2**63, 2**64 - 1, 2**64, 2**64 + 1, NUMBER_LIMIT - 1]
    log = DocumentLog()
    for number in numbers:
        assert log.apply(entry_of(NumberedDocument(number, b"x")))
    assert log.apply(entry_of(NumberedDocument(numbers[-2], b"y"))) is False


# Guards against replicas that all end, again and again, at one entry of the log.
@given(st.binary(max_size=60))
def test_an_entry_that_cannot_be_read_changes_nothing(data):
    log = applied((3, b"c"))
    if document_of(data).is_error():
        assert log.apply(data) is False
        assert log.newest == (3, b"c")


# Guards against the same with an entry nested deep.
def test_an_entry_nested_deep_changes_nothing():
    log = applied((3, b"c"))
    assert log.apply(b"\x91" * 100_000) is False
    assert log.newest == (3, b"c")
