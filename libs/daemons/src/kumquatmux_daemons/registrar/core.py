"""What a registrar decides: messages, calls and time in, messages and answers out."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, NamedTuple

from kumquatmux_agreement.events import MessageReceived
from kumquatmux_agreement.messages import Message as ReplicaMessage
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import Endpoint, ServiceName, VmId, ZoneName
from kumquatmux_daemons.failures import log_contained
from kumquatmux_daemons.registrar.agreed import Agreed
from kumquatmux_daemons.registrar.calls import (
    Answer,
    Call,
    LeaveCall,
    OperatorCall,
    Outcome,
    ReportCall,
)
from kumquatmux_daemons.registrar.orders import Answered, Orders
from kumquatmux_daemons.registrar.seats import Seats
from kumquatmux_daemons.registrar.settings import RegistrarSettings
from kumquatmux_registry.endings import LeaveNotice
from kumquatmux_registry.feed import FeedAnswer, FeedPoll
from kumquatmux_registry.follower import Follower, FollowerSettings
from kumquatmux_registry.leases import Leases
from kumquatmux_registry.lookup import TokenAnswer, TokenQuestion
from kumquatmux_registry.publisher import (
    Document,
    EvacuatedZones,
    Publisher,
    PublisherSettings,
)
from kumquatmux_registry.records import Phase, ServerRecord
from kumquatmux_registry.saved import SavedServers
from kumquatmux_registry.settings import RegistrySettings

POLL_S = 0.5
"""Seconds between polls of the other control VMs."""

EXPIRY_S = 0.25
"""Seconds between looks at the leases."""

PUSH_S = 0.02
"""Seconds between pushes of changes to followers, so that a run of changes goes as one.

