"""Message types that the entry VMs of a zone exchange."""

from __future__ import annotations

from kumquatmux_tokens.placers import PlaceAnswer, PlaceQuestion
from kumquatmux_tokens.work import LoadShare

MESSAGE_TYPES: dict[int, type] = {
    0x0605: LoadShare,
    0x0606: PlaceQuestion,
    0x0607: PlaceAnswer,
}
"""Message types by message kind, for the codec registry of a channel."""
