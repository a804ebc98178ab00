"""Settings of the announce interface and who may announce for which service."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from kumquatmux_core.identity import ServiceName, ZoneName
from kumquatmux_membership.events import Announce, Depart, Drain, LeaseAnswer


class AnnounceSettings(NamedTuple):
    """Settings of the announce interface.

    Attributes:
        lease_seconds: How long a lease runs, told to backend servers.
        renew_seconds: How often they should renew, told to them.
        in_force_seconds: How long after an answer new work may still arrive.
        body_limit_bytes: Bodies larger than this are refused.
        calls_per_second: Calls taken for one service in the long run.
        calls_burst: Calls taken for one service at once.
        wait_seconds: How long a drain or leave is waited for until it is in force.
        poll_seconds: Period at which this is looked at.
    """

    lease_seconds: float = 4.0
    renew_seconds: float = 1.0
    in_force_seconds: float = 3.0
    body_limit_bytes: int = 4096
    calls_per_second: float = 1000.0
    calls_burst: int = 2000
    wait_seconds: float = 1.0
    poll_seconds: float = 0.05


class ServiceAccess(NamedTuple):
    """Who may announce for a service.

    Attributes:
        service: The service.
        token_hashes: SHA-256 of each token in hexadecimal.
        zones: Availability zones its servers may announce in; empty for all.
    """

    service: ServiceName
    token_hashes: tuple[str, ...]
    zones: tuple[ZoneName, ...] = ()


class Desk(Protocol):
    """What the interface needs of the daemon that runs it."""

    def access(self, service: ServiceName) -> ServiceAccess | None:
        """Return who may announce for a service by the settings in force."""

    def call(self, event: Announce | Drain | Depart) -> LeaseAnswer:
        """Hand a call to the lease table, do what it asks for, return its answer."""
