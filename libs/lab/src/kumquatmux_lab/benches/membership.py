"""Control bytes of membership and leases against VMs, backend servers and changes.

Real coordinators run on a simulated clock and hand each other real encoded messages, so
the bytes are those of the codec, without ZeroMQ, TCP and IP headers. Run it by
``python -m kumquatmux_lab.benches.membership``.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from kumquatmux_core import decisions
from kumquatmux_core.identity import Endpoint, ServerId, ServiceName, Vm, VmId, ZoneName
from kumquatmux_membership.coordinator import Coordinator
from kumquatmux_membership.events import (
    Announce,
    Depart,
    Event,
    Lease,
    LeaseAck,
    LeaseAnswer,
    LeaseRequest,
    LeaseUpdate,
    Received,
    SendMessage,
    Tick,
    Ticket,
    ViewChanged,
)
from kumquatmux_membership.phases import Phase, version_of
from kumquatmux_membership.sampled import SampledMembership
from kumquatmux_membership.settings import LeaseSettings, MembershipSettings
from kumquatmux_membership.wire import MESSAGES

STEADY_SECONDS = 5
LOSS_SECONDS = 6.0
SAMPLED_COUNTS = (6, 60, 600)
START_LIMIT_SECONDS = 40.0
DELAY_SECONDS = 0.005
TICK_SECONDS = 0.1
LEASE_MESSAGES = (LeaseUpdate, LeaseRequest, LeaseAck)


class Traffic(NamedTuple):
    """What a fleet sent in some time.

    Attributes:
        vms: VMs in the fleet.
        bytes_per_vm: Encoded bytes that a VM sent, a second.
        messages_per_vm: Messages that a VM sent, a second.
        cpu_ms_per_vm: Processor time of a VM with its share of the bench, a second.
    """

    vms: int
    bytes_per_vm: float
    messages_per_vm: float
    cpu_ms_per_vm: float


class Fleet:
    """Coordinators joined by a network of one constant delay.

    Args:
        vms: The VMs.
        settings: Settings of failure detection.
    """

    def __init__(self, vms: tuple[Vm, ...], settings: MembershipSettings) -> None:
        self.nodes = {
            vm.vm: Coordinator(vm, vms, settings, LeaseSettings(), Random(vm.vm))
            for vm in vms
        }
        self.views: dict[VmId, set[VmId]] = {}
        self.settled: dict[VmId, float] = {}
        self.flying: deque[tuple[float, VmId, bytes]] = deque()
        self.now = 1.0
        self.bytes = 0
        self.lease_bytes = 0
        self.messages = 0

    def handle(self, name: VmId, event: Event) -> LeaseAnswer | None:
        """Hand an event to a VM and carry what it sends."""
        answer = None
        for action in self.nodes[name].handle(event, self.now):
            if isinstance(action, SendMessage):
                data = MESSAGES.encode(action.message)
                self.bytes += len(data)
                if isinstance(action.message, LEASE_MESSAGES):
                    self.lease_bytes += len(data)
                self.messages += 1
                self.flying.append((self.now + DELAY_SECONDS, action.vm, data))
            elif isinstance(action, ViewChanged):
                self.views[name] = {vm.vm for vm in action.live}
                self.settled[name] = self.now
            elif isinstance(action, LeaseAnswer):
                answer = action
        return answer

    def run(self, seconds: float) -> None:
        """Run all VMs, their ticks spread over the tick period."""
        end = self.now + seconds
        while self.now < end:
            start = self.now
            names = list(self.nodes)
            for number, name in enumerate(names):
                self._deliver(start + TICK_SECONDS * number / len(names))
                self.handle(name, Tick())
            self._deliver(start + TICK_SECONDS)

    def measure(self, seconds: float) -> Traffic:
        """Return the traffic of some time."""
        self.bytes = self.messages = 0
        cpu = time.process_time()
        self.run(seconds)
        share = 1 / (len(self.nodes) * seconds)
        return Traffic(
            vms=len(self.nodes),
            bytes_per_vm=self.bytes * share,
            messages_per_vm=self.messages * share,
            cpu_ms_per_vm=(time.process_time() - cpu) * 1000 * share,
        )

    def settle(self) -> None:
        """Drop rumours still to be passed on, once all VMs know all of them."""
        nodes = [node.membership for node in self.nodes.values()]
        rumours = [
            node.rumours for node in nodes if isinstance(node, SampledMembership)
        ]
        while len({one.digest() for one in rumours}) > 1:
            assert self.now < START_LIMIT_SECONDS, "rumours differ"
            self.run(1.0)
        for one in rumours:
            one.sends.clear()

    def lose(self, name: VmId) -> list[float]:
        """Kill a VM; return the seconds until each other one had it out of its view."""
        del self.nodes[name]
        self.views.pop(name)
        killed = self.now
        self.run(LOSS_SECONDS)
        slow = [vm for vm, view in self.views.items() if name in view]
        assert not slow, f"{len(slow)} VMs still see {name}"
        return sorted(self.settled[vm] - killed for vm in self.nodes)

    def _deliver(self, until: float) -> None:
        while self.flying and self.flying[0][0] <= until:
            self.now, name, data = self.flying.popleft()
            if name in self.nodes:
                self.handle(name, Received(MESSAGES.decode(data).ok))
        self.now = max(self.now, until)


def make_fleet(count: int, zones: int, settings: MembershipSettings) -> Fleet:
    """Return a fleet of VMs spread over availability zones."""
    return Fleet(tuple(make_vm(number, zones) for number in range(count)), settings)


def make_vm(number: int, zones: int) -> Vm:
    """Return a VM with an address of its own."""
    zone = ZoneName(f"zone-{number % zones}")
    ip = f"10.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}"
    name = VmId(f"{zone}-{number}")
    return Vm(name, zone, Endpoint(ip, 7000), Endpoint(ip, 7001), 1_700_000_000_000)


def make_lease(number: int, zone: ZoneName) -> Lease:
    """Return the lease of a backend server with an address of its own."""
    endpoint = Endpoint(f"10.200.{number // 250}.{number % 250 + 1}", 8080)
    return Lease(
        server=ServerId(str(endpoint)),
        endpoint=endpoint,
        service=ServiceName("entries"),
        zone=zone,
        slots=2,
        connections=2000,
        draining=False,
        left=False,
        version=version_of(1_700_000_000_000, Phase.LIVE),
    )


def mesh(counts: Iterable[int] = (6, 24, 60)) -> list[Traffic]:
    """Measure a full mesh."""
    rows = []
    for count in counts:
        fleet = make_fleet(count, 3, MembershipSettings())
        fleet.run(5.0)
        rows.append(fleet.measure(5.0))
    return rows


def sampled(count: int, fanout: int = 8) -> tuple[Traffic, list[float]]:
    """Measure sampled mode and how long a loss takes to be known everywhere."""
    fleet = make_fleet(count, 3, MembershipSettings(fanout=fanout))
    fleet.run(6.0)
    fleet.settle()
    fleet.run(2.0)
    traffic = fleet.measure(5.0)
    return traffic, fleet.lose(next(iter(fleet.nodes)))


class LeaseTraffic(NamedTuple):
    """What leases cost a fleet of six VMs.

    Attributes:
        servers: Backend servers that renew every second.
        heartbeats: Bytes that a VM sends a second while they renew.
        renewals: Bytes of lease messages that a VM sends a second meanwhile.
        announce: Bytes of lease messages of the fleet for one new server.
        leave: Bytes of lease messages of the fleet for one leave.
        table: Bytes of the complete tables that a restarted VM gets.
    """

    servers: int
    heartbeats: float
    renewals: float
    announce: float
    leave: float
    table: float


def leases(counts: Iterable[int] = (10, 100, 1000)) -> list[LeaseTraffic]:
    """Measure leases on six VMs in three availability zones."""
    return [LeaseBench(count).run() for count in counts]


class LeaseBench:
    """Backend servers that announce, renew and leave.

    Args:
        count: How many.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.fleet = make_fleet(6, 3, MembershipSettings())
        self.names = list(self.fleet.nodes)
        self.tickets: dict[int, Ticket] = {}

    def run(self) -> LeaseTraffic:
        """Measure one size."""
        fleet = self.fleet
        fleet.run(5.0)
        self._renew()
        fleet.run(1.0)
        self._renew()
        fleet.run(1.0)
        announced = fleet.lease_bytes
        fleet.bytes = 0
        for _ in range(STEADY_SECONDS):
            self._renew()
            fleet.run(1.0)
        share = 1 / (STEADY_SECONDS * len(self.names))
        steady = fleet.bytes * share
        renewals = (fleet.lease_bytes - announced) * share
        before = fleet.lease_bytes
        fleet.handle(self.names[0], Depart(make_lease(0, self._zone(0)).server))
        fleet.run(1.0)
        leave = fleet.lease_bytes - before
        tables = [fleet.nodes[name].leases.holder for name in self.names[1:]]
        table = sum(_table_bytes(holder.all_leases()) for holder in tables)
        return LeaseTraffic(
            servers=self.count,
            heartbeats=steady,
            renewals=renewals,
            announce=announced / self.count,
            leave=leave,
            table=table,
        )

    def _zone(self, number: int) -> ZoneName:
        return self.fleet.nodes[self.names[number]].leases.me.zone

    def _renew(self) -> None:
        for number in range(self.count):
            place = number % len(self.names)
            lease = make_lease(number, self._zone(place))
            announce = Announce(lease, self.tickets.get(number))
            answer = self.fleet.handle(self.names[place], announce)
            assert answer is not None
            self.tickets[number] = answer.ticket


def _table_bytes(table: tuple[Lease, ...]) -> int:
    update = LeaseUpdate(VmId("zone-0-0"), 1_700_000_000_000, 1000, True, table)
    return len(MESSAGES.encode(update))


def main() -> None:
    """Print every table."""
    decisions.configure(as_json=False, enabled=False)
    print("mode,vms,bytes_per_vm_s,messages_per_vm_s,cpu_ms_per_vm_s,loss_p50_s,max_s")
    for row in mesh():
        print("mesh", *_cells(row), "", "", sep=",")
    for count in SAMPLED_COUNTS:
        row, times = sampled(count)
        middle = times[len(times) // 2]
        print("sampled", *_cells(row), f"{middle:.2f}", f"{times[-1]:.2f}", sep=",")
    print(",".join(LeaseTraffic._fields))
    for lease_row in leases():
        print(*(round(value) for value in lease_row), sep=",")


def _cells(row: Traffic) -> list[str]:
    return [str(row.vms), *(f"{value:.1f}" for value in row[1:])]


if __name__ == "__main__":
    main()
