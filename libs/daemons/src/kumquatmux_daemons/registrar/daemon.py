"""The registrar's daemon: a thin loop around its core."""

from __future__ import annotations

import secrets
from collections import Counter
from functools import partial
from random import Random
from typing import Any, NamedTuple

import trio

from kumquatmux_agreement.entries import ReplicaId
from kumquatmux_agreement.messages import MESSAGE_TYPES as REPLICA_MESSAGES
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.codec import registry
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_core.latencies import Latencies
from kumquatmux_core.lines import LineWriter
from kumquatmux_core.problems import Problem
from kumquatmux_daemons import metrics_text
from kumquatmux_daemons.plain_http.server import (
    HttpAnswer,
    HttpCall,
    Shutdown,
    serve_http,
)
from kumquatmux_daemons.registrar.agreed import Agreed
from kumquatmux_daemons.registrar.calls import Answer, CallFormat, Outcome
from kumquatmux_daemons.registrar.core import Answered, CoreParts, RegistrarCore, Sent
from kumquatmux_daemons.registrar.door import Door
from kumquatmux_daemons.registrar.folder import open_store
from kumquatmux_daemons.registrar.settings import RegistrarSettings
from kumquatmux_daemons.running import Steering
from kumquatmux_daemons.transport.datagrams import PeerDatagrams, every
from kumquatmux_daemons.waiting import bind_when_possible, wait_for
from kumquatmux_registry.endings import MESSAGE_TYPES as LEAVE_MESSAGES
from kumquatmux_registry.feed import MESSAGE_TYPES as FEED_MESSAGES
from kumquatmux_registry.lookup import MESSAGE_TYPES as LOOKUP_MESSAGES
from kumquatmux_registry.saved import SavedServers
from kumquatmux_storage import Store

TICK_S = 0.05
HEARTBEAT_S = 0.12
ELECTION_S = 0.6
START_S = 0.03
CLOCK_GAP_S = 0.4
JOIN_S = 0.4
SNAPSHOT_ENTRIES = 64
"""Entries after which the log is compacted; each may hold a whole document."""

KEEP_ENTRIES = 16
ANSWER_S = 4.0
"""Seconds after which a call is answered as unavailable, whatever it waits for."""

STOP_S = 1.2
"""Seconds a stopping registrar goes on, so that another one leads and is told."""


METHODS = frozenset(["GET", "PUT", "POST", "DELETE"])
"""Methods that are counted under their names."""

QUOTED_CHARACTERS = 200
"""Longest text in a line that quotes a call."""


class RegistrarParts(NamedTuple):
    """What a registrar is made of.

    Attributes:
        settings: Its settings.
        format: How calls look on the wire.
        lines: Where its log lines go.
        steering: What signals and its settings file ask of it.
    """

    settings: RegistrarSettings
    format: CallFormat
    lines: LineWriter
    steering: Steering


class Desk:
    """Lets calls wait for the core's answers and sends the core's messages.

    Attributes:
        core: The decisions.
        counts: Calls by outcome.
        latencies: How long calls took.
        shutdown: Graceful shutdown of the server that takes the calls.
    """

    def __init__(
        self,
        core: RegistrarCore,
        peers: PeerDatagrams,
        lines: LineWriter,
        shutdown: Shutdown,
    ) -> None:
        self.core = core
        self.peers = peers
        self.lines = lines
        self.counts: Counter[str] = Counter()
        self.latencies = Latencies()
        self.waiting: dict[str, trio.Event] = {}
        self.answers: dict[str, Answer] = {}
        self.calls = 0
        self.shutdown = shutdown

    def carry_out(self, effects: list[Sent | Answered]) -> None:
        """Send messages and wake the calls that are answered."""
        for effect in effects:
            if isinstance(effect, Sent):
                self.peers.send(effect.vm, effect.message)
                continue
            event = self.waiting.get(effect.token)
            if event is not None:
                self.answers[effect.token] = effect.answer
                event.set()

    def take(self, sender: VmId, message: Any, now: float) -> None:
        """Hand a message of another VM to the core."""
        self.lines.set_time(now)
        self.carry_out(self.core.message(sender, message, now))

    def tick(self, now: float) -> None:
        """Tell the core the time, and write the lines that wait."""
        self.lines.tick(now)
        self.carry_out(self.core.tick(now))

    def stop(self) -> None:
        """Accept no more connections and let the calls that wait be asked again."""
        self.shutdown.requested.set()
        for event in self.waiting.values():
            event.set()

    async def ask(self, call: Any) -> Answer:
        """Return the core's answer to a call."""
        self.calls += 1
        token = f"call-{self.calls}"
        event = self.waiting[token] = trio.Event()
        try:
            self.carry_out(self.core.call(call, token, trio.current_time()))
            if not self.shutdown.requested.is_set():
                with trio.move_on_after(ANSWER_S):
                    await event.wait()
        finally:
            del self.waiting[token]
        problem = Problem("no-answer-yet", "ask again soon")
        late = Answer(Outcome.UNAVAILABLE, problem=problem)
        return self.answers.pop(token, late)


def replica_settings(settings: RegistrarSettings, store: Store) -> ReplicaSettings:
    """Return the replica's settings."""
    return ReplicaSettings(
        cluster=store.identity.cluster,
        replica_id=ReplicaId(settings.vm, store.identity.folder),
        peers=tuple(vm for vm in settings.seeds if vm != settings.vm),
        heartbeat_s=HEARTBEAT_S,
        election_timeout_s=ELECTION_S,
        start_timeout_s=START_S,
        lease_fraction=0.0,
        max_event_gap_s=CLOCK_GAP_S,
        join_period_s=JOIN_S,
        snapshot_interval_entries=SNAPSHOT_ENTRIES,
        retained_entries=KEEP_ENTRIES,
    )


