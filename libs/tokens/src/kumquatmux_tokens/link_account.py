"""Account of an entry VM's network link: its modelled queue and the uploads under way.

Packets that exceed the link's rate wait below the socket, where no process sees them.
The bytes that were sent so far, drained at that rate, show how many do. What the VM
receives is limited by the links of its senders.
"""

from __future__ import annotations

import math

from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.sequences import SEQUENCE_SPACE, is_after
from kumquatmux_tokens.settings import LinkSettings

SENT_BYTES_PER_RECEIVED_BYTE = 1.03
"""Bytes that the link carries for each byte of a caller's packet.

A packet of 1,236 bytes goes out with 8 bytes more, and 28 of the IP and UDP headers.
"""

RECEIVED_BYTES_PER_DATA_BYTE = 1.03
"""Bytes of a packet for each byte of its data: a header of 36 bytes on 1,200."""


class Upload:
    """An upload under way.

    Attributes:
        expected_bytes: Bytes of data that it is expected to send in all.
        first_sequence_number: Sequence number of its first byte of data.
        next_sequence_number: Sequence number after the last byte that was seen.
        largest_payload: Length of its longest packet's data.
        is_tail_seen: Whether its latest new data came in a packet that was not filled,
            as the last one of an upload is.
        is_closed: Whether its caller has closed it.
        started_at: Time of its start.
        last_packet_at: Time of its latest packet.
        departures: Time at which each of the latest data packets leaves the modelled
            queue, infinity while it is held on the VM, by sequence number.
    """

    __slots__ = (
        "departures",
        "expected_bytes",
        "first_sequence_number",
        "is_closed",
        "is_tail_seen",
        "largest_payload",
        "last_packet_at",
        "next_sequence_number",
        "started_at",
    )

    def __init__(
        self, expected_bytes: float, first_sequence_number: int, now: float
    ) -> None:
        self.expected_bytes = expected_bytes
        self.first_sequence_number = first_sequence_number
        self.next_sequence_number = first_sequence_number
        self.largest_payload = 0
        self.is_tail_seen = False
        self.is_closed = False
        self.started_at = now
        self.last_packet_at = now
        self.departures: dict[int, float] = {}

    @property
    def seen_bytes(self) -> int:
        """Bytes of data that were seen."""
        return (self.next_sequence_number - self.first_sequence_number) % SEQUENCE_SPACE

    @property
    def has_sent_all(self) -> bool:
        """Whether no more data is expected of it."""
        return self.is_closed or self.is_tail_seen


