"""What the operators' API needs of the control daemon."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from kumquatmux_core.identity import Endpoint, ServerId, VmId
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.reports import VmReport
from kumquatmux_settings.change import Change, ChangeOutcome, Edit


class Settled(NamedTuple):
    """A change has its outcome."""

    outcome: ChangeOutcome


class NotLeader(NamedTuple):
    """The change was not taken: another control VM leads, or none is known.

    Attributes:
        leader: The leader's operators endpoint, None if not known.
        detail: Why, in words.
    """

    leader: Endpoint | None
    detail: str


class Uncertain(NamedTuple):
    """The change was taken, and whether it is accepted is not known yet."""

    detail: str


class Reshaped(NamedTuple):
    """The log holds the wish for other control VMs; they join one at a time."""

    vms: tuple[VmId, ...]


class NotTaken(NamedTuple):
    """The leader refused and nothing entered the log."""

    problem: Problem


Handling = Settled | Reshaped | NotLeader | NotTaken | Uncertain


class Tree(NamedTuple):
    """The settings in force on this control VM.

    Attributes:
        vm: This VM.
        leader: The leader as far as known; empty if not.
        revision: Revision of the values.
        digest: Digest of the values.
        staleness_s: Seconds since they were confirmed as the newest; infinite if
            never.
        values: JSON text by dotted key.
    """

    vm: VmId
    leader: str
    revision: int
    digest: str
    staleness_s: float
    values: dict[str, str]


class PastRevision(NamedTuple):
    """One accepted change as history shows it."""

    revision: int
    change_id: str
    operator: str
    note: str
    at: float
    edits: tuple[Edit, ...]


class ControlVm(NamedTuple):
    """A control VM as this one sees it.

    Attributes:
        vm: Its name.
        zone: Its availability zone.
        state: Role in the log, ``up``, ``joining``, ``unreachable`` or ``unknown``.
    """

    vm: str
    zone: str
    state: str


class EntryVm(NamedTuple):
    """An entry VM with its report, None if it did not answer in time."""

    vm: str
    zone: str
    report: VmReport | None


class Overview(NamedTuple):
    """All VMs at a moment.

    Attributes:
        can_accept: Whether a majority is known to accept changes now.
        control: The control VMs.
        entry: The entry VMs.
        failures: This control VM's last failures, newest first.
    """

    can_accept: bool
    control: tuple[ControlVm, ...]
    entry: tuple[EntryVm, ...]
    failures: tuple[str, ...] = ()


class Desk(Protocol):
    """What the control daemon does for operators."""

    def tree(self) -> Tree:
        """Return the settings in force here."""

    async def change(self, change: Change) -> Handling:
        """Put a change into the log and wait a bounded time for its outcome."""

    async def use_control_vms(self, vms: tuple[VmId, ...]) -> Handling:
        """Ask the log for other control VMs and wait a bounded time."""

    def outcome(self, change_id: str) -> ChangeOutcome | None:
        """Return the outcome of a change if it is known here."""

    def history(self, limit: int) -> list[PastRevision]:
        """Return the last accepted changes, newest first."""

    async def overview(self) -> Overview:
        """Ask every VM how it is and wait a bounded time."""

    async def drain(self, server: ServerId, operator: str) -> VmId | None:
        """Drain a backend server; return the holder of its lease, None if nobody."""
