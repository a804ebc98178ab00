"""What a registrar answers to the orders and questions of operators."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import NamedTuple

from kumquatmux_agreement.events import Propose, Read, Reply
from kumquatmux_agreement.events import RequestOutcome as ReplicaOutcome
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.registrar.agreed import Agreed
from kumquatmux_daemons.registrar.calls import (
    Answer,
    OperatorCall,
    OrderEvacuation,
    Outcome,
    PutDocument,
    ReadDocument,
    ReadEvacuations,
)
from kumquatmux_daemons.registrar.seats import Seats
from kumquatmux_settings.documents import NumberedDocument, entry_of
from kumquatmux_settings.evacuations import EvacuationOrder, entry_of_order


class Answered(NamedTuple):
    """The answer to a call."""

    token: str
    answer: Answer


class Orders:
    """Has orders agreed, and answers once they are.

    Attributes:
        agreed: The replicated state.
        seats: Tells whether enough control VMs vote.
        is_stopping: Whether this VM sends callers elsewhere.
        evacuation_reads: Tokens of the reads of evacuations that the replica has yet to
            answer.
        out: Answers that were not returned yet.
    """

    def __init__(self, vm: VmId, agreed: Agreed, seats: Seats) -> None:
        self.vm = vm
        self.agreed = agreed
        self.seats = seats
        self.is_stopping = False
        self.evacuation_reads: set[str] = set()
        self.out: list[Answered] = []
        # Bound once: binding such a method anew costs more than most of its calls.
        self.handle = self._handle

    def pop_answers(self) -> list[Answered]:
        """Remove and return the answers, also to what the replica replied."""
        replies = self.agreed.replies
        self.agreed.replies = []
        for reply in replies:
            self._answer_reply(reply)
        out = self.out
        self.out = []
        return out

    def put_off(self, token: str, code: str) -> None:
        """Have a call made again."""
        problem = Problem(code, "ask again soon")
        self._answer(token, Answer(Outcome.UNAVAILABLE, problem=problem))

    @singledispatchmethod
    def _handle(self, call: OperatorCall, token: str, now: float) -> None:
        raise TypeError(f"unknown call {type(call).__name__}")

    @_handle.register
    def _(self, call: PutDocument, token: str, now: float) -> None:
        newest = self.agreed.documents.newest
        if call.number <= newest.number:
            log_decision("document-known", number=call.number, newest=newest.number)
            self._answer(token, Answer(Outcome.DONE))
        elif not self.agreed.is_leader or self.is_stopping:
            self._elsewhere(token)
        elif not newest.number and not self.seats.are_filled(now):
            self.put_off(token, "too-few-voters")
        else:
            entry = entry_of(NumberedDocument(call.number, call.content))
            self.agreed.give(Propose(entry, token), now)

    @_handle.register
    def _(self, call: ReadDocument, token: str, now: float) -> None:
        if not self.agreed.is_leader:
            self._elsewhere(token)
        else:
            self.agreed.give(Read(token), now)

    @_handle.register
    def _(self, call: OrderEvacuation, token: str, now: float) -> None:
        """Have an order agreed, also one that repeats the state here.

        That state may be outdated, so it is no reason to acknowledge the order.
        """
        order = EvacuationOrder(call.zone, call.is_evacuated)
        if not self.agreed.is_leader or self.is_stopping:
            self._elsewhere(token)
        elif self._is_first_order and not self.seats.are_filled(now):
            self.put_off(token, "too-few-voters")
        elif not self.agreed.documents.evacuations.has_room_for(order):
            problem = Problem("too-many-zones", "lift another evacuation first")
            self._answer(token, Answer(Outcome.REFUSED, problem=problem))
        else:
            self.agreed.give(Propose(entry_of_order(order), token), now)

    @_handle.register
    def _(self, call: ReadEvacuations, token: str, now: float) -> None:
        if not self.agreed.is_leader:
            self._elsewhere(token)
        else:
            self.evacuation_reads.add(token)
            self.agreed.give(Read(token), now)

    @property
    def _is_first_order(self) -> bool:
        documents = self.agreed.documents
        return not documents.newest.number and not documents.evacuations.revision

    def _answer_reply(self, reply: Reply) -> None:
        is_evacuation_read = reply.token in self.evacuation_reads
        self.evacuation_reads.discard(reply.token)
        if reply.token.startswith("seats"):
            log_decision("seats-answered", outcome=reply.outcome, problem=reply.problem)
        elif reply.outcome == ReplicaOutcome.COMMITTED:
            self._answer(reply.token, Answer(Outcome.DONE))
        elif reply.outcome != ReplicaOutcome.CURRENT:
            answer = Answer(Outcome.UNAVAILABLE, problem=reply.problem)
            self._answer(reply.token, answer)
        elif is_evacuation_read:
            evacuations = self.agreed.documents.evacuations
            self._answer(reply.token, Answer(Outcome.DONE, evacuations=evacuations))
        else:
            self._answer_read(reply.token)

    def _answer_read(self, token: str) -> None:
        newest = self.agreed.documents.newest
        if newest.number:
            self._answer(token, Answer(Outcome.DONE, content=newest.content))
        else:
            self.put_off(token, "no-document")

    def _elsewhere(self, token: str) -> None:
        leader = self.agreed.leader_vm
        if leader is None or leader == self.vm:
            self.put_off(token, "no-leader")
            return
        self._answer(token, Answer(Outcome.ELSEWHERE, leader=leader))

    def _answer(self, token: str, answer: Answer) -> None:
        self.out.append(Answered(token, answer))
