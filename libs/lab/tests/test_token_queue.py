"""The queue of a service under load: who waits, who is refused, and what fails.

The servers of a zone get a burst of one class of requests at twice what they can do,
over a base load of an urgent and a usual class. Polling in order of luck, as for a
service without a target latency, is what the queue is compared with.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

import pytest

from kumquatmux_core import decisions
from kumquatmux_lab.token_load import patterns
from kumquatmux_lab.token_load.model import LoadModel, LoadSettings
from kumquatmux_lab.token_load.wire import RequestClass

URGENT, USUAL = 0, 1
BASE_LOADS = (0.25, 0.35)
BURST_S = (patterns.BURST_STARTS_AT_S, patterns.BURST_STARTS_AT_S + 3.0)
HOP_S = 0.02
"""More than the way of a packet to a VM, and of a reset back."""


def settings(is_queued, vms=5):
    classes = (
        RequestClass(0, 0.04, 0.6, 3.0, is_queued),
        RequestClass(1, 0.03, 0.5, 2.5, is_queued),
    )
    return LoadSettings((5,), vms, classes=classes, callers=300, caller_s=0.002)


def play(is_queued, burst_kind):
    model = patterns.class_burst(
        1, settings(is_queued), BASE_LOADS, burst_kind, for_s=3.0
    )
    model.run(9.0)
    return model


class Played(NamedTuple):
    """One burst, with the queue and with polling."""

    queued: LoadModel
    polled: LoadModel


@pytest.fixture(scope="module", params=[URGENT, USUAL], ids=["urgent", "usual"])
def burst(request):
    decisions.configure(as_json=False, enabled=False)
    yield request.param, Played(play(True, request.param), play(False, request.param))
    decisions.configure(as_json=False)


def in_time(model, kind=None):
    """Return how many requests of the burst's time were answered in time."""
    return sum(
        model.worth_of(one) == 1.0 for one in model.requests_between(*BURST_S, kind)
    )


def counts(model):
    return sum(
        (core.router.queues.counts for core in model.cores.values()), start=Counter()
    )


def test_more_requests_are_answered_in_time_than_by_polling(burst):
    """Guards against a queue in which every request waits until it is late."""
    _, played = burst
    assert in_time(played.queued) > 1.3 * in_time(played.polled)
    worths = [sum(map(model.worth_of, model.requests)) for model in played]
    assert worths[0] > worths[1]


def test_urgent_requests_do_not_feel_a_burst_of_others(burst):
    """Guards against a burst of one class that makes all classes late."""
    kind, played = burst
    if kind == USUAL:
        assert played.queued.worth(*BURST_S, URGENT) == 1.0
        assert played.polled.worth(*BURST_S, URGENT) < 0.9


def test_no_class_starves(burst):
    """Guards against a class that gets less than one slot in eight while it waits."""
    _, played = burst
    model = played.queued
    since, until = BURST_S
    answered = [
        one for one in model.requests if one.done_at and since < one.done_at <= until
    ]
    usual = sum(one.kind == USUAL for one in answered)
    # The last of the burst's grants are answered after its end.
    assert usual > len(answered) / 8 * 0.9


def test_callers_are_refused_at_once_or_not_at_all(burst):
    """Guards against a reset of a flow that a copy of its SYN may have opened."""
    kind, played = burst
    refused = [one for one in played.queued.requests if one.refused_s]
    assert refused
    assert max(max(one.refused_s) for one in refused) < 0.2 + HOP_S
    if kind == USUAL:
        assert not any(one.kind == URGENT for one in refused)
    assert not any(one.refused_s for one in played.polled.requests)


def test_the_queue_sheds_nothing_and_is_gone_after_the_burst(burst):
    """Guards against grants beyond what servers take, and against a lasting queue."""
    _, played = burst
    model = played.queued
    assert model.shed == 0
    assert not any(core.router.queues.has_work() for core in model.cores.values())
    assert counts(model)["queue.granted"] > 100
    assert not counts(played.polled)
    calm = model.requests_between(BURST_S[1] + 0.7, BURST_S[1] + 1.0)
    assert all(model.worth_of(one) == 1.0 for one in calm)


def test_an_opening_in_the_queue_costs_fewer_questions_than_polling(burst):
    """Guards against questions that keep the coordinator from placing flows."""
    _, played = burst
    questions_per_flow = [
        model.asked() / sum(len(one.vms) for one in model.requests) for model in played
    ]
    assert questions_per_flow[0] < min(1.3, questions_per_flow[1])


def kill(model, vm):
    del model.cores[vm]


def freeze(model, vm):
    model.freeze(vm, model.now + 1.0)


def cut_off(model, vm):
    model.cut_off.add(vm)
    model.at(model.now + 1.0, model.cut_off.discard, vm)


@pytest.mark.parametrize("fail", [kill, freeze, cut_off])
@pytest.mark.parametrize("who", ["coordinator", "other"])
def test_the_queue_goes_on_when_a_vm_fails(fail, who):
    """Guards against openings that wait in a queue that is gone, or for a dead VM.

    Requests that the failed VM carried are not counted. Without the coordinator, and
    where it hears nothing of a VM that is cut off, flows are placed by what is known of
    the load, as before there was a queue.
    """
    decisions.configure(as_json=False, enabled=False)
    model = patterns.class_burst(
        0, settings(True, vms=6), BASE_LOADS, USUAL, for_s=2.0, burst_load=1.2
    )
    model.run(2.2)
    coordinators = model.cores["10.0.0.1"].router.coordinators
    coordinator = coordinators.coordinator_for("entries", model.now)
    others = [vm for vm in model.vm_names(0) if vm != coordinator]
    failed = coordinator if who == "coordinator" else others[-1]
    fail(model, failed)
    model.run(8.0)
    decisions.configure(as_json=False)
    after = [one for one in model.requests_between(2.3, 3.5) if failed not in one.vms]
    urgent = [model.worth_of(one) == 1.0 for one in after if one.kind == URGENT]
    assert sum(urgent) >= 0.98 * len(urgent)
    # The load is 1.8 times what the servers can do, half of which is to be in time.
    served = sum(model.worth_of(one) == 1.0 for one in after)
    assert served > 0.5 / 1.8 * len(after)
    assert model.shed < 0.05 * len(model.requests)
    assert not any(core.router.queues.has_work() for core in model.cores.values())
