from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.problems import Problem
from kumquatmux_settings.change import Change, Edit, Verdict
from kumquatmux_settings.changelog import (
    ChangeLog,
    ChangeLogSettings,
    decode_change,
    encode_change,
)
from kumquatmux_settings.digest import EMPTY_DIGEST, digest_of
from kumquatmux_settings.revisions import apply_edits


def validate(values, previous):
    bad = [path for path, value in values.items() if value == '"bad"']
    return [Problem("bad-value", "the value is bad", path) for path in bad]


def change(change_id, base, *, undo_to=-1, **values):
    edits = tuple(Edit(path, value) for path, value in values.items())
    return Change(change_id, base, "malee", "because", edits, undo_to, 1000.0)


class Log:
    def __init__(self, **settings):
        self.changes = ChangeLog(ChangeLogSettings(**settings), validate)
        self.index = 0

    def run(self, *args, **kwargs):
        return self.send(change(*args, **kwargs))

    def send(self, one):
        self.index += 3
        return self.changes.apply(self.index, encode_change(one))

    def restart(self):
        data = self.changes.snapshot()
        again = ChangeLog(self.changes.settings, validate)
        assert again.restore(data).is_ok()
        assert again.snapshot() == data
        self.changes = again


def three_revisions():
    log = Log()
    log.run("one", 0, a="1", b="1")
    log.run("two", 1, a="2")
    log.run("three", 2, b=None, c="3")
    return log


@pytest.mark.parametrize(
    ("name", "asked", "verdict", "revision", "said"),
    [
        ("fits", change("n", 3, a="9"), Verdict.ACCEPTED, 4, ""),
        ("sets nothing", change("n", 3), Verdict.ACCEPTED, 4, ""),
        ("late", change("n", 2, a="9"), Verdict.CONFLICT, 3, "in force is 3"),
        ("early", change("n", 7, a="9"), Verdict.INVALID, 3, "does not exist"),
        ("bad", change("n", 3, a='"bad"'), Verdict.INVALID, 3, "a: the value is bad"),
        ("undo", change("n", 3, undo_to=1), Verdict.ACCEPTED, 4, ""),
        ("undo of all", change("n", 3, undo_to=0), Verdict.ACCEPTED, 4, ""),
        ("undo ahead", change("n", 3, undo_to=4), Verdict.INVALID, 3, "not retained"),
        ("undo and edits", change("n", 3, undo_to=1, a="1"), Verdict.INVALID, 3, "no"),
        ("no id", change("", 3, a="1"), Verdict.INVALID, 3, "change id"),
        ("long id", change("n" * 129, 3), Verdict.INVALID, 3, "change id"),
        ("id in use", change("one", 3, a="9"), Verdict.INVALID, 3, "another change"),
    ],
)
def test_outcomes(name, asked, verdict, revision, said):
    outcome = three_revisions().send(asked)
    assert (outcome.verdict, outcome.revision) == (verdict, revision), name
    assert said in outcome.detail


@pytest.mark.parametrize("entry", [b"", b"\x91", b"\xff\xff", b"\x96" + b"\xc0" * 6])
def test_an_entry_that_is_no_change_is_invalid_on_every_replica(entry):
    log = Log()
    assert log.changes.apply(1, entry).verdict == Verdict.INVALID
    assert log.changes.revision == 0


def test_a_change_that_is_too_long_is_refused():
    log = Log(change_bytes=100)
    assert log.run("n", 0, a="1" * 200).verdict == Verdict.INVALID


def test_of_two_operators_on_one_revision_one_wins_and_each_resend_says_so():
    log = Log()
    mine, theirs = change("mine", 0, a="1"), change("theirs", 0, a="2")
    first = [log.send(mine), log.send(theirs)]
    assert [one.verdict for one in first] == [Verdict.ACCEPTED, Verdict.CONFLICT]
    log.run("later", 1, b="1")
    log.restart()
    assert [log.send(mine), log.send(theirs)] == first
    assert log.changes.values == {"a": "1", "b": "1"}
    assert log.changes.outcome("theirs") == first[1]