class LinkAccount:
    """Model of the link's queue, and the claims of uploads on it.

    Attributes:
        uploads: Uploads under way by flow key.
        busy_until: Time at which the link has carried all that was sent.
        held_bytes: Bytes of upload packets that wait on the VM to go out.
        peak_queue_s: Longest recent queue, in seconds.
        peak_at: Time of that queue.
        sent_bytes: Bytes that the link was given since the latest measurement of the
            rate.
        upload_bytes: Part of them that belongs to uploads.
        other_bytes_per_s: Rate of the other part on the link, on average.
        use: Share of the link that was used before the latest measurement.
        measured_at: Time of the latest measurement of the rate.
        has_ended_claim: Whether a claim has ended; the reader clears it.
    """

    def __init__(self, settings: LinkSettings, now: float) -> None:
        self.settings = settings
        self.uploads: dict[bytes, Upload] = {}
        self.busy_until = -math.inf
        self.held_bytes = 0
        self.peak_queue_s = 0.0
        self.peak_at = -math.inf
        self.sent_bytes = 0.0
        self.upload_bytes = 0.0
        self.other_bytes_per_s = 0.0
        self.use = 0.0
        self.measured_at = now
        self.has_ended_claim = False

    def record_sent(self, size: float, now: float, *, is_upload: bool = False) -> None:
        """Record that a packet goes out.

        Args:
            size: Its bytes when it was received.
            now: Current time in monotonic seconds.
            is_upload: Whether it carries data of an upload.
        """
        sent_bytes = SENT_BYTES_PER_RECEIVED_BYTE * size
        self.sent_bytes += sent_bytes
        if is_upload:
            self.upload_bytes += sent_bytes
        start_at = max(self.busy_until, now)
        self.busy_until = start_at + sent_bytes / self.settings.bytes_per_s
        queue_s = self.busy_until - now
        memory_s = self.settings.upload_idle_s
        if queue_s >= self.peak_queue_s or now - self.peak_at > memory_s:
            self.peak_queue_s = queue_s
            self.peak_at = now

    def record_messages(self, size: float, now: float) -> None:
        """Record messages that this VM sent."""
        self.record_sent(size / SENT_BYTES_PER_RECEIVED_BYTE, now)

    def queue_s(self, now: float) -> float:
        """Return the seconds that the link needs for all that waits here or in it."""
        return max(self.drained_at(), now) - now

    def drained_at(self) -> float:
        """Return when the link has carried all that waits here or in it."""
        held_bytes = SENT_BYTES_PER_RECEIVED_BYTE * self.held_bytes
        return self.busy_until + held_bytes / self.settings.bytes_per_s

    def explains(self, silence_s: float, now: float) -> bool:
        """Return whether the queue explains that an answer has not come for a time."""
        is_recent = self.peak_at >= now - silence_s
        if is_recent and self.peak_queue_s > silence_s:
            return True
        return self.busy_until - now > silence_s

    def start_upload(
        self,
        flow_key: bytes,
        expected_bytes: float,
        first_sequence_number: int,
        now: float,
    ) -> Upload:
        """Start the claim of an upload."""
        upload = Upload(expected_bytes, first_sequence_number, now)
        self.uploads[flow_key] = upload
        return upload

    def record_data(self, upload: Upload, header: PacketHeader, now: float) -> bool:
        """Record a data packet of an upload that was received.

        Returns:
            Whether it is a copy of one that waits to go out, or whose answer may still
            be on its way, so that it should not be forwarded.
        """
        size = header.payload_length
        end = (header.sequence_number + size) % SEQUENCE_SPACE
        if not is_after(end, upload.next_sequence_number):
            return self._is_waiting_copy(upload, header, now)
        upload.next_sequence_number = end
        upload.is_tail_seen = size < upload.largest_payload
        upload.largest_payload = max(upload.largest_payload, size)
        self.has_ended_claim |= upload.is_tail_seen
        departures = upload.departures
        if len(departures) > self.settings.departures_limit:
            del departures[next(iter(departures))]
        return False

    def end_upload(self, upload: Upload) -> None:
        """End the claim of an upload that its caller has closed."""
        upload.is_closed = True
        self.has_ended_claim = True

    def remaining_bytes(self, upload: Upload) -> float:
        """Return the bytes of data that an upload is still expected to send.

        One that has sent more than others do may have half a window in flight, until
        its last packet is seen.
        """
        if upload.has_sent_all:
            return 0.0
        left = upload.expected_bytes - upload.seen_bytes
        return max(left, self.settings.window_bytes / 2)

    def in_flight(self, upload: Upload) -> float:
        """Return the bytes of data that an upload may have in flight."""
        return self.window_of(self.remaining_bytes(upload))

    def window_of(self, data_bytes: float) -> float:
        """Return the bytes that a caller with some data to send has in flight."""
        return min(data_bytes, self.settings.window_bytes)

    def live_uploads(self, now: float) -> list[Upload]:
        """Return the uploads that are still expected to send data."""
        idle_s = self.settings.upload_idle_s
        return [
            upload
            for upload in self.uploads.values()
            if upload.last_packet_at + idle_s > now and not upload.has_sent_all
        ]

    def has_room(self, expected_bytes: float, now: float) -> bool:
        """Return whether an upload can start now."""
        pass_s = self.settings.window_pass_s
        if self.drained_at() - pass_s > now:
            return False
        live = self.live_uploads(now)
        if not live:
            return True
        window = self.window_of(expected_bytes)
        return self.carry_s(window + sum(map(self.in_flight, live))) <= pass_s

    def room_at(self, now: float) -> float:
        """Return when an upload may start, if no packet comes until then.

        The terms are those of ``has_room``, so that rounding makes no difference: a
        tick that finds no room would be due again at once.
        """
        drained_at = self.drained_at() - self.settings.window_pass_s
        live = self.live_uploads(now)
        idle_s = self.settings.upload_idle_s
        idle_at = min((one.last_packet_at + idle_s for one in live), default=now)
        return max(drained_at, idle_at, now)

    def carry_s(self, data_bytes: float) -> float:
        """Return the seconds of the whole link that data of uploads takes."""
        received = data_bytes * RECEIVED_BYTES_PER_DATA_BYTE
        return received * SENT_BYTES_PER_RECEIVED_BYTE / self.settings.bytes_per_s

    def upload_s(self, data_bytes: float) -> float:
        """Return the seconds that data of uploads takes beside the other traffic."""
        other_share = self.other_bytes_per_s / self.settings.bytes_per_s
        share = max(1.0 - other_share, self.settings.least_upload_share)
        return self.carry_s(data_bytes) / share

    def measure_rate(self, now: float) -> None:
        """Measure the rate of other traffic since the latest measurement."""
        elapsed_s = now - self.measured_at
        if elapsed_s <= 0:
            return
        self.use = self.sent_bytes / elapsed_s / self.settings.bytes_per_s
        rate = (self.sent_bytes - self.upload_bytes) / elapsed_s
        smoothing = self.settings.rate_smoothing
        self.other_bytes_per_s += smoothing * (rate - self.other_bytes_per_s)
        self.sent_bytes = self.upload_bytes = 0.0
        self.measured_at = now

    def remove_expired(self, now: float) -> None:
        """Remove uploads without a packet for too long."""
        limit = now - self.settings.upload_idle_s
        for flow_key, upload in list(self.uploads.items()):
            if upload.last_packet_at <= limit:
                del self.uploads[flow_key]

    def _is_waiting_copy(
        self, upload: Upload, header: PacketHeader, now: float
    ) -> bool:
        departs_at = upload.departures.get(header.sequence_number, -math.inf)
        return departs_at + self.settings.answer_s > now
