"""Selection of the VM that places the flows of a service: its placement coordinator.

One VM that sees every SYN packet of a service in its zone knows the current load on
each server. If each VM placed flows itself, it would use outdated load reports.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from kumquatmux_core import rendezvous
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import ServiceName, VmId
from kumquatmux_tokens.settings import TokenRouterSettings


class PlaceQuestion(NamedTuple):
    """Placement request: asks another VM to select the server for a new flow.

    Attributes:
        sender: The requesting VM.
        flow_key: 12-byte flow key.
        service: Service that the flow's route selects.
        tried_tokens: Tokens of the servers that earlier SYN packets of the flow were
            sent to.
        expects_many_requests: Whether the flow is likely to carry many requests.
        sequence_number: Sequence number of the flow's SYN, which tells it from a flow
            that the caller had before on the same port.
        priority: Priority of the flow's route; 0 is the highest.
        wait_left_ms: Milliseconds for which the caller still waits, 0 if that is not
            said. Whole numbers are shorter on the wire.
        target_latency_ms: Target latency of the flow's route in milliseconds, 0 if it
            has none.
        was_refused: Whether the flow seems to be the retry of a caller that was refused
            at the requesting VM.
        was_queued: Whether the flow waited in the queue of another coordinator, which
            the answering VM succeeds.
    """

    sender: VmId
    flow_key: bytes
    service: ServiceName
    tried_tokens: tuple[int, ...]
    expects_many_requests: bool
    sequence_number: int = 0
    priority: int = 0
    wait_left_ms: int = 0
    target_latency_ms: int = 0
    was_refused: bool = False
    was_queued: bool = False


class PlaceAnswer(NamedTuple):
    """Answer to a placement request: the server selected for a new flow.

    Attributes:
        sender: The answering VM.
        flow_key: Flow key from the request.
        token: Token of the selected server, 0 if no server can take the flow.
        is_full: Whether the request queue of the selected server is full, so that the
            flow has to wait.
        reservation_number: Number of the reservation for the flow, 0 for none.
        is_paced: Whether the sender limits the requests in progress at the server, and
            so wants to know how it answers.
        queue_position: Position of the flow in the answering VM's queue, which sends a
            second answer once the flow has a server; 0 if the flow is not queued.
        is_refused: Whether the flow would get no server in time, so that its caller is
            to be refused.
    """

    sender: VmId
    flow_key: bytes
    token: int
    is_full: bool
    reservation_number: int
    is_paced: bool = False
    queue_position: int = 0
    is_refused: bool = False


class Backoff:
    """Backoff from a VM that left placement requests unanswered.

    Attributes:
        expires_at: Time when the VM may be asked again, in monotonic seconds.
        duration_s: Duration of the latest backoff in seconds.
    """

    def __init__(self) -> None:
        self.expires_at = -math.inf
        self.duration_s = 0.0


class PendingRequest(NamedTuple):
    """A placement request that is not answered yet.

    Attributes:
        vm: The VM that was asked.
        sent_at: Time when the request was sent, in monotonic seconds.
    """

    vm: VmId
    sent_at: float


class CoordinatorSelector:
    """Selects placement coordinators and tracks requests to them.

    Attributes:
        entry_vms: Entry VMs of the zone, including this one.
        other_vms: Those beside this one.
        rankings: Entry VMs in order of preference, by service.
        backoffs: Backoff from each VM that left placement requests unanswered.
        pending_requests: Unanswered placement requests by flow key.
        timed_out: Times at which placement requests timed out, or answers came that
            were late or duplicates, by flow key. A further answer for one of these
            flows may be that to an earlier request.
        is_explained: Tells whether the queue of this VM's link explains that an answer
            has not come for some seconds.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.entry_vms: tuple[VmId, ...] = ()
        self.other_vms: tuple[VmId, ...] = ()
        self.rankings: dict[ServiceName, list[VmId]] = {}
        self.backoffs: dict[VmId, Backoff] = {}
        self.pending_requests: dict[bytes, PendingRequest] = {}
        self.timed_out: dict[bytes, float] = {}
        self.is_explained: Callable[[float, float], bool] = _is_never_explained

    @property
    def has_other_vms(self) -> bool:
        """Whether the zone has entry VMs beside this one."""
        return bool(self.other_vms)

    def set_entry_vms(self, entry_vms: tuple[VmId, ...]) -> None:
        """Set the entry VMs of the zone."""
        if entry_vms != self.entry_vms:
            self.entry_vms = entry_vms
            self.other_vms = tuple(vm for vm in entry_vms if vm != self.settings.vm)
            self.rankings.clear()

    def coordinator_for(self, service: ServiceName, now: float) -> VmId:
        """Return the placement coordinator of a service.

        A VM that recently left a request unanswered is skipped; this VM never is.
        """
        own_vm = self.settings.vm
        for vm in self._ranking(service):
            backoff = self.backoffs.get(vm)
            if vm == own_vm or backoff is None or backoff.expires_at <= now:
                return vm
        return own_vm

    def first_for(self, service: ServiceName) -> VmId | None:
        """Return the first VM in the ranking of a service, silent or not."""
        return next(iter(self._ranking(service)), None)

    def coordinator_after(self, vm: VmId, service: ServiceName, now: float) -> VmId:
        """Return the coordinator for a flow that waits in the queue of one.

        It stays there while that VM answers and the preferred one has not answered
        since it left a request unanswered: a try at each end of its backoff would take
        all that wait out of the queue.
        """
        coordinator = self.coordinator_for(service, now)
        backoff = self.backoffs.get(vm)
        is_avoided = backoff is not None and backoff.expires_at > now
        is_unproven = coordinator in self.backoffs
        stays = is_unproven and not is_avoided and vm in self.entry_vms
        return vm if stays else coordinator

    def record_request(self, vm: VmId, flow_key: bytes, now: float) -> None:
        """Record that a placement request was sent."""
        self.pending_requests[flow_key] = PendingRequest(vm, now)

    def is_asked(self, vm: VmId, flow_key: bytes) -> bool:
        """Return whether an answer of a VM to a flow's placement request is awaited."""
        request = self.pending_requests.get(flow_key)
        return request is not None and request.vm == vm

    def is_pending(self, flow_key: bytes, now: float) -> bool:
        """Return whether an answer to a flow's placement request may still come.

        A request that has timed out is removed, and the VM that was asked is avoided
        for a while, unless the queue of this VM's link explains its silence.
        """
        request = self.pending_requests.get(flow_key)
        if request is None:
            return False
        timeout_s = self.settings.placement_timeout_s
        if now - request.sent_at < timeout_s:
            return True
        del self.pending_requests[flow_key]
        self.timed_out[flow_key] = now
        if not self.is_explained(timeout_s, now):
            self._start_backoff(request, now)
        return False

    def record_answer(self, vm: VmId, flow_key: bytes) -> None:
        """Record an answer to a placement request and end the VM's backoff."""
        self.backoffs.pop(vm, None)
        request = self.pending_requests.get(flow_key)
        if request is not None and request.vm == vm:
            del self.pending_requests[flow_key]

    def note_delay(self, flow_key: bytes, now: float, *, is_of_queue: bool) -> None:
        """Note an answer that has arrived, which may be late or a duplicate.

        Args:
            flow_key: Key of the flow.
            now: Current time in monotonic seconds.
            is_of_queue: Whether the flow waits in the queue of the VM that answered,
                so that an answer may come without a request.
        """
        request = self.pending_requests.get(flow_key)
        if request is None:
            is_late = not is_of_queue
        else:
            is_late = now - request.sent_at >= self.settings.placement_timeout_s
        if is_late:
            self.timed_out[flow_key] = now

    def remove_expired(self, now: float) -> None:
        """Remove placement requests that have timed out."""
        for flow_key in list(self.pending_requests):
            self.is_pending(flow_key, now)
        limit = now - self.settings.placement_memory_s
        for flow_key, time in list(self.timed_out.items()):
            if time < limit:
                del self.timed_out[flow_key]

    def _start_backoff(self, request: PendingRequest, now: float) -> None:
        backoff = self.backoffs.setdefault(request.vm, Backoff())
        if backoff.expires_at > request.sent_at:
            return
        settings = self.settings
        backoff.duration_s = min(
            max(2 * backoff.duration_s, settings.coordinator_backoff_s),
            settings.coordinator_backoff_max_s,
        )
        backoff.expires_at = now + backoff.duration_s
        log_decision("placer-silent", placer=request.vm, avoided_s=backoff.duration_s)

    def _ranking(self, service: ServiceName) -> list[VmId]:
        ranking = self.rankings.get(service)
        if ranking is None:
            ranked_names = rendezvous.rank(service.encode(), self.entry_vms)
            ranking = self.rankings[service] = [VmId(name) for name in ranked_names]
        return ranking


def _is_never_explained(silence_s: float, now: float) -> bool:
    """Return whether an answer is late for a reason of this VM: none is known of."""
    return False
