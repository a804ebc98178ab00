"""Admission of uploads to the link of an entry VM, with callers that retransmit."""

from __future__ import annotations

import importlib.util
import math
import sys
from itertools import pairwise
from pathlib import Path
from random import Random

import pytest

from kumquatmux_daemons.token_entry.daemon import link_gauges
from kumquatmux_daemons.token_entry.effects import Datagram

_path = Path(__file__).with_name("link_day.py")
_spec = importlib.util.spec_from_file_location("link_day", _path)
link_day = sys.modules["link_day"] = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(link_day)

FEEDS, UPLOADS = link_day.FEEDS, link_day.UPLOADS
LINK_BYTES_PER_S = link_day.LINK_BYTES_PER_S
Day, add_load, make_zone = link_day.Day, link_day.add_load, link_day.make_zone


def run_load(link_bytes_per_s, uploads_per_s, vms=1, attempts=1, seconds=20.0):
    zone = make_zone(link_bytes_per_s, vms, servers=5 * vms)
    day = Day(zone, Random(1), attempts)
    add_load(day, Random(0), seconds, vms * uploads_per_s, vms * 12.0)
    day.run(seconds + 7.0)
    return day


# Guards against: a burst of uploads, whose retransmissions fill the link, so that all
# requests are late.
def test_a_burst_of_uploads_is_carried_in_time_and_delays_no_small_flow():
    without, limited = run_load(0.0, 2.0), run_load(LINK_BYTES_PER_S, 2.0)
    uploads = len(limited.requests_of(UPLOADS))
    feeds = len(limited.requests_of(FEEDS))
    assert limited.done_within(UPLOADS, 1.2) == uploads
    assert limited.done_within(FEEDS, 0.5) == feeds
    assert without.done_within(UPLOADS, 1.2) < 0.7 * uploads
    assert without.done_within(FEEDS, 0.5) < feeds
    assert limited.carried_bytes() < 0.7 * without.carried_bytes()


def run_busy_zone(link_bytes_per_s):
    """Have uploads come to a zone faster than some of its links carry them."""
    return run_load(link_bytes_per_s, 2.4, vms=4, attempts=3, seconds=8.0)


@pytest.fixture(scope="module")
def busy_zone():
    return run_busy_zone(LINK_BYTES_PER_S)


# Guards against: uploads that pile up at one VM while others have room.
def test_a_busy_zone_refuses_some_and_serves_more(busy_zone):
    assert busy_zone.count("resets.link-full") > 0
    without = run_busy_zone(0.0)
    served = busy_zone.done_within(UPLOADS, 6.0)
    assert served > 1.5 * without.done_within(UPLOADS, 6.0)
    in_time = busy_zone.done_within(UPLOADS, 1.2)
    assert in_time > 2 * without.done_within(UPLOADS, 1.2)
    feeds = busy_zone.requests_of(FEEDS)
    assert busy_zone.done_within(FEEDS, 0.5) == len(feeds)


# Guards against: a coordinator or server that is avoided for the delay of a VM's own
# link.
def test_a_busy_link_is_held_against_no_coordinator_and_no_server(busy_zone):
    for vm in busy_zone.vms:
        assert vm.core.router.coordinators.backoffs == {}
        loads = vm.core.router.load_tracker.local_loads.values()
        assert sum(load.unanswered_syns for load in loads) == 0


def test_queues_are_reported_once_a_second_at_most(busy_zone):
    for vm in busy_zone.vms:
        others = len(busy_zone.vms) - 1
        times = busy_zone.reports.get(vm.core.settings.vm, [])
        assert len(times) <= others * 15
        by_time = sorted(set(times))
        gaps = [after - before for before, after in pairwise(by_time)]
        assert all(gap >= 0.999 for gap in gaps)
    assert busy_zone.reports


# Guards against: a queue of callers that gave up while the VM was frozen, whose uploads
# would take the link from those that still wait.
def test_after_a_freeze_nothing_is_sent_for_callers_that_gave_up():
    (core,) = make_zone(LINK_BYTES_PER_S)
    for caller in range(1, 6):
        core.packet(link_day.pack(link_day.SYN, caller, UPLOADS), 1.0)
    assert len(core.router.link.queue.by_flow) == 4
    assert not any(isinstance(one, Datagram) for one in core.tick(4.0))
    assert core.router.link.queue.by_flow == {}
    assert core.router.syn_buffer.by_flow == {}


# Guards against: a waiting SYN that is admitted only at the next regular check.
def test_a_waiting_upload_starts_as_soon_as_the_one_before_has_sent_all():
    (core,) = make_zone(LINK_BYTES_PER_S)
    (first,) = core.packet(link_day.pack(link_day.SYN, 1, UPLOADS), 1.0)
    token = int.from_bytes(first.data[-link_day.TOKEN_BYTES :])
    assert core.packet(link_day.pack(link_day.SYN, 2, UPLOADS), 1.0) == []
    for start, size in ((0, 1200), (1200, 400)):
        data = link_day.pack(
            link_day.DATA, 1, UPLOADS, token, 0, 1001 + start, 500, size
        )
        sent = core.packet(data, 1.01)
    assert [one.data[0] for one in sent] == [link_day.DATA, link_day.SYN]


def test_the_gauges_show_uploads_and_queue():
    (core,) = make_zone(LINK_BYTES_PER_S)
    for caller in range(1, 4):
        core.packet(link_day.pack(link_day.SYN, caller, UPLOADS), 1.0)
    gauges = link_gauges(core.router.link, 1.0)
    assert gauges["uploads"] == 1.0
    assert gauges["uploads_waiting"] == 2.0
    assert gauges["link_queue_s"] > 0.0
    core.tick(1.5)
    assert 0.0 < link_gauges(core.router.link, 1.5)["link_use"] < 0.01


# Guards against: any effect on a VM whose settings do not name its link.
def test_a_vm_without_a_known_link_has_no_gauges_and_no_checks():
    (core,) = make_zone(0.0)
    for caller in range(1, 30):
        core.packet(link_day.pack(link_day.SYN, caller, UPLOADS), 1.0)
    assert link_gauges(core.router.link, 1.0) == {}
    assert core.counts["packets.forwarded"] == 29
    core.note_message_bytes(10**9, 1.0)
    assert core.router.link.account.busy_until == -math.inf
