from __future__ import annotations

from kumquatmux_agreement.voter_selection import (
    VoterCandidate,
    VoterSelectionView,
    next_voter_vms,
    required_voter_count,
)

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}


def selection_view(voter_vms, reachable, unreachable=(), voter_count=3):
    candidates = tuple(VoterCandidate(vm, ZONES[vm]) for vm in reachable)
    return VoterSelectionView(
        "a1", tuple(voter_vms), candidates, frozenset(unreachable), voter_count
    )


def test_voter_count_survives_the_tolerated_losses():
    assert [
        required_voter_count(tolerated_losses) for tolerated_losses in (0, 1, 2)
    ] == [1, 3, 5]


def test_selection_is_kept_while_all_voter_vms_are_reachable():
    assert (
        next_voter_vms(selection_view(["a1", "b1", "c1"], ["a1", "b1", "c1", "c2"]))
        is None
    )


def test_unreachable_vm_is_kept_without_a_replacement():
    assert (
        next_voter_vms(
            selection_view(["a1", "b1", "c1"], ["a1", "b1"], unreachable=["c1"])
        )
        is None
    )


def test_reachable_vm_replaces_an_unreachable_one():
    view = selection_view(["a1", "b1", "c1"], ["a1", "b1", "c2"], unreachable=["c1"])
    assert next_voter_vms(view) == ("a1", "b1", "c2")


def test_zone_with_fewest_voter_vms_is_preferred():
    view = selection_view(
        ["a1", "b1", "c1"], ["a1", "a2", "b1", "c2"], unreachable=["c1"]
    )
    assert next_voter_vms(view) == ("a1", "b1", "c2")


def test_selection_grows_to_the_voter_count_in_one_step():
    reachable = ["a1", "a2", "b1", "b2", "c1", "c2"]
    voter_vms = next_voter_vms(
        selection_view(["a1", "b1", "c1"], reachable, voter_count=5)
    )
    assert voter_vms == ("a1", "a2", "b1", "b2", "c1")


def test_selection_does_not_grow_with_too_few_reachable_vms():
    assert (
        next_voter_vms(selection_view(["a1", "b1", "c1"], ["a1", "a2"], voter_count=5))
        is None
    )
