from __future__ import annotations

import json
import os
from typing import NamedTuple

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.codec import registry
from kumquatmux_core.lines import LineSettings, LineWriter
from kumquatmux_core.numbers import NATIVE_LIMIT, NUMBER_LIMIT, encode_numbers


class Ping(NamedTuple):
    number: int
    text: str = ""


CODEC = registry({1: Ping})


# Guards against a message that cannot be sent for a number of more than 64 bits.
@given(st.integers(0, NUMBER_LIMIT - 1) | st.integers(NATIVE_LIMIT, NUMBER_LIMIT - 1))
def test_a_number_of_38_digits_is_sent_and_received(number):
    assert CODEC.decode(CODEC.encode(Ping(number, "x"))).ok == Ping(number, "x")


# Guards against recorded bytes that change.
@given(st.integers(-(2**63), NATIVE_LIMIT - 1))
def test_a_number_of_64_bits_is_encoded_as_before(number):
    plain = msgspec.msgpack.encode(Ping(number, "x"))
    assert CODEC.encode(Ping(number, "x"))[3:] == plain
    assert encode_numbers(Ping(number, "x")) == plain


# Guards against numbers of any length, and other extensions, from a message.
@pytest.mark.parametrize(
    ("code", "data"),
    [(1, b"\xff" * 17), (1, b"\xff" * 100_000), (2, b"\x01"), (-1, b"")],
)
def test_an_extension_that_holds_no_number_is_refused(code, data):
    body = msgspec.msgpack.encode([msgspec.msgpack.Ext(code, data)])
    assert CODEC.decode(b"\x01\x00\x01" + body).error.code == "message-body"


# Guards against a log line that ends the program for its number.
@pytest.mark.parametrize("number", [2**64, NUMBER_LIMIT - 1, -(2**63) - 1])
def test_a_line_holds_a_long_number(number):
    read_fd, write_fd = os.pipe()
    writer = LineWriter(LineSettings(write_fd), "e1")
    writer.put("document-applied", {"number": number})
    writer.flush()
    assert json.loads(os.read(read_fd, 4096))["number"] == number
    os.close(read_fd)
    os.close(write_fd)
