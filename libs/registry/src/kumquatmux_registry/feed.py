"""Messages that spread records and the newest document from control VMs."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId, ZoneName
from kumquatmux_registry.records import ServerRecord


class FeedPoll(NamedTuple):
    """Ask a control VM for what is new; also tells that the sender is there.

    Attributes:
        sender: Who asks.
        zone: Its availability zone.
        is_control: Whether the sender is a control VM itself.
        incarnation: Process of the asked VM that ``position`` is of.
        position: Change of its table up to which the sender knows all.
        document: Number of the newest document that the sender holds.
        wants_push: Whether news and documents are to be pushed to it.
        is_stopping: Whether it ends soon, so that others rely on it no more.
    """

    sender: VmId
    zone: ZoneName
    is_control: bool
    incarnation: int
    position: int
    document: int
    wants_push: bool
    is_stopping: bool = False


class FeedAnswer(NamedTuple):
    """What is new at a control VM.

    Attributes:
        sender: Who answers.
        zone: Its availability zone.
        incarnation: Its process, made at random at each start.
        since: Change after which the records begin.
        position: Change up to which the records reach.
        records: The records that changed, the oldest change first.
        document: Number of the newest document it knows to be agreed.
        content: That document, empty if the asker has it or did not want it.
        control: The control VMs that it knows to be there, itself included.
        entries: The entry VMs of the asker's zone that it knows to be there.
        is_current: Whether it lately was in touch with a majority.
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


MESSAGE_TYPES: dict[int, type] = {0x0601: FeedPoll, 0x0602: FeedAnswer}
"""Message types by kind, to be merged into the registry of a channel."""
