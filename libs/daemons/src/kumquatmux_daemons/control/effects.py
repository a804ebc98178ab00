"""What the control core is told and what it asks its daemon for."""

from __future__ import annotations

from typing import Any, NamedTuple

from kumquatmux_agreement.messages import Message as ReplicaMessage
from kumquatmux_core.identity import VmId
from kumquatmux_daemons.operators.desk import Handling
from kumquatmux_settings.change import Change
from kumquatmux_settings.messages import Message as SettingsMessage


class Tick(NamedTuple):
    """Time has passed; due work is done."""


class Ask(NamedTuple):
    """An operator asks for a change; answered by one ``Tell`` with the token."""

    change: Change
    token: str


class AskControlVms(NamedTuple):
    """An operator names the control VMs; answered by one ``Tell`` with the token."""

    vms: tuple[VmId, ...]
    token: str


class FromReplica(NamedTuple):
    """A message of another control VM's replica."""

    message: ReplicaMessage


class FromCopy(NamedTuple):
    """A message about settings from any VM."""

    message: SettingsMessage


Event = Tick | Ask | AskControlVms | FromReplica | FromCopy


class Send(NamedTuple):
    """Send a message to a VM."""

    vm: VmId
    message: Any


class Tell(NamedTuple):
    """What became of an ``Ask``."""

    token: str
    handling: Handling


class StoodDown(NamedTuple):
    """The disk failed: this VM takes no further part in the log."""

    reason: str


class LogBehind(NamedTuple):
    """Entry VMs run a revision that the log does not hold: its past is lost.

    Attributes:
        newest: Revision they run.
        revision: Newest revision of the log.
    """

    newest: int
    revision: int


Effect = Send | Tell | StoodDown | LogBehind
