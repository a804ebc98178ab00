from __future__ import annotations

import random

import pytest

from kumquatmux_core.identity import Endpoint, FlowKey, ServiceName, Vm, VmId, ZoneName
from kumquatmux_core.segments import FLAG_ACK, FLAG_RST, FLAG_SYN, Segment
from kumquatmux_flows.engine import FlowEngine
from kumquatmux_flows.events import (
    AskPlacement,
    Binding,
    CallerPacket,
    CancelPlacement,
    Dropped,
    FlowClosed,
    FlowPlaced,
    FlowRefused,
    Passing,
    PeerPacket,
    RefreshRoute,
    ResetCaller,
    RoutesChanged,
    SendToCaller,
    SendToPeer,
    SendToServer,
    ServerPacket,
    ServerRoute,
    ServiceRoute,
    Stage,
    Tick,
    ViewChanged,
    WorkAnswered,
    WorkStarted,
)
from kumquatmux_flows.refusals import Refusal
from kumquatmux_flows.settings import FlowSettings

ENTRIES = ServiceName("entries")
PAGESETTER = ServiceName("pagesetter")
SERVICE = Endpoint("127.66.0.50", 80).packed
OTHER_SERVICE = Endpoint("127.66.0.51", 80).packed
SERVER = Endpoint("127.66.0.1", 9001).packed
OTHER_SERVER = Endpoint("127.66.0.2", 9001).packed
SETTLED_TIME = 100.0
SETTINGS = FlowSettings()


def make_flow_key(port: int, protocol: int = 6, service: bytes = SERVICE) -> FlowKey:
    caller = Endpoint("127.66.0.9", port).packed
    return FlowKey(
        bytes((protocol,)) + caller[:4] + service[:4] + caller[4:] + service[4:]
    )


def make_segment(
    key: FlowKey, flags: int = FLAG_ACK, seq: int = 0, ack: int = 0, length: int = 0
) -> Segment:
    return Segment(key, flags, seq, ack, length, b"packet")


def make_routes(
    *servers: ServerRoute, revision: int = 1, protocols: tuple[int, ...] = (6, 17)
) -> RoutesChanged:
    services = tuple(
        ServiceRoute(name, address, protocol)
        for name, address in ((ENTRIES, SERVICE), (PAGESETTER, OTHER_SERVICE))
        for protocol in protocols
    )
    return RoutesChanged(revision, services, servers)


def make_vms(*vm_names: str) -> tuple[Vm, ...]:
    endpoint = Endpoint("127.0.0.1", 1)
    zone = ZoneName("cnx-a")
    return tuple(Vm(VmId(name), zone, endpoint, endpoint) for name in vm_names)


def make_engine(vm: str = "a", settings: FlowSettings = SETTINGS) -> FlowEngine:
    flow_engine = FlowEngine(VmId(vm), settings, random.Random(1))
    entries = ServerRoute(SERVER, ENTRIES), ServerRoute(OTHER_SERVER, ENTRIES)
    flow_engine.handle(make_routes(*entries), 0.0)
    return flow_engine


def open_flow(flow_engine: FlowEngine, key: FlowKey, now: float = SETTLED_TIME) -> None:
    """Place a flow with only this VM in the view and finish its handshake."""
    flow_engine.handle(CallerPacket(make_segment(key, FLAG_SYN, seq=99)), now)
    flow_engine.handle(FlowPlaced(key, SERVER), now)
    answer = make_segment(key, FLAG_SYN | FLAG_ACK, seq=499, ack=100)
    flow_engine.handle(ServerPacket(answer, SERVER), now)
    flow_engine.handle(CallerPacket(make_segment(key, seq=100, ack=500)), now)


def action_names(actions: list) -> list[str]:
    return [type(action).__name__ for action in actions]


