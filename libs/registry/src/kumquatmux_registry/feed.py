"""Feed messages: server records and the settings document from control VMs."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId, ZoneName
from kumquatmux_registry.records import ServerRecord


class FeedPoll(NamedTuple):
    """Request for updates from a control VM; also serves as a heartbeat of the sender.

    Attributes:
        sender: VM that sends the poll.
        zone: Availability zone of the sender.
        is_control: Whether the sender is a control VM itself.
        incarnation: Identifier of the receiver's process that ``position`` refers to.
        position: Change of the receiver's table up to which the sender has all changes.
        document: Number of the newest settings document that the sender has.
        wants_push: Whether the receiver should push changes and documents to the
            sender.
        is_stopping: Whether the sender is shutting down, so that it is no longer
            listed among the entry VMs.
        members: Digest of the lists of VMs that the sender has from the receiver, 0
            for none.
    """

    sender: VmId
    zone: ZoneName
    is_control: bool
    incarnation: int
    position: int
    document: int
    wants_push: bool
    is_stopping: bool = False
    members: int = 0


class FeedAnswer(NamedTuple):
    """Updates from a control VM, sent in answer to a poll or pushed.

    Attributes:
        sender: Control VM that sends the answer.
        zone: Availability zone of the sender.
        incarnation: Identifier of the sender's process, chosen at random at its start.
        since: Change number after which the records begin.
        position: Change number up to which the receiver is then up to date.
        records: Changed records, oldest change first.
        document: Number of the newest committed settings document known to the sender.
        content: Content of that document; empty if the receiver has it already, did
            not ask for pushes, is a control VM or was sent a document too recently.
        control: Live control VMs known to the sender, including itself; empty if the
            receiver has both lists already.
        entries: Live entry VMs in the receiver's zone; empty for a control VM or if
            the receiver has both lists already.
        is_current: Whether a consensus leader has recently confirmed that the sender's
            replica is up to date.
        members: Digest of both lists.
        evacuation_revision: Revision of the evacuated zones; 0 if none ever was, or for
            a control VM, which replicates them by consensus.
        evacuated_zones: Availability zones whose servers get no new flows.
    """

    sender: VmId
    zone: ZoneName
    incarnation: int
    since: int
    position: int
    records: tuple[ServerRecord, ...]
    document: int
    content: bytes
    control: tuple[VmId, ...]
    entries: tuple[VmId, ...]
    is_current: bool
    members: int = 0
    evacuation_revision: int = 0
    evacuated_zones: tuple[ZoneName, ...] = ()


MESSAGE_TYPES: dict[int, type] = {0x0601: FeedPoll, 0x0602: FeedAnswer}
"""Message types by wire kind, for the message registry of a channel."""

ELEMENT_TYPES: dict[type, dict[str, type]] = {FeedAnswer: {"records": ServerRecord}}
"""Fields of messages whose elements are read one by one, for the message registry."""
