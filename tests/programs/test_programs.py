"""The programs of the deploy file as real processes, disturbed from outside."""

from __future__ import annotations

import asyncio

import pytest
import soak

SEED = 26


def play(seed, folder, lanes=None):
    return asyncio.run(soak.run(seed, folder, lanes=lanes))


# Guards against programs that end by themselves (rule FAULT), or keep others from being
# served, because of one kind of thing that comes from outside.
@pytest.mark.parametrize(
    "kind", sorted({*soak.KINDS, "evacuations", "usurping-reports"})
)
def test_programs_bear(kind, tmp_path):
    assert play(SEED, tmp_path, [[kind] * 3]).violations == ()


# Guards against what only several kinds together bring about.
@pytest.mark.parametrize("seed", [1, 2])
def test_programs_bear_all_kinds_at_once(seed, tmp_path):
    assert play(seed, tmp_path).violations == ()
