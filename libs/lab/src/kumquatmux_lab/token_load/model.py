"""Entry VMs, backend servers and callers of several zones on one timeline."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any, NamedTuple

from kumquatmux_core.identity import Endpoint, VmId, ZoneName
from kumquatmux_daemons.token_entry.core import EntryCore
from kumquatmux_daemons.token_entry.effects import Effect, Probe, Sent
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_lab.token_load.wire import (
    SERVICE,
    Packet,
    RequestClass,
    TextFormat,
    decode,
)
from kumquatmux_registry.feed import FeedAnswer
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens.probes import ProbeResult

NOWHERE = Endpoint("127.0.0.1", 1)
CONTROL = VmId("control")
COPIES_S = (0.0, 0.2, 0.6)
OPENING_S = 1.4
AGAIN_S = 0.05
NEAR_S = 0.0002
VM_HOP_S = 0.0003


class LoadSettings(NamedTuple):
    """Size and figures of a model.

    Attributes:
        servers: Backend servers of each zone.
        vms: Entry VMs of each zone.
        slots: Requests that a server works on at once.
        queue: Requests that a server queues beyond these; it refuses more.
        work_s: Mean seconds of work of a request.
        target_s: Seconds within which an answer is in time.
        budget_s: Seconds after which a caller has no use for an answer.
        late_worth: Worth of a late answer; one in time is worth 1.
        tries: Flows that a caller opens for a request at most.
        classes: Classes of requests; one with the figures above if left out.
        callers: Number of caller addresses; 0 for one that all callers share.
        caller_s: Seconds one way between a caller and its zone.
        far_s: Seconds one way between zones.
    """

    servers: tuple[int, ...] = (3, 2, 2)
    vms: int = 3
    slots: int = 2
    queue: int = 8
    work_s: float = 0.021
    target_s: float = 0.18
    budget_s: float = 2.2
    late_worth: float = 0.5
    tries: int = 3
    classes: tuple[RequestClass, ...] = ()
    callers: int = 0
    caller_s: float = 0.003
    far_s: float = 0.0035

    def request_classes(self) -> tuple[RequestClass, ...]:
        """Return the classes of requests."""
        one = RequestClass(0, self.work_s, self.target_s, self.budget_s)
        return self.classes or (one,)


class Server:
    """A backend server with slots and a queue.

    Attributes:
        running: Requests that it works on.
        queue: Flows whose requests wait.
    """

    def __init__(self, record: ServerRecord) -> None:
        self.record = record
        self.running = 0
        self.queue: list[int] = []


class Request:
    """What a caller wants, over one flow or several.

    Attributes:
        zone: Zone of the caller.
        asked_at: When it was first sent.
        work_s: Seconds of work.
        kind: Number of its class.
        caller: Number of its caller's address, 0 for the one that all share.
        refused_s: Seconds after its first SYN at which each of its flows was reset.
        vms: Entry VMs that the packets of each flow begun so far reach.
        done_at: When its answer arrived, None before.
    """

    def __init__(
        self, zone: int, asked_at: float, work_s: float, kind: int, caller: int
    ) -> None:
        self.zone = zone
        self.asked_at = asked_at
        self.work_s = work_s
        self.kind = kind
        self.caller = caller
        self.refused_s: list[float] = []
        self.vms: list[VmId] = []
        self.done_at: float | None = None


class Flow:
    """One try of a request.

    Attributes:
        request: The request.
        vm: Entry VM that its packets reach.
        token: Server at which it is open, 0 before.
        is_over: Whether its caller has turned away from it.
        opened_at: When its first SYN was sent.
    """

    def __init__(self, request: Request, vm: VmId, opened_at: float) -> None:
        self.opened_at = opened_at
        self.request = request
        request.vms.append(vm)
        self.vm = vm
        self.token = 0
        self.is_over = False


class LoadModel:
    """The model; a pattern adds requests and faults, and runs it.

    Attributes:
        cores: Entry VMs by name; those that are down are missing.
        ticks_at: When each of them ticks next.
        servers: Servers by token.
        requests: All requests.
        shed: Requests that servers refused.
        messages: Messages that entry VMs sent, to control VMs too.
        frozen_until: When each frozen entry VM goes on.
        cut_off: Entry VMs that no message of another VM reaches, nor the reverse.
    """

    def __init__(self, settings: LoadSettings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.numbers = count()
        self.cores: dict[VmId, EntryCore] = {}
        self.ticks_at: dict[VmId, float] = {}
        self.servers: dict[int, Server] = {}
        self.requests: list[Request] = []
        self.flows: dict[int, Flow] = {}
        self.shed = 0
        self.messages = 0
        self.frozen_until: dict[VmId, float] = {}
        self.cut_off: set[VmId] = set()
        for zone, servers in enumerate(settings.servers):
            for number in range(servers):
                server = Server(_record(zone, number, settings.slots))
                self.servers[server.record.token] = server

    def at(self, at: float, act: Callable[..., None], *given: Any) -> None:
        """Let something happen at a time."""
        heapq.heappush(self.events, (max(at, self.now), next(self.numbers), act, given))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.events and self.events[0][0] < until:
            self.now, _, act, given = heapq.heappop(self.events)
            act(*given)

    def vm_names(self, zone: int) -> tuple[VmId, ...]:
        """Return the entry VMs of a zone."""
        return tuple(
            VmId(f"10.{zone}.0.{number}") for number in range(self.settings.vms)
        )

    def start_vm(self, zone: int, vm: VmId) -> None:
        """Start an entry VM that knows nothing yet."""
        settings = EntrySettings(
            vm, _zone(zone), NOWHERE, NOWHERE, NOWHERE, NOWHERE, (CONTROL,)
        )
        core = EntryCore(
            settings, TextFormat(self.settings.request_classes()), self.random, self.now
        )
        self.cores[vm] = core
        self.ticks_at.pop(vm, None)
        self._plan_tick(vm, core)

    def feed(self, zone: int) -> None:
        """Tell the entry VMs of a zone the document and all servers."""
        records = tuple(one.record for one in self.servers.values())
        names = self.vm_names(zone)
        answer = FeedAnswer(
            CONTROL, _zone(zone), 1, 0, len(records), records, 1, b"1", (CONTROL,),
            names, True, 1,
        )  # fmt: skip
        for vm in names:
            if vm in self.cores:
                self._carry_out(vm, self.cores[vm].message(CONTROL, answer, self.now))

    def asked(self) -> int:
        """Return how many placement requests the entry VMs sent."""
        return sum(one.counts["openings.asked"] for one in self.cores.values())

    def freeze(self, vm: VmId, until: float) -> None:
        """Stop an entry VM; what comes meanwhile waits until it goes on."""
        self.frozen_until[vm] = until

    def ask(
        self, zone: int, asked_at: float, work_s: float | None = None, kind: int = 0
    ) -> None:
        """Let a caller of a zone send a request at a time.

        Args:
            zone: The zone.
            asked_at: The time.
            work_s: Seconds of work; random around the mean if left out.
            kind: Number of its class.
        """
        if work_s is None:
            mean_s = self.settings.request_classes()[kind].work_s
            work_s = mean_s * self.random.lognormvariate(-0.125, 0.5)
        callers = self.settings.callers
        caller = 1 + len(self.requests) % callers if callers else 0
        request = Request(zone, asked_at, work_s, kind, caller)
        self.requests.append(request)
        self.at(asked_at, self._open, request)

    def worth(self, since: float, until: float, kind: int | None = None) -> float:
        """Return the mean worth of the requests first sent between two times.

        Args:
            since: The first time.
            until: The second time.
            kind: Number of the class of requests; all if left out.
        """
        requests = self.requests_between(since, until, kind)
        return sum(map(self.worth_of, requests)) / len(requests)

    def requests_between(
        self, since: float, until: float, kind: int | None = None
    ) -> list[Request]:
        """Return the requests first sent between two times, of a class or of all."""
        return [
            one
            for one in self.requests
            if since <= one.asked_at < until and kind in (None, one.kind)
        ]

    def worth_of(self, request: Request) -> float:
        """Return the worth of a request's answer, 0 if there is none of use."""
        if request.done_at is None:
            return 0.0
        one = self.settings.request_classes()[request.kind]
        took_s = request.done_at - request.asked_at
        if took_s <= one.target_s:
            return 1.0
        return self.settings.late_worth if took_s <= one.budget_s else 0.0

    def _open(self, request: Request) -> None:
        budget_s = self.settings.request_classes()[request.kind].budget_s
        has_time = self.now - request.asked_at < budget_s
        if (
            request.done_at is not None
            or len(request.vms) >= self.settings.tries
            or not has_time
        ):
            return
        vm = self.random.choice(self.vm_names(request.zone))
        number = next(self.numbers)
        flow = self.flows[number] = Flow(request, vm, self.now)
        for copy, after_s in enumerate(COPIES_S):
            self.at(self.now + after_s, self._send_opening, number, copy)
        self.at(self.now + OPENING_S, self._give_up, flow)

    def _send_opening(self, number: int, copy: int) -> None:
        flow = self.flows[number]
        if not flow.token and not flow.is_over:
            self._to_vm(flow, Packet("open", number, 0, copy))

    def _give_up(self, flow: Flow) -> None:
        if not flow.token:
            self._try_again(flow)

    def _try_again(self, flow: Flow) -> None:
        if not flow.is_over:
            flow.is_over = True
            self.at(self.now + AGAIN_S, self._open, flow.request)

    def _to_vm(self, flow: Flow, packet: Packet) -> None:
        arrives_at = self.now + self.settings.caller_s
        sent = packet._replace(route=flow.request.kind, caller=flow.request.caller)
        self.at(arrives_at, self._packet, flow.vm, sent.encode())

    def _waits(self, vm: VmId, act: Callable[..., None], *given: Any) -> bool:
        """Return whether a VM is frozen, in which case something happens later."""
        until = self.frozen_until.get(vm, 0.0)
        if until > self.now:
            self.at(until, act, *given)
        return until > self.now

    def _packet(self, vm: VmId, data: bytes) -> None:
        core = self.cores.get(vm)
        if core is not None and not self._waits(vm, self._packet, vm, data):
            self._carry_out(vm, core.packet(data, self.now))

    def _message(self, sender: VmId, vm: VmId, message: Any) -> None:
        core = self.cores.get(vm)
        if vm in self.cut_off or sender in self.cut_off:
            return
        if core is not None and not self._waits(vm, self._message, sender, vm, message):
            self._carry_out(vm, core.message(sender, message, self.now))

    def _plan_tick(self, vm: VmId, core: EntryCore) -> None:
        """Let a VM tick when something is due, as its daemon does."""
        due_at = max(core.due_at(self.now), self.now)
        if due_at < self.ticks_at.get(vm, math.inf):
            self.ticks_at[vm] = due_at
            self.at(due_at, self._tick, vm, core, due_at)

    def _tick(self, vm: VmId, core: EntryCore, planned_at: float) -> None:
        if self._waits(vm, self._tick, vm, core, planned_at):
            return
        if self.cores.get(vm) is core and self.ticks_at.get(vm) == planned_at:
            del self.ticks_at[vm]
            self._carry_out(vm, core.tick(self.now))

    def _probed(self, vm: VmId, token: int) -> None:
        """Tell a VM that a server, none of which is ever down, accepts connections."""
        core = self.cores.get(vm)
        if core is not None:
            self._carry_out(vm, core.probed(token, ProbeResult.ACCEPTED, self.now))

    def _carry_out(self, vm: VmId, effects: list[Effect]) -> None:
        self._plan_tick(vm, self.cores[vm])
        for effect in effects:
            if isinstance(effect, Probe):
                self.at(self.now + self.settings.far_s, self._probed, vm, effect.token)
                continue
            if isinstance(effect, Sent):
                self.messages += 1
                arrives_at = self.now + VM_HOP_S
                self.at(arrives_at, self._message, vm, effect.vm, effect.message)
                continue
            packet = decode(effect.data)
            flow = self.flows[packet.flow]
            if packet.kind == "reset":
                flow.request.refused_s.append(self.now - flow.opened_at)
                arrives_at = self.now + self.settings.caller_s
                self.at(arrives_at, self._try_again, flow)
            else:
                arrives_at = self.now + self._hop_s(flow, packet.token)
                self.at(arrives_at, self._at_server, packet)

    def _hop_s(self, flow: Flow, token: int) -> float:
        report = self.servers[token].record.report
        is_near = report.zone == _zone(flow.request.zone)
        return NEAR_S if is_near else self.settings.far_s

    def _at_server(self, packet: Packet) -> None:
        flow = self.flows[packet.flow]
        server = self.servers[packet.token]
        back_at = self.now + self._hop_s(flow, packet.token) + self.settings.caller_s
        if packet.kind == "open":
            self.at(back_at, self._opened, packet.flow, packet.token)
        elif packet.kind == "data":
            self._begin(server, packet.flow, back_at)

    def _opened(self, number: int, token: int) -> None:
        flow = self.flows[number]
        if flow.token or flow.is_over:
            return
        flow.token = token
        self._to_vm(flow, Packet("data", number, token))

    def _begin(self, server: Server, number: int, back_at: float) -> None:
        flow = self.flows[number]
        if server.running < self.settings.slots:
            server.running += 1
            ends_at = self.now + flow.request.work_s
            self.at(ends_at, self._end, server, number)
        elif len(server.queue) < self.settings.queue:
            server.queue.append(number)
        else:
            self.shed += 1
            self.at(back_at, self._try_again, flow)

    def _end(self, server: Server, number: int) -> None:
        server.running -= 1
        if server.queue:
            self._begin(server, server.queue.pop(0), self.now)
        flow = self.flows[number]
        token = server.record.token
        back_s = self._hop_s(flow, token) + self.settings.caller_s
        self.at(self.now + back_s, self._answered, number, token)

    def _answered(self, number: int, token: int) -> None:
        flow = self.flows[number]
        if flow.is_over:
            return
        flow.is_over = True
        if flow.request.done_at is None:
            flow.request.done_at = self.now
        for kind in ("answered", "close"):
            self._to_vm(flow, Packet(kind, number, token))


def _zone(number: int) -> ZoneName:
    return ZoneName(f"zone-{number}")


def _record(zone: int, number: int, slots: int) -> ServerRecord:
    endpoint = Endpoint(f"10.{zone}.1.{number}", 1)
    lifetime = Lifetime(f"i-{zone}{number:04}", 1)
    report = Report(
        lifetime, 1, SERVICE, endpoint, _zone(zone), "v1", slots, Phase.READY, 0.0
    )
    return ServerRecord(report, CONTROL)