def test_first_packet_requests_one_placement() -> None:
    flow_engine = make_engine()
    key = make_flow_key(1)
    syn = CallerPacket(make_segment(key, FLAG_SYN, seq=99))
    assert flow_engine.handle(syn, SETTLED_TIME) == [AskPlacement(key, ENTRIES)]
    assert flow_engine.handle(syn, SETTLED_TIME) == [
        Dropped(Refusal.DUPLICATE_FIRST_PACKET)
    ]
    assert flow_engine.handle(FlowPlaced(key, SERVER), SETTLED_TIME) == [
        WorkStarted(key, SERVER),
        SendToServer(SERVER, b"packet"),
    ]
    assert flow_engine.handle(syn, SETTLED_TIME) == [SendToServer(SERVER, b"packet")]


def test_refused_placement_only_resets_the_caller() -> None:
    flow_engine = make_engine()
    key = make_flow_key(1)
    first_packet = make_segment(key, FLAG_SYN, seq=99)
    flow_engine.handle(CallerPacket(first_packet), SETTLED_TIME)
    actions = flow_engine.handle(FlowRefused(key, "busy"), SETTLED_TIME)
    assert actions == [ResetCaller(first_packet, "busy")]


def test_caller_reset_cancels_a_pending_placement() -> None:
    flow_engine = make_engine()
    key = make_flow_key(1)
    flow_engine.handle(CallerPacket(make_segment(key, FLAG_SYN, seq=99)), SETTLED_TIME)
    reset = CallerPacket(make_segment(key, FLAG_RST, seq=100))
    assert flow_engine.handle(reset, SETTLED_TIME) == [CancelPlacement(key)]
    assert flow_engine.handle(FlowPlaced(key, SERVER), SETTLED_TIME) == [
        FlowClosed(key, SERVER)
    ]


def test_unanswered_caller_bytes_count_as_work() -> None:
    flow_engine = make_engine()
    key = make_flow_key(1)
    open_flow(flow_engine, key)
    assert flow_engine.handle(Tick(), SETTLED_TIME + 2) == [WorkAnswered(key, SERVER)]
    assert (
        flow_engine.route_caller(key, FLAG_ACK, 100, 500, 40, SETTLED_TIME + 3)
        == SERVER
    )
    assert (
        flow_engine.route_caller(key, FLAG_ACK, 140, 500, 40, SETTLED_TIME + 3)
        == SERVER
    )
    assert flow_engine.drain() == [WorkStarted(key, SERVER)]
    assert flow_engine.route_reply(
        key, FLAG_ACK, 500, 180, 10, SERVER, SETTLED_TIME + 4
    )
    assert flow_engine.route_reply(
        key, FLAG_ACK, 510, 180, 10, SERVER, SETTLED_TIME + 4
    )
    assert flow_engine.drain() == [WorkAnswered(key, SERVER)]


def test_first_packet_reaches_owner_and_backup_before_the_server() -> None:
    vm_names = ("a", "b", "c")
    key = make_flow_key(1)
    engines = {name: make_engine(name) for name in vm_names}
    for flow_engine in engines.values():
        flow_engine.handle(ViewChanged(make_vms(*vm_names)), 0.0)
    ranked_vms = engines["a"].state.ranking.rank(key[0:1] + SERVICE)
    first_packet = make_segment(key, FLAG_SYN, seq=99)
    ingress, owner, backup = (
        engines[ranked_vms[2]],
        engines[ranked_vms[0]],
        engines[ranked_vms[1]],
    )
    (forwarded,) = ingress.handle(CallerPacket(first_packet), SETTLED_TIME)
    assert isinstance(forwarded, SendToPeer)
    assert (forwarded.vm, forwarded.passing.stage) == (ranked_vms[0], Stage.TO_OWNER)
    peer_packet = PeerPacket(VmId(ranked_vms[2]), forwarded.passing, first_packet)
    assert action_names(owner.handle(peer_packet, SETTLED_TIME)) == ["AskPlacement"]
    actions = owner.handle(FlowPlaced(key, SERVER), SETTLED_TIME)
    assert action_names(actions) == ["WorkStarted", "SendToPeer"]
    store_action = actions[1]
    assert isinstance(store_action, SendToPeer)
    assert (store_action.vm, store_action.passing.stage) == (ranked_vms[1], Stage.STORE)
    peer_packet = PeerPacket(VmId(ranked_vms[0]), store_action.passing, first_packet)
    assert backup.handle(peer_packet, SETTLED_TIME) == [SendToServer(SERVER, b"packet")]


