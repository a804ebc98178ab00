"""The control daemon: a thin loop around the control core."""

from __future__ import annotations

import random
import secrets
import signal
from collections import Counter
from collections.abc import AsyncIterator
from functools import singledispatch
from typing import Any, NamedTuple

import trio
from absl import logging
from expression import Error, Ok, Result

from kumquatmux_agreement.entries import ReplicaId, founding_state, joining_state
from kumquatmux_agreement.events import Role
from kumquatmux_agreement.messages import MESSAGE_TYPES as REPLICA_MESSAGES
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core import decisions
from kumquatmux_core.identity import Endpoint
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.announce.server import TlsFiles, serve
from kumquatmux_daemons.control.core import ControlCore, ControlSettings, Member
from kumquatmux_daemons.control.desk import ControlDesk
from kumquatmux_daemons.control.effects import FromCopy, FromReplica, Tick
from kumquatmux_daemons.entry.metrics import Metrics, every_period
from kumquatmux_daemons.keys.curve import read_curve_pair
from kumquatmux_daemons.operators.api import operators_app
from kumquatmux_daemons.reports import DrainAnswer, VmReport
from kumquatmux_daemons.transport.links import (
    Delivery,
    LinkPeer,
    LinkSettings,
    PeerLinks,
    open_links,
)
from kumquatmux_daemons.transport.registry import all_messages
from kumquatmux_settings.messages import MESSAGE_TYPES as SETTINGS_MESSAGES
from kumquatmux_settings.node import NodeSettings
from kumquatmux_storage import Identity, Store, open_or_create
from kumquatmux_storage.disk import open_folder

TICK_S = 0.1
FOLDER_NAME_BYTES = 8
NO_READ_LEASE = 0.0
"""A suspended VM's steady clock stands still, so that its lease would outlive it."""

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_QUIT = 130


class Parts(NamedTuple):
    """What a control daemon needs from its files.

    Attributes:
        links: Settings of the links.
        store: The open data folder.
    """

    links: LinkSettings
    store: Store


def main(settings: NodeSettings, *, found: bool = False) -> int:
    """Run one control daemon until it is told to stop.

    Args:
        settings: The process's own settings.
        found: Whether this VM founds a new cluster if its data folder is empty.

    Returns:
        The exit code: 0 after a graceful shutdown, 2 for settings or a data folder
        that cannot be used, 130 when a second signal ended it at once.
    """
    decisions.configure(as_json=settings.log_format == "json")
    parts = open_parts(settings, found=found)
    if parts.is_error():
        logging.error("%s", parts.error)
        return EXIT_SETTINGS
    return trio.run(run, settings, parts.ok)


def open_parts(settings: NodeSettings, *, found: bool) -> Result[Parts, Problem]:
    """Read the key and open the data folder, or tell which of them is bad."""
    assert settings.secret_key_file is not None
    pair = read_curve_pair(settings.secret_key_file)
    if pair.is_error():
        return Error(pair.error)
    store = open_data(settings, found=found)
    if store.is_error():
        return Error(store.error)
    peers = tuple(
        LinkPeer(peer.vm, peer.control, peer.public_keys) for peer in settings.peers
    )
    links = LinkSettings(settings.control, pair.ok.secret, peers)
    return Ok(Parts(links, store.ok))


def open_data(settings: NodeSettings, *, found: bool) -> Result[Store, Problem]:
    """Open the data folder, or create it if it is empty."""
    assert settings.data_folder is not None
    disk = open_folder(settings.data_folder)
    if disk.is_error():
        return Error(disk.error)
    folder = secrets.token_hex(FOLDER_NAME_BYTES)
    identity = Identity(settings.cluster, settings.vm, folder)
    first = joining_state()
    if found:
        peers = tuple(peer.vm for peer in settings.control_peers())
        founder = ReplicaId(settings.vm, folder)
        first = founding_state(founder, (settings.vm, *peers))
    return open_or_create(disk.ok, identity, first)


def control_settings(settings: NodeSettings, store: Store) -> ControlSettings:
    """Return the core's settings from the process's own and its data folder's."""
    control = settings.control_peers()
    replica = ReplicaSettings(
        cluster=store.identity.cluster,
        replica_id=ReplicaId(settings.vm, store.identity.folder),
        peers=tuple(peer.vm for peer in control),
        lease_fraction=NO_READ_LEASE,
    )
    return ControlSettings(
        replica=replica,
        zone=settings.zone,
        control=tuple(Member(peer.vm, peer.zone, peer.operators) for peer in control),
        entry=tuple(Member(vm.vm, vm.zone) for vm in settings.entry_vms()),
    )


