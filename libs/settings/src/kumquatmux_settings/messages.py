"""Messages by which accepted settings reach every VM."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_settings.change import Edit


class DeltaRequest(NamedTuple):
    """Ask for what came after a revision.

    Attributes:
        sender: Who asks.
        revision: Its revision.
        digest: Its digest, so that a flawed copy gets a whole one.
    """

    sender: VmId
    revision: int
    digest: str


class Delta(NamedTuple):
    """What changed from one revision to a later one.

    Attributes:
        sender: Who tells it.
        base_revision: Revision it applies to.
        base_digest: Digest at that revision.
        revision: Revision after it.
        digest: Digest after it.
        edits: What is set and unset, each key once.
    """

    sender: VmId
    base_revision: int
    base_digest: str
    revision: int
    digest: str
    edits: tuple[Edit, ...]


class Snapshot(NamedTuple):
    """A whole tree, or one part of it.

    Attributes:
        sender: Who tells it.
        revision: Its revision.
        digest: Digest of the whole tree.
        edits: Keys of this part with their values.
        part: Number of this part, from 0.
        parts: How many parts the tree has.
    """

    sender: VmId
    revision: int
    digest: str
    edits: tuple[Edit, ...]
    part: int = 0
    parts: int = 1


class Current(NamedTuple):
    """The newest revision, as the leader of the log knew it a moment ago.

    Attributes:
        sender: Who passes it on.
        revision: The newest accepted revision.
        digest: Its digest.
        age_ms: Time since the leader confirmed it with a majority.
    """

    sender: VmId
    revision: int
    digest: str
    age_ms: int


Message = DeltaRequest | Delta | Snapshot | Current

MESSAGE_TYPES: dict[int, type] = {
    0x0401: DeltaRequest,
    0x0402: Delta,
    0x0403: Snapshot,
    0x0404: Current,
}
"""Message types by kind, to be merged into the registry of a channel."""
