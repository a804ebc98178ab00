from __future__ import annotations

from random import Random

from kumquatmux_core.identity import Endpoint, ServerId, ServiceName, Vm, VmId, ZoneName
from kumquatmux_membership import Coordinator, LeaseSettings, MembershipSettings
from kumquatmux_membership.events import (
    Announce,
    Depart,
    Lease,
    LeaseAnswer,
    LeaseState,
    Received,
    SendMessage,
    ServersChanged,
    Tick,
    ViewChanged,
)
from kumquatmux_membership.phases import Phase, version_of


def make_vm(name, zone="cnx-a"):
    return Vm(VmId(name), ZoneName(zone), Endpoint("127.0.0.1", 1), Endpoint("::", 2))


def make_lease(session=1):
    endpoint = Endpoint("127.0.0.9", 80)
    return Lease(
        ServerId(str(endpoint)),
        endpoint,
        ServiceName("entries"),
        ZoneName("cnx-a"),
        2,
        2000,
        False,
        False,
        version_of(session, Phase.LIVE),
    )


class CoordinatorNetwork:
    """Coordinators whose messages arrive at once, except over cut paths."""

    def __init__(self, vms):
        self.coordinators = {
            vm.vm: Coordinator(
                vm, tuple(vms), MembershipSettings(), LeaseSettings(), Random(1)
            )
            for vm in vms
        }
        self.cut = set()
        self.now = 100.0
        self.actions_by_vm = {name: [] for name in self.coordinators}

    def handle(self, name, event):
        actions = self.coordinators[name].handle(event, self.now)
        self.actions_by_vm[name] += [
            action for action in actions if not isinstance(action, SendMessage)
        ]
        for action in actions:
            if isinstance(action, SendMessage) and (name, action.vm) not in self.cut:
                self.handle(action.vm, Received(action.message))
        return actions

    def run(self, seconds):
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for name in self.coordinators:
                self.handle(name, Tick())

    def latest_action(self, name, kind):
        return [
            action for action in self.actions_by_vm[name] if isinstance(action, kind)
        ][-1]

    def call(self, name, event):
        return self.handle(name, event)[0]


def announce_with_ticket(network, name, lease):
    refused = network.call(name, Announce(lease))
    return network.call(name, Announce(lease, refused.ticket))


def test_three_vms_view_each_other_and_lose_a_silent_one_in_3_seconds():
    network = CoordinatorNetwork([make_vm("a"), make_vm("b"), make_vm("c")])
    network.run(2)
    assert [vm.vm for vm in network.latest_action("a", ViewChanged).live] == [
        "a",
        "b",
        "c",
    ]
    network.cut = {("c", "a"), ("c", "b")}
    network.run(3)
    for name in ("a", "b"):
        view = network.latest_action(name, ViewChanged)
        assert [vm.vm for vm in view.live] == ["a", "b"]
        assert view.lost == ("c",)
    assert [vm.vm for vm in network.latest_action("c", ViewChanged).live] == ["c"]


def test_a_lease_reaches_all_vms_and_a_leave_ends_it():
    network = CoordinatorNetwork([make_vm("a"), make_vm("b"), make_vm("z", "lpg-a")])
    network.run(2)
    answer = announce_with_ticket(network, "a", make_lease())
    assert answer.state == LeaseState.GRANTED
    for name in network.coordinators:
        assert network.latest_action(name, ServersChanged).fresh == (make_lease(),)
    assert isinstance(network.call("b", Depart(make_lease().server)), LeaseAnswer)
    assert network.call("b", Depart(make_lease().server)).state == LeaseState.IN_FORCE
    for name in network.coordinators:
        assert network.latest_action(name, ServersChanged) == ServersChanged((), ())
