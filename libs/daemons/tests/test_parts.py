from __future__ import annotations

import struct
import zlib
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_daemons.transport.parts import (
    BYTES_HELD,
    LONGEST_BYTES,
    MESSAGES_HELD,
    PACKED,
    PART_BYTES,
    PLAIN,
    WAIT_S,
    Cutter,
    Joiner,
)

BODY = Random(1).randbytes(9000)


@given(st.binary(max_size=6000), st.randoms(use_true_random=False))
def test_a_message_survives_parts_in_any_order(message, shuffled):
    datagrams = Cutter(1).cut(message)
    shuffled.shuffle(datagrams)
    joiner = Joiner()
    joined = [joiner.take("a", datagram, 0.0) for datagram in datagrams]
    assert joined[-1] == message
    assert joined[:-1] == [None] * (len(datagrams) - 1)
    assert joiner.open == {}


def test_a_lost_part_loses_only_its_message():
    cutter, joiner = Cutter(1), Joiner()
    first = cutter.cut(BODY)
    assert len(first) > 1
    for datagram in first[1:]:
        assert joiner.take("a", datagram, 0.0) is None
    assert joiner.take("a", cutter.cut(b"next")[0], 0.0) == b"next"


def test_parts_of_two_senders_do_not_mix():
    joiner = Joiner()
    one, two = Cutter(1).cut(BODY), Cutter(1).cut(BODY[::-1])
    for left, right in zip(one, two, strict=False):
        joined = joiner.take("a", left, 0.0), joiner.take("b", right, 0.0)
    assert joined[0] in (BODY, None)
    assert joined[1] in (BODY[::-1], None)


def test_unfinished_messages_are_bounded_and_given_up():
    joiner = Joiner()
    for number in range(MESSAGES_HELD * 3):
        joiner.take("a", Cutter(number).cut(BODY)[0], 0.0)
    assert len(joiner.open) <= MESSAGES_HELD
    joiner.take("a", Cutter(9999).cut(BODY)[0], WAIT_S + 1.0)
    assert len(joiner.open) == 1


@given(st.binary(max_size=60))
def test_any_datagram_is_taken_or_left(datagram):
    Joiner().take("a", datagram, 0.0)


def make_part(number, place, count, data, form=PLAIN):
    return struct.pack("!BIHH", form, number, place, count) + data


def held_bytes(joiner):
    return sum(
        len(part) for whole in joiner.open.values() for part in whole.parts.values()
    )


# Guards against: 64 messages of 4 MB each, which fill the memory of a small VM.
def test_parts_of_unfinished_messages_are_bounded_in_bytes():
    joiner = Joiner()
    count = LONGEST_BYTES // PART_BYTES
    part = bytes(PART_BYTES)
    for number in range(8):
        for place in range(count - 1):
            joiner.take(f"10.0.0.{number}", make_part(number, place, count, part), 0.0)
    assert held_bytes(joiner) <= BYTES_HELD
    assert joiner.held_bytes.total() <= BYTES_HELD


# Guards against: one sender of unfinished messages that pushes out those of all others.
def test_a_sender_pushes_out_its_own_unfinished_messages_only():
    cutter, joiner = Cutter(1), Joiner()
    awaited = cutter.cut(BODY)
    joiner.take("calm", awaited[0], 0.0)
    for number in range(MESSAGES_HELD * 4):
        joiner.take("busy", make_part(number, 0, 900, bytes(PART_BYTES)), 0.1)
        joiner.take("busy", make_part(number, 1, 900, bytes(PART_BYTES)), 0.1)
    joined = [joiner.take("calm", datagram, 0.2) for datagram in awaited[1:]]
    assert joined[-1] == BODY


# Guards against: a part that is longer than parts are, or comes again and again.
def test_long_and_repeated_parts_take_no_room():
    joiner = Joiner()
    assert joiner.take("a", make_part(1, 0, 2, bytes(PART_BYTES + 1)), 0.0) is None
    assert joiner.open == {}
    for _ in range(100):
        joiner.take("a", make_part(1, 0, 3, b"x" * 9), 0.0)
    assert held_bytes(joiner) == 9
    assert joiner.take("a", make_part(1, 0, 1, bytes(PART_BYTES + 1)), 0.0) is None


# Guards against: a small datagram that unpacks to more than the memory holds.
def test_a_message_that_unpacks_to_too_much_is_left():
    packed = zlib.compress(bytes(LONGEST_BYTES + 1), 9)
    parts = [packed[at : at + PART_BYTES] for at in range(0, len(packed), PART_BYTES)]
    joiner = Joiner()
    joined = [
        joiner.take("a", make_part(1, place, len(parts), part, PACKED), 0.0)
        for place, part in enumerate(parts)
    ]
    assert joined == [None] * len(parts)
    assert joiner.open == {}


@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.integers(0, 2),
            st.integers(0, 5),
            st.integers(0, 5),
            st.binary(max_size=4),
            st.integers(0, 3),
        ),
        max_size=60,
    )
)
def test_generated_parts_keep_the_account_of_held_bytes(parts):
    joiner = Joiner()
    now = 0.0
    for sender, number, place, count, data, form in parts:
        now += 0.2
        joiner.take(sender, make_part(number, place, count, data, form), now)
    senders = {sender for sender, _ in joiner.open}
    assert set(joiner.held_bytes) == senders
    assert all(size > 0 for size in joiner.held_bytes.values())


# Guards against: a message that no receiver takes, cut and sent in thousands of parts.
def test_a_message_longer_than_a_receiver_takes_is_not_cut():
    with pytest.raises(ValueError, match="message of"):
        Cutter(1).cut(bytes(LONGEST_BYTES + 1))
    assert Cutter(1).cut(bytes(LONGEST_BYTES))
