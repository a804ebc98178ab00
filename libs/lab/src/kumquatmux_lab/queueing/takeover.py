"""A run in which the placer is lost and the next VM takes over."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import ServerId
from kumquatmux_lab.queueing.model import SERVICE, Run, Scenario
from kumquatmux_placement.admission import Admission
from kumquatmux_placement.events import (
    Adopted,
    Event,
    Outcome,
    Placed,
    Refused,
    SlotDigest,
    Submit,
)


class Loss(NamedTuple):
    """How the placer is lost.

    Attributes:
        at_s: When it is lost, in seconds.
        found_s: How long until the next VM takes over, in seconds.
        digest_period_s: How often the backup gets a digest, in seconds; 0 for never.
        resend_s: When callers send a first packet again, in seconds.
    """

    at_s: float = 40.0
    found_s: float = 1.5
    digest_period_s: float = 0.5
    resend_s: float = 1.0


class TakeOverRun(Run):
    """Loses the placer once; its successor adopts what the servers hold."""

    def __init__(self, scenario: Scenario, loss: Loss, seed: int) -> None:
        super().__init__(scenario, Admission, seed)
        self.loss = loss
        self.lost = False
        self.digest: tuple[SlotDigest, ...] = ()
        self.told_at = 0.0
        self.decided: set[bytes] = set()
        self.clock.at(loss.at_s, self.lose)
        if loss.digest_period_s > 0:
            self.clock.at(loss.digest_period_s, self.send_digest)

    def send_digest(self) -> None:
        """Give the backup its digest."""
        if self.lost or self.clock.now > self.loss.at_s:
            return
        assert isinstance(self.policy, Admission)
        self.digest = self.policy.digest(SERVICE)
        self.told_at = self.clock.now
        self.clock.at(self.clock.now + self.loss.digest_period_s, self.send_digest)

    def lose(self) -> None:
        """Lose the placer and let callers of undecided work send again."""
        self.lost = True
        undecided = [work_id for work_id in self.jobs if work_id not in self.decided]
        for work_id in undecided:
            self.resend(work_id)
        self.clock.at(self.clock.now + self.loss.found_s, self.take_over)

    def resend(self, work_id: bytes) -> None:
        """Let the caller send its first packet again."""
        job = self.jobs[work_id]
        again = self.clock.now + self.loss.resend_s
        self.clock.at(again, lambda: self.submit(job, attempt=0))

    def take_over(self) -> None:
        """Start the successor with records and digest, but no counts."""
        self.lost = False
        self.policy = Admission(self.scenario.settings, self.new_random())
        self.next_tick = float("inf")
        self.tell(self.servers_changed())
        for backend in self.backends.values():
            for job in backend.open_jobs():
                server = ServerId(backend.machine.server)
                self.tell(Adopted(job.work_id, SERVICE, server))
        age_s = self.clock.now - self.told_at
        self.policy.restore(self.digest, self.clock.now, age_s=age_s)

    def tell(self, event: Event) -> None:
        """Give an event to the placer; without one, first packets are resent."""
        if not self.lost:
            super().tell(event)
        elif isinstance(event, Submit):
            self.resend(event.work.work_id)

    def carry_out(self, outcomes: list[Outcome]) -> None:
        """Note which work was decided."""
        for outcome in outcomes:
            if isinstance(outcome, (Placed, Refused)):
                self.decided.add(outcome.work_id)
        super().carry_out(outcomes)
