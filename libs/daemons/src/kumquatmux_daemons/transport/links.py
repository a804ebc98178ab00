"""Authenticated message links to the other processes, over pyzmq with CURVE keys.

Every process binds one ROUTER, which only receives, and opens one DEALER to each peer,
which only sends. A message's sender is the peer whose public key opened the connection,
never a name that the message claims.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import chain
from typing import Any, NamedTuple

import trio
import zmq
import zmq.auth.base
from absl import logging

from kumquatmux_core.codec import Registry
from kumquatmux_core.identity import Endpoint, VmId

HIGH_WATER_MESSAGES = 256
MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
HEARTBEAT_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
RECONNECT_MS = 100
RECONNECT_MAX_MS = 1_000
LOG_EVERY_S = 5


class LinkPeer(NamedTuple):
    """A process messages are exchanged with.

    Attributes:
        vm: Its name.
        control: Its TCP endpoint.
        public_keys: CURVE keys it may use, in Z85; while keys are replaced there is
            a link for each, and the one it runs with comes up.
    """

    vm: VmId
    control: Endpoint
    public_keys: tuple[str, ...]


class LinkSettings(NamedTuple):
    """What the links of one process are made from.

    Attributes:
        bind: TCP endpoint to listen on.
        secret_key: CURVE secret key of this process, in Z85.
        peers: Everyone it may talk to.
    """

    bind: Endpoint
    secret_key: str
    peers: tuple[LinkPeer, ...]


class Delivery(NamedTuple):
    """A message from an authenticated peer."""

    sender: VmId
    message: Any


class PeerLinks:
    """Links of one process; use ``open_links`` to make them."""

    def __init__(self, settings: LinkSettings, registry: Registry) -> None:
        self.settings = settings
        self.registry = registry
        self.sent_bytes: Counter[str] = Counter()
        self.received_bytes: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.context = zmq.Context()
        self.vm_by_key = _vm_by_key(settings.peers)
        self.authenticator = _KeyCheck(self.context)
        self.authenticator.configure_curve_callback(credentials_provider=self)
        self.authenticator.start()
        try:
            self.inbox = self._bind()
        except zmq.ZMQError:
            # A context whose sockets are open would block when it is collected.
            self.authenticator.stop()
            self.context.destroy(0)
            raise
        self.outboxes = {
            peer.vm: [self._connect(peer, key) for key in peer.public_keys]
            for peer in settings.peers
        }

    def callback(self, domain: str, key: bytes) -> bool:
        """Tell libzmq whether a client key is a peer's."""
        known = key.decode() in self.vm_by_key
        if not known:
            self.refused["unknown-key"] += 1
            logging.log_every_n_seconds(
                logging.WARNING, "link refused: unknown key", LOG_EVERY_S
            )
        return known

    def send(self, vm: VmId, message: Any) -> bool:
        """Send a message if the link is up.

        Returns:
            Whether the message was handed to the link; it may still be lost.
        """
        outboxes = self.outboxes.get(vm)
        if outboxes is None:
            return False
        data = self.registry.encode(message)
        if not any(_is_taken(outbox, data) for outbox in outboxes):
            self.refused["link-down"] += 1
            return False
        self.sent_bytes[type(message).__name__] += len(data)
        return True

    async def receive(self) -> Delivery:
        """Return the next message of a peer."""
        while True:
            await _readable(self.inbox)
            delivery = self._take()
            if delivery is not None:
                return delivery

    async def serve_keys(self) -> None:
        """Answer libzmq's questions about client keys, until cancelled."""
        socket = self.authenticator.zap_socket
        while True:
            await _readable(socket)
            question = socket.recv_multipart(zmq.DONTWAIT)
            await self.authenticator.handle_zap_message(question)

    def close(self) -> None:
        """Close every socket; nothing queued is kept."""
        self.inbox.close(0)
        for outbox in chain.from_iterable(self.outboxes.values()):
            outbox.close(0)
        self.authenticator.stop()
        self.context.destroy(0)

    def _take(self) -> Delivery | None:
        frames = self.inbox.recv_multipart(zmq.DONTWAIT, copy=False)
        sender = self.vm_by_key.get(str(frames[-1].get("User-Id")))
        data = frames[-1].bytes
        if sender is None:
            self.refused["unknown-sender"] += 1
            return None
        decoded = self.registry.decode(data)
        if decoded.is_error():
            self._refuse(sender, decoded.error)
            return None
        self.received_bytes[type(decoded.ok).__name__] += len(data)
        return Delivery(sender, decoded.ok)

    def _refuse(self, sender: VmId, problem: Any) -> None:
        self.refused[problem.code] += 1
        logging.log_every_n_seconds(
            logging.WARNING, "message of %s refused: %s", LOG_EVERY_S, sender, problem
        )

    def _bind(self) -> zmq.Socket:
        socket = self.context.socket(zmq.ROUTER)
        _configure(socket, self.settings.secret_key)
        socket.curve_server = True
        socket.zap_domain = b"*"
        socket.bind(f"tcp://{self.settings.bind}")
        return socket

    def _connect(self, peer: LinkPeer, key: str) -> zmq.Socket:
        socket = self.context.socket(zmq.DEALER)
        _configure(socket, self.settings.secret_key)
        socket.immediate = 1
        socket.curve_serverkey = key.encode()
        socket.connect(f"tcp://{peer.control}")
        return socket


class _KeyCheck(zmq.auth.base.Authenticator):
    """The library's key check, driven by this process's own loop."""


@asynccontextmanager
async def open_links(
    settings: LinkSettings, registry: Registry
) -> AsyncIterator[PeerLinks]:
    """Open the links of one process and close them at the end."""
    links = PeerLinks(settings, registry)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(links.serve_keys)
            yield links
            nursery.cancel_scope.cancel()
    finally:
        links.close()


async def _readable(socket: zmq.Socket) -> None:
    """Wait until a socket has a message.

    The descriptor is edge-triggered: a message that came before the wait leaves it
    silent, so the socket's own events are asked before and after.
    """
    await trio.lowlevel.checkpoint()
    while not int(socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
        await trio.lowlevel.wait_readable(int(socket.getsockopt(zmq.FD)))


def _configure(socket: zmq.Socket, secret_key: str) -> None:
    socket.linger = 0
    socket.sndhwm = HIGH_WATER_MESSAGES
    socket.rcvhwm = HIGH_WATER_MESSAGES
    socket.maxmsgsize = MESSAGE_LIMIT_BYTES
    socket.heartbeat_ivl = HEARTBEAT_MS
    socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
    socket.reconnect_ivl = RECONNECT_MS
    socket.reconnect_ivl_max = RECONNECT_MAX_MS
    socket.curve_secretkey = secret_key.encode()
    socket.curve_publickey = zmq.curve_public(secret_key.encode())


def _is_taken(outbox: zmq.Socket, data: bytes) -> bool:
    try:
        outbox.send(data, zmq.DONTWAIT)
    except zmq.Again:
        return False
    return True


def _vm_by_key(peers: tuple[LinkPeer, ...]) -> dict[str, VmId]:
    return {key: peer.vm for peer in peers for key in peer.public_keys}
