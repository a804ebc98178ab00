"""A zone of entry VMs with routers, servers and callers that checks rule FLOW."""

from __future__ import annotations

import heapq
import math
import zlib
from itertools import count
from random import Random
from typing import NamedTuple

from expression import Ok

from kumquatmux_core.identity import Address, Endpoint
from kumquatmux_daemons.token_entry.core import EntryCore
from kumquatmux_daemons.token_entry.effects import Datagram, Probe
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_registry.leases import Leases
from kumquatmux_registry.lookup import TokenAnswer, TokenQuestion
from kumquatmux_registry.publisher import Document, Publisher, PublisherSettings
from kumquatmux_registry.records import Lifetime, Phase, Report
from kumquatmux_registry.settings import RegistrySettings
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.probes import ProbeResult
from kumquatmux_tokens.routes import Route, RouteSet, WeightedService

ROUTE = Address(bytes([198, 18, 0, 1, 1, 187]))
PLACE = Endpoint("10.1.0.9", 1)
STEP_S = 0.01
REPORT_S = 1.2
CONTACT_S = 3.0
"""Seconds after a disturbance of a server in which a break of its flows isn't held."""
REORDER_S = 2.0
SYN_TIMES_S = (0.0, 0.2, 0.6)
GIVE_UP_S = 1.4
BUDGET_S = 6.0
REQUEST_BYTES = 100
ANSWER_BYTES = 1000


class Packet(NamedTuple):
    """A packet of a caller or a server; ``sender`` is not on the wire."""

    kind: str
    flow: int
    token: int
    sequence: int
    acknowledged: int
    length: int = 0
    copy: int = 0
    sender: str = ""


class ToServer(NamedTuple):
    """A datagram to a server: the 8 bytes that name it, and a packet."""

    name: str
    packet: Packet


class Break(NamedTuple):
    """A break of rule FLOW; the rule holds it against us if ``is_counted``."""

    flow: int
    time: float
    what: str
    is_counted: bool
    holder: str
    sender: str
    token: int
    history: tuple[str, ...]


class Packets:
    """Packets as named tuples instead of bytes."""

    def read_head(self, packet):
        is_syn = packet.kind == "syn"
        acknowledged = packet.copy if is_syn else packet.acknowledged
        return PacketHeader(
            packet.flow.to_bytes(6) + ROUTE, ROUTE, packet.token, is_syn,
            packet.kind == "fin", packet.copy, packet.sequence, acknowledged,
            packet.length,
        )  # fmt: skip

    def names_server(self, name):
        return True

    def to_server(self, packet, server, token):
        name = server.report.lifetime.name
        return ToServer(name, packet._replace(token=token))

    def reset_for(self, packet, sequence):
        return Packet("rst", packet.flow, 0, sequence, 0)

    def caller_ip(self, packet):
        return str(packet.flow)

    def read_routes(self, content):
        route = Route("r", ROUTE, (WeightedService("entries", 1),))
        return Ok(RouteSet(int(content), (route,), frozenset({"entries"}), 15.0))


class EntryVm:
    """An entry VM, which may be frozen, slow to read, or cut off from other VMs."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        settings = EntrySettings(name, "a", PLACE, PLACE, PLACE, PLACE, ("c1",))
        seed = world.random.randrange(1 << 32)
        self.core = EntryCore(settings, Packets(), Random(seed), world.now)
        self.is_up = True
        self.is_frozen = False
        self.is_cut = False
        self.read_delay_s = 0.0
        self.queue = []
        self.misses = 2

    def deliver(self, method, *given):
        if self.read_delay_s and not self.is_frozen:
            self.world.after(self.read_delay_s, self.read, method, *given)
        else:
            self.read(method, *given)

    def read(self, method, *given):
        if self.is_frozen:
            self.queue.append((method, *given))
        elif self.is_up:
            self.run(method, *given)
            if not self.read_delay_s:
                self.core.router.backlog.note_queue_empty()

    def run(self, method, *given):
        self.world.running = self.name
        self.world.carry_out(self, getattr(self.core, method)(*given, self.world.now))

    def tick(self):
        runs = self.is_up and not self.is_frozen
        if runs and self.core.due_at(self.world.now) <= self.world.now:
            self.run("tick")

    def freeze(self, seconds, ticks_first=None):
        """Stand still; what is done first after that is drawn if it isn't given."""
        self.is_frozen = True
        if ticks_first is None:
            ticks_first = self.world.random.random() < 0.5
        self.world.after(seconds, self.wake, ticks_first)

    def wake(self, ticks_first):
        self.is_frozen = False
        if ticks_first:
            self.run("tick")
        queue, self.queue = self.queue, []
        for method, *given in queue:
            self.run(method, *given)
        self.core.router.backlog.note_queue_empty()

    def stop(self):
        """End by plan: leave the rotation, then end."""
        self.run("stop")
        self.world.after(2.6, setattr, self, "is_up", False)

    def answers(self):
        return self.is_up and not self.is_frozen and self.core.is_ready(self.world.now)


