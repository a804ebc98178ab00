"""Tracking of the progress of flows by the packets of their callers."""

from __future__ import annotations

from kumquatmux_core.segments import FLAG_ACK, FLAG_FIN, FLAG_RST, Segment
from kumquatmux_flows.silence import Silence
from kumquatmux_flows.state import FlowState
from kumquatmux_flows.table import FlowFlag, FlowStatus, next_seq, seq_after


class FlowTracker:
    """Tracks the handshake, the work and the end of the flows that this VM owns."""

    def __init__(self, state: FlowState, silence_detector: Silence) -> None:
        self.state = state
        self.silence_detector = silence_detector

    def track_packet(self, slot: int, segment: Segment, now: float) -> None:
        """Track the handshake, the work and the retransmissions of a flow."""
        table = self.state.table
        if segment.opens:
            table.caller_isns[slot] = segment.seq
        elif table.statuses[slot] == FlowStatus.HALF_OPEN:
            table.statuses[slot] = FlowStatus.ESTABLISHED
        if segment.is_tcp and segment.flags & FLAG_ACK:
            self.track_ack(slot, segment)
        if segment.payload_length:
            self.track_payload(slot, segment, now)
        elif seq_after(next_seq(segment), table.caller_nexts[slot]) or segment.opens:
            table.caller_nexts[slot] = next_seq(segment)
            table.flow_flags[slot] |= FlowFlag.CALLER_NEXT_KNOWN

    def track_ack(self, slot: int, segment: Segment) -> None:
        """Update the server's next sequence number from an acknowledgement."""
        table = self.state.table
        next_known = table.flow_flags[slot] & FlowFlag.SERVER_NEXT_KNOWN
        if not next_known or seq_after(segment.ack, table.server_nexts[slot]):
            table.server_nexts[slot] = segment.ack
            table.flow_flags[slot] |= FlowFlag.SERVER_NEXT_KNOWN

    def track_payload(self, slot: int, segment: Segment, now: float) -> None:
        """Count new bytes as work and old bytes as a retransmission."""
        table = self.state.table
        end_seq = next_seq(segment)
        next_known = table.flow_flags[slot] & FlowFlag.CALLER_NEXT_KNOWN
        table.flow_flags[slot] &= ~FlowFlag.WORK_PROVISIONAL & 0xFF
        if (
            segment.is_tcp
            and next_known
            and not seq_after(end_seq, table.caller_nexts[slot])
        ):
            self.silence_detector.handle_retransmission(slot, segment, now)
            return
        table.caller_nexts[slot] = end_seq
        table.flow_flags[slot] |= FlowFlag.CALLER_NEXT_KNOWN
        self.state.start_work(slot)

    def track_close(self, slot: int, segment: Segment, now: float) -> None:
        """Close a flow on RST and track its FIN."""
        state = self.state
        table = state.table
        if segment.flags & FLAG_RST:
            state.close_flow(slot, "reset-by-caller", now)
        elif segment.flags & FLAG_FIN:
            table.flow_flags[slot] |= FlowFlag.CALLER_FIN
            self.handle_fin(slot, now)

    def handle_fin(self, slot: int, now: float) -> None:
        """Handle a FIN; the flow is closed once both ends have sent one."""
        table = self.state.table
        flow_flags = table.flow_flags[slot]
        if flow_flags & FlowFlag.CALLER_FIN and flow_flags & FlowFlag.SERVER_FIN:
            self.state.close_flow(slot, "finished", now)
        elif table.statuses[slot] != FlowStatus.CLOSED:
            table.statuses[slot] = FlowStatus.CLOSING
