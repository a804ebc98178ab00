"""Servers of a service that accept new flows, with the idle ones of this zone apart."""

from __future__ import annotations

from kumquatmux_core.identity import ServiceName
from kumquatmux_tokens.directory import (
    NO_READY_SERVERS,
    ReadyServers,
    ServerDirectory,
    ServerEntry,
)
from kumquatmux_tokens.load import LoadTracker


class ServerPool:
    """Servers of one service that accept new flows.

    Attributes:
        ready: The servers, by zone.
        local: The servers of this zone by token.
        idle: Those of them without a request in progress, longest idle first.
    """

    def __init__(self, ready: ReadyServers, load_tracker: LoadTracker) -> None:
        self.ready = ready
        self.local = {entry.token: entry for entry in ready.local}
        self.idle: dict[int, ServerEntry] = {}
        for token in self.local:
            self.update(token, load_tracker)

    def update(self, token: int, load_tracker: LoadTracker) -> None:
        """Add a server to the idle ones or remove it, as its load now says."""
        entry = self.local.get(token)
        if entry is None:
            return
        if load_tracker.is_idle(token):
            self.idle.setdefault(token, entry)
        else:
            self.idle.pop(token, None)


class ServerPools:
    """Pools of all services, brought up to date when one is requested.

    Attributes:
        by_service: Pool of each service for which a flow was placed.
    """

    def __init__(self, directory: ServerDirectory, load_tracker: LoadTracker) -> None:
        self.directory = directory
        self.load_tracker = load_tracker
        self.by_service: dict[ServiceName, ServerPool] = {}

    def pool(self, service: ServiceName) -> ServerPool:
        """Return the pool of a service."""
        self.apply_load_changes()
        ready = self.directory.ready_servers(service)
        if ready is NO_READY_SERVERS:
            self.by_service.pop(service, None)
            return ServerPool(ready, self.load_tracker)
        pool = self.by_service.get(service)
        if pool is None or pool.ready is not ready:
            pool = self.by_service[service] = ServerPool(ready, self.load_tracker)
        return pool

    def apply_load_changes(self) -> None:
        """Bring the idle servers of all pools up to date."""
        changed_tokens = self.load_tracker.changed_tokens
        for token in changed_tokens:
            for pool in self.by_service.values():
                pool.update(token, self.load_tracker)
        changed_tokens.clear()
