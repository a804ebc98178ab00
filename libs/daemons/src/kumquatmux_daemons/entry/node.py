"""One entry VM: its engines, joined by the actions they ask for."""

from __future__ import annotations

import random
from collections import deque
from functools import singledispatchmethod
from typing import Any, NamedTuple

from absl import logging

from kumquatmux_core.identity import Endpoint, ServerId, ServiceName, Vm, VmId, ZoneName
from kumquatmux_daemons.entry.admission_desk import AdmissionDesk
from kumquatmux_daemons.entry.directory import Directory
from kumquatmux_daemons.entry.forwarder import Forwarder
from kumquatmux_daemons.entry.in_force import ServicesInForce
from kumquatmux_daemons.entry.port import PacketPort
from kumquatmux_daemons.entry.report import vm_report
from kumquatmux_daemons.reports import DrainAnswer, DrainRequest, ReportRequest
from kumquatmux_daemons.transport.links import Delivery, PeerLinks
from kumquatmux_daemons.transport.registry import PlacerDigest
from kumquatmux_flows import events as flows
from kumquatmux_flows.engine import FlowEngine
from kumquatmux_flows.messages import (
    BatchStored,
    FlowMessage,
    LostRecord,
    RecordBatch,
)
from kumquatmux_flows.settings import FlowSettings
from kumquatmux_membership import events as membership
from kumquatmux_membership.coordinator import Coordinator
from kumquatmux_membership.settings import LeaseSettings, MembershipSettings
from kumquatmux_placement.events import LoadReported
from kumquatmux_settings import copy_events
from kumquatmux_settings.distribution import SettingsCopy
from kumquatmux_settings.messages import (
    Current,
    Delta,
    DeltaRequest,
    Snapshot,
)
from kumquatmux_settings.messages import Message as SettingsMessage
from kumquatmux_settings.tree import resolve

DIGEST_PERIOD_S = 1.0
ENGINES_PERIOD_S = 0.1
FAILURES_KEPT = 10


class NodeParts(NamedTuple):
    """What an entry VM is made of besides its decisions.

    Attributes:
        me: This VM.
        peers: The other entry VMs that its settings file names.
        sources: The control VMs.
        fabric: Where packets leave.
        key: Secret that seals passed packets.
        port: Packet socket.
        links: Message links.
        random: Randomness of every decision.
    """

    me: Vm
    peers: tuple[Vm, ...]
    sources: frozenset[VmId]
    fabric: Endpoint
    key: bytes
    port: PacketPort
    links: PeerLinks
    random: random.Random


