"""Inheritance in the settings tree: which value is in force where."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import Any, NamedTuple, TypeVar

from expression import Error, Ok, Result

from kumquatmux_core.identity import Endpoint, ServiceName, ZoneName
from kumquatmux_core.problems import Problem
from kumquatmux_core.segments import PROTOCOL_TCP, PROTOCOL_UDP
from kumquatmux_settings.change import Edit
from kumquatmux_settings.options import check, default_of
from kumquatmux_settings.paths import Place, parse_path
from kumquatmux_settings.schema import SECTION_BY_NAME, SERVICE, ZONE

Values = Mapping[str, str]
"""JSON text by dotted key, as the replicated log holds it."""

BUILT_IN = "built-in"
PREFIXES_KEPT = 1024
PROTOCOL_NUMBERS = {"tcp": PROTOCOL_TCP, "udp": PROTOCOL_UDP}

Settings = TypeVar("Settings", bound=tuple)


class Level(NamedTuple):
    """What one level of the tree says about an option.

    Attributes:
        path: Key at this level, or ``built-in``.
        value: JSON text set there, None if nothing is set.
        wins: Whether this is the value in force.
    """

    path: str
    value: str | None
    wins: bool


class Explanation(NamedTuple):
    """An option's value in force and the levels it could come from.

    Attributes:
        option: ``section.option``.
        zone: Availability zone asked about; empty for none.
        service: Service asked about; empty for none.
        value: JSON text in force.
        source: Key of the level that gave it, or ``built-in``.
        levels: Every level, the nearest first.
    """

    option: str
    zone: str
    service: str
    value: str
    source: str
    levels: tuple[Level, ...]


class Service(NamedTuple):
    """A service as the tree declares it.

    Attributes:
        service: Its name.
        address: Where callers reach it.
        protocol: IP protocol number.
        announce_token_hashes: SHA-256 of the tokens its servers announce with.
        zones: Zones its servers may announce in; empty for all.
        is_open: Whether it takes new flows.
    """

    service: ServiceName
    address: Endpoint
    protocol: int
    announce_token_hashes: tuple[str, ...]
    zones: tuple[ZoneName, ...]
    is_open: bool


class TrafficRules(NamedTuple):
    """Where new flows of a service that arrive in a zone may go.

    Attributes:
        server_zones: Zones whose servers may be used; empty for all.
        callers: IPv4 networks whose callers are served.
    """

    server_zones: tuple[ZoneName, ...]
    callers: tuple[str, ...]


def read_value(place: Place, text: str) -> Result[Any, Problem]:
    """Return a JSON text as the type of its option, or why it is refused."""
    try:
        raw = json.loads(text)
    except ValueError:
        return Error(Problem("value", f"{text} is not JSON", place.path))
    checked = check(place.option, raw)
    if checked.is_error():
        return Error(Problem("value", f"{text} {checked.error}", place.path))
    return Ok(checked.ok)


def levels_of(
    section: str, name: str, zone: str = "", service: str = ""
) -> list[Place]:
    """Return the places an option can be set for a zone and service, nearest first."""
    if section == ZONE.name:
        return [Place(zone, "", section, name)]
    if section == SERVICE.name:
        return [Place("", service, section, name)]
    pairs = [(zone, service), ("", service), (zone, ""), ("", "")]
    by_service = SECTION_BY_NAME[section].by_service
    kept = dict.fromkeys((z, s if by_service else "") for z, s in pairs)
    return [Place(z, s, section, name) for z, s in kept]


def value_in_force(
    values: Values, section: str, name: str, zone: str = "", service: str = ""
) -> Any:
    """Return an option's value for a zone and service, as its Python type.

    Args:
        values: A tree that ``validate`` has accepted.
        section: Section of the option.
        name: Name of the option.
        zone: Availability zone; empty for none.
        service: Service; empty for none.
    """
    option = SECTION_BY_NAME[section].option(name)
    for prefix in _prefixes(section, zone, service):
        text = values.get(prefix + name)
        if text is not None:
            return check(option, json.loads(text)).default_with(_broken)
    return default_of(option)


def explain(
    values: Values, option: str, zone: str = "", service: str = ""
) -> Result[Explanation, Problem]:
    """Tell an option's value in force and which level gave it.

    Args:
        values: The tree.
        option: ``section.option``, or a full key, which names zone and service too.
        zone: Availability zone; empty for none.
        service: Service; empty for none.
    """
    parsed = parse_path(option)
    if parsed.is_error():
        parsed = parse_path(f"defaults.{option}")
    if parsed.is_error():
        return Error(parsed.error._replace(subject=option))
    place = parsed.ok
    zone, service = zone or place.zone, service or place.service
    levels = []
    source, value = "", ""
    for each in levels_of(place.section, place.name, zone, service):
        text = values.get(each.path)
        wins = text is not None and not source
        if wins:
            source, value = each.path, str(text)
        levels.append(Level(each.path, text, wins))
    built_in = json.dumps(place.option.default)
    levels.append(Level(BUILT_IN, built_in, not source))
    return Ok(
        Explanation(
            place.tail,
            zone,
            service,
            value or built_in,
            source or BUILT_IN,
            tuple(levels),
        )
    )


def resolve(
    values: Values,
    section: str,
    base: Settings,
    zone: str = "",
    service: str = "",
) -> Settings:
    """Return one section's values in force as an engine's settings.

    Args:
        values: A tree that ``validate`` has accepted.
        section: Section of the tree.
        base: Settings of the engine, a ``NamedTuple``; fields that the section does
            not have are kept as they are.
        zone: Availability zone; empty for none.
        service: Service; empty for none.
    """
    settings: Any = base
    found = {
        option.name: value_in_force(values, section, option.name, zone, service)
        for option in SECTION_BY_NAME[section].options
        if option.name in settings._fields
    }
    return settings._replace(**found)


def zones(values: Values) -> tuple[ZoneName, ...]:
    """Return the declared availability zones."""
    return tuple(ZoneName(name) for name in _declared(values, "zones", "region"))


def service_names(values: Values) -> list[str]:
    """Return the names of the declared services, sorted."""
    return _declared(values, "services", "address")


def service_of(values: Values, name: str) -> Service | None:
    """Return one declared service, None if it is not declared."""
    if f"services.{name}.address" not in values:
        return None
    return _service(values, name)


def services(values: Values) -> tuple[Service, ...]:
    """Return the declared services."""
    return tuple(_service(values, name) for name in service_names(values))


def traffic_rules(values: Values, zone: str, service: str) -> TrafficRules:
    """Return the traffic rules for a service's flows that arrive in a zone."""
    return resolve(values, "traffic", TrafficRules((), ()), zone, service)


