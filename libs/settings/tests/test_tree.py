from __future__ import annotations

import json
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.identity import Endpoint
from kumquatmux_settings.tree import (
    BUILT_IN,
    explain,
    resolve,
    services,
    traffic_rules,
    value_in_force,
    zones,
)

ZONES = ["", "cnx-a", "lpg-a"]
SERVICES = ["", "entries", "pagesetter"]
HOLD = "placement.hold_ms"
SEARCH_ORDER = [
    "zones.{zone}.services.{service}.",
    "services.{service}.",
    "zones.{zone}.",
    "defaults.",
]


def level(zone, service):
    parts = [f"zones.{zone}"] * bool(zone) + [f"services.{service}"] * bool(service)
    return ".".join(parts) or "defaults"


PATHS = [f"{level(zone, service)}.{HOLD}" for zone in ZONES for service in SERVICES]
TREES = st.dictionaries(st.sampled_from(PATHS), st.integers(0, 60_000).map(json.dumps))
PLACES = st.tuples(st.sampled_from(ZONES), st.sampled_from(SERVICES))


class Engine(NamedTuple):
    zone: str = ""
    hold_ms: float = -1.0
    unset: int = 3


def nearest(values, zone, service):
    for pattern in SEARCH_ORDER:
        path = pattern.format(zone=zone, service=service) + HOLD
        if path in values:
            return json.loads(values[path])
    return 1000


@given(TREES, PLACES)
def test_the_nearest_set_value_wins(values, place):
    assert value_in_force(values, "placement", "hold_ms", *place) == nearest(
        values, *place
    )


@given(TREES, PLACES)
def test_explain_names_the_level_that_gave_the_value(values, place):
    told = explain(values, HOLD, *place).ok
    assert json.loads(told.value) == nearest(values, *place)
    assert [each.path for each in told.levels if each.wins] == [told.source]
    assert told.source == BUILT_IN or values[told.source] == told.value


@given(TREES, PLACES, st.sampled_from(PATHS), st.integers(0, 60_000))
def test_unsetting_what_was_set_restores_every_value(values, place, path, number):
    without = {key: text for key, text in values.items() if key != path}
    changed = {**without, path: json.dumps(number)}
    del changed[path]
    assert value_in_force(changed, "placement", "hold_ms", *place) == nearest(
        without, *place
    )


def test_an_engine_gets_its_settings_whole():
    values = {"services.entries.placement.hold_ms": "5"}
    engine = resolve(values, "placement", Engine("cnx-a"), "cnx-a", "entries")
    assert engine == Engine("cnx-a", 5, 3)


def test_services_and_zones_are_declared_by_their_keys():
    values = {
        "zones.cnx-a.region": '"th-north"',
        "services.entries.address": '"10.1.0.1:80"',
        "services.entries.protocol": '"udp"',
        "services.entries.admission": '"closed"',
        "services.entries.traffic.server_zones": '["cnx-a"]',
    }
    assert zones(values) == ("cnx-a",)
    (service,) = services(values)
    assert service[:3] == ("entries", Endpoint("10.1.0.1", 80), 17)
    assert not service.is_open
    assert traffic_rules(values, "cnx-a", "entries").server_zones == ("cnx-a",)
    assert traffic_rules(values, "cnx-a", "pagesetter").server_zones == ()


def test_explain_takes_a_full_key_and_refuses_an_unknown_one():
    assert explain({}, "zones.cnx-a.placement.hold_ms").ok.zone == "cnx-a"
    assert explain({}, "placement.hold").error.code == "unknown-key"
