"""Queue of the SYN packets that wait until an entry VM's link can carry their uploads.

The packets themselves are in the SYN buffer; the queue keeps their order.
"""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_tokens.settings import LinkSettings

CALLER_ADDRESS_BYTES = 4


class WaitingUpload(NamedTuple):
    """A SYN packet that waits for the link.

    Attributes:
        flow_key: Key of its flow.
        expected_bytes: Bytes of data that its upload is expected to send.
        was_refused: Whether its caller was refused here a short time ago.
        priority: Priority of its route; 0 is the highest.
        number: Number of its arrival.
        arrived_at: Time of its arrival.
        expires_at: Time at which its caller gives up.
        latest_start_at: Time until which its upload can start and be carried within the
            target latency of its route.
    """

    flow_key: bytes
    expected_bytes: float
    was_refused: bool
    priority: int
    number: int
    arrived_at: float
    expires_at: float
    latest_start_at: float


class UploadQueue:
    """SYN packets that wait for the link, at most one for each flow.

    Attributes:
        by_flow: What is known of them by flow key, in order of arrival.
        arrivals: Number of arrivals.
        admissions: Number of admissions.
    """

    def __init__(self, settings: LinkSettings) -> None:
        self.settings = settings
        self.by_flow: dict[bytes, WaitingUpload] = {}
        self.arrivals = 0
        self.admissions = 0

    @property
    def is_full(self) -> bool:
        """Whether there is no room for another SYN packet."""
        return len(self.by_flow) >= self.settings.queue_limit

    def add(self, waiting: WaitingUpload) -> None:
        """Add a SYN packet, with the number of its arrival."""
        self.arrivals += 1
        self.by_flow[waiting.flow_key] = waiting._replace(number=self.arrivals)

    def remove(self, flow_key: bytes) -> None:
        """Remove the SYN packet of a flow."""
        self.by_flow.pop(flow_key, None)

    def first(self, now: float) -> WaitingUpload | None:
        """Return the SYN packet that is admitted next, None if none waits.

        Those that can't reach their target any more go after those that can: in order
        of arrival alone, an overload would make every upload late. Regularly the one
        that has waited longest is next, so that no priority starves.
        """
        interval = self.settings.arrival_admission_interval
        is_by_arrival = self.admissions % interval == interval - 1
        rank = _arrival_rank if is_by_arrival else _rank
        return min(self.by_flow.values(), key=lambda one: rank(one, now), default=None)

    def pop(self, waiting: WaitingUpload) -> None:
        """Remove a SYN packet that is admitted."""
        self.remove(waiting.flow_key)
        self.admissions += 1

    def bytes_before(self, waiting: WaitingUpload, now: float) -> float:
        """Return the bytes of data expected of those that go before another one."""
        rank = _rank(waiting._replace(number=self.arrivals + 1), now)
        before = (one for one in self.by_flow.values() if _rank(one, now) < rank)
        return sum(one.expected_bytes for one in before)

    def remove_expired(self, now: float) -> None:
        """Remove the SYN packets whose callers have given up."""
        for waiting in list(self.by_flow.values()):
            if waiting.expires_at <= now:
                self.remove(waiting.flow_key)


class RefusedUploads:
    """Callers whose uploads were refused a short time ago.

    Attributes:
        by_address: Time of the refusal, and key of the refused flow, by the caller's
            address, oldest first.
    """

    def __init__(self, settings: LinkSettings) -> None:
        self.settings = settings
        self.by_address: dict[bytes, tuple[float, bytes]] = {}

    def record(self, flow_key: bytes, now: float) -> None:
        """Record that a flow was refused."""
        address = flow_key[:CALLER_ADDRESS_BYTES]
        self.by_address.pop(address, None)
        if len(self.by_address) >= self.settings.refusal_limit:
            del self.by_address[next(iter(self.by_address))]
        self.by_address[address] = (now, flow_key)

    def includes(self, flow_key: bytes, now: float) -> bool:
        """Return whether a flow's caller was refused a short time ago."""
        refusal = self.by_address.get(flow_key[:CALLER_ADDRESS_BYTES])
        return refusal is not None and self._is_recent(refusal[0], now)

    def includes_flow(self, flow_key: bytes, now: float) -> bool:
        """Return whether this very flow was refused a short time ago."""
        refusal = self.by_address.get(flow_key[:CALLER_ADDRESS_BYTES])
        is_same = refusal is not None and refusal[1] == flow_key
        return is_same and self.includes(flow_key, now)

    def remove_expired(self, now: float) -> None:
        """Remove the callers whose refusal was long ago."""
        for address, (refused_at, _) in list(self.by_address.items()):
            if self._is_recent(refused_at, now):
                return
            del self.by_address[address]

    def _is_recent(self, refused_at: float, now: float) -> bool:
        return refused_at > now - self.settings.refusal_memory_s


def _rank(waiting: WaitingUpload, now: float) -> tuple[bool, bool, int, int]:
    is_late = waiting.latest_start_at < now
    return (is_late, not waiting.was_refused, waiting.priority, waiting.number)


def _arrival_rank(waiting: WaitingUpload, now: float) -> tuple[bool, bool, int, int]:
    return (waiting.latest_start_at < now, False, 0, waiting.number)
