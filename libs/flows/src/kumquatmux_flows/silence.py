"""Detection and reset of flows that their server no longer answers."""

from __future__ import annotations

from kumquatmux_core.identity import FlowKey
from kumquatmux_core.segments import FLAG_ACK, PROTOCOL_TCP, Segment
from kumquatmux_flows.events import (
    ProbeCaller,
    ProbeServer,
    ResetCaller,
    ResetServer,
)
from kumquatmux_flows.refusals import Refusal
from kumquatmux_flows.state import FlowState
from kumquatmux_flows.table import (
    SEQUENCE_MASK,
    WAS_RESET,
    FlowFlag,
    FlowStatus,
    Role,
    seq_after,
    seq_at_or_after,
)


class Silence:
    """Counts unanswered packets of a flow while its server answers other flows.

    Retransmissions and unanswered probes of a flow are counted. After the first one
    they count only if the server has answered a packet of this VM since the last one:
    a server that is busy, down or cut off answers no flow at all. In case no other flow
    waits for an answer, a reference flow of the server is probed as well.

    Attributes:
        reference_flows: Reference flow of each server number, one that it answered.
        probed_servers: Server numbers whose reference flow was probed without answer.
        probe_due_times: Time in seconds at which each probed flow is probed again.
    """

    def __init__(self, state: FlowState) -> None:
        self.state = state
        self.reference_flows: dict[int, FlowKey] = {}
        self.probed_servers: set[int] = set()
        self.probe_due_times: dict[FlowKey, float] = {}

    def handle_reply_ack(self, slot: int, ack: int, now: float) -> None:
        """Handle the acknowledgement number of a reply.

        It ends the silence of the flow if it is new or covers all bytes of the caller.
        """
        table = self.state.table
        last_ack = table.server_acks[slot]
        is_new_ack = last_ack == 0 or seq_after(ack, last_ack)
        if is_new_ack:
            table.server_acks[slot] = ack
        covers_all = seq_at_or_after(ack, table.caller_nexts[slot])
        if not covers_all and not is_new_ack:
            return
        if table.strikes[slot] or (
            covers_all and table.flow_flags[slot] & FlowFlag.WORK_PENDING
        ):
            self.record_answer(slot, now)
        elif table.servers[slot] in self.probed_servers:
            self.record_reference_answer(slot, now)
        table.strikes[slot] = 0

    def record_answer(self, slot: int, now: float) -> None:
        """Record that the server of a flow answered a packet of this VM."""
        table = self.state.table
        key = table.keys[slot]
        server_number = table.servers[slot]
        self.state.routes.answer_times[server_number] = now
        if key is not None:
            self.reference_flows[server_number] = key
        self.probed_servers.discard(server_number)

    def record_reference_answer(self, slot: int, now: float) -> None:
        """Record the answer of a server to the probe of its reference flow."""
        table = self.state.table
        if self.reference_flows.get(table.servers[slot]) == table.keys[slot]:
            self.record_answer(slot, now)

    def probe_reference_flow(self, slot: int) -> None:
        """Probe the reference flow of a server to test whether the server answers."""
        state = self.state
        table = state.table
        server_number = table.servers[slot]
        key = self.reference_flows.get(server_number)
        slot_to_probe = self.reference_slot(server_number)
        if (
            key is None
            or slot_to_probe is None
            or slot_to_probe == slot
            or state.probe_budget < 1.0
        ):
            return
        state.probe_budget -= 1.0
        self.probed_servers.add(server_number)
        seq = table.server_acks[slot_to_probe] - 1 & SEQUENCE_MASK
        ack = table.server_nexts[slot_to_probe]
        state.out.append(
            ProbeServer(key, state.server_address_of(slot_to_probe), seq, ack)
        )

    def reference_slot(self, server_number: int) -> int | None:
        """Return the slot of a server's reference flow, None if it is not usable."""
        table = self.state.table
        key = self.reference_flows.get(server_number)
        slot = None if key is None else table.slots.get(key)
        if slot is None or table.servers[slot] != server_number:
            return None
        if table.roles[slot] != Role.OWNER or not self.state.server_permitted(slot):
            return None
        return slot if table.statuses[slot] == FlowStatus.ESTABLISHED else None

    def offer_reference_flow(self, slot: int, key: FlowKey, now: float) -> None:
        """Make an answered flow the reference flow if its server has no usable one."""
        table = self.state.table
        if table.statuses[slot] != FlowStatus.ESTABLISHED or table.strikes[slot]:
            return
        if now - table.reply_times[slot] > self.state.settings.probe_idle_seconds:
            return
        current_reference = self.reference_slot(table.servers[slot])
        if current_reference is None or table.strikes[current_reference]:
            self.reference_flows[table.servers[slot]] = key

    def strike(self, slot: int, min_gap_seconds: float, now: float) -> None:
        """Count a retransmission or probe, but not two within a gap.

        Args:
            slot: Table slot of the flow.
            min_gap_seconds: Least time between two counted packets.
            now: Time in seconds.
        """
        state = self.state
        table = state.table
        last_counted_time = table.strike_times[slot]
        if table.strikes[slot] == 0:
            table.strikes[slot] = 1
        elif now - last_counted_time < min_gap_seconds:
            return
        elif state.routes.answer_times[table.servers[slot]] > last_counted_time:
            table.strikes[slot] = min(table.strikes[slot] + 1, WAS_RESET - 1)
        table.strike_times[slot] = now
        self.probe_reference_flow(slot)

    def handle_retransmission(self, slot: int, segment: Segment, now: float) -> None:
        """Count a retransmission and reset the flow if the limit is exceeded."""
        state = self.state
        settings = state.settings
        min_gap_seconds = settings.silent_seconds / settings.silent_retransmit_limit
        self.strike(slot, min_gap_seconds, now)
        if state.table.strikes[slot] <= settings.silent_retransmit_limit:
            return
        state.out.append(
            ResetServer(segment.key, state.server_address_of(slot), segment.seq)
        )
        state.out.append(ResetCaller(segment, Refusal.SILENT))
        self.close_reset_flow(slot, Refusal.SILENT, now)

    def close_reset_flow(self, slot: int, reason: Refusal, now: float) -> None:
        """Close a flow that was reset."""
        self.state.close_flow(slot, reason, now)
        self.state.table.strikes[slot] = WAS_RESET

    def probe_idle_flow(self, slot: int, key: FlowKey, now: float) -> None:
        """Probe both ends of an idle TCP flow, or reset it if the limit is exceeded."""
        state = self.state
        table = state.table
        settings = state.settings
        if table.statuses[slot] != FlowStatus.ESTABLISHED or key[0] != PROTOCOL_TCP:
            return
        if now - table.reply_times[slot] < settings.probe_idle_seconds:
            return
        since_last_probe = now - table.strike_times[slot]
        if table.strikes[slot] and since_last_probe < settings.probe_interval_seconds:
            return
        if state.probe_budget < 1.0:
            return
        state.probe_budget -= 1.0
        self.strike(slot, settings.probe_interval_seconds, now)
        if table.strikes[slot] > settings.probe_limit:
            self.send_resets(slot, key, Refusal.SILENT)
            self.close_reset_flow(slot, Refusal.SILENT, now)
            return
        self.send_probes(slot, key)
        self.probe_due_times[key] = now + settings.probe_interval_seconds

    def probe_due_flows(self, now: float) -> None:
        """Probe unanswered flows again when due, without waiting for the sweep."""
        table = self.state.table
        for key in [
            key for key, due_time in self.probe_due_times.items() if due_time < now
        ]:
            del self.probe_due_times[key]
            slot = table.slots.get(key)
            if slot is None or table.roles[slot] != Role.OWNER:
                continue
            if not self.state.server_permitted(slot):
                continue
            if table.strikes[slot]:
                self.probe_idle_flow(slot, key, now)

    def send_probes(self, slot: int, key: FlowKey) -> None:
        """Send one keepalive probe to each end whose sequence numbers are known.

        The sequence number of a probe is that of the last byte its receiver
        acknowledged. Its acknowledgement number is the other end's last one.
        """
        state = self.state
        table = state.table
        server_ack = table.server_acks[slot]
        caller_ack = table.server_nexts[slot]
        seq = (server_ack or table.caller_nexts[slot]) - 1 & SEQUENCE_MASK
        state.out.append(
            ProbeServer(key, state.server_address_of(slot), seq, caller_ack)
        )
        if server_ack and table.flow_flags[slot] & FlowFlag.SERVER_NEXT_KNOWN:
            seq = caller_ack - 1 & SEQUENCE_MASK
            state.out.append(ProbeCaller(key, seq, server_ack))

    def send_resets(self, slot: int, key: FlowKey, reason: Refusal) -> None:
        """Reset both ends with the sequence numbers known to this VM.

        A caller with newer numbers ignores the reset but answers the probe sent with
        it. The answer carries the numbers for a reset that it accepts.
        """
        state = self.state
        table = state.table
        server_ack = table.server_acks[slot] or table.caller_nexts[slot]
        caller_ack = table.server_nexts[slot]
        if state.server_permitted(slot):
            state.out.append(
                ResetServer(key, state.server_address_of(slot), server_ack)
            )
        segment = Segment(key, FLAG_ACK, server_ack, caller_ack, 0, b"")
        state.out.append(ResetCaller(segment, reason))
        probe_seq = caller_ack - 1 & SEQUENCE_MASK
        state.out.append(ProbeCaller(key, probe_seq, server_ack))

    def repeat_reset(self, slot: int, key: FlowKey, now: float) -> None:
        """Reset a silent flow again during its quarantine, since resets can be lost."""
        state = self.state
        if state.table.strikes[slot] != WAS_RESET or state.probe_budget < 1.0:
            return
        if state.is_quarantined(slot, now):
            state.probe_budget -= 1.0
            self.send_resets(slot, key, Refusal.SILENT)