def affected_services(edits: Iterable[Edit]) -> frozenset[str] | None:
    """Return the services whose settings some edits may change, None for all."""
    names = set()
    for edit in edits:
        place = parse_path(edit.path)
        if place.is_error() or not place.ok.service:
            return None
        names.add(place.ok.service)
    return frozenset(names)


def _service(values: Values, name: str) -> Service:
    def own(option: str) -> Any:
        return value_in_force(values, SERVICE.name, option, service=name)

    return Service(
        service=ServiceName(name),
        address=own("address"),
        protocol=PROTOCOL_NUMBERS[own("protocol")],
        announce_token_hashes=own("announce_token_hashes"),
        zones=own("zones"),
        is_open=own("admission") == "open",
    )


def _declared(values: Values, kind: str, declaring: str) -> list[str]:
    head, tail = f"{kind}.", f".{declaring}"
    names = (
        path[len(head) : -len(tail)]
        for path in values
        if path.endswith(tail) and path.startswith(head)
    )
    return sorted(name for name in names if name and "." not in name)


@lru_cache(maxsize=PREFIXES_KEPT)
def _prefixes(section: str, zone: str, service: str) -> tuple[str, ...]:
    """Return what stands before an option's name at each level, nearest first."""
    places = levels_of(section, "", zone, service)
    return tuple(place.path for place in places)


def _broken(reason: str) -> Any:
    raise AssertionError(f"an accepted tree holds a value that {reason}")
