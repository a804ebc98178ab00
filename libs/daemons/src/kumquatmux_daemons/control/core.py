"""The control VM's decisions: replica, change log and settings copy joined.

The core has no sockets and no clock. It writes through the store it is given, so that
``Persist`` is followed by ``Persisted`` in the order of asking.
"""

from __future__ import annotations

from functools import singledispatchmethod
from random import Random
from typing import Any, NamedTuple, Protocol

from expression import Result

import kumquatmux_agreement.events as agreement
from kumquatmux_agreement.entries import DurableState, Snapshot
from kumquatmux_agreement.replica import Replica
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.decisions import log
from kumquatmux_core.identity import Endpoint, VmId, ZoneName
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.control.effects import (
    Ask,
    AskControlVms,
    Effect,
    FromCopy,
    FromReplica,
    LogBehind,
    Send,
    StoodDown,
    Tell,
    Tick,
)
from kumquatmux_daemons.operators.desk import (
    NotLeader,
    NotTaken,
    Reshaped,
    Settled,
    Uncertain,
)
from kumquatmux_settings import copy_events
from kumquatmux_settings.change import ChangeOutcome
from kumquatmux_settings.changelog import ChangeLog, ChangeLogSettings, encode_change
from kumquatmux_settings.copy_events import DistributionSettings
from kumquatmux_settings.distribution import SettingsCopy
from kumquatmux_settings.messages import Current, DeltaRequest
from kumquatmux_settings.validate import validate

OUTCOMES_KEPT = 1024
CONFIRMED_S = 3.0


class Member(NamedTuple):
    """A VM the control core sends settings to.

    Attributes:
        vm: Its name.
        zone: Its availability zone.
        operators: HTTPS endpoint of the operators' API, None on entry VMs.
    """

    vm: VmId
    zone: ZoneName
    operators: Endpoint | None = None


class ControlSettings(NamedTuple):
    """Settings of the control core.

    Attributes:
        replica: Settings of the replica.
        zone: This VM's availability zone.
        control: The other control VMs.
        entry: The entry VMs.
        confirm_s: Time between confirmations that the settings are the newest.
        changelog: How much of the past is kept.
    """

    replica: ReplicaSettings
    zone: ZoneName
    control: tuple[Member, ...] = ()
    entry: tuple[Member, ...] = ()
    confirm_s: float = 1.0
    changelog: ChangeLogSettings = ChangeLogSettings()

    @property
    def vm(self) -> VmId:
        """This VM."""
        return self.replica.replica_id.vm


class Writer(Protocol):
    """What makes a ``Persist`` durable."""

    def write(self, persist: agreement.Persist) -> Result[None, Problem]:
        """Return once everything is synced, or why it is not."""