A change after a pause is pushed at once.
"""

SAVE_S = 0.4
"""Seconds between writes of the known servers, where they changed."""

SEATS_S = 0.5
"""Seconds between looks at who should vote."""

UNFOUNDED_S = 5.0
"""Seconds between lines that say that no cluster is known."""

LATE_REPORTS = 2.5
"""Reports a backend server may miss before it is late, beside its time to move on."""

QUIET_REPORTS = 2.0
"""Reports a backend server misses before its lifetime is over, if it seems to be."""

STEADY_REPORTS = 1.5
"""Report periods after which reports on time show that a backend server lives."""

MOVE_ON_S = 1.5
"""Seconds in which a backend server whose report failed reports elsewhere."""


class Sent(NamedTuple):
    """A message for another VM."""

    vm: VmId
    message: Any


class CoreParts(NamedTuple):
    """What of a registrar has a disk.

    Attributes:
        agreed: The replicated documents.
        saved: The file of servers.
        services_of: Returns the services that a document names.
    """

    agreed: Agreed
    saved: SavedServers
    services_of: Callable[[bytes], frozenset[ServiceName]] = lambda content: frozenset()


class RegistrarCore:
    """One control VM's decisions.

    Attributes:
        agreed: The replicated documents.
        leases: The backend servers.
        publisher: The feed to others.
        follower: The feeds of the other control VMs.
        seats: Which control VMs vote.
        orders: The answers to operators.
        is_stopping: Whether it sends callers elsewhere.
        stopping_vms: Other control VMs that said so of themselves, until they say
            otherwise; they take no reports.
        has_unpushed: Whether changes wait for the next tick to be pushed.
        pushed_at: Time of the latest push, in seconds of the monotonic clock.
    """

    def __init__(
        self,
        settings: RegistrarSettings,
        parts: CoreParts,
        incarnation: int,
        now: float,
    ) -> None:
        self.settings = settings
        self.agreed = parts.agreed
        self.saved = parts.saved
        self.services_of = parts.services_of
        late = settings.report_period_s * LATE_REPORTS + MOVE_ON_S
        registry = RegistrySettings(
            late_after_s=late,
            holder_silent_s=late + MOVE_ON_S,
            quiet_s=settings.report_period_s * QUIET_REPORTS,
            steady_s=settings.report_period_s * STEADY_REPORTS,
        )
        self.leases = Leases(registry, settings.vm)
        self.publisher = Publisher(
            PublisherSettings(settings.vm, settings.zone, incarnation), self.leases
        )
        self.follower = Follower(
            FollowerSettings(settings.vm, settings.zone, True, settings.seeds)
        )
        self.seats = Seats(settings, self.agreed, self.follower, now)
        self.orders = Orders(settings.vm, self.agreed, self.seats)
        self.is_stopping = False
        self.stopping_vms: set[VmId] = set()
        self.started_at = now
        for record in self.saved.load():
            self.leases.merge(record, now)
        self.saved_position = self.leases.table.position
        self.out: list[Sent | Answered] = []
        self.due: dict[str, float] = {}
        self.has_unpushed = False
        self.pushed_at = -math.inf
        # Bound once: binding such a method anew costs more than most of its calls.
        self.handle_message = self._handle_message
        self.handle_call = self._handle_call

    def message(self, sender: VmId, message: Any, now: float) -> list[Sent | Answered]:
        """Take a message of another VM.

        An error spoils a message about servers only, which is sent again. One of the
        replicated log stops the process, as its state may be half changed.
        """
        if isinstance(message, ReplicaMessage):
            self.agreed.give(MessageReceived(message), now)
        else:
            try:
                self.handle_message(message, now)
            except Exception as error:
                log_contained("input-failed", error, "message")
        return self._effects(now)

    def call(self, call: Call, token: str, now: float) -> list[Sent | Answered]:
        """Take a call; it is answered at once or later under its token."""
        self.handle_call(call, token, now)
        return self._effects(now)

    def tick(self, now: float) -> list[Sent | Answered]:
        """Do what is due."""
        self.agreed.tick(now)
        if self._is_due("poll", POLL_S, now):
            for vm, poll in self.follower.polls(now):
                self.out.append(Sent(vm, poll))
            self.agreed.set_peers(tuple(sorted(self.follower.sources)))
            listening = self.leases.endings.listening
            holders = self.follower.possible_holders(listening, now)
            self.leases.set_others(holders - self.stopping_vms)
        for vm, answer in self.publisher.push_documents(now):
            self.out.append(Sent(vm, answer))
        if self._is_due("expiry", EXPIRY_S, now) and self.leases.expire(now):
            self.has_unpushed = True
        if self.has_unpushed:
            self._push(now)
        if self._is_due("save", SAVE_S, now):
            self._save()
        if self._is_due("seats", SEATS_S, now):
            self.seats.replace_gone(now)
        if now >= self.started_at + UNFOUNDED_S:
            self._tell_unfounded(now)
        return self._effects(now)

    def stop(self, now: float) -> list[Sent | Answered]:
        """Send callers elsewhere and hand leadership over."""
        self.is_stopping = True
        self.orders.is_stopping = True
        self.follower.is_stopping = True
        self.agreed.hand_over(now)
        return self._effects(now)

    @singledispatchmethod
    def _handle_message(self, message: Any, now: float) -> None:
        log_decision("message-unexpected", message=type(message).__name__)

    @_handle_message.register
    def _(self, message: FeedPoll, now: float) -> None:
        answer = self.publisher.answer(message, now)
        self.out.append(Sent(message.sender, answer))
        if message.is_control:
            self.follower.add(message.sender)
            self._note_stopping(message)

    @_handle_message.register
    def _(self, message: FeedAnswer, now: float) -> None:
        self.leases.hear_holder(message.sender, now)
        self.follower.take(message, now)
        merged = [self._merge(record, now) for record in message.records]
        if any(merged):
            self._push(now)
        if self.follower.is_told_all_by(message):
            self.leases.hear_all_of(message.sender, now)
        if self.follower.has_more(message):
            poll = self.follower.poll_of(message.sender, now)
            self.out.append(Sent(message.sender, poll))

    @_handle_message.register
    def _(self, message: TokenQuestion, now: float) -> None:
        record = self.leases.table.find_token(message.token)
        if record is not None:
            answer = TokenAnswer(self.settings.vm, record)
            self.out.append(Sent(message.sender, answer))

    @_handle_message.register
    def _(self, message: TokenAnswer, now: float) -> None:
        self.leases.merge(message.record, now)

    @_handle_message.register
    def _(self, message: LeaveNotice, now: float) -> None:
        self._record_leave(message.name, now)

    @singledispatchmethod
    def _handle_call(self, call: Call, token: str, now: float) -> None:
        raise TypeError(f"unknown call {type(call).__name__}")

    @_handle_call.register
    def _(self, call: ReportCall, token: str, now: float) -> None:
        if self.is_stopping:
            self.orders.put_off(token, "stopping")
            return
        taken = self.leases.report(call.report, now)
        if taken.is_error():
            self._answer(token, Answer(Outcome.REFUSED, problem=taken.error))
            return
        if taken.ok:
            self._push(now)
            if call.report.phase == Phase.DRAINING:
                self._save()
        to = self._report_to(call.report.zone, now)
        self._answer(token, Answer(Outcome.DONE, report_to=to))

    @_handle_call.register
    def _(self, call: LeaveCall, token: str, now: float) -> None:
        self._record_leave(call.name, now)
        notice = LeaveNotice(self.settings.vm, call.name)
        self.out.extend(Sent(vm, notice) for vm in self.follower.sources)
        self._answer(token, Answer(Outcome.DONE))

    @_handle_call.register
    def _(self, call: OperatorCall, token: str, now: float) -> None:
        self.orders.handle(call, token, now)

    def _effects(self, now: float) -> list[Sent | Answered]:
        self.out.extend(self.orders.pop_answers())
        newest = self.agreed.documents.newest
        evacuations = self.agreed.documents.evacuations
        self.publisher.is_current = self.agreed.is_current()
        is_evacuation_new = evacuations.revision > self.publisher.evacuations.revision
        if is_evacuation_new:
            self.publisher.evacuations = EvacuatedZones(*evacuations)
        is_document_new = newest.number > self.publisher.document.number
        if is_document_new:
            self.publisher.document = Document(newest.number, newest.content)
            self._name_services(self.services_of(newest.content))
        # One push for both: an entry VM is ready once it has a document.
        if is_evacuation_new or is_document_new:
            self._push(now)
        sends = self.agreed.sends
        self.out.extend(Sent(one.vm, one.message) for one in sends)
        sends.clear()
        out = self.out
        self.out = []
        return out

    def _name_services(self, services: frozenset[ServiceName]) -> None:
        """Take the services of a document; be told again of servers left out so far."""
        if self.leases.set_named_services(services):
            self.follower.request_all_records()

    def _answer(self, token: str, answer: Answer) -> None:
        self.out.append(Answered(token, answer))

    def _merge(self, record: ServerRecord, now: float) -> bool:
        """Merge a record; return whether to push. An error spoils this one only."""
        try:
            return self.leases.merge(record, now)
        except Exception as error:
            log_contained("input-failed", error, "record")
            return False

    def _push(self, now: float) -> None:
        """Push changes, at the next tick if others were pushed just now."""
        self.has_unpushed = now < self.pushed_at + PUSH_S
        if self.has_unpushed:
            return
        self.pushed_at = now
        self.out.extend(Sent(vm, answer) for vm, answer in self.publisher.push(now))

    def _note_stopping(self, poll: FeedPoll) -> None:
        """Keep whether another control VM takes reports."""
        self.stopping_vms &= self.follower.sources.keys()
        if poll.is_stopping:
            self.stopping_vms.add(poll.sender)
        else:
            self.stopping_vms.discard(poll.sender)

    def _record_leave(self, name: str, now: float) -> None:
        if self.leases.leave(name, now):
            self._push(now)
            self._save()

    def _report_to(self, zone: ZoneName, now: float) -> Endpoint | None:
        """Return the control VM of a server's zone, None to let it choose."""
        if zone == self.settings.zone:
            return self.settings.calls
        limit = now - self.follower.settings.silent_s
        for vm, source in sorted(self.follower.sources.items()):
            if source.zone == zone and source.heard_at > limit:
                return Endpoint(vm, self.settings.calls.port)
        return None

    def _save(self) -> None:
        """Write the known servers, where they changed.

        A server that drains or leaves is written before it is answered, so that it is
        not used again if all VMs lose power then.
        """
        table = self.leases.table
        if table.position != self.saved_position:
            self.saved_position = table.position
            self.saved.save([held.record for held in table.held.values()])

    def _tell_unfounded(self, now: float) -> None:
        """Say that no cluster is known, and whom this VM would found one with."""
        core = self.agreed.replica.core
        if core.commit_index or core.leader is not None:
            return
        if self._is_due("unfounded", UNFOUNDED_S, now):
            voters = core.log.configuration.voters
            log_decision(
                "cluster-not-founded",
                founds=core.replica_id in voters,
                founders=",".join(voter.vm for voter in voters),
                asked=",".join(core.settings.peers),
            )

    def _is_due(self, name: str, period_s: float, now: float) -> bool:
        if now < self.due.get(name, 0.0):
            return False
        self.due[name] = now + period_s
        return True
