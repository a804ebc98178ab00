"""Handling of packets from backend servers."""

from __future__ import annotations

from collections import deque

from kumquatmux_core.identity import Address
from kumquatmux_core.segments import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN, Segment
from kumquatmux_flows.callers import CallerPacketHandler
from kumquatmux_flows.events import Binding, Passing, SendToCaller, SendToPeer, Stage
from kumquatmux_flows.refusals import Refusal
from kumquatmux_flows.silence import Silence
from kumquatmux_flows.state import FlowState
from kumquatmux_flows.table import FlowFlag, FlowStatus, Role, next_seq, seq_after

CLOSE_FLAGS = FLAG_FIN | FLAG_RST
LEARNED_KEYS_FACTOR = 2
"""Length of ``learned_keys`` at which it is compacted, in multiples of the limit."""


class ReplyHandler:
    """Learns flows from replies and forwards replies through the flow's owner."""

    def __init__(
        self,
        state: FlowState,
        caller_handler: CallerPacketHandler,
        silence_detector: Silence,
    ) -> None:
        self.state = state
        self.silence_detector = silence_detector
        self.caller_handler = caller_handler

    def handle_from_fabric(self, segment: Segment, server: Address, now: float) -> None:
        """Handle a reply that arrived directly from the network fabric."""
        owner = self.state.ranking.owner_of(segment.key)
        if owner == self.state.vm or owner is None:
            self.handle_as_owner(segment, server, now)
            return
        if not self.learn_flow(segment, server, now):
            return
        header = Passing(Stage.REPLY_TO_OWNER, 1, Binding(server, 0, 0))
        self.state.out.append(SendToPeer(owner, header, segment.packet))

    def learn_flow(self, segment: Segment, server: Address, now: float) -> bool:
        """Add or update the record of a flow from its reply.

        Returns:
            Whether the owner may get the reply; this is always True.
        """
        state = self.state
        table = state.table
        server_number = self.server_number_of(segment, server)
        slot = table.slots.get(segment.key)
        if slot is None:
            self.add_learned_record(segment, server_number, now)
            return True
        if table.roles[slot] == Role.LEARNED and table.servers[slot] != server_number:
            table.remove(slot)
            self.add_learned_record(segment, server_number, now)
            return True
        if table.servers[slot] == server_number:
            self.update_from_reply(slot, segment, now)
        return True

    def server_number_of(self, segment: Segment, server: Address) -> int:
        """Return the number of the server that sent a reply, adding it if it is new."""
        routes = self.state.routes
        server_number = routes.server_numbers.get(server)
        if server_number is None:
            service_number = self.state.current_service_of(segment.key)
            service_name = (
                "" if service_number is None else routes.service_names[service_number]
            )
            server_number = routes.register_server(server, service_name)  # type: ignore[arg-type]
        return server_number

    def add_learned_record(
        self, segment: Segment, server_number: int, now: float
    ) -> None:
        """Add a learned record, evicting the oldest ones at the limit."""
        state = self.state
        service_number = state.current_service_of(segment.key)
        if service_number is None or segment.flags & CLOSE_FLAGS:
            return
        if not state.routes.permits(server_number, service_number):
            return
        if state.settings.learned_limit <= 0:
            return
        self.evict_learned_records()
        slot = state.table.add(segment.key, Role.LEARNED, server_number, service_number)
        state.learned_keys.append(segment.key)
        if not segment.is_tcp:
            state.table.statuses[slot] = FlowStatus.UDP_ACTIVE
        self.update_from_reply(slot, segment, now)

    def evict_learned_records(self) -> None:
        """Evict the oldest learned records until there is space for a new one."""
        state = self.state
        table = state.table
        key_queue = state.learned_keys
        while (
            table.role_counts[Role.LEARNED] >= state.settings.learned_limit
            and key_queue
        ):
            slot = table.slots.get(key_queue.popleft())
            if slot is not None and table.roles[slot] == Role.LEARNED:
                table.remove(slot)
        if len(key_queue) > LEARNED_KEYS_FACTOR * state.settings.learned_limit:
            state.learned_keys = deque(
                dict.fromkeys(filter(self.has_learned_record, key_queue))
            )

    def has_learned_record(self, key: object) -> bool:
        """Return whether a key has a learned record."""
        slot = self.state.table.slots.get(key)  # type: ignore[call-overload]
        return slot is not None and self.state.table.roles[slot] == Role.LEARNED

    def update_from_reply(self, slot: int, segment: Segment, now: float) -> None:
        """Update the record of a flow that this VM does not own from a reply."""
        table = self.state.table
        table.reply_times[slot] = now
        if not segment.is_tcp:
            return
        self.advance_server_next(slot, segment)
        if segment.flags & FLAG_ACK and table.roles[slot] != Role.OWNER:
            table.server_acks[slot] = segment.ack
        is_syn_or_rst = segment.flags & (FLAG_SYN | FLAG_RST)
        if not is_syn_or_rst and table.statuses[slot] == FlowStatus.HALF_OPEN:
            table.statuses[slot] = FlowStatus.ESTABLISHED
        if segment.flags & CLOSE_FLAGS and table.roles[slot] == Role.LEARNED:
            table.remove(slot)

    def advance_server_next(self, slot: int, segment: Segment) -> None:
        """Advance the server's next sequence number to the end of a reply."""
        table = self.state.table
        end_seq = next_seq(segment)
        next_known = table.flow_flags[slot] & FlowFlag.SERVER_NEXT_KNOWN
        if not next_known or seq_after(end_seq, table.server_nexts[slot]):
            table.server_nexts[slot] = end_seq
            table.flow_flags[slot] |= FlowFlag.SERVER_NEXT_KNOWN

    def handle_as_owner(self, segment: Segment, server: Address, now: float) -> None:
        """Handle a reply as the owner of its flow."""
        state = self.state
        table = state.table
        server_number = self.server_number_of(segment, server)
        slot = table.slots.get(segment.key)
        if slot is None or table.roles[slot] == Role.LEARNED:
            self.handle_without_record(segment, server, now)
        elif table.servers[slot] != server_number:
            self.drop_crossed_reply(slot, segment)
        elif not state.server_permitted(slot):
            state.drop_packet(Refusal.SERVICE_CROSSED)
        else:
            self.handle_server_reply(slot, segment, now)

    def handle_without_record(
        self, segment: Segment, server: Address, now: float
    ) -> None:
        """Learn a flow without an owned or backup record and forward its reply."""
        state = self.state
        service_number = state.current_service_of(segment.key)
        server_number = state.routes.server_numbers[server]
        if service_number is None or not state.routes.permits(
            server_number, service_number
        ):
            state.drop_packet(Refusal.SERVICE_CROSSED)
            return
        self.learn_flow(segment, server, now)
        self.send_to_caller(segment)

    def drop_crossed_reply(self, slot: int, segment: Segment) -> None:
        """Drop a reply that comes from another server than the flow's."""
        self.state.drop_packet(Refusal.REPLY_CROSSED)
        self.state.log_record("reply-dropped", slot, Refusal.REPLY_CROSSED)

    def handle_server_reply(self, slot: int, segment: Segment, now: float) -> None:
        """Track a reply of the flow's server and forward it."""
        state = self.state
        table = state.table
        table.reply_times[slot] = now
        if not table.flow_flags[slot] & FlowFlag.SERVER_NEXT_KNOWN and segment.is_tcp:
            self.advance_server_next(slot, segment)
        if segment.flags & FLAG_ACK:
            self.silence_detector.handle_reply_ack(slot, segment.ack, now)
        if segment.flags & FLAG_ACK or not segment.is_tcp:
            self.caller_handler.backup_copies.confirm_backup(slot, segment.ack)
        if segment.payload_length:
            state.finish_work(slot)
        if segment.flags & CLOSE_FLAGS:
            self.handle_server_close(slot, segment, now)
        else:
            self.send_to_caller(segment)

    def handle_server_close(self, slot: int, segment: Segment, now: float) -> None:
        """Handle a FIN or RST of the server and forward it through the backup VM."""
        state = self.state
        if segment.flags & FLAG_RST:
            state.close_flow(slot, "reset-by-server", now)
        else:
            state.table.flow_flags[slot] |= FlowFlag.SERVER_FIN
            self.caller_handler.flow_tracker.handle_fin(slot, now)
        backup_vm = self.caller_handler.backup_copies.backup_vm_of(slot)
        if backup_vm is None:
            self.send_to_caller(segment)
            return
        header = Passing(Stage.REPLY_CLOSE, 0, state.binding_of(slot))
        state.out.append(SendToPeer(backup_vm, header, segment.packet))

    def close_as_backup(self, segment: Segment, binding: Binding, now: float) -> None:
        """Handle a FIN or RST of the server as the backup and forward it."""
        state = self.state
        slot = state.table.slots.get(segment.key)
        if slot is not None and state.server_address_of(slot) == binding.server:
            state.table.reply_times[slot] = now
            if segment.flags & FLAG_RST:
                state.close_flow(slot, "reset-by-server", now)
            else:
                state.table.flow_flags[slot] |= FlowFlag.SERVER_FIN
                self.caller_handler.flow_tracker.handle_fin(slot, now)
        self.send_to_caller(segment)

    def send_to_caller(self, segment: Segment) -> None:
        """Send a reply to its caller from the service address."""
        key = segment.key
        service_address = Address(key[5:9] + key[11:13])
        self.state.out.append(SendToCaller(service_address, segment.packet))
