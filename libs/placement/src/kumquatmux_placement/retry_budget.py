"""Budget that limits retries to a small share of first attempts."""

from __future__ import annotations

from kumquatmux_placement.settings import PlacementSettings


class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Attributes:
        settings: Placement settings.
        tokens: Number of retries allowed now.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.tokens = float(settings.retry_burst)

    def record_first_attempt(self) -> None:
        """Add ``retry_ratio`` tokens, up to ``retry_burst`` in total."""
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
