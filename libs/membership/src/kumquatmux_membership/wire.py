"""Message kinds of failure detection and leases in the protocol between VMs."""

from __future__ import annotations

from kumquatmux_core.codec import registry
from kumquatmux_membership.events import (
    Heartbeat,
    Hello,
    LeaseAck,
    LeaseRequest,
    LeaseUpdate,
    Members,
    ProbeAnswer,
    ProbeRequest,
    Superseded,
)

MESSAGE_KINDS: dict[int, type] = {
    0x0201: Heartbeat,
    0x0202: ProbeRequest,
    0x0203: ProbeAnswer,
    0x0204: LeaseUpdate,
    0x0205: LeaseRequest,
    0x0206: Hello,
    0x0207: Superseded,
    0x0208: LeaseAck,
    0x0209: Members,
}

MESSAGES = registry(MESSAGE_KINDS)
