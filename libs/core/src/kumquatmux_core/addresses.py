"""Reads IPv4 addresses and endpoints from text that comes from outside."""

from __future__ import annotations

import re
import socket

from kumquatmux_core.identity import Endpoint

LONGEST_TEXT = len("255.255.255.255:65535")
MAX_NUMBER = 255
MAX_UNICAST_NUMBER = 223
MAX_PORT = 65_535

_NUMBER = "(0|[1-9][0-9]{0,2})"
_ip = re.compile(rf"{_NUMBER}\.{_NUMBER}\.{_NUMBER}\.{_NUMBER}")
_port = re.compile("[1-9][0-9]{0,4}")


def is_ip(text: str) -> bool:
    """Return whether a text is a unicast IPv4 address in its one usual spelling.

    Other spellings (leading zeros, fewer numbers) are looked up as host names by the
    functions that take an address.
    """
    if len(text) > LONGEST_TEXT:
        return False
    found = _ip.fullmatch(text)
    if found is None:
        return False
    numbers = [int(one) for one in found.groups()]
    return 1 <= numbers[0] <= MAX_UNICAST_NUMBER and max(numbers) <= MAX_NUMBER


def read_endpoint(text: str) -> Endpoint | None:
    """Return the endpoint written as ``ip:port``, None if it is none."""
    if len(text) > LONGEST_TEXT:
        return None
    ip, _, port = text.rpartition(":")
    if not is_ip(ip) or not _port.fullmatch(port) or int(port) > MAX_PORT:
        return None
    return Endpoint(ip, int(port))


def is_ip_number(text: str) -> bool:
    """Return whether a text is any IPv4 address in its usual notation.

    A socket would look any other text up as a host name, and block meanwhile.
    """
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


def is_sendable(endpoint: tuple[str, int]) -> bool:
    """Return whether a datagram can be addressed to an IP number and port."""
    ip, port = endpoint
    return 0 < port <= MAX_PORT and is_ip_number(ip)