async def open_when_possible(settings: RegistrarSettings) -> Store:
    """Return the open data folder, waiting while it cannot be used."""
    return await wait_for(partial(open_store, settings), "storage-unusable")


async def run_registrar(parts: RegistrarParts) -> None:
    """Run a registrar until it has stopped gracefully."""
    steering = parts.steering
    door = Door(parts.format)
    parts.lines.tick(trio.current_time())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(steering.watch_signals)
        nursery.start_soon(door.serve, parts.settings.calls)
        prepared = partial(prepare_desk, parts, door.shutdown)
        desk = await steering.prepare(prepared, parts.lines)
        if desk is not None:
            door.handler = calls_handler(desk, parts)
            await serve_until_stopped(desk, parts, nursery)
        await door.close()
        nursery.cancel_scope.cancel()
    log_decision("stopped", role="registrar")
    parts.lines.flush()


async def prepare_desk(parts: RegistrarParts, shutdown: Shutdown) -> Desk:
    """Return the desk, once the data folder is open and the port is bound."""
    settings = parts.settings
    store = await open_when_possible(settings)
    random = Random(secrets.randbits(64))
    agreed = Agreed(replica_settings(settings, store), store, random)
    incarnation = secrets.randbits(48)
    saved = SavedServers(store.disk)
    core_parts = CoreParts(agreed, saved, parts.format.services_of)
    core = RegistrarCore(settings, core_parts, incarnation, trio.current_time())
    messages = registry(
        REPLICA_MESSAGES, FEED_MESSAGES, LOOKUP_MESSAGES, LEAVE_MESSAGES
    )
    peers = await bind_when_possible(
        partial(PeerDatagrams, messages=messages), settings.peers
    )
    return Desk(core, peers, parts.lines, shutdown)


async def serve_until_stopped(
    desk: Desk, parts: RegistrarParts, nursery: trio.Nursery
) -> None:
    """Serve until the program has to stop and another one can lead."""
    settings = parts.settings
    steering = parts.steering
    nursery.start_soon(desk.peers.serve, desk.take)
    nursery.start_soon(every, TICK_S, desk.tick)
    nursery.start_soon(serve_http, settings.metrics, metrics_handler(desk, parts))
    steering.steer(desk.core.follower)
    nursery.start_soon(steering.watch_settings)
    log_decision("started", role="registrar", zone=settings.zone)
    await steering.stopping.wait()
    desk.carry_out(desk.core.stop(trio.current_time()))
    await trio.sleep(STOP_S)
    desk.stop()


def calls_handler(desk: Desk, parts: RegistrarParts) -> Any:
    """Return what answers calls of operators and backend servers.

    An error of this program while it reads a call or writes its answer fails that call
    only. One while it acts on a call stops the process, as what it holds may be wrong.
    """

    async def handle(call: HttpCall) -> HttpAnswer:
        started = trio.current_time()
        try:
            read = parts.format.read_call(call)
        except Exception as error:
            return _failed(call, error)
        if read.is_error():
            answer = Answer(Outcome.REFUSED, problem=read.error)
        else:
            answer = await desk.ask(read.ok)
        _count(desk, call, answer, trio.current_time() - started)
        if answer.outcome != Outcome.DONE or read.is_error():
            log_decision(
                "call-answered",
                method=call.method[:QUOTED_CHARACTERS],
                target=call.target[:QUOTED_CHARACTERS],
                outcome=answer.outcome,
                problem=answer.problem,
                leader=answer.leader,
            )
        try:
            return parts.format.write_answer(call, answer)
        except Exception as error:
            return _failed(call, error)

    return handle


def _failed(call: HttpCall, error: Exception) -> HttpAnswer:
    """Log an error of this program's own; return the answer to the call."""
    log_decision(
        "call-failed",
        method=call.method[:QUOTED_CHARACTERS],
        target=call.target[:QUOTED_CHARACTERS],
        error=type(error).__name__,
        detail=str(error)[:QUOTED_CHARACTERS],
    )
    return HttpAnswer(500)


def _count(desk: Desk, call: HttpCall, answer: Answer, elapsed_s: float) -> None:
    method = call.method if call.method in METHODS else "other"
    desk.counts[f"calls.{method}.{answer.outcome}".lower()] += 1
    desk.latencies.record(f"call.{method}".lower(), elapsed_s)


def metrics_handler(desk: Desk, parts: RegistrarParts) -> Any:
    """Return what answers with the metrics."""

    async def handle(call: HttpCall) -> HttpAnswer:
        counts = desk.counts + desk.peers.counts + desk.peers.port.counts
        status = desk.core.agreed.replica.status()
        gauges = {
            "document": float(desk.core.agreed.documents.newest.number),
            "evacuated_zones": float(len(desk.core.agreed.documents.evacuations.zones)),
            "servers": float(len(desk.core.leases.table.held)),
            "followers": float(len(desk.core.publisher.followers)),
            "leads": float(desk.core.agreed.is_leader),
            "term": float(status.term),
            "voters": float(len(status.configuration.voters)),
            "lines_dropped": float(sum(parts.lines.dropped.values())),
        }
        text = metrics_text.render(counts, gauges, desk.latencies)
        return HttpAnswer(200, text, "text/plain")

    return handle
