"""Settings of admission and placement."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import ZoneName


class PlacementSettings(NamedTuple):
    """Settings of admission and placement for a service.

    Attributes:
        zone: Availability zone of this VM; empty for no preference.
        revision: Settings revision, for the decision log.
        hold_ms: How long work without a free slot is held before it is refused.
        crest_hold_ms: How long it is held while the queue is a standing queue.
        standing_queue_after_ms: A queue that is not empty for this time is a standing
            queue.
        queue_limit: Maximum number of work items held for one service.
        long_ms: Work that runs for at least this time counts as long.
        clear_servers: Number of servers whose slots are kept clear of long work, if
            short work needed that many recently.
        short_work_window_ms: How long slots are kept clear after short work used them.
        warm_ms: How long a new server is selected last (slow start).
        shed_backoff_ms: First pause in placement after a server shed work.
        shed_backoff_limit_ms: Longest such pause.
        link_cost_ms: Time that using a server in another availability zone costs.
        bind_ahead: Whether a slot in another availability zone is given to new
            work while its answer is expected to be on the way.
        reserve_ms: How long work that was placed but has not started keeps its slot.
        stuck_ms: How long started but unanswered work keeps its slot.
        assumed_short_run_ms: Assumed run time of short work of a failed placer.
        assumed_long_run_ms: Assumed run time of long work of a failed placer.
        report_fresh_ms: Age up to which a load report counts.
        slow_server_factor: A server is slow if the mean run time of its short work is
            more than this many times the mean of the service.
        retry_ratio: Retries allowed for each first attempt.
        retry_burst: Retries allowed at once.
        history_caller_limit: Maximum number of callers in the run-time history of one
            service.
        ended_work_ttl_ms: How long the ids of ended work are remembered.
        ended_work_limit: Maximum number of ids of ended work that are remembered.
    """

    zone: ZoneName = ZoneName("")
    revision: int = 0
    hold_ms: float = 1000.0
    crest_hold_ms: float = 400.0
    standing_queue_after_ms: float = 1000.0
    queue_limit: int = 1000
    long_ms: float = 200.0
    clear_servers: int = 2
    short_work_window_ms: float = 10_000.0
    warm_ms: float = 10_000.0
    shed_backoff_ms: float = 100.0
    shed_backoff_limit_ms: float = 5000.0
    link_cost_ms: float = 10.0
    bind_ahead: bool = True
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