def test_undo_restores_the_values_of_any_retained_revision():
    for wanted in range(4):
        log = three_revisions()
        log.restart()
        expected = log.changes.values_at(wanted)
        log.run("undo", 3, undo_to=wanted)
        assert log.changes.values == expected
        assert log.changes.revision == 4
    assert three_revisions().changes.values_at(1) == {"a": "1", "b": "1"}


def test_a_resend_beyond_the_horizon_expires_and_never_runs():
    log = Log(outcomes=3)
    sent = [change(f"c{base}", base, a=str(base)) for base in range(6)]
    for one in sent:
        assert log.send(one).verdict == Verdict.ACCEPTED
    log.restart()
    verdicts = [log.send(one).verdict for one in sent]
    assert verdicts == [Verdict.EXPIRED] * 3 + [Verdict.ACCEPTED] * 3
    assert log.changes.revision == 6


def test_forgotten_refusals_do_not_lock_out_the_revision_in_force():
    log = Log(outcomes=2)
    for number in range(9):
        assert log.run(f"bad{number}", 0, a='"bad"').verdict == Verdict.INVALID
        assert log.run(f"far{number}", 99, a="1").verdict == Verdict.INVALID
    assert log.run("good", 0, a="1").verdict == Verdict.ACCEPTED
    assert log.run("bad0", 0, a='"bad"').verdict == Verdict.EXPIRED


def test_the_past_is_bounded_by_number_and_bytes():
    log = Log(revisions=3, revision_bytes=400)
    for base in range(9):
        log.run(f"c{base}", base, a=str(base))
    assert [one.number for one in log.changes.revisions.retained] == [7, 8, 9]
    assert log.changes.values_at(6) == {"a": "5"}
    assert log.changes.values_at(5) is None and log.changes.since(5) is None
    log.run("long", 9, a='"' + "x" * 150 + '"')
    log.run("longer", 10, a='"' + "y" * 150 + '"')
    assert log.changes.revisions.size_bytes <= 400


def test_history_says_who_when_why_and_what():
    revision = three_revisions().changes.revisions.retained[2]
    assert (revision.operator, revision.at, revision.note) == (
        "malee",
        1000.0,
        "because",
    )
    assert revision.edits == (Edit("b", None), Edit("c", "3"))
    assert revision.inverse == (Edit("b", "1"), Edit("c", None))


@pytest.mark.parametrize("damage", [b"", b"\x90", b"junk"])
def test_an_unsound_snapshot_changes_nothing(damage):
    log = three_revisions()
    before = log.changes.snapshot()
    assert log.changes.restore(damage).is_error()
    assert log.changes.snapshot() == before


def test_a_snapshot_of_another_version_or_with_other_values_is_refused():
    data = three_revisions().changes.snapshot()
    other_version = data.replace(b"\x98\x01", b"\x98\x02", 1)
    assert Log().changes.restore(other_version).error.code == "snapshot-version"
    other_values = data.replace(b"\xa1a\xa12", b"\xa1a\xa17", 1)
    assert Log().changes.restore(other_values).error.code == "snapshot-digest"


def test_entries_come_in_order():
    log = three_revisions()
    with pytest.raises(AssertionError):
        log.changes.apply(log.index, encode_change(change("n", 3)))


PATHS = st.sampled_from(["a", "b", "c"])
EDITS = st.lists(st.tuples(PATHS, st.none() | st.sampled_from(["1", "2"])), max_size=3)


@given(st.lists(EDITS, max_size=8))
def test_edits_since_any_revision_lead_to_the_values_and_digest_in_force(batches):
    log = Log()
    states = [({}, EMPTY_DIGEST)]
    for base, batch in enumerate(batches):
        edits = tuple(Edit(*pair) for pair in batch)
        log.send(Change(f"c{base}", base, "", "", edits))
        states.append((dict(log.changes.values), log.changes.digest))
    for revision, (values, digest) in enumerate(states):
        assert digest == digest_of(values)
        assert log.changes.values_at(revision) == values
        edits = log.changes.since(revision)
        assert apply_edits(values, edits) == log.changes.values


@given(st.binary(max_size=80))
def test_no_bytes_crash_the_decoder(data):
    decoded = decode_change(data)
    assert decoded.is_ok() or decoded.is_error()