class EntryNode:
    """Hands every event to its engine and carries out what the engine asks for."""

    def __init__(self, parts: NodeParts) -> None:
        self.parts = parts
        self.me = parts.me
        self.zone = ZoneName(parts.me.zone)
        self.engine = FlowEngine(parts.me.vm, FlowSettings(), parts.random)
        self.desk = AdmissionDesk(parts.random)
        self.directory = Directory()
        self.in_force = ServicesInForce(self.zone)
        self.coordinator = Coordinator(
            parts.me,
            parts.peers,
            MembershipSettings(),
            LeaseSettings(),
            parts.random,
        )
        self.copy = SettingsCopy(
            copy_events.DistributionSettings(parts.me.vm, parts.sources),
            parts.random,
        )
        self.forwarder = Forwarder(
            self.engine,
            self.desk,
            self.directory,
            parts.port,
            parts.fabric,
            parts.key,
            parts.links,
            self,
        )
        self.forwarder.use_peers((parts.me, *parts.peers))
        self.live: tuple[Vm, ...] = (parts.me,)
        self.is_quiet = False
        self.failures: deque[str] = deque(maxlen=FAILURES_KEPT)
        self.engines_due = 0.0
        self.digest_due = 0.0

    def on_message(self, delivery: Delivery, now: float) -> None:
        """Take a message of an authenticated peer."""
        claimed = getattr(delivery.message, "sender", delivery.sender)
        if claimed != delivery.sender:
            logging.log_every_n_seconds(
                logging.WARNING, "%s sends as %s", 5, delivery.sender, claimed
            )
            return
        self.take(delivery.message, delivery.sender, now)

    @singledispatchmethod
    def take(self, message: Any, sender: VmId, now: float) -> None:
        """Hand a message to the engine it is for."""
        raise TypeError(f"no such message: {message!r}")

    @take.register(membership.Heartbeat)
    @take.register(membership.Hello)
    @take.register(membership.Superseded)
    @take.register(membership.ProbeRequest)
    @take.register(membership.ProbeAnswer)
    @take.register(membership.LeaseUpdate)
    @take.register(membership.LeaseRequest)
    @take.register(membership.LeaseAck)
    @take.register(membership.Members)
    def _(self, message: membership.Message, sender: VmId, now: float) -> None:
        self.coordinate(membership.Received(message), now)
        if isinstance(message, membership.Heartbeat):
            news = copy_events.PeerRevision(sender, message.revision, message.digest)
            self.settle(news, now)

    @take.register(Delta)
    @take.register(DeltaRequest)
    @take.register(Snapshot)
    @take.register(Current)
    def _(self, message: SettingsMessage, sender: VmId, now: float) -> None:
        self.settle(copy_events.Received(message), now)

    @take.register(RecordBatch)
    @take.register(BatchStored)
    @take.register(LostRecord)
    def _(self, message: FlowMessage, sender: VmId, now: float) -> None:
        self.forwarder.run(flows.PeerMessage(sender, message), now)

    @take.register
    def _(self, message: PlacerDigest, sender: VmId, now: float) -> None:
        self.desk.hear_digest(message.service, message.servers)

    @take.register
    def _(self, message: ReportRequest, sender: VmId, now: float) -> None:
        self.parts.links.send(sender, vm_report(self, message.number, now))

    @take.register
    def _(self, message: DrainRequest, sender: VmId, now: float) -> None:
        held = message.server in self.coordinator.leases.holder.held
        if held:
            self.answer_server(membership.Drain(message.server), now)
        answer = DrainAnswer(self.me.vm, message.number, held)
        self.parts.links.send(sender, answer)

    def coordinate(self, event: membership.Event, now: float) -> None:
        """Let membership and leases decide about an event."""
        for action in self.coordinator.handle(event, now):
            self.perform(action, now)

    def settle(self, event: copy_events.Event, now: float) -> None:
        """Let the copy of the settings decide about an event."""
        for action in self.copy.handle(event, now):
            self.perform(action, now)

    def answer_server(
        self, event: membership.Event, now: float
    ) -> membership.LeaseAnswer:
        """Return the answer to a backend server's call, once it is carried out."""
        answer, *actions = self.coordinator.handle(event, now)
        assert isinstance(answer, membership.LeaseAnswer), "a call is answered first"
        for action in actions:
            self.perform(action, now)
        return answer

    def report(self, server: ServerId, busy: int, open_: int, now: float) -> None:
        """Take a server's own report of its load."""
        self.desk.report(LoadReported(server, busy, open_, 0.0), now)

    def on_tick(self, now: float) -> None:
        """Let every engine that is due look at the time.

        Held work is looked at each time, since a slot may be free; the other engines
        keep times of hundreds of milliseconds.
        """
        for answer in self.desk.tick(now):
            self.forwarder.run(answer, now)
        if now < self.engines_due:
            return
        self.engines_due = now + ENGINES_PERIOD_S
        self.coordinate(membership.Tick(), now)
        self.settle(copy_events.Tick(), now)
        self.forwarder.run(flows.Tick(), now)
        if now >= self.digest_due:
            self.digest_due = now + DIGEST_PERIOD_S
            self.send_digests()

    def leave(self, now: float) -> None:
        """Begin a graceful shutdown."""
        self.coordinate(membership.Leave(), now)
        self.forwarder.run(flows.Leaving(), now)

    def send_digests(self) -> None:
        """Tell the backup of each service placed here which slots are in use."""
        for service, admission in self.desk.admissions.items():
            backup = self.backup_of(service)
            if backup is None or service not in self.desk.owned:
                continue
            digest = admission.digest(service)
            if digest:
                self.parts.links.send(backup, PlacerDigest(service, digest))

    @singledispatchmethod
    def perform(self, action: Any, now: float) -> None:
        """Carry out one action of membership or of the settings copy."""
        raise TypeError(f"no such action: {action!r}")

    @perform.register(membership.SendMessage)
    @perform.register(copy_events.SendMessage)
    def _(
        self, action: membership.SendMessage | copy_events.SendMessage, now: float
    ) -> None:
        self.parts.links.send(action.vm, action.message)

    @perform.register
    def _(self, action: membership.ViewChanged, now: float) -> None:
        self.live = action.live
        self.failures.extendleft(f"lost {vm}" for vm in action.lost)
        self.forwarder.is_suspended = False
        self.forwarder.run(flows.ViewChanged(action.live, action.lost), now)
        self.desk.take_over(self.owned(), now)

    @perform.register
    def _(self, action: membership.ViewSuspended, now: float) -> None:
        self.forwarder.is_suspended = True

    @perform.register
    def _(self, action: membership.PeersChanged, now: float) -> None:
        self.forwarder.use_peers((self.me, *action.peers))

    @perform.register
    def _(self, action: membership.PeerLearned, now: float) -> None:
        logging.info("peer-learned vm=%s", action.vm.vm)

    @perform.register
    def _(self, action: membership.IncarnationRaised, now: float) -> None:
        self.me = self.me._replace(incarnation=action.incarnation)

    @perform.register
    def _(self, action: membership.ServersChanged, now: float) -> None:
        self.directory.use_leases(action, now)
        self.spread_servers(now)

    @perform.register
    def _(self, action: membership.PeerAhead, now: float) -> None:
        self.settle(copy_events.PeerRevision(action.vm, action.revision), now)

    @perform.register
    def _(self, action: copy_events.InForce, now: float) -> None:
        self.coordinator.note_settings(action.revision, action.digest)
        touched = self.in_force.update(self.copy.values, action)
        in_force = tuple(self.in_force.services.values())
        self.directory.use_services(action.revision, in_force)
        self.directory.use_gates(self.in_force.gates)
        self.desk.use_gates(self.in_force.gates)
        self.use_engine_settings()
        for name in touched:
            self.desk.use_settings(name, self.in_force.placement[name])
        self.spread_servers(now)
        self.desk.take_over(self.owned(), now)

    def use_engine_settings(self) -> None:
        """Bring this zone's settings into force in the engines, as they run."""
        values, zone = self.copy.values, self.zone
        self.engine.use_settings(resolve(values, "flows", FlowSettings(), zone))
        self.coordinator.use_settings(
            resolve(values, "membership", MembershipSettings(), zone),
            resolve(values, "leases", LeaseSettings(), zone),
        )

    def spread_servers(self, now: float) -> None:
        """Tell the engines which services and servers there are."""
        self.forwarder.run(self.directory.routes(), now)
        for change in self.directory.placement_servers():
            for answer in self.desk.use_servers(change, now):
                self.forwarder.run(answer, now)

    def owned(self) -> frozenset[ServiceName]:
        """Return the services whose owner this VM is."""
        ranking = self.engine.state.ranking
        return frozenset(
            route.service
            for target, route in self.directory.by_target.items()
            if ranking.owns(target)
        )

    def backup_of(self, service: ServiceName) -> VmId | None:
        """Return the VM that takes over a service if its owner is lost."""
        ranking = self.engine.state.ranking
        for target, route in self.directory.by_target.items():
            if route.service == service:
                return ranking.backup(target)
        return None

    def refresh_leases(self, now: float) -> None:
        """Look at what time alone has changed about backend servers."""
        for action in self.coordinator.refresh(now):
            self.perform(action, now)

    def refresh_route(self, action: flows.RefreshRoute, now: float) -> None:
        """Look at leases and settings again at once after a route failed."""
        self.coordinate(membership.Tick(), now)
        self.settle(copy_events.Tick(), now)

    def quiet(self) -> None:
        """Note that a graceful shutdown is complete."""
        self.is_quiet = True
