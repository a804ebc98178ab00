"""Selection of the backend server for new work."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from kumquatmux_placement.backend import ServerLoad
from kumquatmux_placement.settings import PlacementSettings


class SelectedServer(NamedTuple):
    """Backend server selected for a work item, with the reason.

    Attributes:
        server_load: Load of the selected server.
        reason: Reason code for the decision log.
        candidate_count: Number of servers that could have been selected.
    """

    server_load: ServerLoad
    reason: str
    candidate_count: int


def select_server(
    server_loads: Iterable[ServerLoad],
    settings: PlacementSettings,
    random: random.Random,
    now: float,
    *,
    allow_other_zones: bool,
) -> SelectedServer | None:
    """Return the least loaded server with a free slot, if there is one.

    Servers in this VM's availability zone are preferred.

    Args:
        server_loads: Loads of the backend servers of the service.
        settings: Placement settings.
        random: Random source that breaks ties.
        now: Current time, in seconds.
        allow_other_zones: Whether servers in other availability zones may be selected.
    """
    with_free_slot = [load for load in server_loads if load.free_slots(now) > 0]
    local = [load for load in with_free_slot if is_in_preferred_zone(load, settings)]
    if local:
        return SelectedServer(
            _least_loaded(local, random, now), "free-slot", len(local)
        )
    if with_free_slot and allow_other_zones:
        return SelectedServer(
            _least_loaded(with_free_slot, random, now), "spill", len(with_free_slot)
        )
    return None


def is_in_preferred_zone(load: ServerLoad, settings: PlacementSettings) -> bool:
    """Return whether the server is in this VM's zone; true if no zone is set."""
    return not settings.zone or load.server.zone == settings.zone


def _least_loaded(
    loads: list[ServerLoad], random: random.Random, now: float
) -> ServerLoad:
    return min(loads, key=lambda load: _selection_key(load, random, now))


def _selection_key(
    load: ServerLoad, random: random.Random, now: float
) -> tuple[bool, bool, int, float, float, float]:
    return (
        load.reported_busier_until > now,
        load.is_slow() or load.is_in_slow_start(now),
        load.long_work_slots(now),
        load.slots_in_use / load.server.slots,
        load.open_connections / load.server.connections,
        random.random(),
    )
