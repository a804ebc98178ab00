"""Heartbeat timestamps: unique, increasing, and checked when a peer echoes them."""

from __future__ import annotations

from kumquatmux_membership.events import Heartbeat

TIMESTAMP_STEP_SECONDS = 1e-6
MAX_TIMESTAMP_LEAD_SECONDS = 1e-3


def echoes_own_timestamp(message: Heartbeat, incarnation: int, now: float) -> bool:
    """Return whether a heartbeat echoes a timestamp that this process may have sent.

    Args:
        message: The heartbeat.
        incarnation: Incarnation of this VM.
        now: Time on this VM's clock, in seconds. Timestamps sent at the same moment run
            slightly ahead of it.
    """
    if message.echoed_incarnation != incarnation:
        return False
    return 0 < message.echoed_timestamp <= now + MAX_TIMESTAMP_LEAD_SECONDS
