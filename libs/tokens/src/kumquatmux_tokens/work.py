"""Reports of server load from entry VMs to the VMs of the zone that place flows."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_tokens.settings import TokenRouterSettings

MAX_EMPTY_REPORTS = 3
"""Complete reports without load in a row, after which a VM reports nothing.

By then the receiver has discarded the load of a VM whose reports were all lost.
"""


class ServerLoad(NamedTuple):
    """Load on one server as seen by one entry VM.

    Attributes:
        token: Token of the server.
        active_requests: Requests in progress.
        open_flows: Open flows.
        is_avoided: Whether the VM avoids the server because it left SYN packets
            unanswered.
    """

    token: int
    active_requests: int
    open_flows: int
    is_avoided: bool


class LoadShare(NamedTuple):
    """Load report from one entry VM to another.

    Attributes:
        sender: The reporting VM.
        number: Report number, which increases with each report of a process.
        is_complete: Whether the report is complete, so that servers not listed in it
            have no load at the sender.
        included_reservation: Number of the receiver's latest reservation that
            ``server_loads`` already includes, 0 for none.
        server_loads: Load on each server whose load changed, or on all if
            ``is_complete``.
    """

    sender: VmId
    number: int
    is_complete: bool
    included_reservation: int
    server_loads: tuple[ServerLoad, ...]


class PeerLoadTotal:
    """Load on one server, summed over the other VMs of the zone.

    Attributes:
        active_requests: Requests in progress, including reservations.
        open_flows: Open flows, including reservations.
        avoiding_vms: Number of VMs that avoid the server.
    """

    __slots__ = ("avoiding_vms", "active_requests", "open_flows")

    def __init__(self) -> None:
        self.active_requests = 0
        self.open_flows = 0
        self.avoiding_vms = 0


class Reservation(NamedTuple):
    """Reservation for a flow that this VM placed on behalf of another VM.

    It counts as load until the other VM's reports include the flow.

    Attributes:
        number: Reservation number, which increases within a process.
        token: Token of the server.
        expires_at: Time when the reservation expires, in monotonic seconds.
    """

    number: int
    token: int
    expires_at: float


class ReportingPeer:
    """State of the load reports from one other VM.

    Attributes:
        last_report_at: Time of the latest report, in monotonic seconds.
        last_report_number: Number of the latest report.
        server_loads: Reported load by token.
        reservations: Reservations for the VM that its reports do not include yet.
    """

    def __init__(self) -> None:
        self.last_report_at = 0.0
        self.last_report_number = 0
        self.server_loads: dict[int, ServerLoad] = {}
        self.reservations: list[Reservation] = []


class PeerLoad:
    """Load on servers that the other VMs of the zone report.

    Attributes:
        totals: Sums by token.
        reporting_peers: State of the reports from each VM.
        reservation_count: Number of reservations made.
        changed_tokens: Tokens of servers whose requests in progress changed; the
            reader clears it.
    """

    def __init__(self, settings: TokenRouterSettings, changed_tokens: set[int]) -> None:
        self.settings = settings
        self.changed_tokens = changed_tokens
        self.totals: dict[int, PeerLoadTotal] = {}
        self.reporting_peers: dict[VmId, ReportingPeer] = {}
        self.reservation_count = 0

    def apply_report(self, report: LoadShare, now: float) -> None:
        """Apply a load report from another VM.

        A report that a newer one overtook is ignored. A report number that is lower by
        ``max_report_reordering`` or more comes from a restarted process and is
        accepted.
        """
        peer = self._reporting_peer(report.sender, now)
        is_overtaken = (
            0
            < peer.last_report_number - report.number
            < self.settings.max_report_reordering
        )
        if is_overtaken:
            return
        peer.last_report_number = report.number
        peer.last_report_at = now
        if report.is_complete:
            listed_tokens = {load.token for load in report.server_loads}
            for token in [
                token for token in peer.server_loads if token not in listed_tokens
            ]:
                self._replace_load(peer, ServerLoad(token, 0, 0, False))
        for load in report.server_loads:
            self._replace_load(peer, load)
        self._release_reservations(peer, report.included_reservation, now)

    def reserve(self, vm: VmId, token: int, now: float) -> Reservation:
        """Reserve capacity for a flow that another VM is about to open."""
        self.reservation_count += 1
        expires_at = now + self.settings.reservation_timeout_s
        reservation = Reservation(self.reservation_count, token, expires_at)
        self._reporting_peer(vm, now).reservations.append(reservation)
        self._add_to_total(token, 1, 1, 0)
        return reservation

    def remove_expired(self, now: float) -> None:
        """Remove VMs that stopped reporting, and expired reservations."""
        oldest_allowed = now - self.settings.load_report_expiry_s
        for vm, peer in list(self.reporting_peers.items()):
            self._release_reservations(peer, 0, now)
            if peer.last_report_at < oldest_allowed and not peer.reservations:
                for load in list(peer.server_loads.values()):
                    self._replace_load(peer, ServerLoad(load.token, 0, 0, False))
                del self.reporting_peers[vm]

    def _reporting_peer(self, vm: VmId, now: float) -> ReportingPeer:
        peer = self.reporting_peers.get(vm)
        if peer is None:
            peer = self.reporting_peers[vm] = ReportingPeer()
            peer.last_report_at = now
        return peer

    def _replace_load(self, peer: ReportingPeer, load: ServerLoad) -> None:
        previous = peer.server_loads.pop(load.token, None)
        if previous is not None:
            self._add_to_total(
                load.token,
                -previous.active_requests,
                -previous.open_flows,
                -previous.is_avoided,
            )
        if load.active_requests or load.open_flows or load.is_avoided:
            peer.server_loads[load.token] = load
            self._add_to_total(
                load.token, load.active_requests, load.open_flows, int(load.is_avoided)
            )

    def _release_reservations(
        self, peer: ReportingPeer, included_reservation: int, now: float
    ) -> None:
        remaining = []
        for reservation in peer.reservations:
            if (
                reservation.number <= included_reservation
                or reservation.expires_at <= now
            ):
                self._add_to_total(reservation.token, -1, -1, 0)
            else:
                remaining.append(reservation)
        peer.reservations = remaining

    def _add_to_total(
        self, token: int, active_requests: int, open_flows: int, avoiding_vms: int
    ) -> None:
        total = self.totals.get(token)
        if total is None:
            total = self.totals[token] = PeerLoadTotal()
        total.active_requests += active_requests
        if active_requests:
            self.changed_tokens.add(token)
        total.open_flows += open_flows
        total.avoiding_vms += avoiding_vms
        if not (total.active_requests or total.open_flows or total.avoiding_vms):
            del self.totals[token]


class OutgoingReports:
    """State of the load reports to one other VM.

    Attributes:
        reported_loads: Load last reported, by token.
        used_reservation: Number of the receiver's latest reservation that was used
            here.
        reported_reservation: Reservation number in the latest report.
        next_complete_at: Time when a complete report is due, in monotonic seconds;
            infinity once several in a row said that there is no load.
        empty_reports: Number of complete reports in a row without load.
    """

    def __init__(self) -> None:
        self.reported_loads: dict[int, ServerLoad] = {}
        self.used_reservation = 0
        self.reported_reservation = 0
        self.next_complete_at = -math.inf
        self.empty_reports = 0

    def next_report(
        self,
        sender: VmId,
        number: int,
        server_loads: Iterable[ServerLoad],
        now: float,
        complete_interval_s: float,
    ) -> LoadShare | None:
        """Return the load report to send now, None if there is nothing to report.

        Args:
            sender: This VM.
            number: Number of the report.
            server_loads: Current load on all servers that concern the receiver.
            now: Current time in monotonic seconds.
            complete_interval_s: Seconds between complete reports, which make up for
                lost ones.
        """
        current_loads = {load.token: load for load in server_loads}
        is_complete = now >= self.next_complete_at
        if current_loads:
            self.empty_reports = 0
            self.next_complete_at = min(
                self.next_complete_at, now + complete_interval_s
            )
        if is_complete:
            self.next_complete_at = now + complete_interval_s
            self.empty_reports += not current_loads
            if self.empty_reports >= MAX_EMPTY_REPORTS:
                self.next_complete_at = math.inf
            loads_to_report = tuple(current_loads.values())
        else:
            removed_loads = [
                ServerLoad(token, 0, 0, False)
                for token in self.reported_loads.keys() - current_loads
            ]
            changed_loads = [
                load
                for token, load in current_loads.items()
                if self.reported_loads.get(token) != load
            ]
            loads_to_report = (*changed_loads, *removed_loads)
        self.reported_loads = current_loads
        if not (
            is_complete
            or loads_to_report
            or self.used_reservation != self.reported_reservation
        ):
            return None
        self.reported_reservation = self.used_reservation
        return LoadShare(
            sender, number, is_complete, self.used_reservation, loads_to_report
        )
