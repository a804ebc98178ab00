from __future__ import annotations

import pytest

from kumquatmux_tokens.link_account import LinkAccount
from kumquatmux_tokens.routes import Route
from kumquatmux_tokens.settings import LinkSettings, TokenRouterSettings
from kumquatmux_tokens.upload_estimates import Estimate, UploadEstimator
from kumquatmux_tokens.upload_queue import UploadQueue, WaitingUpload

LINK = LinkSettings(bytes_per_s=125_000.0)
SETTINGS = TokenRouterSettings("e1", "a", link=LINK)
ROUTE = Route("uploads", b"r" * 6, (), 0, 1.2, 6.0, True)
SIZE = 40_000.0


def make_estimator():
    return UploadEstimator(SETTINGS, LinkAccount(LINK, 0.0), UploadQueue(LINK))


def make_waiting(key=b"w", now=1.0):
    return WaitingUpload(key, SIZE, False, 0, 0, now, now + 1.4, now + 0.8)


def test_an_upload_starts_after_those_under_way_and_those_that_wait_before_it():
    estimator = make_estimator()
    alone = estimator.estimate(make_waiting(), 1.0)
    assert alone.start_s == 0.0
    assert alone.finish_s == pytest.approx(estimator.account.upload_s(SIZE))
    estimator.account.start_upload(b"u", SIZE, 101, 1.0)
    second = estimator.estimate(make_waiting(), 1.0)
    estimator.queue.add(make_waiting(b"v"))
    third = estimator.estimate(make_waiting(), 1.0)
    assert 0.0 < second.start_s < third.start_s
    assert third.finish_s == pytest.approx(3 * alone.finish_s)


# Guards against: an upload that is admitted though its caller has given up by then, or
# that misses its target.
def test_in_time_is_before_the_caller_gives_up_and_within_the_target():
    estimator = make_estimator()
    latest_s = estimator.latest_start_s
    slow = ROUTE._replace(target_latency_s=9.0)
    for route, estimate, is_in_time in (
        (ROUTE, Estimate(0.0, 1.19), True),
        (ROUTE, Estimate(0.0, 1.21), False),
        (slow, Estimate(latest_s - 0.01, 3.0), True),
        (slow, Estimate(latest_s + 0.01, 3.0), False),
    ):
        waiting = make_waiting()
        assert estimator.is_in_time(waiting, route, estimate, 1.0) is is_in_time


def test_one_more_upload_waits_only_where_others_do():
    estimator = make_estimator()
    estimator.account.start_upload(b"u", SIZE, 101, 1.0)
    assert estimator.wait_of_another_s(1.0) == 0.0
    estimator.queue.add(make_waiting())
    assert estimator.wait_of_another_s(1.0) > estimator.account.upload_s(SIZE)
