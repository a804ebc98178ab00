"""Paced work over the whole table: expiry, takeover, second copies, probes."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import FlowKey, VmId
from kumquatmux_core.segments import PROTOCOL_TCP
from kumquatmux_flows.callers import CallerPath
from kumquatmux_flows.events import (
    Quiet,
    ResetServer,
    SendMessage,
)
from kumquatmux_flows.messages import (
    BatchStored,
    FlowRecord,
    LostRecord,
    RecordBatch,
)
from kumquatmux_flows.refusals import Refusal
from kumquatmux_flows.silence import Silence
from kumquatmux_flows.state import FlowState
from kumquatmux_flows.table import (
    WAS_RESET,
    FlowStatus,
    Mark,
    Role,
)

RECORD_BYTES = 56
BATCH_BYTES = 24
SILENT_BEFORE_REPAIR_SECONDS = 2.0
LEAVING_SPEED = 10.0
BURST_SECONDS = 1.0


class SentBatch(NamedTuple):
    """A batch that is not confirmed yet.

    Attributes:
        vm: Who was sent it.
        until: When it is given up, in seconds.
        records: What it carried.
    """

    vm: VmId
    until: float
    records: tuple[FlowRecord, ...]


class Sweep:
    """Looks at a bounded number of slots each tick.

    Attributes:
        cursor: The slot to look at next.
        sent: Batches that wait for their confirmation, by number.
    """

    def __init__(self, state: FlowState, callers: CallerPath, silence: Silence) -> None:
        self.state = state
        self.silence = silence
        self.callers = callers
        self.cursor = 0
        self.due = 0.0
        self.last = float("-inf")
        self.bytes_left = 0.0
        self.number = 0
        self.sent: dict[int, SentBatch] = {}
        self.batches: dict[VmId, list[FlowRecord]] = {}
        self.told_quiet = False

    def tick(self, now: float) -> None:
        """Do the work that is due."""
        elapsed = min(max(now - self.last, 0.0), BURST_SECONDS)
        self.last = now
        self.refill(elapsed)
        self.end_graces(now)
        self.end_batches(now)
        for _ in range(self.share(elapsed)):
            self.step(now)
        for vm in list(self.batches):
            self.flush(vm, now)
        self.tell_quiet(now)

    def refill(self, elapsed: float) -> None:
        """Add to the budgets what the time allows."""
        settings = self.state.settings
        rate = settings.repair_bytes_per_second
        full = max(rate * BURST_SECONDS, RECORD_BYTES + BATCH_BYTES)
        self.bytes_left = min(self.bytes_left + rate * elapsed, full)
        probes = settings.probes_per_second
        full = max(probes * BURST_SECONDS, 1.0)
        left = self.state.probes_left + probes * elapsed
        self.state.probes_left = min(left, full)

    def share(self, elapsed: float) -> int:
        """Return how many slots this tick looks at."""
        settings = self.state.settings
        size = len(self.state.table.keys)
        speed = LEAVING_SPEED if self.state.ranking.leaving else 1.0
        self.due += size * elapsed * speed / settings.sweep_seconds
        whole = min(int(self.due), settings.sweep_slots, size)
        self.due = min(self.due - whole, float(size))
        return whole

    def step(self, now: float) -> None:
        """Look at the next slot."""
        table = self.state.table
        slot = self.cursor
        self.cursor = (slot + 1) % len(table.keys)
        key = table.keys[slot]
        if key is not None:
            self.visit(slot, key, now)

    def visit(self, slot: int, key: FlowKey, now: float) -> None:
        """Do what one record needs."""
        table = self.state.table
        if table.statuses[slot] == FlowStatus.CLOSED:
            self.silence.repeat_reset(slot, key, now)
            if not self.state.quarantined(slot, now):
                table.remove(slot)
        elif not self.state.permits(slot):
            self.strand(slot, key, now)
        elif self.idle(slot, now) > self.idle_limit(slot):
            self.state.forget(slot, Refusal.IDLE, now)
        elif table.roles[slot] != Role.LEARNED:
            self.keep(slot, key, now)

    def strand(self, slot: int, key: FlowKey, now: float) -> None:
        """Give up a flow whose server's address now serves another service.

        Its caller may wait for an answer and send nothing, so it is reset at once.
        """
        table = self.state.table
        if table.roles[slot] != Role.OWNER or key[0] != PROTOCOL_TCP:
            self.state.forget(slot, Refusal.SERVER_GONE, now)
            return
        self.silence.send_resets(slot, key, Refusal.SERVER_GONE)
        self.silence.end(slot, Refusal.SERVER_GONE, now)

    def idle(self, slot: int, now: float) -> float:
        """Return the seconds since a sign of life of a flow."""
        table = self.state.table
        latest = max(table.caller_times[slot], table.reply_times[slot])
        if self.is_probed(slot):
            latest = table.caller_times[slot]
        if table.roles[slot] == Role.COPY:
            latest = max(latest, table.copy_times[slot])
        return now - latest

    def is_probed(self, slot: int) -> bool:
        """Return whether probes keep a flow's server time recent.

        Then only its caller shows life of its own.
        """
        table = self.state.table
        established = table.statuses[slot] == FlowStatus.ESTABLISHED
        return established and table.roles[slot] == Role.OWNER

    def idle_limit(self, slot: int) -> float:
        """Return the seconds a flow may be idle, by its status."""
        settings = self.state.settings
        status = self.state.table.statuses[slot]
        if status == FlowStatus.ESTABLISHED:
            return settings.established_seconds
        limit = settings.half_open_seconds
        if status == FlowStatus.CLOSING:
            limit = settings.closing_seconds
        elif status == FlowStatus.DATAGRAMS:
            limit = settings.datagram_seconds
        if self.state.table.roles[slot] == Role.COPY:
            limit += settings.copy_refresh_seconds
        return limit

    def keep(self, slot: int, key: FlowKey, now: float) -> None:
        """Put a record where it belongs by the view in force."""
        state = self.state
        table = state.table
        place = state.routes.places[table.services[slot]]
        owner = state.ranking.rank(place)[:1]
        if not owner:
            return
        if owner[0] != state.vm:
            if table.roles[slot] == Role.OWNER or self.is_orphan(slot, place, now):
                self.hand_over(slot, owner[0], now)
            return
        if table.roles[slot] == Role.COPY:
            state.adopt(slot, "owner-gone")
        self.repair(slot, now)
        self.silence.probe(slot, key, now)

    def is_orphan(self, slot: int, place: bytes, now: float) -> bool:
        """Return whether a copy was not claimed by the owner of a newer view."""
        changed = self.state.ranking.owner_changes.get(place)
        if changed is None or now - changed < self.state.settings.settle_seconds:
            return False
        return self.state.table.copy_times[slot] < changed

    def hand_over(self, slot: int, owner: VmId, now: float) -> None:
        """Give a record to the VM that owns it now."""
        state = self.state
        held = state.table.copies[slot] == state.ranking.number(owner)
        owned = state.table.roles[slot] == Role.OWNER
        if owned and held and state.table.marks[slot] & Mark.CONFIRMED:
            state.yield_role(slot, Role.COPY, "owner-moved")
            return
        self.collect(slot, owner, now)

    def repair(self, slot: int, now: float) -> None:
        """Give the backup a record that no packet has brought to it."""
        state = self.state
        table = state.table
        backup = self.callers.backup_of(slot)
        if backup is None:
            return
        if self.idle(slot, now) < SILENT_BEFORE_REPAIR_SECONDS:
            return
        held = table.copies[slot] == state.ranking.number(backup)
        fresh = now - table.copy_times[slot] < self.idle_limit(slot) / 2
        if held and fresh and table.marks[slot] & Mark.CONFIRMED:
            return
        self.collect(slot, backup, now)

    def collect(self, slot: int, vm: VmId, now: float) -> None:
        """Add a record to the batch for a VM, if the budget allows."""
        if self.bytes_left < RECORD_BYTES:
            return
        batch = self.batches.setdefault(vm, [])
        self.bytes_left -= RECORD_BYTES + (0 if batch else BATCH_BYTES)
        batch.append(self.record(slot, now))
        if len(batch) >= self.state.settings.batch_records:
            self.flush(vm, now)

    def record(self, slot: int, now: float) -> FlowRecord:
        """Return a record as it travels in a batch."""
        state = self.state
        table = state.table
        key = table.keys[slot]
        if key is None:
            raise ValueError(f"slot {slot} holds no flow")
        return FlowRecord(
            key,
            state.address_of(slot),
            state.name_of(slot),
            table.revisions[slot],
            table.epochs[slot],
            table.statuses[slot],
            int(max(self.idle(slot, now), 0.0)),
            table.server_acks[slot],
            table.server_nexts[slot],
        )

    def flush(self, vm: VmId, now: float) -> None:
        """Send the batch for a VM."""
        records = tuple(self.batches.pop(vm))
        self.number += 1
        until = now + self.state.settings.batch_timeout_seconds
        self.sent[self.number] = SentBatch(vm, until, records)
        self.state.out.append(SendMessage(vm, RecordBatch(self.number, records)))

    def end_batches(self, now: float) -> None:
        """Forget batches that were not confirmed in time."""
        late = [number for number, sent in self.sent.items() if sent.until <= now]
        for number in late:
            del self.sent[number]

    def end_graces(self, now: float) -> None:
        """Give back the slots of new flows that sent nothing."""
        state = self.state
        table = state.table
        while state.graces and state.graces[0].until <= now:
            grace = state.graces.popleft()
            slot = table.slots.get(grace.key)
            if slot is None or table.epochs[slot] != grace.epoch:
                continue
            if table.marks[slot] & Mark.PROVISIONAL:
                state.answer_work(slot)

    def take_batch(self, sender: VmId, batch: RecordBatch, now: float) -> None:
        """Keep the records another VM gives."""
        better = []
        for record in batch.records:
            kept = self.take_record(record, now, trusted=False)
            if kept is not None:
                better.append(kept)
        answer = BatchStored(batch.number, tuple(better))
        self.state.out.append(SendMessage(sender, answer))

    def take_record(
        self, record: FlowRecord, now: float, *, trusted: bool
    ) -> FlowRecord | None:
        """Keep one record, or return the better one that is here."""
        state = self.state
        table = state.table
        slot = table.slots.get(record.key)
        if slot is not None and table.roles[slot] == Role.LEARNED:
            table.remove(slot)
            slot = None
        if slot is not None and state.address_of(slot) != record.server:
            if not trusted and not self.is_better(record, slot, now):
                return self.record(slot, now)
            self.lose(slot, now)
            slot = None
        if slot is None:
            slot = self.add(record, now)
        elif table.strikes[slot] == WAS_RESET:
            self.silence.send_resets(slot, record.key, Refusal.SILENT)
            return None
        self.refresh(slot, record, now)
        return None

    def is_better(self, record: FlowRecord, slot: int, now: float) -> bool:
        """Return whether a record wins over the one here."""
        state = self.state
        table = state.table
        status = table.statuses[slot]
        if status == FlowStatus.CLOSED or not state.permits(slot):
            return True
        if record.epoch != table.epochs[slot]:
            return record.epoch > table.epochs[slot]
        opened = record.status != FlowStatus.HALF_OPEN
        if opened != (status != FlowStatus.HALF_OPEN):
            return opened
        idle = int(max(self.idle(slot, now), 0.0))
        if record.idle != idle:
            return record.idle < idle
        return record.server < state.address_of(slot)

    def lose(self, slot: int, now: float) -> None:
        """Drop the record that lost against another VM's."""
        state = self.state
        key = state.table.keys[slot]
        was_owner = state.table.roles[slot] == Role.OWNER
        is_tcp = state.table.statuses[slot] != FlowStatus.DATAGRAMS
        if key is not None and was_owner and is_tcp and state.permits(slot):
            seq = state.table.server_acks[slot]
            state.out.append(ResetServer(key, state.address_of(slot), seq))
        if was_owner:
            self.callers.drop_copy(slot)
        state.forget(slot, Refusal.CONFLICT, now)

    def take_lost(self, lost: LostRecord, now: float) -> None:
        """Drop the second copy of a record that lost against another."""
        state = self.state
        slot = state.table.slots.get(lost.key)
        if slot is None or state.table.roles[slot] == Role.OWNER:
            return
        if state.address_of(slot) == lost.server:
            state.forget(slot, Refusal.CONFLICT, now)

    def add(self, record: FlowRecord, now: float) -> int:
        """Return the slot of a record that was not here."""
        state = self.state
        table = state.table
        place = record.key[0:1] + record.key[5:9] + record.key[11:13]
        service = state.routes.service(record.service, place)
        server = state.routes.server(record.server, record.service)
        slot = table.add(record.key, Role.COPY, server, service)
        table.statuses[slot] = record.status
        table.server_acks[slot] = record.server_ack
        table.caller_nexts[slot] = record.server_ack
        table.server_nexts[slot] = record.caller_ack
        table.caller_times[slot] = now - record.idle
        if record.caller_ack:
            table.marks[slot] |= Mark.SERVER_SEEN
        return slot

    def refresh(self, slot: int, record: FlowRecord, now: float) -> None:
        """Bring a record here up to date with one from its owner."""
        table = self.state.table
        table.epochs[slot] = max(table.epochs[slot], record.epoch)
        table.revisions[slot] = max(table.revisions[slot], record.revision)
        table.copy_times[slot] = now
        if table.statuses[slot] == FlowStatus.HALF_OPEN:
            table.statuses[slot] = record.status
        place = self.state.routes.places[table.services[slot]]
        if self.state.ranking.owns(place):
            self.state.adopt(slot, "handed-over")

    def take_confirmation(self, sender: VmId, stored: BatchStored, now: float) -> None:
        """Note that another VM keeps the records of a batch."""
        sent = self.sent.pop(stored.number, None)
        if sent is None or sent.vm != sender:
            return
        better = {record.key for record in stored.better}
        for record in sent.records:
            slot = self.state.table.slots.get(record.key)
            if slot is not None and record.key not in better:
                self.confirm(slot, sender, now)
        for record in stored.better:
            self.take_record(record, now, trusted=True)

    def confirm(self, slot: int, vm: VmId, now: float) -> None:
        """Note that a VM keeps one record."""
        state = self.state
        table = state.table
        table.copy_times[slot] = now
        if table.roles[slot] != Role.OWNER:
            return
        table.copies[slot] = state.ranking.number(vm)
        table.marks[slot] |= Mark.CONFIRMED
        place = state.routes.places[table.services[slot]]
        if state.ranking.rank(place)[:1] == [vm]:
            state.yield_role(slot, Role.COPY, "owner-moved")

    def tell_quiet(self, now: float) -> None:
        """Report once that a leaving VM has nothing left to do."""
        state = self.state
        if self.told_quiet or not state.ranking.leaving:
            return
        if state.pending or state.table.counts[Role.OWNER]:
            return
        if now - state.last_packet < state.settings.quiet_seconds:
            return
        self.told_quiet = True
        state.out.append(Quiet())
