from __future__ import annotations

import pytest

from kumquatmux_tokens.placers import CoordinatorSelector
from kumquatmux_tokens.settings import TokenRouterSettings

ENTRY_VMS = ("e1", "e2", "e3")
FLOW_KEY = bytes(12)


@pytest.fixture
def coordinators():
    selector = CoordinatorSelector(TokenRouterSettings("e1", "a"))
    selector.set_entry_vms(ENTRY_VMS)
    return selector


def service_of_another_coordinator(coordinators):
    """Return a service whose placement coordinator is another VM."""
    service_names = (f"service-{number}" for number in range(99))
    return next(
        name
        for name in service_names
        if coordinators.coordinator_for(name, 0.0) != "e1"
    )


def test_all_vms_of_a_zone_select_the_same_coordinator():
    for service in ("entries", "pagesetter", "depot-desk"):
        selected_vms = set()
        for vm in ENTRY_VMS:
            selector = CoordinatorSelector(TokenRouterSettings(vm, "a"))
            selector.set_entry_vms(ENTRY_VMS)
            selected_vms.add(selector.coordinator_for(service, 0.0))
        assert len(selected_vms) == 1


def test_vm_without_peers_is_its_own_coordinator():
    assert (
        CoordinatorSelector(TokenRouterSettings("e1", "a")).coordinator_for(
            "entries", 0.0
        )
        == "e1"
    )


def test_unresponsive_coordinator_is_skipped_during_its_backoff(coordinators):
    service = service_of_another_coordinator(coordinators)
    coordinator = coordinators.coordinator_for(service, 0.0)
    coordinators.record_request(coordinator, FLOW_KEY, 0.0)
    assert coordinators.is_pending(FLOW_KEY, 0.02)
    assert not coordinators.is_pending(FLOW_KEY, 0.04)
    assert coordinators.coordinator_for(service, 0.1) != coordinator
    assert coordinators.coordinator_for(service, 1.1) == coordinator


def test_backoff_doubles_after_a_second_timeout(coordinators):
    service = service_of_another_coordinator(coordinators)
    coordinator = coordinators.coordinator_for(service, 0.0)
    for sent_at in (0.0, 1.1):
        coordinators.record_request(coordinator, FLOW_KEY, sent_at)
        coordinators.is_pending(FLOW_KEY, sent_at + 0.04)
    assert coordinators.coordinator_for(service, 3.0) != coordinator
    assert coordinators.coordinator_for(service, 3.2) == coordinator


def test_answer_ends_the_backoff(coordinators):
    service = service_of_another_coordinator(coordinators)
    coordinator = coordinators.coordinator_for(service, 0.0)
    coordinators.record_request(coordinator, FLOW_KEY, 0.0)
    coordinators.is_pending(FLOW_KEY, 0.04)
    coordinators.record_answer(coordinator, FLOW_KEY)
    assert coordinators.coordinator_for(service, 0.05) == coordinator


def test_timed_out_placement_requests_are_removed(coordinators):
    coordinators.record_request("e2", FLOW_KEY, 0.0)
    coordinators.remove_expired(0.5)
    assert coordinators.pending_requests == {}
