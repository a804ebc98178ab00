"""What an entry VM's decisions ask its daemon to do."""

from __future__ import annotations

from typing import Any, NamedTuple

from kumquatmux_core.identity import Endpoint, VmId


class Datagram(NamedTuple):
    """A datagram of the packet port.

    Attributes:
        data: Its bytes.
        target: IP number and port it goes to.
    """

    data: bytes
    target: tuple[str, int]


class Sent(NamedTuple):
    """A message for another VM."""

    vm: VmId
    message: Any


class Probe(NamedTuple):
    """A connection to ask a server for, to see whether it still answers.

    Attributes:
        token: Token of the server.
        endpoint: Address and port of the server.
    """

    token: int
    endpoint: Endpoint


Effect = Datagram | Sent | Probe
