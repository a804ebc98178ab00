"""Message types that the entry VMs of a zone exchange."""

from __future__ import annotations

from kumquatmux_tokens.link_occupancy import LinkOccupancy
from kumquatmux_tokens.placers import PlaceAnswer, PlaceQuestion
from kumquatmux_tokens.questions import (
    FlowAnswer,
    FlowNewsQuestion,
    FlowOpened,
    FlowQuestion,
)
from kumquatmux_tokens.server_pace import PaceReport
from kumquatmux_tokens.work import LoadShare

MESSAGE_TYPES: dict[int, type] = {
    0x0605: LoadShare,
    0x0606: PlaceQuestion,
    0x0607: PlaceAnswer,
    0x0609: FlowQuestion,
    0x060A: FlowAnswer,
    0x060B: FlowOpened,
    0x060C: FlowNewsQuestion,
    0x060D: LinkOccupancy,
    0x060F: PaceReport,
}
"""Message types by message kind, for the codec registry of a channel."""
