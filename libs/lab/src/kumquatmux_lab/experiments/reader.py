"""Reads experiment files and gathers all that is wrong in one."""

from __future__ import annotations

import ipaddress
import tomllib
from collections.abc import Callable
from typing import Any, TypeVar

from expression import Error, Ok, Result

from kumquatmux_core.identity import Endpoint, ServiceName, ZoneName
from kumquatmux_core.problems import Problem
from kumquatmux_lab.experiments.plan import (
    ACTIONS,
    ArrivalPlan,
    ExperimentPlan,
    FaultPlan,
    RatePoint,
    ServicePlan,
)

DEFAULT_NETWORK = "127.86.0"
LONGEST_S = 300.0
MAX_VMS_PER_ZONE = 20
MAX_SERVERS = 200
MAX_CONTROLS = 9
MISSING: Any = object()

Item = TypeVar("Item")


class Table:
    """One table of the file; every fault found goes to a shared list.

    Args:
        data: The table as it was read.
        path: Where it is in the file.
        problems: Gets the faults.
    """

    def __init__(self, data: object, path: str, problems: list[Problem]) -> None:
        self.path = path
        self.problems = problems
        self.data = data if isinstance(data, dict) else {}
        self.seen: set[str] = set()
        if not isinstance(data, dict):
            self.blame("", "must be a table")

    def blame(self, key: str, detail: str) -> None:
        """Note a fault of a key."""
        subject = f"{self.path}.{key}".strip(".")
        self.problems.append(Problem("bad-experiment", detail, subject))

    def text(self, key: str, default: Any = MISSING) -> str:
        """Return a text that is not empty."""
        value = self._take(key, default)
        if isinstance(value, str) and (value or default == ""):
            return value
        return self._refuse(key, value, "must be a text", "")

    def whole(self, key: str, least: int, most: int, default: Any = MISSING) -> int:
        """Return a whole number."""
        value = self._take(key, default)
        if type(value) is int and least <= value <= most:
            return value
        wanted = f"must be a whole number from {least} to {most}"
        return self._refuse(key, value, wanted, least)

    def number(self, key: str, most: float, default: Any = MISSING) -> float:
        """Return a number that is not negative."""
        value = self._take(key, default)
        if type(value) in (int, float) and 0 <= value <= most:
            return float(value)
        return self._refuse(key, value, f"must be a number from 0 to {most:g}", 0.0)

    def values(self, key: str, default: Any = MISSING) -> list[Any]:
        """Return an array."""
        value = self._take(key, default)
        if isinstance(value, list):
            return value
        return self._refuse(key, value, "must be an array", [])

    def tables(
        self, key: str, read: Callable[[Table], Item], default: Any = MISSING
    ) -> tuple[Item, ...]:
        """Return what a reader makes of each table of an array."""
        found: list[Item] = []
        for number, data in enumerate(self.values(key, default)):
            table = Table(
                data, f"{self.path}.{key}[{number}]".strip("."), self.problems
            )
            found.append(read(table))
            table.close()
        return tuple(found)

    def close(self) -> None:
        """Blame the keys that nobody asked for."""
        for key in sorted(set(self.data) - self.seen):
            self.blame(key, "is not a key of this table")

    def _take(self, key: str, default: Any) -> Any:
        self.seen.add(key)
        return self.data.get(key, default)

    def _refuse(self, key: str, value: Any, wanted: str, instead: Any) -> Any:
        self.blame(key, "is missing" if value is MISSING else wanted)
        return instead


