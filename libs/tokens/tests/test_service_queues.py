"""Openings of a service with a target latency that find all servers full."""

from __future__ import annotations

from random import Random

import pytest

from kumquatmux_core import decisions
from kumquatmux_core.codec import registry
from kumquatmux_core.identity import Endpoint
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens.messages import MESSAGE_TYPES
from kumquatmux_tokens.packets import (
    Drop,
    Forward,
    HoldForServer,
    PacketHeader,
    RequestPlacement,
    Reset,
)
from kumquatmux_tokens.placers import PlaceAnswer, PlaceQuestion
from kumquatmux_tokens.router import TokenRouter
from kumquatmux_tokens.routes import Route, RouteSet, WeightedService
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.syn_router import SettledPacket, SettledRequest

FEED = bytes([198, 18, 0, 1, 1, 187])
BULK = bytes([198, 18, 0, 2, 1, 187])
NOW_S = 10.0
QUEUED = HoldForServer("queued")
FULL = 8
"""Requests at which a server of 2 slots is full."""


@pytest.fixture
def lines():
    """Return the decision lines as they are written."""
    written = []
    decisions.configure(
        as_json=False, sink=lambda event, fields: written.append((event, fields))
    )
    yield written
    decisions.configure(as_json=False)


def server(number=1):
    lifetime = Lifetime(f"i-{number}", 1)
    endpoint = Endpoint("10.0.0.9", number)
    report = Report(lifetime, 1, "entries", endpoint, "a", "v1", 2, Phase.READY, 0.0)
    return ServerRecord(report, "c1")


def routes(target_s=0.5, number=1):
    shares = (WeightedService("entries", 1),)
    feed = Route("feed", FEED, shares, 0, target_s)
    bulk = Route("bulk", BULK, shares, 3, 2 * target_s)
    return RouteSet(number, (feed, bulk), frozenset({"entries"}), 15.0)


def make_router(*servers, vm="e1", target_s=0.5):
    router = TokenRouter(TokenRouterSettings(vm, "a"), Random(1), 0.0)
    router.install_routes(routes(target_s), 0.0)
    for record in servers or (server(),):
        router.store_record(record, 0.0)
    return router


def set_load(router, active_requests, number=1):
    token = server(number).token
    router.load_tracker.local_load_at(token).active_requests = active_requests
    router.load_tracker.changed_tokens.add(token)


def full_router(**settings):
    router = make_router(**settings)
    set_load(router, FULL)
    return router


def syn(port=1, copy=0, route=FEED, caller=None):
    """Return a SYN, each port by default of another caller."""
    caller = port if caller is None else caller
    flow_key = bytes([100, 64, 0, caller]) + port.to_bytes(2) + route
    return PacketHeader(flow_key, route, 0, True, False, copy, 100, copy, 0)


def ask(router, port=1, now=NOW_S, sender="e2", route=FEED, caller=None, **fields):
    """Let another VM ask for a flow's server."""
    priority, target_ms = (0, 500) if route == FEED else (3, 1000)
    flow_key = syn(port, 0, route, caller).flow_key
    question = PlaceQuestion(
        sender, flow_key, "entries", (), False, 100, priority, 1400, target_ms
    )
    return router.answer_placement_request(question._replace(**fields), now)


def open_flow(router, header, now=NOW_S):
    """Route a SYN and buffer it, as the daemon does."""
    decision = router.route_packet(header, now)
    if isinstance(decision, HoldForServer | RequestPlacement):
        router.syn_buffer.add(header, b"syn", now)
    return decision


def grant_steadily(router, per_s, until, now=NOW_S):
    """Let slots free up at a rate, each of which the next opening gets."""
    while now + 1 / per_s < until:
        now += 1 / per_s
        set_load(router, FULL - 1)
        router.settle_queues(now)
        set_load(router, FULL)


def granted_flows(settled):
    found = []
    for one in settled:
        if isinstance(one, SettledPacket):
            assert isinstance(one.decision, Forward)
            found.append(one.packet.header.flow_key)
        elif one.answer.token and not one.answer.is_full:
            found.append(one.answer.flow_key)
    return found


# At the coordinator.


