from __future__ import annotations

import pytest

from kumquatmux_core import decisions
from kumquatmux_lab.faultruns.membership import FaultRun, run
from kumquatmux_lab.faultruns.membership_world import Tuning
from kumquatmux_membership import settings
from kumquatmux_membership.holder import Holder
from kumquatmux_membership.known import KnownServer, KnownServers
from kumquatmux_membership.membership import Membership
from kumquatmux_membership.notices import Notices
from kumquatmux_membership.settings import LeaseSettings, MembershipSettings

# Each of these runs overlaps at least six kinds of fault.
SEEDS = (1, 2, 22, 81, 93, 102, 134)
MUTATION_SEEDS = range(1, 30)


@pytest.fixture(autouse=True)
def quiet():
    decisions.configure(as_json=False, enabled=False)
    yield
    decisions.configure(as_json=False, enabled=True)


@pytest.mark.parametrize("seed", SEEDS)
def test_every_promise_holds_under_faults(seed):
    report = run(seed)
    assert report.violations == ()
    assert len(report.faults) > 5


def found(promise, tuning=None):
    """Whether some seed finds a violation of a promise."""
    return any(
        violation.startswith(promise)
        for seed in MUTATION_SEEDS
        for violation in FaultRun(seed, tuning).run().violations
    )


def test_no_settings_undo_the_promise_of_a_leave():
    tuning = Tuning(leases=LeaseSettings(lease_seconds=60.0, stale_seconds=60.0))
    assert FaultRun(1, tuning).run().violations == ()


def test_checker_finds_leases_kept_fresh_too_long(monkeypatch):
    monkeypatch.setattr(settings, "LONGEST_STALE_SECONDS", 8.0)
    tuning = Tuning(leases=LeaseSettings(stale_seconds=8.0))
    assert found("leaving-gets-nothing", tuning)


def test_checker_finds_a_leave_accepted_before_the_zone_knows(monkeypatch):
    monkeypatch.setattr(Notices, "in_force", lambda self, lease, now: True)
    assert found("leaving-gets-nothing")


def test_checker_finds_leases_that_never_end(monkeypatch):
    monkeypatch.setattr(Holder, "expire", lambda self, now: [])
    assert found("crashed-server-ends")


def test_checker_finds_an_undone_drain(monkeypatch):
    def merge(self, lease, now):
        self.servers[lease.server] = KnownServer(lease, now)

    monkeypatch.setattr(KnownServers, "merge", merge)
    assert found("drain-not-undone")


def test_checker_finds_an_incarnation_going_back(monkeypatch):
    def speaker(self, sender, incarnation):
        peer = self.peers.get(sender)
        if peer is not None and peer.vm.incarnation != incarnation:
            peer.renew_incarnation(incarnation)
        return peer

    monkeypatch.setattr(Membership, "_speaker", speaker)
    assert found("incarnations-grow")


def test_checker_finds_a_dead_vm_kept():
    tuning = Tuning(membership=MembershipSettings(remove_seconds=4.0))
    assert found("dead-vm-detected", tuning)


def test_checker_finds_views_that_stay_apart():
    longer = MembershipSettings(hold_seconds=500.0, hold_max_seconds=500.0)
    assert found("views-converge", Tuning(membership=longer))
