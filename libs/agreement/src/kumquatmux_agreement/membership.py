"""Stepwise membership changes towards one voter on each wanted VM."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_agreement.entries import Configuration, ReplicaId

ALLOWED_VM_COUNTS = (1, 3, 5)
"""Allowed numbers of control VMs in a cluster."""


class MembershipView(NamedTuple):
    """What a leader knows about the replicas.

    Attributes:
        leader: Identity of the leader.
        join_requests: Replicas outside the configuration that recently asked to join.
        live_members: Members that replied recently, including the leader.
        caught_up_learners: Learners that hold every committed entry.
    """

    leader: ReplicaId
    join_requests: tuple[ReplicaId, ...]
    live_members: frozenset[ReplicaId]
    caught_up_learners: frozenset[ReplicaId]


def has_live_quorum(
    configuration: Configuration, live_members: frozenset[ReplicaId]
) -> bool:
    """Return whether a quorum of a configuration's voters is live."""
    live_voters = [voter for voter in configuration.voters if voter in live_members]
    return len(live_voters) >= configuration.quorum


def next_configuration(
    current: Configuration, view: MembershipView
) -> Configuration | None:
    """Return the next configuration to agree on, or None if no change is possible.

    Consecutive configurations differ in at most one voter, so that their quorums
    overlap.
    """
    step_functions = (
        _remove_learner,
        _add_learner,
        _remove_replaced_voter,
        _promote_learner,
        _remove_surplus_voter,
    )
    for step in step_functions:
        candidate = step(current, view)
        if candidate is None:
            continue
        if has_live_quorum(candidate, view.live_members):
            return candidate
    return None


def _remove_learner(
    current: Configuration, view: MembershipView
) -> Configuration | None:
    replaced_vms = {replica.vm for replica in view.join_requests}
    replaced_vms |= {voter.vm for voter in current.voters if voter in view.live_members}
    for learner in current.learners:
        is_stale = learner.vm in replaced_vms and learner not in view.live_members
        if learner.vm not in current.wanted_vms or is_stale:
            return _without_member(current, learner)
    return None


def _add_learner(current: Configuration, view: MembershipView) -> Configuration | None:
    represented_vms = {learner.vm for learner in current.learners}
    represented_vms |= {
        voter.vm for voter in current.voters if voter in view.live_members
    }
    for replica in view.join_requests:
        if replica.vm in current.wanted_vms and replica.vm not in represented_vms:
            return current._replace(learners=(*current.learners, replica))
    return None


def _remove_replaced_voter(
    current: Configuration, view: MembershipView
) -> Configuration | None:
    """Remove an unresponsive voter whose VM has a caught-up learner.

    Without such a learner the voter stays: it may come back, and the others may need
    its vote if another voter loses its disk in the meantime.
    """
    caught_up_vms = {learner.vm for learner in view.caught_up_learners}
    for voter in current.voters:
        is_unresponsive = voter != view.leader and voter not in view.live_members
        if is_unresponsive and voter.vm in caught_up_vms:
            return _without_member(current, voter)
    return None


def _promote_learner(
    current: Configuration, view: MembershipView
) -> Configuration | None:
    voting_vms = {voter.vm for voter in current.voters}
    for learner in current.learners:
        if learner in view.caught_up_learners and learner.vm not in voting_vms:
            without_learner = _without_member(current, learner)
            return without_learner._replace(voters=(*current.voters, learner))
    return None


def _remove_surplus_voter(
    current: Configuration, view: MembershipView
) -> Configuration | None:
    if len(current.voters) <= len(current.wanted_vms):
        return None
    surplus_voters = [
        voter for voter in current.voters if voter.vm not in current.wanted_vms
    ]
    surplus_voters.sort(
        key=lambda voter: (voter == view.leader, voter in view.live_members)
    )
    return _without_member(current, surplus_voters[0]) if surplus_voters else None


def _without_member(current: Configuration, replica: ReplicaId) -> Configuration:
    return current._replace(
        voters=tuple(voter for voter in current.voters if voter != replica),
        learners=tuple(learner for learner in current.learners if learner != replica),
    )
