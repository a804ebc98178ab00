from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_settings.change import Change, Edit, Verdict
from kumquatmux_settings.changelog import ChangeLog, ChangeLogSettings, encode_change
from kumquatmux_settings.schema import PLACEMENT, TRAFFIC
from kumquatmux_settings.tree import explain
from kumquatmux_settings.validate import validate

ZONES, SERVICES = ["", "cnx-a", "lpg-a"], ["", "entries"]
FIRST = {
    "zones.cnx-a.region": "r",
    "zones.lpg-a.region": "r",
    "services.entries.address": "10.1.0.1:80",
    "services.entries.announce_token_hashes": ["a" * 64],
}
PATHS = [
    f"{level}.{option}"
    for level in (
        "defaults",
        "zones.cnx-a",
        "services.entries",
        "zones.lpg-a.services.entries",
    )
    for option in ("placement.hold_ms", "placement.shed_backoff_ms")
]
EDITS = st.dictionaries(
    st.sampled_from(PATHS), st.none() | st.integers(-1, 9000), min_size=1, max_size=3
)


class Operators:
    """A log that operators drive one after the other."""

    def __init__(self):
        self.log = ChangeLog(ChangeLogSettings(), validate)
        self.views = {0: self.view()}
        self.index = 0
        self.ask({path: value for path, value in FIRST.items()})

    def ask(self, values, undo_to=-1):
        self.index += 1
        edits = tuple(
            Edit(path, None if value is None else json.dumps(value))
            for path, value in values.items()
        )
        base = self.log.revision
        change = Change(f"c{self.index}", base, "nok", "", edits, undo_to)
        outcome = self.log.apply(self.index, encode_change(change))
        if outcome.verdict is Verdict.ACCEPTED:
            self.views[outcome.revision] = self.view()
        else:
            assert self.view() == self.views[base]
        return outcome

    def view(self):
        """Return what explain tells of every option at every place."""
        return {
            (section.name, option.name, zone, service): explain(
                self.log.values, f"{section.name}.{option.name}", zone, service
            ).ok
            for section in (PLACEMENT, TRAFFIC)
            for option in section.options
            for zone in ZONES
            for service in SERVICES
        }


@given(st.lists(EDITS, max_size=5), st.data())
def test_an_undo_restores_every_value_and_where_it_comes_from(changes, data):
    operators = Operators()
    for values in changes:
        operators.ask(values)
    target = data.draw(st.integers(1, operators.log.revision))
    before = operators.log.revision
    undone = operators.ask({}, undo_to=target)
    assert undone.verdict is Verdict.ACCEPTED
    assert operators.view() == operators.views[target]
    assert operators.ask({}, undo_to=before).verdict is Verdict.ACCEPTED
    assert operators.view() == operators.views[before]


def test_an_undo_that_would_take_an_open_service_away_is_refused_with_the_way_out():
    operators = Operators()
    refused = operators.ask({}, undo_to=0)
    assert refused.verdict is Verdict.INVALID
    assert "services.entries.admission to closed first" in refused.detail
    operators.ask({"services.entries.admission": "closed"})
    assert operators.ask({}, undo_to=0).verdict is Verdict.ACCEPTED
