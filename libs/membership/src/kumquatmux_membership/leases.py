"""Leases of backend servers: those that this VM holds and those that its peers hold.

The version of a lease comes from the server itself (see ``phases``). The higher of two
reported versions is therefore the later one, and two holders cannot contradict each
other. The freshness of a peer's leases is counted from the timestamp of this VM that
the peer echoed with them.
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any

from expression import Result

from kumquatmux_core import decisions
from kumquatmux_core.identity import ServerId, Vm, VmId
from kumquatmux_core.problems import Problem
from kumquatmux_membership.admission import AdmissionState, check_announce, check_retire
from kumquatmux_membership.events import (
    Action,
    Announce,
    Depart,
    Drain,
    Event,
    Heartbeat,
    IncarnationRaised,
    Lease,
    LeaseAck,
    LeaseAnswer,
    LeaseRequest,
    LeaseState,
    LeaseUpdate,
    Leave,
    PeersChanged,
    Received,
    Tick,
    Ticket,
)
from kumquatmux_membership.freshness import FreshnessTracker
from kumquatmux_membership.holder import Holder
from kumquatmux_membership.known import KnownServers
from kumquatmux_membership.lease_exchange import LeaseExchange
from kumquatmux_membership.notices import Notices
from kumquatmux_membership.peer_lease_table import PeerLeaseTable
from kumquatmux_membership.phases import (
    Phase,
    phase_of,
    session_of,
    with_phase,
)
from kumquatmux_membership.settings import LeaseSettings
from kumquatmux_membership.timestamps import echoes_own_timestamp

HOUSEKEEPING_INTERVAL_SECONDS = 1.0


class LeaseTable:
    """All leases known to one VM.

    Args:
        local_vm: This VM.
        settings: Periods and limits.
    """

    def __init__(self, local_vm: Vm, settings: LeaseSettings) -> None:
        self.me = local_vm
        self.settings = settings = settings.within_bounds
        self.holder = Holder()
        self.known_servers = KnownServers(settings)
        self.exchange = LeaseExchange(local_vm, settings, self.holder)
        self.peer_tables = self.exchange.peer_tables
        self.peers: dict[VmId, Vm] = {}
        self.pending_retirements = Notices(settings)
        self.freshness = FreshnessTracker(settings)
        self.started_at: float | None = None
        self.leaving = False
        self.next_housekeeping = 0.0
        self.actions: list[Action] = []

    @property
    def valid_until(self) -> float:
        """Time from which the last ``ServersChanged`` may be outdated, in seconds."""
        return min(self.freshness.valid_until, self.holder.next_expiry)

    def apply_settings(self, settings: LeaseSettings) -> None:
        """Apply new settings; existing leases keep their expiry times."""
        self.settings = settings = settings.within_bounds
        for component in (
            self.known_servers,
            self.pending_retirements,
            self.freshness,
            self.exchange,
        ):
            component.settings = settings

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event and return the resulting actions.

        Args:
            event: The event.
            now: Monotonic time, in seconds.

        Returns:
            The actions that the caller performs. The first one is a ``LeaseAnswer`` if
            the event is a call of a backend server.
        """
        self.actions = []
        if self.started_at is None:
            self.started_at = now
        self._expire_leases(now)
        self._handle_event(event, now)
        servers_changed = self.freshness.update(
            self.holder, self.peer_tables, self.known_servers, now
        )
        if servers_changed is not None:
            self.actions.append(servers_changed)
        return self.actions + self.exchange.pop_outgoing()

    def _expire_leases(self, now: float) -> None:
        base_version = self.holder.version
        for lease in self.holder.expire(now):
            self.freshness.dirty = True
            decisions.log("lease-ended", server=lease.server, service=lease.service)
        self.exchange.push_changes(base_version, now)

    @singledispatchmethod
    def _handle_event(self, event: Any, now: float) -> None:
        """Ignore an event that concerns failure detection only."""

    @_handle_event.register
    def _on_tick(self, event: Tick, now: float) -> None:
        for vm in self.pending_retirements.take_due_vms(now):
            self.exchange.send_update(
                vm, self.pending_retirements.resend_base_version(vm), ack_requested=True
            )
        if now < self.next_housekeeping:
            return
        self.next_housekeeping = now + HOUSEKEEPING_INTERVAL_SECONDS
        self.freshness.dirty |= self.exchange.drop_silent_holders(now)
        for server in self.exchange.held_servers():
            self.known_servers.mark_held(server, now)
        cutoff = now - self.settings.retired_retention_seconds
        self.holder.prune(cutoff)
        self.pending_retirements.prune(cutoff)
        if self.known_servers.prune(cutoff):
            self.freshness.dirty = True

    @_handle_event.register
    def _on_peers_changed(self, event: PeersChanged, now: float) -> None:
        self.peers = {vm.vm: vm for vm in event.peers}

    @_handle_event.register
    def _on_incarnation_raised(self, event: IncarnationRaised, now: float) -> None:
        self.me = self.me._replace(incarnation=event.incarnation)
        self.exchange.local_vm = self.me

    @_handle_event.register
    def _on_leave(self, event: Leave, now: float) -> None:
        self.leaving = True

    @_handle_event.register
    def _on_announce(self, event: Announce, now: float) -> None:
        known_server = self.known_servers.get(event.lease.server)
        match check_announce(
            event, known_server, self._admission_state(now), self.settings, now
        ):
            case Result(tag="ok", ok=lease):
                self._grant(lease, event, now)
            case Result(error=problem):
                self._refuse(event.lease.server, problem, now)

    def _grant(self, lease: Lease, event: Announce, now: float) -> None:
        phase = Phase.DRAINING if lease.draining else Phase.LIVE
        lease = self._at_latest_phase(lease, phase)
        issued_at = event.ticket.stamp if event.ticket else now
        expires_at = issued_at + self.settings.lease_seconds
        held_lease = self.holder.held.get(lease.server)
        if held_lease is not None and _same_session(held_lease.lease, lease):
            expires_at = max(expires_at, held_lease.expires_at)
        base_version = self.holder.version
        self._hold(lease, expires_at, now)
        self.exchange.push_changes(base_version, now)
        self._add_answer(lease.server, LeaseState.GRANTED, now)

    def _at_latest_phase(self, lease: Lease, phase: Phase) -> Lease:
        """Return a lease at a phase, or at a later one that its session has reached."""
        known_server = self.known_servers.get(lease.server)
        if known_server is not None and _same_session(known_server.lease, lease):
            phase = max(phase, phase_of(known_server.lease.version))
        return with_phase(lease, phase)

    @_handle_event.register
    def _on_drain(self, event: Drain, now: float) -> None:
        self._retire(event, Phase.DRAINING, now)

    @_handle_event.register
    def _on_depart(self, event: Depart, now: float) -> None:
        self._retire(event, Phase.LEFT, now)

    @_handle_event.register
    def _on_received(self, event: Received, now: float) -> None:
        self._handle_message(event.message, now)

    @singledispatchmethod
    def _handle_message(self, message: Any, now: float) -> None:
        """Ignore a message that concerns failure detection only."""

    @_handle_message.register
    def _receive_heartbeat(self, message: Heartbeat, now: float) -> None:
        table = self._current_table(message.sender, message.incarnation)
        if table is None:
            return
        if not echoes_own_timestamp(message, self.me.incarnation, now):
            return
        is_behind = table.record_echo(message)
        if (
            is_behind
            and now - table.requested_at >= self.settings.resend_interval_seconds
        ):
            self.exchange.request_changes(table, now)

    @_handle_message.register
    def _receive_update(self, message: LeaseUpdate, now: float) -> None:
        table = self._current_table(message.sender, message.incarnation)
        if table is None:
            return
        if not table.apply(message):
            self.exchange.request_changes(table, now)
            return
        self.freshness.dirty = True
        base_version = self.holder.version
        for lease in message.leases:
            self._merge_lease(lease, now)
        self.exchange.push_changes(base_version, now)
        if message.ack_requested:
            ack = LeaseAck(self.me.vm, table.incarnation, table.version)
            self.exchange.send(message.sender, ack)

    @_handle_message.register
    def _receive_request(self, message: LeaseRequest, now: float) -> None:
        is_own_incarnation = message.incarnation == self.me.incarnation
        since_version = message.since_version if is_own_incarnation else 0
        self.exchange.send_update(message.sender, since_version, ack_requested=False)

    @_handle_message.register
    def _receive_ack(self, message: LeaseAck, now: float) -> None:
        if message.incarnation == self.me.incarnation:
            self.pending_retirements.acknowledge(message.sender, message.version)

    def _current_table(self, vm: VmId, incarnation: int) -> PeerLeaseTable | None:
        """Return a holder's lease table, None for an earlier incarnation."""
        table = self.exchange.peer_table(vm)
        previous_incarnation = table.incarnation
        if not table.accept_incarnation(incarnation):
            return None
        self.freshness.dirty |= table.incarnation != previous_incarnation
        return table

    def _merge_lease(self, lease: Lease, now: float) -> None:
        """Merge a peer's lease into the known servers and the leases held here."""
        if lease.held:
            self.known_servers.merge(lease, now)
        held_lease = self.holder.held.get(lease.server)
        if held_lease is None or held_lease.lease.version >= lease.version:
            return
        if held_lease.lease.service != lease.service:
            return
        if _same_session(held_lease.lease, lease):
            updated = with_phase(held_lease.lease, phase_of(lease.version))
            self.holder.hold(updated, held_lease.expires_at)
        else:
            self.holder.release(lease.server, now)

    def _hold(self, lease: Lease, expires_at: float, now: float) -> None:
        self.known_servers.merge(lease, now)
        if not self.holder.hold(lease, expires_at):
            return
        self.freshness.dirty = True
        decisions.log(
            "lease-held",
            server=lease.server,
            service=lease.service,
            phase=phase_of(lease.version).name.lower(),
            session=session_of(lease.version),
        )

    def _retire(self, event: Drain | Depart, phase: Phase, now: float) -> None:
        """Drain or end a session, notify peers and answer whether it is in force."""
        known_server = self.known_servers.get(event.server)
        match check_retire(event, known_server):
            case Result(tag="ok", ok=lease):
                lease = self._at_latest_phase(lease, phase)
                if self.pending_retirements.find(lease) is None:
                    self._start_retirement(lease, now)
                in_force = self.pending_retirements.in_force(lease, now)
                state = LeaseState.IN_FORCE if in_force else LeaseState.NOTED
                self._add_answer(event.server, state, now)
            case Result(error=problem):
                self._refuse(event.server, problem, now)

    def _start_retirement(self, lease: Lease, now: float) -> None:
        held_lease = self.holder.held.get(lease.server)
        expires_at = (
            held_lease.expires_at if held_lease else now + self.settings.lease_seconds
        )
        if phase_of(lease.version) == Phase.LEFT:
            expires_at = now + self.settings.retired_retention_seconds
        base_version = self.holder.version
        self._hold(lease, expires_at, now)
        possible_holders = self._possible_holders(lease)
        self.pending_retirements.add(
            lease, self.holder.version, set(possible_holders), now
        )
        for vm in sorted(possible_holders):
            self.exchange.send_update(vm, base_version, ack_requested=True)
        self.exchange.push_changes(base_version, now, excluded=possible_holders)

    def _possible_holders(self, lease: Lease) -> set[VmId]:
        """Return the VMs of the server's zone, or all VMs if its zone is unknown."""
        zones = (lease.zone,) if lease.zone else {vm.zone for vm in self.peers.values()}
        return {vm.vm for vm in self.peers.values() if vm.zone in zones}

    def _admission_state(self, now: float) -> AdmissionState:
        started_at = self.started_at if self.started_at is not None else now
        unconfirmed_peers = [
            vm
            for vm in self.peers
            if self.exchange.peer_table(vm).confirmed_at < started_at
        ]
        waited_long_enough = now - started_at >= self.settings.stale_seconds
        return AdmissionState(
            local_vm=self.me,
            leaving=self.leaving,
            peers_consulted=waited_long_enough or not unconfirmed_peers,
            table_full=len(self.holder.held) >= self.settings.max_servers,
        )

    def _refuse(self, server: ServerId, problem: Problem, now: float) -> None:
        decisions.log("lease-refused", server=server, code=problem.code)
        self._add_answer(server, LeaseState.REFUSED, now, problem)

    def _add_answer(
        self,
        server: ServerId,
        state: LeaseState,
        now: float,
        problem: Problem | None = None,
    ) -> None:
        known_server = self.known_servers.get(server)
        session = session_of(known_server.lease.version) if known_server else 0
        ticket = Ticket(self.me.incarnation, now)
        self.actions.insert(0, LeaseAnswer(server, state, ticket, session, problem))


def _same_session(first: Lease, second: Lease) -> bool:
    return session_of(first.version) == session_of(second.version)
