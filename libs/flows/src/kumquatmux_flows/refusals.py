"""Reason codes for refused and dropped packets and for flows that are closed."""

from __future__ import annotations

from enum import StrEnum


class Refusal(StrEnum):
    """Reason codes that appear in resets, log lines and counters."""

    SERVICE_UNKNOWN = "service-unknown"
    TABLE_STALE = "table-stale"
    TABLE_FULL = "table-full"
    SERVER_GONE = "server-gone"
    LEASE_ENDED = "lease-ended"
    OWNER_MOVED = "owner-moved"
    FLOW_UNKNOWN = "flow-unknown"
    RECORD_MAYBE_LOST = "record-maybe-lost"
    VIEW_UNSETTLED = "view-unsettled"
    QUARANTINED = "quarantined"
    DUPLICATE_FIRST_PACKET = "duplicate-first-packet"
    HELD_FULL = "held-full"
    REPLY_CROSSED = "reply-crossed"
    SERVICE_CROSSED = "service-crossed"
    SILENT = "silent"
    IDLE = "idle"
    CONFLICT = "conflict"
    HOP_LIMIT = "hops"
    NO_OWNER = "no-owner"
