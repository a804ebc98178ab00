"""Tests of limits, conflicts, backup copies, expiry and shutdown of the engine."""

from __future__ import annotations

import importlib.util
import random
from pathlib import Path

import pytest

from kumquatmux_core.identity import FlowKey, VmId
from kumquatmux_core.segments import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN
from kumquatmux_flows.events import (
    Action,
    Binding,
    CallerPacket,
    Dropped,
    FlowPlaced,
    Leaving,
    Passing,
    PeerMessage,
    PeerPacket,
    Quiet,
    ResetCaller,
    SendMessage,
    SendToPeer,
    SendToServer,
    ServerPacket,
    Stage,
    Tick,
    ViewChanged,
)
from kumquatmux_flows.messages import FLOW_MESSAGES, BatchStored, RecordBatch
from kumquatmux_flows.refusals import Refusal
from kumquatmux_flows.settings import FlowSettings
from kumquatmux_flows.table import Role

_spec = importlib.util.spec_from_file_location(
    "engine_tests", Path(__file__).with_name("test_engine.py")
)
assert _spec is not None and _spec.loader is not None
engine_tests = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(engine_tests)
SERVER, OTHER_SERVER, SETTLED_TIME = (
    engine_tests.SERVER,
    engine_tests.OTHER_SERVER,
    engine_tests.SETTLED_TIME,
)


def send_packet(flow_engine, key: FlowKey, now: float, **fields) -> list[Action]:
    return flow_engine.handle(
        CallerPacket(engine_tests.make_segment(key, **fields)), now
    )


def run_ticks(flow_engine, start: float, seconds: float) -> list[Action]:
    steps = int(seconds * 10)
    return [
        action
        for step in range(1, steps + 1)
        for action in flow_engine.handle(Tick(), start + step / 10)
    ]


def find_owned_key(flow_engine, protocol: int = 6) -> FlowKey:
    keys = (engine_tests.make_flow_key(port, protocol) for port in range(99))
    return next(key for key in keys if engine_tests.owns_flow(flow_engine, key))


@pytest.mark.parametrize(
    ("seconds_since_close", "flags", "expected"),
    [
        (0.1, FLAG_SYN, Dropped(Refusal.QUARANTINED)),
        (9.9, FLAG_SYN, Dropped(Refusal.QUARANTINED)),
        (0.1, FLAG_ACK, SendToServer(SERVER, b"packet")),
    ],
)
def test_closed_flow_key_stays_bound_to_its_server_in_quarantine(
    seconds_since_close, flags, expected
) -> None:
    flow_engine = engine_tests.make_engine()
    key = engine_tests.make_flow_key(1)
    engine_tests.open_flow(flow_engine, key)
    send_packet(flow_engine, key, SETTLED_TIME, flags=FLAG_RST, seq=100)
    assert send_packet(
        flow_engine, key, SETTLED_TIME + seconds_since_close, flags=flags, seq=7_000
    ) == [expected]


def test_closed_flow_key_is_placed_again_after_quarantine() -> None:
    flow_engine = engine_tests.make_engine()
    key = engine_tests.make_flow_key(1)
    engine_tests.open_flow(flow_engine, key)
    fin = engine_tests.make_segment(key, FLAG_FIN | FLAG_ACK, seq=500, ack=101)
    send_packet(
        flow_engine, key, SETTLED_TIME, flags=FLAG_FIN | FLAG_ACK, seq=100, ack=500
    )
    flow_engine.handle(ServerPacket(fin, SERVER), SETTLED_TIME)
    after_quarantine = SETTLED_TIME + 11
    assert engine_tests.action_names(
        send_packet(flow_engine, key, after_quarantine, flags=FLAG_SYN, seq=1)
    ) == ["AskPlacement"]
    flow_engine.handle(FlowPlaced(key, OTHER_SERVER), after_quarantine)
    slot = flow_engine.state.table.slots[key]
    assert flow_engine.state.table.epochs[slot] == 2


def test_a_full_table_refuses_new_flows_and_keeps_open_ones() -> None:
    flow_engine = engine_tests.make_engine(settings=FlowSettings(flow_limit=1))
    open_key, new_key = engine_tests.make_flow_key(1), engine_tests.make_flow_key(2)
    engine_tests.open_flow(flow_engine, open_key)
    refused = send_packet(flow_engine, new_key, SETTLED_TIME, flags=FLAG_SYN, seq=9)
    assert [action.reason for action in refused] == [Refusal.TABLE_FULL]
    assert (
        flow_engine.route_caller(open_key, FLAG_ACK, 100, 500, 5, SETTLED_TIME)
        == SERVER
    )


