from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_registry.listening import Listening

LOOK_S = 0.25


def look(listening, start, end):
    """Look four times a second from one time to another."""
    for step in range(round((end - start) / LOOK_S) + 1):
        listening.note(start + step * LOOK_S)


# Guards against silence that counts from before this VM listened.
def test_silence_counts_from_the_first_look():
    listening = Listening()
    listening.note(10.0)
    assert listening.silent_s(-math.inf, 10.5) == 0.5
    assert listening.silent_s(2.0, 10.5) == 0.5
    assert listening.silent_s(10.25, 10.5) == 0.25
    assert (listening.since, listening.latest_gap_s) == (10.0, 0.0)


# Guards against silence that is never noticed by a VM that runs without a pause.
def test_silence_adds_up_while_this_vm_looks():
    listening = Listening()
    look(listening, 0.0, 8.0)
    assert listening.silent_s(3.0, 8.0) == 5.0


# Guards against the silence of this VM that is taken for that of the others.
def test_silence_counts_anew_after_a_pause():
    listening = Listening()
    look(listening, 0.0, 3.0)
    listening.note(8.0)
    assert listening.silent_s(2.75, 8.0) == 0.0
    assert listening.latest_gap_s == 5.0
    look(listening, 8.25, 9.0)
    assert listening.silent_s(2.75, 9.0) == 1.0
    assert listening.latest_gap_s == 5.0


# Guards against a usual delay between two looks that hides the silence of others.
@pytest.mark.parametrize(("gap_s", "silent_s"), [(1.0, 4.0), (1.25, 0.0)])
def test_only_a_long_gap_is_a_pause(gap_s, silent_s):
    listening = Listening()
    listening.note(4.0 - gap_s)
    listening.since = 0.0
    listening.note(4.0)
    assert listening.silent_s(0.0, 4.0) == silent_s


# Guards against a time of silence below zero, as from news that carry a later time.
def test_silence_is_never_negative():
    listening = Listening()
    listening.note(1.0)
    assert listening.silent_s(2.0, 1.5) == 0.0


# Guards against callers that note no looks and would never see another as silent.
def test_a_vm_that_notes_no_looks_is_taken_to_listen():
    assert Listening().silent_s(2.0, 5.0) == 3.0


# Guards against any order of looks and pauses in which silence counts that was not
# listened through.
@given(st.lists(st.sampled_from([0.0, 0.25, 0.5, 1.0, 1.25, 3.0, 40.0]), max_size=30))
def test_silence_is_what_the_looks_without_a_pause_span(gaps):
    listening = Listening()
    now = 0.0
    listened_s = 0.0
    listening.note(now)
    for gap in gaps:
        now += gap
        listening.note(now)
        listened_s = 0.0 if gap > 1.0 else listened_s + gap
        assert listening.silent_s(-math.inf, now) == listened_s
