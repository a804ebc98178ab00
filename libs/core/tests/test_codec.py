from __future__ import annotations

from typing import NamedTuple

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
