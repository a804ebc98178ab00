"""Table of flow records: one row of a cache line per record, accessed by columns."""

from __future__ import annotations

from array import array
from enum import IntEnum

from kumquatmux_core.identity import FlowKey
from kumquatmux_core.segments import FLAG_FIN, FLAG_SYN, Segment

MIN_GROWTH_SLOTS = 1_024
NO_VM = 0xFFFF
"""VM number that stands for no VM."""
WAS_RESET = 255
"""Value of ``strikes`` for a flow that this VM has reset."""
ROW_BYTES = 64
SEQUENCE_MASK = 0xFFFFFFFF
SEQUENCE_HALF = 0x80000000


class Role(IntEnum):
    """Reason why this VM holds a record.

    Attributes:
        FREE: The slot holds no record.
        LEARNED: The record was learned from replies.
        BACKUP: The record is a copy of one that another VM owns.
        OWNER: This VM owns the flow.
    """

    FREE = 0
    LEARNED = 1
    BACKUP = 2
    OWNER = 3


class FlowStatus(IntEnum):
    """Progress of a flow; open flows have the status ``ESTABLISHED`` or higher.

    Attributes:
        HALF_OPEN: The TCP handshake is not finished.
        CLOSING: One end has sent a FIN.
        CLOSED: The flow has ended or was reset.
        ESTABLISHED: The TCP handshake is finished.
        UDP_ACTIVE: The flow is a UDP flow.
    """

    HALF_OPEN = 0
    CLOSING = 1
    CLOSED = 2
    ESTABLISHED = 3
    UDP_ACTIVE = 4


class FlowFlag(IntEnum):
    """Flag bits of a flow.

    Attributes:
        WORK_PENDING: The flow holds a slot of its server.
        WORK_PROVISIONAL: The flow holds the slot only because it is new; its caller
            has not sent any bytes.
        CALLER_FIN: The caller has sent a FIN.
        SERVER_FIN: The server has sent a FIN.
        BACKUP_CONFIRMED: The backup VM is known to hold the record.
        PLACED_HERE: This VM placed the flow.
        SERVER_NEXT_KNOWN: ``server_nexts`` holds a number seen in a packet. At the
            owner it is what the caller acknowledged, not what the server sent: the
            caller ignores resets and probes with any other number.
        CALLER_NEXT_KNOWN: ``caller_nexts`` holds a number seen in a packet.
    """

    WORK_PENDING = 1
    WORK_PROVISIONAL = 2
    CALLER_FIN = 4
    SERVER_FIN = 8
    BACKUP_CONFIRMED = 16
    PLACED_HERE = 32
    SERVER_NEXT_KNOWN = 64
    CALLER_NEXT_KNOWN = 128


