"""The entry daemon's side of the announce interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from kumquatmux_core.identity import ServiceName
from kumquatmux_daemons.announce.settings import ServiceAccess
from kumquatmux_membership.events import Announce, Depart, Drain, LeaseAnswer

if TYPE_CHECKING:
    from kumquatmux_daemons.entry.node import EntryNode


class AnnounceDesk:
    """Hands backend servers' calls to one entry VM's leases."""

    def __init__(self, node: EntryNode) -> None:
        self.node = node

    def access(self, service: ServiceName) -> ServiceAccess | None:
        """Return who may announce for a service by the settings in force."""
        known = self.node.directory.services.get(service)
        if known is None:
            return None
        return ServiceAccess(service, known.announce_token_hashes, known.zones)

    def call(self, event: Announce | Drain | Depart) -> LeaseAnswer:
        """Hand a call to the lease table and return its answer."""
        now = trio.current_time()
        answer = self.node.answer_server(event, now)
        if isinstance(event, Announce) and event.lease.busy >= 0:
            lease = event.lease
            self.node.report(lease.server, lease.busy, lease.open, now)
        return answer
