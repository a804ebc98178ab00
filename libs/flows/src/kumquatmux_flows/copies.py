"""Backup copies of flow records, and the packets that carry them to the backup VM."""

from __future__ import annotations

from kumquatmux_core.identity import VmId
from kumquatmux_core.segments import Segment
from kumquatmux_flows.events import Passing, SendToPeer, Stage
from kumquatmux_flows.state import FlowState
from kumquatmux_flows.table import (
    NO_VM,
    FlowFlag,
    FlowStatus,
    next_seq,
    seq_at_or_after,
)


class Copies:
    """Keeps the record of each owned flow on its backup VM."""

    def __init__(self, state: FlowState) -> None:
        self.state = state

    def backup_is_current(self, slot: int, now: float) -> bool:
        """Return whether the backup VM holds a confirmed, recent copy of a record."""
        table = self.state.table
        backup_number = self.backup_vm_number(slot)
        if backup_number == NO_VM:
            return True
        if (
            table.backup_vms[slot] != backup_number
            or not table.flow_flags[slot] & FlowFlag.BACKUP_CONFIRMED
        ):
            return False
        age = now - table.backup_times[slot]
        return age < self.state.settings.copy_refresh_seconds

    def backup_vm_of(self, slot: int) -> VmId | None:
        """Return the VM that should hold the backup copy, None if there is none."""
        routes = self.state.routes
        service_key = routes.service_keys[self.state.table.services[slot]]
        server_zone = routes.server_zones[self.state.table.servers[slot]]
        return self.state.ranking.backup(service_key, server_zone)

    def backup_vm_number(self, slot: int) -> int:
        """Return the number of the VM that should hold the backup copy."""
        return self.state.ranking.vm_number(self.backup_vm_of(slot))

    def by_backup(self, slot: int, segment: Segment, now: float) -> None:
        """Send a packet and its record to the backup VM, which forwards the packet."""
        state = self.state
        backup_vm = self.backup_vm_of(slot)
        if backup_vm is None:
            state.to_server(slot, segment)
            return
        self.record_backup_sent(slot, next_seq(segment), now)
        header = Passing(Stage.STORE, 0, state.binding_of(slot))
        state.out.append(SendToPeer(backup_vm, header, segment.packet))

    def record_backup_sent(self, slot: int, seq: int, now: float) -> None:
        """Record that the backup VM was sent the record with a packet.

        Args:
            slot: Table slot of the flow.
            seq: Sequence number after the packet; when the server acknowledges it, the
                backup VM has forwarded the packet and so holds the record.
            now: Time in seconds.
        """
        table = self.state.table
        backup_number = self.backup_vm_number(slot)
        if table.backup_vms[slot] != backup_number:
            table.backup_vms[slot] = backup_number
            table.flow_flags[slot] &= ~FlowFlag.BACKUP_CONFIRMED & 0xFF
        if not table.flow_flags[slot] & FlowFlag.BACKUP_CONFIRMED:
            table.backup_seqs[slot] = seq
        table.backup_times[slot] = now

    def confirm_backup(self, slot: int, ack: int) -> None:
        """Mark the backup copy as confirmed if a reply proves that it was stored."""
        table = self.state.table
        flow_flags = table.flow_flags[slot]
        if flow_flags & FlowFlag.BACKUP_CONFIRMED or table.backup_vms[slot] == NO_VM:
            return
        if table.statuses[slot] == FlowStatus.UDP_ACTIVE:
            table.flow_flags[slot] |= FlowFlag.BACKUP_CONFIRMED
        elif seq_at_or_after(ack, table.backup_seqs[slot]):
            table.flow_flags[slot] |= FlowFlag.BACKUP_CONFIRMED