def test_own_openings_and_those_of_other_vms_wait_in_one_queue(lines):
    """Guards against a coordinator that serves its own callers before all others."""
    router = full_router()
    assert ask(router, 1) == PlaceAnswer(
        "e1", syn(1).flow_key, 0, True, 0, queue_position=1
    )
    assert open_flow(router, syn(2), NOW_S + 0.01) == QUEUED
    assert ask(router, 3, NOW_S + 0.02, "e3").queue_position == 3
    assert router.settle_queues(NOW_S + 0.03) == []
    set_load(router, FULL - 3)
    first, second, third = router.settle_queues(NOW_S + 0.04)
    token = server().token
    answer = PlaceAnswer("e1", syn(1).flow_key, token, False, 1)
    assert first == SettledRequest("e2", answer)
    assert second.packet.header == syn(2)
    assert second.decision == Forward(server(), token)
    assert third.vm == "e3"
    assert not router.queues.has_work()
    events = [event for event, _ in lines]
    assert events.count("opening-queued") == events.count("opening-granted") == 3
    [position] = [
        fields["position"]
        for event, fields in lines
        if event == "opening-granted" and fields["asking_vm"] == "e3"
    ]
    assert position == 3
    assert router.queues.counts["queue.granted"] == 3


def test_each_grant_counts_before_the_next_one_is_made():
    """Guards against a free slot that is granted to all who wait."""
    router = full_router()
    for port in range(6):
        ask(router, port)
        open_flow(router, syn(100 + port))
    set_load(router, FULL - 2)
    assert len(router.settle_queues(NOW_S + 0.02)) == 2
    assert len(router.queues) == 10


def test_a_new_opening_does_not_overtake_those_that_wait():
    """Guards against a slot that goes to whoever asks first after it was freed."""
    router = full_router()
    ask(router, 1)
    set_load(router, FULL - 1)
    assert ask(router, 2, NOW_S + 0.001).queue_position == 2
    assert open_flow(router, syn(3), NOW_S + 0.002) == QUEUED
    assert granted_flows(router.settle_queues(NOW_S + 0.02)) == [syn(1).flow_key]


def test_a_service_without_a_target_latency_is_polled_as_before():
    """Guards against a queue where no document asks for one."""
    router = full_router(target_s=float("inf"))
    assert open_flow(router, syn()) == HoldForServer("no-slot")
    answer = ask(router, 2)
    assert answer == PlaceAnswer("e1", syn(2).flow_key, server().token, True, 0)
    assert router.queues.by_service == {}
    set_load(router, FULL - 1)
    assert isinstance(open_flow(router, syn(), NOW_S + 0.02), Forward)


def test_a_service_with_free_slots_has_no_queue():
    """Guards against work for each flow where nobody waits."""
    router = make_router()
    assert isinstance(open_flow(router, syn()), Forward)
    assert ask(router, 2).token == server().token
    assert router.queues.by_service == {}


def test_a_queued_flow_that_other_vms_ask_for_too_is_granted_once():
    """Guards against two slots for a flow whose SYN's copy took another way."""
    router = full_router()
    ask(router, 1, sender="e2")
    assert ask(router, 1, NOW_S + 0.2, "e3", wait_left_ms=1200).queue_position == 1
    set_load(router, FULL - 2)
    [settled] = router.settle_queues(NOW_S + 0.22)
    assert settled.vm == "e3"
    again = ask(router, 1, NOW_S + 1.0, "e2")
    assert (again.token, again.is_full) == (server().token, False)


def test_a_new_flow_on_the_port_of_a_queued_one_is_queued_anew():
    """Guards against a caller whose new flow gets the place of its former one."""
    router = full_router()
    ask(router, 1)
    ask(router, 2)
    assert ask(router, 1, NOW_S + 0.1, sequence_number=1 << 31).queue_position == 2


