"""How the flow engine is tuned."""

from __future__ import annotations

from typing import NamedTuple


class FlowSettings(NamedTuple):
    """Times in seconds, limits in flows, budgets in bytes per second.

    Attributes:
        flow_limit: Flows kept as owner or second copy before new ones are refused.
        learned_limit: Flows a VM keeps that it only learned from replies.
        learned_fresh_seconds: How long after a reply a learned record may forward.
        quarantine_seconds: How long a closed key stays with its server.
        half_open_seconds: Idle time after which an unfinished handshake is dropped.
        established_seconds: Idle time after which an open TCP flow is dropped.
        closing_seconds: Idle time after which a half-closed TCP flow is dropped.
        datagram_seconds: Idle time after which a UDP flow is dropped.
        copy_refresh_seconds: Age at which a second copy is refreshed by a packet.
        settle_seconds: How long after a view change an unknown flow is not reset.
        cut_hold_seconds: How long after a loss an unknown flow is not reset, because
            a cut may hide its record and a reply may still show its server.
        opening_grace_seconds: How long a new flow holds a slot without caller bytes.
        held_datagrams: UDP datagrams of one flow held while it is being placed.
        pending_limit: Flows held while they are being placed.
        placement_attempts: How often a flow is offered for placement.
        lookup_hops: VMs a mid-flow packet may visit in search of its record.
        hop_limit: VMs a packet may pass on its way to the owner.
        sweep_seconds: Time of one pass over the whole table.
        sweep_slots: Most table slots looked at in one tick.
        repair_bytes_per_second: Budget of second-copy batches.
        batch_records: Most records in one batch.
        batch_timeout_seconds: Time after which an unconfirmed batch is sent again.
        probe_idle_seconds: Idle time after which both ends of a flow are probed.
        probe_interval_seconds: Time between unanswered probes of one flow.
        probe_limit: Unanswered probes after which a flow is silent.
        probes_per_second: Flows probed in a second at most.
        silent_retransmits: Retransmissions without progress that make a flow silent.
        silent_seconds: Time these retransmissions span at least.
        quiet_seconds: Time without packets after which a leaving VM is quiet.
        refresh_on_failure: Whether a failed route asks for a fresh one at once.
    """

    flow_limit: int = 400_000
    learned_limit: int = 100_000
    learned_fresh_seconds: float = 4.0
    quarantine_seconds: float = 10.0
    half_open_seconds: float = 30.0
    established_seconds: float = 14_400.0
    closing_seconds: float = 120.0
    datagram_seconds: float = 30.0
    copy_refresh_seconds: float = 10.0
    view_settle_seconds: float = 3.0
    partition_hold_seconds: float = 10.0
    provisional_slot_seconds: float = 1.0
    held_datagram_limit: int = 4
    pending_flow_limit: int = 20_000
    placement_attempts: int = 2
    lookup_hop_limit: int = 16
    owner_hop_limit: int = 4
    sweep_seconds: float = 20.0
    sweep_slots_per_tick: int = 4_000
    repair_bytes_per_second: float = 2_000.0
    batch_record_limit: int = 32
    batch_timeout_seconds: float = 1.0
    probe_idle_seconds: float = 30.0
    probe_interval_seconds: float = 5.0
    probe_limit: int = 3
    probes_per_second: float = 50.0
    silent_retransmit_limit: int = 4
    silent_seconds: float = 6.0
    quiet_seconds: float = 3.0
    refresh_on_failure: bool = True