class ServerFlow:
    """A flow at a server, half open until the caller acknowledges its SYN+ACK."""

    def __init__(self, packet, sequence):
        self.token = packet.token
        self.sequence = sequence
        self.next = packet.sequence + 1
        self.is_open = False
        self.has_answered = False


class Server:
    """One lifetime of a backend server."""

    def __init__(self, world, name, endpoint, is_cut=False, first_report_s=0.0):
        self.world = world
        self.lifetime = Lifetime(name, 1 + round(world.now * 1000))
        self.endpoint = endpoint
        self.phase = Phase.READY
        self.number = 0
        self.reports = True
        self.is_up = True
        self.is_cut = is_cut
        self.is_full = False
        self.syn_delay_s = 0.0
        self.flows = {}
        self.lost_paths = ()
        self.paused_until = -math.inf
        self.disturbed_until = -math.inf
        world.at_endpoint[endpoint] = self
        world.after(first_report_s, self.report_on)

    def report_on(self):
        if self.is_up and self.reports:
            self.report()
            self.world.after(REPORT_S, self.report_on)

    def report(self):
        self.number += 1
        report = Report(
            self.lifetime, self.number, "entries", self.endpoint, "a", "v1", 4,
            self.phase, 0.0,
        )  # fmt: skip
        if not self.is_cut and self.paused_until <= self.world.now:
            self.world.send(self.world.deliver, self.world.control, "report", report)

    def disturb(self, seconds=0.0):
        until = self.world.now + seconds + CONTACT_S
        self.disturbed_until = max(self.disturbed_until, until)

    def disturb_by(self, attribute, value, seconds):
        self.disturb(seconds)
        setattr(self, attribute, value)
        self.world.after(seconds, setattr, self, attribute, type(value)())

    def pause(self, seconds):
        self.disturb(seconds)
        self.paused_until = max(self.paused_until, self.world.now + seconds)

    def take(self, datagram):
        packet = datagram.packet
        if self.is_up and packet.kind != "syn":
            self.world.checker.note_arrival(self, packet)
        if not self.is_up or datagram.name != self.lifetime.name:
            return
        if packet.kind == "syn":
            self.take_syn(packet)
            return
        held = self.flows.get(packet.flow)
        opens = held is not None and packet.acknowledged == held.sequence + 1
        if held is None or not (held.is_open or opens):
            self.answer(Packet("rst", packet.flow, 0, 0, 0))
            return
        if not held.is_open:
            held.is_open = True
            self.world.checker.note_open(self, packet.flow)
        held.token = packet.token
        self.take_data(packet, held)

    def take_syn(self, packet):
        if self.is_full:
            return
        held = self.flows.get(packet.flow)
        if held is None:
            held = ServerFlow(packet, self.world.random.randrange(1 << 28))
            self.flows[packet.flow] = held
        if not held.is_open:
            held.token = packet.token
            self.world.after(self.syn_delay_s, self.accept, packet.flow, held)

    def accept(self, flow, held):
        self.answer(Packet("syn+ack", flow, held.token, held.sequence, held.next))

    def take_data(self, packet, held):
        if packet.kind == "fin":
            del self.flows[packet.flow]
        elif packet.length and packet.sequence == held.next:
            held.next += packet.length
            held.has_answered = False
            work_s = self.world.random.uniform(0.01, 0.05)
            self.world.after(work_s, self.finish, packet.flow, held)
        elif packet.length and held.has_answered:
            self.finish(packet.flow, held, is_new=False)

    def finish(self, flow, held, is_new=True):
        held.has_answered = True
        held.sequence += ANSWER_BYTES if is_new else 0
        is_last = self.phase == Phase.DRAINING
        kind = "last answer" if is_last else "answer"
        self.answer(Packet(kind, flow, held.token, held.sequence, held.next))
        if is_last:
            self.flows.pop(flow, None)

    def answer(self, packet):
        pause_s = max(self.paused_until - self.world.now, 0.0)
        sent = packet._replace(sender=str(self.lifetime))
        self.world.after(pause_s, self.send, sent)

    def send(self, packet):
        if self.is_up:
            self.world.send(self.world.callers[packet.flow].take, packet)

    def crash(self):
        self.is_up = False
        self.flows.clear()

    def start_again(self, cut_s):
        """Start again under the same id, cut off from the control VM at first."""
        if self.world.at_endpoint[self.endpoint] is self:
            name = self.lifetime.name
            first_report_s = self.world.random.uniform(0.0, REPORT_S)
            is_cut = cut_s > 0
            started = Server(self.world, name, self.endpoint, is_cut, first_report_s)
            started.disturb(cut_s)
            self.world.after(cut_s, setattr, started, "is_cut", False)
            self.world.servers.append(started)

    def drain(self, drain_s, linger_s):
        """Leave by plan; without an ack of the leave call go on for some seconds."""
        self.phase = Phase.DRAINING
        self.report()
        self.world.after(drain_s, self.leave, linger_s)

    def leave(self, linger_s):
        if not self.is_up:
            return
        self.reports = False
        name = self.lifetime.name
        self.world.send(self.world.deliver, self.world.control, "leave", name)
        self.world.after(linger_s, self.crash)


