from __future__ import annotations

from kumquatmux_lab.benches.membership import leases, make_fleet, mesh
from kumquatmux_membership.settings import MembershipSettings

CONTROL_BYTES_PER_SECOND = 3000
DETECTION_SECONDS = 3.0


def test_six_vms_stay_within_the_control_budget():
    (row,) = mesh((6,))
    assert row.bytes_per_vm < CONTROL_BYTES_PER_SECOND


def test_renewals_cost_nothing_between_vms():
    (row,) = leases((10,))
    assert row.renewals == 0


def test_a_loss_is_known_to_all_within_the_target():
    fleet = make_fleet(6, 3, MembershipSettings())
    fleet.run(5.0)
    assert max(fleet.lose(next(iter(fleet.nodes)))) <= DETECTION_SECONDS
