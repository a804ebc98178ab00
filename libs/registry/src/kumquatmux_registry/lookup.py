"""Messages by which one VM asks others what a token stands for."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_registry.records import ServerRecord


class TokenQuestion(NamedTuple):
    """Ask which server a token stands for; who does not know says nothing."""

    sender: VmId
    token: int


class TokenAnswer(NamedTuple):
    """The server that a token stands for."""

    sender: VmId
    record: ServerRecord


MESSAGE_TYPES: dict[int, type] = {0x0603: TokenQuestion, 0x0604: TokenAnswer}
"""Message types by kind, to be merged into the registry of a channel."""
