"""Placement of new flows, whose packets are held until a server is chosen."""

from __future__ import annotations

from kumquatmux_core.identity import FlowKey
from kumquatmux_core.segments import FLAG_RST, Segment
from kumquatmux_flows.events import (
    AskPlacement,
    CancelPlacement,
    FlowClosed,
    FlowPlaced,
    FlowRefused,
    ResetCaller,
)
from kumquatmux_flows.refusals import Refusal
from kumquatmux_flows.state import FlowState, PendingFlow, ProvisionalSlot
from kumquatmux_flows.table import FlowFlag, FlowStatus, Role


class Placing:
    """Requests servers for new flows; no packet of a held flow is forwarded."""

    def __init__(self, state: FlowState) -> None:
        self.state = state

    def handle_pending_packet(self, segment: Segment) -> None:
        """Handle another packet of a flow that waits for placement."""
        state = self.state
        pending = state.pending[segment.key]
        if segment.flags & FLAG_RST:
            del state.pending[segment.key]
            state.out.append(CancelPlacement(segment.key))
            state.log_decision("flow-cancelled", segment.key, "none", "reset-by-caller")
        elif segment.is_tcp:
            state.drop_packet(Refusal.DUPLICATE_FIRST_PACKET)
        elif len(pending.segments) < state.settings.held_datagram_limit:
            pending.segments.append(segment)
        else:
            state.drop_packet(Refusal.HELD_FULL)

    def request_placement(self, segment: Segment, epoch: int) -> None:
        """Hold the first packet of a flow and request a server for it."""
        state = self.state
        service_number = state.current_service_of(segment.key)
        if service_number is None:
            self.refuse_unknown_service(segment)
        elif state.table.retained_count >= state.settings.flow_limit:
            state.refuse_flow(segment, Refusal.TABLE_FULL)
        elif len(state.pending) >= state.settings.pending_flow_limit:
            state.refuse_flow(segment, Refusal.TABLE_FULL)
        else:
            state.pending[segment.key] = PendingFlow([segment], service_number, epoch)
            state.out.append(
                AskPlacement(segment.key, state.routes.service_names[service_number])
            )

    def refuse_unknown_service(self, segment: Segment) -> None:
        """Refuse a packet to a service address that is not in force on this VM."""
        state = self.state
        if state.routes.revision < 0:
            state.drop_packet(Refusal.TABLE_STALE)
            return
        state.refuse_flow(segment, Refusal.SERVICE_UNKNOWN)

    def retry_placement(self, event: FlowPlaced, pending: PendingFlow) -> None:
        """Request another server if the chosen one may not get the flow.

        After the last attempt the held packets are refused. None of them was forwarded.
        """
        state = self.state
        service_name = state.routes.service_names[pending.service]
        state.out.append(FlowClosed(event.key, event.server))
        state.request_route_refresh(Refusal.SERVER_GONE, service_name, event.server)
        if pending.attempts < state.settings.placement_attempts:
            next_attempt = pending._replace(attempts=pending.attempts + 1)
            state.pending[event.key] = next_attempt
            state.out.append(AskPlacement(event.key, service_name))
            return
        for segment in pending.segments:
            state.refuse_flow(segment, Refusal.SERVER_GONE)

    def refused(self, event: FlowRefused) -> None:
        """Reset the caller of a flow whose placement was refused."""
        pending = self.state.pending.pop(event.key, None)
        if pending is None:
            return
        for segment in pending.segments:
            self.state.out.append(ResetCaller(segment, event.reason))
        self.state.log_decision("flow-refused", event.key, "none", event.reason)

    def add_placed_record(
        self, key: FlowKey, server_number: int, pending: PendingFlow
    ) -> int:
        """Add the record of a flow that this VM placed and return its slot."""
        state = self.state
        table = state.table
        old_slot = table.slots.get(key)
        if old_slot is not None:
            table.remove(old_slot)
        slot = table.add(key, Role.OWNER, server_number, pending.service)
        table.epochs[slot] = pending.epoch
        table.revisions[slot] = max(state.routes.revision, 0)
        table.flow_flags[slot] = FlowFlag.PLACED_HERE
        if not pending.segments[0].is_tcp:
            table.statuses[slot] = FlowStatus.UDP_ACTIVE
        return slot

    def bind_flow(self, event: FlowPlaced, now: float) -> list[Segment]:
        """Bind a flow to the server that placement chose.

        Returns:
            The held packets to forward, none if the flow is not bound.
        """
        state = self.state
        pending = state.pending.pop(event.key, None)
        if pending is None:
            state.out.append(FlowClosed(event.key, event.server))
            return []
        server_number = state.routes.register_server(
            event.server, state.routes.service_names[pending.service]
        )
        if not state.routes.permits_new_flow(server_number, pending.service):
            self.retry_placement(event, pending)
            return []
        slot = self.add_placed_record(event.key, server_number, pending)
        state.log_record("flow-placed", slot, "placement")
        state.start_work(slot)
        state.table.flow_flags[slot] |= FlowFlag.WORK_PROVISIONAL
        expires_at = now + state.settings.provisional_slot_seconds
        state.provisional_slots.append(
            ProvisionalSlot(expires_at, event.key, pending.epoch)
        )
        return pending.segments