def test_an_opening_that_tried_the_free_server_does_not_block_the_others():
    """Guards against a queue that stops as its first opening cannot use a slot."""
    router = make_router(server(1), server(2))
    set_load(router, FULL, 1)
    set_load(router, FULL, 2)
    ask(router, 1, tried_tokens=(server(1).token,))
    ask(router, 2)
    set_load(router, FULL - 1, 1)
    settled = router.settle_queues(NOW_S + 0.02)
    assert granted_flows(settled) == [syn(2).flow_key]
    set_load(router, FULL - 1, 2)
    settled = router.settle_queues(NOW_S + 0.04)
    assert granted_flows(settled) == [syn(1).flow_key]


def test_queued_openings_are_released_when_the_service_loses_its_servers():
    """Guards against openings that wait in the queue of a service without servers."""
    router = full_router()
    ask(router, 1)
    open_flow(router, syn(2))
    router.store_record(
        server()._replace(
            report=server().report._replace(number=2, phase=Phase.DRAINING)
        ),
        NOW_S,
    )
    [settled] = router.settle_queues(NOW_S + 0.02)
    assert settled.answer == PlaceAnswer("e1", syn(1).flow_key, 0, False, 0)
    assert not router.queues.has_work()
    assert router.route_packet(syn(2), NOW_S + 0.04) == HoldForServer("no-server-yet")


def test_an_opening_without_prospects_is_refused_at_once(lines):
    """Guards against callers that wait 1.4 s for a slot that cannot come in time."""
    router = full_router()
    for port in range(40):
        ask(router, port, wait_left_ms=1340)
    grant_steadily(router, 20, NOW_S + 0.15)
    lines.clear()
    answer = ask(router, 100, NOW_S + 0.15)
    assert (answer.is_refused, answer.is_full, answer.token) == (True, True, 0)
    refused = open_flow(router, syn(101), NOW_S + 0.15)
    assert refused == Reset(0, "service-full")
    # A copy of a SYN may be open elsewhere.
    assert open_flow(router, syn(102, 1), NOW_S + 0.15) == Drop("copy-refused")
    assert router.queues.counts["queue.refused.wait-too-long"] >= 3
    reasons = [
        (fields["reason"], fields["position"] > 10)
        for event, fields in lines
        if event == "opening-refused"
    ]
    assert reasons == [("wait-too-long", True)] * 3


def test_a_refusal_while_queued_reaches_the_caller_or_the_vm_that_asked():
    """Guards against a rate that falls while callers wait, who learn nothing of it."""
    router = full_router()
    for port in range(20):
        ask(router, port)
        open_flow(router, syn(100 + port))
    settled = router.settle_queues(NOW_S + 0.15)
    resets = [one for one in settled if isinstance(one, SettledPacket)]
    refusals = [one for one in settled if isinstance(one, SettledRequest)]
    assert {one.decision for one in resets} == {Reset(0, "service-full")}
    assert all(one.answer.is_refused for one in refusals)
    assert len(resets) + len(refusals) > 20


def test_a_refused_caller_that_comes_again_goes_first():
    """Guards against a caller that is refused three times in turn."""
    router = full_router()
    for port in range(40):
        ask(router, port, wait_left_ms=1340)
    grant_steadily(router, 20, NOW_S + 0.15)
    assert ask(router, 100, NOW_S + 0.15).is_refused
    assert ask(router, 101, NOW_S + 0.2, caller=100).queue_position == 1
    assert ask(router, 102, NOW_S + 0.2, caller=100).is_refused


def test_an_older_vm_waits_in_the_queue_too_and_reads_its_second_answer():
    """Guards against openings of VMs not yet replaced that starve behind the queue."""
    codec = registry(MESSAGE_TYPES)
    router = full_router()
    flow_key = syn(1, route=BULK).flow_key
    old = PlaceQuestion("e2", flow_key, "entries", (), False, 100)
    body = codec.encode(old)
    # The five new fields take one byte each if they say nothing.
    header, fields = body[:3], body[4:-5]
    read = codec.decode(header + bytes([0x96]) + fields).ok
    assert read == old
    answer = router.answer_placement_request(read, NOW_S)
    assert (answer.is_full, answer.queue_position) == (True, 1)
    # It polls, which changes nothing; an urgent opening goes before it.
    assert router.answer_placement_request(read, NOW_S + 0.02).queue_position == 1
    assert ask(router, 2, NOW_S + 0.03).queue_position == 1
    set_load(router, FULL - 2)
    settled = router.settle_queues(NOW_S + 0.04)
    assert granted_flows(settled) == [syn(2).flow_key, flow_key]


