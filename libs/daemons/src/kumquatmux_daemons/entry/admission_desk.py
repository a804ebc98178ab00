"""Admission for the flows of one entry VM: one instance for each service."""

from __future__ import annotations

import random
from functools import singledispatch

from kumquatmux_core.decisions import log
from kumquatmux_core.identity import Address, Endpoint, FlowKey, ServerId, ServiceName
from kumquatmux_daemons.entry.directory import ServiceServers, server_id
from kumquatmux_daemons.entry.traffic import Gate
from kumquatmux_flows import events as flows
from kumquatmux_placement import events as placement
from kumquatmux_placement.admission import Admission
from kumquatmux_placement.settings import PlacementSettings

FlowAnswer = flows.FlowPlaced | flows.FlowRefused
WorkAction = (
    flows.WorkStarted | flows.WorkAnswered | flows.FlowClosed | flows.FlowAdopted
)


class AdmissionDesk:
    """Translates between flow events and admission events.

    Attributes:
        admissions: Admission by service, each with the settings in force for it.
        digests: What the placer of each service last told this VM as its backup.
        owned: Services whose placer this VM is.
        gates: Traffic rules by service.
    """

    def __init__(self, random: random.Random) -> None:
        self.random = random
        self.admissions: dict[ServiceName, Admission] = {}
        self.digests: dict[ServiceName, tuple[placement.SlotDigest, ...]] = {}
        self.owned: frozenset[ServiceName] = frozenset()
        self.gates: dict[ServiceName, Gate] = {}

    def use_settings(self, service: ServiceName, settings: PlacementSettings) -> None:
        """Bring placement settings into force for a service."""
        admission = self.admissions.get(service)
        if admission is None:
            self.admissions[service] = Admission(settings, self.random)
        else:
            admission.use_settings(settings)

    def use_gates(self, gates: dict[ServiceName, Gate]) -> None:
        """Bring traffic rules into force for new flows."""
        self.gates = gates

    def use_servers(self, change: ServiceServers, now: float) -> list[FlowAnswer]:
        """Tell admission the backend servers of a service."""
        admission = self.admissions.get(change.service)
        if admission is None:
            return []
        event = placement.ServersChanged(change.service, change.servers)
        return self.translate(admission.handle(event, now))

    def hear_digest(
        self, service: ServiceName, digest: tuple[placement.SlotDigest, ...]
    ) -> None:
        """Remember what the placer of a service knows, in case it is lost."""
        self.digests[service] = digest

    def take_over(self, owned: frozenset[ServiceName], now: float) -> None:
        """Become the placer of these services, with what their last placer told."""
        for service in sorted(self.owned - owned):
            admission = self.admissions.get(service)
            if admission is not None:
                admission.stand_down(service, now)
        for service in sorted(owned - self.owned):
            digest = self.digests.pop(service, ())
            admission = self.admissions.get(service)
            if admission is not None:
                admission.restore(digest, now)
        self.owned = owned

    def submit(
        self, key: FlowKey, service: ServiceName, now: float
    ) -> list[FlowAnswer]:
        """Ask for a server for a new flow; a held flow is answered later."""
        admission = self.admissions.get(service)
        if admission is None:
            return [flows.FlowRefused(key, "unknown-service")]
        caller = ".".join(str(byte) for byte in key[1:5])
        refusal = self.gates.get(service, Gate()).refusal(caller)
        if refusal is not None:
            log("traffic-refused", service=service, caller=caller, reason=refusal)
            return [flows.FlowRefused(key, refusal)]
        work = placement.Work(bytes(key), service, caller, now)
        return self.translate(admission.handle(placement.Submit(work), now))

    def tick(self, now: float) -> list[FlowAnswer]:
        """Let held work whose time has come be decided."""
        answers: list[FlowAnswer] = []
        for admission in self.admissions.values():
            if admission.next_deadline() <= now:
                answers += self.translate(admission.handle(placement.Tick(), now))
        return answers

    def holds_work(self) -> bool:
        """Return whether any flow waits for a slot."""
        return any(
            pool.line for a in self.admissions.values() for pool in a.pools.values()
        )

    def report(self, report: placement.LoadReported, now: float) -> None:
        """Tell admission what a server says of its load."""
        for admission in self.admissions.values():
            admission.handle(report, now)

    def translate(self, outcomes: list[placement.Outcome]) -> list[FlowAnswer]:
        """Return the outcomes that the flow engine waits for."""
        answers: list[FlowAnswer] = []
        for outcome in outcomes:
            if isinstance(outcome, placement.Placed):
                server = server_address(outcome.server)
                answers.append(flows.FlowPlaced(FlowKey(outcome.work_id), server))
            elif isinstance(outcome, placement.Refused):
                refused = flows.FlowRefused(FlowKey(outcome.work_id), outcome.reason)
                answers.append(refused)
        return answers

    def cancel(self, key: FlowKey, service: ServiceName, now: float) -> None:
        """Withdraw a flow that is still held."""
        admission = self.admissions.get(service)
        if admission is not None:
            admission.handle(placement.Cancel(bytes(key)), now)

    def note(
        self, service: ServiceName, action: WorkAction, now: float
    ) -> list[FlowAnswer]:
        """Tell admission what became of the work of a service's flow."""
        admission = self.admissions.get(service)
        if admission is None:
            return []
        return self.translate(admission.handle(as_placement(action), now))


@singledispatch
def as_placement(action: WorkAction) -> placement.Event:
    """Return what a flow's action means to admission."""
    raise TypeError(f"no such action: {action!r}")


@as_placement.register
def _(action: flows.WorkStarted) -> placement.Event:
    return placement.Started(bytes(action.key), server_id(action.server))


@as_placement.register
def _(action: flows.WorkAnswered) -> placement.Event:
    return placement.Answered(bytes(action.key), server_id(action.server))


@as_placement.register
def _(action: flows.FlowClosed) -> placement.Event:
    return placement.Closed(bytes(action.key), server_id(action.server))


@as_placement.register
def _(action: flows.FlowAdopted) -> placement.Event:
    return placement.Adopted(
        bytes(action.key), action.service, server_id(action.server)
    )


def server_address(server: ServerId) -> Address:
    """Return the address of the server of a name."""
    ip, _, port = server.rpartition(":")
    return Endpoint(ip, int(port)).packed
