"""The flow engine: handles one event at a time and returns the resulting actions."""

from __future__ import annotations

import random
from functools import singledispatchmethod

from kumquatmux_core.identity import FlowKey, VmId, ZoneName
from kumquatmux_core.segments import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN
from kumquatmux_flows.callers import CallerPacketHandler
from kumquatmux_flows.events import (
    Action,
    CallerPacket,
    CancelPlacement,
    Event,
    FlowPlaced,
    FlowRefused,
    Leaving,
    Passing,
    PeerMessage,
    PeerPacket,
    RoutesChanged,
    SendToPeer,
    ServerPacket,
    Stage,
    Tick,
    ViewChanged,
)
from kumquatmux_flows.evidence import NARROW_ACK_WINDOW_BYTES
from kumquatmux_flows.messages import BatchStored, RecordBatch
from kumquatmux_flows.peers import PeerPacketHandler
from kumquatmux_flows.replies import ReplyHandler
from kumquatmux_flows.settings import FlowSettings
from kumquatmux_flows.silence import Silence
from kumquatmux_flows.state import FlowState
from kumquatmux_flows.sweep import TableSweep
from kumquatmux_flows.table import (
    NO_VM,
    SEQUENCE_HALF,
    SEQUENCE_MASK,
    FlowFlag,
    FlowStatus,
    Role,
)

SLOW_PATH_FLAGS = FLAG_SYN | FLAG_FIN | FLAG_RST
WORK_PENDING = int(FlowFlag.WORK_PENDING)
BACKUP_CONFIRMED = int(FlowFlag.BACKUP_CONFIRMED)
WORK_PROVISIONAL = int(FlowFlag.WORK_PROVISIONAL)
LEARNED = int(Role.LEARNED)
OWNER = int(Role.OWNER)
ESTABLISHED = int(FlowStatus.ESTABLISHED)