def test_all_queues_of_a_vm_are_bounded():
    """Guards against memory that grows with the services of a document."""
    router = full_router()
    router.queues.settings = router.settings._replace(queued_openings_limit=2)
    reasons = [ask(router, port).is_refused for port in range(3)]
    assert reasons == [False, False, True]
    assert router.queues.counts["queue.refused.queue-full"] == 1


def test_an_opening_that_another_displaced_is_refused():
    """Guards against an opening that leaves the queue without a word."""
    router = full_router()
    router.queues.settings = router.settings._replace(queued_openings_limit=1)
    ask(router, 1, route=BULK)
    assert ask(router, 2).queue_position == 1
    [settled] = router.settle_queues(NOW_S + 0.02)
    assert settled.answer.flow_key == syn(1, route=BULK).flow_key
    assert settled.answer.is_refused


def test_queues_without_openings_are_forgotten():
    """Guards against state that stays for every service that was ever full."""
    router = full_router()
    ask(router, 1)
    router.remove_expired(NOW_S + 0.1)
    assert len(router.queues) == 1
    router.settle_queues(NOW_S + 2.0)
    router.remove_expired(NOW_S + 9.0)
    assert router.queues.by_service == {}


# At a VM that asks.


def asking_router(target_s=0.5):
    """Return a router that is no coordinator, the coordinator, and its successor."""
    router = make_router(target_s=target_s)
    for number in range(2, 99):
        router.coordinators.set_entry_vms(("e1", f"e{number}", f"e{number + 1}"))
        ranking = router.coordinators._ranking("entries")
        if ranking[2] == "e1":
            return router, ranking[0], ranking[1]
    raise AssertionError("this VM is the coordinator in every zone")


def queued_answer(vm, header, position=3):
    return PlaceAnswer(vm, header.flow_key, 0, True, 0, queue_position=position)


def wait_in_queue(router, vm, header, now=NOW_S):
    asked = open_flow(router, header, now)
    assert asked.coordinator == vm
    answer = queued_answer(vm, header)
    assert router.process_placement_answer(answer, now + 0.001) is None
    return asked


def test_the_question_says_what_the_queue_orders_by():
    router, vm, _ = asking_router()
    asked = open_flow(router, syn(1, 1, BULK))
    assert asked.coordinator == vm
    request = asked.request
    assert (request.priority, request.target_latency_ms) == (3, 1000)
    assert (request.wait_left_ms, request.was_refused) == (1200, False)


def test_a_question_for_a_service_without_a_queue_is_as_short_as_before():
    """Guards against bytes for each flow that nobody uses."""
    router, _, _ = asking_router(float("inf"))
    request = open_flow(router, syn(1)).request
    assert request == PlaceQuestion("e1", syn(1).flow_key, "entries", (), False, 100)


def test_a_queued_opening_is_asked_for_again_once_a_second_only():
    """Guards against questions every 20 ms that keep the coordinator busy."""
    router, vm, _ = asking_router()
    wait_in_queue(router, vm, syn())
    for step in range(1, 50):
        assert router.route_packet(syn(), NOW_S + step * 0.02) == QUEUED
    assert isinstance(router.route_packet(syn(), NOW_S + 1.01), RequestPlacement)


def test_other_openings_are_asked_for_while_one_is_queued():
    """Guards against a pause of all questions, which would keep others out of line."""
    router, vm, _ = asking_router()
    wait_in_queue(router, vm, syn(1))
    assert open_flow(router, syn(2), NOW_S + 0.002).coordinator == vm


def test_the_second_answer_places_the_opening():
    router, vm, _ = asking_router()
    wait_in_queue(router, vm, syn())
    answer = PlaceAnswer(vm, syn().flow_key, server().token, False, 7)
    held = router.process_placement_answer(answer, NOW_S + 0.3)
    decision = router.apply_placement_answer(held.header, answer, NOW_S + 0.3)
    assert decision == Forward(server(), server().token)
    assert router.syn_buffer.waits == {}


