"""The version of a lease: the server's session, then how far it has come in it.

A server starts a session with its first announcement. Within a session its phase only
moves on, so the higher of two versions is the later one, whoever tells it.
"""

from __future__ import annotations

from enum import IntEnum

from kumquatmux_membership.events import Lease

PHASES_PER_SESSION = 4


class Phase(IntEnum):
    """How far a server has come in its session."""

    LIVE = 0
    DRAINING = 1
    LEFT = 2


def version_of(session: int, phase: Phase) -> int:
    """Return the version of a lease."""
    return session * PHASES_PER_SESSION + phase


def session_of(version: int) -> int:
    """Return the session that a version belongs to."""
    return version // PHASES_PER_SESSION


def phase_of(version: int) -> Phase:
    """Return the phase that a version stands for."""
    return Phase(min(version % PHASES_PER_SESSION, Phase.LEFT))


def with_phase(lease: Lease, phase: Phase) -> Lease:
    """Return a lease moved to a phase of its session."""
    return lease._replace(
        draining=phase >= Phase.DRAINING,
        left=phase == Phase.LEFT,
        version=version_of(session_of(lease.version), phase),
    )
