"""Evacuated availability zones, on the replicated log beside the document.

No new flows are sent to the servers of an evacuated zone. The latest order about a zone
is in force; one that repeats what is in force changes nothing.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from kumquatmux_core.identity import ZoneName

ORDER_KIND = "evacuation"
"""First value of an order's entry; that of a document's is its number."""

MAX_ZONES = 64
"""Number of evacuated zones from which no order for a further one is accepted.

Each answer to an entry VM names them all. Orders accepted at the same moment may exceed
it by a few.
"""

ZONE_BYTES = 255
"""Longest name of a zone."""


class EvacuationOrder(NamedTuple):
    """An operator's order about a zone.

    Attributes:
        zone: The zone.
        is_evacuated: Whether it is to be evacuated, else it takes new flows again.
    """

    zone: ZoneName
    is_evacuated: bool


class Evacuations(NamedTuple):
    """The evacuated zones.

    Attributes:
        revision: Number of changes so far; the same on every replica.
        zones: The zones, in alphabetical order.
    """

    revision: int = 0
    zones: tuple[ZoneName, ...] = ()

    def has_room_for(self, order: EvacuationOrder) -> bool:
        """Return whether an order may be proposed, as it evacuates no zone too many.

        One that is in the log already counts whatever the number, as it is acknowledged
        once it is committed.
        """
        is_further = order.is_evacuated and not self.obeys(order)
        return not is_further or len(self.zones) < MAX_ZONES

    def after(self, order: EvacuationOrder) -> Evacuations:
        """Return the evacuated zones after an order, the same if it changes nothing."""
        zones = set(self.zones)
        if order.is_evacuated:
            zones.add(order.zone)
        else:
            zones.discard(order.zone)
        if len(zones) == len(self.zones):
            return self
        return Evacuations(self.revision + 1, tuple(sorted(zones)))

    def obeys(self, order: EvacuationOrder) -> bool:
        """Return whether a zone is in the state that an order asks for."""
        return (order.zone in self.zones) == order.is_evacuated


def is_zone_name(text: str) -> bool:
    """Return whether a text can name a zone."""
    is_short = 0 < len(text) <= ZONE_BYTES and text.isprintable()
    return is_short and len(text.encode()) <= ZONE_BYTES


def entry_of_order(order: EvacuationOrder) -> bytes:
    """Return the entry that puts an order into the log."""
    return msgspec.msgpack.encode((ORDER_KIND, *order))


def is_order(values: Any) -> bool:
    """Return whether the values of an entry are those of an order."""
    return isinstance(values, list) and values[:1] == [ORDER_KIND]


def order_of(values: list[Any]) -> EvacuationOrder:
    """Return the order of an entry's values.

    Raises:
        ValueError: They are no order.
    """
    order = msgspec.convert(values[1:], EvacuationOrder)
    if not is_zone_name(order.zone):
        raise ValueError("the order names no zone")
    return order
