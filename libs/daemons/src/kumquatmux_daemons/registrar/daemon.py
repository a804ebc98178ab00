"""The registrar's daemon: a thin loop around its core."""

from __future__ import annotations

import secrets
from collections import Counter
from random import Random
from typing import Any, NamedTuple

import trio
from expression import Error, Ok, Result

from kumquatmux_agreement.entries import (
    ReplicaId,
    founding_folder,
    founding_vms,
    joining_state,
    shared_founding_state,
)
from kumquatmux_agreement.messages import MESSAGE_TYPES as REPLICA_MESSAGES
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.codec import registry
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import Endpoint, VmId
from kumquatmux_core.latencies import Latencies
from kumquatmux_core.lines import LineWriter
from kumquatmux_core.problems import Problem
from kumquatmux_daemons import metrics_text
from kumquatmux_daemons.plain_http.server import (
    Handler,
    HttpAnswer,
    HttpCall,
    Shutdown,
    serve_http,
)
from kumquatmux_daemons.registrar.agreed import Agreed
from kumquatmux_daemons.registrar.calls import Answer, CallFormat, Outcome
from kumquatmux_daemons.registrar.core import Answered, CoreParts, RegistrarCore, Sent
from kumquatmux_daemons.registrar.first_start import FILE_NAME as FIRST_START
from kumquatmux_daemons.registrar.first_start import noted_founders
from kumquatmux_daemons.registrar.settings import RegistrarSettings
from kumquatmux_daemons.running import Watch, watch_settings, watch_signals
from kumquatmux_daemons.transport.datagrams import PeerDatagrams, every
from kumquatmux_registry.feed import MESSAGE_TYPES as FEED_MESSAGES
from kumquatmux_registry.lookup import MESSAGE_TYPES as LOOKUP_MESSAGES
from kumquatmux_registry.saved import SavedServers
from kumquatmux_storage import Identity, Store, open_or_create
from kumquatmux_storage.disk import Disk, open_folder, problem_from_os_error

CLUSTER = "registrar"
FOLDER_NAME_BYTES = 8
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

LAST_ANSWERS_S = 1.0
"""Longest seconds after that in which the calls that arrived get their answers."""


class RegistrarParts(NamedTuple):
    """What a registrar is made of.

    Attributes:
        settings: Its settings.
        format: How calls look on the wire.
        lines: Where its log lines go.
        watch: Its settings file.
    """

    settings: RegistrarSettings
    format: CallFormat
    lines: LineWriter
    watch: Watch


class Desk:
    """Lets calls wait for the core's answers and sends the core's messages.

    Attributes:
        core: The decisions.
        counts: Calls by outcome.
        latencies: How long calls took.
        shutdown: Graceful shutdown of the server that takes the calls.
        stopped: Set when the last call is answered after it.
    """

    def __init__(
        self, core: RegistrarCore, peers: PeerDatagrams, lines: LineWriter
    ) -> None:
        self.core = core
        self.peers = peers
        self.lines = lines
        self.counts: Counter[str] = Counter()
        self.latencies = Latencies()
        self.waiting: dict[str, trio.Event] = {}
        self.answers: dict[str, Answer] = {}
        self.calls = 0
        self.shutdown = Shutdown()
        self.stopped = trio.Event()

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


def open_store(settings: RegistrarSettings) -> Result[Store, Problem]:
    """Open the data folder, or create it if it is empty."""
    disk = open_folder(settings.folder)
    if disk.is_error():
        return Error(disk.error)
    founders = founders_of(settings, disk.ok)
    if founders.is_error():
        return Error(founders.error)
    folder = secrets.token_hex(FOLDER_NAME_BYTES)
    first = joining_state()
    if founders.ok:
        folder = founding_folder(founders.ok)
        first = shared_founding_state(founders.ok)
    identity = Identity(CLUSTER, settings.vm, folder)
    opened = open_or_create(disk.ok, identity, first)
    if opened.is_error():
        return Error(opened.error)
    return Ok(opened.ok)


