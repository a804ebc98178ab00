"""One backend server of a run of whole VMs and its calls to entry VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kumquatmux_core.identity import VmId, ZoneName
from kumquatmux_lab.faultruns import site_history as history
from kumquatmux_lab.standin.server import StandInServer
from kumquatmux_membership.events import (
    Announce,
    Depart,
    Drain,
    Lease,
    LeaseState,
    Ticket,
)
from kumquatmux_membership.phases import Phase, version_of

if TYPE_CHECKING:
    from kumquatmux_lab.faultruns.site_world import World

RENEW_S = 1.0
RENEW_RETRY_S = 0.2


class Backend:
    """A backend server and its calls to the entry VMs of its zone."""

    def __init__(
        self, world: World, server: StandInServer, zone: ZoneName, session: int
    ) -> None:
        self.world = world
        self.server = server
        self.zone = zone
        self.session = session
        self.tickets: dict[tuple[VmId, int], Ticket] = {}
        self.entry = 0
        self.is_draining = False
        self.has_left = False
        self.is_dead = False
        self.accepted = 0

    def renew(self) -> None:
        """Announce it at an entry VM of its zone, again and again."""
        if self.has_left or self.is_dead:
            return
        granted = self._call(self.announcement())
        if not granted:
            self.entry += 1
        pause = RENEW_S if granted else RENEW_RETRY_S
        self.world.after(pause, self.renew)

    def retire(self, *, leave: bool) -> None:
        """Drain it or let it leave, until an entry VM took the call."""
        self.is_draining = True
        kind = Depart if leave else Drain
        name = self.server.name
        service = self.server.settings.service
        if self._call(kind(name, self.session, service)):
            self.has_left = leave
            self.world.note(history.RetireAccepted(self.world.now, name))
            return
        self.entry += 1
        self.world.after(RENEW_RETRY_S, lambda: self.retire(leave=leave))

    def announcement(self) -> Announce:
        """Return what it says of itself."""
        settings = self.server.settings
        phase = Phase.DRAINING if self.is_draining else Phase.LIVE
        lease = Lease(
            server=self.server.name,
            endpoint=settings.endpoint,
            service=settings.service,
            zone=self.zone,
            slots=settings.slots,
            connections=2_000,
            draining=self.is_draining,
            left=False,
            version=version_of(self.session, phase),
        )
        return Announce(lease)

    def _call(self, event: Announce | Drain | Depart) -> bool:
        names = [v.vm for v in self.world.vms if v.zone == self.zone]
        running = self.world.running.get(names[self.entry % len(names)])
        if running is None or self.world.now < running.paused_until:
            return False
        key = (running.vm.vm, running.vm.incarnation)
        if isinstance(event, Announce):
            event = event._replace(ticket=self.tickets.get(key))
        answer = running.node.answer_server(event, self.world.now)
        self.tickets[key] = answer.ticket
        return answer.state in (LeaseState.GRANTED, LeaseState.IN_FORCE)
