"""What routing sees of a packet and what it decides."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_registry.records import ServerRecord
from kumquatmux_tokens.placers import PlaceQuestion


class Head(NamedTuple):
    """A caller's packet as routing sees it.

    Attributes:
        flow: 12 bytes that name the flow: the caller's end, then the route's.
        route: 6 bytes of ``flow`` that name the route: address and port.
        token: The token that the packet carries.
        is_opening: Whether it opens a flow.
        is_closing: Whether the caller's end closes or breaks off.
        copy: How many copies of an opening packet came before.
        sequence: Place of its first byte.
        acknowledged: Place up to which the caller has the answers.
        length: Bytes of data in it.
    """

    flow: bytes
    route: bytes
    token: int
    is_opening: bool
    is_closing: bool
    copy: int
    sequence: int
    acknowledged: int
    length: int


class Forward(NamedTuple):
    """Send the packet to a server, under a token."""

    server: ServerRecord
    token: int


class Reset(NamedTuple):
    """Answer with a reset at this place of the sequence."""

    sequence: int
    reason: str


class Hold(NamedTuple):
    """Keep the packet while its token is asked for."""

    token: int


class Wait(NamedTuple):
    """Keep an opening packet while the caller still waits for its answer.

    Attributes:
        reason: What is missing.
    """

    reason: str


class Drop(NamedTuple):
    """Do nothing with the packet."""

    reason: str


class Ask(NamedTuple):
    """Keep an opening packet while another VM chooses its server."""

    vm: VmId
    question: PlaceQuestion


Decision = Forward | Reset | Hold | Wait | Ask | Drop
