from __future__ import annotations

from typing import NamedTuple

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.codec import registry


class Ping(NamedTuple):
    number: int
    text: str = ""


class PingWithNewField(NamedTuple):
    number: int
    text: str = ""
    added: int = 0


OLDER_REGISTRY = registry({1: Ping})
NEWER_REGISTRY = registry({1: PingWithNewField})


def test_message_round_trip():
    assert OLDER_REGISTRY.decode(OLDER_REGISTRY.encode(Ping(3, "x"))).ok == Ping(3, "x")


def test_additional_fields_of_a_newer_sender_are_ignored():
    assert OLDER_REGISTRY.decode(
        NEWER_REGISTRY.encode(PingWithNewField(3, "x", 9))
    ).ok == Ping(3, "x")


def test_fields_missing_from_an_older_sender_get_their_defaults():
    assert NEWER_REGISTRY.decode(
        OLDER_REGISTRY.encode(Ping(3, "x"))
    ).ok == PingWithNewField(3, "x", 0)


def test_invalid_messages_return_their_error_code():
    expected_codes = {
        b"": "message-short",
        b"\x09\x00\x01\x90": "message-version",
        b"\x01\x00\x63\x90": "message-kind",
        b"\x01\x00\x01\x01": "message-shape",
        b"\x01\x00\x01\x90": "message-body",
        b"\x01\x00\x01\x91\xa1x": "message-body",
    }
    actual_codes = {
        data: OLDER_REGISTRY.decode(data).error.code for data in expected_codes
    }
    assert actual_codes == expected_codes


@given(st.binary(max_size=64))
def test_arbitrary_bytes_never_crash_the_decoder(data):
    assert OLDER_REGISTRY.decode(data).is_ok() or OLDER_REGISTRY.decode(data).is_error()


def test_duplicate_kinds_and_types_are_rejected():
    with pytest.raises(ValueError, match="share a kind"):
        registry({1: Ping}, {1: PingWithNewField})
    with pytest.raises(ValueError, match="one type has two kinds"):
        registry({1: Ping}, {2: Ping})


# Guards against: RecursionError, which is no error of the decoder's own.
@pytest.mark.parametrize("nesting", [b"\x91", b"\x81\x01", b"\xdd\x00\x00\x00\x01"])
def test_a_message_nested_too_deep_is_refused(nesting):
    body = nesting * 100_000 + b"\x01"
    assert OLDER_REGISTRY.decode(b"\x01\x00\x01" + body).error.code == "message-body"


class Listing(NamedTuple):
    name: str
    pings: tuple[Ping, ...]


# Guards against: one odd element that makes the whole message unreadable.
def test_odd_elements_are_left_out_where_elements_stand_for_themselves():
    elements = [[1, "a"], "odd", [2, 3], [], [4, "d", "newer field"], None, [5]]
    data = b"\x01\x00\x01" + msgspec.msgpack.encode(["n", elements])
    strict = registry({1: Listing})
    lenient = registry({1: Listing}, element_types={Listing: {"pings": Ping}})
    assert strict.decode(data).error.code == "message-body"
    assert lenient.decode(data).ok == Listing("n", (Ping(1, "a"), Ping(5)))
    other_field = b"\x01\x00\x01" + msgspec.msgpack.encode([7, elements])
    assert lenient.decode(other_field).error.code == "message-body"
    for body in (["n"], ["n", 7], [], [None, None, None]):
        data = b"\x01\x00\x01" + msgspec.msgpack.encode(body)
        assert lenient.decode(data).is_error()


# Guards against: a log line as long as what another VM sent.
def test_a_decoding_error_is_shown_in_a_short_text():
    data = b"\x01\x00\x01" + msgspec.msgpack.encode([1, {"x" * 9000: 1}])
    assert len(OLDER_REGISTRY.decode(data).error.detail) <= 200
