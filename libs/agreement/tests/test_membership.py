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
    "no change needed": (
        Configuration(VMS_ABC, (A, B, C)),
        membership_view({A, B, C}),
        None,
    ),
    "joining replica becomes a learner": (
        Configuration(VMS_ABC, (A,)),
        membership_view({A}, join_requests=(B,)),
        Configuration(VMS_ABC, (A,), (B,)),
    ),
    "replica on an unwanted VM is not added": (
        Configuration(VMS_ABC, (A, B, C)),
        membership_view({A, B, C}, join_requests=(D,)),
        None,
    ),
    "lagging learner is not promoted": (
        Configuration(VMS_ABC, (A,), (B,)),
        membership_view({A, B}),
        None,
    ),
    "caught-up learner is promoted": (
        Configuration(VMS_ABC, (A,), (B,)),
        membership_view({A, B}, caught_up_learners={B}),
        Configuration(VMS_ABC, (A, B)),
    ),
    "unresponsive voter stays until its replacement has caught up": (
        Configuration(VMS_ABC, (A, B, C), (C_REPLACEMENT,)),
        membership_view({A, B, C_REPLACEMENT}),
        None,
    ),
    "unresponsive voter is removed before its replacement votes": (
        Configuration(VMS_ABC, (A, B, C), (C_REPLACEMENT,)),
        membership_view({A, B, C_REPLACEMENT}, caught_up_learners={C_REPLACEMENT}),
        Configuration(VMS_ABC, (A, B), (C_REPLACEMENT,)),
    ),
    "replacement is promoted after the removal": (
        Configuration(VMS_ABC, (A, B), (C_REPLACEMENT,)),
        membership_view({A, B, C_REPLACEMENT}, caught_up_learners={C_REPLACEMENT}),
        Configuration(VMS_ABC, (A, B, C_REPLACEMENT)),
    ),
    "no voter is removed without a live quorum of the rest": (
        Configuration(VMS_ABC, (A, B, C), (C_REPLACEMENT,)),
        membership_view({A, C_REPLACEMENT}, caught_up_learners={C_REPLACEMENT}),
        None,
    ),
    "late join request does not replace a live voter": (
        Configuration(VMS_ABC, (A, B, C_REPLACEMENT)),
        membership_view({A, B, C_REPLACEMENT}, join_requests=(C,)),
        None,
    ),
    "unresponsive learner with a replacement is removed": (
        Configuration(VMS_ABC, (A, B), (C,)),
        membership_view({A, B}, join_requests=(C_REPLACEMENT,)),
        Configuration(VMS_ABC, (A, B)),
    ),
    "unwanted live voter stays until its replacement votes": (
        Configuration(("a", "b", "d"), (A, B, C), (D,)),
        membership_view({A, B, C, D}, caught_up_learners={D}),
        Configuration(("a", "b", "d"), (A, B, C, D)),
    ),
    "unwanted live voter is removed once its replacement votes": (
        Configuration(("a", "b", "d"), (A, B, C, D)),
        membership_view({A, B, C, D}),
        Configuration(("a", "b", "d"), (A, B, D)),
    ),
    "unwanted unresponsive voter stays until its replacement votes": (
        Configuration(("a", "b", "d"), (A, B, C), (D,)),
        membership_view({A, B, D}, caught_up_learners={D}),
        Configuration(("a", "b", "d"), (A, B, C, D)),
    ),
    "unwanted unresponsive voter is removed next": (
        Configuration(("a", "b", "d"), (A, B, C, D)),
        membership_view({A, B, D}),
        Configuration(("a", "b", "d"), (A, B, D)),
    ),
    "unwanted leader is removed last": (
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
    assert configuration.has_enough_voters == has_enough_voters