def test_a_refusal_resets_a_first_syn_and_marks_the_retry():
    """Guards against a retry by way of this VM that no VM recognizes."""
    router, vm, _ = asking_router()
    wait_in_queue(router, vm, syn())
    refusal = PlaceAnswer(vm, syn().flow_key, 0, True, 0, is_refused=True)
    held = router.process_placement_answer(refusal, NOW_S + 0.1)
    decision = router.apply_placement_answer(held.header, refusal, NOW_S + 0.1)
    assert decision == Reset(0, "service-full")
    router.syn_buffer.remove(syn().flow_key)
    retry, other = syn(2, caller=1), syn(3, caller=1)
    assert open_flow(router, retry, NOW_S + 0.2).request.was_refused
    assert not open_flow(router, other, NOW_S + 0.2).request.was_refused


def test_a_refusal_after_a_copy_may_have_been_sent_resets_nothing():
    """Guards against a reset of a flow that is open by way of another VM."""
    router, vm, _ = asking_router()
    wait_in_queue(router, vm, syn())
    refusal = PlaceAnswer(vm, syn().flow_key, 0, True, 0, is_refused=True)
    held = router.process_placement_answer(refusal, NOW_S + 0.3)
    decision = router.apply_placement_answer(held.header, refusal, NOW_S + 0.3)
    assert decision == Drop("copy-refused")


def test_a_coordinator_of_an_older_version_is_polled_as_before():
    """Guards against openings that wait for a second answer nobody will send."""
    router, vm, _ = asking_router()
    open_flow(router, syn())
    full = PlaceAnswer(vm, syn().flow_key, server().token, True, 0)
    assert router.process_placement_answer(full, NOW_S + 0.001) is None
    assert router.route_packet(syn(), NOW_S + 0.01) == HoldForServer("no-slot")
    assert isinstance(router.route_packet(syn(), NOW_S + 0.02), RequestPlacement)


def test_an_opening_that_nobody_answered_for_is_placed_here_as_before():
    """Guards against a wait for a queue in which the opening never was."""
    router, _, _ = asking_router()
    open_flow(router, syn())
    assert isinstance(router.route_packet(syn(), NOW_S + 0.05), Forward)


# Failures.


def test_queued_openings_go_to_the_successor_of_a_dead_coordinator():
    """Guards against openings that wait out their callers in a queue that is gone.

    A new opening finds the coordinator silent after the placement timeout. At the next
    try, within the grant interval, all others are asked of its successor.
    """
    router, vm, successor = asking_router()
    for port in (1, 2):
        wait_in_queue(router, vm, syn(port), NOW_S)
    died_at = NOW_S + 0.1
    assert open_flow(router, syn(3), died_at).coordinator == vm
    settings = router.settings
    limit = died_at + settings.placement_timeout_s + settings.grant_interval_s
    now, asked = died_at, {}
    while now < limit:
        now += settings.grant_interval_s / 4
        for port in (3, 1, 2):
            decision = open_flow(router, syn(port), now)
            if isinstance(decision, RequestPlacement):
                asked[port] = decision.coordinator
    assert {port: asked.get(port) for port in (1, 2)} == {1: successor, 2: successor}


def test_an_opening_that_may_not_be_asked_for_yet_is_asked_for_later():
    """Guards against a wait in the queue of a successor that was never asked."""
    router, vm, successor = asking_router()
    wait_in_queue(router, vm, syn())
    router.coordinators.record_request(vm, b"x" * 12, NOW_S)
    assert not router.coordinators.is_pending(b"x" * 12, NOW_S + 0.05)
    router.syn_router.last_full_at["entries"] = NOW_S + 0.05
    assert open_flow(router, syn(), NOW_S + 0.06) == HoldForServer("no-slot")
    assert open_flow(router, syn(), NOW_S + 0.08).coordinator == successor


def test_a_lone_opening_finds_the_successor_by_the_copy_of_its_syn():
    """Guards against a quiet VM that learns of a dead coordinator a second late."""
    router, vm, successor = asking_router()
    wait_in_queue(router, vm, syn())
    assert open_flow(router, syn(1, 1), NOW_S + 0.2).coordinator == vm
    decision = open_flow(router, syn(1, 1), NOW_S + 0.24)
    assert decision.coordinator == successor


