from __future__ import annotations

import math

import pytest

from kumquatmux_tokens.link_account import (
    SENT_BYTES_PER_RECEIVED_BYTE,
    LinkAccount,
)
from kumquatmux_tokens.link_pacer import HeldPacket, LinkPacer
from kumquatmux_tokens.settings import LinkSettings

SETTINGS = LinkSettings(bytes_per_s=125_000.0, held_limit=20)
SIZE = 1236
OUT_S = SIZE * SENT_BYTES_PER_RECEIVED_BYTE / 125_000


def hold(pacer, upload, numbers, now=1.0):
    released = []
    for number in numbers:
        released += pacer.hold(HeldPacket(number, SIZE, upload, number), now)
    return released


@pytest.fixture
def pacer():
    return LinkPacer(LinkAccount(SETTINGS, 0.0))


@pytest.fixture
def upload(pacer):
    return pacer.account.start_upload(b"f", 40_000.0, 0, 1.0)


# Guards against: small flows and messages that wait behind a window of upload data.
def test_data_beyond_a_short_queue_is_held_and_goes_out_in_order(pacer, upload):
    released = hold(pacer, upload, range(16))
    assert len(released) * OUT_S <= SETTINGS.paced_queue_s + OUT_S
    assert pacer.account.busy_until - 1.0 <= SETTINGS.paced_queue_s + OUT_S
    now = 1.0
    while pacer.held:
        now = pacer.due_at()
        released += pacer.release(now)
        assert pacer.account.busy_until > now
    assert released == list(range(16))
    # The link was never idle meanwhile.
    assert pacer.account.busy_until == pytest.approx(1.0 + 16 * OUT_S, rel=0.01)
    assert pacer.due_at() == math.inf


# Guards against: a window that was reordered on its way in, whose first packet goes out
# last, so that its caller retransmits all of it.
def test_data_of_an_upload_goes_out_by_sequence_number(pacer, upload):
    hold(pacer, upload, [0])
    hold(pacer, upload, [9, 3, 12, 1, 7])
    released = []
    while pacer.held:
        released += pacer.release(pacer.due_at())
    assert released == sorted(released)


# Guards against: uploads that share the link so that none is done in time.
def test_the_oldest_upload_goes_first_unless_it_is_much_larger(pacer, upload):
    later = pacer.account.start_upload(b"g", 40_000.0, 0, 1.1)
    hold(pacer, upload, [0, 1])
    hold(pacer, later, range(2000, 2004), 1.0)
    hold(pacer, upload, [1000, 90_000], 1.0)
    released = []
    while pacer.held:
        released += pacer.release(pacer.due_at())
    assert released[-1] == 90_000
    assert released.index(1000) < released.index(2002)


def test_held_data_counts_as_queue_for_further_uploads(pacer, upload):
    hold(pacer, upload, range(16))
    assert pacer.account.queue_s(1.0) == pytest.approx(16 * OUT_S, rel=0.01)


def test_an_idle_link_holds_nothing(pacer, upload):
    assert hold(pacer, upload, [1]) == [1]
    assert hold(pacer, upload, [2], 5.0) == [2]


def test_nothing_is_held_with_an_infinite_limit():
    settings = SETTINGS._replace(paced_queue_s=math.inf)
    pacer = LinkPacer(LinkAccount(settings, 0.0))
    upload = pacer.account.start_upload(b"f", 40_000.0, 0, 1.0)
    assert hold(pacer, upload, range(16)) == list(range(16))


def test_the_oldest_goes_out_when_many_are_held(pacer, upload):
    released = hold(pacer, upload, range(100))
    assert len(pacer.held) == SETTINGS.held_limit
    assert released == list(range(80))
