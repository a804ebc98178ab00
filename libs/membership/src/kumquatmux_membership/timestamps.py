"""Time stamps in heartbeats: unique, growing, and told apart from invented ones."""

from __future__ import annotations

from kumquatmux_membership.events import Heartbeat

TIMESTAMP_STEP_SECONDS = 1e-6
MAX_TIMESTAMP_LEAD_SECONDS = 1e-3


def echoes_own_timestamp(message: Heartbeat, incarnation: int, now: float) -> bool:
    """Whether a heartbeat echoes a stamp that this process may have sent.

    Args:
        message: The heartbeat.
        incarnation: Our incarnation.
        now: Our clock, in seconds; stamps sent at one moment run ahead of it a little.
    """
    if message.echoed_incarnation != incarnation:
        return False
    return 0 < message.echoed_timestamp <= now + MAX_TIMESTAMP_LEAD_SECONDS
