"""What one experiment is made of."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import Endpoint, ServiceName, ZoneName

ACTIONS = ("kill", "stop", "drain", "set")


class ServicePlan(NamedTuple):
    """A service and its backend servers.

    Attributes:
        name: Its name.
        address: Where callers reach it.
        servers: Backend servers, spread over the zones.
        slots: Pieces of work each of them runs at once.
    """

    name: ServiceName
    address: Endpoint
    servers: int
    slots: int


class RatePoint(NamedTuple):
    """From when on flows arrive at a rate.

    Attributes:
        second: Seconds since the callers began.
        per_second: New flows a second.
    """

    second: float
    per_second: float


class ArrivalPlan(NamedTuple):
    """One kind of flow.

    Attributes:
        name: What tables call it.
        service: The service it is for.
        work_ms: How long a server works on it, or the time between a feed's lines.
        reply_bytes: Length of the reply body.
        rate: Arrivals over time, the earliest first; none for feeds.
        feeds: Feeds held open.
        long_share: Share of requests that run ``long_factor`` times longer.
        long_factor: How many times longer they run.
    """

    name: str
    service: ServiceName
    work_ms: int
    reply_bytes: int = 0
    rate: tuple[RatePoint, ...] = ()
    feeds: int = 0
    long_share: float = 0.0
    long_factor: int = 1


class FaultPlan(NamedTuple):
    """One disturbance.

    Attributes:
        at_s: Seconds since the callers began.
        action: ``kill`` or ``stop`` an entry VM, ``drain`` a server, ``set`` a value.
        target: Name of the VM, or of the service whose server drains, or setting path.
        value: New value of a setting, as JSON.
        number: Which backend server of the service drains, from 0.
    """

    at_s: float
    action: str
    target: str
    value: str = ""
    number: int = 0


class ExperimentPlan(NamedTuple):
    """One experiment.

    Attributes:
        name: Its name.
        seed: Seed of arrivals and of the fabric's spray.
        duration_s: Seconds in which flows arrive.
        settle_s: Seconds then left for the last replies.
        zones: Availability zones.
        entries_per_zone: Entry VMs in each.
        controls: Control VMs.
        services: Services.
        arrivals: Kinds of flows.
        faults: Disturbances.
        network: First three numbers of the daemons' addresses.
    """

    name: str
    seed: int
    duration_s: float
    settle_s: float
    zones: tuple[ZoneName, ...]
    entries_per_zone: int
    controls: int
    services: tuple[ServicePlan, ...]
    arrivals: tuple[ArrivalPlan, ...]
    faults: tuple[FaultPlan, ...]
    network: str
