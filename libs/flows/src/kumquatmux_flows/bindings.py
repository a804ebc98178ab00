"""Bindings that arrive with packets, and the resolution of conflicts between them."""

from __future__ import annotations

from kumquatmux_core.segments import Segment
from kumquatmux_flows.copies import Copies
from kumquatmux_flows.events import Binding, ResetServer, SendMessage
from kumquatmux_flows.evidence import AckValidator
from kumquatmux_flows.messages import LostRecord
from kumquatmux_flows.refusals import Refusal
from kumquatmux_flows.state import FlowState
from kumquatmux_flows.table import FlowFlag, FlowStatus, Role


class BindingStore:
    """Stores bindings that other VMs send.

    Of two bindings, the one with the higher epoch wins, then the one with a finished
    handshake, then the one with the lower server address: the same on every VM.
    """

    def __init__(
        self, state: FlowState, backup_copies: Copies, ack_validator: AckValidator
    ) -> None:
        self.state = state
        self.backup_copies = backup_copies
        self.ack_validator = ack_validator

    def store_binding(
        self, binding: Binding, segment: Segment, role: Role, now: float
    ) -> int | None:
        """Store the binding of a packet unless the record here wins over it.

        Returns:
            The slot of the record, None if the service of the binding is unknown.
        """
        state = self.state
        table = state.table
        slot = table.slots.get(segment.key)
        if slot is not None and table.roles[slot] != Role.LEARNED:
            if state.server_address_of(slot) == binding.server:
                self.merge_binding(slot, binding)
                return slot
            if not self.binding_wins(binding, slot, segment):
                return slot
            self.discard_record(slot, segment, now)
            slot = None
        elif slot is not None:
            table.remove(slot)
        return self.add_record(binding, segment, role, now)

    def merge_binding(self, slot: int, binding: Binding) -> None:
        """Update a record from a binding to the same server."""
        table = self.state.table
        if binding.epoch > table.epochs[slot]:
            table.epochs[slot] = binding.epoch
            if table.statuses[slot] == FlowStatus.CLOSED:
                self.reopen_record(slot)
        if binding.established and table.statuses[slot] == FlowStatus.HALF_OPEN:
            table.statuses[slot] = FlowStatus.ESTABLISHED

    def reopen_record(self, slot: int) -> None:
        """Reset a record for a new flow of the same key on the same server."""
        table = self.state.table
        epoch = table.epochs[slot]
        table.reset_progress(slot)
        table.epochs[slot] = epoch

    def binding_wins(self, binding: Binding, slot: int, segment: Segment) -> bool:
        """Return whether a binding wins over the record here."""
        table = self.state.table
        if not self.state.server_permitted(
            slot
        ) or self.ack_validator.indicates_other_server(slot, segment):
            return True
        if table.statuses[slot] == FlowStatus.CLOSED:
            return True
        if binding.epoch != table.epochs[slot]:
            return binding.epoch > table.epochs[slot]
        if segment.opens and segment.seq != table.caller_isns[slot]:
            return True
        record_established = table.statuses[slot] != FlowStatus.HALF_OPEN
        if binding.established != record_established:
            return binding.established
        if self.handshake_answered(slot):
            return False
        return binding.server < self.state.server_address_of(slot)

    def handshake_answered(self, slot: int) -> bool:
        """Return whether the caller may have received this server's SYN-ACK."""
        table = self.state.table
        if table.statuses[slot] != FlowStatus.HALF_OPEN:
            return False
        reply_seen = table.flow_flags[slot] & FlowFlag.SERVER_NEXT_KNOWN
        return bool(reply_seen) and table.roles[slot] == Role.OWNER

    def discard_record(self, slot: int, segment: Segment, now: float) -> None:
        """Remove the losing record and reset the flow at its server."""
        state = self.state
        key = state.table.keys[slot]
        was_open = state.table.statuses[slot] != FlowStatus.CLOSED
        if (
            key is not None
            and was_open
            and state.server_permitted(slot)
            and segment.is_tcp
        ):
            seq = state.table.server_acks[slot]
            state.out.append(ResetServer(key, state.server_address_of(slot), seq))
        self.drop_backup_copy(slot)
        state.remove_flow(slot, Refusal.CONFLICT, now)

    def drop_backup_copy(self, slot: int) -> None:
        """Tell the backup VM of a record that the record has lost."""
        state = self.state
        key = state.table.keys[slot]
        backup_vm = self.backup_copies.backup_vm_of(slot)
        if key is None or backup_vm is None:
            return
        lost_record = LostRecord(key, state.server_address_of(slot))
        state.out.append(SendMessage(backup_vm, lost_record))

    def add_record(
        self, binding: Binding, segment: Segment, role: Role, now: float
    ) -> int | None:
        """Add the record of a binding that arrived with a packet.

        Returns:
            The slot of the record, None if the service of the binding is unknown.
        """
        state = self.state
        service_number = state.named_service_of(segment.key, binding.service)
        if service_number is None:
            return None
        table = state.table
        service_name = state.routes.service_names[service_number]
        server_number = state.routes.register_server(binding.server, service_name)
        slot = table.add(segment.key, Role.BACKUP, server_number, service_number)
        table.epochs[slot] = binding.epoch
        table.revisions[slot] = binding.revision
        table.caller_times[slot] = now
        table.backup_times[slot] = now
        if not segment.is_tcp:
            table.statuses[slot] = FlowStatus.UDP_ACTIVE
        elif binding.established:
            table.statuses[slot] = FlowStatus.ESTABLISHED
        if role == Role.OWNER:
            state.take_ownership(slot, "found-at-peer")
        return slot
