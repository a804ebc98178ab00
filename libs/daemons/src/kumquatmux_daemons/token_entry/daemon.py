"""The token entry daemon: a thin loop around its core."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any, NamedTuple

import trio

from kumquatmux_core.codec import registry
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_core.lines import LineWriter
from kumquatmux_daemons import metrics_text
from kumquatmux_daemons.entry.port import PacketPort
from kumquatmux_daemons.plain_http.server import HttpAnswer, HttpCall, serve_http
from kumquatmux_daemons.running import Steering
from kumquatmux_daemons.timers import Timer
from kumquatmux_daemons.token_entry.core import Datagram, Effect, EntryCore, Probe
from kumquatmux_daemons.token_entry.formats import EntryFormat
from kumquatmux_daemons.token_entry.probing import probe_server
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_daemons.transport.datagrams import PeerDatagrams
from kumquatmux_daemons.waiting import bind_when_possible
from kumquatmux_registry.feed import MESSAGE_TYPES as FEED_MESSAGES
from kumquatmux_registry.lookup import MESSAGE_TYPES as LOOKUP_MESSAGES
from kumquatmux_tokens.messages import MESSAGE_TYPES as TOKEN_MESSAGES


class EntryParts(NamedTuple):
    """What a token entry daemon is made of.

    Attributes:
        settings: Its settings.
        format: How packets and documents look.
        lines: Where its log lines go.
        steering: What signals and its settings file ask of it.
    """

    settings: EntrySettings
    format: EntryFormat
    lines: LineWriter
    steering: Steering


class Ports(NamedTuple):
    """The sockets that effects go to."""

    packets: PacketPort
    peers: PeerDatagrams

    def carry_out(
        self, start_probe: Callable[[Probe], None], effects: Iterable[Effect]
    ) -> None:
        """Send what the core wants sent, and start the probes that it wants."""
        for effect in effects:
            if isinstance(effect, Datagram):
                self.packets.send(effect.data, effect.target)
            elif isinstance(effect, Probe):
                start_probe(effect)
            else:
                self.peers.send(effect.vm, effect.message)


async def run_entry(parts: EntryParts) -> None:
    """Run an entry VM until it has stopped gracefully."""
    steering = parts.steering
    parts.lines.tick(trio.current_time())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(steering.watch_signals)
        ports = await steering.prepare(partial(prepare_ports, parts), parts.lines)
        if ports is not None:
            await serve_until_stopped(ports, parts, nursery)
        nursery.cancel_scope.cancel()
    log_decision("stopped", role="entry")
    parts.lines.flush()


async def prepare_ports(parts: EntryParts) -> Ports:
    """Return the sockets, once they are bound."""
    settings = parts.settings
    messages = registry(FEED_MESSAGES, LOOKUP_MESSAGES, TOKEN_MESSAGES)
    packets = await bind_when_possible(PacketPort, settings.packets)
    peers = await bind_when_possible(
        partial(PeerDatagrams, messages=messages), settings.peers
    )
    return Ports(packets, peers)


async def serve_until_stopped(
    ports: Ports, parts: EntryParts, nursery: trio.Nursery
) -> None:
    """Serve until the program has to stop and the fabric has let go."""
    settings = parts.settings
    steering = parts.steering
    random = Random(secrets.randbits(64))
    core = EntryCore(settings, parts.format, random, trio.current_time())
    timer = Timer()
    lines = parts.lines

    async def probe(wanted: Probe) -> None:
        timeout_s = core.router.settings.probe_timeout_s
        result = await probe_server(wanted.endpoint, timeout_s)
        now = trio.current_time()
        lines.set_time(now)
        carry_out(core.probed(wanted.token, result, now))

    def start_probe(wanted: Probe) -> None:
        nursery.start_soon(probe, wanted)

    carry_out = partial(ports.carry_out, start_probe)

    def take_packet(data: bytes, source: tuple[str, int], now: float) -> None:
        lines.set_time(now)
        carry_out(core.packet(data, now))

    def take_message(sender: VmId, message: Any, now: float) -> None:
        lines.set_time(now)
        carry_out(core.message(sender, message, now))

    def end_batch(now: float) -> None:
        timer.move_forward(core.due_at(now))

    def end_packets(now: float) -> None:
        if ports.packets.is_queue_empty:
            core.router.backlog.note_queue_empty()
        end_batch(now)

    def tick(now: float) -> float:
        lines.tick(now)
        carry_out(core.tick(now))
        return core.due_at(now)

    nursery.start_soon(ports.packets.serve, take_packet, end_packets)
    nursery.start_soon(ports.peers.serve, take_message, end_batch)
    nursery.start_soon(timer.run, tick)
    nursery.start_soon(serve_http, settings.readiness, readiness_handler(core))
    answer_metrics = metrics_handler(core, ports, lines)
    nursery.start_soon(serve_http, settings.metrics, answer_metrics)
    steering.steer(core.follower)
    nursery.start_soon(steering.watch_settings)
    log_decision("started", role="entry", zone=settings.zone)
    await steering.stopping.wait()
    carry_out(core.stop(trio.current_time()))
    await trio.sleep(settings.stop_s)


def readiness_handler(core: EntryCore) -> Any:
    """Return what tells the fabric whether packets may come."""

    async def handle(call: HttpCall) -> HttpAnswer:
        is_ready = core.is_ready(trio.current_time())
        return HttpAnswer(200 if is_ready else 503)

    return handle


def metrics_handler(core: EntryCore, ports: Ports, lines: LineWriter) -> Any:
    """Return what answers with the metrics."""

    async def handle(call: HttpCall) -> HttpAnswer:
        counts = core.counts + ports.peers.counts + ports.packets.counts
        gauges = {
            "document": float(core.router.route_table.document_number),
            "servers": float(len(core.router.directory.by_token)),
            "flows": float(len(core.router.load_tracker.flows)),
            "held": float(core.router.token_buffer.count),
            "lines_dropped": float(sum(lines.dropped.values())),
        }
        text = metrics_text.render(counts, gauges, core.router.load_tracker.latencies)
        return HttpAnswer(200, text, "text/plain")

    return handle
