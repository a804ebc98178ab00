"""Settings of the registry."""

from __future__ import annotations

from typing import NamedTuple


class RegistrySettings(NamedTuple):
    """Timeouts and the page size of the backend server registry.

    Attributes:
        late_after_s: Seconds without a report after which the holder marks a server
            as late. Allows for lost reports and reports sent to another VM.
        holder_silent_s: Seconds without a message from a holder after which its
            servers are marked as late too, unless they report to another VM.
        quiet_s: Seconds without a report after which a server's lifetime is over if
            other evidence says so; more than the time between two reports.
        steady_s: Seconds of reports without a break of ``quiet_s`` after which a server
            is believed that was not in use, though another reports at its address.
        paused_after_s: Seconds between two looks at the leases after which this VM is
            taken to have stood still.
        ended_retention_s: Seconds for which the record of an ended server is kept;
            longer than any flow to the server lasts.
        page_size: Maximum number of records in one feed answer, which limits the
            size of the message.
        max_records: Maximum number of known servers; those of one region at the
            two-year size fit.
        max_unnamed_records: Maximum number of known servers whose service the settings
            document does not name.
    """

    late_after_s: float = 4.0
    holder_silent_s: float = 5.0
    quiet_s: float = 2.4
    steady_s: float = 1.8
    paused_after_s: float = 1.0
    ended_retention_s: float = 120.0
    page_size: int = 64
    max_records: int = 16_384
    max_unnamed_records: int = 1_024
