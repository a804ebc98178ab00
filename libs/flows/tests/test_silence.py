"""Tests of the evidence of silence that goes with a flow's record."""

from __future__ import annotations

import importlib.util
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.identity import FlowKey, VmId
from kumquatmux_core.segments import FLAG_ACK
from kumquatmux_flows.engine import FlowEngine
from kumquatmux_flows.events import (
    Action,
    PeerMessage,
    ProbeServer,
    ResetCaller,
    SendMessage,
    ServerPacket,
    Tick,
    ViewChanged,
)
from kumquatmux_flows.messages import FLOW_MESSAGES, RecordBatch
from kumquatmux_flows.settings import FlowSettings
from kumquatmux_flows.table import Role

_spec = importlib.util.spec_from_file_location(
    "engine_tests", Path(__file__).with_name("test_engine.py")
)
assert _spec is not None and _spec.loader is not None
engine_tests = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(engine_tests)
SERVER, SETTLED_TIME = engine_tests.SERVER, engine_tests.SETTLED_TIME

SETTINGS = FlowSettings(
    sweep_seconds=0.5,
    probe_idle_seconds=4.0,
    probe_interval_seconds=1.0,
    probe_limit=4,
    repair_bytes_per_second=50_000.0,
)
CARRIED_LIMIT = 3
OWN_PROBES_BEFORE_RESET = 2
SILENT_KEY, ANSWERED_KEY = (engine_tests.make_flow_key(port) for port in (1, 2))
TICK_SECONDS = 0.1
PATIENCE_SECONDS = 60.0


class Pair:
    """An owner and its backup VM, and a server that answers one of two flows."""

    def __init__(self) -> None:
        self.owner = engine_tests.make_engine("a", SETTINGS)
        self.backup = engine_tests.make_engine("b", SETTINGS)
        self.engines = {VmId("a"): self.owner, VmId("b"): self.backup}
        self.answered = {ANSWERED_KEY}
        self.now = SETTLED_TIME
        self.answers: list[tuple[VmId, ServerPacket]] = []
        self.seen: dict[VmId, list[Action]] = {VmId("a"): [], VmId("b"): []}
        for key in (SILENT_KEY, ANSWERED_KEY):
            engine_tests.open_flow(self.owner, key)
        for engine in self.engines.values():
            engine.handle(ViewChanged(engine_tests.make_vms("a", "b")), self.now)
            ranking = engine.state.ranking
            ranking.ranked_vms = dict.fromkeys(
                ranking.ranked_vms, [VmId("a"), VmId("b")]
            )

    def deliver(self, vm: VmId, actions: list[Action]) -> None:
        """Carry out the actions of one VM and those that follow from them."""
        self.seen[vm] += actions
        for action in actions:
            if isinstance(action, SendMessage) and action.vm in self.engines:
                message = FLOW_MESSAGES.decode(FLOW_MESSAGES.encode(action.message)).ok
                event = PeerMessage(vm, message)
                self.deliver(action.vm, self.engines[action.vm].handle(event, self.now))
            elif isinstance(action, ProbeServer) and action.key in self.answered:
                answer = engine_tests.make_segment(
                    action.key, FLAG_ACK, seq=action.ack, ack=100
                )
                self.answers.append((vm, ServerPacket(answer, SERVER)))

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            answers, self.answers = self.answers, []
            for vm, answer in answers:
                if vm in self.engines:
                    self.deliver(vm, self.engines[vm].handle(answer, self.now))
            for vm, engine in self.engines.items():
                self.deliver(vm, engine.handle(Tick(), self.now))

    def wait_until(self, holds: Callable[[], bool]) -> bool:
        """Let time pass until something holds, and return whether it came to hold."""
        for _ in range(round(PATIENCE_SECONDS / TICK_SECONDS)):
            if holds():
                return True
            self.wait(TICK_SECONDS)
        return False

    def lose_owner(self) -> None:
        """Lose the owner without a word."""
        del self.engines[VmId("a")]
        view = ViewChanged(engine_tests.make_vms("b"), (VmId("a"),))
        self.deliver(VmId("b"), self.backup.handle(view, self.now))

    def probes(self) -> int:
        """Return how often the backup VM has probed the server for the silent flow."""
        return sum(
            isinstance(action, ProbeServer) and action.key == SILENT_KEY
            for action in self.seen[VmId("b")]
        )

    def was_reset(self) -> bool:
        """Return whether the backup VM has reset the caller of the silent flow."""
        return any(
            isinstance(action, ResetCaller) and action.segment.key == SILENT_KEY
            for action in self.seen[VmId("b")]
        )


def count_of(engine: FlowEngine, key: FlowKey) -> int:
    """Return what a VM has counted against a flow."""
    table = engine.state.table
    return table.strikes[table.slots[key]]


def counted_pair() -> Pair:
    """Return a pair whose owner has counted as much as it may hand on."""
    pair = Pair()
    assert pair.wait_until(lambda: count_of(pair.owner, SILENT_KEY) == CARRIED_LIMIT)
    return pair


