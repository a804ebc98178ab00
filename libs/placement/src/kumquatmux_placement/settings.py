"""What operators can set about admission and placement."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import ZoneName


class PlacementSettings(NamedTuple):
    """Settings of admission and placement, the same for all services of a VM.

    Attributes:
        zone: Availability zone of this VM; empty for no preference.
        revision: Settings revision, for the decision lines.
        hold_ms: How long work without a free slot is held before it is refused.
        standing_queue_hold_ms: How long it is held while held work does not run out.
        standing_queue_after_ms: After how long without an empty line that begins.
        queue_limit: Pieces of work held for one service at most.
        long_ms: Work that runs longer counts as long.
        clear_servers: Servers whose worth of slots is kept clear of long work, if
            short work needed that many of late.
        short_work_window_ms: For how long slots stay clear after short work used them.
        warm_ms: For how long a new server is used last.
        shed_backoff_ms: First pause in placing after a server shed work.
        shed_backoff_limit_ms: Longest such pause.
        link_cost_ms: What a server in another availability zone costs in time.
        early_slot_reuse: Whether a slot in another availability zone is given again while
            its answer is expected to be on the way.
        reserve_ms: How long an opened but silent connection keeps its slot.
        stuck_ms: How long unanswered work keeps its slot.
        assumed_short_run_ms: How long short work of a lost placer is assumed to run.
        assumed_long_run_ms: How long its long work is assumed to run.
        report_fresh_ms: Age up to which a load report counts.
        slow_server_factor: From how many times the service's mean run time of short work on
            a server counts as slow.
        retry_ratio: Retries allowed for each first attempt.
        retry_burst: Retries allowed at once.
        history_caller_limit: Callers whose work sizes are remembered for one service.
        ended_work_ttl_ms: How long ended work is remembered against repeats.
        ended_work_limit: Pieces of ended work remembered at most.
    """

    zone: ZoneName = ZoneName("")
    revision: int = 0
    hold_ms: float = 1000.0
    standing_queue_hold_ms: float = 400.0
    standing_queue_after_ms: float = 1000.0
    queue_limit: int = 1000
    long_ms: float = 200.0
    clear_servers: int = 2
    short_work_window_ms: float = 10_000.0
    warm_ms: float = 10_000.0
    shed_backoff_ms: float = 100.0
    shed_backoff_limit_ms: float = 5000.0
    link_cost_ms: float = 10.0
    early_slot_reuse: bool = True
    reserve_ms: float = 1000.0
    stuck_ms: float = 60_000.0
    assumed_short_run_ms: float = 200.0
    assumed_long_run_ms: float = 2000.0
    report_fresh_ms: float = 2000.0
    slow_server_factor: float = 1.5
    retry_ratio: float = 0.1
    retry_burst: int = 10
    history_caller_limit: int = 4096
    ended_work_ttl_ms: float = 120_000.0
    ended_work_limit: int = 65_536
