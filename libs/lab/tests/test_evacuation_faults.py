"""Orders to evacuate zones in fault runs, and mutations that these must find."""

from __future__ import annotations

import pytest

from kumquatmux_core import decisions
from kumquatmux_daemons.registrar.calls import (
    Answer,
    OrderEvacuation,
    Outcome,
    ReadEvacuations,
)
from kumquatmux_daemons.registrar.orders import Orders
from kumquatmux_lab.faultruns import registrar
from kumquatmux_registry.follower import Follower
from kumquatmux_registry.publisher import EvacuatedZones
from kumquatmux_settings.documents import DocumentLog, entry_of


@pytest.fixture(autouse=True)
def quiet():
    decisions.configure(as_json=False, enabled=False)
    yield
    decisions.configure(as_json=False)


@pytest.mark.parametrize("seed", [1, 2, 3, 6])
def test_no_promise_is_broken_while_orders_race(seed):
    assert registrar.run(seed, evacuates=True).violations == ()


handle_agreed = vars(Orders)["_handle"]


def acknowledging_repeats(self, call, token, now):
    """Answer an order that repeats the state here without the log."""
    held = self.agreed.documents.evacuations
    if isinstance(call, OrderEvacuation) and held.obeys(call):
        self._answer(token, Answer(Outcome.DONE))
    else:
        handle_agreed.__get__(self)(call, token, now)


def reading_at_once(self, call, token, now):
    """Answer a read from the state here without a quorum."""
    if isinstance(call, ReadEvacuations):
        held = self.agreed.documents.evacuations
        self._answer(token, Answer(Outcome.DONE, evacuations=held))
    else:
        handle_agreed.__get__(self)(call, token, now)


def any_revision(self, told):
    self.evacuations = EvacuatedZones(told.evacuation_revision, told.evacuated_zones)


@pytest.mark.parametrize(
    ("owner", "name", "broken", "seed", "found"),
    [
        (Orders, "_handle", acknowledging_repeats, 3, "missed an acknowledged order"),
        (Orders, "_handle", reading_at_once, 1, "a read gave evacuations"),
        (DocumentLog, "snapshot", lambda log: entry_of(log.newest), 1, "two lists"),
        (Follower, "_store_evacuations", any_revision, 1, "went back to evacuations"),
    ],
)
def test_a_broken_product_is_found(monkeypatch, owner, name, broken, seed, found):
    monkeypatch.setattr(owner, name, broken)
    report = registrar.run(seed, evacuates=True)
    assert any(found in text for text in report.violations)
