"""Packets of the load model, written as text."""

from __future__ import annotations

import math
from typing import NamedTuple

from expression import Ok, Result

from kumquatmux_core.identity import Address, ServiceName
from kumquatmux_core.problems import Problem
from kumquatmux_registry.records import ServerRecord
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.routes import Route, RouteSet, WeightedService

ROUTE_ADDRESS = Address(bytes([198, 18, 0, 1, 1, 187]))
SERVICE = ServiceName("entries")
CALLER_BYTES = 4
PORT_BYTES = 2


class RequestClass(NamedTuple):
    """A kind of requests, which have a route of their own.

    Attributes:
        priority: Priority of the route; 0 is the highest.
        work_s: Mean seconds of work.
        target_s: Seconds within which an answer is in time.
        budget_s: Seconds after which a caller has no use for an answer.
        states_target: Whether the document states the target, so that openings are
            queued.
    """

    priority: int = 0
    work_s: float = 0.021
    target_s: float = 0.18
    budget_s: float = 2.2
    states_target: bool = False


def route_address(number: int) -> Address:
    """Return the address of the route of a class of requests."""
    return Address(ROUTE_ADDRESS[:3] + bytes([1 + number]) + ROUTE_ADDRESS[4:])


class Packet(NamedTuple):
    """A packet of a caller.

    Attributes:
        kind: ``open``, ``data``, ``answered`` or ``close``.
        flow: Number of the flow.
        token: Token that the caller echoes, 0 for none.
        copy: How often the packet was sent before.
        route: Number of the class of requests.
        caller: Number of the caller's address, 0 for one that is told from the flow.
    """

    kind: str
    flow: int
    token: int = 0
    copy: int = 0
    route: int = 0
    caller: int = 0

    def encode(self) -> bytes:
        """Return the packet as bytes."""
        return " ".join(map(str, self)).encode()

    def flow_key(self) -> bytes:
        """Return the key of the packet's flow."""
        if not self.caller:
            caller = self.flow.to_bytes(CALLER_BYTES + PORT_BYTES)
            return caller + route_address(self.route)
        port = self.flow % (1 << 8 * PORT_BYTES)
        caller = self.caller.to_bytes(CALLER_BYTES) + port.to_bytes(PORT_BYTES)
        return caller + route_address(self.route)


def decode(data: bytes) -> Packet:
    """Return the packet that some bytes hold."""
    kind, *numbers = data.decode().split()
    return Packet(kind, *map(int, numbers))


class TextFormat:
    """Reads and writes the model's packets, as ``EntryFormat`` asks.

    Attributes:
        classes: The classes of requests, each with a route.
    """

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.classes = classes

    def read_head(self, packet: bytes) -> PacketHeader | None:
        """Return the head of a packet."""
        one = decode(packet)
        is_open = one.kind == "open"
        is_answered = one.kind in ("answered", "close")
        return PacketHeader(
            one.flow_key(),
            route_address(one.route),
            one.token,
            is_open,
            one.kind == "close",
            one.copy if is_open else 0,
            100 if is_open else 110 if is_answered else 101,
            0 if is_open else 900 if is_answered else 500,
            9 if one.kind == "data" else 0,
        )

    def names_server(self, name: str) -> bool:
        """Return whether a packet can name a server."""
        return True

    def to_server(self, packet: bytes, server: ServerRecord, token: int) -> bytes:
        """Return the packet under a token."""
        return decode(packet)._replace(token=token).encode()

    def reset_for(self, packet: bytes, sequence: int) -> bytes:
        """Return a reset of the packet's flow."""
        return Packet("reset", decode(packet).flow).encode()

    def caller_ip(self, packet: bytes) -> str:
        """Return the number of all callers."""
        return "100.64.0.1"

    def read_routes(self, content: bytes) -> Result[RouteSet, Problem]:
        """Return the routes of the model, all of which reach one service."""
        shares = (WeightedService(SERVICE, 1),)
        routes = tuple(
            Route(
                f"r{number}",
                route_address(number),
                shares,
                one.priority,
                one.target_s if one.states_target else math.inf,
            )
            for number, one in enumerate(self.classes)
        )
        return Ok(RouteSet(int(content), routes, frozenset({SERVICE}), 15.0))
