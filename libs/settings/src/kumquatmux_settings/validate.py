"""Whether a whole tree may come into force."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import product
from typing import Any, NamedTuple

from kumquatmux_core.problems import Problem
from kumquatmux_settings.paths import Place, parse_path
from kumquatmux_settings.schema import ORDERED, SERVICE, Ordered
from kumquatmux_settings.tree import (
    Service,
    Values,
    read_value,
    services,
    value_in_force,
    zones,
)

ZONE_LISTS = frozenset({("service", "zones"), ("traffic", "server_zones")})


class _Item(NamedTuple):
    place: Place
    value: Any


def validate(values: Values, previous: Values | None = None) -> list[Problem]:
    """Return all that speaks against a tree; empty if it may come into force.

    Args:
        values: The whole tree as it would be.
        previous: The tree it replaces, None for none.

    Returns:
        Problems that name key, value and reason.
    """
    problems: list[Problem] = []
    items: list[_Item] = []
    for path in sorted(values):
        parsed = parse_path(path)
        if parsed.is_error():
            problems.append(parsed.error)
            continue
        read = read_value(parsed.ok, values[path])
        if read.is_error():
            problems.append(read.error)
            continue
        items.append(_Item(parsed.ok, read.ok))
    if problems:
        return problems
    problems.extend(_references(values, items))
    if problems:
        return problems
    problems.extend(_services(values))
    problems.extend(_order(values, items))
    problems.extend(_removals(values, previous or {}))
    return problems


def _references(values: Values, items: list[_Item]) -> Iterator[Problem]:
    """Refuse zones and services that nothing declares."""
    known_zones = set(zones(values))
    known_services = {service.service for service in services(values)}
    for place, value in items:
        if place.zone and place.zone not in known_zones:
            detail = f"zone {place.zone} has no region, so it is not declared"
            yield Problem("unknown-zone", detail, place.path)
        if place.service and place.service not in known_services:
            detail = f"service {place.service} has no address, so it is not declared"
            yield Problem("unknown-service", detail, place.path)
        if (place.section, place.name) in ZONE_LISTS:
            for zone in sorted(set(value) - known_zones):
                yield Problem("unknown-zone", f"zone {zone} is unknown", place.path)


def _services(values: Values) -> Iterator[Problem]:
    """Refuse a service without tokens and two services at one address."""
    owners: dict[tuple[Any, int], Service] = {}
    for service in services(values):
        path = f"services.{service.service}"
        if not service.announce_token_hashes:
            detail = "without a token nobody could announce a server for the service"
            yield Problem("token-missing", detail, f"{path}.announce_token_hashes")
        key = (service.address, service.protocol)
        other = owners.setdefault(key, service)
        if other is not service:
            detail = f"{service.address} already belongs to service {other.service}"
            yield Problem("address-shared", detail, f"{path}.address")


def _order(values: Values, items: list[_Item]) -> Iterator[Problem]:
    """Refuse options that stand the wrong way round for some zone and service."""
    for rule in ORDERED:
        names = (rule.lower, rule.upper)
        places = [
            place
            for place, _ in items
            if place.section == rule.section and place.name in names
        ]
        zone_names = {place.zone for place in places} | {""}
        service_names = {place.service for place in places} | {""}
        for zone, service in product(sorted(zone_names), sorted(service_names)):
            yield from _wrong_way(values, rule, zone, service)


def _wrong_way(
    values: Values, rule: Ordered, zone: str, service: str
) -> Iterator[Problem]:
    lower = value_in_force(values, rule.section, rule.lower, zone, service)
    upper = value_in_force(values, rule.section, rule.upper, zone, service)
    if lower > upper:
        place = Place(zone, service, rule.section, rule.lower)
        detail = f"{lower} must not exceed {rule.upper}, which is {upper} here"
        yield Problem("order", detail, place.path)


def _removals(values: Values, previous: Values) -> Iterator[Problem]:
    """Refuse to take an address from a service that still takes new flows."""
    now = {service.service: service for service in services(values)}
    for old in services(previous):
        if not old.is_open:
            continue
        new = now.get(old.service)
        path = f"services.{old.service}.address"
        if new is None:
            detail = f"{old.address} is in use; set {SERVICE.name}s.{old.service}"
            yield Problem("in-use", f"{detail}.admission to closed first", path)
        elif (new.address, new.protocol) != (old.address, old.protocol):
            detail = f"{old.address} is in use; set {SERVICE.name}s.{old.service}"
            yield Problem("in-use", f"{detail}.admission to closed first", path)
