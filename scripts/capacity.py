"""Recompute docs/CAPACITY.md from the recorded slopes."""

from __future__ import annotations

import json
import math
import sys
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
SLOPES = ROOT / "docs" / "measurements" / "slopes.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
TEXT = ROOT / "docs" / "capacity-template.md"

NODES = 14_000
SERVERS = 97_000
ADDRESSES = 24_000
FLOWS = 190_000_000
NEW_FLOWS = 1_500_000
CHANGES_A_DAY = 16_000
RESTARTS_A_DAY = 16_000
LOST_A_DAY = 160
DAY_S = 86_400
ENTRY_DESCRIPTORS = 4_100
CONTESTED_SHARE = 8 / 9_943
PROBES_LIMIT = 1_024
CONNECTIONS_PER_PROBE = 3
NEWS_PER_SWEEP = 32
REPORT_INTERVAL_S = 2.8
PROBE_TIMEOUT_S = 1.5
LIMIT_BYTES = 6_000
LIMIT_CPU_PERCENT = 2.6
LIMIT_MB = 32
LIMIT_FORCE_S = 5
LIMIT_CONTROL_VMS = 54
CONTROL_VMS = 5 + 2 * 20
COPIES = 2
ZONES = 20


class Row(NamedTuple):
    """One line of a table."""

    name: str
    arithmetic: str
    value: str
    state: str


def main() -> int:
    page = render()
    if "--check" in sys.argv:
        return 0 if PAGE.read_text() == page else 1
    PAGE.write_text(page)
    return 0


def render() -> str:
    slopes = {
        name: float(entry["value"])
        for name, entry in json.loads(SLOPES.read_text()).items()
    }
    text = TEXT.read_text()
    tables = {
        "ENTRY_BYTES": entry_bytes(slopes),
        "ENTRY_CPU": entry_cpu(slopes),
        "ENTRY_MEMORY": entry_memory(slopes),
        "CONTROL": control(slopes),
        "PLATFORM": platform(slopes),
        "DAY": day(slopes),
    }
    for name, rows in tables.items():
        text = text.replace("{{" + name + "}}", table(rows))
    return text


def table(rows: list[Row]) -> str:
    lines = ["| what | arithmetic | value | state |", "|---|---|---|---|"]
    lines += [f"| {' | '.join(row)} |" for row in rows]
    return "\n".join(lines)


def echo_partners() -> float:
    """Holders and owners one entry VM exchanges echoes with, at most."""
    return 2 * SERVERS / NODES


def entry_bytes(s: dict[str, float]) -> list[Row]:
    partners = echo_partners()
    services = ADDRESSES / NODES
    per_service = SERVERS / ADDRESSES
    digest = services * (
        s["digest_base_bytes"] + per_service * s["digest_server_bytes"]
    )
    changes = CHANGES_A_DAY / DAY_S
    relay = s["relay_width"] * (
        changes * s["settings_delta_bytes"] + s["settings_current_bytes"] / 5
    )
    parts = [
        s["membership_sampled_bytes"],
        partners * s["heartbeat_peer_bytes"],
        digest,
        relay,
        s["repair_budget_bytes"],
        s["probes_per_second"] * s["probe_bytes"],
    ]
    total = sum(parts)
    quiet = sum(parts[:4])
    return [
        Row(
            "membership, sampled, fanout 8",
            "measured at 600 VMs",
            kb(parts[0]),
            "built; the mesh is the default",
        ),
        Row(
            "echoes with holders and owners",
            f"2 x 97,000 / 14,000 = {partners:.1f} peers x {s['heartbeat_peer_bytes']:.0f} B/s",
            kb(parts[1]),
            "designed: sampled mode has no echoes for leases",
        ),
        Row(
            "placers' digests to backups",
            f"{services:.2f} services x ({s['digest_base_bytes']:.0f} + {per_service:.1f} x {s['digest_server_bytes']:.0f}) B each second",
            kb(digest),
            "built",
        ),
        Row(
            "settings, as a relay (1 node in 16)",
            f"{s['relay_width']:.0f} x ({changes:.3f} x {s['settings_delta_bytes']:.0f} + {s['settings_current_bytes']:.0f} / 5) B/s",
            kb(relay),
            "copies pass on; the tree of relays is designed",
        ),
        Row(
            "second copies of silent flows, while repairing",
            f"the whole budget of {s['repair_budget_bytes']:.0f} B/s",
            kb(parts[4]),
            "built, budget is a setting",
        ),
        Row(
            "probes of idle flows",
            f"the whole budget of {s['probes_per_second']:.0f}/s x {s['probe_bytes']:.0f} B",
            kb(parts[5]),
            "built, budget is a setting",
        ),
        Row(
            "**sum without repair and probes**",
            "",
            kb(quiet),
            verdict(quiet <= LIMIT_BYTES),
        ),
        Row("**sum**, limit 6 KB/s", "", kb(total), verdict(total <= LIMIT_BYTES)),
    ]