# Guards against a silent flow whose next owner counts its silence anew.
def test_the_backup_goes_on_from_the_count_of_a_lost_owner() -> None:
    pair = counted_pair()
    assert count_of(pair.backup, SILENT_KEY) == CARRIED_LIMIT
    assert count_of(pair.backup, ANSWERED_KEY) == 0
    pair.lose_owner()
    assert pair.wait_until(pair.was_reset)
    assert pair.probes() == OWN_PROBES_BEFORE_RESET


# Guards against an open flow that is reset by what another VM counted alone.
def test_an_answer_to_the_next_owner_ends_the_count() -> None:
    pair = counted_pair()
    pair.answered.add(SILENT_KEY)
    pair.lose_owner()
    pair.wait(20.0)
    assert not pair.was_reset()
    assert count_of(pair.backup, SILENT_KEY) == 0


# Guards against a reset of a flow whose server answers no flow of the next owner.
def test_the_next_owner_resets_nothing_while_the_server_answers_nobody() -> None:
    pair = counted_pair()
    pair.answered.clear()
    pair.lose_owner()
    pair.wait(20.0)
    assert not pair.was_reset()


# Guards against a flow that is reset soon because it was silent a while ago.
def test_an_old_count_is_not_gone_on_from() -> None:
    pair = counted_pair()
    slot = pair.backup.state.table.slots[SILENT_KEY]
    carried_count = pair.backup.silence_detector.carried_count
    assert carried_count(slot, pair.now) == CARRIED_LIMIT
    assert carried_count(slot, pair.now + SETTINGS.probe_idle_seconds + 1) == 0


# Guards against a count that goes on although the server has answered the flow since.
def test_a_reply_seen_by_the_backup_ends_its_count() -> None:
    pair = counted_pair()
    reply = engine_tests.make_segment(SILENT_KEY, FLAG_ACK, seq=500, ack=100)
    pair.wait(TICK_SECONDS)
    pair.backup.handle(ServerPacket(reply, SERVER), pair.now)
    slot = pair.backup.state.table.slots[SILENT_KEY]
    assert pair.backup.silence_detector.carried_count(slot, pair.now) == 0


# Guards against packets to an address that serves another service by now.
def test_no_probe_goes_to_a_server_whose_address_moved() -> None:
    pair = counted_pair()
    moved = engine_tests.ServerRoute(SERVER, engine_tests.PAGESETTER)
    pair.backup.handle(engine_tests.make_routes(moved, revision=2), pair.now)
    pair.lose_owner()
    pair.wait(5.0)
    assert pair.probes() == 0


# Guards against odd counts of a peer that end a VM or hide a batch's other records.
@given(
    counts=st.lists(st.integers(-(2**63), 2**63 - 1), max_size=4),
    role=st.sampled_from((Role.OWNER, Role.BACKUP)),
)
def test_any_counts_of_a_peer_are_bounded(counts: list[int], role: Role) -> None:
    pair = Pair()
    batch_exchange = pair.owner.table_sweep.batch_exchange
    records = tuple(
        batch_exchange.build_record(slot, pair.now)
        for slot in pair.owner.state.table.slots.values()
    )
    receiver = engine_tests.make_engine("b", SETTINGS)
    receiver.handle(ViewChanged(engine_tests.make_vms("a", "b")), pair.now)
    first = VmId("b" if role == Role.OWNER else "a")
    ranking = receiver.state.ranking
    ranking.ranked_vms = dict.fromkeys(ranking.ranked_vms, [first])
    batch = RecordBatch(1, records, tuple(counts))
    sent = FLOW_MESSAGES.decode(FLOW_MESSAGES.encode(batch)).ok
    actions = receiver.handle(PeerMessage(VmId("a"), sent), pair.now)
    table = receiver.state.table
    assert {record.key for record in records} == set(table.slots)
    assert all(table.roles[slot] == role for slot in table.slots.values())
    assert all(count_of(receiver, key) <= CARRIED_LIMIT for key in table.slots)
    assert not any(isinstance(action, ResetCaller) for action in actions)


# Guards against batches of VMs from before the counts, and theirs of ours.
@pytest.mark.parametrize("count", [0, 2])
def test_a_batch_without_counts_is_read_and_counts_are_appended(count: int) -> None:
    pair = Pair()
    slot = pair.owner.state.table.slots[SILENT_KEY]
    record = pair.owner.table_sweep.batch_exchange.build_record(slot, pair.now)
    old = FLOW_MESSAGES.encode(RecordBatch(1, (record,)))
    new = FLOW_MESSAGES.encode(RecordBatch(1, (record,), (count,)))
    before_counts = b"\x92" + old[4:-1]
    assert FLOW_MESSAGES.decode(old[:3] + before_counts).ok == RecordBatch(1, (record,))
    assert new[4 : len(old) - 1] == before_counts[1:]
