"""Periodic sweep of the flow table: expiry, ownership, backup copies and probes."""

from __future__ import annotations

from kumquatmux_core.identity import FlowKey, VmId
from kumquatmux_core.segments import PROTOCOL_TCP
from kumquatmux_flows.batches import BatchExchange
from kumquatmux_flows.callers import CallerPacketHandler
from kumquatmux_flows.events import (
    Quiet,
)
from kumquatmux_flows.refusals import Refusal
from kumquatmux_flows.silence import Silence
from kumquatmux_flows.state import FlowState
from kumquatmux_flows.table import (
    FlowFlag,
    FlowStatus,
    Role,
)

IDLE_BEFORE_REPAIR_SECONDS = 2.0
"""Idle time of a flow after which a batch and not a packet carries its record."""
LEAVING_SPEED_FACTOR = 10.0
"""Speed of the sweep during the shutdown of this VM, relative to its normal speed."""
BURST_SECONDS = 1.0
"""Most time that one tick accounts for, and for which unused budget accumulates."""


class TableSweep:
    """Visits a limited number of table slots in each tick.

    Attributes:
        cursor: Slot to visit next.
        due_slots: Number of slots that are due to be visited.
        last_tick_time: Time in seconds of the last tick.
        handover_reported: Whether the end of the handover at shutdown was reported.
    """

    def __init__(
        self,
        state: FlowState,
        caller_handler: CallerPacketHandler,
        silence_detector: Silence,
    ) -> None:
        self.state = state
        self.silence_detector = silence_detector
        self.caller_handler = caller_handler
        self.batch_exchange = BatchExchange(
            state, caller_handler.binding_store, silence_detector
        )
        self.cursor = 0
        self.due_slots = 0.0
        self.last_tick_time = float("-inf")
        self.handover_reported = False

    def tick(self, now: float) -> None:
        """Do the work that is due."""
        elapsed = min(max(now - self.last_tick_time, 0.0), BURST_SECONDS)
        self.last_tick_time = now
        self.refill_budgets(elapsed)
        self.expire_provisional_slots(now)
        self.batch_exchange.expire_batches(now)
        self.visit_deferred_slots(now)
        self.silence_detector.probe_due_flows(now)
        for _ in range(self.take_due_slots(elapsed)):
            self.visit_next_slot(now)
        self.batch_exchange.send_open_batches(now)
        self.report_handover_complete(now)

    def visit_deferred_slots(self, now: float) -> None:
        """Visit the slots again that were deferred for lack of budget."""
        while (slot := self.batch_exchange.next_deferred_slot()) is not None:
            key = self.state.table.keys[slot]
            if key is not None:
                self.visit_slot(slot, key, now)

    def refill_budgets(self, elapsed: float) -> None:
        """Refill the byte and probe budgets for an elapsed time in seconds."""
        self.batch_exchange.refill_budget(elapsed)
        rate = self.state.settings.probes_per_second
        refilled_budget = self.state.probe_budget + rate * elapsed
        self.state.probe_budget = min(refilled_budget, max(rate * BURST_SECONDS, 1.0))

    def take_due_slots(self, elapsed: float) -> int:
        """Return how many slots to visit now and subtract them from those due."""
        settings = self.state.settings
        table_size = len(self.state.table.keys)
        speed_factor = LEAVING_SPEED_FACTOR if self.state.ranking.leaving else 1.0
        self.due_slots += table_size * elapsed * speed_factor / settings.sweep_seconds
        slot_count = min(int(self.due_slots), settings.sweep_slots_per_tick, table_size)
        self.due_slots = min(self.due_slots - slot_count, float(table_size))
        return slot_count

    def visit_next_slot(self, now: float) -> None:
        """Visit the slot at the cursor and advance the cursor."""
        table = self.state.table
        slot = self.cursor
        self.cursor = (slot + 1) % len(table.keys)
        key = table.keys[slot]
        if key is not None:
            self.visit_slot(slot, key, now)

    def visit_slot(self, slot: int, key: FlowKey, now: float) -> None:
        """Do the work that the record of a slot needs."""
        table = self.state.table
        if table.statuses[slot] == FlowStatus.CLOSED:
            if self.owns_record(slot):
                self.silence_detector.repeat_reset(slot, key, now)
            if not self.state.is_quarantined(slot, now):
                table.remove(slot)
        elif not self.state.server_permitted(slot):
            self.end_reassigned_flow(slot, key, now)
        elif self.state.idle_seconds(slot, now) > self.idle_limit(slot):
            self.state.remove_flow(slot, Refusal.IDLE, now)
        elif table.roles[slot] != Role.LEARNED:
            self.maintain_record(slot, key, now)

    def owns_record(self, slot: int) -> bool:
        """Return whether this VM owns a record by the current view.

        A VM that closed a flow as silent during a network partition must not reset it
        afterwards, because the owner may have it open.
        """
        state = self.state
        service_key = state.routes.service_keys[state.table.services[slot]]
        return state.ranking.rank(service_key)[:1] == [state.vm]

    def end_reassigned_flow(self, slot: int, key: FlowKey, now: float) -> None:
        """End a flow whose server's address now belongs to another service.

        The flow is reset at once, since its caller may wait for a reply and send
        nothing.
        """
        table = self.state.table
        if table.roles[slot] != Role.OWNER or key[0] != PROTOCOL_TCP:
            self.state.remove_flow(slot, Refusal.SERVER_GONE, now)
            return
        self.silence_detector.send_resets(slot, key, Refusal.SERVER_GONE)
        self.silence_detector.close_reset_flow(slot, Refusal.SERVER_GONE, now)

    def idle_limit(self, slot: int) -> float:
        """Return the seconds that a flow may be idle, by its status."""
        settings = self.state.settings
        status = self.state.table.statuses[slot]
        if status == FlowStatus.ESTABLISHED:
            return settings.established_seconds
        limit = settings.half_open_seconds
        if status == FlowStatus.CLOSING:
            limit = settings.closing_seconds
        elif status == FlowStatus.UDP_ACTIVE:
            limit = settings.datagram_seconds
        if self.state.table.roles[slot] == Role.BACKUP:
            limit += settings.copy_refresh_seconds
        return limit

    def maintain_record(self, slot: int, key: FlowKey, now: float) -> None:
        """Hand over, take over, back up or probe a record as the view requires."""
        state = self.state
        table = state.table
        service_key = state.routes.service_keys[table.services[slot]]
        owners = state.ranking.rank(service_key)[:1]
        if not owners:
            return
        if owners[0] != state.vm:
            if table.roles[slot] == Role.OWNER or self.is_orphaned(
                slot, service_key, now
            ):
                self.hand_over(slot, owners[0], now)
            return
        if table.roles[slot] == Role.BACKUP:
            state.take_ownership(slot, "owner-gone")
        self.repair_backup(slot, now)
        self.silence_detector.offer_reference_flow(slot, key, now)
        self.silence_detector.probe_idle_flow(slot, key, now)

    def is_orphaned(self, slot: int, service_key: bytes, now: float) -> bool:
        """Return whether the owner of a newer view has not claimed a backup record."""
        owner_changed_at = self.state.ranking.owner_change_times.get(service_key)
        if (
            owner_changed_at is None
            or now - owner_changed_at < self.state.settings.view_settle_seconds
        ):
            return False
        return self.state.table.backup_times[slot] < owner_changed_at

    def hand_over(self, slot: int, owner: VmId, now: float) -> None:
        """Hand a record over to the VM that owns it by the current view."""
        state = self.state
        owner_has_copy = state.table.backup_vms[slot] == state.ranking.vm_number(owner)
        is_owner = state.table.roles[slot] == Role.OWNER
        if (
            is_owner
            and owner_has_copy
            and state.table.flow_flags[slot] & FlowFlag.BACKUP_CONFIRMED
        ):
            state.release_ownership(slot, Role.BACKUP, "owner-moved")
            return
        self.batch_exchange.add_to_batch(slot, owner, now)

    def repair_backup(self, slot: int, now: float) -> None:
        """Send a record in a batch if no packet has brought it to the backup VM."""
        state = self.state
        table = state.table
        backup_vm = self.caller_handler.backup_copies.backup_vm_of(slot)
        if backup_vm is None:
            return
        if self.state.idle_seconds(slot, now) < IDLE_BEFORE_REPAIR_SECONDS:
            return
        backup_has_copy = table.backup_vms[slot] == state.ranking.vm_number(backup_vm)
        is_recent = now - table.backup_times[slot] < self.idle_limit(slot) / 2
        if (
            backup_has_copy
            and is_recent
            and table.flow_flags[slot] & FlowFlag.BACKUP_CONFIRMED
        ):
            return
        self.batch_exchange.add_to_batch(slot, backup_vm, now)

    def expire_provisional_slots(self, now: float) -> None:
        """Free the server slots of new flows whose callers sent no bytes in time."""
        state = self.state
        table = state.table
        while state.provisional_slots and state.provisional_slots[0].expires_at <= now:
            provisional_slot = state.provisional_slots.popleft()
            slot = table.slots.get(provisional_slot.key)
            if slot is None or table.epochs[slot] != provisional_slot.epoch:
                continue
            if table.flow_flags[slot] & FlowFlag.WORK_PROVISIONAL:
                state.finish_work(slot)

    def report_handover_complete(self, now: float) -> None:
        """Report once that this VM, which shuts down, has nothing left to do."""
        state = self.state
        if self.handover_reported or not state.ranking.leaving:
            return
        if state.pending or state.table.role_counts[Role.OWNER]:
            return
        if now - state.last_packet_time < state.settings.quiet_seconds:
            return
        self.handover_reported = True
        state.out.append(Quiet())
