"""Selection of the server of a new flow, for this VM and for others that ask."""

from __future__ import annotations

from random import Random

from kumquatmux_core.identity import ServiceName
from kumquatmux_tokens.choice import (
    LAST_RESORT_LEVEL,
    NewFlow,
    Selection,
    select_server,
)
from kumquatmux_tokens.placers import PlaceAnswer, PlaceQuestion
from kumquatmux_tokens.pools import ServerPool, ServerPools
from kumquatmux_tokens.recent import RecentPlacements
from kumquatmux_tokens.recovering import RecoveringServers, Withheld
from kumquatmux_tokens.settings import TokenRouterSettings


class ServerSelector:
    """Selects the servers of new flows.

    Attributes:
        pools: Servers of each service that accept new flows.
        recent: Servers of the flows that were placed here a short time ago.
        recovering: Tells which servers that started or recovered get a flow now.
    """

    def __init__(
        self,
        settings: TokenRouterSettings,
        random: Random,
        pools: ServerPools,
        recent: RecentPlacements,
        recovering: RecoveringServers,
    ) -> None:
        self.settings = settings
        self.random = random
        self.pools = pools
        self.recent = recent
        self.recovering = recovering
        self.directory = pools.directory
        self.load_tracker = pools.load_tracker

    def answer(
        self, question: PlaceQuestion, selection: Selection | None, now: float
    ) -> PlaceAnswer:
        """Return the answer to a placement request, with a reservation if it is placed.

        Args:
            question: The request of another VM.
            selection: The selected server, None if there is none to choose.
            now: Current time in monotonic seconds.
        """
        own_vm = self.settings.vm
        if selection is None:
            return PlaceAnswer(own_vm, question.flow_key, 0, False, 0)
        token = selection.entry.token
        if selection.is_full:
            return PlaceAnswer(own_vm, question.flow_key, token, True, 0)
        reservation = self.load_tracker.peer_load.reserve(question.sender, token, now)
        return PlaceAnswer(
            own_vm,
            question.flow_key,
            token,
            False,
            reservation.number,
            token in self.recovering.pace.paced,
        )

    def select(
        self, flow_key: bytes, service: ServiceName, new_flow: NewFlow
    ) -> Selection | None:
        """Return the server for a flow, None if the service has none to choose."""
        recent = self.recent_selection(flow_key, service, new_flow)
        if recent is not None:
            return recent
        pool = self.pools.pool(service)
        withheld = self.recovering.withheld(service, new_flow.now)
        selection = self._select_among(pool, new_flow, withheld)
        if selection is None:
            return None
        if not selection.is_full:
            self.recovering.note_placement(flow_key, selection.entry, new_flow.now)
            self.recent.record(
                flow_key, selection.entry.token, new_flow.now, new_flow.sequence_number
            )
        elif withheld.tokens:
            self.recovering.note_deferred(flow_key, service, withheld, new_flow.now)
        return selection

    def _select_among(
        self, pool: ServerPool, new_flow: NewFlow, withheld: Withheld
    ) -> Selection | None:
        """Return the server for a flow, a full one if it waits for one withheld.

        Those of last resort are not chosen while others are free soon.
        """
        tracker, random = self.load_tracker, self.random
        if not withheld.tokens:
            return select_server(pool, new_flow, tracker, random)
        selection = select_server(pool, new_flow, tracker, random, withheld.tokens)
        if selection is not None and selection.priority_level < LAST_RESORT_LEVEL:
            return selection
        never_free = withheld.tokens - withheld.soon_free
        awaited = select_server(pool, new_flow, tracker, random, never_free)
        if selection is None:
            awaited = awaited or select_server(pool, new_flow, tracker, random)
            return awaited._replace(is_full=True) if awaited else None
        if awaited is None or awaited.priority_level >= LAST_RESORT_LEVEL:
            return selection
        return awaited._replace(is_full=True)

    def recent_selection(
        self, flow_key: bytes, service: ServiceName, new_flow: NewFlow
    ) -> Selection | None:
        """Return the server that another copy of a flow's SYN was sent to, if sound.

        This copy counts in the warm-up budget too.
        """
        recent_token = self.recent.token_of(
            flow_key, new_flow.now, new_flow.sequence_number
        )
        running_entry = self.directory.running_entry(recent_token)
        token = running_entry.token if running_entry is not None else 0
        entry = self.directory.accepting_entry(token)
        if entry is None or token in new_flow.tried_tokens or entry.record.is_late:
            return None
        load = self.load_tracker.local_loads.get(token)
        is_avoided = load is not None and load.avoided_until > new_flow.now
        is_of_service = entry.record.report.service == service
        if not is_of_service or is_avoided:
            return None
        if not self.recovering.may_open(entry, new_flow.now):
            return None
        self.recovering.note_placement(flow_key, entry, new_flow.now)
        return Selection(entry, 0.0, 1, 0, False)
