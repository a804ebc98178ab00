"""Admission of uploads to the network link of an entry VM."""

from __future__ import annotations

import math
from random import Random

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_tokens.bulk_routes import BulkRoutes
from kumquatmux_tokens.link_account import LinkAccount, Upload
from kumquatmux_tokens.link_occupancy import (
    MILLISECONDS_PER_S,
    LinkOccupancy,
    ZoneOccupancy,
)
from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.packets import (
    SYN_RESET_SEQUENCE_NUMBER,
    Decision,
    Drop,
    HoldForLink,
    PacketHeader,
    Reset,
)
from kumquatmux_tokens.placers import CoordinatorSelector
from kumquatmux_tokens.recent import RecentPlacements
from kumquatmux_tokens.routes import Route
from kumquatmux_tokens.sequences import is_near, number_after_syn
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.upload_estimates import Estimate, UploadEstimator
from kumquatmux_tokens.upload_queue import RefusedUploads, UploadQueue, WaitingUpload
from kumquatmux_tokens.waiting import BufferedPacket, SynBuffer


class LinkAdmission:
    """Decides which uploads may use the link, and in which order.

    Attributes:
        is_enabled: Whether the link's capacity is known.
        is_active: Whether it is enabled and there are routes of bulk data.
        account: The link's queue and the uploads under way.
        bulk: Routes of bulk data.
        queue: SYN packets that wait for the link.
        refused: Callers that were refused.
        estimator: Estimates when uploads that wait would start and finish.
        zone: Queues of the other VMs of the zone.
    """

    def __init__(
        self,
        settings: TokenRouterSettings,
        random: Random,
        load_tracker: LoadTracker,
        syn_buffer: SynBuffer,
        coordinators: CoordinatorSelector,
        recent: RecentPlacements,
        now: float,
    ) -> None:
        self.settings = settings.link
        self.router_settings = settings
        self.load_tracker = load_tracker
        self.syn_buffer = syn_buffer
        self.coordinators = coordinators
        self.recent = recent
        self.is_enabled = settings.link.bytes_per_s > 0
        self.is_active = False
        self.account = LinkAccount(settings.link, now)
        self.bulk = BulkRoutes(settings.link)
        self.queue = UploadQueue(settings.link)
        self.refused = RefusedUploads(settings.link)
        self.zone = ZoneOccupancy(settings.link, random)
        self.estimator = UploadEstimator(settings, self.account, self.queue)

    @property
    def can_admit(self) -> bool:
        """Whether a claim has ended for which a SYN packet waits."""
        return self.account.has_ended_claim and bool(self.queue.by_flow)

    def install_routes(self, routes: dict[bytes, Route]) -> None:
        """Take over the routes of a new document."""
        if self.is_enabled:
            self.bulk.install(routes)
            self._note_bulk_routes()

    def record_packet(
        self, header: PacketHeader, size: int, now: float
    ) -> Decision | None:
        """Record a packet that was received from a caller.

        Args:
            header: Its header fields.
            size: Its bytes.
            now: Current time in monotonic seconds.

        Returns:
            The decision for a packet that should not be forwarded, otherwise None.
        """
        if header.is_fin_or_rst:
            self._learn(header, now)
        if not self.is_active:
            return None
        is_bulk = header.route_address in self.bulk.by_address and not header.is_syn
        if is_bulk and header.payload_length:
            return self._record_data(header, now)
        self.account.record_sent(size, now)
        if is_bulk:
            self._record_acknowledgment(header, now)
        return None

    def upload_of(self, header: PacketHeader) -> Upload | None:
        """Return the upload that a packet carries data of, None if it carries none."""
        if not header.payload_length:
            return None
        return self.account.uploads.get(header.flow_key)

    def route_syn(self, header: PacketHeader, now: float) -> Decision | None:
        """Return the decision for a SYN packet that can't be placed yet, or None."""
        route = self.bulk.by_address.get(header.route_address)
        if route is None:
            return None
        if header.flow_key in self.queue.by_flow:
            return HoldForLink()
        if self._is_admitted(header, now):
            return None
        is_copy = header.retransmission_count > 0
        if is_copy and self.refused.includes_flow(header.flow_key, now):
            return Drop("copy-refused")
        waiting = self._waiting_upload(header, route, now)
        has_room = self.account.has_room(waiting.expected_bytes, now)
        if self._is_placed(header, now) or (has_room and not self.queue.by_flow):
            self._start(header, waiting.expected_bytes, now)
            return None
        return self._hold_or_refuse(header, route, waiting, now)

    def keep_claim(self, header: PacketHeader, now: float) -> None:
        """Keep the claim of an admitted upload whose SYN packet waits for a server."""
        if self.is_active:
            self._is_admitted(header, now)

    def pop_admitted(self, now: float) -> list[BufferedPacket]:
        """Remove and return the SYN packets whose uploads may start now."""
        self.account.has_ended_claim = False
        admitted: list[BufferedPacket] = []
        self.queue.remove_expired(now)
        while (waiting := self.queue.first(now)) is not None:
            packet = self.syn_buffer.unexpired_packet(waiting.flow_key, now)
            if packet is None:
                self.queue.remove(waiting.flow_key)
                continue
            if not self.account.has_room(waiting.expected_bytes, now):
                break
            self.queue.pop(waiting)
            self._start(packet.header, waiting.expected_bytes, now)
            admitted.append(packet)
            log_decision(
                "upload-admitted",
                flow=waiting.flow_key.hex(),
                waited_s=round(now - waiting.arrived_at, 3),
                waiting=len(self.queue.by_flow),
            )
        return admitted

    def due_at(self, now: float) -> float:
        """Return when an admission or a report to other VMs is due next."""
        due_at = self.report_due_at()
        if self.queue.by_flow:
            due_at = min(due_at, self.account.room_at(now))
        return due_at

    def report_due_at(self) -> float:
        """Return when a report to other VMs is due, infinity if none is."""
        if not self.coordinators.has_other_vms:
            return math.inf
        return self.zone.due_at(bool(self.queue.by_flow))

    def due_reports(self, now: float) -> list[tuple[VmId, LinkOccupancy]]:
        """Return the report to other VMs that is due, with each receiver."""
        self.queue.remove_expired(now)
        self.zone.note_report(bool(self.queue.by_flow), now)
        report = LinkOccupancy(
            self.router_settings.vm,
            len(self.queue.by_flow),
            round(self.estimator.wait_of_another_s(now) * MILLISECONDS_PER_S),
        )
        return [(vm, report) for vm in self.zone.receivers(self.coordinators.other_vms)]

    def explains(self, silence_s: float, now: float) -> bool:
        """Return whether the link's queue explains that an answer has not come."""
        return self.is_active and self.account.explains(silence_s, now)

    def remove_expired(self, now: float) -> None:
        """Remove what is out of date, and measure the rate of other traffic."""
        if not self.is_enabled:
            return
        self.account.remove_expired(now)
        self.account.measure_rate(now)
        self.queue.remove_expired(now)
        self.refused.remove_expired(now)
        self.zone.remove_expired(now)

    def _record_data(self, header: PacketHeader, now: float) -> Decision | None:
        """Record a data packet of a bulk route."""
        upload = self._known_upload(header) or self._start_unknown(header, now)
        upload.last_packet_at = now
        if self.account.record_data(upload, header, now):
            return Drop("copy-queued")
        if header.is_fin_or_rst:
            self.account.end_upload(upload)
        return None

    def _record_acknowledgment(self, header: PacketHeader, now: float) -> None:
        """Record a packet of a bulk route that carries no data."""
        upload = self._known_upload(header)
        if upload is None:
            return
        upload.last_packet_at = now
        if header.is_fin_or_rst:
            self.account.end_upload(upload)

    def _known_upload(self, header: PacketHeader) -> Upload | None:
        """Return the upload of a packet, not an earlier one from the same port."""
        upload = self.account.uploads.get(header.flow_key)
        if upload is None:
            return None
        is_same = is_near(upload.next_sequence_number, header.sequence_number)
        return upload if is_same else None

    def _start(self, header: PacketHeader, expected_bytes: float, now: float) -> Upload:
        """Start the claim of the upload that a SYN packet opens."""
        return self.account.start_upload(
            header.flow_key, expected_bytes, number_after_syn(header), now
        )

    def _start_unknown(self, header: PacketHeader, now: float) -> Upload:
        """Start the claim of an upload that opened elsewhere, by one of its packets."""
        self.queue.remove(header.flow_key)
        flow = self.load_tracker.flow_of_packet(header)
        upload = self.account.start_upload(
            header.flow_key,
            self.bulk.expected_bytes(header.route_address),
            flow.first_sequence_number if flow else header.sequence_number,
            now,
        )
        upload.next_sequence_number = header.sequence_number
        return upload

    def _is_admitted(self, header: PacketHeader, now: float) -> bool:
        """Return whether a SYN packet's upload has a claim; extend the claim if so."""
        upload = self.account.uploads.get(header.flow_key)
        if upload is None or upload.first_sequence_number != number_after_syn(header):
            return False
        upload.last_packet_at = now
        return True

    def _is_placed(self, header: PacketHeader, now: float) -> bool:
        """Return whether a flow has a server already, or one is being selected."""
        if self.load_tracker.flow_of_syn(header) is not None:
            return True
        if header.flow_key in self.syn_buffer.waits:
            return True
        if header.flow_key in self.coordinators.pending_requests:
            return True
        token = self.recent.token_of(header.flow_key, now, header.sequence_number)
        return token != 0

    def _waiting_upload(
        self, header: PacketHeader, route: Route, now: float
    ) -> WaitingUpload:
        expected_bytes = self.bulk.expected_bytes(header.route_address)
        given_up_at = self.syn_buffer.given_up_at(header, now)
        sent_at = given_up_at - self.router_settings.caller_syn_timeout_s
        longest_wait_s = self.estimator.wait_within_target_s(route, expected_bytes)
        return WaitingUpload(
            header.flow_key,
            expected_bytes,
            self.refused.includes(header.flow_key, now),
            route.priority,
            0,
            now,
            given_up_at,
            sent_at + longest_wait_s,
        )

    def _hold_or_refuse(
        self, header: PacketHeader, route: Route, waiting: WaitingUpload, now: float
    ) -> Decision:
        """Return the decision for a SYN packet that the link has no room for now."""
        self.queue.remove_expired(now)
        estimate = self.estimator.estimate(waiting, now)
        is_carried = self.estimator.is_in_time(waiting, route, estimate, now)
        has_place = is_carried and not self.queue.is_full
        is_first = not header.retransmission_count
        if not has_place and is_first and self._have_others_room(waiting, route, now):
            return self._refuse(waiting, estimate, now)
        if self.queue.is_full:
            return Drop("link-full")
        self.queue.add(waiting)
        log_decision(
            "upload-waits",
            flow=header.flow_key.hex(),
            copy=header.retransmission_count,
            wait_s=round(estimate.start_s, 3),
            in_time=is_carried,
            waiting=len(self.queue.by_flow),
        )
        return HoldForLink()

    def _refuse(
        self, waiting: WaitingUpload, estimate: Estimate, now: float
    ) -> Decision:
        self.refused.record(waiting.flow_key, now)
        log_decision(
            "upload-refused",
            flow=waiting.flow_key.hex(),
            wait_s=round(estimate.start_s, 3),
            waiting=len(self.queue.by_flow),
        )
        return Reset(SYN_RESET_SEQUENCE_NUMBER, "link-full")

    def _have_others_room(
        self, waiting: WaitingUpload, route: Route, now: float
    ) -> bool:
        """Return whether a refused caller is likely to be carried by another VM."""
        longest_wait_s = min(
            self.estimator.wait_within_target_s(route, waiting.expected_bytes),
            self.estimator.latest_start_s,
        )
        share = self.zone.room_share(
            self.coordinators.other_vms, max(longest_wait_s, 0.0), now
        )
        return share > 0 and share >= self.settings.room_share

    def _learn(self, header: PacketHeader, now: float) -> None:
        """Learn what the flows of a route send from one that its caller closes."""
        flow = self.load_tracker.flow_of_packet(header)
        if flow is not None:
            self.bulk.record_end(flow, header, now)
            self._note_bulk_routes()

    def _note_bulk_routes(self) -> None:
        self.is_active = bool(self.bulk.by_address)
