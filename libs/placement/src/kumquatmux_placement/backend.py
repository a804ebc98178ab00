"""Load of one backend server."""

from __future__ import annotations

from collections.abc import Iterable

from kumquatmux_core.identity import ServiceName
from kumquatmux_placement.events import (
    LoadReported,
    Server,
    ServerState,
    SizeClass,
    SlotDigest,
)
from kumquatmux_placement.history import RunTimeHistory
from kumquatmux_placement.peak import RecentPeak
from kumquatmux_placement.settings import PlacementSettings

RUN_TIME_SAMPLE_WEIGHT = 0.1


class Flow:
    """Connection that is bound to a backend server.

    Attributes:
        server_load: Load of the server that it is bound to.
        caller: Caller of the work; empty if unknown.
        run_time_class: Expected run-time class of the work.
        repeatable: Whether the work may be run a second time.
        slot_taken_at: When its work last took a slot, in seconds.
    """

    __slots__ = (
        "server_load",
        "caller",
        "run_time_class",
        "repeatable",
        "slot_taken_at",
    )

    def __init__(
        self,
        server_load: ServerLoad,
        caller: str,
        run_time_class: SizeClass,
        repeatable: bool,
    ) -> None:
        self.server_load = server_load
        self.caller = caller
        self.run_time_class = run_time_class
        self.repeatable = repeatable
        self.slot_taken_at = 0.0


