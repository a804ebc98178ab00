"""How one entry VM is, for the operators."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from kumquatmux_daemons.reports import ServerReport, VmReport
from kumquatmux_membership.events import Lease

if TYPE_CHECKING:
    from kumquatmux_daemons.entry.node import EntryNode

NEVER_MS = -1


def vm_report(node: EntryNode, number: int, now: float) -> VmReport:
    """Return how a VM is, as an answer to a request of some number."""
    staleness = node.copy.staleness(now)
    counts = node.forwarder.counts
    return VmReport(
        sender=node.me.vm,
        number=number,
        zone=node.zone,
        revision=node.copy.revision,
        staleness_ms=NEVER_MS if math.isinf(staleness) else int(staleness * 1e3),
        flows=len(node.engine.state.table.slots),
        refused=sum(counts[name] for name in counts if name.startswith("reset.")),
        live=tuple(vm.vm for vm in node.live),
        failures=tuple(node.failures),
        servers=_server_reports(node),
    )


def _server_reports(node: EntryNode) -> tuple[ServerReport, ...]:
    leases = node.directory.leases
    fresh = [_server_report(node, lease, "ready") for lease in leases.fresh]
    stale = [_server_report(node, lease, "stale") for lease in leases.stale]
    return tuple(fresh + stale)


def _server_report(node: EntryNode, lease: Lease, state: str) -> ServerReport:
    if lease.draining:
        state = "draining"
    if lease.left:
        state = "left"
    return ServerReport(
        server=lease.server,
        service=lease.service,
        zone=lease.zone,
        state=state,
        slots=lease.slots,
        busy=lease.busy,
        connections=lease.connections,
        open=lease.open,
        is_holder=lease.server in node.coordinator.leases.holder.held,
    )
