"""Handling of callers' packets by the owner of their flows."""

from __future__ import annotations

from kumquatmux_core.identity import FlowKey, VmId
from kumquatmux_core.segments import FLAG_FIN, FLAG_RST, FLAG_SYN, Segment
from kumquatmux_flows.bindings import BindingStore
from kumquatmux_flows.copies import Copies
from kumquatmux_flows.events import (
    Binding,
    FlowPlaced,
    Passing,
    ResetCaller,
    SendToPeer,
    Stage,
)
from kumquatmux_flows.evidence import AckValidator
from kumquatmux_flows.placing import Placing
from kumquatmux_flows.refusals import Refusal
from kumquatmux_flows.routes import service_key_of
from kumquatmux_flows.silence import Silence
from kumquatmux_flows.state import FlowState
from kumquatmux_flows.table import WAS_RESET, FlowFlag, FlowStatus, Role
from kumquatmux_flows.tracking import FlowTracker

LIFECYCLE_FLAGS = FLAG_SYN | FLAG_FIN | FLAG_RST


class CallerPacketHandler:
    """Forwards packets of open flows and looks up missing records."""

    def __init__(self, state: FlowState, silence_detector: Silence) -> None:
        self.state = state
        self.backup_copies = Copies(state)
        self.ack_validator = AckValidator(state)
        self.binding_store = BindingStore(state, self.backup_copies, self.ack_validator)
        self.flow_placement = Placing(state)
        self.flow_tracker = FlowTracker(state, silence_detector)

    def handle_packet(self, segment: Segment, now: float) -> None:
        """Handle a caller's packet as the owner of its flow."""
        slot = self.state.table.slots.get(segment.key)
        if slot is None or self.state.table.roles[slot] == Role.LEARNED:
            self.handle_without_record(segment, now)
            return
        self.handle_with_record(slot, segment, now)

    def handle_without_record(self, segment: Segment, now: float) -> None:
        """Handle a packet whose flow has no record on this owner."""
        if segment.key in self.state.pending:
            self.flow_placement.handle_pending_packet(segment)
        elif self.may_start_flow(segment) and not self.record_may_exist_elsewhere(
            segment, now
        ):
            self.flow_placement.request_placement(segment, epoch=1)
        else:
            self.start_lookup(segment, now)

    def may_start_flow(self, segment: Segment) -> bool:
        """Return whether a packet may be the first one of a flow."""
        return segment.opens or not segment.is_tcp

    def record_may_exist_elsewhere(self, segment: Segment, now: float) -> bool:
        """Return whether another VM may hold the record of a flow that seems new.

        This is so for some time after a change of the membership view.
        """
        settings = self.state.settings
        window = settings.view_settle_seconds
        if not segment.is_tcp:
            window = settings.datagram_seconds
        return now - self.state.ranking.changed_at < window

    def handle_placed(self, event: FlowPlaced, now: float) -> None:
        """Forward the held packets of a flow that was placed."""
        for segment in self.flow_placement.bind_flow(event, now):
            self.handle_with_record(self.state.table.slots[event.key], segment, now)

    def handle_with_record(self, slot: int, segment: Segment, now: float) -> None:
        """Handle a packet whose flow has a record on this VM."""
        state = self.state
        if not state.server_permitted(slot):
            self.reset_reassigned_flow(slot, segment, now)
        elif state.table.statuses[slot] == FlowStatus.CLOSED:
            self.handle_closed_flow(slot, segment, now)
        elif self.ack_validator.indicates_other_server(slot, segment):
            self.start_lookup(segment, now)
        else:
            self.forward_packet(slot, segment, now)

    def reset_reassigned_flow(self, slot: int, segment: Segment, now: float) -> None:
        """Reset a flow whose server's address now belongs to another service."""
        state = self.state
        service_name = state.service_name_of(slot)
        server = state.server_address_of(slot)
        state.remove_flow(slot, Refusal.SERVER_GONE, now)
        state.request_route_refresh(Refusal.SERVER_GONE, service_name, server)
        if not segment.flags & FLAG_RST:
            state.refuse_flow(segment, Refusal.SERVER_GONE)

    def handle_closed_flow(self, slot: int, segment: Segment, now: float) -> None:
        """Handle a packet with the key of a closed flow."""
        state = self.state
        may_start = self.may_start_flow(segment)
        if state.is_quarantined(slot, now):
            if may_start:
                state.drop_packet(Refusal.QUARANTINED)
            elif state.table.strikes[slot] == WAS_RESET:
                self.resend_reset(segment)
            else:
                state.to_server(slot, segment)
            return
        epoch = state.table.epochs[slot] + 1
        state.table.remove(slot)
        if may_start:
            self.flow_placement.request_placement(segment, epoch)
        else:
            self.start_lookup(segment, now)

    def resend_reset(self, segment: Segment) -> None:
        """Reset a flow again with the sequence numbers of the caller's packet.

        The caller ignored the first reset, whose numbers were those known to this VM.
        """
        if segment.flags & FLAG_RST:
            self.state.drop_packet(Refusal.SILENT)
            return
        self.state.out.append(ResetCaller(segment, Refusal.SILENT))

    def forward_packet(self, slot: int, segment: Segment, now: float) -> None:
        """Forward a packet to its server.

        The packet goes through the backup VM if that VM has no current copy of the
        record or must see the packet's SYN, FIN or RST.
        """
        state = self.state
        table = state.table
        table.caller_times[slot] = now
        self.flow_tracker.track_packet(slot, segment, now)
        if table.statuses[slot] == FlowStatus.CLOSED:
            return
        if segment.flags & LIFECYCLE_FLAGS or not self.backup_copies.backup_is_current(
            slot, now
        ):
            self.backup_copies.by_backup(slot, segment, now)
        else:
            state.to_server(slot, segment)
        self.flow_tracker.track_close(slot, segment, now)

    def start_lookup(self, segment: Segment, now: float) -> None:
        """Send a packet to the first VM of a lookup for its record.

        If there is no VM to ask, the miss is handled at once.
        """
        next_vm = self.next_lookup_vm(segment.key, 0, self.state.vm)
        if next_vm is None:
            self.handle_lookup_miss(segment, now)
            return
        header = Passing(Stage.LOOKUP, 1, self.disputed_binding(segment), self.state.vm)
        self.state.out.append(SendToPeer(next_vm, header, segment.packet))

    def disputed_binding(self, segment: Segment) -> Binding | None:
        """Return the binding here that a lookup should confirm or replace, if any."""
        state = self.state
        slot = state.table.slots.get(segment.key)
        if slot is None or state.table.roles[slot] == Role.LEARNED:
            return None
        return state.binding_of(slot)

    def next_lookup_vm(self, key: FlowKey, hops: int, origin: VmId) -> VmId | None:
        """Return the VM that a lookup visits next, None after the last one."""
        state = self.state
        if hops >= state.settings.lookup_hop_limit:
            return None
        visit_order = state.ranking.lookup_order(service_key_of(key), origin)
        for vm in visit_order[hops:]:
            if vm != state.vm:
                return vm
        return None

    def handle_lookup_miss(
        self, segment: Segment, now: float, *, record_maybe_lost: bool = False
    ) -> None:
        """Handle a packet whose record no other VM holds.

        Args:
            segment: The packet.
            now: Time in seconds.
            record_maybe_lost: Whether a visited VM recently lost another VM, which may
                have held the record.
        """
        state = self.state
        slot = state.table.slots.get(segment.key)
        if slot is not None and state.table.roles[slot] != Role.LEARNED:
            self.continue_with_own_record(slot, segment, now)
        elif slot is not None and self.ack_validator.fits_learned_record(
            slot, segment, now
        ):
            state.take_ownership(slot, "learned-from-replies")
            self.handle_with_record(slot, segment, now)
        elif self.may_start_flow(segment):
            self.place_after_lookup(segment, now, record_maybe_lost=record_maybe_lost)
        elif segment.flags & FLAG_RST:
            state.drop_packet(Refusal.FLOW_UNKNOWN)
        elif self.is_view_unsettled(now) or not self.missed_twice(segment, now):
            state.drop_packet(Refusal.VIEW_UNSETTLED)
        else:
            state.refuse_flow(segment, Refusal.FLOW_UNKNOWN)

    def is_view_unsettled(self, now: float) -> bool:
        """Return whether a record may still be found because the view changed recently.

        Until then no unknown flow is reset.
        """
        settings = self.state.settings
        ranking = self.state.ranking
        if now - ranking.changed_at < settings.view_settle_seconds:
            return True
        window = max(settings.partition_hold_seconds, settings.datagram_seconds)
        if not ranking.count_recent_losses(window, now):
            return False
        return now - ranking.loss_times[-1] < settings.partition_hold_seconds

    def missed_twice(self, segment: Segment, now: float) -> bool:
        """Return whether a lookup for the flow also failed some time ago.

        A record that was hidden only by differing views is found in the meantime.
        """
        settings = self.state.settings
        miss_times = self.state.first_miss_times
        first_miss_time = miss_times.get(segment.key)
        if (
            first_miss_time is None
            or now - first_miss_time > settings.half_open_seconds
        ):
            if len(miss_times) >= settings.pending_flow_limit:
                miss_times.clear()
            miss_times[segment.key] = now
            return False
        if now - first_miss_time < settings.view_settle_seconds:
            return False
        del miss_times[segment.key]
        return True

    def continue_with_own_record(self, slot: int, segment: Segment, now: float) -> None:
        """Continue with the record here after a lookup found no better one."""
        status = self.state.table.statuses[slot]
        if not self.ack_validator.indicates_other_server(
            slot, segment
        ) or not self.state.server_permitted(slot):
            self.handle_with_record(slot, segment, now)
        elif status == FlowStatus.HALF_OPEN and self.may_belong_to_other_server(
            slot, segment, now
        ):
            self.state.drop_packet(Refusal.CONFLICT)
        else:
            self.forward_packet(slot, segment, now)

    def may_belong_to_other_server(
        self, slot: int, segment: Segment, now: float
    ) -> bool:
        """Return whether a packet may belong to a handshake with another server.

        If this VM has seen no reply from the server, the result is False after two
        failed lookups, but not while a network partition may hide the other record.
        """
        reply_seen = self.state.table.flow_flags[slot] & FlowFlag.SERVER_NEXT_KNOWN
        return (
            bool(reply_seen)
            or self.is_view_unsettled(now)
            or not self.missed_twice(segment, now)
        )

    def continue_with_confirmed_record(
        self, slot: int, segment: Segment, now: float
    ) -> None:
        """Continue with a record whose server was confirmed by another VM.

        The server's reply may have passed through a VM that did not know the owner, so
        that the packet seems to belong to a handshake with another server.
        """
        status = self.state.table.statuses[slot]
        if status == FlowStatus.CLOSED or not self.state.server_permitted(slot):
            self.handle_with_record(slot, segment, now)
        else:
            self.forward_packet(slot, segment, now)

    def place_after_lookup(
        self, segment: Segment, now: float, *, record_maybe_lost: bool
    ) -> None:
        """Place a flow that no VM knows, unless its record may have been lost.

        Args:
            segment: The packet.
            now: Time in seconds.
            record_maybe_lost: Whether a visited VM recently lost another VM, which may
                have held the record.
        """
        state = self.state
        if segment.key in state.pending:
            self.flow_placement.handle_pending_packet(segment)
            return
        window = state.settings.datagram_seconds
        lost_recently = state.ranking.count_recent_losses(window, now)
        if not segment.is_tcp and (lost_recently or record_maybe_lost):
            state.refuse_flow(segment, Refusal.RECORD_MAYBE_LOST)
            return
        self.flow_placement.request_placement(segment, epoch=1)
