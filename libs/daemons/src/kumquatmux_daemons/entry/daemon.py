"""The entry daemon: one loop that reads packets, messages, calls and the time."""

from __future__ import annotations

import random
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import trio
from absl import logging
from expression import Error, Ok, Result

from kumquatmux_core import decisions
from kumquatmux_core.identity import Endpoint
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.announce.app import announce_app
from kumquatmux_daemons.announce.server import TlsFiles, serve
from kumquatmux_daemons.announce.settings import AnnounceSettings
from kumquatmux_daemons.entry.announce_desk import AnnounceDesk
from kumquatmux_daemons.entry.metrics import Metrics, every_period
from kumquatmux_daemons.entry.node import EntryNode, NodeParts
from kumquatmux_daemons.entry.port import PacketPort
from kumquatmux_daemons.keys.curve import read_curve_pair
from kumquatmux_daemons.transport.links import (
    LinkPeer,
    LinkSettings,
    PeerLinks,
    open_links,
)
from kumquatmux_daemons.transport.registry import all_messages
from kumquatmux_settings.node import NodeSettings

TICK_S = 0.1
HOLDING_TICK_S = 0.025
GRACE_S = 30.0
PACKET_KEY_BYTES = 32
EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_QUIT = 130


def main(settings: NodeSettings) -> int:
    """Run one entry daemon until it is told to stop.

    Returns:
        The exit code: 0 after a graceful shutdown, 2 for settings that cannot be used,
        130 when a second signal ended it at once.
    """
    decisions.configure(as_json=settings.log_format == "json")
    secrets = read_secrets(settings)
    if secrets.is_error():
        logging.error("%s", secrets.error)
        return EXIT_SETTINGS
    packet_key, link_settings = secrets.ok
    return trio.run(run, settings, packet_key, link_settings)


def read_secrets(
    settings: NodeSettings,
) -> Result[tuple[bytes, LinkSettings], Problem]:
    """Return the packet key and the link settings, or which file is bad."""
    assert settings.secret_key_file is not None
    assert settings.packet_key_file is not None
    pair = read_curve_pair(settings.secret_key_file)
    if pair.is_error():
        return Error(pair.error)
    key = read_packet_key(settings.packet_key_file)
    if key.is_error():
        return Error(key.error)
    peers = tuple(
        LinkPeer(peer.vm, peer.control, peer.public_keys) for peer in settings.peers
    )
    return Ok((key.ok, LinkSettings(settings.control, pair.ok.secret, peers)))


def read_packet_key(path: Path) -> Result[bytes, Problem]:
    """Return the key that seals passed packets."""
    try:
        key = bytes.fromhex(path.read_text().strip())
    except OSError as error:
        return Error(Problem("file-unreadable", str(error.strerror), str(path)))
    except ValueError:
        return Error(Problem("key-malformed", "is not a hexadecimal key", str(path)))
    if len(key) != PACKET_KEY_BYTES:
        detail = f"has {len(key)} bytes, {PACKET_KEY_BYTES} are needed"
        return Error(Problem("key-malformed", detail, str(path)))
    return Ok(key)


async def run(
    settings: NodeSettings, packet_key: bytes, link_settings: LinkSettings
) -> int:
    """Run one entry daemon on the current loop."""
    assert settings.packets is not None
    port = PacketPort(settings.packets)
    try:
        async with open_links(link_settings, all_messages()) as links:
            node = make_node(settings, packet_key, port, links)
            return await serve_node(node, settings)
    finally:
        port.close()


def make_node(
    settings: NodeSettings, packet_key: bytes, port: PacketPort, links: PeerLinks
) -> EntryNode:
    """Return the decisions of one entry VM, joined to its sockets."""
    assert settings.fabric is not None
    incarnation = time.time_ns() // 1_000_000
    return EntryNode(
        NodeParts(
            me=settings.as_vm(incarnation),
            peers=settings.entry_vms(),
            sources=frozenset(peer.vm for peer in settings.control_peers()),
            fabric=settings.fabric,
            key=packet_key,
            port=port,
            links=links,
            random=random.Random(),
        )
    )


async def serve_node(node: EntryNode, settings: NodeSettings) -> int:
    """Serve until a signal has been carried out; return the exit code."""
    stopped = trio.Event()
    exit_codes: list[int] = []
    async with trio.open_nursery() as nursery:
        forwarder = node.forwarder
        nursery.start_soon(
            node.parts.port.serve, forwarder.on_datagram, forwarder.end_batch
        )
        nursery.start_soon(take_messages, node)
        nursery.start_soon(keep_time, node)
        nursery.start_soon(send_metrics, node, settings.statsd)
        nursery.start_soon(serve_announcements, node, settings, stopped)
        nursery.start_soon(watch_signals, node, stopped, exit_codes)
        logging.info("entry vm=%s zone=%s ready", settings.vm, settings.zone)
        await stopped.wait()
        nursery.cancel_scope.cancel()
    return exit_codes[0]


async def take_messages(node: EntryNode) -> None:
    """Hand every message of a peer to the node, until cancelled."""
    while True:
        delivery = await node.parts.links.receive()
        node.on_message(delivery, trio.current_time())


async def keep_time(node: EntryNode) -> None:
    """Tell the node the time, until cancelled."""
    while True:
        node.on_tick(trio.current_time())
        await trio.sleep(HOLDING_TICK_S if node.desk.holds_work() else TICK_S)


async def send_metrics(node: EntryNode, endpoint: Endpoint) -> None:
    """Send counters until cancelled."""
    metrics = Metrics(endpoint, node.me.vm)
    while True:
        await every_period()
        links = node.parts.links
        counts = Counter(node.forwarder.counts)
        counts.update({f"sent.{kind}": n for kind, n in links.sent_bytes.items()})
        flows = float(len(node.engine.state.table.slots))
        metrics.send(counts, {"flows": flows, "revision": float(node.copy.revision)})


async def serve_announcements(
    node: EntryNode, settings: NodeSettings, stopped: trio.Event
) -> None:
    """Serve backend servers over HTTPS until the daemon stops."""
    assert settings.http is not None
    app = announce_app(AnnounceSettings(), AnnounceDesk(node))
    tls = TlsFiles(str(settings.tls_certificate_file), str(settings.tls_key_file))
    await serve(app, settings.http, tls=tls, shutdown=stopped.wait)


async def watch_signals(
    node: EntryNode, stopped: trio.Event, exit_codes: list[int]
) -> None:
    """Leave gracefully at the first signal and quit at the second."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await signals.__anext__()
        logging.info("leaving vm=%s", node.me.vm)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(quit_at_once, signals, stopped, exit_codes)
            with trio.move_on_after(GRACE_S):
                await leave(node)
            nursery.cancel_scope.cancel()
    exit_codes.append(EXIT_OK)
    stopped.set()


async def leave(node: EntryNode) -> None:
    """Hand everything over and wait until no more packets come."""
    node.leave(trio.current_time())
    while not node.is_quiet:
        await trio.sleep(TICK_S)


async def quit_at_once(
    signals: AsyncIterator[int], stopped: trio.Event, exit_codes: list[int]
) -> None:
    """Quit at the second signal."""
    await signals.__anext__()
    logging.warning("second signal: quitting at once")
    exit_codes.append(EXIT_QUIT)
    stopped.set()
