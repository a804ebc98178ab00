"""Warm-up budget: the limit of the openings that a cold server gets in any second.

One VM grants all openings at the cold servers of a service in its zone. So the sum over
all VMs is bounded without an exchange of messages for each second, and also while VMs
are cut off from each other.
"""

from __future__ import annotations

import math
from collections import deque

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import ServiceName
from kumquatmux_tokens.directory import ServerEntry
from kumquatmux_tokens.placers import CoordinatorSelector
from kumquatmux_tokens.routes import RouteTable, WarmUp
from kumquatmux_tokens.settings import TokenRouterSettings


class BudgetTenure:
    """Tells for which services this VM holds the warm-up budget.

    The holder is the first VM in the service's ranking of the zone's entry VMs, also
    while some VM has backed off from it. It has to have been first for
    ``budget_wait_s`` without a break, while control VMs of its zone confirmed the list
    of entry VMs at least every ``vm_list_validity_s``.

    Attributes:
        first_since: Time since which this VM is the first one, by service.
        confirmed_at: Time when the list of entry VMs was last confirmed.
        fed_since: Time since which it has been confirmed without a break, and this VM
            has not paused.
    """

    def __init__(
        self,
        settings: TokenRouterSettings,
        coordinators: CoordinatorSelector,
        route_table: RouteTable,
    ) -> None:
        self.settings = settings
        self.coordinators = coordinators
        self.route_table = route_table
        self.first_since: dict[ServiceName, float] = {}
        self.confirmed_at = -math.inf
        self.fed_since = -math.inf
        self._ranked_for: tuple[object, object] = (None, None)

    def note_feed(self, is_confirmed: bool, now: float) -> list[ServiceName]:
        """Note an answer of a control VM, after its list of entry VMs is in force.

        Args:
            is_confirmed: Whether the list is that of an up-to-date control VM of this
                zone. Another one doesn't tell which entry VMs the zone has.
            now: Current time in monotonic seconds.

        Returns:
            The services that this VM has become the first one for.
        """
        if is_confirmed:
            if not self._is_fed(now):
                self.fed_since = now
            self.confirmed_at = now
        return self._rank(now)

    def note_pause(self, now: float) -> None:
        """Note a pause of this VM that has just ended: another one may have been first.

        The list of entry VMs counts as confirmed once a control VM is heard again.
        """
        self.fed_since = now
        self.confirmed_at = -math.inf

    def holds(self, service: ServiceName, now: float) -> bool:
        """Return whether this VM may grant openings at cold servers of a service."""
        first_since = self.first_since.get(service)
        if first_since is None or not self._is_fed(now):
            return False
        return now - max(first_since, self.fed_since) >= self.settings.budget_wait_s

    def _is_fed(self, now: float) -> bool:
        return now - self.confirmed_at <= self.settings.vm_list_validity_s

    def _rank(self, now: float) -> list[ServiceName]:
        """Bring ``first_since`` up to date if the VMs or the services changed."""
        entry_vms = self.coordinators.entry_vms
        warm_ups = self.route_table.warm_ups
        if self._ranked_for[0] is entry_vms and self._ranked_for[1] is warm_ups:
            return []
        self._ranked_for = (entry_vms, warm_ups)
        own_vm = self.settings.vm
        own_services = {
            one for one in warm_ups if self.coordinators.first_for(one) == own_vm
        }
        gained = sorted(own_services - self.first_since.keys())
        for service in sorted(self.first_since.keys() - own_services):
            del self.first_since[service]
            log_decision("budget-ceded", service=service)
        for service in gained:
            self.first_since[service] = now
            log_decision("budget-awaited", service=service)
        return gained


class WarmUpBudget:
    """Openings granted at the servers of limited services within the last second.

    Attributes:
        grants: Times of the latest grants by server name, oldest first. A server that
            starts again within the second shares it with its former lifetime.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.grants: dict[str, deque[float]] = {}

    def limit_of(self, warm_up: WarmUp) -> int:
        """Return the number of openings that a cold server gets within a second."""
        limits = self.settings.warm_up_limits
        if limits is None:
            raise AssertionError("there is no limit of the openings at a cold server")
        return math.floor(warm_up.requests_per_s * limits.overage + limits.slack)

    def has_room(self, entry: ServerEntry, warm_up: WarmUp, now: float) -> bool:
        """Return whether a server may get an opening now."""
        grants = self.grants.get(entry.record.report.lifetime.name)
        if grants is not None:
            self._remove_old(grants, now)
        return len(grants or ()) < self.limit_of(warm_up)

    def grant(self, entry: ServerEntry, now: float) -> None:
        """Count an opening at a server."""
        name = entry.record.report.lifetime.name
        grants = self.grants.setdefault(name, deque())
        self._remove_old(grants, now)
        grants.append(now)

    def move(self, entry: ServerEntry, granted_at: float, now: float) -> bool:
        """Count an opening that was not sent yet as granted now.

        Returns:
            False if its grant counts no longer, so that it needs another one.
        """
        grants = self.grants.get(entry.record.report.lifetime.name, deque())
        self._remove_old(grants, now)
        if granted_at not in grants:
            return False
        grants.remove(granted_at)
        grants.append(now)
        return True

    def remove_expired(self, now: float) -> None:
        """Remove the servers that got no opening within the last second."""
        for name, grants in list(self.grants.items()):
            self._remove_old(grants, now)
            if not grants:
                del self.grants[name]

    def _remove_old(self, grants: deque[float], now: float) -> None:
        """Remove the grants that count no longer.

        A grant is used up to ``placement_timeout_s`` after it was made. Without these
        seconds a late use and early ones could come within one second.
        """
        settings = self.settings
        limit = now - settings.budget_window_s - settings.placement_timeout_s
        while grants and grants[0] <= limit:
            grants.popleft()
