"""Messages that look up the backend server of a token at another VM."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_registry.records import ServerRecord


class TokenQuestion(NamedTuple):
    """Request for the server that a token identifies.

    A VM that does not know the token sends no answer.
    """

    sender: VmId
    token: int


class TokenAnswer(NamedTuple):
    """Answer with the record of the server that the token identifies."""

    sender: VmId
    record: ServerRecord


MESSAGE_TYPES: dict[int, type] = {0x0603: TokenQuestion, 0x0604: TokenAnswer}
"""Message types by wire kind, for the message registry of a channel."""
