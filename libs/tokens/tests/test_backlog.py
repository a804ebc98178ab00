from __future__ import annotations

import pytest

from kumquatmux_tokens.backlog import BACKLOG_MAX_S, Backlog
from kumquatmux_tokens.settings import TokenRouterSettings

CALLER_WAIT_S = TokenRouterSettings("e1", "a").caller_syn_timeout_s


@pytest.fixture
def backlog():
    return Backlog(TokenRouterSettings("e1", "a"))


# Guards against openings that are lost at every short pause, whose callers still wait.
@pytest.mark.parametrize("gap_s", [0.0, 0.5, CALLER_WAIT_S, CALLER_WAIT_S + 0.1, 60.0])
def test_only_a_pause_longer_than_callers_wait_leaves_a_backlog(backlog, gap_s):
    backlog.note_pause(100.0, gap_s)
    assert backlog.is_unread(100.0) == (gap_s > CALLER_WAIT_S)


# Guards against a VM that drops openings after it has read all that waited.
def test_a_backlog_ends_once_the_queue_is_empty(backlog):
    backlog.note_pause(100.0, 3.0)
    backlog.note_queue_empty()
    assert not backlog.is_unread(100.0)


# Guards against a VM that can't keep up and so never places an opening again.
def test_a_backlog_ends_though_the_queue_never_is_empty(backlog):
    backlog.note_pause(100.0, 3.0)
    assert backlog.is_unread(100.0 + BACKLOG_MAX_S - 0.01)
    assert not backlog.is_unread(100.0 + BACKLOG_MAX_S)


# Guards against a VM that stands still again before it has read what waited.
def test_a_second_short_pause_prolongs_a_backlog(backlog):
    backlog.note_pause(100.0, 3.0)
    backlog.note_pause(102.0, 1.3)
    assert not backlog.is_unread(102.0 + BACKLOG_MAX_S)
    assert backlog.is_unread(102.0)
