"""Flows opened at a steady rate over the stand-in fabric, and what became of them."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

import trio
from hdrh.histogram import HdrHistogram

from kumquatmux_core.identity import Endpoint, ServiceName
from kumquatmux_lab.standin.caller import Fate, StandInCaller
from kumquatmux_lab.standin.fabric import Fabric
from kumquatmux_lab.standin.work import Request

FIRST_PORT = 10_000
LAST_PORT = 60_000
LONGEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3


class LoadKind(NamedTuple):
    """One kind of flow.

    Attributes:
        name: What the table calls it.
        service: The service it is for.
        address: Where callers reach the service.
        per_second: New flows a second; for feeds, all are opened at once.
        work_ms: How long a server works on it, or the time between a feed's lines.
        reply_bytes: Length of the reply body.
        feeds: How many feeds are held open; 0 for requests.
        long_share: Share of requests that run ``long_factor`` times longer.
        long_factor: How many times longer they run.
    """

    name: str
    service: ServiceName
    address: Endpoint
    per_second: float
    work_ms: int
    reply_bytes: int
    feeds: int = 0
    long_share: float = 0.0
    long_factor: int = 1


class LoadRow(NamedTuple):
    """What became of one kind of flow; times in milliseconds from SYN to first byte."""

    name: str
    opened: int
    whole: int
    broken: int
    misrouted: int
    refused: int
    still_open: int
    p50_ms: float
    p99_ms: float


class Load:
    """Opens flows of several kinds from callers with addresses of their own."""

    def __init__(self, fabric: Fabric, callers_net: str, seed: int) -> None:
        self.fabric = fabric
        self.random = random.Random(seed)
        self.net = callers_net
        self.opened = 0
        self.callers: dict[str, list[StandInCaller]] = {}

    async def run(self, kind: LoadKind, until: float) -> None:
        """Open flows of one kind until a time, then end its feeds."""
        for _ in range(kind.feeds):
            self.open(kind)
        while trio.current_time() < until:
            if kind.feeds:
                await trio.sleep_until(until)
                break
            self.open(kind)
            await trio.sleep(self.random.expovariate(kind.per_second))
        if kind.feeds:
            self.stop(kind)

    def open(self, kind: LoadKind) -> StandInCaller:
        """Open one flow."""
        now = trio.current_time()
        self.opened += 1
        is_long = self.random.random() < kind.long_share
        work_ms = kind.work_ms * (kind.long_factor if is_long else 1)
        request = Request(
            request_id=self.opened,
            service=kind.service,
            work_ms=work_ms,
            reply_bytes=kind.reply_bytes,
            feed=bool(kind.feeds),
        )
        isn = self.random.getrandbits(32)
        caller = StandInCaller(self.endpoint(), kind.address, request, isn, now)
        self.callers.setdefault(kind.name, []).append(caller)
        self.fabric.add_caller(caller)
        return caller

    def endpoint(self) -> Endpoint:
        """Return the next caller's address; each one is used once."""
        ports = LAST_PORT - FIRST_PORT
        host, port = divmod(self.opened, ports)
        return Endpoint(f"{self.net}.{host + 1}", FIRST_PORT + port)

    def stop(self, kind: LoadKind) -> None:
        """End the feeds of one kind in an orderly way."""
        for caller in self.callers.get(kind.name, []):
            caller.stop(trio.current_time())

    def rows(self) -> list[LoadRow]:
        """Return what became of every kind."""
        return [summarize(name, callers) for name, callers in self.callers.items()]


def summarize(name: str, callers: Iterable[StandInCaller]) -> LoadRow:
    """Return what became of some flows."""
    callers = list(callers)
    fates = [caller.fate for caller in callers]
    times = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
    for caller in callers:
        if caller.first_byte is not None:
            times.record_value(int((caller.first_byte - caller.started) * 1e6))
    return LoadRow(
        name=name,
        opened=len(callers),
        whole=fates.count(Fate.WHOLE),
        broken=fates.count(Fate.BROKEN),
        misrouted=fates.count(Fate.MISROUTED),
        refused=fates.count(Fate.REFUSED),
        still_open=fates.count(Fate.OPEN),
        p50_ms=times.get_value_at_percentile(50) / 1e3,
        p99_ms=times.get_value_at_percentile(99) / 1e3,
    )


def format_rows(rows: Iterable[LoadRow]) -> str:
    """Return rows as a table for people."""
    heads = ("kind", "opened", "whole", "broken", "misrouted", "refused")
    times = ("open", "p50 ms", "p99 ms")
    lines = ["{:<22}{:>8}{:>8}{:>8}{:>10}{:>9}{:>6}{:>9}{:>9}".format(*heads, *times)]
    for row in rows:
        lines.append(
            f"{row.name:<22}{row.opened:>8}{row.whole:>8}{row.broken:>8}"
            f"{row.misrouted:>10}{row.refused:>9}{row.still_open:>6}"
            f"{row.p50_ms:>9.1f}{row.p99_ms:>9.1f}"
        )
    return "\n".join(lines)
