"""Messages that flow engines exchange without a packet, in rate-limited batches."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.codec import registry
from kumquatmux_core.identity import Address, FlowKey, ServiceName


class FlowRecord(NamedTuple):
    """A flow record as one VM sends it to another.

    Attributes:
        key: Key of the flow.
        server: Address of its backend server.
        service: Name of the service that the flow was placed for.
        revision: Settings revision in force when the flow was placed.
        epoch: Number of times that the key has been placed.
        status: Value of the ``FlowStatus`` of the flow.
        idle_seconds: Seconds since the last packet of the flow at the sender.
        server_ack: Last acknowledgement number of the server, 0 if unknown.
        caller_ack: Last acknowledgement number of the caller, 0 if unknown.
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
    """Records for the receiver to store; it confirms them with ``BatchStored``.

    Attributes:
        batch_number: Number of the batch at its sender.
        records: Records of the batch.
    """

    batch_number: int
    records: tuple[FlowRecord, ...]


class BatchStored(NamedTuple):
    """The confirmation that the records of a batch are stored.

    Attributes:
        batch_number: Number of the batch at its sender.
        preferred_records: Records of the confirming VM that win over records of the
            batch and that the sender of the batch must store instead.
    """

    batch_number: int
    preferred_records: tuple[FlowRecord, ...] = ()


class LostRecord(NamedTuple):
    """A request to remove the backup copy of a record that lost a conflict.

    Attributes:
        key: Key of the flow.
        server: Address of the backend server that the flow is no longer bound to.
    """

    key: FlowKey
    server: Address


FlowMessage = RecordBatch | BatchStored | LostRecord

MESSAGE_TYPES: dict[int, type] = {
    0x0101: RecordBatch,
    0x0102: BatchStored,
    0x0103: LostRecord,
}
"""Message types by kind number; a channel merges them into its registry."""

FLOW_MESSAGES = registry(MESSAGE_TYPES)
