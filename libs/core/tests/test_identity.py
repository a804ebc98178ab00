from __future__ import annotations

import ipaddress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.identity import Endpoint, is_ip_number, is_sendable


# Guards against: host names in sendto, which block on a look-up or raise UnicodeError.
@pytest.mark.parametrize(
    "text",
    [
        "",
        "localhost",
        "0..01.0.0.1",
        "010.0.0.1",
        "10.1",
        "256.0.0.1",
        "10.0.0.1 ",
        "10.0.0.1\0",
        "\u0661.0.0.1",
        "\ud800",
        "0x7f.0.0.1",
        "x" * 100_000,
        "::1",
    ],
)
def test_other_notations_and_host_names_are_no_ip_numbers(text):
    assert not is_ip_number(text)


@given(st.integers(0, 2**32 - 1))
def test_each_address_is_an_ip_number_in_its_usual_notation(number):
    assert is_ip_number(str(ipaddress.IPv4Address(number)))


@given(st.text(max_size=12) | st.text("0123456789.", max_size=16))
def test_an_ip_number_reads_as_the_address_that_it_shows(text):
    if is_ip_number(text):
        assert str(ipaddress.IPv4Address(text)) == text


@given(st.integers())
def test_a_port_out_of_range_cannot_be_sent_to(port):
    assert is_sendable(Endpoint("10.0.0.1", port)) == (1 <= port <= 65_535)