class ControlCore:
    """One control VM's state.

    Attributes:
        settings: Settings of the core.
        replica: This VM's replica of the log.
        changes: The settings as the log has made them.
        copy: The copy from which other VMs are served.
        failure: Why this VM has stood down, empty if it has not.
    """

    def __init__(
        self,
        settings: ControlSettings,
        restored: DurableState,
        writer: Writer,
        random: Random,
    ) -> None:
        """Start from what the disk holds.

        Args:
            settings: Settings of the core.
            restored: What the store read back.
            writer: Makes state durable.
            random: Source of election timeouts and of peers to ask.
        """
        self.settings = settings
        self.writer = writer
        self.replica = Replica(settings.replica, restored, random)
        self.changes = ChangeLog(settings.changelog, validate)
        sources = frozenset(member.vm for member in settings.control)
        distribution = DistributionSettings(settings.vm, sources)
        self.copy = SettingsCopy(distribution, random)
        self.failure = ""
        self.outcomes: dict[int, ChangeOutcome] = {}
        self.waiting: dict[int, str] = {}
        self.reshaping: dict[str, tuple[VmId, ...]] = {}
        self.confirm_at = 0.0
        self.confirm_number = 0
        self.told_newest = 0
        self.out: list[Effect] = []
        if restored.snapshot.log_index:
            self._restore(restored.snapshot)
        self._spread(0.0)

    @property
    def leader(self) -> VmId | None:
        """The control VM that leads, as far as known here."""
        leader = self.replica.status().leader
        return leader.vm if leader else None

    def can_accept(self, now: float) -> bool:
        """Return whether the log is known to take changes at this time."""
        is_ready = self.replica.status().configuration.has_enough_voters
        is_fresh = self.copy.staleness(now) < CONFIRMED_S
        return is_ready and is_fresh and not self.failure and not self._is_behind()

    def handle(self, event: Any, now: float) -> list[Effect]:
        """Take one event and return what is to be done.

        Args:
            event: What happened.
            now: Time in seconds of a monotonic clock.
        """
        self._on(event, now)
        effects = self.out
        self.out = []
        return effects

    @singledispatchmethod
    def _on(self, event: Any, now: float) -> None:
        raise TypeError(f"no handler for {type(event).__name__}")

    @_on.register
    def _(self, event: Tick, now: float) -> None:
        self._drive(agreement.Tick(), now)
        self._act_on_copy(self.copy.handle(copy_events.Tick(), now))
        if now >= self.confirm_at:
            self.confirm_at = now + self.settings.confirm_s
            self._confirm(now)

    @_on.register
    def _(self, event: Ask, now: float) -> None:
        if self.leader == self.settings.vm and self._is_behind():
            detail = f"entry VMs run revision {self.copy.newest}, this log is behind"
            refused = NotTaken(Problem("log-behind", detail))
            self.out.append(Tell(event.token, refused))
            return
        data = encode_change(event.change)
        self._drive(agreement.Propose(data, event.token), now)

    @_on.register
    def _(self, event: AskControlVms, now: float) -> None:
        log("control-vms", vms=",".join(event.vms))
        self.reshaping[event.token] = event.vms
        self._drive(agreement.ChangeMembership(event.vms, event.token), now)

    @_on.register
    def _(self, event: FromReplica, now: float) -> None:
        self._drive(agreement.MessageReceived(event.message), now)

    @_on.register
    def _(self, event: FromCopy, now: float) -> None:
        """Serve requests; the log alone brings new values to a control VM."""
        message = event.message
        is_request = isinstance(message, DeltaRequest)
        confirms = isinstance(message, Current)
        if is_request or (confirms and message.revision == self.copy.revision):
            self._act_on_copy(self.copy.handle(copy_events.Received(message), now))

    def _confirm(self, now: float) -> None:
        """Ask the log whether the state applied here is the newest."""
        if self.replica.status().role == agreement.Role.LEADER:
            self.confirm_number += 1
            self._drive(agreement.Read(f"confirm {self.confirm_number}"), now)

    def _drive(self, event: agreement.Event, now: float) -> None:
        """Give the replica an event and carry out all that follows from it."""
        actions = self.replica.handle(event, now)
        while actions:
            following: list[agreement.Action] = []
            for action in actions:
                following += self._carry_out(action, now)
            actions = following

    @singledispatchmethod
    def _carry_out(self, action: Any, now: float) -> list[agreement.Action]:
        raise TypeError(f"no handler for {type(action).__name__}")

    @_carry_out.register
    def _(self, action: agreement.Send, now: float) -> list[agreement.Action]:
        self.out.append(Send(action.to, action.message))
        return []

    @_carry_out.register
    def _(self, action: agreement.Persist, now: float) -> list[agreement.Action]:
        written = self.writer.write(action)
        if written.is_ok():
            return self.replica.handle(agreement.Persisted(action.number), now)
        self.failure = str(written.error)
        self.out.append(StoodDown(self.failure))
        failed = agreement.PersistFailed(action.number, written.error)
        return self.replica.handle(failed, now)

    @_carry_out.register
    def _(self, action: agreement.Apply, now: float) -> list[agreement.Action]:
        for entry in action.entries:
            self._note(entry.log_index, self.changes.apply(entry.log_index, entry.data))
        self._publish(now)
        return []

    @_carry_out.register
    def _(self, action: agreement.InstallSnapshot, now: float) -> list[Any]:
        self._restore(action.snapshot)
        self._publish(now)
        return []

    @_carry_out.register
    def _(self, action: agreement.TakeSnapshot, now: float) -> list[agreement.Action]:
        taken = agreement.SnapshotTaken(action.log_index, self.changes.snapshot())
        return self.replica.handle(taken, now)

    @_carry_out.register
    def _(self, action: agreement.RoleChanged, now: float) -> list[agreement.Action]:
        log("control-role", role=action.role, term=action.term, leader=action.leader)
        self._spread(now)
        return []

    @_carry_out.register
    def _(self, action: agreement.Reply, now: float) -> list[agreement.Action]:
        if action.token.startswith("confirm "):
            if action.outcome == agreement.RequestOutcome.CURRENT:
                self._act_on_copy(self.copy.handle(copy_events.Confirmed(), now))
                self._look_for_loss()
            return []
        vms = self.reshaping.pop(action.token, None)
        if action.outcome == agreement.RequestOutcome.REFUSED:
            self.out.append(Tell(action.token, self._refusal(action)))
        elif action.outcome == agreement.RequestOutcome.COMMITTED and vms is not None:
            self.out.append(Tell(action.token, Reshaped(vms)))
        elif action.outcome == agreement.RequestOutcome.COMMITTED:
            self._settle(action.token, action.log_index)
        else:
            detail = action.problem.detail if action.problem else "the outcome is open"
            self.out.append(Tell(action.token, Uncertain(detail)))
        return []

    def _look_for_loss(self) -> None:
        """Say once what entry VMs run that a confirmed log does not hold."""
        if self._is_behind() and self.copy.newest > self.told_newest:
            self.told_newest = self.copy.newest
            self.out.append(LogBehind(self.copy.newest, self.changes.revision))

    def _is_behind(self) -> bool:
        return self.copy.newest > self.changes.revision

    def _settle(self, token: str, log_index: int) -> None:
        outcome = self.outcomes.get(log_index)
        if outcome is None:
            self.waiting[log_index] = token
        else:
            self.out.append(Tell(token, Settled(outcome)))

    def _note(self, log_index: int, outcome: ChangeOutcome) -> None:
        token = self.waiting.pop(log_index, None)
        if token is not None:
            self.out.append(Tell(token, Settled(outcome)))
        self.outcomes[log_index] = outcome
        if len(self.outcomes) > OUTCOMES_KEPT:
            del self.outcomes[next(iter(self.outcomes))]

    def _refusal(self, reply: agreement.Reply) -> NotLeader | NotTaken:
        """Return what an operator is told of a wish that never entered the log."""
        if reply.problem is not None and self.leader == self.settings.vm:
            return NotTaken(reply.problem)
        detail = reply.problem.detail if reply.problem else "refused"
        leader = reply.leader.vm if reply.leader else None
        endpoints = (m.operators for m in self.settings.control if m.vm == leader)
        return NotLeader(next(endpoints, None), detail)

    def _restore(self, snapshot: Snapshot) -> None:
        restored = self.changes.restore(snapshot.data)
        if restored.is_error():
            raise AssertionError(f"a checked snapshot is unsound: {restored.error}")

    def _publish(self, now: float) -> None:
        accepted = copy_events.Accepted(self.changes.revision, self.changes.values)
        self._act_on_copy(self.copy.handle(accepted, now))

    def _spread(self, now: float) -> None:
        """Choose whom news goes to: all from the leader, else this zone's VMs."""
        leads = self.replica.status().role == agreement.Role.LEADER
        here = [m.vm for m in self.settings.entry if m.zone == self.settings.zone]
        everyone = [m.vm for m in self.settings.entry + self.settings.control]
        children = copy_events.ChildrenChanged(tuple(everyone if leads else here))
        self.copy.handle(children, now)
        self._publish(now)

    def _act_on_copy(self, actions: list[copy_events.Action]) -> None:
        for action in actions:
            if isinstance(action, copy_events.SendMessage):
                self.out.append(Send(action.vm, action.message))
