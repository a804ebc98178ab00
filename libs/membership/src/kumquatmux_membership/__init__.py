"""Failure detection among VMs and leases of backend servers, without any I/O."""

from __future__ import annotations

from kumquatmux_membership.coordinator import Coordinator
from kumquatmux_membership.leases import LeaseTable
from kumquatmux_membership.membership import Membership
from kumquatmux_membership.settings import LeaseSettings, MembershipSettings

__all__ = [
    "Coordinator",
    "LeaseSettings",
    "LeaseTable",
    "Membership",
    "MembershipSettings",
]
