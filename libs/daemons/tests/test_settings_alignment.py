from __future__ import annotations

import pytest

from kumquatmux_flows.settings import FlowSettings
from kumquatmux_membership.settings import LeaseSettings, MembershipSettings
from kumquatmux_placement.settings import PlacementSettings
from kumquatmux_settings.options import default_of
from kumquatmux_settings.schema import FLOWS, LEASES, MEMBERSHIP, PLACEMENT
from kumquatmux_settings.tree import resolve

ENGINES = [
    (FLOWS, FlowSettings()),
    (MEMBERSHIP, MembershipSettings()),
    (LEASES, LeaseSettings()),
    (PLACEMENT, PlacementSettings()),
]


@pytest.mark.parametrize("section, settings", ENGINES)
def test_every_option_of_the_tree_is_a_setting_of_its_engine(section, settings):
    defaults = {option.name: default_of(option) for option in section.options}
    assert settings._asdict().items() >= defaults.items()
    assert resolve({}, section.name, settings) == settings
