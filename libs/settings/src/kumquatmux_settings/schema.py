"""The options of the shared settings tree, section by section."""

from __future__ import annotations

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
        return next((option for option in self.options if option.name == name), None)


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
        Whole("clear_servers", 1, 0, 100, "", "Servers' worth of slots kept clear."),
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
    "Records of open flows.",
    (
        Whole("tcp_idle_s", 86_400, 60, 604_800, "s", "Idle time of a TCP flow."),
        Whole("udp_idle_s", 120, 1, 86_400, "s", "Idle time of a UDP flow."),
        Whole("quarantine_s", 60, 1, 600, "s", "Rest of a key after its flow closed."),
        Whole("table_limit", 500_000, 1000, 10_000_000, "", "Records on one VM."),
        Whole("probe_interval_s", 5, 1, 3600, "s", "Time between probes."),
    ),
)

MEMBERSHIP = Section(
    "membership",
    "Failure detection among the system's VMs.",
    (
        Whole("heartbeat_ms", 500, 50, 10_000, "ms", "Time between heartbeats."),
        Whole("suspect_ms", 1500, 100, 60_000, "ms", "Silence until suspicion."),
        Whole("remove_ms", 2500, 200, 120_000, "ms", "Silence until removal."),
    ),
)

LEASES = Section(
    "leases",
    "Announcements of backend servers.",
    (
        Whole("lease_ms", 4000, 2000, 60_000, "ms", "Life of a lease not renewed."),
        Whole("echo_fresh_ms", 2500, 200, 2500, "ms", "Age of an echo that confirms."),
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
    Ordered("membership", "heartbeat_ms", "suspect_ms"),
    Ordered("membership", "suspect_ms", "remove_ms"),
)
