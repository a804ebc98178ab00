from __future__ import annotations

import pytest

from kumquatmux_agreement.entries import Configuration, ReplicaId
from kumquatmux_agreement.membership import MembershipView, next_configuration

A, B, C, D, E = (ReplicaId(vm, "1") for vm in "abcde")
C_REPLACEMENT = ReplicaId("c", "2")
VMS_ABC = ("a", "b", "c")


def membership_view(live_members, join_requests=(), caught_up_learners=()):
    return MembershipView(
        A, join_requests, frozenset(live_members), frozenset(caught_up_learners)
    )


MEMBERSHIP_STEPS = {
    "nothing to do": (
        Configuration(VMS_ABC, (A, B, C)),
        membership_view({A, B, C}),
        None,
    ),
    "a newcomer learns first": (
        Configuration(VMS_ABC, (A,)),
        membership_view({A}, join_requests=(B,)),
        Configuration(VMS_ABC, (A,), (B,)),
    ),
    "a stranger is not let in": (
        Configuration(VMS_ABC, (A, B, C)),
        membership_view({A, B, C}, join_requests=(D,)),
        None,
    ),
    "a learner that is behind waits": (
        Configuration(VMS_ABC, (A,), (B,)),
        membership_view({A, B}),
        None,
    ),
    "a learner that has caught up votes": (
        Configuration(VMS_ABC, (A,), (B,)),
        membership_view({A, B}, caught_up_learners={B}),
        Configuration(VMS_ABC, (A, B)),
    ),
    "a lost folder stays until its successor is ready": (
        Configuration(VMS_ABC, (A, B, C), (C_REPLACEMENT,)),
        membership_view({A, B, C_REPLACEMENT}),
        None,
    ),
    "a lost folder goes first": (
        Configuration(VMS_ABC, (A, B, C), (C_REPLACEMENT,)),
        membership_view({A, B, C_REPLACEMENT}, caught_up_learners={C_REPLACEMENT}),
        Configuration(VMS_ABC, (A, B), (C_REPLACEMENT,)),
    ),
    "then its successor votes": (
        Configuration(VMS_ABC, (A, B), (C_REPLACEMENT,)),
        membership_view({A, B, C_REPLACEMENT}, caught_up_learners={C_REPLACEMENT}),
        Configuration(VMS_ABC, (A, B, C_REPLACEMENT)),
    ),
    "no voter goes when the rest has no majority that answers": (
        Configuration(VMS_ABC, (A, B, C), (C_REPLACEMENT,)),
        membership_view({A, C_REPLACEMENT}, caught_up_learners={C_REPLACEMENT}),
        None,
    ),
    "an old request to join does not push out a live voter": (
        Configuration(VMS_ABC, (A, B, C_REPLACEMENT)),
        membership_view({A, B, C_REPLACEMENT}, join_requests=(C,)),
        None,
    ),
    "a learner of a lost folder is dropped": (
        Configuration(VMS_ABC, (A, B), (C,)),
        membership_view({A, B}, join_requests=(C_REPLACEMENT,)),
        Configuration(VMS_ABC, (A, B)),
    ),
    "a live VM to be replaced goes last": (
        Configuration(("a", "b", "d"), (A, B, C), (D,)),
        membership_view({A, B, C, D}, caught_up_learners={D}),
        Configuration(("a", "b", "d"), (A, B, C, D)),
    ),
    "when its successor votes it goes": (
        Configuration(("a", "b", "d"), (A, B, C, D)),
        membership_view({A, B, C, D}),
        Configuration(("a", "b", "d"), (A, B, D)),
    ),
    "a silent VM to be replaced stays until its successor votes": (
        Configuration(("a", "b", "d"), (A, B, C), (D,)),
        membership_view({A, B, D}, caught_up_learners={D}),
        Configuration(("a", "b", "d"), (A, B, C, D)),
    ),
    "then the silent VM goes": (
        Configuration(("a", "b", "d"), (A, B, C, D)),
        membership_view({A, B, D}),
        Configuration(("a", "b", "d"), (A, B, D)),
    ),
    "a leader that is not wanted goes last of all": (
        Configuration(("b",), (A, B, C)),
        membership_view({A, B, C}),
        Configuration(("b",), (A, B)),
    ),
}


@pytest.mark.parametrize("name", MEMBERSHIP_STEPS)
def test_next_configuration(name):
    current, view, expected_configuration = MEMBERSHIP_STEPS[name]
    assert next_configuration(current, view) == expected_configuration


@pytest.mark.parametrize("name", MEMBERSHIP_STEPS)
def test_quorums_of_consecutive_configurations_overlap(name):
    current, _, next_step = MEMBERSHIP_STEPS[name]
    if next_step is None:
        return
    union = set(current.voters) | set(next_step.voters)
    assert current.quorum + next_step.quorum > len(union)


@pytest.mark.parametrize(
    ("vms", "voters", "quorum", "has_enough_voters"),
    [
        (("a",), (A,), 1, True),
        (VMS_ABC, (A,), 1, False),
        (VMS_ABC, (A, B), 2, True),
        (VMS_ABC, (A, B, C), 2, True),
        (tuple("abcde"), (A, B, C), 3, True),
        (tuple("abcde"), (A, B, C, D), 3, True),
        (tuple("abcde"), (A, B, C, D, E), 3, True),
    ],
)
def test_quorum_survives_loss_of_a_minority_of_wanted_vms(
    vms, voters, quorum, has_enough_voters
):
    configuration = Configuration(vms, voters)
    assert configuration.quorum == quorum
    assert configuration.is_ready == has_enough_voters
