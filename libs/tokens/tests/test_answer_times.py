from __future__ import annotations

from random import Random

from kumquatmux_tokens.answer_times import AnswerTimes
from kumquatmux_tokens.router import TokenRouter
from kumquatmux_tokens.routes import Route, RouteSet, WeightedService
from kumquatmux_tokens.settings import TokenRouterSettings

WITH_TARGET = bytes([198, 18, 0, 1, 1, 187])
WITHOUT_TARGET = bytes([198, 18, 0, 2, 1, 187])
SETTINGS = TokenRouterSettings("e1", "a")


def make_times():
    router = TokenRouter(SETTINGS, Random(1), 0.0)
    shares = (WeightedService("entries", 1),)
    routes = (
        Route("r", WITH_TARGET, shares, target_latency_s=0.5),
        Route("s", WITHOUT_TARGET, shares),
    )
    router.install_routes(RouteSet(1, routes, frozenset({"entries"}), 15.0), 0.0)
    return AnswerTimes(SETTINGS, router.route_table)


def test_a_target_decides_whatever_the_mean_is():
    times = make_times()
    times.record("entries", 10.0)
    assert times.is_in_time("entries", WITH_TARGET, 0.5)
    assert not times.is_in_time("entries", WITH_TARGET, 0.51)


def test_without_a_target_twice_the_mean_is_in_time_and_all_without_a_mean():
    times = make_times()
    assert times.is_in_time("entries", WITHOUT_TARGET, 100.0)
    times.record("entries", 0.2)
    assert times.is_in_time("entries", WITHOUT_TARGET, 0.4)
    assert not times.is_in_time("entries", WITHOUT_TARGET, 0.41)


# Guards against: means of services that no document names any more, kept for ever.
def test_the_means_of_other_services_are_removed():
    times = make_times()
    times.record("entries", 0.2)
    times.record("gone", 0.2)
    times.keep_services({"entries"})
    assert set(times.mean_s) == {"entries"}