def test_a_copy_asks_nothing_while_the_coordinator_is_heard():
    """Guards against two more questions for each opening that waits."""
    router, vm, _ = asking_router()
    wait_in_queue(router, vm, syn(1))
    wait_in_queue(router, vm, syn(2), NOW_S + 0.15)
    assert open_flow(router, syn(1, 1), NOW_S + 0.2) == QUEUED


def test_the_own_queue_takes_over_when_this_vm_is_the_successor():
    """Guards against openings that no VM queues after two coordinators are gone."""
    router, vm, successor = asking_router()
    wait_in_queue(router, vm, syn())
    set_load(router, FULL)
    for gone in (vm, successor):
        router.coordinators.record_request(gone, b"x" * 12, NOW_S)
        assert not router.coordinators.is_pending(b"x" * 12, NOW_S + 0.1)
    assert open_flow(router, syn(), NOW_S + 0.12) == QUEUED
    assert len(router.queues) == 1
    # Heard again, it is the coordinator, and the opening leaves the queue here.
    router.coordinators.record_answer(vm, b"x" * 12)
    assert open_flow(router, syn(), NOW_S + 0.2).coordinator == vm
    assert len(router.queues) == 0


def test_a_lost_second_answer_is_made_up_for():
    """Guards against a datagram loss that costs a caller its whole wait."""
    coordinator = full_router(vm="e9")
    ask(coordinator, 1)
    set_load(coordinator, FULL - 1)
    [lost] = coordinator.settle_queues(NOW_S + 0.1)
    again = ask(coordinator, 1, NOW_S + 1.0, wait_left_ms=400)
    assert (again.token, again.is_full) == (lost.answer.token, False)


def test_answers_of_a_former_coordinator_refuse_nothing():
    """Guards against a refusal by a VM that froze and knows nothing of what came."""
    router, vm, successor = asking_router()
    wait_in_queue(router, vm, syn())
    router.coordinators.record_request(vm, b"x" * 12, NOW_S)
    assert not router.coordinators.is_pending(b"x" * 12, NOW_S + 0.05)
    assert open_flow(router, syn(), NOW_S + 0.06).coordinator == successor
    stale = PlaceAnswer(vm, syn().flow_key, 0, True, 0, is_refused=True)
    assert router.process_placement_answer(stale, NOW_S + 0.07) is None
    assert router.process_placement_answer(queued_answer(vm, syn()), NOW_S) is None
    assert router.syn_buffer.waits[syn().flow_key].vm == successor


def test_a_grant_for_a_caller_that_gave_up_places_nothing():
    """Guards against a request that runs for nobody."""
    router, vm, _ = asking_router()
    wait_in_queue(router, vm, syn())
    stale = PlaceAnswer(vm, syn().flow_key, server().token, False, 7)
    assert router.process_placement_answer(stale, NOW_S + 1.41) is None
    assert router.load_tracker.flows == {}


def test_a_grant_of_a_former_coordinator_places_nothing():
    """Guards against floods by a VM that hears of no load since it was replaced."""
    router, vm, successor = asking_router()
    wait_in_queue(router, vm, syn())
    router.coordinators.record_request(vm, b"x" * 12, NOW_S)
    assert not router.coordinators.is_pending(b"x" * 12, NOW_S + 0.05)
    moved = open_flow(router, syn(), NOW_S + 0.06)
    assert (moved.coordinator, moved.request.was_queued) == (successor, True)
    for sender in (vm, successor, vm):
        answer = PlaceAnswer(sender, syn().flow_key, server().token, False, 7)
        held = router.process_placement_answer(answer, NOW_S + 0.1)
        assert (held is not None) == (sender == successor)
        if held is not None:
            router.syn_buffer.remove(syn().flow_key)


