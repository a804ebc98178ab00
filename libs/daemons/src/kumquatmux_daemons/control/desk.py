"""The control daemon as the operators' API sees it."""

from __future__ import annotations

from collections import Counter, deque
from functools import singledispatchmethod
from itertools import count
from typing import Any, NamedTuple, Protocol

import trio
from absl import logging

from kumquatmux_agreement.events import Role
from kumquatmux_core.identity import ServerId, VmId
from kumquatmux_daemons.control.core import ControlCore
from kumquatmux_daemons.control.effects import (
    Ask,
    AskControlVms,
    Effect,
    LogBehind,
    Send,
    StoodDown,
    Tell,
)
from kumquatmux_daemons.operators.desk import (
    ControlVm,
    EntryVm,
    Handling,
    Overview,
    PastRevision,
    Tree,
    Uncertain,
)
from kumquatmux_daemons.reports import (
    DrainAnswer,
    DrainRequest,
    ReportRequest,
    VmReport,
)
from kumquatmux_settings.change import Change, ChangeOutcome

CHANGE_WAIT_S = 2.5
REPORT_WAIT_S = 1.0
FAILURES_KEPT = 10


class Sender(Protocol):
    """What messages leave by."""

    def send(self, vm: VmId, message: Any) -> bool:
        """Send a message if the link is up; return whether it was taken."""


class Round(NamedTuple):
    """Answers to one question that went to several VMs.

    Attributes:
        answers: What has come, by VM.
        wanted: How many VMs were asked.
        complete: Set once nothing more is to be waited for.
    """

    answers: dict[VmId, Any]
    wanted: int
    complete: trio.Event


class ControlDesk:
    """Runs the core on the loop and answers operators.

    Attributes:
        core: The decisions.
        links: What messages leave by.
        failures: Last failures, newest first.
        told_counts: Answers to operators' wishes, by kind.
    """

    def __init__(self, core: ControlCore, links: Sender) -> None:
        self.core = core
        self.links = links
        self.failures: deque[str] = deque(maxlen=FAILURES_KEPT)
        self.numbers = count(1)
        self.asked: dict[str, trio.Event] = {}
        self.told: dict[str, Handling] = {}
        self.rounds: dict[int, Round] = {}
        self.told_counts: Counter[str] = Counter()

    def give(self, event: Any) -> None:
        """Give the core an event and carry out what follows."""
        for effect in self.core.handle(event, trio.current_time()):
            self.carry_out(effect)

    @singledispatchmethod
    def carry_out(self, effect: Effect) -> None:
        """Carry out one effect of the core."""
        raise TypeError(f"no way to carry out {type(effect).__name__}")

    @carry_out.register
    def _(self, effect: Send) -> None:
        self.links.send(effect.vm, effect.message)

    @carry_out.register
    def _(self, effect: Tell) -> None:
        waiting = self.asked.get(effect.token)
        if waiting is not None:
            self.told[effect.token] = effect.handling
            self.told_counts[f"told.{type(effect.handling).__name__.lower()}"] += 1
            waiting.set()

    @carry_out.register
    def _(self, effect: LogBehind) -> None:
        text = (
            f"entry VMs run revision {effect.newest}, the log holds {effect.revision}: "
            "no change is taken"
        )
        logging.error("%s", text)
        self.failures.appendleft(text)

    @carry_out.register
    def _(self, effect: StoodDown) -> None:
        logging.error("control vm stands down: %s", effect.reason)
        self.failures.appendleft(effect.reason)

    def answered(self, message: VmReport | DrainAnswer) -> None:
        """Take a VM's answer to a question of this daemon."""
        asked = self.rounds.get(message.number)
        if asked is None:
            return
        asked.answers[message.sender] = message
        is_holder = isinstance(message, DrainAnswer) and message.is_holder
        if is_holder or len(asked.answers) >= asked.wanted:
            asked.complete.set()

    def tree(self) -> Tree:
        """Return the settings in force here."""
        changes = self.core.changes
        return Tree(
            vm=self.core.settings.vm,
            leader=self.core.leader or "",
            revision=changes.revision,
            digest=changes.digest,
            staleness_s=self.core.copy.staleness(trio.current_time()),
            values=changes.values,
        )

    async def change(self, change: Change) -> Handling:
        """Put a change into the log and wait a bounded time for its outcome."""
        token = f"change {next(self.numbers)}"
        return await self._told(Ask(change, token))

    async def use_control_vms(self, vms: tuple[VmId, ...]) -> Handling:
        """Ask the log for other control VMs and wait a bounded time."""
        token = f"control-vms {next(self.numbers)}"
        return await self._told(AskControlVms(vms, token))

    async def _told(self, question: Ask | AskControlVms) -> Handling:
        token = question.token
        done = self.asked[token] = trio.Event()
        try:
            self.give(question)
            with trio.move_on_after(CHANGE_WAIT_S):
                await done.wait()
            late = Uncertain(f"no majority answered within {CHANGE_WAIT_S} s")
            return self.told.pop(token, late)
        finally:
            del self.asked[token]

    def outcome(self, change_id: str) -> ChangeOutcome | None:
        """Return the outcome of a change if it is known here."""
        return self.core.changes.outcome(change_id)

    def history(self, limit: int) -> list[PastRevision]:
        """Return the last accepted changes, newest first."""
        latest = list(self.core.changes.revisions.retained)[-limit:]
        return [
            PastRevision(
                past.number,
                past.change_id,
                past.operator,
                past.note,
                past.at,
                past.edits,
            )
            for past in reversed(latest)
        ]

    async def overview(self) -> Overview:
        """Ask every VM how it is and wait a bounded time."""
        number = next(self.numbers)
        answers = await self._ask_all(
            number, ReportRequest(self.core.settings.vm, number)
        )
        entry = tuple(
            EntryVm(member.vm, member.zone, answers.get(member.vm))
            for member in self.core.settings.entry
        )
        can_accept = self.core.can_accept(trio.current_time())
        return Overview(can_accept, self._control_vms(), entry, tuple(self.failures))

    async def drain(self, server: ServerId, operator: str) -> VmId | None:
        """Drain a backend server; return the holder of its lease."""
        number = next(self.numbers)
        request = DrainRequest(self.core.settings.vm, number, server, operator)
        answers = await self._ask_all(number, request)
        return next((vm for vm, answer in answers.items() if answer.is_holder), None)

    async def _ask_all(self, number: int, request: Any) -> dict[VmId, Any]:
        members = self.core.settings.entry
        asked = Round({}, len(members), trio.Event())
        self.rounds[number] = asked
        for member in members:
            self.links.send(member.vm, request)
        with trio.move_on_after(REPORT_WAIT_S):
            await asked.complete.wait()
        del self.rounds[number]
        return asked.answers

    def _control_vms(self) -> tuple[ControlVm, ...]:
        settings = self.core.settings
        status = self.core.replica.status()
        rows = [ControlVm(settings.vm, settings.zone, str(status.role))]
        for member in settings.control:
            state = "unknown"
            if member.vm == self.core.leader:
                state = str(Role.LEADER)
            elif status.role == Role.LEADER:
                state = "up" if member.vm in status.voting_vms else "unreachable"
                if member.vm in status.joining_vms:
                    state = "joining"
            rows.append(ControlVm(member.vm, member.zone, state))
        return tuple(rows)