def test_learned_record_limit_does_not_evict_owned_records() -> None:
    flow_engine = engine_tests.make_engine(settings=FlowSettings(learned_limit=3))
    engine_tests.open_flow(flow_engine, engine_tests.make_flow_key(1))
    for port in range(2, 12):
        reply = engine_tests.make_segment(
            engine_tests.make_flow_key(port), seq=5, ack=6, length=7
        )
        flow_engine.handle(ServerPacket(reply, SERVER), SETTLED_TIME)
    counts = flow_engine.state.table.role_counts
    assert (counts[Role.LEARNED], counts[Role.OWNER]) == (3, 1)
    assert engine_tests.make_flow_key(11) in flow_engine.state.table.slots


@pytest.mark.parametrize(
    ("lost_vms", "record_maybe_lost", "expected"),
    [
        ((), False, "AskPlacement"),
        (("b",), False, "ResetCaller"),
        ((), True, "ResetCaller"),
    ],
)
def test_unknown_udp_flow_is_reset_after_the_loss_of_a_vm(
    lost_vms, record_maybe_lost, expected
) -> None:
    flow_engine = engine_tests.make_engine()
    flow_engine.handle(
        ViewChanged(engine_tests.make_vms("a", "c"), tuple(map(VmId, lost_vms))),
        SETTLED_TIME,
    )
    key = find_owned_key(flow_engine, protocol=17)
    [lookup] = send_packet(flow_engine, key, SETTLED_TIME + 1, flags=0, length=9)
    assert isinstance(lookup, SendToPeer)
    assert lookup.passing.stage == Stage.LOOKUP
    miss_header = Passing(Stage.MISS, 2, None, VmId("a"), record_maybe_lost)
    datagram = engine_tests.make_segment(key, flags=0, length=9)
    answer = flow_engine.handle(
        PeerPacket(VmId("c"), miss_header, datagram), SETTLED_TIME + 1
    )
    assert engine_tests.action_names(answer) == [expected]


def test_unknown_tcp_flow_is_reset_after_two_failed_lookups() -> None:
    flow_engine = engine_tests.make_engine()
    key = engine_tests.make_flow_key(1)
    outcomes = [
        send_packet(flow_engine, key, SETTLED_TIME + after, seq=5, ack=6)
        for after in (0.0, 1.0, 3.5)
    ]
    assert outcomes[:2] == [[Dropped(Refusal.VIEW_UNSETTLED)]] * 2
    assert isinstance(outcomes[2][0], ResetCaller)


@pytest.mark.parametrize(
    ("first_binding", "second_binding", "server"),
    [
        (Binding(SERVER, 1, 1), Binding(OTHER_SERVER, 1, 2), OTHER_SERVER),
        (Binding(SERVER, 1, 2), Binding(OTHER_SERVER, 1, 1), SERVER),
        (Binding(SERVER, 1, 1), Binding(OTHER_SERVER, 1, 1, True), OTHER_SERVER),
        (Binding(SERVER, 1, 1, True), Binding(OTHER_SERVER, 1, 1), SERVER),
        (Binding(SERVER, 1, 1), Binding(OTHER_SERVER, 1, 1), min(SERVER, OTHER_SERVER)),
        (Binding(OTHER_SERVER, 1, 1), Binding(SERVER, 1, 1), min(SERVER, OTHER_SERVER)),
    ],
)
def test_conflicting_bindings_resolve_to_one_server(
    first_binding, second_binding, server
) -> None:
    flow_engine = engine_tests.make_engine()
    key = engine_tests.make_flow_key(1)
    first_packet = engine_tests.make_segment(key, FLAG_SYN, seq=99)
    for binding in (first_binding, second_binding):
        store_header = Passing(Stage.STORE, 0, binding)
        flow_engine.handle(
            PeerPacket(VmId("b"), store_header, first_packet), SETTLED_TIME
        )
    assert (
        flow_engine.state.server_address_of(flow_engine.state.table.slots[key])
        == server
    )


def test_idle_flows_are_backed_up_within_the_byte_budget() -> None:
    flow_engine = engine_tests.make_engine(
        settings=FlowSettings(repair_bytes_per_second=500.0)
    )
    for port in range(60):
        engine_tests.open_flow(flow_engine, engine_tests.make_flow_key(port))
    flow_engine.handle(ViewChanged(engine_tests.make_vms("a", "b")), SETTLED_TIME)
    flow_engine.state.ranking.ranked_vms = {
        service_key: [VmId("a"), VmId("b")]
        for service_key in flow_engine.state.ranking.ranked_vms
    }
    batches = []
    for step in range(1, 101):
        now = SETTLED_TIME + 3 + step / 10
        for action in flow_engine.handle(Tick(), now):
            if isinstance(action, SendMessage):
                batches.append(action.message)
                confirmation = BatchStored(action.message.batch_number)
                flow_engine.handle(PeerMessage(action.vm, confirmation), now)
    sizes = [len(FLOW_MESSAGES.encode(batch)) for batch in batches]
    assert sum(sizes) <= 500 * 10 + 500
    keys = [record.key for batch in batches for record in batch.records]
    assert len(keys) == len(set(keys)) == 60


