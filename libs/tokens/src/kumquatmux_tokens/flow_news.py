"""News of flows whose callers may carry another server's token."""

from __future__ import annotations

from itertools import islice
from typing import NamedTuple

from kumquatmux_tokens.questions import FlowOpened
from kumquatmux_tokens.sequences import is_near
from kumquatmux_tokens.settings import TokenRouterSettings


class TimedNews(NamedTuple):
    """News of one flow, and when it came in monotonic seconds."""

    opened: FlowOpened
    told_at: float


class FlowNews:
    """Servers of flows, as other VMs of the zone saw them.

    Attributes:
        by_flow: Latest news by flow key, oldest first.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.by_flow: dict[bytes, TimedNews] = {}

    def record(self, opened: FlowOpened, now: float) -> None:
        """Record where a VM saw a flow open, if there is room."""
        self.by_flow.pop(opened.flow_key, None)
        if len(self.by_flow) < self.settings.flow_news_limit:
            self.by_flow[opened.flow_key] = TimedNews(opened, now)

    def token_of(self, flow_key: bytes, sequence_number: int) -> int:
        """Return the token of the server that a flow is open at, 0 if it is not known.

        Args:
            flow_key: Key of the flow.
            sequence_number: Sequence number of one of its packets, which tells it from
                a flow that the caller had before on the same port.
        """
        news = self.by_flow.get(flow_key)
        if news is None or not is_near(news.opened.sequence_number, sequence_number):
            return 0
        return news.opened.token

    def latest(self, limit: int) -> list[FlowOpened]:
        """Return the latest news, latest first, of so many flows at most."""
        return [one.opened for one in islice(reversed(self.by_flow.values()), limit)]

    def remove_expired(self, now: float) -> None:
        """Remove news of flows that have been idle for too long since."""
        limit = now - self.settings.flow_news_validity_s
        for flow_key, news in list(self.by_flow.items()):
            if news.told_at > limit:
                return
            del self.by_flow[flow_key]