def entry_cpu(s: dict[str, float]) -> list[Row]:
    partners = echo_partners()
    changes = CHANGES_A_DAY / DAY_S
    member = s["membership_sampled_cpu_ms"] / 10
    echo = partners * s["heartbeat_peer_cpu_ms"] / 10
    settings = changes * s["settings_apply_us"] / 1e4
    new = NEW_FLOWS / NODES * s["new_flow_us"] / 1e4
    total = s["idle_cpu_percent"] + member + echo + settings
    return [
        Row(
            "idle daemon with six VMs",
            "measured, its mesh and renewals included",
            percent(s["idle_cpu_percent"]),
            "built",
        ),
        Row(
            "membership, sampled",
            f"{s['membership_sampled_cpu_ms']} ms/s",
            percent(member),
            "built",
        ),
        Row(
            "echoes",
            f"{partners:.1f} x {s['heartbeat_peer_cpu_ms']} ms/s",
            percent(echo),
            "designed",
        ),
        Row(
            "deltas",
            f"{changes:.3f}/s x {s['settings_apply_us']:.0f} us",
            f"{settings:.5f}%",
            "built",
        ),
        Row(
            "**control in sum**, limit 2.6%",
            "the idle daemon's mesh is counted twice",
            percent(total),
            verdict(total <= LIMIT_CPU_PERCENT),
        ),
        Row(
            "new flows (data, not control)",
            f"{NEW_FLOWS / NODES:.0f}/s x {s['new_flow_us']:.0f} us",
            percent(new),
            "built",
        ),
    ]


def entry_memory(s: dict[str, float]) -> list[Row]:
    members = NODES * s["known_vm_bytes"] / 1e6
    settings = s["settings_copy_mb"] + s["settings_in_force_mb"]
    flows = FLOWS / NODES
    owned = flows * s["placed_flow_bytes"] / 1e6
    copies = flows * s["flow_bytes"] / 1e6
    total = members + settings
    return [
        Row(
            "settings: copy and services in force",
            f"{s['settings_copy_mb']} + {s['settings_in_force_mb']} MB at 24,000 services",
            mb(settings),
            "built; holding only a region's services is designed",
        ),
        Row(
            "known VMs",
            f"14,000 x {s['known_vm_bytes']:.0f} B",
            mb(members),
            "built; knowing a zone and a sample is designed",
        ),
        Row(
            "**control in sum**, limit 32 MB", "", mb(total), verdict(total <= LIMIT_MB)
        ),
        Row(
            "the same with one region's part",
            "an eighth of both",
            mb(total / 8),
            "designed",
        ),
        Row(
            "owned flows (data)",
            f"{flows:,.0f} x {s['placed_flow_bytes']:.0f} B",
            mb(owned),
            "built",
        ),
        Row(
            "second copies (data)",
            f"{flows:,.0f} x {s['flow_bytes']:.0f} B",
            mb(copies),
            "built",
        ),
        Row("interpreter and libraries", "resident, idle", mb(s["daemon_mb"]), "built"),
    ]