def test_leaving_vm_reports_quiet_once_its_records_are_stored_elsewhere() -> None:
    flow_engine = engine_tests.make_engine()
    engine_tests.open_flow(flow_engine, engine_tests.make_flow_key(1))
    flow_engine.handle(ViewChanged(engine_tests.make_vms("a", "b")), SETTLED_TIME)
    flow_engine.handle(Leaving(), SETTLED_TIME)
    unconfirmed_actions = run_ticks(flow_engine, SETTLED_TIME, 20.0)
    assert not any(isinstance(action, Quiet) for action in unconfirmed_actions)
    flow_engine.state.table.backup_vms[0] = 0
    unconfirmed_batches = flow_engine.table_sweep.batch_exchange.unconfirmed_batches
    for step in range(300):
        now = SETTLED_TIME + 20 + step / 10
        actions = flow_engine.handle(Tick(), now)
        for number in list(unconfirmed_batches):
            flow_engine.handle(PeerMessage(VmId("b"), BatchStored(number)), now)
        if any(isinstance(action, Quiet) for action in actions):
            return
    raise AssertionError("the handover was never reported as complete")


@pytest.mark.parametrize(
    ("protocol", "idle_limit_seconds"), [(6, 14_400.0), (17, 30.0)]
)
def test_idle_flows_expire_by_protocol(
    protocol: int, idle_limit_seconds: float
) -> None:
    settings = FlowSettings(sweep_seconds=0.1, probes_per_second=0.0)
    flow_engine = engine_tests.make_engine(settings=settings)
    key = engine_tests.make_flow_key(1, protocol)
    if protocol == 6:
        engine_tests.open_flow(flow_engine, key)
    else:
        send_packet(flow_engine, key, SETTLED_TIME, flags=0, length=4)
        flow_engine.handle(FlowPlaced(key, SERVER), SETTLED_TIME)
    run_ticks(flow_engine, SETTLED_TIME + idle_limit_seconds - 3, 2.0)
    assert key in flow_engine.state.table.slots
    run_ticks(flow_engine, SETTLED_TIME + idle_limit_seconds, 2.0)
    assert key not in flow_engine.state.table.slots


def test_record_batch_is_unchanged_by_encoding_and_decoding() -> None:
    flow_engine = engine_tests.make_engine()
    engine_tests.open_flow(flow_engine, engine_tests.make_flow_key(1))
    record = flow_engine.table_sweep.batch_exchange.build_record(
        flow_engine.state.table.slots[engine_tests.make_flow_key(1)], SETTLED_TIME
    )
    batch = RecordBatch(1, (record,))
    assert FLOW_MESSAGES.decode(FLOW_MESSAGES.encode(batch)).ok == batch


def test_fast_path_agrees_with_the_slow_path() -> None:
    rng = random.Random(5)
    for _ in range(300):
        fields = (rng.choice((100, 90, 150)), rng.choice((500, 9)), rng.randrange(2))
        fast_engine, slow_engine = (
            engine_tests.make_engine(),
            engine_tests.make_engine(),
        )
        key = engine_tests.make_flow_key(1)
        for flow_engine in (fast_engine, slow_engine):
            engine_tests.open_flow(flow_engine, key)
        server = fast_engine.route_caller(
            key, FLAG_ACK, fields[0], fields[1], fields[2], 101.0
        )
        sent = send_packet(
            slow_engine, key, 101.0, seq=fields[0], ack=fields[1], length=fields[2]
        )
        if server is not None:
            assert SendToServer(SERVER, b"packet") in sent
            assert fast_engine.drain() == [
                action for action in sent if not isinstance(action, SendToServer)
            ]


@pytest.mark.parametrize(("owner", "is_repeated"), [("a", True), ("b", False)])
def test_reset_is_repeated_only_by_the_owner(owner, is_repeated) -> None:
    """A VM that closed a flow as silent during a partition leaves it to its owner."""
    flow_engine = engine_tests.make_engine()
    key = engine_tests.make_flow_key(1)
    engine_tests.open_flow(flow_engine, key)
    flow_engine.silence_detector.close_reset_flow(
        flow_engine.state.table.slots[key], Refusal.SILENT, SETTLED_TIME
    )
    flow_engine.handle(ViewChanged(engine_tests.make_vms("a", "b")), SETTLED_TIME)
    backup = "b" if owner == "a" else "a"
    flow_engine.state.ranking.ranked_vms = {
        service_key: [VmId(owner), VmId(backup)]
        for service_key in flow_engine.state.ranking.ranked_vms
    }
    actions = run_ticks(flow_engine, SETTLED_TIME, 5.0)
    resets = [action for action in actions if isinstance(action, ResetCaller)]
    assert bool(resets) == is_repeated
