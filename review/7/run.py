"""Callers keep flows open and pause, for less than the manifest's idle time-out.

Before that, a zone's links lose packets for 5.5 s, so that some servers' first answers
to a SYN are lost and come again later, when the flow is open at another server.
"""

from __future__ import annotations

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2 import feeds  # noqa: E402
from standins2 import site as standin  # noqa: E402


async def case(site: standin.Site) -> list[str]:
    """Play the case; return a sentence for each break of the rule."""
    plan = feeds.Plan(pauses_s=(28.0,), idle_timeout_ms=40_000)
    if not standin.has_trouble():
        plan = plan._replace(loss=0.0)
    return await feeds.play(site, plan)


if __name__ == "__main__":
    standin.play(case, HERE)
