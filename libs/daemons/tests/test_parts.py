from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_daemons.transport.parts import MESSAGES_HELD, WAIT_S, Cutter, Joiner

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