def read_experiment(text: str) -> Result[ExperimentPlan, list[Problem]]:
    """Return the experiment a file describes, or all its faults."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error([Problem("bad-toml", str(error))])
    problems: list[Problem] = []
    table = Table(data, "", problems)
    plan = ExperimentPlan(
        name=table.text("name"),
        seed=table.whole("seed", 0, 2**32),
        duration_s=table.number("duration_s", LONGEST_S),
        settle_s=table.number("settle_s", LONGEST_S, 3.0),
        zones=tuple(ZoneName(str(zone)) for zone in table.values("zones")),
        entries_per_zone=table.whole("entries_per_zone", 1, MAX_VMS_PER_ZONE),
        controls=table.whole("controls", 1, MAX_CONTROLS),
        services=table.tables("services", _service),
        arrivals=table.tables("arrivals", _arrival),
        faults=table.tables("faults", _fault, []),
        network=table.text("network", DEFAULT_NETWORK),
    )
    table.close()
    if not problems:
        _check(plan, table)
    return Error(problems) if problems else Ok(plan)


def _service(table: Table) -> ServicePlan:
    return ServicePlan(
        name=ServiceName(table.text("name")),
        address=_endpoint(table, "address"),
        servers=table.whole("servers", 1, MAX_SERVERS),
        slots=table.whole("slots", 1, MAX_SERVERS),
    )


def _endpoint(table: Table, key: str) -> Endpoint:
    text = table.text(key)
    ip, _, port = text.rpartition(":")
    try:
        number = int(port)
        loopback = ipaddress.IPv4Address(ip).is_loopback
    except ValueError:
        number, loopback = 0, False
    if text and not (loopback and 0 < number < 2**16):
        table.blame(key, "must be ip:port within 127.0.0.0/8")
    return Endpoint(ip, number)


def _arrival(table: Table) -> ArrivalPlan:
    return ArrivalPlan(
        name=table.text("name"),
        service=ServiceName(table.text("service")),
        work_ms=table.whole("work_ms", 1, 60_000),
        reply_bytes=table.whole("reply_bytes", 0, 10_000_000, 0),
        rate=_rate(table),
        feeds=table.whole("feeds", 0, 100_000, 0),
        long_share=table.number("long_share", 1.0, 0.0),
        long_factor=table.whole("long_factor", 1, 10_000, 1),
    )


def _rate(table: Table) -> tuple[RatePoint, ...]:
    points: list[RatePoint] = []
    for value in table.values("rate", []):
        if not _is_pair(value):
            table.blame("rate", "must be an array of [second, per_second]")
            return ()
        points.append(RatePoint(float(value[0]), float(value[1])))
    if points != sorted(points):
        table.blame("rate", "must have the earliest second first")
    return tuple(points)


def _is_pair(value: object) -> bool:
    if not isinstance(value, list) or len(value) != 2:
        return False
    return all(type(part) in (int, float) and part >= 0 for part in value)


def _fault(table: Table) -> FaultPlan:
    fault = FaultPlan(
        at_s=table.number("at_s", LONGEST_S),
        action=table.text("action"),
        target=table.text("target"),
        value=table.text("value", ""),
        number=table.whole("number", 0, MAX_SERVERS, 0),
    )
    if fault.action and fault.action not in ACTIONS:
        table.blame("action", f"must be one of {', '.join(ACTIONS)}")
    if fault.action == "set" and not fault.value:
        table.blame("value", "is missing")
    return fault


def _check(plan: ExperimentPlan, table: Table) -> None:
    """Blame what does not fit together."""
    if not plan.zones:
        table.blame("zones", "must name a zone")
    try:
        local = ipaddress.IPv4Address(f"{plan.network}.1").is_loopback
    except ValueError:
        local = False
    if not local:
        table.blame("network", "must be three numbers within 127.0.0.0/8")
    servers = {service.name: service.servers for service in plan.services}
    for at, arrival in enumerate(plan.arrivals):
        if arrival.service not in servers:
            table.blame(f"arrivals[{at}].service", "is not a service of this file")
        if bool(arrival.rate) == bool(arrival.feeds):
            table.blame(f"arrivals[{at}].rate", "give either rate or feeds")
    vms = _entry_names(plan)
    for at, fault in enumerate(plan.faults):
        if fault.at_s >= plan.duration_s:
            table.blame(f"faults[{at}].at_s", "is after duration_s")
        if fault.action in ("kill", "stop") and fault.target not in vms:
            table.blame(f"faults[{at}].target", "is not an entry VM of this file")
        if fault.action != "drain":
            continue
        if fault.target not in servers:
            table.blame(f"faults[{at}].target", "is not a service of this file")
        elif fault.number >= servers[ServiceName(fault.target)]:
            table.blame(f"faults[{at}].number", "there are fewer backend servers")


def _entry_names(plan: ExperimentPlan) -> set[str]:
    numbers = range(1, plan.entries_per_zone + 1)
    return {f"{zone}-{number}" for zone in plan.zones for number in numbers}
