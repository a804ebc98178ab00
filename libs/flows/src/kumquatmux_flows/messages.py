"""Messages between flow engines that travel without a packet, in paced batches."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.codec import Registry, registry
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
        caller_next: Next sequence number of the caller, 0 if unknown.
        server_next: Next sequence number of the server, 0 if unknown.
    """

    key: FlowKey
    server: Address
    service: ServiceName
    revision: int
    epoch: int
    status: int
    idle: int
    caller_next: int = 0
    server_next: int = 0


class RecordBatch(NamedTuple):
    """Records for the receiver to keep, confirmed by ``BatchStored``."""

    number: int
    records: tuple[FlowRecord, ...]


class BatchStored(NamedTuple):
    """A batch is kept; records the receiver knows better come back."""

    number: int
    better: tuple[FlowRecord, ...] = ()


FlowMessage = RecordBatch | BatchStored

FLOW_MESSAGES: Registry = registry({1: RecordBatch, 2: BatchStored})
