"""The owner's way with packets of callers."""

from __future__ import annotations

from kumquatmux_core.identity import FlowKey, VmId
from kumquatmux_core.segments import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN, Segment
from kumquatmux_flows.events import (
    AskPlacement,
    Binding,
    CancelPlacement,
    FlowClosed,
    FlowPlaced,
    FlowRefused,
    Passing,
    ResetCaller,
    ResetServer,
    SendMessage,
    SendToPeer,
    Stage,
)
from kumquatmux_flows.messages import LostRecord
from kumquatmux_flows.refusals import Refusal
from kumquatmux_flows.routes import place_of
from kumquatmux_flows.silence import Silence
from kumquatmux_flows.state import FlowState, Grace, Pending
from kumquatmux_flows.table import (
    NO_VM,
    SEQUENCE_MASK,
    WAS_RESET,
    FlowStatus,
    Mark,
    Role,
    is_after,
    is_at_least,
)

LIFECYCLE_FLAGS = FLAG_SYN | FLAG_FIN | FLAG_RST
NEAR_BYTES = 1 << 20
WIDE_BYTES = 1 << 28


def end_of(segment: Segment) -> int:
    """Return the sequence number after a segment."""
    length = segment.payload_length
    length += 1 if segment.flags & FLAG_SYN else 0
    length += 1 if segment.flags & FLAG_FIN else 0
    return (segment.seq + length) & SEQUENCE_MASK


