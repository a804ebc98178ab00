"""The options of the shared settings tree, section by section."""

from __future__ import annotations

from functools import cache
from typing import NamedTuple

from kumquatmux_settings.options import (
    Address,
    Choice,
    Fraction,
    Name,
    Names,
    Networks,
    Option,
    TokenHashes,
    Whole,
)


class Section(NamedTuple):
    """Options that belong together.

    Attributes:
        name: The part of a key that names the section.
        doc: What the section is for, one sentence.
        options: Its options.
        by_service: Whether a service may override them.
    """

    name: str
    doc: str
    options: tuple[Option, ...]
    by_service: bool = False

    def option(self, name: str) -> Option | None:
        """Return the option of a name, None without one."""
        return _options_of(self).get(name)


@cache
def _options_of(section: Section) -> dict[str, Option]:
    return {option.name: option for option in section.options}


ZONE = Section(
    "zone",
    "An availability zone, declared by its region under ``zones.<zone>``.",
    (Name("region", None, "Region the availability zone lies in."),),
)

SERVICE = Section(
    "service",
    "A service, declared by its address under ``services.<service>``.",
    (
        Address("address", None, "Where callers reach the service."),
        Choice("protocol", "tcp", ("tcp", "udp"), "Protocol of its packets."),
        TokenHashes(
            "announce_token_hashes",
            (),
            "SHA-256 of each token its backend servers may announce with.",
        ),
        Names("zones", (), "Zones its servers may announce in; empty for all."),
        Choice(
            "admission",
            "open",
            ("open", "closed"),
            "Whether new flows are taken; open flows go on in both cases.",
        ),
    ),
)

TRAFFIC = Section(
    "traffic",
    "Rules that decide where new flows may go.",
    (
        Names("server_zones", (), "Zones whose servers may be used; empty for all."),
        Networks("callers", ("0.0.0.0/0",), "Networks whose callers are served."),
    ),
    by_service=True,
)

PLACEMENT = Section(
    "placement",
    "Admission of new work and its placement on backend servers.",
    (
        Whole("hold_ms", 1000, 0, 60_000, "ms", "How long work waits for a slot."),
        Whole("queue_limit", 1000, 0, 1_000_000, "", "Work held for one service."),
        Whole("long_ms", 200, 1, 3_600_000, "ms", "Work that runs longer is long."),
        Whole("clear_servers", 2, 0, 100, "", "Servers' worth of slots kept clear."),
        Whole("warm_ms", 10_000, 0, 600_000, "ms", "Slow start of a new server."),
        Whole("shed_backoff_ms", 100, 1, 60_000, "ms", "First pause after shedding."),
        Whole("shed_backoff_limit_ms", 5000, 1, 600_000, "ms", "Longest such pause."),
        Whole("link_cost_ms", 10, 0, 10_000, "ms", "Cost of another zone's server."),
        Whole(
            "reserve_ms", 1000, 0, 60_000, "ms", "How long a silent flow keeps a slot."
        ),
        Whole(
            "stuck_ms", 60_000, 100, 86_400_000, "ms", "How long work keeps its slot."
        ),
        Whole(
            "report_fresh_ms", 2000, 0, 60_000, "ms", "Age up to which reports count."
        ),
        Fraction("retry_ratio", 0.1, 0.0, 1.0, "", "Retries for each first attempt."),
        Whole("retry_burst", 10, 0, 10_000, "", "Retries allowed at once."),
    ),
    by_service=True,
)

FLOWS = Section(
    "flows",
    "Records of open flows, on the VMs of an availability zone.",
    (
        Whole("flow_limit", 400_000, 1000, 10_000_000, "", "Flows kept on one VM."),
        Fraction(
            "established_seconds",
            14_400.0,
            60.0,
            604_800.0,
            "s",
            "Idle time after which an open TCP flow is dropped.",
        ),
        Fraction(
            "closing_seconds", 120.0, 1.0, 3600.0, "s", "The same, half-closed flows."
        ),
        Fraction(
            "half_open_seconds", 30.0, 1.0, 600.0, "s", "The same, open handshakes."
        ),
        Fraction("datagram_seconds", 30.0, 1.0, 86_400.0, "s", "The same, UDP flows."),
        Fraction(
            "quarantine_seconds", 10.0, 1.0, 600.0, "s", "Rest of a key after closing."
        ),
        Fraction(
            "probe_idle_seconds", 30.0, 1.0, 86_400.0, "s", "Idle time until a probe."
        ),
        Fraction(
            "probe_interval_seconds", 5.0, 1.0, 3600.0, "s", "Time between probes."
        ),
        Whole("probe_limit", 3, 1, 100, "", "Unanswered probes of a silent flow."),
        Fraction(
            "silent_seconds", 6.0, 1.0, 600.0, "s", "Time without progress: silent."
        ),
    ),
)

MEMBERSHIP = Section(
    "membership",
    "Failure detection among the entry VMs of an availability zone and their peers.",
    (
        Fraction("heartbeat_seconds", 0.5, 0.05, 10.0, "s", "Time between heartbeats."),
        Fraction("suspect_seconds", 1.5, 0.1, 60.0, "s", "Silence until probes."),
        Fraction("remove_seconds", 2.5, 0.2, 120.0, "s", "Silence until removal."),
    ),
)

LEASES = Section(
    "leases",
    "Announcements of backend servers.",
    (
        Fraction("renew_seconds", 1.0, 0.1, 60.0, "s", "Time between renewals."),
        Fraction("lease_seconds", 4.0, 0.5, 4.0, "s", "How long a lease runs."),
    ),
)

SECTIONS = (TRAFFIC, PLACEMENT, FLOWS, MEMBERSHIP, LEASES)
SECTION_BY_NAME = {section.name: section for section in (ZONE, SERVICE, *SECTIONS)}


class Ordered(NamedTuple):
    """Two options of one section of which the first may not exceed the second."""

    section: str
    lower: str
    upper: str


ORDERED = (
    Ordered("placement", "shed_backoff_ms", "shed_backoff_limit_ms"),
    Ordered("membership", "heartbeat_seconds", "suspect_seconds"),
    Ordered("membership", "suspect_seconds", "remove_seconds"),
    Ordered("leases", "renew_seconds", "lease_seconds"),
)
