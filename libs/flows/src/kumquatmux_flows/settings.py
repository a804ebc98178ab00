"""Settings of the flow engine."""

from __future__ import annotations

from typing import NamedTuple


class FlowSettings(NamedTuple):
    """Time limits in seconds, limits in flows, budgets in bytes per second.

    Attributes:
        flow_limit: Records held as owner or backup before new flows are refused.
        learned_limit: Records that a VM holds only because of replies.
        learned_fresh_seconds: Age of the last reply up to which a learned
            record forwards packets.
        quarantine_seconds: How long a closed flow's key stays bound to its server.
        half_open_seconds: Idle time after which an unfinished handshake is removed.
        established_seconds: Idle time after which an open TCP flow is removed.
        closing_seconds: Idle time after which a half-closed TCP flow is removed.
        datagram_seconds: Idle time after which a UDP flow is removed.
        copy_refresh_seconds: Age at which a packet refreshes the backup copy.
        view_settle_seconds: Time after a change of the membership view in which
            packets of unknown flows are dropped instead of reset.
        partition_hold_seconds: Time after the loss of a VM in which packets of unknown
            flows are dropped instead of reset: a network partition may hide the
            record, and a reply may still show the flow's server.
        provisional_slot_seconds: How long a new flow holds a server slot before its
            caller has sent any bytes.
        held_datagram_limit: UDP datagrams held for one flow during its placement.
        pending_flow_limit: Flows held during their placement.
        placement_attempts: Placement requests for one flow.
        lookup_hop_limit: VMs that the lookup of a record visits.
        owner_hop_limit: VMs that may forward a packet on its way to the owner.
        sweep_seconds: Time in which the sweep visits the whole table once.
        sweep_slots_per_tick: Table slots that the sweep visits in one tick at most.
        repair_bytes_per_second: Budget for sending record batches.
        batch_record_limit: Records in one batch.
        batch_timeout_seconds: Time after which an unconfirmed batch is given up; the
            sweep then sends its records again.
        probe_idle_seconds: Idle time after which both ends of a flow are probed.
        probe_interval_seconds: Time between unanswered probes of one flow.
        probe_limit: Unanswered probes after which a flow counts as silent.
        probes_per_second: Flows probed per second at most.
        silent_retransmit_limit: Retransmissions without progress after which a flow
            counts as silent.
        silent_seconds: Least time over which these retransmissions are counted.
        quiet_seconds: Time without packets after which a VM that shuts down
            reports that its handover is complete.
        refresh_on_failure: Whether a failed route is refreshed at once.
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
