"""Which control VMs vote, and whether enough of them do for the first order."""

from __future__ import annotations

from kumquatmux_agreement.events import ChangeMembership
from kumquatmux_agreement.voter_selection import (
    VoterCandidate,
    VoterSelectionView,
    next_voter_vms,
    required_voter_count,
)
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_daemons.registrar.agreed import Agreed
from kumquatmux_daemons.registrar.settings import RegistrarSettings
from kumquatmux_registry.follower import Follower

GONE_S = 2.0
"""Seconds without a word after which a voter's seat may go to a VM that is there."""

SEATING_S = 4.0
"""Seconds that a leader's first order waits for voters that have not answered it."""


class Seats:
    """Fills the voters' seats while this control VM leads.

    Attributes:
        agreed: The replicated state.
        follower: The feeds of the other control VMs.
        started_at: Start of this process, in seconds of the monotonic clock.
        leads_since: Time since which this VM leads, None if another one does.
    """

    def __init__(
        self,
        settings: RegistrarSettings,
        agreed: Agreed,
        follower: Follower,
        now: float,
    ) -> None:
        self.settings = settings
        self.agreed = agreed
        self.follower = follower
        self.started_at = now
        self.leads_since: float | None = None

    def are_filled(self, now: float) -> bool:
        """Return whether enough control VMs vote for the first order.

        A voter that was never heard of may have no disk, so that another loss would be
        one too many. It is waited for, but not for good.
        """
        configuration = self.agreed.replica.core.log.configuration
        required = required_voter_count(self.settings.losses)
        if len(configuration.voters) < required:
            return False
        led_s = now - self.leads_since if self.leads_since is not None else 0.0
        return led_s >= SEATING_S or self.agreed.answering_voters() >= required

    def replace_gone(self, now: float) -> None:
        """Give the seats of VMs that are gone to others, if this VM leads."""
        if not self.agreed.is_leader:
            self.leads_since = None
            return
        if self.leads_since is None:
            self.leads_since = now
        wanted = self.agreed.replica.core.log.configuration.wanted_vms
        following = next_voter_vms(self._view(wanted, self.leads_since, now))
        if following is None:
            return
        log_decision("seats-moved", wanted=",".join(following), former=",".join(wanted))
        self.agreed.give(ChangeMembership(following, f"seats-{now}"), now)

    def _view(
        self, wanted: tuple[VmId, ...], leads_since: float, now: float
    ) -> VoterSelectionView:
        mine = VoterCandidate(self.settings.vm, self.settings.zone)
        return VoterSelectionView(
            self.settings.vm,
            wanted,
            (mine, *self._other_candidates(now)),
            frozenset(vm for vm in wanted if self._is_gone(vm, leads_since, now)),
            required_voter_count(self.settings.losses),
        )

    def _other_candidates(self, now: float) -> list[VoterCandidate]:
        """Return the other control VMs that were heard of recently."""
        limit = now - self.follower.settings.silent_s
        return [
            VoterCandidate(vm, source.zone)
            for vm, source in self.follower.sources.items()
            if source.heard_at > limit
        ]

    def _is_gone(self, vm: VmId, leads_since: float, now: float) -> bool:
        """Return whether a voter was silent for too long while this VM led."""
        if vm == self.settings.vm:
            return False
        source = self.follower.sources.get(vm)
        heard_at = source.heard_at if source is not None else self.started_at
        return max(heard_at, leads_since) < now - GONE_S