def founders_of(
    settings: RegistrarSettings, disk: Disk
) -> Result[tuple[VmId, ...], Problem]:
    """Return with whom this VM founds the cluster if its folder is empty, or nobody.

    What was noted at the first start goes first: seeds change later.
    """
    try:
        noted = noted_founders(disk)
    except OSError as error:
        return Error(problem_from_os_error(error, FIRST_START))
    seeds = noted or (settings.seeds if settings.founds else ())
    founders = founding_vms(seeds)
    return Ok(founders if settings.vm in founders else ())


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
    """Return the open data folder, waiting while its disk takes no writes."""
    while True:
        store = open_store(settings)
        if store.is_ok():
            return store.ok
        log_decision("storage-unusable", problem=store.error)
        await trio.sleep(ANSWER_S / 8)


async def run_registrar(parts: RegistrarParts) -> None:
    """Run a registrar until it has stopped gracefully."""
    settings = parts.settings
    parts.lines.tick(trio.current_time())
    store = await open_when_possible(settings)
    random = Random(secrets.randbits(64))
    agreed = Agreed(replica_settings(settings, store), store, random)
    incarnation = secrets.randbits(48)
    core_parts = CoreParts(agreed, SavedServers(store.disk))
    core = RegistrarCore(settings, core_parts, incarnation, trio.current_time())
    messages = registry(REPLICA_MESSAGES, FEED_MESSAGES, LOOKUP_MESSAGES)
    desk = Desk(core, PeerDatagrams(settings.peers, messages), parts.lines)
    stopping = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(desk.peers.serve, desk.take)
        nursery.start_soon(every, TICK_S, desk.tick)
        handle_call = calls_handler(desk, parts)
        nursery.start_soon(serve_calls, settings.calls, handle_call, desk)
        nursery.start_soon(serve_http, settings.metrics, metrics_handler(desk, parts))
        nursery.start_soon(watch_signals, parts.watch, core.follower, stopping)
        nursery.start_soon(watch_settings, parts.watch, core.follower)
        log_decision("started", role="registrar", zone=settings.zone)
        await stopping.wait()
        desk.carry_out(core.stop(trio.current_time()))
        await trio.sleep(STOP_S)
        desk.stop()
        with trio.move_on_after(LAST_ANSWERS_S):
            await desk.stopped.wait()
        nursery.cancel_scope.cancel()
    log_decision("stopped", role="registrar")
    parts.lines.flush()


async def serve_calls(bind: Endpoint, handler: Handler, desk: Desk) -> None:
    """Serve calls until the desk stops and the last one is answered."""
    await serve_http(bind, handler, desk.shutdown)
    desk.stopped.set()


def calls_handler(desk: Desk, parts: RegistrarParts) -> Any:
    """Return what answers calls of operators and backend servers."""

    async def handle(call: HttpCall) -> HttpAnswer:
        started = trio.current_time()
        read = parts.format.read_call(call)
        if read.is_error():
            answer = Answer(Outcome.REFUSED, problem=read.error)
        else:
            answer = await desk.ask(read.ok)
        desk.counts[f"calls.{call.method}.{answer.outcome}".lower()] += 1
        desk.latencies.record(
            f"call.{call.method}".lower(), trio.current_time() - started
        )
        if answer.outcome != Outcome.DONE or read.is_error():
            log_decision(
                "call-answered",
                method=call.method,
                target=call.target,
                outcome=answer.outcome,
                problem=answer.problem,
                leader=answer.leader,
            )
        return parts.format.write_answer(call, answer)

    return handle


def metrics_handler(desk: Desk, parts: RegistrarParts) -> Any:
    """Return what answers with the metrics."""

    async def handle(call: HttpCall) -> HttpAnswer:
        counts = desk.counts + desk.peers.counts + desk.peers.port.counts
        status = desk.core.agreed.replica.status()
        gauges = {
            "document": float(desk.core.agreed.documents.newest.number),
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
