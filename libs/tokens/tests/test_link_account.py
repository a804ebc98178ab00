from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_tokens.link_account import (
    SENT_BYTES_PER_RECEIVED_BYTE,
    LinkAccount,
)
from kumquatmux_tokens.link_pacer import HeldPacket, LinkPacer
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.settings import LinkSettings

SETTINGS = LinkSettings(bytes_per_s=125_000.0)
PACKET_BYTES = 1236
FLOW = b"f" * 12


def make_data(sequence, length=1200):
    return PacketHeader(FLOW, b"r" * 6, 5, False, False, 0, sequence, 500, length)


def start_upload(account, now, expected_bytes=40_000.0):
    return account.start_upload(FLOW, expected_bytes, 101, now)


def test_the_queue_drains_at_the_links_rate():
    account = LinkAccount(SETTINGS, 0.0)
    for _ in range(10):
        account.record_sent(PACKET_BYTES, 5.0)
    sent_bytes = PACKET_BYTES * 10 * SENT_BYTES_PER_RECEIVED_BYTE
    assert account.queue_s(5.0) == pytest.approx(sent_bytes / 125_000)
    assert account.queue_s(5.05) == pytest.approx(sent_bytes / 125_000 - 0.05)
    assert account.queue_s(9.0) == 0.0


# Guards against: two windows in flight that pass no sooner than callers retransmit.
def test_one_upload_at_a_time_fits_a_slow_link_and_two_a_faster_one():
    for rate, fitting in ((100_000.0, 1), (125_000.0, 1), (250_000.0, 2)):
        account = LinkAccount(SETTINGS._replace(bytes_per_s=rate), 0.0)
        count = 0
        while account.has_room(40_000.0, 1.0):
            account.start_upload(bytes([count]) * 12, 40_000.0, 101, 1.0)
            count += 1
        assert count == fitting


def test_a_claim_ends_with_the_last_packet_the_close_or_silence():
    account = LinkAccount(SETTINGS, 0.0)
    upload = start_upload(account, 1.0)
    assert not account.has_room(40_000.0, 1.6)
    assert account.has_room(40_000.0, 1.7)
    upload.last_packet_at = 2.0
    account.record_data(upload, make_data(101), 2.0)
    assert account.remaining_bytes(upload) == 38_800
    account.record_data(upload, make_data(1301, 700), 2.0)
    assert account.remaining_bytes(upload) == 0
    account.record_data(upload, make_data(2001), 2.0)
    assert not account.has_room(40_000.0, 2.0)
    account.end_upload(upload)
    assert account.has_room(40_000.0, 2.0)


# Guards against: an upload of twice the mean that counts as done halfway.
def test_an_upload_beyond_the_mean_keeps_a_claim_until_its_last_packet():
    account = LinkAccount(SETTINGS, 0.0)
    upload = start_upload(account, 1.0, expected_bytes=2_400.0)
    for number in range(6):
        account.record_data(upload, make_data(101 + 1200 * number), 1.0)
    assert account.remaining_bytes(upload) == SETTINGS.window_bytes / 2


def record_packet(account, pacer, upload, header, now):
    """Return what goes out, None if the packet was dropped."""
    if account.record_data(upload, header, now):
        return None
    sequence = header.sequence_number
    return pacer.hold(HeldPacket(sequence, PACKET_BYTES, upload, sequence), now)


def start_window(now, packets=16):
    """Have a window of data come at once."""
    account = LinkAccount(SETTINGS, 0.0)
    pacer, upload = LinkPacer(account), start_upload(account, now)
    for number in range(packets):
        header = make_data(101 + 1200 * number)
        assert record_packet(account, pacer, upload, header, now) is not None
    return account, pacer, upload


# Guards against: copies of data that is merely late, which make all data later.
def test_a_copy_of_data_that_is_held_is_not_forwarded():
    account, pacer, upload = start_window(1.0)
    pacer.release(1.1)
    _, held = pacer.held[0]
    copy = make_data(held.sequence_number)
    assert record_packet(account, pacer, upload, copy, 1.1) is None
    # The first packet left long ago: if its answer is missing, it may be lost.
    assert record_packet(account, pacer, upload, make_data(101), 1.1) is not None


# Guards against: copies that are sent while the answer to the original is on its way.
def test_a_copy_is_forwarded_only_once_the_answer_should_have_come():
    account, pacer, upload = start_window(1.0, 1)
    departed_at = account.busy_until
    assert departed_at > 1.0
    answer_at = departed_at + SETTINGS.answer_s
    for time in (1.0, departed_at, answer_at - 0.001):
        assert record_packet(account, pacer, upload, make_data(101), time) is None
    copy = make_data(101)
    assert record_packet(account, pacer, upload, copy, answer_at + 0.001) is not None


def test_the_queue_explains_a_silence_that_is_shorter_than_it():
    account = LinkAccount(SETTINGS, 0.0)
    assert not account.explains(0.03, 1.0)
    for _ in range(10):
        account.record_sent(PACKET_BYTES, 1.0)
    assert account.explains(0.03, 1.0)
    assert not account.explains(0.2, 1.0)
    # It was that long while the answer was due, though it has drained since.
    assert account.explains(0.09, 1.09)
    assert not account.explains(0.11, 1.09)
    assert not account.explains(0.03, 2.0)


# Guards against: held data that excuses a VM whose messages pass it.
def test_data_that_is_held_explains_no_silence():
    account, _, _ = start_window(1.0)
    assert account.queue_s(1.0) > 0.1
    assert account.explains(0.02, 1.0)
    assert not account.explains(0.04, 1.0)


def test_other_traffic_makes_uploads_take_longer():
    account = LinkAccount(SETTINGS, 0.0)
    alone_s = account.upload_s(40_000.0)
    for second in range(1, 30):
        account.record_sent(62_500, second)
        account.measure_rate(second)
    half = 1 - SENT_BYTES_PER_RECEIVED_BYTE / 2
    assert account.upload_s(40_000.0) == pytest.approx(alone_s / half, rel=0.01)
    assert account.use == pytest.approx(SENT_BYTES_PER_RECEIVED_BYTE / 2, rel=0.01)


# Guards against: a tick that finds no room at the time for which it was planned, and is
# due again at once, for ever.
@given(
    st.lists(st.floats(0.0, 2.0), min_size=1, max_size=3),
    st.floats(0.0, 100_000.0),
    st.floats(2.0, 2.5),
)
def test_there_is_room_or_a_claim_less_when_an_admission_is_due(starts, size, now):
    account = LinkAccount(SETTINGS, 0.0)
    for number, start in enumerate(sorted(starts)):
        account.start_upload(bytes([number]) * 12, 40_000.0, 101, start)
    account.record_sent(size, 2.0)
    for _ in range(len(starts) + 1):
        if account.has_room(40_000.0, now):
            return
        due_at = account.room_at(now)
        assert due_at >= now
        now = due_at
    assert account.has_room(40_000.0, now)