class FlowTable:
    """All flow records of one VM.

    Attributes:
        slots: Slot of each key.
        keys: Key of each slot, None for a free slot.
        free_slots: Free slots.
        role_counts: Number of records by role.
        roles: Role of each slot.
        statuses: ``FlowStatus`` of each slot.
        flow_flags: ``FlowFlag`` bits of each slot.
        strikes: Unanswered packets that each slot counts, ``WAS_RESET`` for a flow
            that was reset.
        services: Service number of each slot.
        servers: Server number of each slot.
        revisions: Settings revision in force when the flow was placed.
        epochs: Number of times that the key of each slot has been placed.
        caller_isns: Initial sequence number of the caller.
        caller_nexts: Next sequence number expected from the caller.
        server_nexts: Next sequence number expected from the server.
        server_acks: Last acknowledgement number of the server, 0 if unknown.
        backup_vms: Number of the VM that got the backup copy, ``NO_VM`` for none.
        backup_seqs: Sequence number whose acknowledgement by the server shows that
            the backup VM holds the record.
        backup_times: Time in seconds at which the backup copy was last sent,
            received or confirmed.
        caller_times: Time in seconds of the last packet of the caller.
        reply_times: Time in seconds of the last packet of the server.
        strike_times: Time in seconds at which each slot last counted an unanswered
            packet or, for a closed flow, at which it was closed.
    """

    def __init__(self) -> None:
        self.slots: dict[FlowKey, int] = {}
        self.keys: list[FlowKey | None] = []
        self.free_slots: array[int] = array("I")
        self.role_counts = [0] * len(Role)
        self.epochs: array[int] = array("I")
        self.strike_times: array[float] = array("d")
        self.map_columns(bytearray())

    def map_columns(self, rows: bytearray) -> None:
        """Map the columns onto rows; one cache line holds all that a packet needs."""
        self.rows = rows
        uint8s = memoryview(rows)
        uint32s = uint8s.cast("I")
        uint16s = uint8s.cast("H")
        float64s = uint8s.cast("d")
        self.roles = uint8s[0::ROW_BYTES]
        self.statuses = uint8s[1::ROW_BYTES]
        self.flow_flags = uint8s[2::ROW_BYTES]
        self.strikes = uint8s[3::ROW_BYTES]
        self.services = uint16s[2 :: ROW_BYTES // 2]
        self.backup_vms = uint16s[3 :: ROW_BYTES // 2]
        self.servers = uint32s[2 :: ROW_BYTES // 4]
        self.revisions = uint32s[3 :: ROW_BYTES // 4]
        self.caller_isns = uint32s[4 :: ROW_BYTES // 4]
        self.caller_nexts = uint32s[5 :: ROW_BYTES // 4]
        self.server_nexts = uint32s[6 :: ROW_BYTES // 4]
        self.server_acks = uint32s[7 :: ROW_BYTES // 4]
        self.backup_seqs = uint32s[8 :: ROW_BYTES // 4]
        self.backup_times = float64s[5 :: ROW_BYTES // 8]
        self.caller_times = float64s[6 :: ROW_BYTES // 8]
        self.reply_times = float64s[7 :: ROW_BYTES // 8]

    @property
    def retained_count(self) -> int:
        """Number of records held as owner or backup."""
        return self.role_counts[Role.OWNER] + self.role_counts[Role.BACKUP]

    def add(
        self, key: FlowKey, role: Role, server_number: int, service_number: int
    ) -> int:
        """Add a record for a key that has none and return its slot."""
        if not self.free_slots:
            self.grow()
        slot = self.free_slots.pop()
        self.slots[key] = slot
        self.keys[slot] = key
        self.roles[slot] = role
        self.role_counts[role] += 1
        self.servers[slot] = server_number
        self.services[slot] = service_number
        self.reset_progress(slot)
        return slot

    def reset_progress(self, slot: int) -> None:
        """Reset the tracked progress of a slot to that of a new flow."""
        self.statuses[slot] = FlowStatus.HALF_OPEN
        self.flow_flags[slot] = 0
        self.strikes[slot] = 0
        self.backup_vms[slot] = NO_VM
        self.epochs[slot] = 0
        self.revisions[slot] = 0
        self.caller_isns[slot] = 0
        self.caller_nexts[slot] = 0
        self.server_nexts[slot] = 0
        self.server_acks[slot] = 0
        self.backup_seqs[slot] = 0
        self.backup_times[slot] = 0.0
        self.caller_times[slot] = 0.0
        self.reply_times[slot] = 0.0
        self.strike_times[slot] = 0.0

    def remove(self, slot: int) -> None:
        """Remove the record of a slot and free the slot.

        Raises:
            ValueError: The slot is already free.
        """
        key = self.keys[slot]
        if key is None:
            raise ValueError(f"slot {slot} is already free")
        del self.slots[key]
        self.keys[slot] = None
        self.role_counts[self.roles[slot]] -= 1
        self.roles[slot] = Role.FREE
        self.free_slots.append(slot)

    def set_role(self, slot: int, role: Role) -> None:
        """Change the role of a record."""
        self.role_counts[self.roles[slot]] -= 1
        self.role_counts[role] += 1
        self.roles[slot] = role

    def grow(self) -> None:
        """Add free slots, at least an eighth of the table."""
        slot_count = len(self.keys)
        added_slots = max(MIN_GROWTH_SLOTS, slot_count // 8)
        self.keys.extend([None] * added_slots)
        for column in (self.epochs, self.strike_times):
            column.frombytes(bytes(added_slots * column.itemsize))
        self.map_columns(self.rows + bytes(added_slots * ROW_BYTES))
        self.free_slots.extend(range(slot_count + added_slots - 1, slot_count - 1, -1))


def next_seq(segment: Segment) -> int:
    """Return the sequence number that follows a segment."""
    length = segment.payload_length
    length += 1 if segment.flags & FLAG_SYN else 0
    length += 1 if segment.flags & FLAG_FIN else 0
    return (segment.seq + length) & SEQUENCE_MASK


def seq_after(left: int, right: int) -> bool:
    """Return whether TCP sequence number ``left`` is later than ``right``."""
    return 0 < (left - right) & SEQUENCE_MASK < SEQUENCE_HALF


def seq_at_or_after(left: int, right: int) -> bool:
    """Return whether TCP sequence number ``left`` is ``right`` or later."""
    return (left - right) & SEQUENCE_MASK < SEQUENCE_HALF
