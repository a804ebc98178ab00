"""Bounds the open connections of a server and the bytes that they hold.

Where there is no room, the connection that has waited longest for its caller gives way,
so that slow and idle callers keep no other out.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

import trio


class ConnectionLimits(NamedTuple):
    """Bounds of one server.

    Attributes:
        max_connections: Most connections open at the same time.
        max_held_bytes: Most bytes of bodies and answers under way, over all
            connections.
    """

    max_connections: int = 1_024
    max_held_bytes: int = 33_554_432


class DisplacedError(Exception):
    """The connection had to give way to others."""


class Place:
    """What one open connection occupies.

    Attributes:
        held_bytes: Bytes of its body or answer under way.
    """

    def __init__(self, connections: Connections) -> None:
        self.connections = connections
        self.held_bytes = 0
        self.scope: trio.CancelScope | None = None

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Mark the connection as one that waits for its caller.

        Raises:
            DisplacedError: It had to give way meanwhile.
        """
        with trio.CancelScope() as self.scope:
            self.connections.waiting[self] = None
            try:
                yield
            finally:
                self.connections.waiting.pop(self, None)
        if self.scope.cancelled_caught:
            raise DisplacedError

    def hold(self, size: int) -> None:
        """Hold further bytes.

        Raises:
            DisplacedError: There is no room, and no other connection gives way.
        """
        self.held_bytes += size
        self.connections.held_bytes += size
        self.connections.make_room_for_bytes()

    def release(self) -> None:
        """Hold no bytes any more."""
        self.connections.held_bytes -= self.held_bytes
        self.held_bytes = 0


class Connections:
    """The open connections of one server.

    Attributes:
        limits: Their bounds.
        open_count: Number of open connections.
        held_bytes: Bytes that they hold together.
        waiting: Those that wait for their callers, longest first.
    """

    def __init__(self, limits: ConnectionLimits | None = None) -> None:
        self.limits = limits or ConnectionLimits()
        self.open_count = 0
        self.held_bytes = 0
        self.waiting: dict[Place, None] = {}

    @contextmanager
    def opened(self) -> Iterator[Place]:
        """Return the place of a new connection, which may displace another one."""
        place = Place(self)
        self.open_count += 1
        if self.open_count > self.limits.max_connections:
            self.displace_one()
        try:
            yield place
        finally:
            place.release()
            self.open_count -= 1

    def displace_one(self) -> bool:
        """End the connection that has waited longest; return whether there was one."""
        for place in self.waiting:
            self._displace(place)
            return True
        return False

    def make_room_for_bytes(self) -> None:
        """End waiting connections that hold bytes until the others are within bounds.

        Raises:
            DisplacedError: Too many bytes are held by connections that do not wait.
        """
        for place in [one for one in self.waiting if one.held_bytes]:
            if self.held_bytes <= self.limits.max_held_bytes:
                return
            self._displace(place)
        if self.held_bytes > self.limits.max_held_bytes:
            raise DisplacedError

    def _displace(self, place: Place) -> None:
        del self.waiting[place]
        place.release()
        if place.scope is not None:
            place.scope.cancel()