class CallerPath:
    """Places new flows, forwards open ones and looks for lost records."""

    def __init__(self, state: FlowState, silence: Silence) -> None:
        self.state = state
        self.silence = silence

    def take(self, segment: Segment, now: float) -> None:
        """Handle a caller's packet as the owner of its flow."""
        slot = self.state.table.slots.get(segment.key)
        if slot is None or self.state.table.roles[slot] == Role.LEARNED:
            self.without_record(segment, now)
            return
        self.with_record(slot, segment, now)

    def without_record(self, segment: Segment, now: float) -> None:
        """Handle a packet whose flow this owner does not know."""
        if segment.key in self.state.pending:
            self.while_pending(segment)
        elif self.starts_flow(segment) and not self.may_be_elsewhere(segment, now):
            self.ask_placement(segment, epoch=1)
        else:
            self.look_up(segment, now)

    def starts_flow(self, segment: Segment) -> bool:
        """Return whether a packet may be the first one of a flow."""
        return segment.opens or not segment.is_tcp

    def may_be_elsewhere(self, segment: Segment, now: float) -> bool:
        """Return whether another VM may hold the record of a flow that starts."""
        settings = self.state.settings
        window = settings.settle_seconds
        if not segment.is_tcp:
            window = settings.datagram_seconds
        return now - self.state.ranking.changed < window

    def while_pending(self, segment: Segment) -> None:
        """Handle a further packet of a flow that waits for placement."""
        state = self.state
        pending = state.pending[segment.key]
        if segment.flags & FLAG_RST:
            del state.pending[segment.key]
            state.out.append(CancelPlacement(segment.key))
            state.say("flow-cancelled", segment.key, "none", "reset-by-caller")
        elif segment.is_tcp:
            state.drop(Refusal.DUPLICATE)
        elif len(pending.segments) < state.settings.held_datagrams:
            pending.segments.append(segment)
        else:
            state.drop(Refusal.HELD_FULL)

    def ask_placement(self, segment: Segment, epoch: int) -> None:
        """Hold the first packet of a flow and ask for a server."""
        state = self.state
        service = state.service_of(segment.key)
        if service is None:
            self.refuse_unknown_service(segment)
        elif state.table.kept >= state.settings.flow_limit:
            state.refuse(segment, Refusal.TABLE_FULL)
        elif len(state.pending) >= state.settings.pending_limit:
            state.refuse(segment, Refusal.TABLE_FULL)
        else:
            state.pending[segment.key] = Pending([segment], service, epoch)
            state.out.append(AskPlacement(segment.key, state.routes.names[service]))

    def refuse_unknown_service(self, segment: Segment) -> None:
        """Refuse a packet for a service address that is not in force here."""
        state = self.state
        if state.routes.revision < 0:
            state.drop(Refusal.TABLE_STALE)
            return
        state.refuse(segment, Refusal.SERVICE_UNKNOWN)

    def placed(self, event: FlowPlaced, now: float) -> None:
        """Bind a flow to the server placement chose."""
        state = self.state
        pending = state.pending.pop(event.key, None)
        name = state.routes.names[pending.service] if pending else None
        if pending is None or name is None:
            state.out.append(FlowClosed(event.key, event.server))
            return
        server = state.routes.server(event.server, name)
        if not state.routes.permits_new(server, pending.service):
            self.misplaced(event, pending)
            return
        slot = self.new_record(event.key, server, pending)
        state.say_slot("flow-placed", slot, "placement")
        state.start_work(slot)
        state.table.marks[slot] |= Mark.PROVISIONAL
        until = now + state.settings.opening_grace_seconds
        state.graces.append(Grace(until, event.key, pending.epoch))
        for segment in pending.segments:
            self.with_record(slot, segment, now)

    def misplaced(self, event: FlowPlaced, pending: Pending) -> None:
        """Ask again when the chosen server may not get the flow; nothing was sent."""
        state = self.state
        name = state.routes.names[pending.service]
        state.out.append(FlowClosed(event.key, event.server))
        state.refresh(Refusal.SERVER_GONE, name, event.server)
        if pending.attempts < state.settings.placement_attempts:
            retry = pending._replace(attempts=pending.attempts + 1)
            state.pending[event.key] = retry
            state.out.append(AskPlacement(event.key, name))
            return
        for segment in pending.segments:
            state.refuse(segment, Refusal.SERVER_GONE)

    def refused(self, event: FlowRefused) -> None:
        """Tell the caller that placement has no server for its flow."""
        pending = self.state.pending.pop(event.key, None)
        if pending is None:
            return
        for segment in pending.segments:
            self.state.out.append(ResetCaller(segment, event.reason))
        self.state.say("flow-refused", event.key, "none", event.reason)

    def new_record(self, key: FlowKey, server: int, pending: Pending) -> int:
        """Return the slot of a flow that this VM placed."""
        state = self.state
        table = state.table
        old = table.slots.get(key)
        if old is not None:
            table.remove(old)
        slot = table.add(key, Role.OWNER, server, pending.service)
        table.epochs[slot] = pending.epoch
        table.revisions[slot] = max(state.routes.revision, 0)
        table.marks[slot] = Mark.PLACED
        if not pending.segments[0].is_tcp:
            table.statuses[slot] = FlowStatus.DATAGRAMS
        return slot

    def with_record(self, slot: int, segment: Segment, now: float) -> None:
        """Handle a packet of a flow whose record is here."""
        state = self.state
        if not state.permits(slot):
            self.give_up(slot, segment, now)
        elif state.table.statuses[slot] == FlowStatus.CLOSED:
            self.closed_flow(slot, segment, now)
        elif self.contradicts(slot, segment):
            self.look_up(segment, now)
        else:
            self.forward(slot, segment, now)

    def give_up(self, slot: int, segment: Segment, now: float) -> None:
        """Reset a flow whose server's address now serves another service."""
        state = self.state
        name = state.name_of(slot)
        server = state.address_of(slot)
        state.forget(slot, Refusal.SERVER_GONE, now)
        state.refresh(Refusal.SERVER_GONE, name, server)
        if not segment.flags & FLAG_RST:
            state.refuse(segment, Refusal.SERVER_GONE)

    def closed_flow(self, slot: int, segment: Segment, now: float) -> None:
        """Handle a packet of a key whose last flow is over."""
        state = self.state
        starts = self.starts_flow(segment)
        if state.quarantined(slot, now):
            if starts:
                state.drop(Refusal.QUARANTINED)
            elif state.table.strikes[slot] == WAS_RESET:
                self.reset_again(segment)
            else:
                state.to_server(slot, segment)
            return
        epoch = state.table.epochs[slot] + 1
        state.table.remove(slot)
        if starts:
            self.ask_placement(segment, epoch)
        else:
            self.look_up(segment, now)

    def reset_again(self, segment: Segment) -> None:
        """Repeat a reset that the caller did not take, now with its own numbers."""
        if segment.flags & FLAG_RST:
            self.state.drop(Refusal.SILENT)
            return
        self.state.out.append(ResetCaller(segment, Refusal.SILENT))

    def contradicts(self, slot: int, segment: Segment) -> bool:
        """Return whether a packet shows that its handshake was with another server."""
        table = self.state.table
        if segment.flags & (FLAG_SYN | FLAG_RST) or not segment.flags & FLAG_ACK:
            return False
        seen = table.marks[slot] & Mark.SERVER_SEEN
        if table.statuses[slot] == FlowStatus.ESTABLISHED:
            current = seen and table.roles[slot] == Role.OWNER
            known = table.server_nexts[slot] != 0
            return known and not current and self.is_far(slot, segment, WIDE_BYTES)
        if table.statuses[slot] != FlowStatus.HALF_OPEN:
            return False
        if seen:
            return self.is_far(slot, segment, NEAR_BYTES)
        return bool(table.marks[slot] & Mark.PLACED)

    def is_far(self, slot: int, segment: Segment, limit: int) -> bool:
        """Return whether an acknowledgement does not fit what a server has sent."""
        distance = (segment.ack - self.state.table.server_nexts[slot]) & SEQUENCE_MASK
        return min(distance, SEQUENCE_MASK - distance) > limit

    def forward(self, slot: int, segment: Segment, now: float) -> None:
        """Send a packet to its server, by the backup while that lacks the record."""
        state = self.state
        table = state.table
        table.caller_times[slot] = now
        self.track(slot, segment, now)
        if table.statuses[slot] == FlowStatus.CLOSED:
            return
        if segment.flags & LIFECYCLE_FLAGS or not self.copy_ready(slot, now):
            self.by_backup(slot, segment, now)
        else:
            state.to_server(slot, segment)
        self.track_end(slot, segment, now)

    def copy_ready(self, slot: int, now: float) -> bool:
        """Return whether the second copy is in place and recent."""
        table = self.state.table
        backup = self.backup_number(slot)
        if backup == NO_VM:
            return True
        if table.copies[slot] != backup or not table.marks[slot] & Mark.CONFIRMED:
            return False
        age = now - table.copy_times[slot]
        return age < self.state.settings.copy_refresh_seconds

    def backup_of(self, slot: int) -> VmId | None:
        """Return the VM that should hold the second copy."""
        routes = self.state.routes
        place = routes.places[self.state.table.services[slot]]
        zone = routes.zones[self.state.table.servers[slot]]
        return self.state.ranking.backup(place, zone)

    def backup_number(self, slot: int) -> int:
        """Return the small number of the VM that should hold the second copy."""
        return self.state.ranking.number(self.backup_of(slot))

    def by_backup(self, slot: int, segment: Segment, now: float) -> None:
        """Pass a packet and its record to the backup, which forwards it."""
        state = self.state
        backup = self.backup_of(slot)
        if backup is None:
            state.to_server(slot, segment)
            return
        self.note_copy(slot, end_of(segment), now)
        passing = Passing(Stage.STORE, 0, state.binding(slot))
        state.out.append(SendToPeer(backup, passing, segment.packet))

    def note_copy(self, slot: int, seq: int, now: float) -> None:
        """Remember that the backup was sent the record with a packet."""
        table = self.state.table
        backup = self.backup_number(slot)
        if table.copies[slot] != backup:
            table.copies[slot] = backup
            table.marks[slot] &= ~Mark.CONFIRMED & 0xFF
        if not table.marks[slot] & Mark.CONFIRMED:
            table.copy_seqs[slot] = seq
        table.copy_times[slot] = now

    def track(self, slot: int, segment: Segment, now: float) -> None:
        """Follow handshake, work and retransmissions of a flow."""
        table = self.state.table
        if segment.opens:
            table.caller_isns[slot] = segment.seq
        elif table.statuses[slot] == FlowStatus.HALF_OPEN:
            table.statuses[slot] = FlowStatus.ESTABLISHED
        if segment.is_tcp and segment.flags & FLAG_ACK:
            self.track_ack(slot, segment)
        if segment.payload_length:
            self.track_payload(slot, segment, now)
        elif is_after(end_of(segment), table.caller_nexts[slot]) or segment.opens:
            table.caller_nexts[slot] = end_of(segment)
            table.marks[slot] |= Mark.CALLER_SEEN

    def track_ack(self, slot: int, segment: Segment) -> None:
        """Learn from an acknowledgement what the server has sent."""
        table = self.state.table
        seen = table.marks[slot] & Mark.SERVER_SEEN
        if not seen or is_after(segment.ack, table.server_nexts[slot]):
            table.server_nexts[slot] = segment.ack
            table.marks[slot] |= Mark.SERVER_SEEN

    def track_payload(self, slot: int, segment: Segment, now: float) -> None:
        """Count new bytes as work and old ones as a sign of silence."""
        table = self.state.table
        end = end_of(segment)
        seen = table.marks[slot] & Mark.CALLER_SEEN
        table.marks[slot] &= ~Mark.PROVISIONAL & 0xFF
        if segment.is_tcp and seen and not is_after(end, table.caller_nexts[slot]):
            self.silence.retransmitted(slot, segment, now)
            return
        table.caller_nexts[slot] = end
        table.marks[slot] |= Mark.CALLER_SEEN
        self.state.start_work(slot)

    def track_end(self, slot: int, segment: Segment, now: float) -> None:
        """Follow the end of a flow, or find that it went silent."""
        state = self.state
        table = state.table
        if segment.flags & FLAG_RST:
            state.close(slot, "reset-by-caller", now)
        elif segment.flags & FLAG_FIN:
            table.marks[slot] |= Mark.CALLER_FIN
            self.closing(slot, now)

    def closing(self, slot: int, now: float) -> None:
        """Follow a FIN: the second one ends the flow."""
        table = self.state.table
        marks = table.marks[slot]
        if marks & Mark.CALLER_FIN and marks & Mark.SERVER_FIN:
            self.state.close(slot, "finished", now)
        elif table.statuses[slot] != FlowStatus.CLOSED:
            table.statuses[slot] = FlowStatus.CLOSING

    def look_up(self, segment: Segment, now: float) -> None:
        """Send a packet in search of its record, or decide without."""
        target = self.lookup_target(segment.key, 0, self.state.vm)
        if target is None:
            self.unresolved(segment, now)
            return
        passing = Passing(Stage.LOOKUP, 1, None, self.state.vm)
        self.state.out.append(SendToPeer(target, passing, segment.packet))

    def lookup_target(self, key: FlowKey, hops: int, origin: VmId) -> VmId | None:
        """Return the VM that a search visits next, None after the last."""
        state = self.state
        if hops >= state.settings.lookup_hops:
            return None
        others = state.ranking.search_order(place_of(key), origin)
        for vm in others[hops:]:
            if vm != state.vm:
                return vm
        return None

    def unresolved(
        self, segment: Segment, now: float, *, suspect: bool = False
    ) -> None:
        """Decide about a packet whose record nobody has.

        Args:
            segment: The packet.
            now: Time in seconds.
            suspect: Whether a VM that was asked has lately lost another one.
        """
        state = self.state
        slot = state.table.slots.get(segment.key)
        if slot is not None and state.table.roles[slot] != Role.LEARNED:
            self.after_search(slot, segment, now)
        elif slot is not None and self.matches(slot, segment, now):
            state.adopt(slot, "learned-from-replies")
            self.with_record(slot, segment, now)
        elif self.starts_flow(segment):
            self.place_after_search(segment, now, suspect=suspect)
        elif segment.flags & FLAG_RST:
            state.drop(Refusal.FLOW_UNKNOWN)
        elif self.unsettled(now) or not self.missed_twice(segment, now):
            state.drop(Refusal.UNSETTLED)
        else:
            state.refuse(segment, Refusal.FLOW_UNKNOWN)

    def unsettled(self, now: float) -> bool:
        """Return whether a record may still turn up: never reset a flow too early."""
        settings = self.state.settings
        ranking = self.state.ranking
        if now - ranking.changed < settings.settle_seconds:
            return True
        window = max(settings.cut_hold_seconds, settings.datagram_seconds)
        if not ranking.lost_lately(window, now):
            return False
        return now - ranking.losses[-1] < settings.cut_hold_seconds

    def missed_twice(self, segment: Segment, now: float) -> bool:
        """Return whether a flow was missing before, some time ago.

        A record that only a disagreement of views hides turns up in between.
        """
        settings = self.state.settings
        missed = self.state.missed
        first = missed.get(segment.key)
        if first is None or now - first > settings.half_open_seconds:
            if len(missed) >= settings.pending_limit:
                missed.clear()
            missed[segment.key] = now
            return False
        if now - first < settings.settle_seconds:
            return False
        del missed[segment.key]
        return True

    def after_search(self, slot: int, segment: Segment, now: float) -> None:
        """Go on with this VM's record after a search found no better one."""
        status = self.state.table.statuses[slot]
        if not self.contradicts(slot, segment) or not self.state.permits(slot):
            self.with_record(slot, segment, now)
        elif status == FlowStatus.HALF_OPEN:
            self.state.drop(Refusal.CONFLICT)
        else:
            self.forward(slot, segment, now)

    def place_after_search(
        self, segment: Segment, now: float, *, suspect: bool
    ) -> None:
        """Place a flow that nobody knows, unless its record may have been lost."""
        state = self.state
        if segment.key in state.pending:
            self.while_pending(segment)
            return
        window = state.settings.datagram_seconds
        lost = state.ranking.lost_lately(window, now)
        if not segment.is_tcp and (lost or suspect):
            state.refuse(segment, Refusal.RECORD_MAYBE_LOST)
            return
        self.ask_placement(segment, epoch=1)

    def matches(self, slot: int, segment: Segment, now: float) -> bool:
        """Return whether a packet fits a record only learned from replies."""
        table = self.state.table
        if not self.state.permits(slot) or segment.opens:
            return False
        if not segment.is_tcp:
            age = now - table.reply_times[slot]
            return age < self.state.settings.learned_fresh_seconds
        if not segment.flags & FLAG_ACK:
            return False
        return not self.is_far(slot, segment, WIDE_BYTES)

    def take_binding(
        self, binding: Binding, segment: Segment, role: Role, now: float
    ) -> int | None:
        """Store a record that came with a packet, unless the one here is better.

        Returns:
            The slot of the record, None when no service is known for it.
        """
        state = self.state
        table = state.table
        slot = table.slots.get(segment.key)
        if slot is not None and table.roles[slot] != Role.LEARNED:
            if state.address_of(slot) == binding.server:
                self.merge(slot, binding)
                return slot
            if not self.is_better(binding, slot, segment):
                return slot
            self.replace(slot, segment, now)
            slot = None
        elif slot is not None:
            table.remove(slot)
        return self.add_binding(binding, segment, role, now)

    def merge(self, slot: int, binding: Binding) -> None:
        """Take over what a binding knows more about the same server."""
        table = self.state.table
        if binding.epoch > table.epochs[slot]:
            table.epochs[slot] = binding.epoch
            if table.statuses[slot] == FlowStatus.CLOSED:
                self.reopen(slot)
        if binding.established and table.statuses[slot] == FlowStatus.HALF_OPEN:
            table.statuses[slot] = FlowStatus.ESTABLISHED

    def reopen(self, slot: int) -> None:
        """Start over with a new flow of the same key on the same server."""
        table = self.state.table
        epoch = table.epochs[slot]
        table.clear(slot)
        table.epochs[slot] = epoch

    def is_better(self, binding: Binding, slot: int, segment: Segment) -> bool:
        """Return whether a binding wins over the record here."""
        table = self.state.table
        if not self.state.permits(slot) or self.contradicts(slot, segment):
            return True
        if table.statuses[slot] == FlowStatus.CLOSED:
            return True
        if binding.epoch != table.epochs[slot]:
            return binding.epoch > table.epochs[slot]
        if segment.opens and segment.seq != table.caller_isns[slot]:
            return True
        here = table.statuses[slot] != FlowStatus.HALF_OPEN
        if binding.established != here:
            return binding.established
        if self.was_answered(slot):
            return False
        return binding.server < self.state.address_of(slot)

    def was_answered(self, slot: int) -> bool:
        """Return whether the caller may have this server's half of a handshake."""
        table = self.state.table
        if table.statuses[slot] != FlowStatus.HALF_OPEN:
            return False
        seen = table.marks[slot] & Mark.SERVER_SEEN
        return bool(seen) and table.roles[slot] == Role.OWNER

    def replace(self, slot: int, segment: Segment, now: float) -> None:
        """Drop the record that lost, and reset its server's half of the handshake."""
        state = self.state
        key = state.table.keys[slot]
        was_open = state.table.statuses[slot] != FlowStatus.CLOSED
        if key is not None and was_open and state.permits(slot) and segment.is_tcp:
            seq = state.table.server_acks[slot]
            state.out.append(ResetServer(key, state.address_of(slot), seq))
        self.drop_copy(slot)
        state.forget(slot, Refusal.CONFLICT, now)

    def drop_copy(self, slot: int) -> None:
        """Tell the holder of the second copy that the record has lost."""
        state = self.state
        key = state.table.keys[slot]
        holder = self.backup_of(slot)
        if key is None or holder is None:
            return
        lost = LostRecord(key, state.address_of(slot))
        state.out.append(SendMessage(holder, lost))

    def add_binding(
        self, binding: Binding, segment: Segment, role: Role, now: float
    ) -> int | None:
        """Store a record that came with a packet."""
        state = self.state
        service = state.service_named(segment.key, binding.service)
        if service is None:
            return None
        table = state.table
        name = state.routes.names[service]
        server = state.routes.server(binding.server, name)
        slot = table.add(segment.key, Role.COPY, server, service)
        table.epochs[slot] = binding.epoch
        table.revisions[slot] = binding.revision
        table.caller_times[slot] = now
        table.copy_times[slot] = now
        if not segment.is_tcp:
            table.statuses[slot] = FlowStatus.DATAGRAMS
        elif binding.established:
            table.statuses[slot] = FlowStatus.ESTABLISHED
        if role == Role.OWNER:
            state.adopt(slot, "found-at-peer")
        return slot

    def confirm_copy(self, slot: int, ack: int) -> None:
        """Note that a reply proves that the backup forwarded a packet."""
        table = self.state.table
        marks = table.marks[slot]
        if marks & Mark.CONFIRMED or table.copies[slot] == NO_VM:
            return
        if table.statuses[slot] == FlowStatus.DATAGRAMS:
            table.marks[slot] |= Mark.CONFIRMED
        elif is_at_least(ack, table.copy_seqs[slot]):
            table.marks[slot] |= Mark.CONFIRMED
