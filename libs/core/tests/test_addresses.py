from __future__ import annotations

import ipaddress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.addresses import (
    is_ip,
    is_ip_number,
    is_sendable,
    read_endpoint,
)
from kumquatmux_core.identity import Endpoint

NUMBERS = st.integers(0, 300).map(str)
SPELLINGS = st.one_of(NUMBERS, st.text("0123456789.:٣ -+_", max_size=6))
ADDRESSES = st.lists(SPELLINGS, min_size=3, max_size=5).map(".".join)


def test_a_usual_address_is_read():
    assert read_endpoint("10.1.0.13:8166") == Endpoint("10.1.0.13", 8166)


# Guards against texts that sockets take for host names, or cannot take at all.
@pytest.mark.parametrize(
    "ip",
    [
        "010.1.0.1",
        "0" * 5000 + "1.0.0.1",
        "10.1.0.256",
        "10.1.1",
        "10.1.0.1\n",
        "10.1.0.٣",
        "localhost",
        "",
        "0.0.0.0",
        "224.0.0.1",
        "255.255.255.255",
    ],
)
def test_what_is_no_usual_address_is_refused(ip):
    assert not is_ip(ip)
    assert read_endpoint(f"{ip}:80") is None


# Guards against a number so long that converting it raises.
@pytest.mark.parametrize(
    "port", ["", "0", "080", "65536", "1" * 5000, "8\n", "+8", "٣"]
)
def test_what_is_no_port_is_refused(port):
    assert read_endpoint(f"10.1.0.1:{port}") is None


@given(ADDRESSES, st.one_of(st.integers(-1, 70_000).map(str), st.text(max_size=4)))
def test_what_is_read_is_written_the_same(ip, port):
    text = f"{ip}:{port}"
    endpoint = read_endpoint(text)
    if endpoint is None:
        return
    assert str(endpoint) == text
    assert str(ipaddress.IPv4Address(endpoint.ip)) == ip
    assert 0 < endpoint.port < 65_536


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
