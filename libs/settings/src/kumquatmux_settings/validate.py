"""Whether a whole tree may come into force."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import product
from typing import Any, NamedTuple

from kumquatmux_core.problems import Problem
from kumquatmux_settings.paths import Place, parse_path
from kumquatmux_settings.schema import ORDERED, SERVICE, Ordered
from kumquatmux_settings.tree import (
    Values,
    read_value,
    service_names,
    service_of,
    value_in_force,
    zones,
)

ZONE_LISTS = frozenset({("service", "zones"), ("traffic", "server_zones")})
DECLARING = (".region", ".address")
IDENTITY = frozenset({"address", "protocol"})


class _Item(NamedTuple):
    place: Place
    value: Any


def validate(values: Values, previous: Values | None = None) -> list[Problem]:
    """Return all that speaks against a tree; empty if it may come into force.

    Args:
        values: The whole tree as it would be.
        previous: The tree it replaces, None for none. It was accepted, so only what
            differs from it is looked at.

    Returns:
        Problems that name key, value and reason.
    """
    old = previous or {}
    changed = {path for path, text in values.items() if old.get(path) != text}
    removed = old.keys() - values.keys()
    if any(path.endswith(DECLARING) for path in removed):
        changed = set(values)
    items: list[_Item] = []
    problems = _read(values, changed, items)
    if not problems:
        problems = list(_references(values, items))
    if problems:
        return problems
    touched = [item.place for item in items]
    touched += [place.ok for place in map(parse_path, removed) if place.is_ok()]
    problems += _tokens(values, touched)
    problems += _addresses(values, touched)
    problems += _order(values, touched)
    problems += _removals(values, old, touched)
    return problems


def _read(values: Values, paths: Iterable[str], items: list[_Item]) -> list[Problem]:
    """Read some keys into items and return what is wrong with them."""
    problems = []
    for path in sorted(paths):
        parsed = parse_path(path)
        if parsed.is_error():
            problems.append(parsed.error)
            continue
        read = read_value(parsed.ok, values[path])
        if read.is_error():
            problems.append(read.error)
            continue
        items.append(_Item(parsed.ok, read.ok))
    return problems


def _references(values: Values, items: list[_Item]) -> Iterator[Problem]:
    """Refuse zones and services that nothing declares."""
    known_zones = set(zones(values))
    for place, value in items:
        if place.zone and place.zone not in known_zones:
            detail = f"zone {place.zone} has no region, so it is not declared"
            yield Problem("unknown-zone", detail, place.path)
        if place.service and f"services.{place.service}.address" not in values:
            detail = f"service {place.service} has no address, so it is not declared"
            yield Problem("unknown-service", detail, place.path)
        if (place.section, place.name) in ZONE_LISTS:
            for zone in sorted(set(value) - known_zones):
                yield Problem("unknown-zone", f"zone {zone} is unknown", place.path)


def _tokens(values: Values, touched: list[Place]) -> Iterator[Problem]:
    """Refuse a service without tokens."""
    names = {place.service for place in touched if place.section == SERVICE.name}
    for name in sorted(names):
        service = service_of(values, name)
        if service is not None and not service.announce_token_hashes:
            detail = "without a token nobody could announce a server for the service"
            path = f"services.{name}.announce_token_hashes"
            yield Problem("token-missing", detail, path)


def _addresses(values: Values, touched: list[Place]) -> Iterator[Problem]:
    """Refuse two services at one address."""
    if not any(_is_identity(place) for place in touched):
        return
    owners: dict[tuple[Any, Any], str] = {}
    for name in service_names(values):
        address = value_in_force(values, SERVICE.name, "address", service=name)
        protocol = value_in_force(values, SERVICE.name, "protocol", service=name)
        other = owners.setdefault((address, protocol), name)
        if other != name:
            detail = f"{address} already belongs to service {other}"
            yield Problem("address-shared", detail, f"services.{name}.address")


def _order(values: Values, touched: list[Place]) -> Iterator[Problem]:
    """Refuse options that stand the wrong way round for some zone and service."""
    for rule in ORDERED:
        if not any(_is_in(place, rule) for place in touched):
            continue
        tails = tuple(f".{rule.section}.{n}" for n in (rule.lower, rule.upper))
        paths = (path for path in values if path.endswith(tails))
        places = [parse_path(path).ok for path in paths]
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


def _removals(
    values: Values, previous: Values, touched: list[Place]
) -> Iterator[Problem]:
    """Refuse to take an address from a service that still takes new flows."""
    names = {place.service for place in touched if _is_identity(place)}
    for name in sorted(names):
        old, new = service_of(previous, name), service_of(values, name)
        if old is None or not old.is_open:
            continue
        if new is None or (new.address, new.protocol) != (old.address, old.protocol):
            detail = f"{old.address} is in use; set services.{name}.admission to closed"
            yield Problem("in-use", f"{detail} first", f"services.{name}.address")


def _is_identity(place: Place) -> bool:
    return place.section == SERVICE.name and place.name in IDENTITY


def _is_in(place: Place, rule: Ordered) -> bool:
    return place.section == rule.section and place.name in (rule.lower, rule.upper)
