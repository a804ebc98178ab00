"""Rewrites planned once for each pair of service and backend server."""

from __future__ import annotations

from kumquatmux_core.identity import Address
from kumquatmux_packets.rewriting import Rewrite, plan_rewrite

PLANS_LIMIT = 200_000


class Rewrites:
    """A bounded memory of rewrite plans, by old and new address."""

    def __init__(self) -> None:
        self.plans: dict[bytes, Rewrite] = {}

    def plan(self, old: Address, new: Address) -> Rewrite:
        """Return the rewrite from one address to another."""
        key = old + new
        plan = self.plans.get(key)
        if plan is None:
            if len(self.plans) >= PLANS_LIMIT:
                self.plans.clear()
            plan = plan_rewrite(old, new)
            self.plans[key] = plan
        return plan
