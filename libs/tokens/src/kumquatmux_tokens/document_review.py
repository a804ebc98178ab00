"""Finds what is valid in a configuration document but probably a mistake."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import NamedTuple

from kumquatmux_core.identity import ServiceName
from kumquatmux_tokens.routes import Route, RouteSet


class UnreachedService(NamedTuple):
    """No route sends flows to a service."""

    service: ServiceName


class UnusedShare(NamedTuple):
    """A service has weight 0 on a route whose flows go to others."""

    route: str
    service: ServiceName


class TargetAboveTimeout(NamedTuple):
    """Requests time out before their target latency, both in seconds."""

    route: str
    target_latency_s: float
    timeout_s: float


class IdleBelowTimeout(NamedTuple):
    """A flow may be dropped before its request times out, both in seconds."""

    route: str
    idle_timeout_s: float
    timeout_s: float


class ColdWithoutRequests(NamedTuple):
    """A cold server of a service gets no requests, as its limit is 0 a second."""

    service: ServiceName
    duration_s: float


class NumberNotHigher(NamedTuple):
    """A document would change nothing: its number isn't above the one in force."""

    number: int
    in_force: int


ReviewWarning = (
    UnreachedService
    | UnusedShare
    | TargetAboveTimeout
    | IdleBelowTimeout
    | ColdWithoutRequests
    | NumberNotHigher
)


def review_routes(route_set: RouteSet) -> Iterator[ReviewWarning]:
    """Yield entries that can never match and limits that contradict each other."""
    for route in route_set.routes:
        yield from _review_shares(route)
        yield from _review_times(route, route_set.idle_timeout_s)
    yield from _review_services(route_set)
    for warm_up in route_set.warm_ups:
        if not warm_up.requests_per_s:
            yield ColdWithoutRequests(warm_up.service, warm_up.duration_s)


def review_number(number: int, in_force: int) -> Iterator[ReviewWarning]:
    """Yield that a document is not newer than the one in force, 0 if there is none."""
    if number <= in_force:
        yield NumberNotHigher(number, in_force)


def _review_shares(route: Route) -> Iterator[ReviewWarning]:
    for share in route.weighted_services:
        if not share.weight:
            yield UnusedShare(route.name, share.service)


def _review_times(route: Route, idle_timeout_s: float) -> Iterator[ReviewWarning]:
    target_s, timeout_s = route.target_latency_s, route.timeout_s
    if timeout_s < target_s < math.inf:
        yield TargetAboveTimeout(route.name, target_s, timeout_s)
    if idle_timeout_s < timeout_s < math.inf:
        yield IdleBelowTimeout(route.name, idle_timeout_s, timeout_s)


def _review_services(route_set: RouteSet) -> Iterator[ReviewWarning]:
    reached = {
        share.service
        for route in route_set.routes
        for share in route.weighted_services
        if share.weight
    }
    for service in sorted(route_set.services - reached):
        yield UnreachedService(service)
