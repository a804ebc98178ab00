"""A budget that keeps retries a small share of first attempts."""

from __future__ import annotations

from kumquatmux_placement.settings import PlacementSettings


class RetryBudget:
    """Token bucket filled by first attempts and emptied by retries."""

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.tokens = float(settings.retry_burst)

    def record_first_attempt(self) -> None:
        """Count one first attempt."""
        self.tokens = min(
            self.tokens + self.settings.retry_ratio,
            float(self.settings.retry_burst),
        )

    def try_take_token(self) -> bool:
        """Take a token for one retry; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
