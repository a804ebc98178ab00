"""Votes granted to a candidate."""

from __future__ import annotations

from kumquatmux_agreement.entries import Configuration, ReplicaId


class Election:
    """Votes granted to a candidate in one term.

    Attributes:
        term: Term of the election.
        is_pre_vote: Whether this is a pre-vote, which does not bind the voters.
        granted_by: Replicas that granted their vote.
    """

    def __init__(self, term: int, *, is_pre_vote: bool) -> None:
        self.term = term
        self.is_pre_vote = is_pre_vote
        self.granted_by: set[ReplicaId] = set()

    def is_won(self, configuration: Configuration) -> bool:
        """Return whether a quorum of voters has granted its vote."""
        votes = [voter for voter in configuration.voters if voter in self.granted_by]
        return len(votes) >= configuration.quorum
