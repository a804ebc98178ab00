"""Rate-limited batches of records for flows whose packets do not carry them."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_flows.bindings import BindingStore
from kumquatmux_flows.events import ResetServer, SendMessage
from kumquatmux_flows.messages import (
    BatchStored,
    FlowRecord,
    LostRecord,
    RecordBatch,
)
from kumquatmux_flows.refusals import Refusal
from kumquatmux_flows.routes import service_key_of
from kumquatmux_flows.silence import Silence
from kumquatmux_flows.state import FlowState
from kumquatmux_flows.table import WAS_RESET, FlowFlag, FlowStatus, Role

RECORD_BYTES = 56
"""Bytes that a record takes from the budget."""
BATCH_HEADER_BYTES = 24
"""Bytes that a batch takes from the budget in addition to its records."""
BURST_SECONDS = 1.0
"""Time for which unused budget accumulates."""
DEFERRED_SLOT_LIMIT = 20_000


class SentBatch(NamedTuple):
    """A batch that is not yet confirmed.

    Attributes:
        vm: VM that the batch was sent to.
        expires_at: Time in seconds at which the batch is given up.
        records: Records of the batch.
    """

    vm: VmId
    expires_at: float
    records: tuple[FlowRecord, ...]


class BatchExchange:
    """Sends and receives batches of records within a byte budget.

    Attributes:
        byte_budget: Bytes that may be sent now.
        last_batch_number: Number of the last batch sent.
        unconfirmed_batches: Unconfirmed batches by number.
        open_batches: Records of the batches being filled, by receiver.
        deferred_slots: Slots that wait for budget, in the order of their deferral.
        deferred_set: The deferred slots as a set.
    """

    def __init__(
        self, state: FlowState, binding_store: BindingStore, silence_detector: Silence
    ) -> None:
        self.state = state
        self.binding_store = binding_store
        self.silence_detector = silence_detector
        self.byte_budget = 0.0
        self.last_batch_number = 0
        self.unconfirmed_batches: dict[int, SentBatch] = {}
        self.open_batches: dict[VmId, list[FlowRecord]] = {}
        self.deferred_slots: deque[int] = deque()
        self.deferred_set: set[int] = set()

    def refill_budget(self, elapsed: float) -> None:
        """Refill the byte budget for an elapsed time in seconds."""
        rate = self.state.settings.repair_bytes_per_second
        max_budget = max(rate * BURST_SECONDS, RECORD_BYTES + BATCH_HEADER_BYTES)
        self.byte_budget = min(self.byte_budget + rate * elapsed, max_budget)

    def send_open_batches(self, now: float) -> None:
        """Send all batches that hold records."""
        for vm in list(self.open_batches):
            self.send_batch(vm, now)

    def add_to_batch(self, slot: int, vm: VmId, now: float) -> None:
        """Add a record to the batch for a VM, or defer it for lack of budget."""
        if self.byte_budget < RECORD_BYTES:
            self.defer_slot(slot)
            return
        batch = self.open_batches.setdefault(vm, [])
        self.byte_budget -= RECORD_BYTES + (0 if batch else BATCH_HEADER_BYTES)
        batch.append(self.build_record(slot, now))
        if len(batch) >= self.state.settings.batch_record_limit:
            self.send_batch(vm, now)

    def defer_slot(self, slot: int) -> None:
        """Defer a slot whose record exceeds the budget."""
        if (
            slot not in self.deferred_set
            and len(self.deferred_set) < DEFERRED_SLOT_LIMIT
        ):
            self.deferred_set.add(slot)
            self.deferred_slots.append(slot)

    def next_deferred_slot(self) -> int | None:
        """Remove and return the first deferred slot if the budget allows its record."""
        if not self.deferred_slots or self.byte_budget < RECORD_BYTES:
            return None
        slot = self.deferred_slots.popleft()
        self.deferred_set.discard(slot)
        return slot

    def build_record(self, slot: int, now: float) -> FlowRecord:
        """Build the message form of the record in a slot.

        Raises:
            ValueError: The slot is free.
        """
        state = self.state
        table = state.table
        key = table.keys[slot]
        if key is None:
            raise ValueError(f"slot {slot} holds no flow record")
        return FlowRecord(
            key,
            state.server_address_of(slot),
            state.service_name_of(slot),
            table.revisions[slot],
            table.epochs[slot],
            table.statuses[slot],
            int(max(self.state.idle_seconds(slot, now), 0.0)),
            table.server_acks[slot],
            table.server_nexts[slot],
        )

    def send_batch(self, vm: VmId, now: float) -> None:
        """Send the batch for a VM."""
        records = tuple(self.open_batches.pop(vm))
        self.last_batch_number += 1
        expires_at = now + self.state.settings.batch_timeout_seconds
        self.unconfirmed_batches[self.last_batch_number] = SentBatch(
            vm, expires_at, records
        )
        self.state.out.append(
            SendMessage(vm, RecordBatch(self.last_batch_number, records))
        )

    def expire_batches(self, now: float) -> None:
        """Forget batches that were not confirmed in time."""
        expired_numbers = [
            number
            for number, batch in self.unconfirmed_batches.items()
            if batch.expires_at <= now
        ]
        for number in expired_numbers:
            del self.unconfirmed_batches[number]

    def handle_batch(self, sender: VmId, batch: RecordBatch, now: float) -> None:
        """Store the records of a batch and confirm it."""
        preferred_records = []
        for record in batch.records:
            own_record = self.store_record(record, now, always_replace=False)
            if own_record is not None:
                preferred_records.append(own_record)
        confirmation = BatchStored(batch.batch_number, tuple(preferred_records))
        self.state.out.append(SendMessage(sender, confirmation))

    def store_record(
        self, record: FlowRecord, now: float, *, always_replace: bool
    ) -> FlowRecord | None:
        """Store a record unless the record here wins over it.

        Args:
            record: Record from another VM.
            now: Time in seconds.
            always_replace: Whether the record replaces one with another server without
                a comparison.

        Returns:
            The record here if it wins, otherwise None.
        """
        state = self.state
        table = state.table
        slot = table.slots.get(record.key)
        if slot is not None and table.roles[slot] == Role.LEARNED:
            table.remove(slot)
            slot = None
        if slot is not None and state.server_address_of(slot) != record.server:
            if not always_replace and not self.record_wins(record, slot, now):
                return self.build_record(slot, now)
            self.discard_record(slot, now)
            slot = None
        if slot is None:
            slot = self.add_record(record, now)
        elif table.strikes[slot] == WAS_RESET:
            self.silence_detector.send_resets(slot, record.key, Refusal.SILENT)
            return None
        self.update_record(slot, record, now)
        return None

    def record_wins(self, record: FlowRecord, slot: int, now: float) -> bool:
        """Return whether a record from another VM wins over the record in a slot."""
        state = self.state
        table = state.table
        status = table.statuses[slot]
        if status == FlowStatus.CLOSED or not state.server_permitted(slot):
            return True
        if record.epoch != table.epochs[slot]:
            return record.epoch > table.epochs[slot]
        established = record.status != FlowStatus.HALF_OPEN
        if established != (status != FlowStatus.HALF_OPEN):
            return established
        own_idle_seconds = int(max(self.state.idle_seconds(slot, now), 0.0))
        if record.idle_seconds != own_idle_seconds:
            return record.idle_seconds < own_idle_seconds
        return record.server < state.server_address_of(slot)

    def discard_record(self, slot: int, now: float) -> None:
        """Remove the losing record and, if it was owned here, reset its server."""
        state = self.state
        key = state.table.keys[slot]
        was_owner = state.table.roles[slot] == Role.OWNER
        is_tcp = state.table.statuses[slot] != FlowStatus.UDP_ACTIVE
        if key is not None and was_owner and is_tcp and state.server_permitted(slot):
            seq = state.table.server_acks[slot]
            state.out.append(ResetServer(key, state.server_address_of(slot), seq))
        if was_owner:
            self.binding_store.drop_backup_copy(slot)
        state.remove_flow(slot, Refusal.CONFLICT, now)

    def handle_lost_record(self, message: LostRecord, now: float) -> None:
        """Remove the backup copy of a record that lost a conflict."""
        state = self.state
        slot = state.table.slots.get(message.key)
        if slot is None or state.table.roles[slot] == Role.OWNER:
            return
        if state.server_address_of(slot) == message.server:
            state.remove_flow(slot, Refusal.CONFLICT, now)

    def add_record(self, record: FlowRecord, now: float) -> int:
        """Add a record from another VM and return its slot."""
        state = self.state
        table = state.table
        service_key = service_key_of(record.key)
        service_number = state.routes.register_service(record.service, service_key)
        server_number = state.routes.register_server(record.server, record.service)
        slot = table.add(record.key, Role.BACKUP, server_number, service_number)
        table.statuses[slot] = record.status
        table.server_acks[slot] = record.server_ack
        table.caller_nexts[slot] = record.server_ack
        table.server_nexts[slot] = record.caller_ack
        table.caller_times[slot] = now - record.idle_seconds
        if record.caller_ack:
            table.flow_flags[slot] |= FlowFlag.SERVER_NEXT_KNOWN
        return slot

    def update_record(self, slot: int, record: FlowRecord, now: float) -> None:
        """Update the record in a slot from a record of another VM."""
        table = self.state.table
        table.epochs[slot] = max(table.epochs[slot], record.epoch)
        table.revisions[slot] = max(table.revisions[slot], record.revision)
        table.backup_times[slot] = now
        if table.statuses[slot] == FlowStatus.HALF_OPEN:
            table.statuses[slot] = record.status
        service_key = self.state.routes.service_keys[table.services[slot]]
        if self.state.ranking.owns(service_key):
            self.state.take_ownership(slot, "handed-over")

    def handle_batch_stored(
        self, sender: VmId, confirmation: BatchStored, now: float
    ) -> None:
        """Handle the confirmation of a batch by its receiver."""
        batch = self.unconfirmed_batches.pop(confirmation.batch_number, None)
        if batch is None or batch.vm != sender:
            return
        preferred_keys = {record.key for record in confirmation.preferred_records}
        for record in batch.records:
            slot = self.state.table.slots.get(record.key)
            if slot is not None and record.key not in preferred_keys:
                self.confirm_record(slot, sender, now)
        for record in confirmation.preferred_records:
            self.store_record(record, now, always_replace=True)

    def confirm_record(self, slot: int, vm: VmId, now: float) -> None:
        """Mark a record as stored by a VM, and release ownership to a new owner."""
        state = self.state
        table = state.table
        table.backup_times[slot] = now
        if table.roles[slot] != Role.OWNER:
            return
        table.backup_vms[slot] = state.ranking.vm_number(vm)
        table.flow_flags[slot] |= FlowFlag.BACKUP_CONFIRMED
        service_key = state.routes.service_keys[table.services[slot]]
        if state.ranking.rank(service_key)[:1] == [vm]:
            state.release_ownership(slot, Role.BACKUP, "owner-moved")
