"""Whether the traffic rules in force let a new flow in."""

from __future__ import annotations

import ipaddress
from typing import NamedTuple

from kumquatmux_core.identity import ZoneName
from kumquatmux_settings.tree import Service, TrafficRules

EVERYONE = (ipaddress.IPv4Network("0.0.0.0/0"),)
CLOSED = "service-closed"
CALLER_REFUSED = "caller-refused"


class Gate(NamedTuple):
    """What decides on a service's new flows; open flows are never asked.

    Attributes:
        is_open: Whether the service takes new flows.
        callers: Networks whose callers are served.
        server_zones: Zones whose servers may be used; empty for all.
    """

    is_open: bool = True
    callers: tuple[ipaddress.IPv4Network, ...] = EVERYONE
    server_zones: tuple[ZoneName, ...] = ()

    def refusal(self, caller: str) -> str | None:
        """Return why a caller's new flow is refused, None if it is let in."""
        if not self.is_open:
            return CLOSED
        address = ipaddress.IPv4Address(caller)
        if not any(address in network for network in self.callers):
            return CALLER_REFUSED
        return None

    def uses(self, zone: str) -> bool:
        """Return whether new flows may go to servers of a zone."""
        return not self.server_zones or zone in self.server_zones


def gate_of(service: Service, rules: TrafficRules) -> Gate:
    """Return the gate of a service under some rules."""
    callers = tuple(ipaddress.IPv4Network(network) for network in rules.callers)
    return Gate(service.is_open, callers, rules.server_zones)