class Control:
    """A control VM that never fails."""

    def __init__(self, world):
        self.world = world
        self.incarnation = 0
        self.paused_until = -math.inf
        self.start()

    def start(self):
        """Start, also anew, without the records of the process before."""
        self.incarnation += 1
        settings = PublisherSettings("c1", "a", self.incarnation)
        self.leases = Leases(RegistrySettings(), "c1")
        self.publisher = Publisher(settings, self.leases)
        self.publisher.document = Document(1, b"1")
        self.publisher.is_current = True

    def pause(self, seconds):
        self.paused_until = self.world.now + seconds

    def report(self, report):
        if self.leases.report(report, self.world.now).default_value(False):
            self.push()

    def leave(self, name):
        if self.leases.leave(name, self.world.now):
            self.push()

    def take(self, message):
        if isinstance(message, TokenQuestion):
            record = self.leases.table.find_token(message.token)
            answer = TokenAnswer("c1", record) if record is not None else None
        else:
            answer = self.publisher.answer(message, self.world.now)
        if answer is not None:
            self.world.send_message("c1", message.sender, answer)

    def push(self):
        for vm, answer in self.publisher.push(self.world.now):
            self.world.send_message("c1", vm, answer)

    def look(self):
        is_paused = self.paused_until > self.world.now
        if not is_paused and self.leases.expire(self.world.now):
            self.push()
        self.world.after(0.25, self.look)


class Caller:
    """A caller with one flow: requests with a pause before each but the first."""

    def __init__(self, world, flow, pauses_s):
        self.world = world
        self.flow = flow
        self.pauses_s = list(pauses_s)
        self.state = "opening"
        self.token = 0
        self.sequence = world.random.randrange(1 << 28)
        self.acknowledged = 0
        self.tokens = []
        for copy, offset_s in enumerate(SYN_TIMES_S):
            world.after(offset_s, self.send_syn, copy)
        world.after(GIVE_UP_S, self.give_up)

    def send(self, kind, length=0, copy=0):
        packet = Packet(
            kind, self.flow, self.token, self.sequence, self.acknowledged, length, copy
        )
        self.world.route(packet)

    def send_syn(self, copy):
        if self.state == "opening":
            self.send("syn", copy=copy)

    def give_up(self):
        if self.state == "opening":
            self.state = "over"

    def take(self, packet):
        if self.state == "over":
            return
        if packet.kind == "rst":
            self.world.checker.note_reset(self, packet)
            self.state = "over"
            return
        if packet.token != self.token:
            self.tokens.append((round(self.world.now, 2), packet.token, packet.sender))
        self.token = packet.token
        if self.state == "opening":
            self.state = "open"
            self.acknowledged = packet.sequence + 1
            self.sequence += 1
            self.ask()
        elif packet.kind == "last answer":
            self.state = "over"
        elif packet.kind == "answer" and packet.acknowledged > self.sequence:
            self.take_answer(packet)

    def take_answer(self, packet):
        self.sequence = packet.acknowledged
        self.acknowledged = packet.sequence + 1
        if not self.pauses_s:
            self.state = "over"
            self.send("fin")
            return
        if self.world.random.random() < self.world.ack_share:
            self.send("ack")
        self.world.after(self.pauses_s.pop(0), self.ask)

    def ask(self):
        self.request(self.sequence, self.world.now, 0.2)

    def request(self, sequence, since, wait_s):
        if self.state != "open" or self.sequence != sequence:
            return
        if self.world.now > since + BUDGET_S:
            self.state = "over"
            return
        self.send("data", REQUEST_BYTES)
        self.world.after(wait_s, self.request, sequence, since, min(2 * wait_s, 1.6))


