"""What is known of one lifetime of a backend server."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import xxhash

from kumquatmux_core.identity import Endpoint, ServiceName, VmId, ZoneName


class Phase(IntEnum):
    """Where a backend server stands in its lifetime."""

    READY = 0
    DRAINING = 1
    ENDED = 2


class Lifetime(NamedTuple):
    """One start of a backend server, which knows nothing of the one before.

    Attributes:
        name: The name that the server goes by; a later start may use it again.
        born_ms: Time of its start, in Unix milliseconds by the server's own clock.
    """

    name: str
    born_ms: int

    def __str__(self) -> str:
        """Return ``name@born``."""
        return f"{self.name}@{self.born_ms}"

    @property
    def token(self) -> int:
        """32 bits that stand for this lifetime in a packet, never 0."""
        digest = xxhash.xxh3_64_intdigest(str(self).encode())
        return digest & 0xFFFFFFFF or 1


class Report(NamedTuple):
    """What a backend server says of itself.

    Attributes:
        lifetime: Which start of which server speaks.
        number: Grows with each report of a lifetime.
        service: The service it serves.
        endpoint: Where it takes packets.
        zone: Its availability zone.
        version: Version of its software.
        slots: Requests it works on at once.
        phase: ``READY`` or ``DRAINING``.
        warm_up_s: Seconds for which it is still slow after its start.
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
    """A report together with who answers for its freshness.

    Attributes:
        report: The latest report.
        holder: The control VM that heard the server last.
        doubts: Grows each time that a control VM doubts that the server is there,
            and each time that its holder refutes that.
    """

    report: Report
    holder: VmId
    doubts: int = 0

    @property
    def is_late(self) -> bool:
        """Whether its reports are missed: a doubt stands that nobody refuted."""
        return self.doubts % 2 == 1

    @property
    def rank(self) -> tuple[int, int, bool, int]:
        """What orders two records of one server name: the higher one holds."""
        report = self.report
        is_ended = report.phase == Phase.ENDED
        return (report.lifetime.born_ms, report.number, is_ended, self.doubts)

    def doubted(self) -> ServerRecord:
        """Return the record with one more doubt, or with the doubt refuted."""
        return self._replace(doubts=self.doubts + 1)

    @property
    def token(self) -> int:
        """The token of its lifetime."""
        return self.report.lifetime.token
