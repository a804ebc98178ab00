"""Containment of errors, so that one input spoils no other."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from kumquatmux_daemons.failures import log_contained
from kumquatmux_daemons.token_entry.effects import Effect


class Containment:
    """Runs work on one input each, whose errors are counted and logged.

    Attributes:
        counts: Where failures are counted, by subject.
    """

    def __init__(self, counts: Counter[str]) -> None:
        self.counts = counts

    def run(
        self, subject: str, work: Callable[..., list[Effect]], *given: Any
    ) -> list[Effect]:
        """Return what some work returns, nothing if it fails."""
        try:
            return work(*given)
        except Exception as error:
            self.counts[f"failed.{subject}"] += 1
            log_contained("input-failed", error, subject)
            return []
