"""Counters of one entry VM, sent to statsd in one datagram a period."""

from __future__ import annotations

from collections import Counter

import statsd
import trio

from kumquatmux_core.identity import Endpoint, VmId

PERIOD_S = 5.0


class Metrics:
    """Sends how much each counter has grown since the last period."""

    def __init__(self, endpoint: Endpoint, vm: VmId) -> None:
        self.client = statsd.StatsClient(
            endpoint.ip, endpoint.port, prefix=f"kumquatmux.{vm}"
        )
        self.sent: Counter[str] = Counter()

    def send(self, counts: Counter[str], gauges: dict[str, float]) -> None:
        """Send counters and gauges."""
        with self.client.pipeline() as pipeline:
            for name, value in sorted(counts.items()):
                pipeline.incr(name, value - self.sent[name])
            for name, gauge in sorted(gauges.items()):
                pipeline.gauge(name, gauge)
        self.sent = counts.copy()


async def every_period() -> None:
    """Wait until counters are next due."""
    await trio.sleep(PERIOD_S)
