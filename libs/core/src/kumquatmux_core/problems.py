"""Errors as values: what went wrong, in words an operator can act on."""

from __future__ import annotations

from typing import NamedTuple


class Problem(NamedTuple):
    """One refusal or fault, carried in the error side of a ``Result``.

    Attributes:
        code: Stable identifier in kebab case, for programs.
        detail: One plain sentence, for people.
        subject: Key, file or name the problem is about; empty if none.
    """

    code: str
    detail: str
    subject: str = ""

    def __str__(self) -> str:
        """Return the problem as one line."""
        if self.subject:
            return f"{self.subject}: {self.detail} [{self.code}]"
        return f"{self.detail} [{self.code}]"
