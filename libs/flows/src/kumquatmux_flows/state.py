"""What the parts of the flow engine share: records, routes, ranking, actions."""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

from kumquatmux_core import decisions
from kumquatmux_core.identity import (
    Address,
    FlowKey,
    ServiceName,
    VmId,
    unpack_endpoint,
)
from kumquatmux_core.segments import Segment
from kumquatmux_flows.events import (
    Action,
    Binding,
    Dropped,
    FlowAdopted,
    FlowClosed,
    RefreshRoute,
    ResetCaller,
    SendToServer,
    WorkAnswered,
    WorkStarted,
)
from kumquatmux_flows.ranking import Ranking
from kumquatmux_flows.refusals import Refusal
from kumquatmux_flows.routes import Routes, service_key_of
from kumquatmux_flows.settings import FlowSettings
from kumquatmux_flows.table import FlowFlag, FlowStatus, FlowTable, Role


class FlowLabel(NamedTuple):
    """A flow key that is put into words only when a log line needs it."""

    key: FlowKey

    def __str__(self) -> str:
        """Return ``protocol/caller>service``."""
        caller = unpack_endpoint(Address(self.key[1:5] + self.key[9:11]))
        service = unpack_endpoint(Address(self.key[5:9] + self.key[11:13]))
        return f"{self.key[0]}/{caller}>{service}"


class ProvisionalSlot(NamedTuple):
    """When the provisional slot of a new flow is given back.

    Attributes:
        until: Time in seconds.
        key: The flow.
        epoch: Its epoch, so that a later flow of the key keeps its slot.
    """

    expires_at: float
    key: FlowKey
    epoch: int


class PendingFlow(NamedTuple):
    """A flow that waits for placement.

    Attributes:
        segments: Its first packet, and for UDP the following ones.
        service: Its service number.
        epoch: The epoch it will get.
        attempts: How often it was offered.
    """

    segments: list[Segment]
    service: int
    epoch: int
    attempts: int = 1


