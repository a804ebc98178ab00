"""Run times of earlier work, which predict whether a caller's next work is long."""

from __future__ import annotations

from collections import OrderedDict

from kumquatmux_placement.events import SizeClass, Work
from kumquatmux_placement.settings import PlacementSettings

PREVIOUS_SHARE_WEIGHT = 0.7
LONG_SHARE_THRESHOLD = 0.5


class RunTimeHistory:
    """Run-time statistics of answered work of one service, in bounded memory.

    Attributes:
        settings: Placement settings.
        long_share_by_caller: Moving share of long work; least recently updated
            caller first.
        mean_short_run_s: Moving mean run time of short work, in seconds; 0 before the
            first.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.long_share_by_caller: OrderedDict[str, float] = OrderedDict()
        self.mean_short_run_s = 0.0

    def expected_class(self, work: Work) -> SizeClass:
        """Return the class stated by the work, or the one predicted from its caller."""
        if work.size is not SizeClass.UNKNOWN:
            return work.size
        share = self.long_share_by_caller.get(work.caller)
        if share is None:
            return SizeClass.UNKNOWN
        return SizeClass.LONG if share >= LONG_SHARE_THRESHOLD else SizeClass.SHORT

    def record_run_time(self, caller: str, run_s: float) -> None:
        """Record the run time of an answered work item, in seconds."""
        is_long = run_s * 1000.0 >= self.settings.long_ms
        if not is_long:
            self.mean_short_run_s += (run_s - self.mean_short_run_s) * (
                0.1 if self.mean_short_run_s else 1.0
            )
        if not caller:
            return
        previous_share = self.long_share_by_caller.pop(caller, float(is_long))
        self.long_share_by_caller[caller] = (
            previous_share * PREVIOUS_SHARE_WEIGHT
            + float(is_long) * (1.0 - PREVIOUS_SHARE_WEIGHT)
        )
        if len(self.long_share_by_caller) > self.settings.history_caller_limit:
            self.long_share_by_caller.popitem(last=False)
