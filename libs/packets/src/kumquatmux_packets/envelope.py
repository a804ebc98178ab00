"""The small header of a packet that one VM passes to another.

A packet from the fabric begins with the IPv4 version in its high four bits; an envelope
begins with a byte that no IPv4 packet begins with. A short keyed digest over the header
and the flow's fields shows that a VM of this deployment made it.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from typing import NamedTuple

from expression import Error, Ok, Result

from kumquatmux_core.identity import Address
from kumquatmux_core.problems import Problem
from kumquatmux_flows.events import Binding, Passing, Stage

MARK = 0xC1
VERSION = 1
DIGEST_BYTES = 8
AUTHENTICATED_PACKET_BYTES = 40
HEADER = struct.Struct("!BBBB6sQI")
HEADER_BYTES = HEADER.size + DIGEST_BYTES
NO_SERVER = bytes(6)


class Passed(NamedTuple):
    """An envelope opened."""

    passing: Passing
    packet: bytes


def seal(passing: Passing, packet: bytes, *, key: bytes) -> bytes:
    """Return a packet in an envelope.

    Args:
        passing: What travels with it.
        packet: The IPv4 packet.
        key: Secret shared by the VMs of the deployment, 16 to 32 bytes.
    """
    binding = passing.binding or Binding(Address(NO_SERVER), 0, 0)
    header = HEADER.pack(
        MARK,
        VERSION,
        passing.stage,
        passing.hops,
        binding.server,
        binding.revision,
        binding.epoch,
    )
    return b"".join((header, _digest(header, packet, key), packet))


def unseal(data: bytes, *, key: bytes) -> Result[Passed, Problem]:
    """Return what an envelope carries, or why it is refused."""
    if len(data) < HEADER_BYTES or data[0] != MARK:
        return Error(Problem("envelope-short", f"envelope of {len(data)} bytes"))
    if data[1] != VERSION:
        return Error(Problem("envelope-version", f"envelope version {data[1]}"))
    packet = data[HEADER_BYTES:]
    digest = _digest(data[: HEADER.size], packet, key)
    if not hmac.compare_digest(digest, data[HEADER.size : HEADER_BYTES]):
        return Error(Problem("envelope-digest", "made with another key"))
    _, _, stage, hops, server, revision, epoch = HEADER.unpack_from(data)
    if stage not in Stage._value2member_map_:
        return Error(Problem("envelope-stage", f"unknown stage {stage}"))
    binding = None
    if server != NO_SERVER:
        binding = Binding(Address(server), revision, epoch)
    return Ok(Passed(Passing(Stage(stage), hops, binding), packet))


def _digest(header: bytes, packet: bytes, key: bytes) -> bytes:
    signed = header + packet[:AUTHENTICATED_PACKET_BYTES]
    return hashlib.blake2s(signed, key=key, digest_size=DIGEST_BYTES).digest()
