"""One step at a time from the voters there are to the VMs that are wanted."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_agreement.entries import Configuration, ReplicaId

ALLOWED_VM_COUNTS = (1, 3, 5)
"""How many control VMs a cluster may have."""


class MembershipView(NamedTuple):
    """What a leader knows of replicas.

    Attributes:
        leader: The leader itself.
        joining: Replicas outside the configuration that asked to join lately.
        live: Members that answered lately, the leader included.
        caught_up: Learners that hold all that is committed.
    """

    leader: ReplicaId
    join_requests: tuple[ReplicaId, ...]
    live_members: frozenset[ReplicaId]
    caught_up_learners: frozenset[ReplicaId]


def has_live_quorum(
    configuration: Configuration, live_members: frozenset[ReplicaId]
) -> bool:
    """Return whether enough voters of a configuration answer."""
    live_voters = [voter for voter in configuration.voters if voter in live_members]
    return len(live_voters) >= configuration.quorum


def next_configuration(
    current: Configuration, view: MembershipView
) -> Configuration | None:
    """Return the next configuration to be agreed on, None if there is none.

    Any two configurations in a row differ by one voter at most, so that their
    quorums overlap.
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
        if learner.vm not in current.vms or is_stale:
            return _without_member(current, learner)
    return None


def _add_learner(current: Configuration, view: MembershipView) -> Configuration | None:
    represented_vms = {learner.vm for learner in current.learners}
    represented_vms |= {
        voter.vm for voter in current.voters if voter in view.live_members
    }
    for replica in view.join_requests:
        if replica.vm in current.vms and replica.vm not in represented_vms:
            return current._replace(learners=(*current.learners, replica))
    return None


def _remove_replaced_voter(
    current: Configuration, view: MembershipView
) -> Configuration | None:
    """Drop a voter whose VM has come back with another folder.

    A voter that is merely silent stays until its successor votes: it may come back,
    and the rest may need its vote if another one loses its disk meanwhile.
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
    if len(current.voters) <= len(current.vms):
        return None
    surplus_voters = [voter for voter in current.voters if voter.vm not in current.vms]
    surplus_voters.sort(
        key=lambda voter: (voter == view.leader, voter in view.live_members)
    )
    return _without_member(current, surplus_voters[0]) if surplus_voters else None


def _without_member(current: Configuration, replica: ReplicaId) -> Configuration:
    return current._replace(
        voters=tuple(voter for voter in current.voters if voter != replica),
        learners=tuple(learner for learner in current.learners if learner != replica),
    )
