"""Errors that are returned as values, with a code and a message for operators."""

from __future__ import annotations

from typing import NamedTuple

DETAIL_CHARACTERS = 200
"""Longest detail that quotes what was received or what a library says of it."""


class Problem(NamedTuple):
    """An error or a refused request, returned as the error of a ``Result``.

    Attributes:
        code: Stable error code in kebab case, for programs.
        detail: Error message for people.
        subject: Key, file or name that the error concerns, or an empty string.
    """

    code: str
    detail: str
    subject: str = ""

    def __str__(self) -> str:
        """Format the problem as one line."""
        if self.subject:
            return f"{self.subject}: {self.detail} [{self.code}]"
        return f"{self.detail} [{self.code}]"