def test_the_slots_of_a_dead_asking_vm_are_free_again_after_its_reservations():
    """Guards against slots that stay taken for flows that nobody will open."""
    router = full_router()
    ask(router, 1, sender="e2")
    ask(router, 2, sender="e3")
    set_load(router, FULL - 1)
    [dead] = router.settle_queues(NOW_S + 0.02)
    assert dead.vm == "e2"
    router.load_tracker.peer_load.remove_expired(NOW_S + 0.4)
    assert router.settle_queues(NOW_S + 0.4) == []
    router.load_tracker.peer_load.remove_expired(NOW_S + 0.53)
    [next_one] = router.settle_queues(NOW_S + 0.53)
    assert next_one.vm == "e3"


def test_a_coordinator_that_froze_grants_nothing_to_callers_that_gave_up():
    """Guards against slots that go to those who wait no longer."""
    router = full_router()
    ask(router, 1)
    open_flow(router, syn(2))
    set_load(router, 0)
    ask(router, 3, NOW_S + 2.0)
    settled = router.settle_queues(NOW_S + 2.0)
    assert granted_flows([one for one in settled if not _is_refusal(one)]) == [
        syn(3).flow_key
    ]


def zone_of(router):
    """Make a router one of five VMs."""
    router.coordinators.set_entry_vms(tuple(f"e{one}" for one in range(1, 6)))
    return router


def test_a_successor_grants_nothing_until_it_has_heard_of_the_load():
    """Guards against a flood at servers that seem free to a VM that just took over.

    The other VMs report the load to their coordinator only, within a report interval.
    """
    router = zone_of(make_router())
    for port in range(20):
        answer = ask(router, port, wait_left_ms=1000, was_queued=True)
        assert answer.queue_position == port + 1
    assert ask(router, 100, NOW_S + 0.01).queue_position > 0
    for step in range(5):
        assert router.settle_queues(NOW_S + step * 0.02) == []
    set_load(router, FULL - 3)
    assert len(granted_flows(router.settle_queues(NOW_S + 0.11))) == 3


def test_a_coordinator_that_serves_a_queue_goes_on_when_others_join():
    """Guards against a pause for each opening that comes from another queue."""
    router = zone_of(full_router())
    ask(router, 1)
    router.settle_queues(NOW_S + 0.02)
    ask(router, 2, NOW_S + 0.03, was_queued=True)
    set_load(router, FULL - 2)
    assert len(granted_flows(router.settle_queues(NOW_S + 0.04))) == 2


def test_a_coordinator_that_froze_waits_for_news_of_the_load():
    """Guards against grants by what a VM knew before its pause."""
    router = zone_of(full_router())
    for step in range(5):
        ask(router, step, NOW_S + step * 0.02)
        router.settle_queues(NOW_S + step * 0.02)
    set_load(router, 0)
    resumed_at = NOW_S + 0.7
    assert router.settle_queues(resumed_at) == []
    assert router.settle_queues(resumed_at + 0.02) == []
    assert len(granted_flows(router.settle_queues(resumed_at + 0.11))) == 5


def test_queued_openings_stay_until_the_preferred_coordinator_answers():
    """Guards against all openings that leave their queue when a backoff ends."""
    router, vm, successor = asking_router()
    router.coordinators.record_request(vm, b"x" * 12, NOW_S)
    assert not router.coordinators.is_pending(b"x" * 12, NOW_S + 0.05)
    wait_in_queue(router, successor, syn(1), NOW_S + 0.9)
    assert router.coordinators.coordinator_for("entries", NOW_S + 1.1) == vm
    assert router.route_packet(syn(1), NOW_S + 1.1) == QUEUED
    router.coordinators.record_answer(vm, b"x" * 12)
    moved = router.route_packet(syn(1), NOW_S + 1.12)
    assert (moved.coordinator, moved.request.was_queued) == (vm, True)


def _is_refusal(settled):
    return isinstance(settled, SettledRequest) and settled.answer.is_refused


def test_state_of_openings_that_found_no_room_is_forgotten():
    """Guards against waits that stay for SYNs that were never buffered."""
    router, vm, _ = asking_router()
    router.route_packet(syn(), NOW_S)
    router.syn_buffer.add(syn(), b"", NOW_S)
    router.process_placement_answer(queued_answer(vm, syn()), NOW_S)
    router.syn_buffer.by_flow.clear()
    router.remove_expired(NOW_S + 0.5)
    assert router.syn_buffer.waits == {}
