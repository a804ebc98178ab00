"""Which control VMs should vote, when VMs come and go without an operator."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId, ZoneName


class Candidate(NamedTuple):
    """A control VM that may vote.

    Attributes:
        vm: Its name.
        zone: Its availability zone.
    """

    vm: VmId
    zone: ZoneName


class SeatsView(NamedTuple):
    """What a leader knows of control VMs.

    Attributes:
        leader: The leader's VM.
        wanted: The VMs that are wanted as voters now.
        present: Control VMs that were heard lately, the leader's included.
        gone: Wanted VMs that have not been heard for long.
        size: How many voters there should be.
    """

    leader: VmId
    voter_vms: tuple[VmId, ...]
    reachable: tuple[Candidate, ...]
    unreachable: frozenset[VmId]
    voter_count: int


def voters_for(tolerated_losses: int) -> int:
    """Return how many voters outlive the loss of some of them."""
    return 2 * tolerated_losses + 1


def next_wanted(view: SeatsView) -> tuple[VmId, ...] | None:
    """Return the VMs that should be wanted next, None to keep them.

    A seat moves only from a VM that is gone to one that is present, so that a
    short silence moves nothing while nobody waits for the seat.
    """
    spare_vms = [
        candidate for candidate in view.reachable if candidate.vm not in view.voter_vms
    ]
    if len(view.voter_vms) < view.voter_count:
        return _add_voter_vms(view, spare_vms)
    for vm in view.voter_vms:
        if vm in view.unreachable and spare_vms:
            selected_vm = _select_spare_vm(view, spare_vms, set(view.voter_vms) - {vm})
            return tuple(sorted({*view.voter_vms, selected_vm} - {vm}))
    return None


def _add_voter_vms(
    view: SeatsView, spare_vms: list[Candidate]
) -> tuple[VmId, ...] | None:
    missing_count = view.voter_count - len(view.voter_vms)
    if len(spare_vms) < missing_count:
        return None
    voter_vms = set(view.voter_vms)
    for _ in range(missing_count):
        selected_vm = _select_spare_vm(view, spare_vms, voter_vms)
        voter_vms.add(selected_vm)
        spare_vms = [
            candidate for candidate in spare_vms if candidate.vm != selected_vm
        ]
    return tuple(sorted(voter_vms))


def _select_spare_vm(
    view: SeatsView, spare_vms: list[Candidate], voter_vms: set[VmId]
) -> VmId:
    """Return the spare VM whose zone holds the fewest seats."""
    zones = {candidate.vm: candidate.zone for candidate in view.reachable}
    occupied_zones = [zones.get(vm) for vm in voter_vms]
    selected = min(
        spare_vms,
        key=lambda candidate: (occupied_zones.count(candidate.zone), candidate.vm),
    )
    return selected.vm
