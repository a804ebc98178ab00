"""What a VM's copy of the settings is told and what it asks for."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_settings.change import Edit
from kumquatmux_settings.messages import Message


class DistributionSettings(NamedTuple):
    """Settings of one VM's copy.

    Attributes:
        vm: This VM.
        sources: The control VMs, which settle a dispute about one revision.
        retry_s: Time after which an unanswered request goes to another peer.
        history_limit: Deltas kept for peers that are behind.
        part_keys: Keys in one part of a whole tree.
    """

    vm: VmId
    sources: frozenset[VmId] = frozenset()
    retry_s: float = 1.0
    history_limit: int = 256
    part_keys: int = 2000


class Accepted(NamedTuple):
    """The log on this control VM applied a revision."""

    revision: int
    values: dict[str, str]


class Confirmed(NamedTuple):
    """This control VM leads, and a majority confirmed its revision just now."""


class PeerRevision(NamedTuple):
    """A peer's heartbeat tells its revision; the digest is empty if not told."""

    vm: VmId
    revision: int
    digest: str = ""


class PeerGone(NamedTuple):
    """A peer cannot be reached any more."""

    vm: VmId


class ChildrenChanged(NamedTuple):
    """The VMs this one passes news on to at once."""

    children: tuple[VmId, ...]


class Received(NamedTuple):
    """A message from a peer reached this VM."""

    message: Message


class Tick(NamedTuple):
    """Time has passed; an unanswered request is repeated."""


Event = (
    Accepted | Confirmed | PeerRevision | PeerGone | ChildrenChanged | Received | Tick
)


class SendMessage(NamedTuple):
    """Send a message to a peer."""

    vm: VmId
    message: Message


class InForce(NamedTuple):
    """A higher revision is in force here.

    Attributes:
        revision: The revision.
        digest: Its digest.
        edits: What changed from the one before.
    """

    revision: int
    digest: str
    edits: tuple[Edit, ...]


Action = SendMessage | InForce