async def run(settings: NodeSettings, parts: Parts) -> int:
    """Run one control daemon on the current loop."""
    async with open_links(parts.links, all_messages()) as links:
        core = ControlCore(
            control_settings(settings, parts.store),
            parts.store.restored,
            parts.store,
            random.Random(),
        )
        return await serve_desk(ControlDesk(core, links), links, settings)


async def serve_desk(
    desk: ControlDesk, links: PeerLinks, settings: NodeSettings
) -> int:
    """Serve until a signal has been carried out; return the exit code."""
    stopping = trio.Event()
    exit_codes: list[int] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(take_messages, desk, links)
        nursery.start_soon(keep_time, desk)
        nursery.start_soon(send_metrics, desk, links, settings.statsd)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            nursery.start_soon(watch_signals, signals, stopping, exit_codes, nursery)
            logging.info("control vm=%s zone=%s ready", settings.vm, settings.zone)
            await serve_operators(desk, settings, stopping)
            nursery.cancel_scope.cancel()
    return exit_codes[0] if exit_codes else EXIT_OK


async def take_messages(desk: ControlDesk, links: PeerLinks) -> None:
    """Hand every message of a peer to the core, until cancelled."""
    while True:
        hand_over(desk, await links.receive())


def hand_over(desk: ControlDesk, delivery: Delivery) -> None:
    """Hand one message on if it is its sender's own."""
    message = delivery.message
    if sender_of(message.sender) != delivery.sender:
        decisions.log("message-refused", sender=delivery.sender, why="sender")
    elif type(message) in REPLICA_MESSAGES.values():
        desk.give(FromReplica(message))
    elif type(message) in SETTINGS_MESSAGES.values():
        desk.give(FromCopy(message))
    elif isinstance(message, VmReport | DrainAnswer):
        desk.answered(message)


@singledispatch
def sender_of(sender: Any) -> str:
    """Return the VM that a message names as its sender."""
    return str(sender)


@sender_of.register
def _(sender: ReplicaId) -> str:
    return sender.vm


async def keep_time(desk: ControlDesk) -> None:
    """Tell the core the time, until cancelled."""
    while True:
        desk.give(Tick())
        await trio.sleep(TICK_S)


async def send_metrics(desk: ControlDesk, links: PeerLinks, to: Endpoint) -> None:
    """Send counters and gauges, until cancelled."""
    metrics = Metrics(to, desk.core.settings.vm)
    while True:
        await every_period()
        counts = Counter(desk.told_counts)
        counts.update({f"sent.{kind}": n for kind, n in links.sent_bytes.items()})
        metrics.send(counts, gauges_of(desk, trio.current_time()))


def gauges_of(desk: ControlDesk, now: float) -> dict[str, float]:
    """Return what is measured of a control VM at a time."""
    status = desk.core.replica.status()
    return {
        "revision": float(desk.core.changes.revision),
        "can_accept": float(desk.core.can_accept(now)),
        "leads": float(status.role == Role.LEADER),
        "term": float(status.term),
        "log_entries": float(status.last_index - status.snapshot_index),
    }


async def serve_operators(
    desk: ControlDesk, settings: NodeSettings, stopping: trio.Event
) -> None:
    """Serve operators over HTTPS until told to stop and all answers are out."""
    assert settings.operators is not None
    assert settings.token_file is not None
    app = operators_app(desk, settings.token_file)
    tls = TlsFiles(str(settings.tls_certificate_file), str(settings.tls_key_file))
    await serve(app, settings.operators, tls=tls, shutdown=stopping.wait)


async def watch_signals(
    signals: AsyncIterator[int],
    stopping: trio.Event,
    exit_codes: list[int],
    nursery: trio.Nursery,
) -> None:
    """Stop gracefully at the first signal and quit at the second."""
    await signals.__anext__()
    logging.info("stopping after the requests in progress")
    stopping.set()
    await signals.__anext__()
    logging.warning("second signal: quitting at once")
    exit_codes.append(EXIT_QUIT)
    nursery.cancel_scope.cancel()