class FlowEngine:
    """Decides about every packet of one entry VM.

    ``handle`` accepts any event. ``route_caller`` and ``route_reply`` are the fast path
    for packets of open flows; packets that they decline go to ``handle``. Actions that
    the fast path causes (work started or answered) are returned by the next ``handle``
    or by ``drain``.

    Attributes:
        owned_services: Whether this VM owns the flows of each service number.
        backup_numbers: Number of the backup VM for each service number, by zone of the
            servers.
    """

    def __init__(self, vm: VmId, settings: FlowSettings, random: random.Random) -> None:
        self.vm = vm
        self.settings = settings
        self.state = FlowState(vm, settings, random)
        self.silence_detector = Silence(self.state)
        self.caller_handler = CallerPacketHandler(self.state, self.silence_detector)
        self.reply_handler = ReplyHandler(
            self.state, self.caller_handler, self.silence_detector
        )
        self.peer_handler = PeerPacketHandler(
            self.state, self.caller_handler, self.reply_handler
        )
        self.table_sweep = TableSweep(
            self.state, self.caller_handler, self.silence_detector
        )
        self.owned_services: list[bool] = []
        self.backup_numbers: list[dict[str, int]] = []

    def use_settings(self, settings: FlowSettings) -> None:
        """Apply new settings, also to open flows."""
        self.settings = settings
        self.state.settings = settings

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the resulting actions; ``now`` is in seconds."""
        self.apply_event(event, now)
        self.cache_service_owners()
        return self.drain()

    def drain(self) -> list[Action]:
        """Return the collected actions and clear them."""
        actions = self.state.out
        self.state.out = []
        return actions

    @singledispatchmethod
    def apply_event(self, event: Event, now: float) -> None:
        """Apply one event to the state.

        Raises:
            TypeError: The type of the event is unknown.
        """
        raise TypeError(f"unknown event type: {type(event).__name__}")

    @apply_event.register
    def _(self, event: CallerPacket, now: float) -> None:
        state = self.state
        state.last_packet_time = now
        segment = event.segment
        owner = state.ranking.owner_of(segment.key)
        if owner == self.vm or owner is None:
            self.caller_handler.handle_packet(segment, now)
            return
        header = Passing(Stage.TO_OWNER, 1)
        state.out.append(SendToPeer(owner, header, segment.packet))

    @apply_event.register
    def _(self, event: ServerPacket, now: float) -> None:
        self.state.last_packet_time = now
        self.reply_handler.handle_from_fabric(event.segment, event.server, now)

    @apply_event.register
    def _(self, event: PeerPacket, now: float) -> None:
        self.state.last_packet_time = now
        self.peer_handler.handle_packet(event, now)

    @apply_event.register
    def _(self, event: PeerMessage, now: float) -> None:
        if isinstance(event.message, RecordBatch):
            self.table_sweep.batch_exchange.handle_batch(
                event.sender, event.message, now
            )
        elif isinstance(event.message, BatchStored):
            self.table_sweep.batch_exchange.handle_batch_stored(
                event.sender, event.message, now
            )
        else:
            self.table_sweep.batch_exchange.handle_lost_record(event.message, now)

    @apply_event.register
    def _(self, event: ViewChanged, now: float) -> None:
        self.state.ranking.apply_view(event, now)
        self.reassign_pending_flows()

    @apply_event.register
    def _(self, event: RoutesChanged, now: float) -> None:
        self.state.routes.change(event)
        self.owned_services = []
        self.backup_numbers = []

    @apply_event.register
    def _(self, event: FlowPlaced, now: float) -> None:
        self.caller_handler.handle_placed(event, now)

    @apply_event.register
    def _(self, event: FlowRefused, now: float) -> None:
        self.caller_handler.flow_placement.refused(event)

    @apply_event.register
    def _(self, event: Tick, now: float) -> None:
        self.table_sweep.tick(now)

    @apply_event.register
    def _(self, event: Leaving, now: float) -> None:
        self.state.ranking.leave(now)
        self.reassign_pending_flows()

    def reassign_pending_flows(self) -> None:
        """Pass pending flows to their new owners after a change of the view."""
        state = self.state
        self.owned_services = []
        self.backup_numbers = []
        for key in list(state.pending):
            owner = state.ranking.owner_of(key)
            if owner is not None and owner != self.vm:
                self.move_pending_flow(key, owner)

    def move_pending_flow(self, key: FlowKey, owner: VmId) -> None:
        """Pass a pending flow, of which no packet was forwarded, to its new owner."""
        state = self.state
        state.out.append(CancelPlacement(key))
        for segment in state.pending.pop(key).segments:
            header = Passing(Stage.TO_OWNER, 1)
            state.out.append(SendToPeer(owner, header, segment.packet))

    def cache_service_owners(self) -> None:
        """Cache owner and backup VMs of new service numbers for the fast path."""
        ranking = self.state.ranking
        service_keys = self.state.routes.service_keys
        for service_key in service_keys[len(self.owned_services) :]:
            self.owned_services.append(ranking.owns(service_key))
            self.backup_numbers.append(self.backup_numbers_by_zone(service_key))

    def backup_numbers_by_zone(self, service_key: bytes) -> dict[str, int]:
        """Return the number of the backup VM for each availability zone of servers."""
        ranking = self.state.ranking
        zones = {
            ZoneName(""),
            *ranking.vm_zones.values(),
            *self.state.routes.server_zones,
        }
        return {
            zone: ranking.vm_number(ranking.backup(service_key, zone)) for zone in zones
        }

    def route_caller(
        self,
        key: bytes,
        tcp_flags: int,
        seq: int,
        ack: int,
        payload_length: int,
        now: float,
    ) -> bytes | None:
        """Return the server that may get a caller's packet directly from this VM.

        Returns:
            The address of the server, None if the slow path must handle the packet.
        """
        state = self.state
        table = state.table
        slot = table.slots.get(key)  # type: ignore[call-overload]
        if slot is None or tcp_flags & SLOW_PATH_FLAGS:
            return None
        if table.statuses[slot] < ESTABLISHED:
            return None
        routes = state.routes
        server_number = table.servers[slot]
        service_number = table.services[slot]
        if routes.announced[server_number] != routes.service_names[service_number]:
            return None
        role = table.roles[slot]
        if role != OWNER:
            if payload_length or tcp_flags != FLAG_ACK:
                return None
            if now - table.reply_times[slot] > self.settings.learned_fresh_seconds:
                return None
            ack_offset = (
                ack - table.server_nexts[slot] + NARROW_ACK_WINDOW_BYTES
            ) & SEQUENCE_MASK
            if ack_offset > 2 * NARROW_ACK_WINDOW_BYTES:
                return None
            state.last_packet_time = now
            return routes.addresses[server_number]
        if not self.owned_services[service_number]:
            return None
        flow_flags = table.flow_flags[slot]
        backup_number = self.backup_numbers[service_number][
            routes.server_zones[server_number]
        ]
        if backup_number != NO_VM:
            if (
                table.backup_vms[slot] != backup_number
                or not flow_flags & BACKUP_CONFIRMED
            ):
                return None
            if now - table.backup_times[slot] > self.settings.copy_refresh_seconds:
                return None
        if payload_length:
            if not self.track_caller_payload(
                slot, tcp_flags, seq, payload_length, flow_flags
            ):
                return None
        elif not tcp_flags:
            return None
        if tcp_flags and 0 < (ack - table.server_nexts[slot]) & SEQUENCE_MASK < (
            SEQUENCE_HALF
        ):
            table.server_nexts[slot] = ack
        table.caller_times[slot] = now
        state.last_packet_time = now
        return routes.addresses[server_number]

    def track_caller_payload(
        self, slot: int, tcp_flags: int, seq: int, payload_length: int, flow_flags: int
    ) -> bool:
        """Count payload of a caller as work.

        Returns:
            False if the bytes were seen before, so that the slow path must handle them.
        """
        table = self.state.table
        end_seq = (seq + payload_length) & SEQUENCE_MASK
        if tcp_flags:
            progress = (end_seq - table.caller_nexts[slot]) & SEQUENCE_MASK
            if not 0 < progress < SEQUENCE_HALF:
                return False
        table.caller_nexts[slot] = end_seq
        if not flow_flags & WORK_PENDING:
            self.state.start_work(slot)
        elif flow_flags & WORK_PROVISIONAL:
            table.flow_flags[slot] = flow_flags & ~WORK_PROVISIONAL
        return True

    def route_reply(
        self,
        key: bytes,
        tcp_flags: int,
        seq: int,
        ack: int,
        payload_length: int,
        server: bytes,
        now: float,
    ) -> bool:
        """Return whether this VM may forward a server's packet directly to its caller.

        If not, the slow path must handle the packet.
        """
        state = self.state
        table = state.table
        slot = table.slots.get(key)  # type: ignore[call-overload]
        if slot is None or tcp_flags & SLOW_PATH_FLAGS:
            return False
        if table.statuses[slot] < ESTABLISHED:
            return False
        routes = state.routes
        server_number = table.servers[slot]
        if routes.addresses[server_number] != server:
            return False
        service_number = table.services[slot]
        if routes.announced[server_number] != routes.service_names[service_number]:
            return False
        if table.roles[slot] != OWNER:
            if not payload_length or not tcp_flags or ack != table.server_acks[slot]:
                return False
            table.server_nexts[slot] = (seq + payload_length) & SEQUENCE_MASK
        elif not self.owned_services[service_number]:
            return False
        elif not self.track_reply(slot, ack, payload_length, now):
            return False
        table.reply_times[slot] = now
        state.last_packet_time = now
        return True

    def track_reply(self, slot: int, ack: int, payload_length: int, now: float) -> bool:
        """Track a reply as the owner of its flow.

        Returns:
            False if the slow path must handle the reply.
        """
        table = self.state.table
        flow_flags = table.flow_flags[slot]
        if not flow_flags & BACKUP_CONFIRMED and table.backup_vms[slot] != NO_VM:
            return False
        can_skip_ack = (
            ack == table.server_acks[slot] and not self.silence_detector.probed_servers
        )
        if not can_skip_ack or flow_flags & WORK_PENDING or table.strikes[slot]:
            self.silence_detector.handle_reply_ack(slot, ack, now)
        if payload_length and flow_flags & WORK_PENDING:
            self.state.finish_work(slot)
        return True
