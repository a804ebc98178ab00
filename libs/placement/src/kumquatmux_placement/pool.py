"""Backend servers and queued work of one service."""

from __future__ import annotations

import random

from kumquatmux_core.identity import ServerId, ServiceName
from kumquatmux_placement.backend import ServerLoad
from kumquatmux_placement.choice import (
    SelectedServer,
    is_in_preferred_zone,
    select_server,
)
from kumquatmux_placement.events import Server, ServerState, SizeClass
from kumquatmux_placement.history import RunTimeHistory
from kumquatmux_placement.peak import RecentPeak
from kumquatmux_placement.retry_budget import RetryBudget
from kumquatmux_placement.settings import PlacementSettings
from kumquatmux_placement.waiting import QueuedWork, WaitQueue


class ServerPool:
    """Placement state of one service.

    Attributes:
        settings: Placement settings.
        service: Name of the service.
        server_loads: Loads of its servers and of removed ones with open connections.
        line: Work that waits for a free slot.
        run_time_history: Run times of earlier work of the service, by caller.
        retry_budget: Limit on the retries that may be queued.
        short_work_peak: Recent peak of the slots used by short work.
    """

    def __init__(
        self, settings: PlacementSettings, service: ServiceName, random: random.Random
    ) -> None:
        self.settings = settings
        self.service = service
        self.random = random
        self.server_loads: dict[ServerId, ServerLoad] = {}
        self.line = WaitQueue(settings)
        self.run_time_history = RunTimeHistory(settings)
        self.retry_budget = RetryBudget(settings)
        self.short_work_peak = RecentPeak(settings.short_work_window_ms / 1000.0)

    def use_settings(self, settings: PlacementSettings) -> None:
        """Apply new settings to the pool and its servers."""
        self.settings = settings
        self.run_time_history.settings = settings
        self.retry_budget.settings = settings
        for load in self.server_loads.values():
            load.settings = settings

    def update_servers(self, servers: tuple[Server, ...]) -> None:
        """Replace the list of servers; those missing from it get no new work."""
        announced_ids = {server.server for server in servers}
        for server_id, load in list(self.server_loads.items()):
            if server_id not in announced_ids:
                load.server = load.server._replace(state=ServerState.STALE)
                self.remove_if_unused(load)
        for server in servers:
            if server.server in self.server_loads:
                self.server_loads[server.server].server = server
            else:
                load = ServerLoad(
                    self.settings, self.service, server, self.run_time_history
                )
                self.server_loads[server.server] = load

    def remove_if_unused(self, load: ServerLoad) -> None:
        """Remove a stale server that has no open connections."""
        if load.server.state is ServerState.STALE and load.open_connections == 0:
            self.server_loads.pop(load.server.server, None)

    def release_expired_slots(self, now: float) -> None:
        """Release the slots whose time limit has passed."""
        for load in self.server_loads.values():
            load.release_expired_slots(now)

    def choose_server(
        self, run_time_class: SizeClass, queued_at: float, now: float
    ) -> SelectedServer | None:
        """Return a server for work queued at ``queued_at``, if it can be placed now."""
        if run_time_class is SizeClass.LONG and not self.has_slots_for_long_work(now):
            return None
        return select_server(
            self.server_loads.values(),
            self.settings,
            self.random,
            now,
            allow_other_zones=self.may_spill_to_other_zone(queued_at, now),
        )

    def record_short_work(self, now: float) -> None:
        """Record how many slots short work uses now."""
        loads = self.server_loads.values()
        self.short_work_peak.record(
            sum(load.slots_in_use - load.long_work_slots(now) for load in loads), now
        )

    def has_slots_for_long_work(self, now: float) -> bool:
        """Return whether long work may take another slot.

        Slots are kept clear for short work: as many as short work used recently, up to
        the slots of ``clear_servers`` servers. Long work may always use one slot.
        """
        accepting_loads = [
            load for load in self.server_loads.values() if load.accepts_new_work(now)
        ]
        slots = sum(load.server.slots for load in accepting_loads)
        largest_server_slots = max(
            (load.server.slots for load in accepting_loads), default=0
        )
        long_slots_in_use = sum(
            load.long_work_slots(now) for load in self.server_loads.values()
        )
        slots_kept_clear = min(
            largest_server_slots * self.settings.clear_servers,
            self.short_work_peak.peak(now),
        )
        return long_slots_in_use < max(slots - slots_kept_clear, 1)

    def may_spill_to_other_zone(self, queued_at: float, now: float) -> bool:
        """Return whether waiting for a slot in this zone costs more time than the link.

        It is also true if no server in this zone accepts new work.
        """
        link_s = self.settings.link_cost_ms / 1000.0
        if now >= queued_at + link_s:
            return True
        slots = sum(
            load.server.slots
            for load in self.server_loads.values()
            if is_in_preferred_zone(load, self.settings) and load.accepts_new_work(now)
        )
        if slots == 0:
            return True
        return (
            len(self.line) + 1
        ) * self.run_time_history.mean_short_run_s / slots > link_s

    def expected_wait_s(self, now: float) -> float:
        """Return the expected wait of work that is queued now, in seconds."""
        accepting_loads = [
            load for load in self.server_loads.values() if load.accepts_new_work(now)
        ]
        slots = sum(
            load.server.slots - load.long_work_slots(now) for load in accepting_loads
        )
        return len(self.line) * self.run_time_history.mean_short_run_s / max(slots, 1)

    def next_placeable_work(
        self, now: float
    ) -> tuple[QueuedWork, SelectedServer] | None:
        """Return the queued work that can be placed now and its server."""
        for queue in self.line.queues():
            head = next(iter(queue.values()), None)
            if head is None:
                continue
            selected = self.choose_server(head.run_time_class, head.queued_at, now)
            if selected is not None:
                return head, selected
        return None

    def next_deadline(self, now: float) -> float:
        """Return when queued work must next be checked, in seconds.

        The time is infinite if no work is queued.
        """
        if not self.line:
            return float("inf")
        times = [self.line.next_deadline()]
        times += [load.next_slot_release(now) for load in self.server_loads.values()]
        times += self.next_spill_times(now)
        return min(times)

    def next_spill_times(self, now: float) -> list[float]:
        """Return when the queue heads may go to another zone, in seconds."""
        if not self.settings.zone:
            return []
        link_s = self.settings.link_cost_ms / 1000.0
        queue_heads = [next(iter(queue.values()), None) for queue in self.line.queues()]
        times = [head.queued_at + link_s for head in queue_heads if head is not None]
        return [time for time in times if time > now]
