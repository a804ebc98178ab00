"""One entry VM is stopped and started while callers keep flows open for over 20 s.

When the flows open, a zone's links lose packets for 5.5 s, so that some servers' first
answers to a SYN are lost and come again later, when the flow is open at another server.
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
    plan = feeds.Plan(
        flows=450,
        begin_s=3.0,
        pauses_s=(8.5, 14.0),
        rolled=("edge-cnx-a-1",),
        roll_at_s=20.8,
    )
    if not standin.has_trouble():
        plan = plan._replace(loss=0.0, rolled=())
    return await feeds.play(site, plan)


if __name__ == "__main__":
    standin.play(case, HERE)
