"""Handling of packets that other VMs sent on."""

from __future__ import annotations

from kumquatmux_core.segments import FLAG_ACK, FLAG_FIN, FLAG_RST, Segment
from kumquatmux_flows.callers import CallerPacketHandler
from kumquatmux_flows.events import Binding, Passing, PeerPacket, SendToPeer, Stage
from kumquatmux_flows.refusals import Refusal
from kumquatmux_flows.replies import ReplyHandler
from kumquatmux_flows.state import FlowState
from kumquatmux_flows.table import FlowFlag, FlowStatus, Role

CORRECTION_HOPS = 1
"""Hop count of an ``ADOPT`` packet that corrects the owner, not answers a lookup."""


class PeerPacketHandler:
    """Stores backup copies, answers lookups and corrects owners with losing records."""

    def __init__(
        self,
        state: FlowState,
        caller_handler: CallerPacketHandler,
        reply_handler: ReplyHandler,
    ) -> None:
        self.state = state
        self.caller_handler = caller_handler
        self.reply_handler = reply_handler
        self.stage_handlers = {
            Stage.TO_OWNER: self.handle_to_owner,
            Stage.STORE: self.handle_store,
            Stage.LOOKUP: self.handle_lookup,
            Stage.ADOPT: self.handle_adopt,
            Stage.MISS: self.handle_miss,
            Stage.REPLY_TO_OWNER: self.handle_reply_to_owner,
            Stage.REPLY_CLOSE: self.handle_reply_close,
        }

    def handle_packet(self, packet: PeerPacket, now: float) -> None:
        """Handle a packet according to its stage."""
        self.stage_handlers[packet.header.stage](packet, now)

    def forward_to_owner(self, packet: PeerPacket) -> bool:
        """Forward a packet if another VM owns its flow.

        A packet from the VM that is the owner by this VM's view is not sent back: that
        VM shuts down or has a newer view.

        Returns:
            Whether the packet was forwarded.
        """
        state = self.state
        owner = state.ranking.owner_of(packet.segment.key)
        if owner is None or owner == state.vm or owner == packet.sender:
            return False
        if packet.header.hops >= state.settings.owner_hop_limit:
            return False
        header = packet.header._replace(hops=packet.header.hops + 1)
        state.out.append(SendToPeer(owner, header, packet.segment.packet))
        return True

    def handle_to_owner(self, packet: PeerPacket, now: float) -> None:
        """Handle a caller's packet that another VM forwarded to the flow's owner."""
        if self.forward_to_owner(packet):
            self.request_view_refresh(packet.segment)
            return
        owner = self.state.ranking.owner_of(packet.segment.key)
        owner_is_self_or_sender = owner in (self.state.vm, packet.sender)
        if owner_is_self_or_sender or self.has_flow_record(packet.segment):
            self.caller_handler.handle_packet(packet.segment, now)
            return
        self.state.drop_packet(Refusal.HOP_LIMIT)

    def request_view_refresh(self, segment: Segment) -> None:
        """Request a fresh view because a peer took this VM for the owner of a flow."""
        state = self.state
        service = state.current_service_of(segment.key)
        if service is None:
            return
        state.request_route_refresh(
            Refusal.OWNER_MOVED, state.routes.service_names[service], None
        )

    def owns_flow(self, segment: Segment) -> bool:
        """Return whether this VM owns a packet's flow."""
        return self.state.ranking.owner_of(segment.key) == self.state.vm

    def has_flow_record(self, segment: Segment) -> bool:
        """Return whether this VM is the owner or backup of a packet's flow."""
        slot = self.state.table.slots.get(segment.key)
        return slot is not None and self.state.table.roles[slot] != Role.LEARNED

    def handle_store(self, packet: PeerPacket, now: float) -> None:
        """Store the backup copy of a record and forward its packet."""
        binding = packet.header.binding
        if binding is None:
            self.state.drop_packet(Refusal.FLOW_UNKNOWN)
            return
        segment = packet.segment
        slot = self.caller_handler.binding_store.store_binding(
            binding, segment, Role.BACKUP, now
        )
        if slot is None:
            self.state.drop_packet(Refusal.SERVICE_UNKNOWN)
        elif not self.state.server_permitted(slot):
            self.caller_handler.reset_reassigned_flow(slot, segment, now)
        elif self.state.server_address_of(slot) != binding.server:
            self.send_correction(packet, slot)
        else:
            self.forward_as_backup(slot, packet, now)

    def forward_as_backup(self, slot: int, packet: PeerPacket, now: float) -> None:
        """Update the backup copy from a packet and forward the packet."""
        state = self.state
        table = state.table
        segment = packet.segment
        if packet.sender == state.ranking.owner_of(segment.key):
            state.release_ownership(slot, Role.BACKUP, "owner-moved")
        self.update_backup_record(slot, segment, now)
        state.to_server(slot, segment)
        if segment.flags & FLAG_RST:
            state.close_flow(slot, "reset-by-caller", now)
        elif segment.flags & FLAG_FIN:
            table.flow_flags[slot] |= FlowFlag.CALLER_FIN
            self.caller_handler.flow_tracker.handle_fin(slot, now)

    def update_backup_record(self, slot: int, segment: Segment, now: float) -> None:
        """Update the backup copy of a record from a packet."""
        table = self.state.table
        table.caller_times[slot] = now
        table.backup_times[slot] = now
        if segment.flags & FLAG_ACK:
            table.server_nexts[slot] = segment.ack
        if segment.opens:
            if table.caller_isns[slot] != segment.seq:
                table.flow_flags[slot] = 0
                table.statuses[slot] = FlowStatus.HALF_OPEN
            table.caller_isns[slot] = segment.seq
        elif not segment.is_tcp:
            table.statuses[slot] = FlowStatus.UDP_ACTIVE
        elif table.statuses[slot] == FlowStatus.HALF_OPEN:
            table.statuses[slot] = FlowStatus.ESTABLISHED

    def send_correction(self, packet: PeerPacket, slot: int) -> None:
        """Send the winning record of this VM, with the packet, back to the owner."""
        header = Passing(Stage.ADOPT, CORRECTION_HOPS, self.state.binding_of(slot))
        action = SendToPeer(packet.sender, header, packet.segment.packet)
        self.state.out.append(action)

    def handle_lookup(self, packet: PeerPacket, now: float) -> None:
        """Answer a lookup or send it on to the next VM."""
        state = self.state
        segment = packet.segment
        origin = packet.header.origin
        if segment.key in state.pending:
            state.drop_packet(Refusal.DUPLICATE_FIRST_PACKET)
            return
        disputed = packet.header.binding is not None
        binding = self.find_binding(segment, now, disputed=disputed)
        if binding is not None:
            header = Passing(Stage.ADOPT, 0, binding)
            state.out.append(SendToPeer(origin, header, segment.packet))
        elif not self.drop_if_quarantined(segment, now):
            self.continue_lookup(packet, now)

    def find_binding(
        self, segment: Segment, now: float, *, disputed: bool
    ) -> Binding | None:
        """Return the binding of a packet's flow if the record here fits the packet.

        Args:
            segment: The packet.
            now: Time in seconds.
            disputed: Whether the packet seems to contradict the owner's record. Then a
                half-open record without any reply from its server is not returned.
        """
        state = self.state
        slot = state.table.slots.get(segment.key)
        if slot is None or not state.server_permitted(slot):
            return None
        if state.table.statuses[slot] == FlowStatus.CLOSED:
            return None
        if state.table.roles[slot] == Role.LEARNED:
            fits = self.caller_handler.ack_validator.fits_learned_record(
                slot, segment, now
            )
            return state.binding_of(slot)._replace(epoch=0) if fits else None
        if self.caller_handler.ack_validator.indicates_other_server(slot, segment):
            return None
        half_open = state.table.statuses[slot] == FlowStatus.HALF_OPEN
        if (
            disputed
            and half_open
            and not state.table.flow_flags[slot] & FlowFlag.SERVER_NEXT_KNOWN
        ):
            return None
        return state.binding_of(slot)

    def drop_if_quarantined(self, segment: Segment, now: float) -> bool:
        """Drop a packet of a lookup if its flow's key is in quarantine here.

        Returns:
            Whether the packet was dropped.
        """
        state = self.state
        slot = state.table.slots.get(segment.key)
        if slot is None or state.table.statuses[slot] != FlowStatus.CLOSED:
            return False
        if not state.is_quarantined(slot, now):
            return False
        state.drop_packet(Refusal.QUARANTINED)
        return True

    def continue_lookup(self, packet: PeerPacket, now: float) -> None:
        """Send a lookup to the next VM, or a miss to its origin after the last VM."""
        state = self.state
        hops = packet.header.hops
        origin = packet.header.origin
        next_vm = self.caller_handler.next_lookup_vm(packet.segment.key, hops, origin)
        stage = Stage.LOOKUP if next_vm is not None else Stage.MISS
        window = state.settings.datagram_seconds
        lost_recently = state.ranking.count_recent_losses(window, now) > 0
        record_maybe_lost = packet.header.record_maybe_lost or lost_recently
        disputed_binding = packet.header.binding
        header = Passing(stage, hops + 1, disputed_binding, origin, record_maybe_lost)
        receiver = next_vm if next_vm is not None else origin
        state.out.append(SendToPeer(receiver, header, packet.segment.packet))

    def handle_adopt(self, packet: PeerPacket, now: float) -> None:
        """Store a record that a lookup or a correction found."""
        binding = packet.header.binding
        segment = packet.segment
        slot = None
        if binding is not None:
            slot = self.caller_handler.binding_store.store_binding(
                binding, segment, Role.OWNER, now
            )
        if slot is None:
            self.state.drop_packet(Refusal.SERVICE_UNKNOWN)
            return
        own_record_wins = (
            binding is not None and self.state.server_address_of(slot) != binding.server
        )
        if own_record_wins and packet.header.hops == CORRECTION_HOPS:
            self.state.drop_packet(Refusal.CONFLICT)
            return
        if self.owns_flow(segment):
            self.state.take_ownership(slot, "found-at-peer")
        if own_record_wins:
            self.caller_handler.continue_with_own_record(slot, segment, now)
        else:
            self.caller_handler.continue_with_confirmed_record(slot, segment, now)

    def handle_miss(self, packet: PeerPacket, now: float) -> None:
        """Handle a packet whose record no live VM holds."""
        record_maybe_lost = packet.header.record_maybe_lost
        self.caller_handler.handle_lookup_miss(
            packet.segment, now, record_maybe_lost=record_maybe_lost
        )

    def handle_reply_to_owner(self, packet: PeerPacket, now: float) -> None:
        """Handle a reply that another VM forwarded to the flow's owner."""
        binding = packet.header.binding
        if binding is None:
            self.state.drop_packet(Refusal.FLOW_UNKNOWN)
        elif not self.forward_to_owner(packet):
            self.reply_handler.handle_as_owner(packet.segment, binding.server, now)

    def handle_reply_close(self, packet: PeerPacket, now: float) -> None:
        """Handle a closing reply as the backup of its flow."""
        binding = packet.header.binding
        if binding is None:
            self.state.drop_packet(Refusal.FLOW_UNKNOWN)
            return
        self.reply_handler.close_as_backup(packet.segment, binding, now)
