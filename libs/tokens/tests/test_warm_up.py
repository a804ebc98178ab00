from __future__ import annotations

import pytest

from kumquatmux_core.identity import Endpoint
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens.directory import ServerDirectory
from kumquatmux_tokens.placers import CoordinatorSelector
from kumquatmux_tokens.routes import RouteSet, RouteTable, WarmUp
from kumquatmux_tokens.settings import TokenRouterSettings, WarmUpLimits
from kumquatmux_tokens.warm_up import BudgetTenure, WarmUpBudget

WARM_UP = WarmUp("entries", 8.0, 10.0)
SETTINGS = TokenRouterSettings("e1", "a", warm_up_limits=WarmUpLimits(1.2, 1.5))
WAIT_S = SETTINGS.budget_wait_s
FED_S = 0.5


def make_entry(born_ms=1):
    directory = ServerDirectory("a")
    lifetime = Lifetime("i-1", born_ms)
    place = Endpoint("10.0.0.9", 1)
    report = Report(lifetime, 1, "entries", place, "a", "v1", 2, Phase.READY, 8.0)
    directory.store_record(ServerRecord(report, "c1"), 0.0)
    return directory.by_token[lifetime.token]


def make_tenure(vms=("e1",), warm_ups=(WARM_UP,)):
    routes = RouteTable()
    routes.install(RouteSet(1, (), frozenset({"entries"}), 15.0, warm_ups), 0.0)
    coordinators = CoordinatorSelector(SETTINGS)
    coordinators.set_entry_vms(vms)
    return BudgetTenure(SETTINGS, coordinators, routes)


def feed(tenure, since, until):
    """Have a control VM of the zone answer every 0.5 s."""
    now = since
    while now <= until:
        tenure.note_feed(True, now)
        now += FED_S


@pytest.mark.parametrize(
    "per_s, overage, slack, limit",
    [(10.0, 1.2, 1.5, 13), (10.0, 1.0, 0.0, 10), (0.5, 1.0, 0.4, 0), (3.0, 1.1, 2, 5)],
)
def test_fractions_of_the_limit_are_rounded_down(per_s, overage, slack, limit):
    limits = WarmUpLimits(overage, slack)
    budget = WarmUpBudget(SETTINGS._replace(warm_up_limits=limits))
    assert budget.limit_of(WarmUp("entries", 8.0, per_s)) == limit


# Guards against: a window that starts anew, in which a second has twice the openings.
def test_the_window_slides():
    budget, entry = WarmUpBudget(SETTINGS), make_entry()
    granted = []
    for step in range(400):
        now = step * 0.01
        if budget.has_room(entry, WARM_UP, now):
            budget.grant(entry, now)
            granted.append(now)
    most = max(
        sum(1 for time in granted if since <= time < since + 1.0) for since in granted
    )
    assert most == 13
    assert len(granted) == 13 * 4


# Guards against: grants of one second that are used in the next, among its own.
def test_a_grant_counts_for_as_long_as_it_may_be_used():
    budget, entry = WarmUpBudget(SETTINGS), make_entry()
    for _ in range(13):
        budget.grant(entry, 0.0)
    latest_use = SETTINGS.placement_timeout_s
    assert not budget.has_room(entry, WARM_UP, 1.0 + latest_use - 0.001)
    assert budget.has_room(entry, WARM_UP, 1.0 + latest_use + 0.001)


# Guards against: a server that crashes in a loop and gets a budget with each start.
def test_lifetimes_of_a_server_share_the_budget_of_a_second():
    budget = WarmUpBudget(SETTINGS)
    for _ in range(13):
        budget.grant(make_entry(born_ms=1), 0.0)
    assert not budget.has_room(make_entry(born_ms=2), WARM_UP, 0.5)


def test_what_is_kept_of_grants_is_bounded():
    budget, entry = WarmUpBudget(SETTINGS), make_entry()
    for step in range(10_000):
        budget.grant(entry, step * 0.01)
    assert len(budget.grants["i-1"]) <= 104
    budget.remove_expired(200.0)
    assert not budget.grants


