"""Names that clients, peers, operators or files see are those of commit a52bc75."""

from __future__ import annotations

import importlib.util
import json
from itertools import product
from pathlib import Path

import pytest

from kumquatmux_settings.schema import SECTIONS, SERVICE, ZONE
from kumquatmux_settings.validate import validate

HERE = Path(__file__).parent
RECORDED = json.loads((HERE / "recorded" / "names.json").read_text())
WRONG = ('"x"', "-1", "1e12", "[]", "{}", "null", "true", '["a b"]', "not json")
LEVELS = ("defaults", "zones.z", "services.s", "x.y")
TREE = {"zones.z.region": '"r"', "defaults.placement.hold_ms": "400"}


def current():
    spec = importlib.util.spec_from_file_location("outer", HERE / "outer_names.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return json.loads(json.dumps(module.outer_names()))


def problems():
    """Return what is said against each wrong value of each option."""
    found = {}
    for section in (ZONE, SERVICE, *SECTIONS):
        for option, level, value in product(section.options, LEVELS, WRONG):
            inner = "" if section in (ZONE, SERVICE) else f"{section.name}."
            path = f"{level}.{inner}{option.name}"
            text = " | ".join(map(str, validate({**TREE, path: value}, TREE)))
            if text:
                found[f"{path} = {value}"] = text
    return found


@pytest.mark.parametrize("origin", RECORDED["names"])
def test_the_names_that_leave_the_process_stay(origin):
    assert current()[origin] == RECORDED["names"][origin]


def test_what_is_said_against_a_change_stays():
    """It is stored with the change's outcome, so all replicas must say the same."""
    assert problems() == RECORDED["problems"]
