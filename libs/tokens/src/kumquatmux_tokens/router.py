"""Token routing on one entry VM: a packet and the time in, a decision out."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import ServiceName
from kumquatmux_registry.records import ServerRecord
from kumquatmux_tokens.choice import Choice, choose
from kumquatmux_tokens.directory import Directory
from kumquatmux_tokens.load import LoadTable
from kumquatmux_tokens.packets import Decision, Drop, Forward, Head, Hold, Reset
from kumquatmux_tokens.routes import RouteSet, RouteTable
from kumquatmux_tokens.settings import TokenSettings

ANY_SEQUENCE = 0


class Held(NamedTuple):
    """A packet that waits for its token to be known.

    Attributes:
        head: The packet.
        data: Its bytes.
        until: When it is dropped, in steady seconds.
    """

    head: Head
    data: bytes
    until: float


class TokenRouter:
    """Routes a caller's packets by the token that both ends return.

    Attributes:
        directory: The servers that tokens stand for.
        routes: The routes in force.
        load: The work known at each server.
        held: Packets that wait, by token.
    """

    def __init__(self, settings: TokenSettings, random: Random, now: float) -> None:
        self.settings = settings
        self.random = random
        self.started_at = now
        self.directory = Directory()
        self.routes = RouteTable()
        self.load = LoadTable(settings)
        self.held: dict[int, list[Held]] = {}
        self.held_count = 0
        self.served_at: dict[ServiceName, float] = {}

    def handle(self, head: Head, now: float) -> Decision:
        """Return what is to be done with a packet."""
        if head.is_opening:
            return self._place(head, now)
        return self._follow(head, now)

    def install(self, routes: RouteSet, now: float) -> bool:
        """Put a document's routes into force; return whether it was newer."""
        return self.routes.install(routes, now)

    def learn(self, record: ServerRecord, now: float) -> list[Held]:
        """Take a server's record; return the packets that waited for it."""
        self.directory.put(record, now)
        released = self.held.pop(record.token, [])
        self.held_count -= len(released)
        return released

    def hold(self, head: Head, data: bytes, now: float) -> bool:
        """Keep a packet for a while; return whether its token is to be asked for."""
        if self.held_count >= self.settings.held_packets:
            return False
        waiting = self.held.setdefault(head.token, [])
        waiting.append(Held(head, data, now + self.settings.hold_s))
        self.held_count += 1
        return len(waiting) == 1

    def sweep(self, now: float) -> None:
        """Drop what has waited or been silent too long."""
        self.load.sweep(now)
        self.directory.forget(now - 2 * self.settings.flow_idle_s - 90.0)
        for token, waiting in list(self.held.items()):
            kept = [one for one in waiting if one.until > now]
            self.held_count -= len(waiting) - len(kept)
            if kept:
                self.held[token] = kept
                continue
            del self.held[token]
            log_decision("token-unknown", token=token, dropped=len(waiting))

    def _place(self, head: Head, now: float) -> Decision:
        route = self.routes.routes.get(head.route)
        if route is None:
            return self._without_route(head)
        service = route.service_for(head.flow)
        flow = self.load.flows.get(head.flow)
        is_copy = flow is not None and not flow.is_open
        if flow is not None and is_copy and head.copy:
            if self.load.strike(flow, now):
                self._log_strike(head, flow.token)
        elif flow is not None and is_copy:
            entry = self.directory.by_token.get(flow.token)
            if entry is not None and entry.ended_at is None:
                return Forward(entry.record, flow.token)
        tried = flow.tried if flow is not None and is_copy else ()
        choice = self._choose(service, tried, now)
        if choice is None:
            return self._without_server(head, service, now)
        self.served_at[service] = now
        token = choice.entry.record.token
        self.load.place(head, token, now)
        self._log_placed(head, choice, now)
        return Forward(choice.entry.record, token)

    def _choose(
        self, service: ServiceName, tried: tuple[int, ...], now: float
    ) -> Choice | None:
        entries = [
            one
            for one in self.directory.servers(service)
            if one.record.token not in self.directory.clashing
        ]
        return choose(entries, tried, self.load, self.random, now)

    def _follow(self, head: Head, now: float) -> Decision:
        flow = self.load.flows.get(head.flow)
        token = head.token
        if flow is not None and flow.is_open and token in flow.tried:
            token = flow.token
        entry = self.directory.by_token.get(token)
        if entry is None:
            return Hold(token) if token else Drop("no-token")
        if self.routes.is_gone(head.route, now - self.settings.route_gone_s):
            return Reset(head.acknowledged, "route-removed")
        ended_at = entry.ended_at
        if ended_at is not None and ended_at < now - self.settings.ended_s:
            return Reset(head.acknowledged, "server-ended")
        self.load.note(head, token, now)
        return Forward(entry.record, token)

    def _without_route(self, head: Head) -> Decision:
        if not self.routes.number:
            return Drop("no-document")
        return Reset(ANY_SEQUENCE, "no-route")

    def _without_server(self, head: Head, service: ServiceName, now: float) -> Decision:
        """Refuse at once unless a server is likely to come while copies follow."""
        latest = self.served_at.get(service, self.started_at)
        if latest > now - self.settings.known_s:
            return Drop("no-server-yet")
        return Reset(ANY_SEQUENCE, "no-server")

    def _log_placed(self, head: Head, choice: Choice, now: float) -> None:
        report = choice.entry.record.report
        log_decision(
            "flow-placed",
            flow=head.flow.hex(),
            copy=head.copy,
            document=self.routes.number,
            service=report.service,
            server=report.lifetime,
            token=choice.entry.record.token,
            cost=round(choice.cost, 3),
            candidates=choice.candidates,
            grade=choice.grade,
            known_s=round(now - choice.entry.known_at, 1),
        )

    def _log_strike(self, head: Head, token: int) -> None:
        work = self.load.work_at(token)
        log_decision(
            "server-unanswered",
            flow=head.flow.hex(),
            token=token,
            strikes=work.strikes,
        )
