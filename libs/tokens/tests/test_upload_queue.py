from __future__ import annotations

import math

from kumquatmux_tokens.settings import LinkSettings
from kumquatmux_tokens.upload_queue import RefusedUploads, UploadQueue, WaitingUpload

SETTINGS = LinkSettings(250_000.0, queue_limit=8, refusal_limit=2)


def make_waiting(
    name, priority=0, was_refused=False, expires_at=9.0, latest_start_at=math.inf
):
    return WaitingUpload(
        name, 40_000.0, was_refused, priority, 0, 1.0, expires_at, latest_start_at
    )


def admitted(queue, now=1.0):
    order = []
    while (waiting := queue.first(now)) is not None:
        queue.pop(waiting)
        order.append(waiting.flow_key)
    return order


def test_refused_callers_go_first_then_by_priority_and_arrival():
    queue = UploadQueue(SETTINGS._replace(arrival_admission_interval=100))
    queue.add(make_waiting(b"low", 2))
    queue.add(make_waiting(b"high-1"))
    queue.add(make_waiting(b"high-2"))
    queue.add(make_waiting(b"refused", 2, was_refused=True))
    assert admitted(queue) == [b"refused", b"high-1", b"high-2", b"low"]


# Guards against: an upload of low priority that never gets its turn.
def test_no_priority_starves_while_others_keep_coming():
    queue = UploadQueue(SETTINGS)
    queue.add(make_waiting(b"low", 9))
    for number in range(SETTINGS.arrival_admission_interval):
        queue.add(make_waiting(b"high-%d" % number))
        waiting = queue.first(1.0)
        queue.pop(waiting)
    assert waiting.flow_key == b"low"


# Guards against: an overload in which every upload starts when it is late already.
def test_an_upload_that_is_late_already_goes_after_those_that_are_not():
    queue = UploadQueue(SETTINGS)
    for number in range(4):
        queue.add(make_waiting(b"late-%d" % number, latest_start_at=1.9))
        queue.add(make_waiting(b"sound-%d" % number, 5, latest_start_at=2.1))
    order = admitted(queue, 2.0)
    assert [one[:4] for one in order] == [b"soun"] * 4 + [b"late"] * 4


def test_what_goes_before_another_counts_for_its_wait():
    queue = UploadQueue(SETTINGS)
    queue.add(make_waiting(b"1", 1))
    queue.add(make_waiting(b"2", 3))
    queue.add(make_waiting(b"3", 1, latest_start_at=0.5))
    assert queue.bytes_before(make_waiting(b"4", 1), 1.0) == 40_000.0
    assert queue.bytes_before(make_waiting(b"4", 0), 1.0) == 0.0


# Guards against: an upload admitted for a caller that gave up while the VM was paused.
def test_callers_that_gave_up_leave_the_queue():
    queue = UploadQueue(SETTINGS)
    queue.add(make_waiting(b"1", expires_at=2.4))
    queue.add(make_waiting(b"2", expires_at=2.6))
    queue.remove_expired(2.5)
    assert list(queue.by_flow) == [b"2"]


def test_refused_callers_are_remembered_by_address_for_a_while():
    refused = RefusedUploads(SETTINGS)
    refused.record(b"aaaa-first-port", 1.0)
    assert refused.includes(b"aaaa-other-port", 2.0)
    assert not refused.includes(b"bbbb-first-port", 2.0)
    assert refused.includes_flow(b"aaaa-first-port", 2.0)
    assert not refused.includes_flow(b"aaaa-other-port", 2.0)
    assert not refused.includes(b"aaaa-other-port", 1.0 + SETTINGS.refusal_memory_s)


def test_the_memory_of_refused_callers_is_bounded():
    refused = RefusedUploads(SETTINGS)
    for number in range(5):
        refused.record(b"%04d-port" % number, 1.0 + number)
    assert list(refused.by_address) == [b"0003", b"0004"]
    refused.remove_expired(99.0)
    assert refused.by_address == {}