class Checker:
    """Rule FLOW, judged by what servers and callers see."""

    def __init__(self, world):
        self.world = world
        self.holders = {}
        self.strays = {}
        self.breaks = []

    def note_open(self, server, flow):
        self.holders[flow] = server
        self.world.note(flow, f"open at {server.lifetime}")

    def holder_of(self, flow):
        """Return the server that holds a flow now, None if none does."""
        server = self.holders.get(flow)
        is_held = server is not None and server.is_up and flow in server.flows
        return server if is_held else None

    def note_arrival(self, server, packet):
        holder = self.holder_of(packet.flow)
        if holder is None or server is holder:
            self.strays.pop(packet.flow, None)
            return
        times = self.strays.setdefault(packet.flow, [])
        times.append(self.world.now)
        if len(times) >= 3 and times[-1] - times[0] >= REORDER_S:
            self.add(packet, "led elsewhere", str(server.lifetime), holder)

    def note_reset(self, caller, packet):
        holder = self.holder_of(caller.flow)
        if holder is not None and packet.sender != str(holder.lifetime):
            packet = packet._replace(token=caller.token)
            is_ours = packet.sender in self.world.vms
            reasons = self.world.reset_reasons
            what = reasons[caller.flow] if is_ours else "reset by other server"
            self.add(packet, what, packet.sender, holder)

    def add(self, packet, what, sender, holder):
        vm = self.world.vms.get(sender)
        is_in_touch = vm is None or not vm.is_cut
        is_counted = is_in_touch and holder.disturbed_until <= self.world.now
        caller = self.world.callers[packet.flow]
        history = (*self.world.history.get(packet.flow, ()), *map(str, caller.tokens))
        self.breaks.append(
            Break(
                packet.flow, round(self.world.now, 2), what, is_counted,
                str(holder.lifetime), sender, packet.token, history,
            )
        )  # fmt: skip


