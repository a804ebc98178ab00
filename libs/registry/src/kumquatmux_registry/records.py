"""Registry records of backend servers."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import xxhash

from kumquatmux_core.addresses import MAX_PORT
from kumquatmux_core.identity import Endpoint, ServiceName, VmId, ZoneName

TEXT_BYTES = 255
"""Longest name, service, zone, version or holder in a record."""

LARGEST_COUNT = 2**53 - 1
"""Largest time of birth, report number or count of doubts."""

LARGEST_SLOTS = 1_000_000
LONGEST_WARM_UP_S = 86_400.0


class Phase(IntEnum):
    """Lifecycle phase of a backend server."""

    READY = 0
    DRAINING = 1
    ENDED = 2


class Lifetime(NamedTuple):
    """One run of a backend server, from one start to the next.

    A restarted server keeps no state of its previous lifetime.

    Attributes:
        name: Name of the server; a later lifetime may reuse it.
        born_ms: Start time in Unix milliseconds, by the server's own clock.
    """

    name: str
    born_ms: int

    def __str__(self) -> str:
        """Return ``name@born_ms``."""
        return f"{self.name}@{self.born_ms}"

    @property
    def token(self) -> int:
        """32-bit token that identifies this lifetime in a packet; never 0."""
        digest = xxhash.xxh3_64_intdigest(str(self).encode())
        return digest & 0xFFFFFFFF or 1


class Report(NamedTuple):
    """Status report that a backend server sends about itself.

    Attributes:
        lifetime: Lifetime of the server that sends the report.
        number: Sequence number; increases with each report of a lifetime.
        service: Service that the server provides.
        endpoint: Address and port at which the server receives packets.
        zone: Availability zone of the server.
        version: Version of the server's software.
        slots: Number of requests that the server processes at the same time.
        phase: ``READY`` or ``DRAINING`` when reported by the server. The registry sets
            ``ENDED`` when the lifetime is over.
        warm_up_s: Remaining seconds of the warm-up during which the server is slow.
    """

    lifetime: Lifetime
    number: int
    service: ServiceName
    endpoint: Endpoint
    zone: ZoneName
    version: str
    slots: int
    phase: Phase
    warm_up_s: float


class ServerRecord(NamedTuple):
    """Latest report of a server and the control VM that holds its lease.

    Attributes:
        report: The latest report.
        holder: Control VM that received the latest report from the server.
        doubts: Suspicion counter. Incremented when a control VM suspects that the
            server has failed and again when the holder refutes the suspicion, so an
            odd value means that the server is suspected.
    """

    report: Report
    holder: VmId
    doubts: int = 0

    @property
    def is_late(self) -> bool:
        """Whether the server is suspected because its reports stopped arriving."""
        return self.doubts % 2 == 1

    @property
    def is_unused(self) -> bool:
        """Whether the server gets no new flows, as it is late or has ended."""
        return self.is_late or self.report.phase == Phase.ENDED

    @property
    def sort_key(self) -> tuple[int, int, bool, int]:
        """Sort key for records of one server name; the highest rank is the newest."""
        report = self.report
        is_ended = report.phase == Phase.ENDED
        return (report.lifetime.born_ms, report.number, is_ended, self.doubts)

    def with_suspicion_toggled(self) -> ServerRecord:
        """Return a copy that suspects the server, or refutes the current suspicion."""
        return self._replace(doubts=self.doubts + 1)

    @property
    def token(self) -> int:
        """Token of the server lifetime."""
        return self.report.lifetime.token


def problem_of(record: ServerRecord) -> str:
    """Return why a record cannot be stored, sent and logged, empty if it can.

    Bounds each record, so that a page of the feed and the file of servers are bounded.
    """
    report = record.report
    lifetime = report.lifetime
    texts = (
        lifetime.name,
        report.service,
        report.zone,
        report.version,
        report.endpoint.ip,
        record.holder,
    )
    counts = (lifetime.born_ms, report.number, record.doubts)
    if not all(_is_short(text) for text in texts):
        return "a text is too long, or cannot be printed"
    if not all(0 <= count <= LARGEST_COUNT for count in counts):
        return "a number is out of range"
    if not 0 < report.slots <= LARGEST_SLOTS:
        return "the number of slots is out of range"
    if not 0 <= report.warm_up_s <= LONGEST_WARM_UP_S:
        return "the warm-up is out of range"
    if not 0 < report.endpoint.port <= MAX_PORT:
        return "the port is out of range"
    return ""


def _is_short(text: str) -> bool:
    is_short = len(text) <= TEXT_BYTES and text.isprintable()
    return is_short and len(text.encode()) <= TEXT_BYTES
