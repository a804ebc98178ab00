"""Admission and placement of work on backend servers."""

from __future__ import annotations

import random
from functools import singledispatchmethod

from kumquatmux_core import decisions
from kumquatmux_core.identity import ServerId, ServiceName
from kumquatmux_placement.backend import Flow, ServerLoad
from kumquatmux_placement.choice import SelectedServer
from kumquatmux_placement.events import (
    Adopted,
    Answered,
    Cancel,
    Cancelled,
    Closed,
    Event,
    Held,
    LoadReported,
    Outcome,
    OutcomeLost,
    Placed,
    Refused,
    ServersChanged,
    Shed,
    SizeClass,
    SlotDigest,
    Started,
    Submit,
    Tick,
    Unknown,
    Work,
)
from kumquatmux_placement.memory import RecentWorkIds
from kumquatmux_placement.pool import ServerPool
from kumquatmux_placement.settings import PlacementSettings
from kumquatmux_placement.waiting import QueuedWork


class Admission:
    """Places work of any number of services on servers with free slots.

    Work that finds no free slot is held and bound to a server when a slot is released.

    Attributes:
        settings: Placement settings.
        pools: Server pool of each service.
        flows: Open flows of placed work, by work id.
        load_by_server: Load of each backend server, by server id.
        recently_refused: Ids of recently refused work, to recognize retries.
        unknown_outcomes: Ids of work with an unknown outcome that must not be repeated.
        now: Time of the latest event, in seconds.
    """

    def __init__(self, settings: PlacementSettings, random: random.Random) -> None:
        self.settings = settings
        self.random = random
        self.pools: dict[ServiceName, ServerPool] = {}
        self.flows: dict[bytes, Flow] = {}
        self.load_by_server: dict[ServerId, ServerLoad] = {}
        self.recently_refused = RecentWorkIds(settings)
        self.unknown_outcomes = RecentWorkIds(settings)
        self.now = float("-inf")

    def handle(self, event: Event, now: float) -> list[Outcome]:
        """Apply one event and return the outcomes.

        Args:
            event: The event.
            now: Current time, in seconds; an earlier time than the last one is ignored.

        Returns:
            Outcomes for the work of the event and for held work that was decided.
        """
        self.now = max(now, self.now)
        outcomes = self.apply_event(event)
        for outcome in outcomes:
            self.log_decision(outcome)
        return outcomes

    def use_settings(self, settings: PlacementSettings) -> None:
        """Apply new settings; work in progress stays as it is."""
        self.settings = settings
        self.recently_refused.settings = settings
        self.unknown_outcomes.settings = settings
        for pool in self.pools.values():
            pool.use_settings(settings)

    def next_deadline(self) -> float:
        """Return when a ``Tick`` is next needed, in seconds; infinite if never."""
        deadlines = [pool.next_deadline(self.now) for pool in self.pools.values()]
        return min(deadlines, default=float("inf"))

    def digest(self, service: ServiceName) -> tuple[SlotDigest, ...]:
        """Return the slot usage of each server of a service for the backup VM."""
        pool = self.pool_for(service)
        pool.release_expired_slots(self.now)
        return tuple(load.digest(self.now) for load in pool.server_loads.values())

    def restore(
        self, digest: tuple[SlotDigest, ...], now: float, *, age_s: float = 0.0
    ) -> None:
        """Count the slots given by a failed placer until their work should have ended.

        Args:
            digest: Slot usage that the failed placer reported last; call this after
                ``ServersChanged``.
            now: Current time, in seconds.
            age_s: How long ago the usage was reported, in seconds.
        """
        self.now = max(now, self.now)
        for entry in digest:
            load = self.load_by_server.get(entry.server)
            if load is not None:
                load.assume_slots(entry, self.now - age_s)

    def stand_down(self, service: ServiceName, now: float) -> None:
        """Remove the placed work of a service that another VM places from now on.

        Its answers no longer pass through this VM, so its slots would never be
        released.
        """
        self.now = max(now, self.now)
        for work_id, flow in list(self.flows.items()):
            if flow.server_load.service == service:
                self.release_slot(work_id, flow, answered=False)
                self.remove_flow(work_id, flow)

    def pool_for(self, service: ServiceName) -> ServerPool:
        """Return the server pool of a service, created if needed."""
        if service not in self.pools:
            self.pools[service] = ServerPool(self.settings, service, self.random)
        return self.pools[service]

    @singledispatchmethod
    def apply_event(self, event: Event) -> list[Outcome]:
        """Apply one event at the current time and return the outcomes."""
        raise TypeError(f"unsupported event: {event!r}")

    @apply_event.register
    def _(self, event: Submit) -> list[Outcome]:
        work = event.work
        pool = self.pool_for(work.service)
        pool.release_expired_slots(self.now)
        repeated = self.repeat_outcome(work, pool)
        if repeated is not None:
            return [*repeated, *self.process_queue(pool)]
        outcomes = self.process_queue(pool)
        return [*outcomes, self.admit(work, pool)]

    @apply_event.register
    def _(self, event: Started) -> list[Outcome]:
        flow = self.find_or_adopt_flow(event.work_id, event.server)
        if flow is None or event.work_id in flow.server_load.running_flows:
            return []
        flow.server_load.start_work(event.work_id, flow, self.now)
        return []

    @apply_event.register
    def _(self, event: Answered) -> list[Outcome]:
        flow = self.find_or_adopt_flow(event.work_id, event.server)
        if flow is None:
            return []
        self.release_slot(event.work_id, flow, answered=True)
        return self.process_queue(self.pool_for(flow.server_load.service))

    @apply_event.register
    def _(self, event: Closed) -> list[Outcome]:
        flow = self.flows.get(event.work_id)
        if flow is None or flow.server_load.server.server != event.server:
            return []
        self.release_slot(event.work_id, flow, answered=False)
        self.remove_flow(event.work_id, flow)
        return self.process_queue(self.pool_for(flow.server_load.service))

    @apply_event.register
    def _(self, event: Adopted) -> list[Outcome]:
        load = self.load_by_server.get(event.server)
        if load is None or event.work_id in self.flows:
            return []
        self.add_flow(event.work_id, Flow(load, "", SizeClass.UNKNOWN, False))
        return []

    @apply_event.register
    def _(self, event: Shed) -> list[Outcome]:
        flow = self.flows.get(event.work_id)
        if flow is None or flow.server_load.server.server != event.server:
            return []
        flow.server_load.start_backoff(self.now)
        return self.end_with_unknown_outcome(event.work_id, flow)

    @apply_event.register
    def _(self, event: Cancel) -> list[Outcome]:
        for pool in self.pools.values():
            if pool.line.remove(event.work_id) is not None:
                return [Cancelled(event.work_id, pool.service)]
        return []

    @apply_event.register
    def _(self, event: OutcomeLost) -> list[Outcome]:
        flow = self.flows.get(event.work_id)
        if flow is not None:
            return self.end_with_unknown_outcome(event.work_id, flow)
        cancelled = self.apply_event(Cancel(event.work_id))
        if not cancelled:
            self.unknown_outcomes.add(event.work_id, self.now)
        return cancelled

    @apply_event.register
    def _(self, event: ServersChanged) -> list[Outcome]:
        pool = self.pool_for(event.service)
        pool.update_servers(event.servers)
        for server_id, load in pool.server_loads.items():
            self.load_by_server[server_id] = load
        for server_id, load in list(self.load_by_server.items()):
            if load.service == event.service and server_id not in pool.server_loads:
                del self.load_by_server[server_id]
        return self.process_queue(pool)

    @apply_event.register
    def _(self, event: LoadReported) -> list[Outcome]:
        load = self.load_by_server.get(event.server)
        if load is not None:
            load.apply_load_report(event, self.now)
        return []

    @apply_event.register
    def _(self, event: Tick) -> list[Outcome]:
        outcomes: list[Outcome] = []
        for pool in self.pools.values():
            if pool.line:
                outcomes += self.process_queue(pool)
        return outcomes

    def repeat_outcome(self, work: Work, pool: ServerPool) -> list[Outcome] | None:
        """Return the outcomes of work that was submitted before, if it was."""
        flow = self.flows.get(work.work_id)
        if flow is not None:
            server = flow.server_load.server.server
            placed = Placed(
                work.work_id, work.service, server, "already-placed", 1, 0.0
            )
            return [placed]
        queued = pool.line.get(work.work_id)
        if queued is not None:
            return [Held(work.work_id, work.service, queued.expires_at)]
        if not work.repeatable and self.unknown_outcomes.contains(
            work.work_id, self.now
        ):
            return [Unknown(work.work_id, work.service, ServerId(""))]
        return None

    def admit(self, work: Work, pool: ServerPool) -> Outcome:
        """Place, hold or refuse new work."""
        run_time_class = pool.run_time_history.expected_class(work)
        is_retry = work.attempt > 0 or self.recently_refused.contains(
            work.work_id, self.now
        )
        if not is_retry:
            pool.retry_budget.record_first_attempt()
        if not self.must_queue_behind(run_time_class, pool):
            selected = pool.choose_server(run_time_class, self.now, self.now)
            if selected is not None:
                return self.place_work(
                    QueuedWork(work, run_time_class, self.now, self.now), selected
                )
        reason = self.refusal_reason(work, pool, is_retry=is_retry)
        if reason:
            return self.refuse_work(work, reason, self.now)
        expires_at = min(self.now + self.settings.hold_ms / 1000.0, work.deadline)
        pool.line.enqueue(QueuedWork(work, run_time_class, self.now, expires_at))
        return Held(work.work_id, work.service, expires_at)

    def must_queue_behind(self, run_time_class: SizeClass, pool: ServerPool) -> bool:
        """Return whether queued work goes before new work of this run-time class."""
        queued_first = pool.line.short_queue
        return bool(queued_first) or (
            run_time_class is SizeClass.LONG and bool(pool.line.long_queue)
        )

    def refusal_reason(self, work: Work, pool: ServerPool, *, is_retry: bool) -> str:
        """Return the reason code if work cannot be held, or an empty string."""
        if not any(
            load.accepts_new_work(self.now) for load in pool.server_loads.values()
        ):
            return "no-server"
        if len(pool.line) >= self.settings.queue_limit:
            return "queue-full"
        hold_s = pool.line.max_hold_s(self.now)
        if pool.expected_wait_s(self.now) > min(hold_s, work.deadline - self.now):
            return "wait-too-long"
        if is_retry and not pool.retry_budget.try_take_token():
            return "retry-budget"
        return ""

    def process_queue(self, pool: ServerPool) -> list[Outcome]:
        """Place the queued work that can be placed and refuse work held too long."""
        pool.release_expired_slots(self.now)
        outcomes: list[Outcome] = []
        if not pool.line:
            return outcomes
        while (found := pool.next_placeable_work(self.now)) is not None:
            queued, selected = found
            pool.line.remove(queued.work.work_id)
            outcomes.append(self.place_work(queued, selected))
        for queued in pool.line.remove_expired(self.now):
            outcomes.append(
                self.refuse_work(queued.work, "held-too-long", queued.queued_at)
            )
        return outcomes

    def place_work(self, queued: QueuedWork, selected: SelectedServer) -> Outcome:
        """Bind work permanently to a server and reserve a slot for it."""
        work = queued.work
        flow = Flow(
            selected.server_load, work.caller, queued.run_time_class, work.repeatable
        )
        self.add_flow(work.work_id, flow)
        selected.server_load.reserve_slot(work.work_id, flow, self.now)
        if queued.run_time_class is not SizeClass.LONG:
            self.pool_for(work.service).record_short_work(self.now)
        return Placed(
            work.work_id,
            work.service,
            selected.server_load.server.server,
            selected.reason,
            selected.candidate_count,
            self.now - queued.queued_at,
        )

    def refuse_work(self, work: Work, reason: str, queued_at: float) -> Outcome:
        """Refuse work of which nothing was forwarded to a server."""
        self.recently_refused.add(work.work_id, self.now)
        return Refused(work.work_id, work.service, reason, self.now - queued_at)

    def add_flow(self, work_id: bytes, flow: Flow) -> None:
        """Add the flow of placed work and count its connection."""
        self.flows[work_id] = flow
        flow.server_load.open_connections += 1

    def find_or_adopt_flow(self, work_id: bytes, server: ServerId) -> Flow | None:
        """Return the flow of work on a server; add the flow if the work is unknown.

        Returns:
            The flow, or None if it is bound to another server or the server is unknown.
        """
        flow = self.flows.get(work_id)
        if flow is not None:
            return flow if flow.server_load.server.server == server else None
        load = self.load_by_server.get(server)
        if load is None:
            return None
        flow = Flow(load, "", SizeClass.UNKNOWN, False)
        self.add_flow(work_id, flow)
        return flow

    def release_slot(self, work_id: bytes, flow: Flow, *, answered: bool) -> None:
        """Release the slot of work and record its run time if it was answered."""
        load = flow.server_load
        load.reserved_flows.pop(work_id, None)
        if load.running_flows.pop(work_id, None) is None:
            return
        run_s = self.now - flow.slot_taken_at
        if answered:
            load.backoff_s = 0.0
            load.record_run_time(run_s)
            self.pool_for(load.service).run_time_history.record_run_time(
                flow.caller, run_s
            )

    def remove_flow(self, work_id: bytes, flow: Flow) -> None:
        """Remove the flow of work and stop counting its connection."""
        del self.flows[work_id]
        flow.server_load.open_connections -= 1
        self.pool_for(flow.server_load.service).remove_if_unused(flow.server_load)

    def end_with_unknown_outcome(self, work_id: bytes, flow: Flow) -> list[Outcome]:
        """End placed work for which it is unknown whether it ran."""
        self.release_slot(work_id, flow, answered=False)
        self.remove_flow(work_id, flow)
        if not flow.repeatable:
            self.unknown_outcomes.add(work_id, self.now)
        unknown = Unknown(
            work_id, flow.server_load.service, flow.server_load.server.server
        )
        return [unknown, *self.process_queue(self.pool_for(flow.server_load.service))]

    def log_decision(self, outcome: Outcome) -> None:
        """Write the decision log line of one outcome."""
        event_name = type(outcome).__name__.lower()
        fields = outcome._asdict()
        fields["work_id"] = outcome.work_id.hex()
        decisions.log(event_name, **fields, revision=self.settings.revision)
