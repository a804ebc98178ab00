"""How packets and documents look on the wire, as far as the entry VM cares."""

from __future__ import annotations

from typing import Protocol

from expression import Result

from kumquatmux_core.problems import Problem
from kumquatmux_registry.records import ServerRecord
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.routes import RouteSet


class EntryFormat(Protocol):
    """Reads and writes what passes an entry VM."""

    def read_head(self, packet: bytes) -> PacketHeader | None:
        """Return the head of a caller's packet, None if it is no sound packet."""

    def names_server(self, name: str) -> bool:
        """Return whether a datagram can carry a server's name."""

    def to_server(self, packet: bytes, server: ServerRecord, token: int) -> bytes:
        """Return the datagram that carries a packet to a server under a token."""

    def reset_for(self, packet: bytes, sequence: int) -> bytes:
        """Return the reset that answers a packet."""

    def caller_ip(self, packet: bytes) -> str:
        """Return the IP number of the caller that sent a packet."""

    def read_routes(self, content: bytes) -> Result[RouteSet, Problem]:
        """Return the routes of a document."""
