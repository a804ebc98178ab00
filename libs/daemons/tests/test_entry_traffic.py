from __future__ import annotations

from random import Random

import pytest

from kumquatmux_core.identity import Endpoint, FlowKey
from kumquatmux_daemons.entry.admission_desk import AdmissionDesk
from kumquatmux_daemons.entry.directory import Directory
from kumquatmux_daemons.entry.traffic import Gate, gate_of
from kumquatmux_membership.events import Lease, ServersChanged
from kumquatmux_placement.settings import PlacementSettings
from kumquatmux_settings.tree import services, traffic_rules

BASE = {
    "services.entries.address": '"10.1.0.1:80"',
    "services.entries.traffic.callers": '["10.9.0.0/16"]',
}
CLOSED = {**BASE, "services.entries.admission": '"closed"'}


def gate(values):
    (service,) = services(values)
    return gate_of(service, traffic_rules(values, "cnx-a", "entries"))


@pytest.mark.parametrize(
    "values, caller, refusal",
    [
        (BASE, "10.9.1.1", None),
        (BASE, "10.8.1.1", "caller-refused"),
        (CLOSED, "10.9.1.1", "service-closed"),
    ],
)
def test_a_new_flow_is_refused_by_the_rules(values, caller, refusal):
    assert gate(values).refusal(caller) == refusal
    desk = AdmissionDesk(Random(1))
    desk.use_settings("entries", PlacementSettings())
    desk.use_gates({"entries": gate(values)})
    packed = bytes(int(part) for part in caller.split("."))
    key = FlowKey(bytes([6]) + packed + b"\x0a\x01\x00\x01" + b"\x10\x00\x00\x50")
    answers = desk.submit(key, "entries", 1.0)
    assert [answer.reason for answer in answers] == [refusal or "no-server"]


def lease(zone, host):
    endpoint = Endpoint(f"10.1.1.{host}", 80)
    row = (str(endpoint), endpoint, "entries", zone, 2, 2000, False, False, 1)
    return Lease(*row)


@pytest.mark.parametrize(
    "server_zones, kept", [((), ["cnx-a", "cnx-b"]), (("cnx-b",), ["cnx-b"])]
)
def test_new_flows_go_only_to_the_zones_that_the_rules_name(server_zones, kept):
    directory = Directory()
    directory.use_services(1, services(BASE))
    directory.use_gates({"entries": Gate(server_zones=server_zones)})
    leases = (lease("cnx-a", 1), lease("cnx-b", 2))
    directory.use_leases(ServersChanged(leases, ()), 1.0)
    (change,) = directory.placement_servers()
    assert [server.zone for server in change.servers] == kept
    assert len(directory.routes().servers) == 2
