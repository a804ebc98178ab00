from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_settings.documents import DocumentLog, NumberedDocument, entry_of


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