def platform(s: dict[str, float]) -> list[Row]:
    polled = 2 + 3
    feed = polled * 2 * s["feed_poll_bytes"]
    answers = 2 * NODES / CONTROL_VMS * s["feed_answer_bytes"] * polled / 3
    zone_vms = NODES / ZONES
    zone_servers = SERVERS / ZONES
    probes = min(zone_servers, PROBES_LIMIT)
    probe_rounds = math.ceil(zone_servers / PROBES_LIMIT)
    change = s["load_share_bytes"] + s["load_server_bytes"]
    asked = NEW_FLOWS / NODES * (s["place_question_bytes"] + s["place_answer_bytes"])
    changes = 2 * NEW_FLOWS / NODES * change
    placing = asked + changes
    restarts = RESTARTS_A_DAY / DAY_S / ZONES
    news = restarts * zone_vms / 2 * s["feed_record_bytes"]
    new_flows = NEW_FLOWS / NODES * s["token_new_flow_us"] / 1e4
    flows = FLOWS / NODES * s["token_flow_bytes"] / 1e6
    contested = NEW_FLOWS / NODES * CONTESTED_SHARE * 64 * 37
    occupancy = 64 * s["link_occupancy_bytes"]
    pace = (s["pace_report_bytes"] + 4 * s["pace_server_bytes"]) / REPORT_INTERVAL_S
    evacuated = 2 * polled * s["evacuation_bytes"]
    return [
        Row(
            "polls of an entry VM",
            f"{polled} control VMs x 2/s x {s['feed_poll_bytes']:.0f} B",
            kb(feed),
            "built",
        ),
        Row(
            "questions for a server, and answers",
            f"107/s x {s['place_question_bytes'] + s['place_answer_bytes']:.0f} B",
            kb(asked),
            "built; " + verdict(asked < LIMIT_BYTES),
        ),
        Row(
            "changes of counts, one to a placer",
            f"2 x 107/s x {change:.0f} B",
            kb(changes),
            "built; " + verdict(changes < LIMIT_BYTES),
        ),
        Row(
            "placing in sum, limit 6 KB/s",
            "a flow of its own address each, nothing batched",
            kb(placing),
            "built; " + verdict(placing < LIMIT_BYTES),
        ),
        Row(
            "answers sent by a control VM",
            f"its share of 14,000 followers x 2/s x {s['feed_answer_bytes']:.0f} B",
            kb(answers),
            "built",
        ),
        Row(
            "news of servers sent by a control VM",
            f"{restarts:.4f}/s x half of {zone_vms:.0f} followers x 69 B",
            kb(news),
            "built",
        ),
        Row(
            "servers known by an entry VM",
            "those of its zone",
            f"{zone_servers:.0f}",
            "designed: today all are known everywhere",
        ),
        Row(
            "placing new flows",
            f"107/s x {s['token_new_flow_us']:.0f} us",
            f"{new_flows:.2f}%",
            "built; as much with 400 servers of an address as with 4",
        ),
        Row(
            "probes open at once, a zone's servers lost, limit 4,100 descriptors",
            f"one for each of {zone_servers:.0f} suspect servers, at most {PROBES_LIMIT}; "
            f"{CONNECTIONS_PER_PROBE} connections each while unanswered",
            f"{probes:.0f}, {CONNECTIONS_PER_PROBE * probes:.0f} connections",
            "built; " + verdict(CONNECTIONS_PER_PROBE * probes < ENTRY_DESCRIPTORS),
        ),
        Row(
            "wait of the last server's probe then",
            f"{probe_rounds - 1} rounds of probes without an answer x {PROBE_TIMEOUT_S} s",
            f"{(probe_rounds - 1) * PROBE_TIMEOUT_S:.1f} s",
            "built",
        ),
        Row(
            "news of flows with two answers, sent",
            f"107/s x {CONTESTED_SHARE:.1%} x 64 VMs x 37 B",
            kb(contested),
            f"built; **misses** with the 6.3% of a day of loss and freezes: 16 KB/s; "
            f"{NEWS_PER_SWEEP} flows each 0.5 s at most",
        ),
        Row(
            "questions about a flow of a server that is gone, sent",
            "64 VMs x 32 B each, for flows that this VM did not see open",
            "2,048 B",
            "built; 256 a second at most, which **misses**",
        ),
        Row(
            "reports of a link's queue, sent while there is one",
            f"64 VMs x 1/s x {s['link_occupancy_bytes']:.0f} B",
            kb(occupancy),
            "built; " + verdict(occupancy < LIMIT_BYTES),
        ),
        Row(
            "reports of paced servers to a coordinator, while some recover",
            f"a report of 4 servers each {REPORT_INTERVAL_S:.1f} s (700 VMs x 4 ms)",
            kb(pace),
            "built; " + verdict(pace < LIMIT_BYTES),
        ),
        Row(
            "an evacuated zone, in answers to an entry VM",
            f"{polled} control VMs x 2/s x {s['evacuation_bytes']:.0f} B",
            kb(evacuated),
            "built",
        ),
        Row(
            "memory of counted flows",
            f"13,571 x {s['token_flow_bytes']:.0f} B",
            mb(flows),
            "built",
        ),
    ]


