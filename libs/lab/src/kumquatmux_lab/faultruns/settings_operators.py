"""Operators of a run: they race, lose answers, resend and read."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from kumquatmux_agreement.events import Propose, Read, Reply, RequestOutcome
from kumquatmux_core.identity import VmId
from kumquatmux_lab.faultruns.settings_cluster import Cluster
from kumquatmux_lab.faultruns.settings_history import Answered, Asked, GivenUp, Seen
from kumquatmux_settings.change import Change, ChangeOutcome, Edit, Verdict
from kumquatmux_settings.changelog import encode_change

ANSWER_TIMEOUT_S = 1.0
PAUSE_S = 0.4
KEYS = 5


class Operator:
    """One operator's tool, which sends a change until it knows the outcome.

    Attributes:
        name: Its name.
        cluster: Whom it talks to.
        link_loss: Share of questions and of answers lost on its way.
        revision: The revision it saw last.
        count: How many changes it has made up.
        is_done: Whether it makes up no more changes.
    """

    def __init__(self, name: str, cluster: Cluster, link_loss: float) -> None:
        self.name = name
        self.cluster = cluster
        self.random = cluster.random
        self.link_loss = link_loss
        self.revision = 0
        self.count = 0
        self.sendings = 0
        self.is_done = False
        self.open_change: Change | None = None
        self.may_have_run = False
        self.leader: VmId | None = None

    def begin(self) -> None:
        """Make up a change, or read first."""
        if self.is_done:
            return
        if self.random.random() < 0.4:
            self._read()
            return
        self.count += 1
        change = self._new_change(f"{self.name}-{self.count}")
        self.open_change = change
        self.may_have_run = False
        now = self.cluster.timeline.now
        self.cluster.note(Asked(now, change.change_id, change.base_revision))
        self.send()

    def send(self) -> None:
        """Send the open change, for the first time or again."""
        change = self.open_change
        if change is None:
            return
        number = self._next_sending()
        self.cluster.timeline.after(
            ANSWER_TIMEOUT_S, partial(self._answer_lost, number)
        )
        vm = self._whom()
        if self._is_lost():
            return
        propose = Propose(encode_change(change), f"{self.name}/{number}")
        self.cluster.nodes[vm].ask(propose, partial(self._told, vm, number, change))

    def _new_change(self, change_id: str) -> Change:
        path = f"key-{self.random.randrange(KEYS)}"
        is_undo = self.revision > 0 and self.random.random() < 0.1
        edits = () if is_undo else (Edit(path, f'"{change_id}"'),)
        undo_to = max(0, self.revision - 2) if is_undo else -1
        return Change(change_id, self.revision, self.name, "", edits, undo_to)

    def _told(self, vm: VmId, number: int, change: Change, reply: Reply) -> None:
        if reply.outcome != RequestOutcome.REFUSED:
            self.may_have_run = True
        outcome: ChangeOutcome | None = None
        life = self.cluster.nodes[vm].life
        if reply.outcome == RequestOutcome.COMMITTED and life is not None:
            outcome = life.outcomes[reply.log_index]
        if self._is_lost():
            self.may_have_run = True
            return
        if outcome is not None:
            self.cluster.note(Answered(self.cluster.timeline.now, vm, outcome))
            if number == self.sendings and change is self.open_change:
                self._settled(outcome)
            return
        if number != self.sendings:
            return
        self.leader = reply.leader.vm if reply.leader else None
        self._again_or_give_up()

    def _settled(self, outcome: ChangeOutcome) -> None:
        self.revision = max(self.revision, outcome.revision)
        if outcome.verdict == Verdict.ACCEPTED and self.random.random() < 0.1:
            self._pause(self.send)
            return
        self.open_change = None
        self._pause(self.begin)

    def _answer_lost(self, number: int) -> None:
        if number == self.sendings and self.open_change is not None:
            self.may_have_run = True
            self.leader = None
            self.send()

    def _again_or_give_up(self) -> None:
        change = self.open_change
        if change is None:
            return
        if not self.may_have_run and self.random.random() < 0.05:
            now = self.cluster.timeline.now
            self.cluster.note(GivenUp(now, change.change_id))
            self.open_change = None
            self._next_sending()
            self._pause(self.begin)
            return
        self._pause(self.send)

    def _read(self) -> None:
        number = self._next_sending()
        self.cluster.timeline.after(ANSWER_TIMEOUT_S, partial(self._read_lost, number))
        vm = self._whom()
        began = self.cluster.timeline.now
        read = Read(f"{self.name}/{number}")
        self.cluster.nodes[vm].ask(read, partial(self._read_told, vm, number, began))

    def _read_told(self, vm: VmId, number: int, began: float, reply: Reply) -> None:
        life = self.cluster.nodes[vm].life
        if number != self.sendings:
            return
        self._next_sending()
        self.leader = reply.leader.vm if reply.leader else None
        if reply.outcome == RequestOutcome.CURRENT and life is not None:
            self.revision = life.changes.revision
            now = self.cluster.timeline.now
            self.cluster.note(Seen(began, now, vm, self.revision))
        self._pause(self.begin)

    def _read_lost(self, number: int) -> None:
        if number == self.sendings and self.open_change is None:
            self.leader = None
            self._pause(self.begin)

    def _whom(self) -> VmId:
        if self.leader is not None and self.random.random() < 0.8:
            return self.leader
        return self.random.choice(list(self.cluster.nodes))

    def _next_sending(self) -> int:
        self.sendings += 1
        return self.sendings

    def _is_lost(self) -> bool:
        return self.random.random() < self.link_loss

    def _pause(self, action: Callable[[], None]) -> None:
        self.cluster.timeline.after(self.random.uniform(0, PAUSE_S), action)
