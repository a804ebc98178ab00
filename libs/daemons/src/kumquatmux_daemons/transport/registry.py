"""Every message type that travels between processes, by kind."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_agreement.messages import MESSAGE_TYPES as REPLICA_MESSAGES
from kumquatmux_core.codec import Registry, registry
from kumquatmux_core.identity import ServiceName
from kumquatmux_daemons.reports import MESSAGE_TYPES as REPORT_MESSAGES
from kumquatmux_flows.messages import MESSAGE_TYPES as FLOW_MESSAGES
from kumquatmux_membership.wire import MESSAGE_KINDS as MEMBERSHIP_MESSAGES
from kumquatmux_placement.events import SlotDigest
from kumquatmux_settings.messages import MESSAGE_TYPES as SETTINGS_MESSAGES


class PlacerDigest(NamedTuple):
    """What the placer of a service tells its backup about slots in use.

    Attributes:
        service: The service.
        servers: An entry for each of its backend servers.
    """

    service: ServiceName
    servers: tuple[SlotDigest, ...]


PLACEMENT_MESSAGES: dict[int, type] = {0x0501: PlacerDigest}


def all_messages() -> Registry:
    """Return the registry of every message of this protocol version."""
    return registry(
        FLOW_MESSAGES,
        MEMBERSHIP_MESSAGES,
        REPLICA_MESSAGES,
        SETTINGS_MESSAGES,
        REPORT_MESSAGES,
        PLACEMENT_MESSAGES,
    )
