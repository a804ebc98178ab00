from __future__ import annotations

import math
from random import Random

import pytest

from kumquatmux_core.identity import Address, Endpoint
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens.link_occupancy import LinkOccupancy
from kumquatmux_tokens.packets import (
    Drop,
    Forward,
    HoldForLink,
    HoldForServer,
    PacketHeader,
    Reset,
)
from kumquatmux_tokens.router import TokenRouter
from kumquatmux_tokens.routes import Route, RouteSet, WeightedService
from kumquatmux_tokens.settings import LinkSettings, TokenRouterSettings

UPLOADS = Address(bytes([198, 18, 0, 1, 1, 187]))
FEEDS = Address(bytes([198, 18, 0, 2, 1, 187]))
OTHERS = ("e2", "e3", "e4")
TARGET_S = 1.2
LINK = LinkSettings(bytes_per_s=125_000.0)


def make_router(link=LINK, is_upload=True, target_s=TARGET_S, others=OTHERS):
    # The one entry VM that places flows itself, so that no placement is asked for.
    settings = TokenRouterSettings("e1", "a", link=link)
    router = TokenRouter(settings, Random(1), 0.0)
    services = (WeightedService("servers", 1),)
    routes = (
        Route("uploads", UPLOADS, services, 1, target_s, 6.0, is_upload),
        Route("feeds", FEEDS, services, 0, 0.5, 2.5),
    )
    router.install_routes(RouteSet(1, routes, frozenset({"servers"}), 15.0), 0.0)
    report = Report(
        Lifetime("i-1", 1), 1, "servers", Endpoint("10.0.0.9", 1), "a", "v1", 500,
        Phase.READY, 0.0,
    )  # fmt: skip
    record = ServerRecord(report, "c1")
    router.store_record(record, 0.0)
    router.coordinators.set_entry_vms(("e1", *others))
    router.coordinators.coordinator_for = lambda service, now: "e1"
    return router


def make_syn(caller, copy=0, route=UPLOADS):
    key = bytes([100, 64, 0, caller, 0, 9]) + route
    return PacketHeader(key, route, 0, True, False, copy, 100, 0, 0)


def make_packet(router, caller, sequence=101, length=1200, is_fin=False, route=UPLOADS):
    (token,) = router.directory.by_token
    key = bytes([100, 64, 0, caller, 0, 9]) + route
    return PacketHeader(key, route, token, False, is_fin, 0, sequence, 500, length)


def open_upload(router, now, caller=1):
    """Have an upload take the link."""
    assert isinstance(router.route_packet(make_syn(caller), now), Forward)


def take_syn(router, header, now):
    """Route a SYN as the daemon does, which buffers those that wait."""
    decision = router.route_packet(header, now)
    if isinstance(decision, HoldForLink):
        router.syn_buffer.add(header, b"", now)
    return decision


def admitted(router, now):
    return [held.header.flow_key[3] for held in router.link.pop_admitted(now)]


def take_packet(router, header, now):
    dropped = router.link.record_packet(header, header.payload_length + 36, now)
    return dropped or router.route_packet(header, now)


def fill(router, now, count=2):
    """Have as many uploads wait as can be carried in time."""
    open_upload(router, now)
    for caller in range(2, 2 + count):
        assert take_syn(router, make_syn(caller), now) == HoldForLink()


def report_queues(router, now, wait_ms, vms=OTHERS):
    for vm in vms:
        router.link.zone.record(LinkOccupancy(vm, 3, wait_ms), now)


def test_a_further_upload_waits_until_the_first_one_has_sent_all():
    router = make_router()
    open_upload(router, 10.0)
    assert take_syn(router, make_syn(2), 10.0) == HoldForLink()
    assert admitted(router, 10.1) == []
    for number in range(3):
        packet = make_packet(router, 1, 101 + 1200 * number, 1200 if number < 2 else 9)
        take_packet(router, packet, 10.1)
    assert router.link.can_admit
    assert admitted(router, 10.1) == [2]
    # The upload has a claim now, so that its SYN is placed however often it is tried.
    assert isinstance(router.route_packet(make_syn(2), 10.1), Forward)


