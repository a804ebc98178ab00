"""Checks whether a backend server's call is accepted and which lease it results in."""

from __future__ import annotations

from typing import NamedTuple

from expression import Error, Ok, Result

from kumquatmux_core.identity import Endpoint, ServerId, Vm, ZoneName
from kumquatmux_core.problems import Problem
from kumquatmux_membership.events import Announce, Depart, Drain, Lease, Ticket
from kumquatmux_membership.known import KnownServer
from kumquatmux_membership.phases import Phase, phase_of, session_of, version_of
from kumquatmux_membership.settings import LeaseSettings


class AdmissionState(NamedTuple):
    """State of a VM that decides which backend server calls it accepts.

    Attributes:
        local_vm: This VM.
        leaving: Whether this VM is shutting down.
        peers_consulted: Whether every peer has confirmed its leases since this VM
            started, or ``stale_seconds`` have passed since then.
        table_full: Whether this VM holds the maximum number of servers.
    """

    local_vm: Vm
    leaving: bool
    peers_consulted: bool
    table_full: bool


def check_announce(
    event: Announce,
    known_server: KnownServer | None,
    state: AdmissionState,
    settings: LeaseSettings,
    now: float,
) -> Result[Lease, Problem]:
    """Return the lease to hold, or why the announcement is refused."""
    lease = event.lease
    if state.leaving:
        return _refuse(lease, "vm-leaving", "this VM shuts down, renew at another one")
    if lease.zone != state.local_vm.zone:
        return _refuse(
            lease, "wrong-zone", f"this VM serves zone {state.local_vm.zone}"
        )
    if lease.server != str(lease.endpoint):
        return _refuse(lease, "wrong-server", f"its endpoint is {lease.endpoint}")
    if not state.peers_consulted and known_server is None:
        return _refuse(lease, "vm-starting", "this VM has not heard its peers yet")
    if state.table_full and known_server is None:
        return _refuse(lease, "table-full", "this VM holds as many servers as it may")
    if not _ticket_valid(event.ticket, state.local_vm, settings, now):
        return _refuse(lease, "ticket-needed", "repeat the call with this ticket")
    if known_server is None:
        return Ok(lease)
    return _check_conflicts(lease, known_server, settings, now)


def check_retire(
    event: Drain | Depart, known_server: KnownServer | None
) -> Result[Lease, Problem]:
    """Return the lease to drain or end, or why the call is refused."""
    if known_server is not None and event.service not in (
        "",
        known_server.lease.service,
    ):
        detail = f"it belongs to service {known_server.lease.service}"
        return Error(Problem("address-taken", detail, event.server))
    if known_server is None or session_of(known_server.lease.version) < event.session:
        return _lease_of_unknown_session(event)
    if event.session and event.session < session_of(known_server.lease.version):
        detail = f"its latest session is {session_of(known_server.lease.version)}"
        return Error(Problem("session-old", detail, event.server))
    return Ok(known_server.lease)


def _check_conflicts(
    lease: Lease, known_server: KnownServer, settings: LeaseSettings, now: float
) -> Result[Lease, Problem]:
    session = session_of(lease.version)
    latest_session = session_of(known_server.lease.version)
    recently_held = now - known_server.last_held_at < settings.address_hold_seconds
    if lease.service != known_server.lease.service and recently_held:
        return _refuse(lease, "address-taken", "another service uses this address")
    if session < latest_session:
        return _refuse(lease, "session-old", f"its latest session is {latest_session}")
    if session == latest_session and phase_of(known_server.lease.version) == Phase.LEFT:
        return _refuse(
            lease, "session-left", f"session {latest_session} has left for good"
        )
    return Ok(lease)


def _ticket_valid(
    ticket: Ticket | None, local_vm: Vm, settings: LeaseSettings, now: float
) -> bool:
    if ticket is None or ticket.incarnation != local_vm.incarnation:
        return False
    return 0 <= now - ticket.stamp <= settings.ticket_lifetime_seconds


def _lease_of_unknown_session(event: Drain | Depart) -> Result[Lease, Problem]:
    """Return a lease, without a zone, for a session that this VM does not know."""
    if not event.session or not event.service:
        detail = "this VM does not know the server; give its session and service"
        return Error(Problem("server-unknown", detail, event.server))
    ip, _, port = event.server.rpartition(":")
    if not port.isdecimal():
        return Error(Problem("wrong-server", "its name is not ip:port", event.server))
    lease = Lease(
        server=event.server,
        endpoint=Endpoint(ip, int(port)),
        service=event.service,
        zone=ZoneName(""),
        slots=0,
        connections=0,
        draining=False,
        left=False,
        version=version_of(event.session, Phase.LIVE),
    )
    return Ok(lease)


def _refuse(lease: Lease, code: str, detail: str) -> Result[Lease, Problem]:
    return Error(Problem(code, detail, subject=ServerId(lease.server)))
