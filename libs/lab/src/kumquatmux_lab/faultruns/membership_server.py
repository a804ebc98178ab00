"""A backend server of a membership run and its calls to entry VMs."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from kumquatmux_core.identity import Endpoint, ServerId, ServiceName, VmId, ZoneName
from kumquatmux_lab.faultruns.membership_history import (
    Accepted,
    ServerCrashed,
)
from kumquatmux_membership.events import (
    Announce,
    Depart,
    Drain,
    Event,
    Lease,
    LeaseAnswer,
    LeaseState,
    Ticket,
)
from kumquatmux_membership.phases import Phase, version_of

if TYPE_CHECKING:
    from kumquatmux_lab.faultruns.membership_world import World

CALL_TIMEOUT_SECONDS = 0.5
RETRY_SECONDS = 0.2


class ServerAgent:
    """A backend server that announces, renews, drains, leaves or crashes."""

    def __init__(self, world: World, endpoint: Endpoint, zone: ZoneName) -> None:
        self.world = world
        self.endpoint = endpoint
        self.name = ServerId(str(endpoint))
        self.zone = zone
        self.entries = [vm.vm for vm in world.vms if vm.zone == zone]
        self.entry = world.random.randrange(len(self.entries))
        self.session = 0
        self.phase = Phase.LEFT
        self.up = False
        self.tickets: dict[VmId, Ticket] = {}

    def start(self) -> None:
        """Begin a new session."""
        self.session = int(self.world.now * 1000) + 1
        self.phase = Phase.LIVE
        self.up = True
        self._renew(self.session)

    def crash(self) -> None:
        """Stop without a word."""
        if self.up and self.phase != Phase.LEFT:
            crashed = ServerCrashed(self.world.now, self.name, self.session)
            self.world.history.append(crashed)
        self.up = False

    def retire(self, phase: Phase) -> None:
        """Drain or leave, repeating the call until it is in force."""
        if self.up and phase > self.phase:
            self.phase = phase
            self._ask(self.session, phase)

    def race(self, phase: Phase, stuck_seconds: float) -> None:
        """Retire while a renewal at another entry VM is still on its way there."""
        if not self.up or self.phase >= phase:
            return
        other = self.entries[(self.entry + 1) % len(self.entries)]
        renewal = Announce(self._lease())

        def send(answer: LeaseAnswer) -> None:
            late = renewal._replace(ticket=answer.ticket)
            machine = self.world.machines[other]
            self.world.after(
                stuck_seconds, lambda: self.world.deliver(machine, late, _ignore)
            )
            self.retire(phase)

        self._carry(other, renewal, send)

    def _lease(self) -> Lease:
        return Lease(
            server=self.name,
            endpoint=self.endpoint,
            service=ServiceName("entries"),
            zone=self.zone,
            slots=2,
            connections=2000,
            draining=self.phase == Phase.DRAINING,
            left=False,
            version=version_of(self.session, self.phase),
        )

    def _renew(self, session: int) -> None:
        if not self.up or session != self.session or self.phase == Phase.LEFT:
            return
        event = Announce(self._lease(), self.tickets.get(self.entries[self.entry]))
        self._call(event, lambda answer: self._renewed(session, answer))

    def _renewed(self, session: int, answer: LeaseAnswer | None) -> None:
        if answer is not None and answer.state == LeaseState.GRANTED:
            self.world.after(1.0, lambda: self._renew(session))
            return
        if answer is not None and answer.problem is not None:
            if answer.problem.code == "ticket-needed":
                self._renew(session)
                return
        self._next_entry()
        self.world.after(RETRY_SECONDS, lambda: self._renew(session))

    def _ask(self, session: int, phase: Phase) -> None:
        if not self.up or session != self.session or phase != self.phase:
            return
        kind = Drain if phase == Phase.DRAINING else Depart
        event = kind(self.name, session, ServiceName("entries"))
        self._call(event, lambda answer: self._asked(session, phase, answer))

    def _asked(self, session: int, phase: Phase, answer: LeaseAnswer | None) -> None:
        if answer is not None and answer.state == LeaseState.IN_FORCE:
            return
        if answer is None or answer.state != LeaseState.NOTED:
            self._next_entry()
        self.world.after(RETRY_SECONDS, lambda: self._ask(session, phase))

    def _next_entry(self) -> None:
        self.entry = (self.entry + 1) % len(self.entries)

    def _call(
        self,
        event: Announce | Drain | Depart,
        answered: Callable[[LeaseAnswer | None], None],
    ) -> None:
        """Call the present entry VM; the answer is None after the timeout."""
        vm = self.entries[self.entry]
        pending = [True]

        def finish(answer: LeaseAnswer | None) -> None:
            if pending[0]:
                pending[0] = False
                if answer is not None:
                    self.tickets[vm] = answer.ticket
                answered(answer)

        def reply(answer: LeaseAnswer) -> None:
            if answer.state == LeaseState.IN_FORCE and not isinstance(event, Announce):
                accepted = Accepted(self.world.now, self.name, event.session)
                self.world.history.append(accepted)
            if self.world.path_open(vm, self.name):
                self.world.after(0.001, lambda: finish(answer))

        self._carry(vm, event, reply)
        self.world.after(CALL_TIMEOUT_SECONDS, lambda: finish(None))

    def _carry(
        self, vm: VmId, event: Event, reply: Callable[[LeaseAnswer], None]
    ) -> None:
        world = self.world
        delay = 0.001
        if world.random.random() < world.network.stuck_call:
            delay = world.random.uniform(0.5, 10.0)
        elif not world.path_open(self.name, vm):
            return
        machine = world.machines[vm]
        world.after(delay, lambda: world.deliver(machine, event, reply))


def _ignore(answer: LeaseAnswer) -> None:
    """Take an answer that nobody waits for."""
