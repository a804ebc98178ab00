from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kumquatmux_settings.validate import validate

HASH = '["' + "a" * 64 + '"]'
GOOD = {
    "zones.cnx-a.region": '"th-north"',
    "zones.cnx-a.placement.hold_ms": "200",
    "services.entries.address": '"10.1.0.1:80"',
    "services.entries.announce_token_hashes": HASH,
    "services.pagesetter.address": '"10.1.0.2:80"',
    "services.pagesetter.announce_token_hashes": HASH,
}


def test_a_good_tree_has_no_problems():
    assert validate(GOOD) == []
    assert validate({}) == []


FAULTS = [
    ("defaults.placement.hold_ms", "-1", "value"),
    ("defaults.placement.hold_ms", "1.5", "value"),
    ("defaults.placement.hold_ms", "true", "value"),
    ("defaults.placement.hold_ms", "{", "value"),
    ("defaults.placement.retry_ratio", '"much"', "value"),
    ("defaults.traffic.callers", '["10.0.0.1/8"]', "value"),
    ("defaults.traffic.callers", '["10.0.0.0/8", "10.0.0.0/8"]', "value"),
    ("defaults.placement.hold", "1", "unknown-key"),
    ("defaults.nothing.hold_ms", "1", "unknown-key"),
    ("placement.hold_ms", "1", "unknown-key"),
    ("zones.CNX.placement.hold_ms", "1", "unknown-key"),
    ("services.entries.flows.flow_limit", "5000", "unknown-key"),
    ("zones.lpg-a.placement.hold_ms", "1", "unknown-zone"),
    ("services.entries.zones", '["lpg-a"]', "unknown-zone"),
    ("defaults.traffic.server_zones", '["lpg-a"]', "unknown-zone"),
    ("services.ledger.placement.hold_ms", "1", "unknown-service"),
    ("zones.cnx-a.services.ledger.placement.hold_ms", "1", "unknown-service"),
    ("services.entries.announce_token_hashes", "[]", "token-missing"),
    ("services.pagesetter.address", '"10.1.0.1:80"', "address-shared"),
    ("defaults.membership.heartbeat_seconds", "2", "order"),
    ("zones.cnx-a.membership.remove_seconds", "1", "order"),
]


@pytest.mark.parametrize("path, text, code", FAULTS)
def test_a_fault_names_key_value_and_reason(path, text, code):
    (problem,) = validate({**GOOD, path: text})
    assert problem.code == code
    if code != "order":
        assert problem.subject == path
    if code == "value":
        assert text in problem.detail


def test_options_set_at_different_levels_are_compared_where_they_meet():
    values = {
        **GOOD,
        "zones.cnx-a.placement.shed_backoff_limit_ms": "500",
        "services.entries.placement.shed_backoff_ms": "600",
    }
    (problem,) = validate(values)
    assert problem.subject == "zones.cnx-a.services.entries.placement.shed_backoff_ms"


def without(path):
    return {key: text for key, text in GOOD.items() if not key.startswith(path)}


CLOSED = {**GOOD, "services.entries.admission": '"closed"'}
MOVED = {**GOOD, "services.entries.address": '"10.1.0.9:80"'}
DATAGRAMS = {**GOOD, "services.entries.protocol": '"udp"'}


@pytest.mark.parametrize(
    "previous, values, codes",
    [
        (GOOD, without("services.entries"), ["in-use"]),
        (GOOD, MOVED, ["in-use"]),
        (GOOD, DATAGRAMS, ["in-use"]),
        (GOOD, CLOSED, []),
        (CLOSED, without("services.entries"), []),
        (CLOSED, MOVED, []),
        (without("services.entries"), GOOD, []),
    ],
)
def test_a_service_is_closed_before_its_address_goes(previous, values, codes):
    assert [problem.code for problem in validate(values, previous)] == codes


MADE = st.dictionaries(
    st.sampled_from([*GOOD, *[path for path, _, _ in FAULTS]]),
    st.sampled_from([text for _, text, _ in FAULTS] + list(GOOD.values())),
    max_size=4,
)


@settings(max_examples=400)
@given(MADE, st.sets(st.sampled_from(list(GOOD)), max_size=3), MADE)
def test_what_differs_from_an_accepted_tree_decides_as_the_whole_does(
    first, dropped, second
):
    previous = {**GOOD, **first}
    if validate(previous):
        previous = GOOD
    values = {key: text for key, text in previous.items() if key not in dropped}
    values.update(second)
    whole = {(p.code, p.subject) for p in validate(values)}
    partly = {(p.code, p.subject) for p in validate(values, previous)}
    assert {one for one in partly if one[0] != "in-use"} == whole