def test_the_first_vm_holds_the_budget_after_the_wait():
    tenure = make_tenure()
    feed(tenure, 1.0, 9.0)
    assert not tenure.holds("entries", 1.0 + WAIT_S - 0.01)
    assert tenure.holds("entries", 1.0 + WAIT_S)
    assert not tenure.holds("other", 9.0)


def test_a_vm_that_is_not_first_never_holds_it():
    first = make_tenure(("e1", "e2", "e3")).coordinators.first_for("entries")
    settings = SETTINGS._replace(vm=next(vm for vm in ("e1", "e2") if vm != first))
    tenure = make_tenure(("e1", "e2", "e3"))
    tenure.settings = settings
    feed(tenure, 1.0, 9.0)
    assert not tenure.holds("entries", 9.0)


# Guards against: a VM that goes by a list of which it knows nothing.
def test_without_a_list_of_entry_vms_nobody_holds_it():
    tenure = make_tenure(())
    feed(tenure, 1.0, 9.0)
    assert not tenure.holds("entries", 9.0)


# Guards against: a former holder that goes on while another one has taken over.
def test_it_ends_once_no_control_vm_of_the_zone_confirms_the_list():
    tenure = make_tenure()
    feed(tenure, 1.0, 9.0)
    validity_s = SETTINGS.vm_list_validity_s
    assert tenure.holds("entries", 9.0 + validity_s)
    for step in range(20):
        tenure.note_feed(False, 9.0 + step * 0.1)
    assert not tenure.holds("entries", 9.0 + validity_s + 0.01)


# Guards against: a gap in the feed during which another VM was first.
@pytest.mark.parametrize("gap_s", (1.25, 60.0))
def test_after_a_gap_in_the_feed_the_wait_starts_again(gap_s):
    tenure = make_tenure()
    feed(tenure, 1.0, 9.0)
    back_at = 9.0 + gap_s
    feed(tenure, back_at, back_at + 9.0)
    assert not tenure.holds("entries", back_at + WAIT_S - 0.01)
    assert tenure.holds("entries", back_at + WAIT_S)


def test_after_a_pause_of_this_vm_the_wait_starts_again():
    tenure = make_tenure()
    feed(tenure, 1.0, 9.0)
    tenure.note_pause(9.2)
    assert not tenure.holds("entries", 9.2)
    feed(tenure, 9.3, 20.0)
    assert not tenure.holds("entries", 9.3 + WAIT_S - 0.01)
    assert tenure.holds("entries", 9.3 + WAIT_S)


def test_the_wait_starts_again_for_a_vm_that_was_displaced_for_a_moment():
    tenure = make_tenure()
    feed(tenure, 1.0, 9.0)
    number = 2
    while tenure.coordinators.first_for("entries") == "e1":
        tenure.coordinators.set_entry_vms(("e1", f"e{number}"))
        number += 1
    tenure.note_feed(True, 9.1)
    assert not tenure.holds("entries", 9.1)
    tenure.coordinators.set_entry_vms(("e1",))
    assert tenure.note_feed(True, 9.2) == ["entries"]
    feed(tenure, 9.3, 20.0)
    assert not tenure.holds("entries", 9.2 + WAIT_S - 0.01)
    assert tenure.holds("entries", 9.2 + WAIT_S)


# Guards against: a budget granted at once after a document that brings the warm-up.
def test_a_service_whose_warm_up_is_new_is_waited_for():
    tenure = make_tenure(warm_ups=())
    feed(tenure, 1.0, 9.0)
    tenure.route_table.install(
        RouteSet(2, (), frozenset({"entries"}), 15.0, (WARM_UP,)), 9.0
    )
    feed(tenure, 9.1, 20.0)
    assert not tenure.holds("entries", 9.1 + WAIT_S - 0.01)
    assert tenure.holds("entries", 9.1 + WAIT_S)
