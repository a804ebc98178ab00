"""Packet headers that the token router reads, and the decisions that it returns."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_registry.records import ServerRecord
from kumquatmux_tokens.placers import PlaceQuestion
from kumquatmux_tokens.questions import FlowQuestion

SYN_RESET_SEQUENCE_NUMBER = 0
"""Sequence number of a reset that refuses a SYN packet; any is valid then."""


class PacketHeader(NamedTuple):
    """Header fields of a caller's packet that routing needs.

    Attributes:
        flow_key: 12-byte flow key: the caller's IPv4 address and port, then the
            route's.
        route_address: Last 6 bytes of ``flow_key``: the route's IPv4 address and port.
        token: Token of the server that the packet belongs to, 0 for none.
        is_syn: Whether the packet is a SYN, which opens a flow.
        is_fin_or_rst: Whether the packet is a FIN or RST.
        retransmission_count: Number of times the caller has sent the same SYN before; 0
            for other packets.
        sequence_number: Sequence number of the first payload byte.
        ack_number: Acknowledgment number, up to which the caller has received the
            server's data.
        payload_length: Payload length in bytes.
    """

    flow_key: bytes
    route_address: bytes
    token: int
    is_syn: bool
    is_fin_or_rst: bool
    retransmission_count: int
    sequence_number: int
    ack_number: int
    payload_length: int


class Forward(NamedTuple):
    """Decision to forward the packet to a server.

    Attributes:
        server: The server.
        token: Token of the server, which the forwarded packet carries.
    """

    server: ServerRecord
    token: int


class ForwardAndProbe(NamedTuple):
    """Decision to forward the packet and to ask whether its server still answers.

    Attributes:
        server: The server.
        token: Token of the server, which the forwarded packet carries.
        starts_probe: Whether to probe the server, as no probe is in progress.
    """

    server: ServerRecord
    token: int
    starts_probe: bool


class Reset(NamedTuple):
    """Decision to answer the caller with a reset (RST) packet.

    Attributes:
        sequence_number: Sequence number of the reset packet.
        reason: Reason code for logs and metrics.
        token: Token of the server that this VM takes for the flow's, 0 for none.
    """

    sequence_number: int
    reason: str
    token: int = 0


class HoldForToken(NamedTuple):
    """Decision to buffer the packet while its unknown token is looked up.

    Attributes:
        token: The unknown token.
    """

    token: int


class HoldForServer(NamedTuple):
    """Decision to buffer a SYN packet until its flow can be placed on a server.

    Attributes:
        reason: Reason code for logs and metrics.
    """

    reason: str


class HoldForLink(NamedTuple):
    """Decision to buffer a SYN packet until this VM's link can carry its upload."""


class Drop(NamedTuple):
    """Decision to discard the packet.

    Attributes:
        reason: Reason code for logs and metrics.
    """

    reason: str


class RequestPlacement(NamedTuple):
    """Decision to buffer a SYN packet and ask another VM to select its server.

    Attributes:
        coordinator: The VM to ask.
        request: The message to send to it.
    """

    coordinator: VmId
    request: PlaceQuestion


class AskZone(NamedTuple):
    """Decision to hold the packet while other VMs are asked where its flow is open.

    Attributes:
        vms: The VMs to ask, none if they have been asked.
        question: The message to send to them, None if they have been asked.
    """

    vms: tuple[VmId, ...]
    question: FlowQuestion | None


Decision = (
    Forward
    | ForwardAndProbe
    | Reset
    | HoldForToken
    | HoldForServer
    | HoldForLink
    | RequestPlacement
    | AskZone
    | Drop
)
