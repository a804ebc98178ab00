"""Pace of servers that started or recovered: a limit of their requests in progress."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import ServiceName, VmId
from kumquatmux_tokens.directory import ServerDirectory, ServerEntry
from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.settings import TokenRouterSettings


class PacedServer:
    """Limit of the requests in progress at a server.

    Attributes:
        service: Service of the server.
        limit: Requests in progress from which the server gets no further flow.
        faulted_at: Time of its latest fault, or of its start or recovery.
    """

    __slots__ = ("faulted_at", "limit", "service")

    def __init__(self, service: ServiceName, now: float) -> None:
        self.service = service
        self.limit = 1
        self.faulted_at = now


class PacedAnswers(NamedTuple):
    """What a VM saw of a paced server since its report before.

    Attributes:
        token: Token of the server.
        answers: Requests that the server answered in time.
        faults: SYN packets that it left unanswered, and flows that it did not open.
    """

    token: int
    answers: int
    faults: int


class PaceReport(NamedTuple):
    """Tells a placement coordinator how paced servers answer at another VM.

    Attributes:
        sender: The reporting VM.
        servers: What it saw, for each server of which there is news.
    """

    sender: VmId
    servers: tuple[PacedAnswers, ...]


class ServerPace:
    """Limits the requests in progress at servers that started or recovered.

    The limit starts at 1, rises by 1 with each request answered in time, halves with
    each fault and is lifted ``pace_lift_s`` after the latest one.

    Attributes:
        paced: Limit of each paced server, by token.
        tokens_by_service: Tokens of the paced servers, by service.
    """

    def __init__(
        self,
        settings: TokenRouterSettings,
        directory: ServerDirectory,
        load_tracker: LoadTracker,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.load_tracker = load_tracker
        self.paced: dict[int, PacedServer] = {}
        self.tokens_by_service: dict[ServiceName, set[int]] = {}

    def start(self, entry: ServerEntry, reason: str, now: float) -> None:
        """Limit a server to one request in progress."""
        report = entry.record.report
        self.paced[entry.token] = PacedServer(report.service, now)
        self.tokens_by_service.setdefault(report.service, set()).add(entry.token)
        log_decision(
            "pace-started", server=report.lifetime, token=entry.token, reason=reason
        )

    def start_again(self, service: ServiceName, now: float) -> None:
        """Limit all paced servers of a service to one request in progress again."""
        for token in self.tokens_by_service.get(service, ()):
            self.paced[token] = PacedServer(service, now)

    def full_tokens(self, service: ServiceName, now: float) -> list[int]:
        """Return the servers of a service that have as many requests as they may."""
        tokens = self.tokens_by_service.get(service)
        if not tokens:
            return []
        self._lift(tuple(tokens), now)
        active_requests = self.load_tracker.active_requests
        return [
            token
            for token in self.tokens_by_service.get(service, ())
            if active_requests(token) >= self.paced[token].limit
        ]

    def note_answers(self, token: int, answers: int) -> None:
        """Raise the limit of a server by the requests that it answered in time."""
        paced = self.paced.get(token)
        entry = self.directory.by_token.get(token)
        if paced is None or entry is None:
            return
        slots = max(entry.record.report.slots, 1)
        highest = slots + self.settings.server_queue_limit
        paced.limit = min(paced.limit + answers, highest)

    def note_faults(self, entry: ServerEntry, faults: int, now: float) -> None:
        """Halve the limit of a server for each fault, or limit it from now on."""
        paced = self.paced.get(entry.token)
        if paced is None:
            self.start(entry, "unanswered", now)
            return
        paced.faulted_at = now
        paced.limit = max(paced.limit >> faults, 1)

    def remove_expired(self, now: float) -> None:
        """Lift the limits that are due, and remove servers that have ended."""
        self._lift(tuple(self.paced), now)

    def _lift(self, tokens: tuple[int, ...], now: float) -> None:
        lift_before = now - self.settings.pace_lift_s
        for token in tokens:
            entry = self.directory.by_token.get(token)
            has_ended = entry is None or entry.ended_at is not None
            paced = self.paced[token]
            if not has_ended and paced.faulted_at > lift_before:
                continue
            del self.paced[token]
            service_tokens = self.tokens_by_service[paced.service]
            service_tokens.discard(token)
            if not service_tokens:
                del self.tokens_by_service[paced.service]
            log_decision("pace-lifted", token=token, ended=has_ended)
