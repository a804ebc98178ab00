"""Sends changes of the leases held by this VM to peers and requests their leases."""

from __future__ import annotations

from kumquatmux_core.identity import ServerId, Vm, VmId
from kumquatmux_membership.events import (
    Action,
    LeaseRequest,
    LeaseUpdate,
    Message,
    SendMessage,
)
from kumquatmux_membership.holder import Holder
from kumquatmux_membership.peer_lease_table import PeerLeaseTable
from kumquatmux_membership.settings import LeaseSettings


class LeaseExchange:
    """Exchanges lease tables with the other VMs.

    Args:
        local_vm: This VM.
        settings: Settings of leases, which define when a peer is unreachable and when
            its leases are dropped.
        held_lease_table: The leases that this VM holds.
    """

    def __init__(
        self, local_vm: Vm, settings: LeaseSettings, held_lease_table: Holder
    ) -> None:
        self.local_vm = local_vm
        self.settings = settings
        self.held_lease_table = held_lease_table
        self.peer_tables: dict[VmId, PeerLeaseTable] = {}
        self.outgoing: list[Action] = []

    def pop_outgoing(self) -> list[Action]:
        """Return the messages to send and clear the list."""
        outgoing = self.outgoing
        self.outgoing = []
        return outgoing

    def peer_table(self, vm: VmId) -> PeerLeaseTable:
        """Return the lease table of a peer, an empty one for a new peer."""
        table = self.peer_tables.get(vm)
        if table is None:
            table = self.peer_tables[vm] = PeerLeaseTable(vm)
        return table

    def request_changes(self, table: PeerLeaseTable, now: float) -> None:
        """Request a holder's changes after the known version of its table."""
        table.requested_at = now
        request = LeaseRequest(self.local_vm.vm, table.version, table.incarnation)
        self.send(table.holder, request)

    def push_changes(
        self, base_version: int, now: float, excluded: set[VmId] | None = None
    ) -> None:
        """Send reachable peers the changes of this VM's table since a version.

        Args:
            base_version: The version.
            now: The time, in seconds.
            excluded: Peers that have already been sent the changes.
        """
        if self.held_lease_table.version == base_version:
            return
        for vm in self.peer_tables:
            if self._reachable(vm, now) and vm not in (excluded or ()):
                self.send_update(vm, base_version, ack_requested=False)

    def send_update(self, vm: VmId, since_version: int, *, ack_requested: bool) -> None:
        """Send changes since a version, or the complete table if some were pruned."""
        is_complete = (
            since_version == 0 or since_version < self.held_lease_table.pruned_version
        )
        if is_complete:
            leases = self.held_lease_table.all_leases()
        else:
            leases = self.held_lease_table.changes_since(since_version)
        update = LeaseUpdate(
            sender=self.local_vm.vm,
            incarnation=self.local_vm.incarnation,
            version=self.held_lease_table.version,
            is_complete=is_complete,
            leases=leases,
            base_version=since_version,
            ack_requested=ack_requested,
        )
        self.send(vm, update)

    def send(self, vm: VmId, message: Message) -> None:
        """Queue a message, which is sent with the next actions."""
        self.outgoing.append(SendMessage(vm, message))

    def held_servers(self) -> set[ServerId]:
        """Return the servers that this VM or a peer is known to hold."""
        servers = set(self.held_lease_table.held)
        for table in self.peer_tables.values():
            servers.update(table.leases)
        return servers

    def drop_silent_holders(self, now: float) -> bool:
        """Drop tables of holders silent too long; return whether any were dropped."""
        silent_holders = [
            vm
            for vm, table in self.peer_tables.items()
            if now - max(table.confirmed_at, table.pending_confirmed_at)
            > self.settings.silent_holder_retention_seconds
        ]
        for vm in silent_holders:
            del self.peer_tables[vm]
        return bool(silent_holders)

    def _reachable(self, vm: VmId, now: float) -> bool:
        table = self.peer_tables[vm]
        last_contact = max(table.confirmed_at, table.pending_confirmed_at)
        return now - last_contact <= self.settings.stale_seconds
