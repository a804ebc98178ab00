"""Votes for one candidate, on trial or in earnest."""

from __future__ import annotations

from kumquatmux_agreement.entries import Configuration, ReplicaId


class Election:
    """The votes a candidate has gathered in one term.

    Attributes:
        term: The term it stands in.
        is_trial: Whether this is the pre-vote.
        granted: Who granted a vote.
    """

    def __init__(self, term: int, *, is_pre_vote: bool) -> None:
        self.term = term
        self.is_pre_vote = is_pre_vote
        self.granted_by: set[ReplicaId] = set()

    def is_won(self, configuration: Configuration) -> bool:
        """Return whether a quorum of voters has granted."""
        votes = [voter for voter in configuration.voters if voter in self.granted_by]
        return len(votes) >= configuration.quorum
