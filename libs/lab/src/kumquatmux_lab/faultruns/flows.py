"""Seeded fault runs over several flow engines and the promises they must keep."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from functools import partial

from kumquatmux_core.identity import Address, Endpoint, FlowKey, Vm, VmId, ZoneName
from kumquatmux_flows.events import Leaving, ServerRoute
from kumquatmux_flows.settings import FlowSettings
from kumquatmux_lab.faultruns.flowends import CallerEnd, Phase, Wire, new_isn
from kumquatmux_lab.faultruns.flowhistory import (
    REUSED,
    Broken,
    Ended,
    Excused,
    Opened,
    Silenced,
    violations,
)
from kumquatmux_lab.faultruns.flowworld import (
    FABRIC_LEARNS_SECONDS,
    RUN_SETTINGS,
    SERVICES,
    Host,
    Node,
    World,
)
from kumquatmux_lab.faultruns.report import RunReport

ZONES = (ZoneName("cnx-a"), ZoneName("cnx-b"), ZoneName("lpg-a"))
VM_COUNT = 6
SERVERS_EACH = 3
WARM_SECONDS = 4.0
FAULT_COUNT = 5
REPAIR_SECONDS = 8.0
CUT_SECONDS = 6.0
DRAINED_SECONDS = 5.0
QUIESCE_SECONDS = 22.0
DETECT_LEAST_SECONDS = 0.8
DETECT_MOST_SECONDS = 1.6
SPREAD_SECONDS = 0.4
LEAVE_DEADLINE_SECONDS = 20.0
ENDS_TICK_SECONDS = 0.1
FLOW_EVERY_SECONDS = 0.35
FEED_SHARE = 0.3
DATAGRAM_SHARE = 0.15
PUSH_SECONDS = 3.0


class FlowRun:
    """One run: a world, its callers, and the faults made in it."""

    def __init__(self, seed: int, settings: FlowSettings) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.world = World(self.random, settings)
        self.faults: Counter[str] = Counter()
        self.revision = 1
        self.routes: dict[Address, ServerRoute] = {}
        self.ports = iter(range(1_024, 60_000))
        self.vm_number = 0
        self.opened: set[FlowKey] = set()
        self.datagrams: list[FlowKey] = []
        self.traffic = True
        self.complaints: list[str] = []

    def build(self) -> None:
        """Make VMs, servers and the first views."""
        for number in range(SERVERS_EACH):
            for offset, service in enumerate(SERVICES):
                ip = f"127.66.{offset + 1}.{number + 1}"
                server = Endpoint(ip, 9001).packed
                host = Host(server, service, ZONES[number % len(ZONES)])
                host.push_every = PUSH_SECONDS
                self.world.hosts[server] = host
                self.announce(host)
        for number in range(VM_COUNT):
            self.add_node(ZONES[number % len(ZONES)])
        for node in self.world.nodes.values():
            node.view = frozenset(self.world.nodes)
            self.world.tell_view(node)

    def add_node(self, zone: ZoneName) -> Node:
        """Start one VM."""
        self.vm_number += 1
        name = VmId(f"vm{self.vm_number}")
        endpoint = Endpoint("127.0.0.1", self.vm_number)
        vm = Vm(name, zone, endpoint, endpoint, incarnation=self.vm_number)
        node = Node(vm, self.world.settings, self.random)
        self.world.nodes[name] = node
        node.routes = tuple(self.routes.values())
        node.revision = self.revision
        self.world.tell_routes(node, self.revision)
        self.world.tick_node(node)
        return node

    def announce(self, host: Host) -> None:
        """Let a server announce itself."""
        route = ServerRoute(host.server, host.service, host.zone)
        self.routes[host.server] = route

    def alive(self) -> list[Node]:
        """Return the VMs that run."""
        return [node for node in self.world.nodes.values() if node.alive]

    def members(self) -> list[Node]:
        """Return the VMs that run and do not leave."""
        return [node for node in self.alive() if node.sprayed]

    def tick_ends(self) -> None:
        """Let callers and servers retransmit, ask and push."""
        world = self.world
        for end in list(world.callers.values()):
            self.tick_caller(end)
        for host in world.hosts.values():
            for server_end in list(host.ends.values()) if host.running else []:
                server_end.tick(world.now)
                server_end.push(world.now)
                world.flush_server(host, server_end)
        world.after(ENDS_TICK_SECONDS, self.tick_ends)

    def tick_caller(self, end: CallerEnd) -> None:
        """Let one caller act, and note what became of it."""
        world = self.world
        end.tick(world.now)
        end.act(world.now)
        world.flush_caller(end)
        if end.phase == Phase.OPEN and end.key not in self.opened:
            self.opened.add(end.key)
            world.history.append(Opened(world.now, end.key, end.connection))
        if end.phase == Phase.OVER or end.gives_up(world.now):
            self.caller_over(end)

    def caller_over(self, end: CallerEnd) -> None:
        """Note the end of a caller."""
        world = self.world
        del world.callers[end.key]
        if end.cause == "done":
            world.history.append(Ended(world.now, end.key, end.connection))
        elif end.cause == "reset":
            broken = Broken(world.now, end.key, end.connection, "reset")
            world.history.append(broken)
        elif end.cause == "" and end.key in self.opened:
            broken = Broken(world.now, end.key, end.connection, "no answer")
            world.history.append(broken)

    def new_key(self, protocol: int) -> FlowKey:
        """Return a key no flow of the run has had."""
        port = next(self.ports).to_bytes(2)
        service = self.random.choice(list(SERVICES.values()))
        caller = bytes((127, 66, 0, 9))
        return FlowKey(bytes((protocol,)) + caller + service[:4] + port + service[4:])

    def start_flows(self) -> None:
        """Start flows at a steady rate."""
        if not self.traffic:
            return
        kind = self.random.random()
        if kind < DATAGRAM_SHARE:
            self.start_datagrams()
        elif kind < DATAGRAM_SHARE + FEED_SHARE:
            self.start_caller(requests=1_000, pause=self.random.uniform(2.0, 12.0))
        else:
            self.start_caller(requests=self.random.randint(1, 3), pause=0.0)
        self.world.after(FLOW_EVERY_SECONDS, self.start_flows)

    def start_caller(self, requests: int, pause: float) -> None:
        """Open one TCP flow."""
        key = self.new_key(6)
        self.world.caller_zones[key] = self.random.choice(ZONES)
        end = CallerEnd(key, new_isn(self.random), requests, pause)
        self.world.callers[key] = end
        end.start(self.world.now)
        self.world.flush_caller(end)

    def start_datagrams(self) -> None:
        """Begin one UDP flow."""
        key = self.new_key(17)
        self.world.caller_zones[key] = self.random.choice(ZONES)
        self.send_datagram(key, self.random.randint(3, 12))

    def send_datagram(self, key: FlowKey, left: int) -> None:
        """Send a datagram, and the next ones later."""
        self.world.from_caller(Wire(key, 0, 0, 0, 20, 0, 0))
        if left:
            delay = self.random.uniform(0.05, 2.0)
            self.world.after(delay, lambda: self.send_datagram(key, left - 1))

    def views_later(self, nodes: list[Node], least: float, most: float) -> None:
        """Let VMs notice, each at its own time, whom they can reach now."""
        for node in nodes:
            delay = self.random.uniform(least, most)
            self.world.after(delay, partial(self.renew_view, node))

    def renew_view(self, node: Node) -> None:
        """Give a VM the view that holds now."""
        if not node.alive:
            return
        world = self.world
        reached = {
            other.vm.vm
            for other in world.nodes.values()
            if other.alive
            and (other.sprayed or other is node)
            and not world.is_cut(node.vm.zone, other.vm.zone)
            and not world.is_cut(other.vm.zone, node.vm.zone)
        }
        gone = node.view - reached
        lost = tuple(vm for vm in sorted(gone) if not self.is_leaver(vm))
        node.view = frozenset(reached)
        world.tell_view(node, lost)

    def is_leaver(self, vm: VmId) -> bool:
        """Return whether a VM left gracefully."""
        node = self.world.nodes[vm]
        return not node.sprayed and (node.alive or node.quiet)

    def crash(self) -> None:
        """Lose one VM without a word."""
        members = self.members()
        if len(members) < 4:
            return
        self.lose(self.random.choice(members))

    def lose(self, node: Node) -> None:
        """Lose a certain VM without a word."""
        self.faults["crash"] += 1
        node.alive = False
        self.world.after(FABRIC_LEARNS_SECONDS, lambda: self.stop_spray(node))
        self.views_later(self.alive(), DETECT_LEAST_SECONDS, DETECT_MOST_SECONDS)

    def stop_spray(self, node: Node) -> None:
        """Let the fabric forget a VM."""
        node.sprayed = False

    def crash_two(self) -> None:
        """Lose two VMs at once: open flows may go, nothing else."""
        self.faults["crash-two"] += 1
        self.world.history.append(
            Excused(self.world.now, float("inf"), "two VMs lost at once")
        )
        self.crash()
        self.crash()

    def join(self) -> None:
        """Start a VM that others notice one by one."""
        self.faults["join"] += 1
        node = self.add_node(self.random.choice(ZONES))
        self.renew_view(node)
        others = [other for other in self.alive() if other is not node]
        self.views_later(others, 0.0, SPREAD_SECONDS)

    def leave(self) -> None:
        """Stop a VM gracefully."""
        members = self.members()
        if len(members) < 4:
            return
        self.faults["leave"] += 1
        node = self.random.choice(members)
        self.world.tell(node, Leaving())
        node.sprayed = False
        self.views_later(self.alive(), 0.0, SPREAD_SECONDS)
        self.world.after(0.5, lambda: self.await_quiet(node, self.world.now))

    def await_quiet(self, node: Node, since: float) -> None:
        """Stop a leaving VM once it is quiet."""
        if node.quiet:
            node.alive = False
        elif self.world.now - since > LEAVE_DEADLINE_SECONDS:
            self.complaints.append(f"{node.vm.vm} left and was never quiet")
            node.alive = False
        else:
            self.world.after(0.5, lambda: self.await_quiet(node, since))

    def cut(self) -> None:
        """Cut a zone off, sometimes in one direction only, and heal it later."""
        zone = self.random.choice(ZONES)
        one_way = self.random.random() < 0.3
        self.faults["cut-one-way" if one_way else "cut"] += 1
        for other in ZONES:
            if other != zone:
                self.world.cut.add((zone, other))
                if not one_way:
                    self.world.cut.add((other, zone))
        self.excuse_spanning(zone)
        self.views_later(self.alive(), DETECT_LEAST_SECONDS, DETECT_MOST_SECONDS)
        self.world.after(CUT_SECONDS, self.heal)

    def excuse_spanning(self, zone: ZoneName) -> None:
        """Excuse flows whose caller and server a cut parts."""
        for host in self.world.hosts.values():
            for key in host.ends:
                inside = self.world.caller_zones[key] == zone
                if inside != (host.zone == zone):
                    self.world.history.append(
                        Excused(self.world.now, float("inf"), "cut", key)
                    )

    def heal(self) -> None:
        """Join the zones again."""
        self.world.cut.clear()
        self.views_later(self.alive(), 0.1, SPREAD_SECONDS)

    def drain(self) -> None:
        """Let a server stop announcing itself; its open flows go on."""
        host = self.random.choice(list(self.world.hosts.values()))
        peers = [
            other
            for other in self.world.hosts.values()
            if other.service == host.service and other.server in self.routes
        ]
        if host not in peers or len(peers) < 2:
            return
        self.faults["drain"] += 1
        del self.routes[host.server]
        self.routes_later()
        if self.random.random() < 0.5:
            self.world.after(DRAINED_SECONDS, lambda: self.reuse(host))
        else:
            self.world.after(DRAINED_SECONDS, lambda: self.come_back(host))

    def come_back(self, host: Host) -> None:
        """Let a drained server announce itself again."""
        self.announce(host)
        self.routes_later()

    def reuse(self, host: Host) -> None:
        """Give a drained server's address to the other service."""
        self.faults["reuse"] += 1
        for key in (*host.ends, *host.datagrams):
            excused = Excused(self.world.now, float("inf"), REUSED, key)
            self.world.history.append(excused)
        other = next(name for name in SERVICES if name != host.service)
        moved = ServerRoute(host.server, other, host.zone)
        self.routes[host.server] = moved
        host.running = False
        self.routes_later()
        self.world.after(SPREAD_SECONDS + 0.1, lambda: self.restart(host, moved))

    def restart(self, host: Host, route: ServerRoute) -> None:
        """Start the other service at an address, after every VM has heard of it."""
        host.service = route.service
        host.ends = {}
        host.datagrams = set()
        host.running = True

    def routes_later(self) -> None:
        """Let VMs hear of new routes, each at its own time."""
        self.revision += 1
        routes = tuple(self.routes.values())
        for node in self.alive():
            delay = self.random.random() * SPREAD_SECONDS
            step = self.routes_step(node, routes, self.revision)
            self.world.after(delay, step)

    def routes_step(
        self, node: Node, routes: tuple[ServerRoute, ...], revision: int
    ) -> Callable[[], None]:
        """Return the step that tells one VM its routes."""

        def step() -> None:
            if revision < node.revision:
                return
            node.routes = routes
            node.revision = revision
            self.world.tell_routes(node, revision)

        return step

    def silence(self) -> None:
        """Let something between lose an open flow."""
        keys = [
            end.key
            for end in self.world.callers.values()
            if end.phase == Phase.OPEN and end.pause and end.whole
        ]
        if not keys:
            return
        self.faults["silence"] += 1
        key = self.random.choice(keys)
        self.world.silenced.add(key)
        self.world.history.append(Silenced(self.world.now, key))

    def burst(self) -> None:
        """Lose and double packets for a while."""
        self.faults["loss"] += 1
        self.world.loss = 0.05
        self.world.double = 0.1
        self.world.after(3.0, self.end_burst)

    def end_burst(self) -> None:
        """Let the links be clean again."""
        self.world.loss = 0.0
        self.world.double = 0.02

    def play(self) -> RunReport:
        """Run traffic and faults, let everything settle, and judge."""
        self.build()
        self.end_burst()
        self.start_flows()
        self.tick_ends()
        self.world.run_until(WARM_SECONDS)
        kinds = [
            self.crash,
            self.join,
            self.leave,
            self.cut,
            self.drain,
            self.silence,
            self.burst,
        ]
        if self.random.random() < 0.15:
            kinds.append(self.crash_two)
        for _ in range(FAULT_COUNT):
            self.random.choice(kinds)()
            if self.random.random() < 0.3:
                self.random.choice([self.join, self.drain, self.burst])()
            pause = CUT_SECONDS + REPAIR_SECONDS if self.world.cut else REPAIR_SECONDS
            self.world.run_until(self.world.now + pause)
        return self.finish()

    def finish(self) -> RunReport:
        """Stop new flows, let everything settle, and judge."""
        self.traffic = False
        self.world.run_until(self.world.now + QUIESCE_SECONDS)
        self.judge_open()
        found = (*self.complaints, *violations(self.world.history))
        return RunReport(self.seed, dict(self.faults), found)

    def judge_open(self) -> None:
        """Note callers that are stuck although every fault is over."""
        world = self.world
        for end in world.callers.values():
            waited = 0.0 if end.stuck_since is None else world.now - end.stuck_since
            if end.phase == Phase.OPEN and waited > QUIESCE_SECONDS / 2:
                broken = Broken(world.now, end.key, end.connection, "stuck")
                world.history.append(broken)


def run(seed: int, settings: FlowSettings = RUN_SETTINGS) -> RunReport:
    """Return the report of one seeded run."""
    return FlowRun(seed, settings).play()
