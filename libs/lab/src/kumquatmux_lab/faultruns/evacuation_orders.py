"""Operators whose orders to evacuate zones race in a fault run, and what must hold.

Each zone is a register that orders write and reads with a quorum return. Every revision
stands for one list of zones, wherever it is seen.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

from kumquatmux_core.identity import VmId, ZoneName
from kumquatmux_daemons.registrar.calls import (
    Answer,
    OrderEvacuation,
    Outcome,
    ReadEvacuations,
)
from kumquatmux_lab.faultruns.registrar_world import World

ORDER_GAP_S = 0.35
READ_GAP_S = 0.3
LOOK_S = 0.1
RETRY_S = 1.0
MOST_TRIES = 6
"""Times that an operator sends an order, within the 6 s after which one gives up."""

State = tuple[int, tuple[ZoneName, ...]]
"""A revision and the zones evacuated at it."""


class Attempt:
    """One sending of an order, which may take effect from then until it is answered.

    Attributes:
        call: The order.
        sent_at: When it was sent.
        done_at: When it was acknowledged, infinity while it was not.
    """

    def __init__(self, call: OrderEvacuation, sent_at: float) -> None:
        self.call = call
        self.sent_at = sent_at
        self.done_at = math.inf


class EvacuationOrders:
    """Sends orders and reads, and compares all that is seen of them.

    Attributes:
        attempts: All that was sent, by zone.
        zones_of: Zones of each revision seen anywhere.
        read_revision: Highest revision that a read returned.
        acknowledged: Number of acknowledged attempts.
    """

    def __init__(
        self,
        world: World,
        random: Random,
        zones: tuple[ZoneName, ...],
        broken: Callable[[str], None],
    ) -> None:
        self.world = world
        self.random = random
        self.attempts: dict[ZoneName, list[Attempt]] = {zone: [] for zone in zones}
        self.broken = broken
        self.zones_of: dict[int, tuple[ZoneName, ...]] = {}
        self.seen: dict[tuple[VmId, int], int] = {}
        self.read_revision = 0
        self.acknowledged = 0

    def order(self) -> None:
        """Send an order, some twice or with the opposite one right behind."""
        zone = self.random.choice(sorted(self.attempts))
        is_evacuated = self.random.random() < 0.5
        self._send(OrderEvacuation(zone, is_evacuated))
        if self.random.random() < 0.2:
            self._send(OrderEvacuation(zone, is_evacuated))
        if self.random.random() < 0.4:
            self._send(OrderEvacuation(zone, not is_evacuated))

    def read(self) -> None:
        """Read the zones at any control VM."""
        began_at = self.world.now
        least_revision = self.read_revision

        def told(answer: Answer) -> None:
            if answer.outcome == Outcome.ELSEWHERE and answer.leader:
                self.world.call(answer.leader, ReadEvacuations(), told)
            elif answer.outcome == Outcome.DONE and answer.evacuations is not None:
                self._check_read(answer.evacuations, began_at, least_revision)

        self.world.call(self._any_control(), ReadEvacuations(), told)

    def look(self) -> None:
        """Compare what the control and entry VMs hold."""
        for control in self.world.controls():
            if control.core is not None:
                self._check_same(control.core.agreed.documents.evacuations)
        for entry in self.world.entries():
            if entry.core is None:
                continue
            held = entry.core.follower.evacuations
            life = (entry.vm, entry.lives)
            if held.revision < self.seen.get(life, 0):
                self.broken(f"{entry.vm} went back to evacuations {held.revision}")
            self.seen[life] = held.revision
            self._check_same(held)
            if entry.core.router.directory.evacuated_zones != set(held.zones):
                self.broken(f"{entry.vm} places by other evacuations than it holds")

    def check_settled(self, least_revision: int) -> None:
        """Check that every entry VM holds what a read returned some seconds ago."""
        if not self.acknowledged:
            self.broken("no order to evacuate a zone was acknowledged")
        for entry in self.world.entries():
            held = entry.core.follower.evacuations.revision if entry.core else 0
            if held < least_revision:
                self.broken(f"{entry.vm} holds evacuations {held} of {least_revision}")

    def _send(self, call: OrderEvacuation, tries: int = MOST_TRIES) -> None:
        attempt = Attempt(call, self.world.now)
        self.attempts[call.zone].append(attempt)

        def told(answer: Answer) -> None:
            if answer.outcome == Outcome.DONE:
                attempt.done_at = self.world.now
                self.acknowledged += 1
            elif answer.outcome == Outcome.ELSEWHERE and answer.leader:
                self.world.call(answer.leader, call, told)
            elif answer.outcome == Outcome.REFUSED:
                self.broken(f"{call} was refused: {answer.problem}")

        def again() -> None:
            if attempt.done_at == math.inf and tries > 1:
                self._send(call, tries - 1)

        self.world.call(self._any_control(), call, told)
        self.world.at(self.world.now + RETRY_S, again)

    def _check_read(self, state: State, began_at: float, least_revision: int) -> None:
        revision, zones = state
        if revision < least_revision:
            self.broken(f"a read gave evacuations {revision} after {least_revision}")
        self.read_revision = max(self.read_revision, revision)
        self._check_same(state)
        for zone, attempts in self.attempts.items():
            if not self._may_hold(attempts, zone in zones, began_at):
                self.broken(f"a read of {zone} missed an acknowledged order")

    def _may_hold(
        self, attempts: list[Attempt], is_evacuated: bool, began_at: float
    ) -> bool:
        """Return whether a read that began at a time may return a state of a zone.

        Some order of that state, or the beginning, may not have been followed by an
        acknowledged one of the other state before the read.
        """
        others = [
            one.sent_at
            for one in attempts
            if one.call.is_evacuated != is_evacuated and one.done_at < began_at
        ]
        last_other_at = max(others, default=-math.inf)
        written = [
            one.done_at for one in attempts if one.call.is_evacuated == is_evacuated
        ]
        if not is_evacuated:
            written.append(0.0)
        return max(written, default=-math.inf) >= last_other_at

    def _check_same(self, state: State) -> None:
        revision, zones = state
        if self.zones_of.setdefault(revision, zones) != zones:
            self.broken(f"evacuations {revision} stand for two lists of zones")

    def _any_control(self) -> VmId:
        controls = [one.vm for one in self.world.controls()]
        return self.random.choice(controls or [VmId("")])
