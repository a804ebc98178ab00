"""The token entry daemon: a thin loop around its core."""

from __future__ import annotations

import secrets
from collections.abc import Iterable
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
from kumquatmux_daemons.token_entry.core import EntryCore
from kumquatmux_daemons.token_entry.effects import Datagram, Effect, Probe
from kumquatmux_daemons.token_entry.formats import EntryFormat
from kumquatmux_daemons.token_entry.probing import probe_server
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_daemons.transport.datagrams import PeerDatagrams
from kumquatmux_daemons.waiting import bind_when_possible
from kumquatmux_registry.feed import MESSAGE_TYPES as FEED_MESSAGES
from kumquatmux_registry.lookup import MESSAGE_TYPES as LOOKUP_MESSAGES
from kumquatmux_tokens.link_admission import LinkAdmission
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


class EntryLoop:
    """Hands what arrives to the core, and carries out what follows.

    Attributes:
        core: Decides.
        ports: Where packets and messages go.
        lines: Where the lines of decisions go.
        nursery: Runs the probes.
        timer: Runs ``tick`` when something is due.
    """

    def __init__(
        self, core: EntryCore, ports: Ports, lines: LineWriter, nursery: trio.Nursery
    ) -> None:
        self.core = core
        self.ports = ports
        self.lines = lines
        self.nursery = nursery
        self.timer = Timer()

    def start(self) -> None:
        """Start to take packets and messages, and to do what is due."""
        packets, peers = self.ports
        self.nursery.start_soon(packets.serve, self.take_packet, self.end_packets)
        self.nursery.start_soon(peers.serve, self.take_message, self.end_batch)
        self.nursery.start_soon(self.timer.run, self.tick)

    def take_packet(self, data: bytes, source: tuple[str, int], now: float) -> None:
        """Take a packet of a caller."""
        self.lines.set_time(now)
        self.carry_out(self.core.packet(data, now))

    def take_message(self, sender: VmId, message: Any, now: float) -> None:
        """Take a message of another VM."""
        self.lines.set_time(now)
        self.carry_out(self.core.message(sender, message, now))

    def end_batch(self, now: float) -> None:
        """Plan the next tick after a batch."""
        self.note_messages(now)
        self.timer.move_forward(self.core.due_at(now))

    def end_packets(self, now: float) -> None:
        """End a batch of packets."""
        if self.ports.packets.is_queue_empty:
            self.core.router.backlog.note_queue_empty()
        self.end_batch(now)

    def tick(self, now: float) -> float:
        """Do what is due; return when something is due next.

        After a pause the packets that waited are read at once, so that later ones count
        as fresh.
        """
        self.lines.tick(now)
        self.note_messages(now)
        self.carry_out(self.core.tick(now))
        if self.core.router.backlog.is_unread(now):
            self.ports.packets.read_batch(self.take_packet, now)
            self.end_packets(now)
        return self.core.due_at(now)

    def note_messages(self, now: float) -> None:
        """Tell the core how much of the link the messages used."""
        if self.core.router.settings.link.bytes_per_s:
            sent_bytes = self.ports.peers.counts["peers.sent_bytes"]
            self.core.note_message_bytes(sent_bytes, now)

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Send what the core wants sent, and start the probes that it wants."""
        for effect in effects:
            if isinstance(effect, Datagram):
                self.ports.packets.send(effect.data, effect.target)
            elif isinstance(effect, Probe):
                self.nursery.start_soon(self.probe, effect)
            else:
                self.ports.peers.send(effect.vm, effect.message)

    async def probe(self, wanted: Probe) -> None:
        """Probe a server and tell the core the result."""
        timeout_s = self.core.router.settings.probe_timeout_s
        result = await probe_server(wanted.endpoint, timeout_s)
        now = trio.current_time()
        self.lines.set_time(now)
        self.carry_out(self.core.probed(wanted.token, result, now))


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
    loop = EntryLoop(core, ports, parts.lines, nursery)
    loop.start()
    nursery.start_soon(serve_http, settings.readiness, readiness_handler(core))
    answer_metrics = metrics_handler(core, ports, parts.lines)
    nursery.start_soon(serve_http, settings.metrics, answer_metrics)
    steering.steer(core.follower)
    nursery.start_soon(steering.watch_settings)
    log_decision(
        "started",
        role="entry",
        zone=settings.zone,
        link_bytes_per_s=settings.limits.link_bytes_per_s,
    )
    await steering.stopping.wait()
    loop.carry_out(core.stop(trio.current_time()))
    await trio.sleep(settings.stop_s)


def readiness_handler(core: EntryCore) -> Any:
    """Return what tells the fabric whether packets may come."""

    async def handle(call: HttpCall) -> HttpAnswer:
        is_ready = core.is_ready(trio.current_time())
        return HttpAnswer(200 if is_ready else 503)

    return handle


def pace_gauges(core: EntryCore, now: float) -> dict[str, float]:
    """Return gauges of the servers that started or recovered."""
    recovering = core.router.recovering
    return {
        "cold_servers": float(recovering.cold_count(now)),
        "paced_servers": float(len(recovering.pace.paced)),
        "deferred_openings": float(recovering.deferred_count(now)),
    }


def link_gauges(link: LinkAdmission, now: float) -> dict[str, float]:
    """Return the gauges of the link, none where its capacity is not known."""
    if not link.is_enabled:
        return {}
    account = link.account
    return {
        "uploads": float(len(account.live_uploads(now))),
        "uploads_waiting": float(len(link.queue.by_flow)),
        "link_queue_s": account.queue_s(now),
        "link_use": account.use,
    }


def metrics_handler(core: EntryCore, ports: Ports, lines: LineWriter) -> Any:
    """Return what answers with the metrics."""

    async def handle(call: HttpCall) -> HttpAnswer:
        counts = core.counts + core.router.queues.counts
        counts += ports.peers.counts + ports.packets.counts
        gauges = {
            "document": float(core.router.route_table.document_number),
            "evacuated_zones": float(len(core.follower.evacuations.zones)),
            "servers": float(len(core.router.directory.by_token)),
            "flows": float(len(core.router.load_tracker.flows)),
            "queue_length": float(len(core.router.queues)),
            "held": float(core.router.token_buffer.count),
            **pace_gauges(core, trio.current_time()),
            **link_gauges(core.router.link, trio.current_time()),
            "lines_dropped": float(sum(lines.dropped.values())),
        }
        text = metrics_text.render(counts, gauges, core.router.load_tracker.latencies)
        return HttpAnswer(200, text, "text/plain")

    return handle