@pytest.mark.parametrize(
    ("announced", "is_forwarded"),
    [(ENTRIES, True), (None, True), (PAGESETTER, False)],
)
def test_open_flow_is_reset_if_its_server_announces_another_service(
    announced: ServiceName | None, is_forwarded: bool
) -> None:
    flow_engine = make_engine()
    key = make_flow_key(1)
    open_flow(flow_engine, key)
    servers = () if announced is None else (ServerRoute(SERVER, announced),)
    flow_engine.handle(make_routes(*servers, revision=2), SETTLED_TIME)
    assert (
        flow_engine.route_caller(key, FLAG_ACK, 100, 500, 5, SETTLED_TIME) == SERVER
    ) == is_forwarded
    later_packet = make_segment(key, seq=105, ack=500, length=5)
    actions = action_names(flow_engine.handle(CallerPacket(later_packet), SETTLED_TIME))
    assert ("SendToServer" in actions) == is_forwarded
    assert ("ResetCaller" in actions) != is_forwarded


def test_new_flow_is_not_bound_to_a_removed_server() -> None:
    flow_engine = make_engine()
    key = make_flow_key(1)
    flow_engine.handle(CallerPacket(make_segment(key, FLAG_SYN, seq=99)), SETTLED_TIME)
    flow_engine.handle(
        make_routes(ServerRoute(OTHER_SERVER, ENTRIES), revision=2), SETTLED_TIME
    )
    assert flow_engine.handle(FlowPlaced(key, SERVER), SETTLED_TIME) == [
        FlowClosed(key, SERVER),
        RefreshRoute(Refusal.SERVER_GONE, ENTRIES, SERVER),
        AskPlacement(key, ENTRIES),
    ]
    assert action_names(
        flow_engine.handle(FlowPlaced(key, OTHER_SERVER), SETTLED_TIME)
    ) == [
        "WorkStarted",
        "SendToServer",
    ]


def test_reply_from_another_server_is_dropped() -> None:
    flow_engine = make_engine()
    key = make_flow_key(1)
    open_flow(flow_engine, key)
    reply = make_segment(key, seq=500, ack=100, length=9)
    crossed = flow_engine.handle(ServerPacket(reply, OTHER_SERVER), SETTLED_TIME)
    assert crossed == [Dropped(Refusal.REPLY_CROSSED)]
    assert flow_engine.handle(ServerPacket(reply, SERVER), SETTLED_TIME)[
        -1
    ] == SendToCaller(SERVICE, b"packet")


def test_half_open_flow_continues_if_a_peer_confirms_its_server() -> None:
    flow_engine = make_engine()
    flow_engine.handle(ViewChanged(make_vms("a", "b")), 0.0)
    key = next(
        make_flow_key(port)
        for port in range(9)
        if owns_flow(flow_engine, make_flow_key(port))
    )
    flow_engine.handle(CallerPacket(make_segment(key, FLAG_SYN, seq=99)), SETTLED_TIME)
    flow_engine.handle(FlowPlaced(key, SERVER), SETTLED_TIME)
    ack_of_unseen_reply = make_segment(key, seq=100, ack=500, length=20)
    [lookup] = flow_engine.handle(CallerPacket(ack_of_unseen_reply), SETTLED_TIME)
    assert lookup.passing.stage == Stage.LOOKUP
    adopt_header = Passing(Stage.ADOPT, 0, Binding(SERVER, 1, 1))
    actions = flow_engine.handle(
        PeerPacket(VmId("b"), adopt_header, ack_of_unseen_reply), SETTLED_TIME
    )
    [store_action] = [action for action in actions if isinstance(action, SendToPeer)]
    assert store_action.passing.stage == Stage.STORE


def owns_flow(flow_engine: FlowEngine, key: FlowKey) -> bool:
    return flow_engine.state.ranking.owner_of(key) == flow_engine.vm
