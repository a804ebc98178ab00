"""Versions of leases, which combine the server's session and its phase in it.

A server starts a session with its first announcement. Within a session its phase only
advances, so the higher of two versions is the later one, whichever VM reports it.
"""

from __future__ import annotations

from enum import IntEnum

from kumquatmux_membership.events import Lease

PHASES_PER_SESSION = 4


class Phase(IntEnum):
    """Phase of a server in its session."""

    LIVE = 0
    DRAINING = 1
    LEFT = 2


def version_of(session: int, phase: Phase) -> int:
    """Return the lease version for a session and a phase."""
    return session * PHASES_PER_SESSION + phase


def session_of(version: int) -> int:
    """Return the session of a lease version."""
    return version // PHASES_PER_SESSION


def phase_of(version: int) -> Phase:
    """Return the phase of a lease version."""
    return Phase(min(version % PHASES_PER_SESSION, Phase.LEFT))


def with_phase(lease: Lease, phase: Phase) -> Lease:
    """Return a copy of a lease with a given phase of its session."""
    return lease._replace(
        draining=phase >= Phase.DRAINING,
        left=phase == Phase.LEFT,
        version=version_of(session_of(lease.version), phase),
    )
