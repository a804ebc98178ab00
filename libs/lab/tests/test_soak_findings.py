"""Seeds at which a soak found a fault: mended ones, and those in KNOWN-RED.txt."""

from __future__ import annotations

import pytest

from kumquatmux_lab.faultruns import flows, settings

FOUND = [
    ("flow-opened-in-a-cut", flows.run, 5049),
    ("silent-flow-found-late", flows.run, 30038),
]

MENDED = [(flows.run, 77041), (settings.run, 11197), (settings.run, 11679)]


@pytest.mark.parametrize(("entry", "run", "seed"), FOUND)
@pytest.mark.xfail(strict=True, reason="see the entry in KNOWN-RED.txt")
def test_a_soak_finding_is_still_there(entry, run, seed):
    assert run(seed).violations == (), entry


@pytest.mark.parametrize(("run", "seed"), MENDED)
def test_a_soak_finding_is_mended(run, seed):
    assert run(seed).violations == ()