class World:
    """A zone; ``now`` is the time in seconds, which only ``run`` moves."""

    def __init__(self, seed, vms=4, servers=3):
        self.random = Random(seed)
        self.now = 0.0
        self.events = []
        self.numbers = count()
        self.loss = 0.0
        self.are_probes_lost = False
        self.ack_share = 0.5
        self.running = ""
        self.history = {}
        self.reset_reasons = {}
        self.at_endpoint = {}
        self.callers = {}
        self.checker = Checker(self)
        self.control = Control(self)
        self.vms = {}
        self.vm_names = count(1)
        self.rotation = []
        self.is_rotation_held = False
        for _ in range(vms):
            self.add_vm()
        self.server_names = count(1)
        self.servers = []
        for _ in range(servers):
            self.add_server()
        self.control.look()
        self.look_at_vms()

    def after(self, seconds, work, *given):
        entry = (self.now + seconds, next(self.numbers), work, given)
        heapq.heappush(self.events, entry)

    def run(self, until):
        while self.now < until:
            step_at = round(self.now + STEP_S, 6)
            while self.events and self.events[0][0] <= step_at:
                self.now, _, work, given = heapq.heappop(self.events)
                work(*given)
            self.now = step_at
            for vm in list(self.vms.values()):
                vm.tick()

    def add_vm(self):
        name = f"e{next(self.vm_names)}"
        self.vms[name] = EntryVm(self, name)

    def add_server(self, endpoint=None):
        """Start a server, at an address that is used again once it is free."""
        number = next(self.server_names)
        former = self.at_endpoint.get(endpoint)
        is_free = former is not None and not former.is_up
        place = endpoint if is_free else Endpoint(f"10.2.0.{number}", 80)
        self.servers.append(Server(self, f"i-{number}", place))

    def add_caller(self, *pauses_s):
        flow = len(self.callers) + 1
        self.callers[flow] = Caller(self, flow, pauses_s)
        return flow

    def look_at_vms(self):
        """Ask each VM whether it is ready, as routers do twice a second."""
        for vm in self.vms.values():
            vm.misses = 0 if vm.answers() else vm.misses + 1
        if not self.is_rotation_held:
            self.rotation = self.vms_in_rotation()
        self.after(0.5, self.look_at_vms)

    def vms_in_rotation(self):
        names = [vm.name for vm in self.vms.values() if vm.misses < 2]
        return names if 2 * len(names) >= len(self.vms) else list(self.vms)

    def send(self, work, *given, delay_s=0.001):
        if self.random.random() >= self.loss:
            self.after(delay_s + 0.002 * self.random.random(), work, *given)

    def coordinator(self):
        """Return the VM that places the flows, as the first VM sees it."""
        coordinators = self.vms["e1"].core.router.coordinators
        return coordinators.coordinator_for("entries", self.now)

    def vm_of(self, flow):
        """Return the VM that a flow's hash selects."""
        index = zlib.crc32(flow.to_bytes(6)) % len(self.rotation)
        return self.vms[self.rotation[index]]

    def route(self, packet):
        if self.rotation:
            self.send(self.vm_of(packet.flow).deliver, "packet", packet)

    def send_message(self, sender, receiver, message):
        vms = [self.vms[one] for one in (sender, receiver) if one in self.vms]
        if any(vm.is_cut or not vm.is_up for vm in vms):
            return
        if receiver in self.vms:
            self.send(self.vms[receiver].deliver, "message", sender, message)
        else:
            self.send(self.deliver, self.control, "take", message)

    def carry_out(self, vm, effects):
        # Load reports come in the order of a set, which differs between processes.
        for effect in sorted(effects, key=lambda one: getattr(one, "vm", "")):
            if isinstance(effect, Datagram):
                self.send_datagram(vm, effect)
            elif isinstance(effect, Probe):
                self.probe(vm, effect)
            else:
                self.send_message(vm.name, effect.vm, effect.message)

    def send_datagram(self, vm, effect):
        if isinstance(effect.data, ToServer):
            server = self.at_endpoint[effect.target]
            if vm.name not in server.lost_paths:
                self.send(self.deliver, server, "take", effect.data)
        else:
            reset = effect.data._replace(sender=vm.name)
            self.send(self.callers[reset.flow].take, reset)

    def deliver(self, receiver, method, *given):
        """Hand something to a server or control VM, once a pause of it is over."""
        pause_s = receiver.paused_until - self.now
        if pause_s > 0:
            self.after(pause_s, self.deliver, receiver, method, *given)
        else:
            getattr(receiver, method)(*given)

    def probe(self, vm, effect):
        server = self.at_endpoint[effect.endpoint]
        is_lost = vm.name in server.lost_paths or server.paused_until > self.now
        is_lost |= self.are_probes_lost
        result = ProbeResult.ACCEPTED if server.is_up else ProbeResult.REFUSED
        if is_lost:
            result = ProbeResult.UNANSWERED
        delay_s = 1.5 if is_lost else 0.003
        self.after(delay_s, vm.deliver, "probed", effect.token, result)

    def note(self, flow, text):
        self.history.setdefault(flow, []).append(f"{self.now:.2f} {text}")

    def note_decision(self, event, fields):
        """Take a line of the VM that runs."""
        if event == "flow-placed":
            flow = int.from_bytes(bytes.fromhex(fields["flow"])[:6])
            server, copy = fields["server"], fields["copy"]
            self.note(flow, f"{self.running} placed copy {copy} at {server}")
        if event == "flow-reset":
            flow = int.from_bytes(bytes.fromhex(fields["flow"])[:6])
            self.reset_reasons[flow] = fields["reason"]
