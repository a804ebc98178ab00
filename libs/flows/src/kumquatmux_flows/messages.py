"""Messages between flow engines that travel without a packet, in paced batches."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.codec import registry
from kumquatmux_core.identity import Address, FlowKey, ServiceName


class FlowRecord(NamedTuple):
    """One flow as its keeper tells another VM.

    Attributes:
        key: The flow.
        server: Its backend server.
        service: The service it was placed for.
        revision: Settings revision in force when it was placed.
        epoch: How often its key has been placed.
        status: A ``FlowStatus`` as a number.
        idle: Seconds since its last packet at the sender.
        server_ack: What the server last acknowledged, 0 if unknown.
        caller_ack: What the caller last acknowledged, 0 if unknown.
    """

    key: FlowKey
    server: Address
    service: ServiceName
    revision: int
    epoch: int
    status: int
    idle_seconds: int
    server_ack: int = 0
    caller_ack: int = 0


class RecordBatch(NamedTuple):
    """Records for the receiver to keep, confirmed by ``BatchStored``."""

    batch_number: int
    records: tuple[FlowRecord, ...]


class BatchStored(NamedTuple):
    """A batch is kept; records the receiver knows better come back."""

    batch_number: int
    preferred_records: tuple[FlowRecord, ...] = ()


class LostRecord(NamedTuple):
    """A record lost against another of its key; its second copy is to go.

    Attributes:
        key: The flow.
        server: The backend server it is not bound to any more.
    """

    key: FlowKey
    server: Address


FlowMessage = RecordBatch | BatchStored | LostRecord

MESSAGE_TYPES: dict[int, type] = {
    0x0101: RecordBatch,
    0x0102: BatchStored,
    0x0103: LostRecord,
}
"""Message types by kind, to be merged into the registry of a channel."""

FLOW_MESSAGES = registry(MESSAGE_TYPES)
