from __future__ import annotations

import math

import pytest

from kumquatmux_tokens.document_review import (
    ColdWithoutRequests,
    IdleBelowTimeout,
    NumberNotHigher,
    TargetAboveTimeout,
    UnreachedService,
    UnusedShare,
    review_number,
    review_routes,
)
from kumquatmux_tokens.routes import Route, RouteSet, WarmUp, WeightedService

ADDRESS = bytes([198, 18, 0, 1, 0, 80])
BOTH = (WeightedService("one", 1), WeightedService("two", 3))
SOUND = Route("r", ADDRESS, BOTH, target_latency_s=0.5, timeout_s=0.5)


def make_route_set(route=SOUND, idle_timeout_s=0.5, warm_ups=(), services=()):
    names = frozenset({"one", "two", *services})
    return RouteSet(7, (route,), names, idle_timeout_s, warm_ups)


def test_a_document_without_contradictions_raises_no_doubt():
    """Guards against warnings at the limits themselves and at times not given."""
    warm_ups = (WarmUp("one", 2.0, 0.5),)
    assert list(review_routes(make_route_set(warm_ups=warm_ups))) == []
    unlimited = SOUND._replace(target_latency_s=math.inf, timeout_s=math.inf)
    assert list(review_routes(make_route_set(unlimited))) == []


UNUSED = SOUND._replace(weighted_services=(BOTH[0], WeightedService("two", 0)))
DOUBTS = {
    "service that no route names": (
        make_route_set(services=("four", "three")),
        [UnreachedService("four"), UnreachedService("three")],
    ),
    "weight 0": (
        make_route_set(UNUSED),
        [UnusedShare("r", "two"), UnreachedService("two")],
    ),
    "target above timeout": (
        make_route_set(SOUND._replace(target_latency_s=0.6)),
        [TargetAboveTimeout("r", 0.6, 0.5)],
    ),
    "idle timeout below timeout": (
        make_route_set(idle_timeout_s=0.4),
        [IdleBelowTimeout("r", 0.4, 0.5)],
    ),
    "no requests to cold servers": (
        make_route_set(warm_ups=(WarmUp("two", 3.0, 0),)),
        [ColdWithoutRequests("two", 3.0)],
    ),
}


@pytest.mark.parametrize(("route_set", "doubts"), DOUBTS.values(), ids=DOUBTS.keys())
def test_each_doubt_is_found_alone(route_set, doubts):
    """Guards against a fault that an operator isn't told of, or told of twice."""
    assert list(review_routes(route_set)) == doubts


def test_a_service_is_reached_by_any_route():
    """Guards against a warning for a service that one of two routes leaves out."""
    other = SOUND._replace(name="q", weighted_services=(WeightedService("two", 1),))
    first = SOUND._replace(weighted_services=(WeightedService("one", 1),))
    both = make_route_set()._replace(routes=(first, other))
    assert list(review_routes(both)) == []


@pytest.mark.parametrize(
    ("number", "doubts"),
    [(6, [NumberNotHigher(6, 7)]), (7, [NumberNotHigher(7, 7)]), (8, [])],
)
def test_only_a_higher_number_comes_into_force(number, doubts):
    assert list(review_number(number, 7)) == doubts
