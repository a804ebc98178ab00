"""Decides which servers that started or recovered may get a new flow now."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import ServiceName, VmId
from kumquatmux_tokens.answer_times import AnswerTimes
from kumquatmux_tokens.deferred_openings import DeferredOpenings, remove_before
from kumquatmux_tokens.directory import ServerDirectory, ServerEntry
from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.placers import CoordinatorSelector
from kumquatmux_tokens.routes import RouteTable
from kumquatmux_tokens.server_pace import PacedAnswers, PaceReport, ServerPace
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.warm_up import BudgetTenure, WarmUpBudget


class Withheld(NamedTuple):
    """Servers of a service that get no new flow now.

    Attributes:
        tokens: Tokens of all of them.
        soon_free: Tokens of those that this VM may place a flow on soon.
    """

    tokens: frozenset[int]
    soon_free: frozenset[int]


NONE_WITHHELD = Withheld(frozenset(), frozenset())


class AnswerCounts:
    """Answers and faults of one server since the report before."""

    __slots__ = ("answers", "faults")

    def __init__(self) -> None:
        self.answers = 0
        self.faults = 0


class RecoveringServers:
    """Applies the warm-up budget and the pace to the servers of some services.

    Both apply where the settings limit the openings at a cold server and the document
    gives the service a warm-up. Servers of other services are never withheld.

    Attributes:
        tenure: Tells for which services this VM holds the warm-up budget.
        budget: Openings granted at cold servers.
        pace: Limits of the requests in progress.
        cold_tokens: Tokens of the servers that reported a warm-up, by service.
        watched_until: Times until which a coordinator is told of the answers of a
            server that it paces, by token.
        counts: What the coordinators are to be told of, by token.
        answer_times: Tells whether an answer of a server came in time.
        deferred: Openings that wait for a withheld server.
    """

    def __init__(
        self,
        settings: TokenRouterSettings,
        directory: ServerDirectory,
        load_tracker: LoadTracker,
        coordinators: CoordinatorSelector,
        route_table: RouteTable,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.coordinators = coordinators
        self.route_table = route_table
        self.tenure = BudgetTenure(settings, coordinators, route_table)
        self.budget = WarmUpBudget(settings)
        self.pace = ServerPace(settings, directory, load_tracker)
        self.cold_tokens: dict[ServiceName, set[int]] = {}
        self.watched_until: dict[int, float] = {}
        self.counts: dict[int, AnswerCounts] = {}
        self.answer_times = AnswerTimes(settings, route_table)
        self.deferred = DeferredOpenings(settings.syn_buffer_limit)
        if settings.warm_up_limits is not None:
            load_tracker.observer = self

    def is_limited(self, service: ServiceName) -> bool:
        """Return whether a service's servers are subject to budget and pace."""
        has_limits = self.settings.warm_up_limits is not None
        return has_limits and service in self.route_table.warm_ups

    def is_cold(self, entry: ServerEntry, now: float) -> bool:
        """Return whether a server gets openings only on a grant."""
        is_warming_up = entry.warm_up_ends_at > now
        return is_warming_up and self.is_limited(entry.record.report.service)

    def may_open(self, entry: ServerEntry, now: float) -> bool:
        """Return whether the warm-up budget lets this VM send an opening to a server.

        The pace is left out: a copy of an opening adds no request.
        """
        if not self.is_cold(entry, now):
            return True
        service = entry.record.report.service
        if not self._may_grant(entry, now):
            return False
        return self.budget.has_room(entry, self.route_table.warm_ups[service], now)

    def withheld(self, service: ServiceName, now: float) -> Withheld:
        """Return the servers of a service that get no new flow now."""
        if not self.is_limited(service):
            return NONE_WITHHELD
        cold = [
            entry
            for entry in self._cold_entries(service, now)
            if not self.may_open(entry, now)
        ]
        full = self.pace.full_tokens(service, now)
        if not cold and not full:
            return NONE_WITHHELD
        granted_elsewhere = {
            entry.token for entry in cold if not self._may_grant(entry, now)
        }
        tokens = frozenset(full).union(entry.token for entry in cold)
        return Withheld(tokens, tokens - granted_elsewhere)

    def note_placement(self, flow_key: bytes, entry: ServerEntry, now: float) -> None:
        """Count an opening that this VM sends, or has another VM send, to a server.

        Those at a warm server count too: it may be cold already, as it has just started
        again and its first report is on its way.
        """
        if self.is_limited(entry.record.report.service):
            self.deferred.remove(flow_key)
            self.budget.grant(entry, now)

    def renew(self, entry: ServerEntry, granted_at: float, now: float) -> bool:
        """Return whether an opening that was granted, but not sent, may be sent now.

        It counts once, as granted now.
        """
        if not self.is_limited(entry.record.report.service):
            return False
        if self.is_cold(entry, now) and not self._may_grant(entry, now):
            return False
        return self.budget.move(entry, granted_at, now)

    def note_deferred(
        self, flow_key: bytes, service: ServiceName, withheld: Withheld, now: float
    ) -> None:
        """Note that an opening waits for one of the servers that are withheld."""
        self.deferred.record(flow_key, now)
        if self.deferred.is_line_due(service, now):
            log_decision(
                "pace-limited",
                service=service,
                withheld=len(withheld.tokens),
                holds=self.tenure.holds(service, now),
            )

    def note_record(
        self, entry: ServerEntry, previous: ServerEntry | None, now: float
    ) -> None:
        """Note a server's latest record, and the entry that it replaces."""
        service = entry.record.report.service
        was_cold = previous is not None and previous.warm_up_ends_at > now
        was_late = previous is not None and previous.record.is_late
        is_cold = entry.ended_at is None and entry.warm_up_ends_at > now
        if is_cold:
            self.cold_tokens.setdefault(service, set()).add(entry.token)
        if entry.ended_at is not None or not self.is_limited(service):
            return
        if is_cold and not was_cold:
            self.pace.start(entry, "cold", now)
        elif entry.record.is_late != was_late:
            self.pace.start(entry, "late" if not was_late else "recovered", now)

    def note_feed(self, is_confirmed: bool, now: float) -> None:
        """Note an answer of a control VM, after its lists and routes are in force.

        A coordinator that takes over starts the limits of its servers at 1.
        """
        if self.settings.warm_up_limits is None:
            return
        for service in self.tenure.note_feed(is_confirmed, now):
            self.pace.start_again(service, now)
            for entry in self._cold_entries(service, now):
                self.pace.start(entry, "cold", now)

    def watch(self, token: int, now: float) -> None:
        """Note that the coordinator wants to know how a server answers."""
        self.watched_until[token] = now + self.settings.pace_lift_s

    def note_answer(
        self, token: int, route_address: bytes, answer_s: float, now: float
    ) -> None:
        """Note the first answer to a request.

        Args:
            token: Token of the server.
            route_address: Address of the request's route.
            answer_s: Seconds from the request to the answer.
            now: Current time in monotonic seconds.
        """
        entry = self.directory.by_token.get(token)
        if entry is None or not self.is_limited(entry.record.report.service):
            return
        service = entry.record.report.service
        is_in_time = self.answer_times.is_in_time(service, route_address, answer_s)
        if not self._is_watched(token, now):
            self.answer_times.record(service, answer_s)
        elif is_in_time:
            self._counts_of(token).answers += 1
            self.pace.note_answers(token, 1)

    def note_unanswered(self, token: int, now: float) -> None:
        """Note a SYN packet that a server left unanswered."""
        entry = self._limited_entry(token)
        if entry is not None:
            self._counts_of(token).faults += 1
            self.pace.note_faults(entry, 1, now)

    def note_unopened(self, token: int, now: float) -> None:
        """Note a SYN packet that no other packet of its flow followed.

        A paced server is taken to have reset the flow, as its queue was full. Of other
        servers that shows nothing: the fabric may have moved the flow to another VM.
        """
        if self._is_watched(token, now):
            self.note_unanswered(token, now)

    def apply_report(self, report: PaceReport, now: float) -> None:
        """Apply what another VM saw of paced servers."""
        for server in report.servers:
            entry = self._limited_entry(server.token)
            if entry is None:
                continue
            self.pace.note_answers(server.token, server.answers)
            if server.faults:
                self.pace.note_faults(entry, server.faults, now)

    def due_reports(self, now: float) -> list[tuple[VmId, PaceReport]]:
        """Return what the coordinators are to be told, each with its receiver."""
        by_receiver: dict[VmId, list[PacedAnswers]] = {}
        for token, counts in self.counts.items():
            entry = self.directory.by_token.get(token)
            if entry is None:
                continue
            service = entry.record.report.service
            receiver = self.coordinators.coordinator_for(service, now)
            if receiver != self.settings.vm:
                seen = PacedAnswers(token, counts.answers, counts.faults)
                by_receiver.setdefault(receiver, []).append(seen)
        self.counts.clear()
        own_vm = self.settings.vm
        return [
            (vm, PaceReport(own_vm, tuple(servers)))
            for vm, servers in by_receiver.items()
        ]

    def remove_expired(self, now: float) -> None:
        """Remove what is out of date."""
        self.budget.remove_expired(now)
        self.pace.remove_expired(now)
        for service in list(self.cold_tokens):
            self._cold_entries(service, now)
        remove_before(self.watched_until, now)
        self.deferred.remove_expired(now)
        for token in self.counts.keys() - self.directory.by_token.keys():
            del self.counts[token]
        warm_ups = self.route_table.warm_ups
        self.answer_times.keep_services(warm_ups.keys())
        self.deferred.keep_services(warm_ups.keys())

    def cold_count(self, now: float) -> int:
        """Return the number of servers that get openings only on a grant."""
        return sum(
            len(self._cold_entries(service, now))
            for service in list(self.cold_tokens)
            if self.is_limited(service)
        )

    def deferred_count(self, now: float) -> int:
        """Return the number of openings placed here that wait for withheld servers."""
        return self.deferred.count(now)

    def _limited_entry(self, token: int) -> ServerEntry | None:
        """Return the lifetime with a token if it goes on and its service is limited."""
        entry = self.directory.by_token.get(token)
        if entry is None or entry.ended_at is not None:
            return None
        return entry if self.is_limited(entry.record.report.service) else None

    def _may_grant(self, entry: ServerEntry, now: float) -> bool:
        """Return whether this VM holds the budget of a cold server."""
        report = entry.record.report
        is_local = report.zone == self.settings.zone
        return is_local and self.tenure.holds(report.service, now)

    def _cold_entries(self, service: ServiceName, now: float) -> list[ServerEntry]:
        """Return a service's servers in warm-up; forget those that no longer are."""
        tokens = self.cold_tokens.get(service)
        if not tokens:
            return []
        entries = []
        for token in tuple(tokens):
            entry = self.directory.by_token.get(token)
            has_ended = entry is None or entry.ended_at is not None
            if entry is not None and not has_ended and entry.warm_up_ends_at > now:
                entries.append(entry)
            else:
                tokens.discard(token)
        if not tokens:
            del self.cold_tokens[service]
        return entries

    def _is_watched(self, token: int, now: float) -> bool:
        return token in self.pace.paced or self.watched_until.get(token, now) > now

    def _counts_of(self, token: int) -> AnswerCounts:
        return self.counts.setdefault(token, AnswerCounts())
