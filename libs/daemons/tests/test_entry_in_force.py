from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_daemons.entry.in_force import ServicesInForce
from kumquatmux_settings.copy_events import InForce
from kumquatmux_settings.revisions import difference

KEYS = {
    "services.entries.address": ['"10.1.0.1:80"', '"10.1.0.3:80"'],
    "services.entries.admission": ['"open"', '"closed"'],
    "services.entries.placement.hold_ms": ["1", "2"],
    "services.pagesetter.address": ['"10.1.0.2:80"'],
    "zones.cnx-a.services.entries.placement.hold_ms": ["3"],
    "zones.cnx-a.services.pagesetter.traffic.server_zones": ['["cnx-a"]'],
    "zones.cnx-a.placement.hold_ms": ["4"],
    "defaults.traffic.callers": [json.dumps(["10.0.0.0/8"])],
}
TREES = st.fixed_dictionaries(
    {}, optional={key: st.sampled_from(texts) for key, texts in KEYS.items()}
)


def state(in_force):
    placement = {
        name: settings._replace(revision=0)
        for name, settings in in_force.placement.items()
    }
    return in_force.services, in_force.gates, placement


@given(st.lists(TREES, min_size=1, max_size=4))
def test_following_changes_ends_where_reading_the_whole_tree_does(trees):
    following = ServicesInForce("cnx-a")
    before = {}
    for revision, values in enumerate(trees, start=1):
        following.update(values, InForce(revision, "", difference(before, values)))
        before = values
    whole = ServicesInForce("cnx-a")
    whole.update(before, InForce(1, "", difference({}, {"defaults.x": "1"})))
    assert state(following) == state(whole)


def test_only_what_an_edit_touches_is_told():
    values = {key: texts[0] for key, texts in KEYS.items()}
    in_force = ServicesInForce("cnx-a")
    assert in_force.update(values, InForce(1, "", difference({}, values))) == {
        "entries",
        "pagesetter",
    }
    changed = {**values, "services.entries.placement.hold_ms": "9"}
    touched = in_force.update(changed, InForce(2, "", difference(values, changed)))
    assert touched == {"entries"}
