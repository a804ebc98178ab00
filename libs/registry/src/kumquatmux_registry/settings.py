"""Settings of the registry."""

from __future__ import annotations

from typing import NamedTuple


class RegistrySettings(NamedTuple):
    """How long what is known of backend servers counts.

    Attributes:
        late_after_s: Seconds without a report after which the holder calls a server
            late; some reports may be lost or sent to another VM first.
        holder_silent_s: Seconds without a word of a holder after which its servers
            count as late too, unless they report elsewhere.
        forget_after_s: Seconds an ended server is remembered, longer than any
            flow to it lasts.
        page_records: Records in one answer of the feed, so that it stays small.
    """

    late_after_s: float = 4.0
    holder_silent_s: float = 5.0
    forget_after_s: float = 120.0
    page_records: int = 64
