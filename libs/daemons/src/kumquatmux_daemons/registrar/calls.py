"""Calls of operators and backend servers, and their answers, free of any format."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol

from expression import Result

from kumquatmux_core.identity import Endpoint, ServiceName, VmId, ZoneName
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.plain_http.server import HttpAnswer, HttpCall
from kumquatmux_registry.records import Report
from kumquatmux_settings.evacuations import Evacuations


class ReportCall(NamedTuple):
    """A backend server reports."""

    report: Report


class LeaveCall(NamedTuple):
    """A backend server says that it ends."""

    name: str


class PutDocument(NamedTuple):
    """An operator sends a document, already checked.

    Attributes:
        number: Its number.
        content: Its content as it was sent.
    """

    number: int
    content: bytes


class ReadDocument(NamedTuple):
    """An operator asks for the newest document."""


class OrderEvacuation(NamedTuple):
    """An operator orders that a zone is evacuated, or that it is no longer.

    Attributes:
        zone: The zone.
        is_evacuated: Whether it is to be evacuated.
    """

    zone: ZoneName
    is_evacuated: bool


class ReadEvacuations(NamedTuple):
    """An operator asks which zones are evacuated."""


OperatorCall = PutDocument | ReadDocument | OrderEvacuation | ReadEvacuations
Call = ReportCall | LeaveCall | OperatorCall


class Outcome(StrEnum):
    """What became of a call.

    ``UNAVAILABLE`` is also said of what may have happened: the caller asks again.
    """

    DONE = "done"
    REFUSED = "refused"
    ELSEWHERE = "elsewhere"
    UNAVAILABLE = "unavailable"


class Answer(NamedTuple):
    """The answer to a call.

    Attributes:
        outcome: What became of it.
        content: The document that was asked for.
        report_to: Where the backend server should report from now on, if known.
        leader: The VM to call instead, with ``ELSEWHERE``.
        problem: Why, unless it was done.
        evacuations: The evacuated zones that were asked for.
    """

    outcome: Outcome
    content: bytes = b""
    report_to: Endpoint | None = None
    leader: VmId | None = None
    problem: Problem | None = None
    evacuations: Evacuations | None = None


class CallFormat(Protocol):
    """How calls and answers look on the wire."""

    def read_call(self, call: HttpCall) -> Result[Call, Problem]:
        """Return what a call asks for, or why it cannot be read."""

    def write_answer(self, call: HttpCall, answer: Answer) -> HttpAnswer:
        """Return an answer as it is sent."""

    def services_of(self, content: bytes) -> frozenset[ServiceName]:
        """Return the services that a document names, none if it cannot be read."""
