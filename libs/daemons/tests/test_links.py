from __future__ import annotations

import gc
import socket

import pytest
import trio
import zmq

from kumquatmux_core.identity import Endpoint, VmId
from kumquatmux_daemons.transport.links import (
    LinkPeer,
    LinkSettings,
    PeerLinks,
    open_links,
)
from kumquatmux_daemons.transport.registry import all_messages
from kumquatmux_membership.events import LeaseRequest

WAIT_S = 10


def free_endpoint():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Endpoint(*probe.getsockname())


def settings(bind, secret, *peers):
    return LinkSettings(bind, secret.decode(), peers)


def make_pair():
    (key_a, secret_a), (key_b, secret_b) = zmq.curve_keypair(), zmq.curve_keypair()
    at_a, at_b = free_endpoint(), free_endpoint()
    a = settings(at_a, secret_a, LinkPeer(VmId("b"), at_b, (key_b.decode(),)))
    b = settings(at_b, secret_b, LinkPeer(VmId("a"), at_a, (key_a.decode(),)))
    return a, b


async def send_until_taken(links, vm, message):
    while not links.send(vm, message):
        await trio.sleep(0.02)


async def test_a_message_arrives_with_its_authenticated_sender():
    a_settings, b_settings = make_pair()
    with trio.fail_after(WAIT_S):
        async with open_links(a_settings, all_messages()) as a:
            async with open_links(b_settings, all_messages()) as b:
                claimed = LeaseRequest(VmId("somebody-else"))
                await send_until_taken(a, VmId("b"), claimed)
                delivery = await b.receive()
                assert delivery == (VmId("a"), claimed)


async def test_a_wrong_key_gets_nothing_through():
    a_settings, b_settings = make_pair()
    _, stranger = zmq.curve_keypair()
    intruder_settings = a_settings._replace(
        secret_key=stranger.decode(), bind=free_endpoint()
    )
    with trio.fail_after(WAIT_S):
        async with open_links(b_settings, all_messages()) as b:
            async with open_links(intruder_settings, all_messages()) as intruder:
                while not b.refused["unknown-key"]:
                    intruder.send(VmId("b"), LeaseRequest(VmId("a")))
                    await trio.sleep(0.02)
            async with open_links(a_settings, all_messages()) as a:
                await send_until_taken(a, VmId("b"), LeaseRequest(VmId("a")))
                assert (await b.receive()).sender == "a"
                assert b.received_bytes.total() == len(
                    all_messages().encode(LeaseRequest(VmId("a")))
                )


async def sender_reaching(links, target, receiver):
    """Send until a message arrives: one taken by a closing link may be lost."""
    while True:
        links.send(VmId(target), LeaseRequest(VmId("x")))
        with trio.move_on_after(0.2):
            return (await receiver.receive()).sender


async def test_a_peer_is_reached_before_and_after_its_key_is_replaced():
    a_settings, b_settings = make_pair()
    old_key = a_settings.peers[0].public_keys[0]
    new_key, new_secret = (key.decode() for key in zmq.curve_keypair())
    both = a_settings.peers[0]._replace(public_keys=(new_key, old_key))
    a_settings = a_settings._replace(peers=(both,))
    with trio.fail_after(WAIT_S):
        async with open_links(a_settings, all_messages()) as a:
            for secret in (b_settings.secret_key, new_secret):
                b_running = b_settings._replace(secret_key=secret)
                async with open_links(b_running, all_messages()) as b:
                    assert await sender_reaching(a, "b", b) == "a"
                    assert await sender_reaching(b, "a", a) == "b"


async def test_sending_to_a_peer_that_is_down_is_told_and_queues_nothing():
    a_settings, _ = make_pair()
    async with open_links(a_settings, all_messages()) as a:
        assert not a.send(VmId("b"), LeaseRequest(VmId("a")))
        assert not a.send(VmId("nobody"), LeaseRequest(VmId("a")))


# Guards against a process that hangs for good after its port was found taken.
def test_links_whose_port_is_taken_leave_no_context_open():
    _, secret = zmq.curve_keypair()
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        holder.listen()
        taken = Endpoint(*holder.getsockname())
        with pytest.raises(zmq.ZMQError):
            PeerLinks(settings(taken, secret), all_messages())
    contexts = [one for one in gc.get_objects() if isinstance(one, zmq.Context)]
    assert all(one.closed for one in contexts)