def test_small_flows_never_wait_for_the_link():
    router = make_router()
    fill(router, 10.0)
    assert isinstance(router.route_packet(make_syn(9, route=FEEDS), 10.0), Forward)


def test_a_claim_without_packets_ends_and_the_check_is_due_then():
    router = make_router()
    open_upload(router, 10.0)
    take_syn(router, make_syn(2), 10.0)
    due_at = router.link.account.room_at(10.0)
    assert due_at == pytest.approx(10.7)
    assert admitted(router, due_at) == [2]


def test_a_copy_of_a_waiting_syn_keeps_place_and_deadline():
    router = make_router()
    fill(router, 10.0, 2)
    assert take_syn(router, make_syn(2, copy=1), 10.2) == HoldForLink()
    assert list(router.link.queue.by_flow) == [
        make_syn(2).flow_key,
        make_syn(3).flow_key,
    ]
    assert router.link.queue.by_flow[make_syn(2).flow_key].expires_at == 11.4
    assert router.link.pop_admitted(11.5) == []


def test_a_copy_of_an_unknown_flow_has_less_time_left():
    router = make_router()
    open_upload(router, 10.0)
    take_syn(router, make_syn(2, copy=2), 10.0)
    waiting = router.link.queue.by_flow[make_syn(2).flow_key]
    assert waiting.expires_at == pytest.approx(10.8)


def test_what_cannot_be_carried_in_time_is_refused_at_once():
    router = make_router()
    fill(router, 10.0)
    assert take_syn(router, make_syn(7), 10.0) == Reset(0, "link-full")


# Guards against: a reset of a flow that may be open by way of another VM.
@pytest.mark.parametrize("copy", [1, 2])
def test_a_copy_is_never_refused(copy):
    router = make_router()
    fill(router, 10.0, 2)
    for caller in range(7, 100):
        decision = take_syn(router, make_syn(caller, copy), 10.0)
        assert decision in (HoldForLink(), Drop("link-full"))


def test_a_late_copy_of_a_refused_syn_opens_nothing():
    router = make_router()
    fill(router, 10.0)
    take_syn(router, make_syn(7), 10.0)
    assert take_syn(router, make_syn(7, copy=1), 10.2) == Drop("copy-refused")


# Guards against: a refusal of a flow that this VM placed for another one.
def test_a_flow_that_was_placed_is_not_refused():
    router = make_router()
    fill(router, 10.0)
    (token,) = router.directory.by_token
    router.recent.record(make_syn(7).flow_key, token, 10.0, 100)
    assert isinstance(take_syn(router, make_syn(7), 10.0), Forward)


# Guards against: a caller that all VMs of a zone refuse in turn.
def test_nothing_is_refused_while_others_have_no_room():
    router = make_router()
    fill(router, 10.0)
    report_queues(router, 10.0, 900)
    assert take_syn(router, make_syn(7), 10.0) == HoldForLink()
    # Not heard for 3 s, the others count as unknown.
    assert router.link.zone.room_share(list(OTHERS), 0.8, 12.9) == 0.0
    assert router.link.zone.room_share(list(OTHERS), 0.8, 13.0) == 1.0


def test_a_vm_that_is_alone_refuses_nothing():
    router = make_router(others=())
    fill(router, 10.0)
    assert take_syn(router, make_syn(7), 10.0) == HoldForLink()


@pytest.mark.parametrize(("full", "is_refused"), [(1, True), (2, False)])
def test_a_caller_is_refused_if_most_of_the_others_have_room(full, is_refused):
    router = make_router()
    fill(router, 10.0)
    report_queues(router, 10.0, 900, OTHERS[:full])
    decision = take_syn(router, make_syn(7), 10.0)
    assert isinstance(decision, Reset) == is_refused


