"""Every message type that travels between processes, by kind."""

from __future__ import annotations

from kumquatmux_core.codec import Registry, registry
from kumquatmux_daemons.reports import MESSAGE_TYPES as REPORT_MESSAGES
from kumquatmux_membership.events import (
    Heartbeat,
    LeaseRequest,
    LeaseUpdate,
    ProbeAnswer,
    ProbeRequest,
)
from kumquatmux_settings.messages import MESSAGE_TYPES as SETTINGS_MESSAGES

MEMBERSHIP_MESSAGES = {
    100: Heartbeat,
    101: ProbeRequest,
    102: ProbeAnswer,
    103: LeaseUpdate,
    104: LeaseRequest,
}


def all_messages() -> Registry:
    """Return the registry of every message of this protocol version."""
    return registry({**MEMBERSHIP_MESSAGES, **SETTINGS_MESSAGES, **REPORT_MESSAGES})
