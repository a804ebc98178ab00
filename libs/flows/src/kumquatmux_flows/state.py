"""State and basic operations that all parts of the flow engine share."""

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
    """A flow key that is formatted only when a log line is written."""

    key: FlowKey

    def __str__(self) -> str:
        """Return ``protocol/caller>service``."""
        caller = unpack_endpoint(Address(self.key[1:5] + self.key[9:11]))
        service = unpack_endpoint(Address(self.key[5:9] + self.key[11:13]))
        return f"{self.key[0]}/{caller}>{service}"


class ProvisionalSlot(NamedTuple):
    """A server slot that a new flow holds before its caller has sent any bytes.

    Attributes:
        expires_at: Time in seconds at which the slot is freed.
        key: Key of the flow.
        epoch: Epoch of the flow, so that a later flow of the key keeps its slot.
    """

    expires_at: float
    key: FlowKey
    epoch: int


class PendingFlow(NamedTuple):
    """A flow that waits for placement.

    Attributes:
        segments: The first packet and, for UDP, the following ones.
        service: Service number of the flow.
        epoch: Epoch that the flow will get.
        attempts: Number of placement requests.
    """

    segments: list[Segment]
    service: int
    epoch: int
    attempts: int = 1


class FlowState:
    """State of one flow engine and operations that its parts share.

    Attributes:
        out: Actions of the current event and those that the fast path left.
        pending: Flows that wait for placement.
        provisional_slots: Provisional server slots, the earliest to expire first.
        first_miss_times: Time in seconds of the first failed lookup of an open flow.
        learned_keys: Keys of learned records, the oldest first.
        probe_budget: Number of flows that may be probed now.
        last_packet_time: Time in seconds of the last packet.
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
        """Return the number of the service in force for a flow key, None if unknown."""
        return self.routes.current_services.get(service_key_of(key))

    def named_service_of(self, key: FlowKey, name: ServiceName) -> int | None:
        """Return the number of the service that a binding names, in force or not.

        An empty name stands for the service in force, and None is returned if there is
        none.
        """
        if not name:
            return self.current_service_of(key)
        return self.routes.register_service(name, service_key_of(key))

    def service_name_of(self, slot: int) -> ServiceName:
        """Return the service name of a record."""
        return self.routes.service_names[self.table.services[slot]]

    def server_address_of(self, slot: int) -> Address:
        """Return the server address of a record."""
        return self.routes.addresses[self.table.servers[slot]]

    def binding_of(self, slot: int) -> Binding:
        """Return the binding of a record, to be sent with a packet."""
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
        """Return whether the server of a record may get the flow's packets."""
        return self.routes.permits(self.table.servers[slot], self.table.services[slot])

    def to_server(self, slot: int, segment: Segment) -> None:
        """Forward a packet to the server of a record after a last check.

        Raises:
            ValueError: The server may not get packets of the flow's service.
        """
        if not self.server_permitted(slot):
            raise ValueError("server must not receive packets of the flow's service")
        self.out.append(SendToServer(self.server_address_of(slot), segment.packet))

    def drop_packet(self, reason: Refusal) -> None:
        """Drop a packet and count the reason."""
        self.out.append(Dropped(reason))

    def refuse_flow(
        self, segment: Segment, reason: Refusal, server: str = "none"
    ) -> None:
        """Reset the caller of a flow that has no route and log the refusal."""
        self.out.append(ResetCaller(segment, reason))
        self.log_decision("flow-refused", segment.key, server, reason)

    def request_route_refresh(
        self, reason: Refusal, service: ServiceName, server: Address | None
    ) -> None:
        """Request a refresh of a route that failed, if the settings allow it."""
        if self.settings.refresh_on_failure:
            self.out.append(RefreshRoute(reason, service, server))

    def start_work(self, slot: int) -> None:
        """Take a slot of the server unless the flow holds one."""
        key = self.table.keys[slot]
        if key is None or self.table.flow_flags[slot] & FlowFlag.WORK_PENDING:
            return
        self.table.flow_flags[slot] |= FlowFlag.WORK_PENDING
        self.out.append(WorkStarted(key, self.server_address_of(slot)))

    def finish_work(self, slot: int) -> None:
        """Free the slot of the server if the flow holds one."""
        key = self.table.keys[slot]
        if key is None or not self.table.flow_flags[slot] & FlowFlag.WORK_PENDING:
            return
        self.table.flow_flags[slot] &= (
            ~(FlowFlag.WORK_PENDING | FlowFlag.WORK_PROVISIONAL) & 0xFF
        )
        self.out.append(WorkAnswered(key, self.server_address_of(slot)))

    def take_ownership(self, slot: int, reason: str) -> None:
        """Become the owner of a record that another VM owned."""
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
        """Stop owning a record and hold it in another role."""
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
        """Close a flow, whose key stays bound to its server during the quarantine."""
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
        """Close a flow and remove its record without quarantine."""
        self.close_flow(slot, reason, now)
        self.table.remove(slot)

    def is_quarantined(self, slot: int, now: float) -> bool:
        """Return whether the key of a closed flow is still in quarantine."""
        return now - self.table.strike_times[slot] < self.settings.quarantine_seconds

    def idle_seconds(self, slot: int, now: float) -> float:
        """Return the seconds since a flow was last active."""
        table = self.table
        last_active_time = max(table.caller_times[slot], table.reply_times[slot])
        if self.is_probed(slot):
            last_active_time = table.caller_times[slot]
        if table.roles[slot] == Role.BACKUP:
            last_active_time = max(last_active_time, table.backup_times[slot])
        return now - last_active_time

    def is_probed(self, slot: int) -> bool:
        """Return whether probes keep the reply time of a flow recent.

        Then only packets of the caller show that the flow is active.
        """
        table = self.table
        established = table.statuses[slot] == FlowStatus.ESTABLISHED
        return established and table.roles[slot] == Role.OWNER

    def log_record(self, event: str, slot: int, reason: str) -> None:
        """Log a decision about the flow of a record."""
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
        """Log a decision about a flow.

        Args:
            event: Name of the decision.
            key: Key of the flow.
            server: Backend server as ``ip:port``, or ``none``.
            reason: Reason code of the decision.
            service: Service name; if empty, the service in force for the key.
        """
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