def test_without_a_target_the_callers_wait_alone_decides():
    router = make_router(target_s=math.inf)
    fill(router, 10.0, 4)
    assert take_syn(router, make_syn(7), 10.0) == Reset(0, "link-full")


def test_a_refused_caller_goes_first_when_it_comes_again():
    router = make_router()
    fill(router, 10.0)
    take_syn(router, make_syn(7), 10.0)
    again = make_syn(7)
    key = again.flow_key[:4] + b"\1\1" + UPLOADS
    take_syn(router, again._replace(flow_key=key), 10.05)
    assert admitted(router, 10.7) == [7]


# Guards against: callers whose SYN waited out a pause of the VM.
def test_after_a_pause_callers_that_gave_up_are_not_admitted():
    router = make_router()
    fill(router, 10.0)
    assert router.link.pop_admitted(12.0) == []
    assert router.link.queue.by_flow == {}
    open_upload(router, 12.0, caller=9)


def test_the_queue_is_bounded():
    router = make_router(others=())
    open_upload(router, 10.0)
    for caller in range(2, 200):
        take_syn(router, make_syn(caller), 10.0)
    assert len(router.link.queue.by_flow) == LINK.queue_limit
    assert take_syn(router, make_syn(250), 10.0) == Drop("link-full")


def test_an_upload_that_goes_on_here_claims_the_link_too():
    router = make_router()
    take_packet(router, make_packet(router, 1, 5000), 10.0)
    assert take_syn(router, make_syn(2), 10.0) == HoldForLink()


def test_late_packets_of_an_upload_that_has_ended_claim_nothing():
    router = make_router()
    open_upload(router, 10.0)
    take_packet(router, make_packet(router, 1), 10.0)
    take_packet(router, make_packet(router, 1, 1301, 0, is_fin=True), 10.0)
    take_packet(router, make_packet(router, 1), 10.1)
    assert isinstance(take_syn(router, make_syn(2), 10.1), Forward)


def test_a_queue_is_reported_once_a_second_and_once_more_when_it_is_empty():
    router = make_router()
    assert router.link.report_due_at() == math.inf
    fill(router, 10.0)
    assert router.link.report_due_at() <= 10.0
    reports = router.link.due_reports(10.0)
    assert [vm for vm, _ in reports] == list(OTHERS)
    assert {(one.sender, one.waiting) for _, one in reports} == {("e1", 2)}
    # One upload under way and two that wait take 0.33 s each.
    assert 900 <= reports[0][1].wait_ms <= 1100
    assert router.link.report_due_at() == 11.0
    router.link.queue.by_flow.clear()
    assert router.link.due_reports(11.0)[0][1] == LinkOccupancy("e1", 0, 0)
    assert router.link.report_due_at() == math.inf


def test_a_report_goes_to_a_bounded_number_of_vms():
    others = tuple(f"f{number}" for number in range(200))
    router = make_router(others=others)
    fill(router, 10.0)
    assert len(router.link.due_reports(10.0)) == LINK.occupancy_vms


# Guards against: work for the link where nothing says what it carries.
@pytest.mark.parametrize(("link", "is_upload"), [(LinkSettings(), True), (LINK, False)])
def test_nothing_waits_without_a_capacity_or_a_route_of_bulk_data(link, is_upload):
    router = make_router(link=link, is_upload=is_upload)
    for caller in range(1, 50):
        assert isinstance(router.route_packet(make_syn(caller), 10.0), Forward)
    assert not router.link.is_active
    assert router.link.account.uploads == {}
    assert not router.link.explains(0.0, 10.0)


def send_flow(router, caller, size, now, duration_s=0.3, route=UPLOADS):
    take_syn(router, make_syn(caller, route=route), now)
    take_packet(router, make_packet(router, caller, 101, size, route=route), now)
    last = make_packet(router, caller, 101 + size, 0, is_fin=True, route=route)
    take_packet(router, last, now + duration_s)


