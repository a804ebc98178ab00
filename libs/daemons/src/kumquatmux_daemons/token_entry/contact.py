"""What an entry VM hears of control VMs, and what it concludes from their silence."""

from __future__ import annotations

import math
from typing import TypedDict

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_registry.follower import Follower
from kumquatmux_registry.records import Lifetime
from kumquatmux_tokens.router import TokenRouter

NEVER_HEARD_S = -1.0
"""Stands in lines for the seconds since something that never was."""


class ServerEvidence(TypedDict, total=False):
    """What is known of the server of a flow that is reset.

    Attributes:
        server: Lifetime of the server.
        holder: Control VM that it reports to.
        late: Whether any control VM calls it late.
        holder_heard_s: Seconds since this VM heard that control VM.
        control_heard_s: Seconds since this VM heard any control VM.
        probe: Result of the latest probe of the server.
        probed_s: Seconds since that result.
        answered_s: Seconds since an acknowledgment of any caller of this VM showed that
            the server answers.
        address_of: Lifetime with the latest start at the server's address.
    """

    server: Lifetime
    holder: VmId
    late: bool
    holder_heard_s: float
    control_heard_s: float
    probe: str
    probed_s: float
    answered_s: float
    address_of: Lifetime


class ControlContact:
    """Tells a router which servers are out of reach, as far as that can be known.

    Attributes:
        follower: What control VMs tell.
        router: Whom it is told.
        was_fed: Whether an up-to-date control VM was heard at the latest look.
    """

    def __init__(self, follower: Follower, router: TokenRouter) -> None:
        self.follower = follower
        self.router = router
        self.was_fed = False
        router.is_known_late = follower.is_known_late

    def note_look(self, now: float) -> None:
        """Note that this VM reads what has arrived, before it judges by silence."""
        listening = self.follower.listening
        listening.note(now)
        if listening.since <= self.router.listening_since:
            return
        log_decision("vm-resumed", paused_s=round(listening.latest_gap_s, 2))
        self.router.note_pause(listening.since, listening.latest_gap_s)
        self.note_zones(now)

    def note_answer(self, sender: VmId, now: float) -> None:
        """Note an answer of a control VM, which refutes the loss of its zone."""
        if sender in self.router.lost_holders:
            self.note_zones(now)

    def note_zones(self, now: float) -> None:
        """Note which other zones are silent, and which control VMs are lost."""
        own_zone = self.follower.settings.zone
        silent = self.follower.silent_zones(now) - {own_zone}
        if silent != self.router.load_tracker.unreachable_zones:
            log_decision("zones-silent", zones=",".join(sorted(silent)))
        self.router.load_tracker.unreachable_zones = silent
        self.router.lost_holders = self.follower.lost_vms(now)

    def note_feed(self, now: float) -> None:
        """Note whether an up-to-date control VM is heard."""
        is_fed = self.follower.is_fed(now)
        if is_fed != self.was_fed:
            log_decision("feed-current" if is_fed else "feed-stale")
        self.was_fed = is_fed

    def evidence_about(self, token: int, now: float) -> ServerEvidence:
        """Return what is known of the server with a token, for a line."""
        entry = self.router.directory.by_token.get(token)
        if entry is None:
            return {}
        sources = self.follower.sources
        holder = sources.get(entry.record.holder)
        heard = [source.heard_at for source in sources.values()]
        probe = self.router.probes.by_token.get(token)
        result = probe.result if probe else None
        load = self.router.load_tracker.local_loads.get(token)
        claimant = self.router.directory.claimant_of(entry)
        return {
            "server": entry.record.report.lifetime,
            "holder": entry.record.holder,
            "late": entry.record.is_late,
            "holder_heard_s": _seconds_since(holder.heard_at if holder else None, now),
            "control_heard_s": _seconds_since(max(heard, default=None), now),
            "probe": result.value if result else "",
            "probed_s": _seconds_since(probe.ended_at if probe else None, now),
            "answered_s": _seconds_since(load.acknowledged_at if load else None, now),
            "address_of": claimant.record.report.lifetime,
        }


def _seconds_since(time: float | None, now: float) -> float:
    if time is None or math.isinf(time):
        return NEVER_HEARD_S
    return round(now - time, 2)
