"""Encapsulation of packets that one load balancer VM forwards to another.

The first byte of an IPv4 packet has the IP version in its high four bits. An envelope
starts with a byte that no IPv4 packet starts with. An 8-byte keyed digest over the
header, the metadata and the first 40 bytes of the packet authenticates the envelope
as made by a VM of this deployment.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem
from kumquatmux_flows.events import Passing

MARK = 0xC1
ENVELOPE_VERSION = 1
DIGEST_BYTES = 8
AUTHENTICATED_PACKET_BYTES = 40
HEADER_STRUCT = struct.Struct("!BBH")
HEADER_AND_DIGEST_BYTES = HEADER_STRUCT.size + DIGEST_BYTES

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Passing)


class DecodedEnvelope(NamedTuple):
    """The contents of a decoded envelope.

    Attributes:
        passing: Metadata from the forwarding VM.
        packet: The IPv4 packet.
    """

    passing: Passing
    packet: bytes


def seal(passing: Passing, packet: bytes, *, key: bytes) -> bytes:
    """Encapsulate a packet in an authenticated envelope.

    Args:
        passing: Metadata for the receiving VM.
        packet: The IPv4 packet.
        key: Secret key shared by the VMs of the deployment, 16 to 32 bytes.
    """
    fields = _encoder.encode(passing)
    header = HEADER_STRUCT.pack(MARK, ENVELOPE_VERSION, len(fields))
    digest = _compute_digest(header, fields, packet, key)
    return b"".join((header, digest, fields, packet))


def unseal(data: bytes, *, key: bytes) -> Result[DecodedEnvelope, Problem]:
    """Authenticate and decode an envelope, or return why it is refused."""
    if len(data) < HEADER_AND_DIGEST_BYTES or data[0] != MARK:
        return Error(
            Problem(
                "envelope-short",
                f"envelope of {len(data)} bytes is too short or malformed",
            )
        )
    _, version, fields_length = HEADER_STRUCT.unpack_from(data)
    if version != ENVELOPE_VERSION:
        return Error(
            Problem("envelope-version", f"unsupported envelope version {version}")
        )
    packet_offset = HEADER_AND_DIGEST_BYTES + fields_length
    fields = data[HEADER_AND_DIGEST_BYTES:packet_offset]
    packet = data[packet_offset:]
    digest = _compute_digest(data[: HEADER_STRUCT.size], fields, packet, key)
    if not hmac.compare_digest(
        digest, data[HEADER_STRUCT.size : HEADER_AND_DIGEST_BYTES]
    ):
        return Error(
            Problem(
                "envelope-digest", "digest mismatch: data changed or another key used"
            )
        )
    try:
        return Ok(DecodedEnvelope(_decoder.decode(fields), packet))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Error(Problem("envelope-fields", str(error)))


def _compute_digest(header: bytes, fields: bytes, packet: bytes, key: bytes) -> bytes:
    authenticated = b"".join((header, fields, packet[:AUTHENTICATED_PACKET_BYTES]))
    return hashlib.blake2s(authenticated, key=key, digest_size=DIGEST_BYTES).digest()
