"""What one seeded fault run found."""

from __future__ import annotations

from typing import NamedTuple


class RunReport(NamedTuple):
    """The outcome of one run.

    Attributes:
        seed: Seed that repeats the run.
        faults: How many faults of each kind were made.
        violations: Broken promises, one sentence each.
    """

    seed: int
    faults: dict[str, int]
    violations: tuple[str, ...]
