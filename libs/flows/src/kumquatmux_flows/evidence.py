"""Validation of acknowledgement numbers against flow records."""

from __future__ import annotations

from kumquatmux_core.segments import FLAG_ACK, FLAG_RST, FLAG_SYN, Segment
from kumquatmux_flows.state import FlowState
from kumquatmux_flows.table import SEQUENCE_MASK, FlowFlag, FlowStatus, Role

NARROW_ACK_WINDOW_BYTES = 1 << 20
"""Window for acknowledgement numbers of half-open flows and on the fast path."""
WIDE_ACK_WINDOW_BYTES = 1 << 28
"""Window for acknowledgement numbers of established flows."""


class AckValidator:
    """Compares acknowledgement numbers with what the server of a record sent."""

    def __init__(self, state: FlowState) -> None:
        self.state = state

    def indicates_other_server(self, slot: int, segment: Segment) -> bool:
        """Return whether a packet belongs to a handshake with another server."""
        table = self.state.table
        if segment.flags & (FLAG_SYN | FLAG_RST) or not segment.flags & FLAG_ACK:
            return False
        next_known = table.flow_flags[slot] & FlowFlag.SERVER_NEXT_KNOWN
        if table.statuses[slot] == FlowStatus.ESTABLISHED:
            is_current = next_known and table.roles[slot] == Role.OWNER
            has_server_next = table.server_nexts[slot] != 0
            return (
                has_server_next
                and not is_current
                and self.ack_outside_window(slot, segment, WIDE_ACK_WINDOW_BYTES)
            )
        if table.statuses[slot] != FlowStatus.HALF_OPEN:
            return False
        if next_known:
            return self.ack_outside_window(slot, segment, NARROW_ACK_WINDOW_BYTES)
        return bool(table.flow_flags[slot] & FlowFlag.PLACED_HERE)

    def ack_outside_window(self, slot: int, segment: Segment, window: int) -> bool:
        """Return whether an acknowledgement number is too far from the server's.

        Args:
            slot: Table slot of the flow.
            segment: Packet with the acknowledgement number.
            window: Largest allowed distance in bytes from the next sequence number that
                the record expects of the server.
        """
        distance = (segment.ack - self.state.table.server_nexts[slot]) & SEQUENCE_MASK
        return min(distance, SEQUENCE_MASK - distance) > window

    def fits_learned_record(self, slot: int, segment: Segment, now: float) -> bool:
        """Return whether a packet fits a record that was only learned from replies."""
        table = self.state.table
        if not self.state.server_permitted(slot) or segment.opens:
            return False
        if not segment.is_tcp:
            age = now - table.reply_times[slot]
            return age < self.state.settings.learned_fresh_seconds
        if not segment.flags & FLAG_ACK:
            return False
        half_open = table.statuses[slot] == FlowStatus.HALF_OPEN
        return not self.ack_outside_window(
            slot,
            segment,
            NARROW_ACK_WINDOW_BYTES if half_open else WIDE_ACK_WINDOW_BYTES,
        )