class ServerLoad:
    """Slots and connections in use on one backend server, as counted by its placer.

    The placer of a service is the VM that places the work of the service.

    Attributes:
        settings: Placement settings.
        server: The server as last announced.
        service: Service that the server belongs to.
        history: Run times of earlier work of the service.
        reserved_flows: Flows whose work has not started, by work id, oldest first.
        running_flows: Flows whose work has started and is unanswered, by work id,
            oldest first.
        assumed_slot_expiries: When to release each slot that a failed placer gave, in
            seconds.
        open_connections: Number of open connections.
        mean_short_run_s: Moving mean run time of its short work, in seconds; 0 before
            the first.
        slots_in_use_peak: Peak of slots in use over the period for which load reports
            count.
        backoff_until: End of the pause in placement after shed work, in seconds.
        backoff_s: Length of the last such pause, in seconds.
        reported_busier_until: Until when the server is selected last because it
            reported more slots in use than counted, in seconds.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        service: ServiceName,
        server: Server,
        history: RunTimeHistory,
    ) -> None:
        self.settings = settings
        self.server = server
        self.service = service
        self.history = history
        self.reserved_flows: dict[bytes, Flow] = {}
        self.running_flows: dict[bytes, Flow] = {}
        self.assumed_slot_expiries: list[float] = []
        self.open_connections = 0
        self.mean_short_run_s = 0.0
        self.slots_in_use_peak = RecentPeak(settings.report_fresh_ms / 1000.0)
        self.backoff_until = float("-inf")
        self.backoff_s = 0.0
        self.reported_busier_until = float("-inf")

    def release_expired_slots(self, now: float) -> None:
        """Release the slots whose time limit has passed."""
        _remove_expired(self.reserved_flows, self.settings.reserve_ms, now)
        _remove_expired(self.running_flows, self.settings.stuck_ms, now)
        while self.assumed_slot_expiries and self.assumed_slot_expiries[0] <= now:
            self.assumed_slot_expiries.pop(0)

    @property
    def slots_in_use(self) -> int:
        """Number of slots in use."""
        return (
            len(self.reserved_flows)
            + len(self.running_flows)
            + len(self.assumed_slot_expiries)
        )

    def reserve_slot(self, work_id: bytes, flow: Flow, now: float) -> None:
        """Reserve a slot for placed work."""
        flow.slot_taken_at = now
        self.reserved_flows[work_id] = flow
        self.slots_in_use_peak.record(self.slots_in_use, now)

    def start_work(self, work_id: bytes, flow: Flow, now: float) -> None:
        """Give a slot to work that starts, even if the server has none free."""
        self.reserved_flows.pop(work_id, None)
        flow.slot_taken_at = now
        self.running_flows[work_id] = flow
        self.slots_in_use_peak.record(self.slots_in_use, now)

    def is_in_slow_start(self, now: float) -> bool:
        """Return whether the server announced itself less than ``warm_ms`` ago."""
        return now - self.server.since < self.settings.warm_ms / 1000.0

    def accepts_new_work(self, now: float) -> bool:
        """Return whether the server accepts new work, apart from free slots."""
        return (
            self.server.state is ServerState.READY
            and self.backoff_until <= now
            and self.open_connections < self.server.connections
        )

    def free_slots(self, now: float) -> int:
        """Return how many new work items the server can take."""
        if not self.accepts_new_work(now):
            return 0
        return max(
            self.server.slots - self.slots_in_use + self.slots_free_on_arrival(now), 0
        )

    def slots_free_on_arrival(self, now: float) -> int:
        """Return the slots in another zone that should be free when new work arrives.

        Work that has run for about the mean run time of short work is expected to end
        while new work is on the link. Slots in use beyond those of the server are
        subtracted, so that none is reused twice.
        """
        start_s, end_s = self.expected_end_ages_s()
        if start_s >= end_s:
            return 0
        slots_over_limit = max(self.slots_in_use - self.server.slots, 0)
        slots_about_to_end = sum(
            flow.slot_taken_at + start_s <= now <= flow.slot_taken_at + end_s
            for flow in self.running_flows.values()
        )
        return max(slots_about_to_end - slots_over_limit, 0)

    def expected_end_ages_s(self) -> tuple[float, float]:
        """Return the lowest and highest age at which work should end, in seconds.

        Both are 0 if slots of this server are not reused early.
        """
        is_local = not self.settings.zone or self.server.zone == self.settings.zone
        if (
            is_local
            or not self.settings.bind_ahead
            or not self.history.mean_short_run_s
        ):
            return 0.0, 0.0
        link_s = self.settings.link_cost_ms / 1000.0
        return (
            self.history.mean_short_run_s - link_s,
            self.history.mean_short_run_s + link_s,
        )

    def long_work_slots(self, now: float) -> int:
        """Return the slots in use by work expected or found to be long."""
        long_if_taken_by = now - self.settings.long_ms / 1000.0
        reserved_long = sum(
            flow.run_time_class is SizeClass.LONG
            for flow in self.reserved_flows.values()
        )
        return reserved_long + sum(
            flow.run_time_class is SizeClass.LONG
            or flow.slot_taken_at <= long_if_taken_by
            for flow in self.running_flows.values()
        )

    def record_run_time(self, run_s: float) -> None:
        """Record the run time of answered work, in seconds."""
        if run_s * 1000.0 < self.settings.long_ms:
            self.mean_short_run_s += (run_s - self.mean_short_run_s) * (
                RUN_TIME_SAMPLE_WEIGHT if self.mean_short_run_s else 1.0
            )

    def is_slow(self) -> bool:
        """Return whether its short work runs much longer than the service's mean."""
        return (
            self.mean_short_run_s
            > self.history.mean_short_run_s * self.settings.slow_server_factor
        )

    def start_backoff(self, now: float) -> None:
        """Pause placement after shed work, for longer each time in a row."""
        first_s = self.settings.shed_backoff_ms / 1000.0
        limit_s = self.settings.shed_backoff_limit_ms / 1000.0
        self.backoff_s = min(max(self.backoff_s * 2.0, first_s), limit_s)
        self.backoff_until = now + self.backoff_s

    def apply_load_report(self, report: LoadReported, now: float) -> None:
        """Select the server last while it reports more slots in use than counted."""
        fresh_s = self.settings.report_fresh_ms / 1000.0 - report.age
        if report.busy > max(self.slots_in_use, self.slots_in_use_peak.peak(now)):
            self.reported_busier_until = now + fresh_s

    def digest(self, now: float) -> SlotDigest:
        """Return the slots and connections in use, for the backup VM."""
        return SlotDigest(
            self.server.server,
            self.slots_in_use,
            self.long_work_slots(now),
            self.open_connections,
        )

    def assume_slots(self, digest: SlotDigest, reported_at: float) -> None:
        """Count the slots given by a failed placer until their work should have ended.

        Args:
            digest: Slot usage that the failed placer reported last.
            reported_at: When it was reported, in seconds.
        """
        short_until = reported_at + self.settings.assumed_short_run_ms / 1000.0
        long_until = reported_at + self.settings.assumed_long_run_ms / 1000.0
        known_slots = len(self.reserved_flows) + len(self.running_flows)
        assumed_short = max(digest.busy - digest.long - known_slots, 0)
        self.assumed_slot_expiries = [short_until] * assumed_short + [
            long_until
        ] * digest.long

    def next_slot_release(self, now: float) -> float:
        """Return when a slot may next be released without an event, in seconds."""
        times = [self.backoff_until, *self.assumed_slot_expiries[:1]]
        times += _first_expiry(self.reserved_flows.values(), self.settings.reserve_ms)
        times += _first_expiry(self.running_flows.values(), self.settings.stuck_ms)
        start_s, end_s = self.expected_end_ages_s()
        if start_s < end_s:
            times += [
                flow.slot_taken_at + start_s for flow in self.running_flows.values()
            ]
        return min((time for time in times if time > now), default=float("inf"))


def _remove_expired(flows: dict[bytes, Flow], limit_ms: float, now: float) -> None:
    expired = []
    for work_id, flow in flows.items():
        if flow.slot_taken_at + limit_ms / 1000.0 > now:
            break
        expired.append(work_id)
    for work_id in expired:
        del flows[work_id]


def _first_expiry(flows: Iterable[Flow], limit_ms: float) -> list[float]:
    return [flow.slot_taken_at + limit_ms / 1000.0 for flow in flows][:1]