def test_a_route_is_found_to_carry_bulk_data_by_what_its_flows_send():
    router = make_router(is_upload=False)
    for number in range(12):
        send_flow(router, number, 40_000, 10.0 + number)
        send_flow(router, number, 500, 10.0 + number, route=FEEDS)
    assert set(router.link.bulk.by_address) == {UPLOADS}
    for number in range(60):
        send_flow(router, number, 500, 30.0 + number)
    assert not router.link.is_active


# Guards against: flows of many small requests that are held back as bulk data.
def test_flows_that_carry_little_at_a_time_are_no_bulk_data():
    router = make_router(is_upload=False)
    for number in range(30):
        send_flow(router, number, 40_000, 10.0 + number, duration_s=14.0)
    assert not router.link.is_active


def test_the_expected_size_follows_what_uploads_send():
    router = make_router()
    for number in range(60):
        send_flow(router, number, 20_000, 10.0 + number)
    assert router.link.bulk.expected_bytes(UPLOADS) == pytest.approx(20_000, rel=0.01)


# Guards against: a coordinator that is avoided for the delay of this VM's own link.
def test_a_missing_answer_that_the_queue_explains_starts_no_backoff():
    for is_link_late in (False, True):
        router = make_router()
        if is_link_late:
            router.link.account.record_sent(60_000, 10.0)
        router.coordinators.record_request("e2", b"k", 10.0)
        assert not router.coordinators.is_pending(b"k", 10.04)
        assert ("e2" in router.coordinators.backoffs) != is_link_late


# Guards against: servers that count as unanswered while SYNs wait for this VM's link.
def test_a_copy_that_the_queue_explains_is_not_held_against_the_server():
    for is_link_late in (False, True):
        router = make_router()
        router.route_packet(make_syn(1, route=FEEDS), 10.0)
        if is_link_late:
            router.link.account.record_sent(60_000, 10.0)
        router.route_packet(make_syn(1, copy=1, route=FEEDS), 10.2)
        (load,) = router.load_tracker.local_loads.values()
        assert load.unanswered_syns == (0 if is_link_late else 1)


def full_service(router):
    (token,) = router.directory.by_token
    router.load_tracker.local_load_at(token).active_requests = 1000
    router.load_tracker.changed_tokens.add(token)


def take_queued(router, header, now):
    """Route a SYN whose service is full, and buffer it."""
    decision = router.route_packet(header, now)
    assert decision == HoldForServer("queued")
    router.syn_buffer.add(header, b"", now)


# Guards against a second deadline, or a second buffered packet, for an opening that
# waits for the link and then for a server.
def test_an_upload_that_waited_for_the_link_waits_on_in_the_queue_of_its_service():
    router = make_router()
    open_upload(router, 0.9)
    assert take_syn(router, make_syn(7), 1.0) == HoldForLink()
    full_service(router)
    (held,) = router.link.pop_admitted(1.75)
    take_queued(router, held.header, 1.75)
    assert list(router.syn_buffer.by_flow) == [held.header.flow_key]
    [opening] = router.queues.by_service["servers"].by_flow.values()
    assert opening.first_sent_at == pytest.approx(1.0)
    kept = router.syn_buffer.unexpired_packet(held.header.flow_key, 1.75)
    assert kept.expires_at == held.expires_at == pytest.approx(2.4)


# Guards against a link that is given away while an admitted upload waits for a server,
# and a refusal of it with ``link-full``.
def test_an_upload_in_the_queue_of_its_service_keeps_its_claim():
    router = make_router()
    full_service(router)
    take_queued(router, make_syn(1), 1.0)
    for step in range(1, 50):
        now = 1.0 + step * 0.02
        assert router.is_queued(make_syn(1), now)
        router.remove_expired(now)
    assert make_syn(1).flow_key in router.link.account.uploads
    router.link.account.uploads.clear()
    fill_claims(router, 2.0)
    assert router.route_packet(make_syn(1, 1), 2.0) == HoldForServer("queued")


def fill_claims(router, now):
    for caller in (20, 21, 22):
        key = make_syn(caller).flow_key
        router.link.account.start_upload(key, 40_000.0, 101, now)
