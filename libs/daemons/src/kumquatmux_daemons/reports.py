"""Messages between control and entry VMs that serve the operators."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import ServerId, ServiceName, VmId, ZoneName


class ReportRequest(NamedTuple):
    """Ask a VM how it is.

    Attributes:
        sender: Who asks.
        number: Echoed by the answer.
    """

    sender: VmId
    number: int


class ServerReport(NamedTuple):
    """A backend server as one VM sees it.

    Attributes:
        server: Its name, ``ip:port``.
        service: The service it serves.
        zone: Its availability zone.
        state: ``ready``, ``draining``, ``stale`` or ``left``.
        slots: Slots it announced.
        busy: Slots in use, -1 if unknown.
        connections: Connections it announced.
        open: Flows open to it, -1 if unknown.
        is_holder: Whether the reporting VM holds its lease.
    """

    server: ServerId
    service: ServiceName
    zone: ZoneName
    state: str
    slots: int
    busy: int
    connections: int
    open: int
    is_holder: bool = False


class VmReport(NamedTuple):
    """How an entry VM is.

    Attributes:
        sender: The VM.
        number: Number of the request.
        zone: Its availability zone.
        revision: Settings revision in force on it.
        staleness_ms: Time since that was confirmed as the newest, -1 for never.
        flows: Flows it owns.
        refused: New flows it refused since its start.
        live: Entry VMs it reaches, itself included.
        failures: Its last failures, one line each, newest first.
        servers: Backend servers it knows.
    """

    sender: VmId
    number: int
    zone: ZoneName
    revision: int
    staleness_ms: int
    flows: int
    refused: int
    live: tuple[VmId, ...]
    failures: tuple[str, ...]
    servers: tuple[ServerReport, ...]


class DrainRequest(NamedTuple):
    """Ask the holder of a backend server's lease to drain it.

    Attributes:
        sender: Who asks.
        number: Echoed by the answer.
        server: Which server.
        operator: Who wants it, for the log.
    """

    sender: VmId
    number: int
    server: ServerId
    operator: str


class DrainAnswer(NamedTuple):
    """Whether a VM holds the lease and has set it to draining.

    Attributes:
        sender: The VM.
        number: Number of the request.
        is_holder: Whether it holds the lease; the server now drains if so.
    """

    sender: VmId
    number: int
    is_holder: bool


MESSAGE_TYPES: dict[int, type] = {
    0x0411: ReportRequest,
    0x0412: VmReport,
    0x0413: DrainRequest,
    0x0414: DrainAnswer,
}
