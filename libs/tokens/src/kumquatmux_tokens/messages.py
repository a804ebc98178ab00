"""Message types that the entry VMs of a zone exchange."""

from __future__ import annotations

from kumquatmux_tokens.placers import PlacementAnswer, PlacementRequest
from kumquatmux_tokens.work import LoadReport

MESSAGE_TYPES: dict[int, type] = {
    0x0605: LoadReport,
    0x0606: PlacementRequest,
    0x0607: PlacementAnswer,
}
"""Message types by message kind, for the codec registry of a channel."""