class FlowState:
    """The state of one engine and the small steps every part of it takes.

    Attributes:
        out: Actions of the event in hand, with those the fast path left.
        pending: Flows that wait for placement.
        missed: When a search for an open flow's record first failed, in seconds.
        graces: Provisional slots, the earliest to end first.
    """

    def __init__(self, vm: VmId, settings: FlowSettings, random: random.Random) -> None:
        self.vm = vm
        self.settings = settings
        self.random = random
        self.table = FlowTable()
        self.routes = Routes()
        self.ranking = Ranking(vm)
        self.out: list[Action] = []
        self.pending: dict[FlowKey, PendingFlow] = {}
        self.provisional_slots: deque[ProvisionalSlot] = deque()
        self.first_miss_times: dict[FlowKey, float] = {}
        self.learned_keys: deque[FlowKey] = deque()
        self.probe_budget = 0.0
        self.last_packet_time = float("-inf")

    def current_service_of(self, key: FlowKey) -> int | None:
        """Return the number of the service in force at a flow's service address."""
        return self.routes.current_services.get(service_key_of(key))

    def named_service_of(self, key: FlowKey, name: ServiceName) -> int | None:
        """Return the number of the service a binding names, in force or not."""
        if not name:
            return self.current_service_of(key)
        return self.routes.service_number(name, service_key_of(key))

    def service_name_of(self, slot: int) -> ServiceName:
        """Return the service name of a record."""
        return self.routes.service_names[self.table.services[slot]]

    def server_address_of(self, slot: int) -> Address:
        """Return the server address of a record."""
        return self.routes.addresses[self.table.servers[slot]]

    def binding_of(self, slot: int) -> Binding:
        """Return a record as it travels with a packet."""
        table = self.table
        established = table.statuses[slot] != FlowStatus.HALF_OPEN
        return Binding(
            self.server_address_of(slot),
            table.revisions[slot],
            table.epochs[slot],
            established,
            self.service_name_of(slot),
        )

    def server_permitted(self, slot: int) -> bool:
        """Return whether the server of a record may get its packets."""
        return self.routes.permits(self.table.servers[slot], self.table.services[slot])

    def to_server(self, slot: int, segment: Segment) -> None:
        """Forward a packet to the server of a record, after the last rule check."""
        if not self.server_permitted(slot):
            raise ValueError("a packet was about to reach another service's server")
        self.out.append(SendToServer(self.server_address_of(slot), segment.packet))

    def drop_packet(self, reason: Refusal) -> None:
        """Count a packet that goes nowhere."""
        self.out.append(Dropped(reason))

    def refuse_flow(
        self, segment: Segment, reason: Refusal, server: str = "none"
    ) -> None:
        """Tell a caller that its flow has no route."""
        self.out.append(ResetCaller(segment, reason))
        self.log_decision("flow-refused", segment.key, server, reason)

    def request_route_refresh(
        self, reason: Refusal, service: ServiceName, server: Address | None
    ) -> None:
        """Ask for a fresh route after a failure."""
        if self.settings.refresh_on_failure:
            self.out.append(RefreshRoute(reason, service, server))

    def start_work(self, slot: int) -> None:
        """Take a slot of the server, unless the flow holds one."""
        key = self.table.keys[slot]
        if key is None or self.table.flow_flags[slot] & FlowFlag.WORK_PENDING:
            return
        self.table.flow_flags[slot] |= FlowFlag.WORK_PENDING
        self.out.append(WorkStarted(key, self.server_address_of(slot)))

    def finish_work(self, slot: int) -> None:
        """Give the slot back, if the flow holds one."""
        key = self.table.keys[slot]
        if key is None or not self.table.flow_flags[slot] & FlowFlag.WORK_PENDING:
            return
        self.table.flow_flags[slot] &= (
            ~(FlowFlag.WORK_PENDING | FlowFlag.WORK_PROVISIONAL) & 0xFF
        )
        self.out.append(WorkAnswered(key, self.server_address_of(slot)))

    def take_ownership(self, slot: int, reason: str) -> None:
        """Become the owner of a record placed elsewhere."""
        key = self.table.keys[slot]
        if key is None or self.table.roles[slot] == Role.OWNER:
            return
        self.table.set_role(slot, Role.OWNER)
        kept_flags = FlowFlag.CALLER_FIN | FlowFlag.SERVER_FIN
        if self.table.statuses[slot] == FlowStatus.HALF_OPEN:
            kept_flags |= FlowFlag.SERVER_NEXT_KNOWN
        self.table.flow_flags[slot] &= kept_flags
        self.table.strikes[slot] = 0
        if self.table.statuses[slot] != FlowStatus.CLOSED:
            self.out.append(
                FlowAdopted(
                    key, self.server_address_of(slot), self.service_name_of(slot)
                )
            )
        self.log_record("flow-adopted", slot, reason)

    def release_ownership(self, slot: int, role: Role, reason: str) -> None:
        """Stop being the owner of a record and keep it for another reason."""
        key = self.table.keys[slot]
        if key is None or self.table.roles[slot] != Role.OWNER:
            return
        if self.table.statuses[slot] != FlowStatus.CLOSED:
            self.out.append(FlowClosed(key, self.server_address_of(slot)))
        self.table.flow_flags[slot] &= (
            ~(FlowFlag.WORK_PENDING | FlowFlag.WORK_PROVISIONAL) & 0xFF
        )
        self.table.set_role(slot, role)
        self.log_record("flow-handed-over", slot, reason)

    def close_flow(self, slot: int, reason: str, now: float) -> None:
        """Mark a flow as over; its key stays with its server for the quarantine."""
        key = self.table.keys[slot]
        if key is None or self.table.statuses[slot] == FlowStatus.CLOSED:
            return
        if self.table.roles[slot] == Role.OWNER:
            self.out.append(FlowClosed(key, self.server_address_of(slot)))
            self.log_record("flow-closed", slot, reason)
        self.table.statuses[slot] = FlowStatus.CLOSED
        self.table.flow_flags[slot] &= (
            ~(FlowFlag.WORK_PENDING | FlowFlag.WORK_PROVISIONAL) & 0xFF
        )
        self.table.strike_times[slot] = now

    def remove_flow(self, slot: int, reason: str, now: float) -> None:
        """Drop a record without quarantine."""
        self.close_flow(slot, reason, now)
        self.table.remove(slot)

    def is_quarantined(self, slot: int, now: float) -> bool:
        """Return whether a closed key still belongs to its last flow."""
        return now - self.table.strike_times[slot] < self.settings.quarantine_seconds

    def idle_seconds(self, slot: int, now: float) -> float:
        """Return the seconds since a sign of life of a flow."""
        table = self.table
        last_active_time = max(table.caller_times[slot], table.reply_times[slot])
        if self.is_probed(slot):
            last_active_time = table.caller_times[slot]
        if table.roles[slot] == Role.BACKUP:
            last_active_time = max(last_active_time, table.backup_times[slot])
        return now - last_active_time

    def is_probed(self, slot: int) -> bool:
        """Return whether probes keep a flow's server time recent.

        Then only its caller shows life of its own.
        """
        table = self.table
        established = table.statuses[slot] == FlowStatus.ESTABLISHED
        return established and table.roles[slot] == Role.OWNER

    def log_record(self, event: str, slot: int, reason: str) -> None:
        """Log one decision about a record."""
        key = self.table.keys[slot]
        if key is None:
            return
        server = str(unpack_endpoint(self.server_address_of(slot)))
        self.log_decision(
            event, key, server, reason, service=self.service_name_of(slot)
        )

    def log_decision(
        self,
        event: str,
        key: FlowKey,
        server: str,
        reason: str,
        service: str = "",
    ) -> None:
        """Log one decision."""
        if not service:
            service_number = self.current_service_of(key)
            service = (
                "unknown"
                if service_number is None
                else self.routes.service_names[service_number]
            )
        decisions.log(
            event,
            flow=FlowLabel(key),
            service=service,
            server=server,
            reason=reason,
            revision=self.routes.revision,
        )