def control(s: dict[str, float]) -> list[Row]:
    changes = CHANGES_A_DAY / DAY_S
    levels = math.ceil(math.log(NODES / CONTROL_VMS, s["relay_width"]))
    leader = s["log_idle_bytes"] * 2 + changes * s["log_change_bytes"] * 2
    return [
        Row(
            "control VMs, limit 54",
            "a log of 5, and 2 that relay in each of 20 zones",
            str(CONTROL_VMS),
            verdict(CONTROL_VMS <= LIMIT_CONTROL_VMS),
        ),
        Row(
            "log traffic of the leader of five",
            f"2 x (444 + {changes:.3f} x {s['log_change_bytes']:.0f}) B/s",
            kb(leader),
            "built",
        ),
        Row(
            "checks of changes",
            f"{changes:.3f}/s x {s['settings_change_ms']} ms",
            percent(changes * s["settings_change_ms"] / 10),
            "built",
        ),
        Row(
            "commit, p99",
            "3 replicas, the worst run",
            f"{s['log_commit_p99_ms']} ms",
            "built; regions add their round trip",
        ),
        Row(
            "levels of relays below them", "log16(14,000 / 45)", str(levels), "designed"
        ),
        Row(
            "a change in force everywhere, limit 5 s",
            "model of 14,000 copies, 1% loss",
            f"{s['in_force_s']:.1f} s",
            verdict(s["in_force_s"] <= LIMIT_FORCE_S) + " in the model",
        ),
        Row(
            "restart of a control VM after a day's changes",
            "16,000 changes",
            f"{s['log_restart_s']} s",
            "built",
        ),
        Row("memory", "idle 69 MB and a tree of 9.7 MB", "79 MB", "built"),
    ]


def day(s: dict[str, float]) -> list[Row]:
    flows = FLOWS / NODES
    repair = flows * s["record_bytes"] / s["repair_budget_bytes"]
    lost = 2 * LOST_A_DAY * flows
    tree = s["settings_tree_bytes"] / LIMIT_BYTES / 60
    return [
        Row(
            "160 VMs lost a day",
            f"one in {DAY_S / LOST_A_DAY:.0f} s; each leaves {flows:,.0f} flows with one copy",
            f"{lost / 1e6:.1f} M flows a day repaired",
            "built",
        ),
        Row(
            "until all silent flows have two copies again",
            f"{flows:,.0f} x {s['record_bytes']:.0f} B at {s['repair_budget_bytes']:.0f} B/s, by one VM",
            f"{repair:.0f} s",
            "built; active flows repair with their next packet",
        ),
        Row(
            "16,000 restarts a day",
            f"one in {DAY_S / RESTARTS_A_DAY:.1f} s; each takes the tree",
            f"{tree:.0f} min at 6 KB/s",
            "**misses**: the first fetch has to be counted apart, or be a region's part",
        ),
        Row(
            "a rack of 40 VMs",
            f"{40 * flows:,.0f} flows; both copies lie in one rack unless ranking avoids it",
            "not built",
            "designed: owner and backup in different racks",
        ),
        Row(
            "a zone of 700 VMs",
            f"{700 * flows / 1e6:.1f} M flows; owner or backup is outside it where the server is outside",
            "first copies taken over at once",
            "built at six VMs, not measured at 700",
        ),
        Row(
            "regions apart",
            "no flow and no lease crosses regions; settings wait",
            "staleness shown",
            "built; the log needs a majority of regions",
        ),
    ]


def kb(value: float) -> str:
    return f"{value:,.0f} B/s"


def percent(value: float) -> str:
    return f"{value:.2f}%"


def mb(value: float) -> str:
    return f"{value:.1f} MB"


def verdict(holds: bool) -> str:
    return "meets" if holds else "**misses**"


if __name__ == "__main__":
    sys.exit(main())
