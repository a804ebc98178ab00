"""What happened in a run of the settings log, and what must hold of it.

Every checker is a pure function over the history; it returns one line a violation.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeVar

from kumquatmux_core.identity import VmId
from kumquatmux_settings.change import ChangeOutcome, Verdict


class Asked(NamedTuple):
    """An operator made up a change and sent it for the first time."""

    at: float
    change_id: str
    base_revision: int


class Answered(NamedTuple):
    """An operator was told the outcome of a change."""

    at: float
    vm: VmId
    outcome: ChangeOutcome


class GivenUp(NamedTuple):
    """Every sending of a change was refused, and it will not be sent again."""

    at: float
    change_id: str


class Seen(NamedTuple):
    """A read that the log vouched for.

    Attributes:
        began: When it was asked for, in seconds of the run.
        at: When it was answered.
        vm: Who answered.
        revision: What it showed.
    """

    began: float
    at: float
    vm: VmId
    revision: int


class Applied(NamedTuple):
    """A VM ran an entry of the log."""

    at: float
    vm: VmId
    log_index: int
    outcome: ChangeOutcome
    digest: str


class Isolated(NamedTuple):
    """A VM was cut off from all others, both ways, for a while."""

    at: float
    until: float
    vm: VmId


class Ended(NamedTuple):
    """What a VM held after everything had healed."""

    at: float
    vm: VmId
    revision: int
    digest: str
    change_ids: frozenset[str]


class Stuck(NamedTuple):
    """Something that had to come about did not."""

    at: float
    what: str


Happening = Asked | Answered | GivenUp | Seen | Applied | Isolated | Ended | Stuck
History = tuple[Happening, ...]
Checker = Callable[[History], list[str]]

T = TypeVar("T")

SYNC_ALLOWANCE_S = 1.0


def same_log_everywhere(history: History) -> list[str]:
    """An entry has the same outcome and leaves the same values on every VM."""
    first: dict[int, Applied] = {}
    wrong = []
    for one in _of(history, Applied):
        other = first.setdefault(one.log_index, one)
        if (one.outcome, one.digest) != (other.outcome, other.digest):
            wrong.append(f"entry {one.log_index} differs on {one.vm} and {other.vm}")
    return wrong


def runs_once(history: History) -> list[str]:
    """A change makes one revision at most, and a revision is made by one change."""
    revisions: dict[str, int] = {}
    makers: dict[int, str] = {}
    wrong = []
    for outcome in _accepted(history):
        change, revision = outcome.change_id, outcome.revision
        if revisions.setdefault(change, revision) != revision:
            wrong.append(f"change {change} made two revisions")
        if makers.setdefault(revision, change) != change:
            wrong.append(f"revision {revision} was made by two changes")
    return wrong


def one_outcome(history: History) -> list[str]:
    """However often a change is sent, it has one outcome; later it may expire."""
    first: dict[str, ChangeOutcome] = {}
    wrong = []
    for one in _of(history, Answered):
        outcome = one.outcome
        known = first.setdefault(outcome.change_id, outcome)
        if outcome != known and outcome.verdict != Verdict.EXPIRED:
            wrong.append(f"change {outcome.change_id} has two outcomes")
    return wrong


def one_winner(history: History) -> list[str]:
    """Of the changes on one base revision one is accepted at most."""
    bases = {one.change_id: one.base_revision for one in _of(history, Asked)}
    winners: dict[int, str] = {}
    wrong = []
    for outcome in _accepted(history):
        base = bases[outcome.change_id]
        if winners.setdefault(base, outcome.change_id) != outcome.change_id:
            wrong.append(f"two changes won on revision {base}")
    return wrong


class Span(NamedTuple):
    """An operation with the revision it saw or made."""

    began: float
    ended: float
    revision: int
    what: str


def linearizable(history: History) -> list[str]:
    """What begins after an answer sees at least the revision of that answer.

    Revisions are totally ordered, so that order must only agree with real time.
    """
    spans = sorted(_spans(history), key=lambda span: span.began)
    ends = sorted(spans, key=lambda span: span.ended)
    wrong = []
    highest = Span(0.0, 0.0, 0, "nothing")
    place = 0
    for span in spans:
        while place < len(ends) and ends[place].ended < span.began:
            highest = max(highest, ends[place], key=lambda one: one.revision)
            place += 1
        if span.revision < highest.revision:
            wrong.append(
                f"{span.what} saw {span.revision} after {highest.what} "
                f"saw {highest.revision}"
            )
    return wrong


def refused_never_ran(history: History) -> list[str]:
    """A change whose every sending was refused is in no log."""
    refused = {one.change_id for one in _of(history, GivenUp)}
    ran = {one.outcome.change_id for one in _of(history, Applied)}
    return [f"change {change} was refused and ran" for change in refused & ran]


def isolated_accepts_nothing(history: History) -> list[str]:
    """A VM that is cut off answers no change asked for since.

    What others had acknowledged before may still be synced on its own disk.
    """
    asked = {one.change_id: one.at for one in _of(history, Asked)}
    wrong = []
    for cut in _of(history, Isolated):
        for one in _of(history, Answered):
            change = one.outcome.change_id
            is_within = one.vm == cut.vm and cut.at < one.at < cut.until
            is_new = asked[change] > cut.at or one.at > cut.at + SYNC_ALLOWANCE_S
            if is_within and is_new:
                wrong.append(f"{one.vm} answered {change} while cut off")
    return wrong


def nothing_reverts(history: History) -> list[str]:
    """In the end every VM holds every accepted change, and all hold the same."""
    answered = {
        one.outcome.change_id: one.outcome.revision
        for one in _of(history, Answered)
        if one.outcome.verdict == Verdict.ACCEPTED
    }
    wrong = []
    ended = list(_of(history, Ended))
    for one in ended:
        lost = [change for change in answered if change not in one.change_ids]
        wrong += [f"accepted change {change} is lost on {one.vm}" for change in lost]
        if one.revision < max(answered.values(), default=0):
            wrong.append(f"{one.vm} ended at revision {one.revision}")
    if len({(one.revision, one.digest) for one in ended}) > 1:
        wrong.append("VMs ended with different values")
    return wrong


def comes_back(history: History) -> list[str]:
    """After all has healed the log accepts changes and is whole again."""
    return [f"at {one.at:.1f} s: {one.what}" for one in _of(history, Stuck)]


CHECKERS: tuple[Checker, ...] = (
    same_log_everywhere,
    runs_once,
    one_outcome,
    one_winner,
    linearizable,
    refused_never_ran,
    isolated_accepts_nothing,
    nothing_reverts,
    comes_back,
)


def violations(history: History) -> tuple[str, ...]:
    """Return what every checker finds, with the checker's name."""
    found = []
    for checker in CHECKERS:
        found += [f"{checker.__name__}: {line}" for line in checker(history)]
    return tuple(found)


def _of(history: History, kind: type[T]) -> Iterable[T]:
    return (one for one in history if isinstance(one, kind))


def _accepted(history: History) -> Iterable[ChangeOutcome]:
    for one in history:
        if isinstance(one, Answered | Applied):
            if one.outcome.verdict == Verdict.ACCEPTED:
                yield one.outcome


def _spans(history: History) -> Iterable[Span]:
    asked = {one.change_id: one.at for one in _of(history, Asked)}
    answered: set[str] = set()
    for one in history:
        if isinstance(one, Seen):
            yield Span(one.began, one.at, one.revision, f"a read on {one.vm}")
        if isinstance(one, Answered) and one.outcome.change_id not in answered:
            change = one.outcome.change_id
            answered.add(change)
            if one.outcome.verdict == Verdict.EXPIRED:
                continue
            yield Span(asked[change], one.at, one.outcome.revision, f"change {change}")
