"""Automatic selection of the control VMs that vote."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId, ZoneName


class VoterCandidate(NamedTuple):
    """Control VM that can become a voter.

    Attributes:
        vm: Name of the VM.
        zone: Availability zone of the VM.
    """

    vm: VmId
    zone: ZoneName


class VoterSelectionView(NamedTuple):
    """What the leader knows about the control VMs.

    Attributes:
        leader: VM of the leader.
        voter_vms: VMs currently selected as voters.
        reachable: Control VMs heard from recently, including the leader's.
        unreachable: Selected VMs that have not been heard from for a long time.
        voter_count: Number of VMs that should be selected.
    """

    leader: VmId
    voter_vms: tuple[VmId, ...]
    reachable: tuple[VoterCandidate, ...]
    unreachable: frozenset[VmId]
    voter_count: int


def required_voter_count(tolerated_losses: int) -> int:
    """Return the number of voters needed to survive a number of lost voters."""
    return 2 * tolerated_losses + 1


def next_voter_vms(view: VoterSelectionView) -> tuple[VmId, ...] | None:
    """Return the VMs to select as voters next, or None to keep the selection.

    A VM is replaced only if it is unreachable and a reachable VM can take its place,
    so that a short outage changes nothing while no replacement is available.
    """
    spare_candidates = [
        candidate for candidate in view.reachable if candidate.vm not in view.voter_vms
    ]
    if len(view.voter_vms) < view.voter_count:
        return _add_voter_vms(view, spare_candidates)
    for vm in view.voter_vms:
        if vm in view.unreachable and spare_candidates:
            selected_vm = _select_candidate_vm(
                view, spare_candidates, set(view.voter_vms) - {vm}
            )
            return tuple(sorted({*view.voter_vms, selected_vm} - {vm}))
    return None


def _add_voter_vms(
    view: VoterSelectionView, spare_candidates: list[VoterCandidate]
) -> tuple[VmId, ...] | None:
    missing_count = view.voter_count - len(view.voter_vms)
    if len(spare_candidates) < missing_count:
        return None
    voter_vms = set(view.voter_vms)
    for _ in range(missing_count):
        selected_vm = _select_candidate_vm(view, spare_candidates, voter_vms)
        voter_vms.add(selected_vm)
        spare_candidates = [
            candidate for candidate in spare_candidates if candidate.vm != selected_vm
        ]
    return tuple(sorted(voter_vms))


def _select_candidate_vm(
    view: VoterSelectionView,
    spare_candidates: list[VoterCandidate],
    voter_vms: set[VmId],
) -> VmId:
    """Return the VM of the candidate whose zone has the fewest selected VMs."""
    zones = {candidate.vm: candidate.zone for candidate in view.reachable}
    occupied_zones = [zones.get(vm) for vm in voter_vms]
    selected = min(
        spare_candidates,
        key=lambda candidate: (occupied_zones.count(candidate.zone), candidate.vm),
    )
    return selected.vm
