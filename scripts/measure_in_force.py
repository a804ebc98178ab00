"""Measure how long a change takes until every daemon of a loopback site has it.

Starts 3 control and 6 entry daemons on 127.66.0.0/24, sends changes one by one, reads
the time of each ``settings-in-force`` line, and stops everything.
"""

from __future__ import annotations

import datetime
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from kumquatmux_core.identity import Endpoint
from kumquatmux_daemons.commands import changes
from kumquatmux_daemons.commands.client import ClientSettings, open_client
from kumquatmux_lab.site import Site, SiteService, SiteSettings, write_site

CHANGES = 100
START_LIMIT_S = 20.0
SETTLE_S = 2.0
STOP_LIMIT_S = 60.0
LINE = re.compile(r"I(\d{4} \d\d:\d\d:\d\d\.\d+) .*settings-in-force revision=(\d+)")


def main() -> int:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        site = write_site(
            SiteSettings(
                folder,
                ("cnx-a", "cnx-b", "lpg-a"),
                2,
                3,
                (SiteService("entries", Endpoint("127.66.0.50", 80)),),
            )
        )
        daemons = start(site)
        try:
            sent, answered = send_changes(site)
            time.sleep(SETTLE_S)
        finally:
            codes = stop(daemons)
        report(site, sent, answered, codes)
    return 0


def start(site: Site) -> list[subprocess.Popen[bytes]]:
    program = str(Path(sys.executable).parent / "kumquatmux")
    daemons = []
    for index, vm in enumerate(site.controls() + site.entries()):
        command = [program, vm.role, "--config", str(site.file_of(vm))]
        command += ["--found"] * (index == 0)
        log = log_of(site, vm.name).open("wb")
        daemons.append(subprocess.Popen(command, stderr=log))
    return daemons


def send_changes(site: Site) -> tuple[dict[int, float], dict[int, float]]:
    token_file = site.settings.folder / "operator.token"
    token_file.write_text(site.operator_token)
    endpoints = tuple(str(vm.operators) for vm in site.controls())
    client = open_client(ClientSettings(endpoints, token_file, site.certificate)).ok
    until = time.time() + START_LIMIT_S
    while time.time() < until:
        status = client.get("/v1/status")
        if status.is_ok() and status.ok["can_accept"]:
            break
    sent, answered = {}, {}
    for number in range(CHANGES):
        edit = changes.EditBody(path="defaults.placement.hold_ms", value=number)
        change = changes.prepare(client, changes.Wish((edit,), base=number)).ok
        began = time.time()
        answer = changes.send(client, change)
        if answer.is_error():
            raise SystemExit(f"change {number}: {answer.error}")
        outcome = answer.ok
        sent[outcome["revision"]] = began
        answered[outcome["revision"]] = time.time() - began
    return sent, answered


def stop(daemons: list[subprocess.Popen[bytes]]) -> list[int]:
    for daemon in daemons:
        daemon.terminate()
    return [daemon.wait(STOP_LIMIT_S) for daemon in daemons]


def log_of(site: Site, name: str) -> Path:
    return site.settings.folder / f"{name}.log"


def report(
    site: Site, sent: dict[int, float], answered: dict[int, float], codes: list[int]
) -> None:
    delays = []
    missing = 0
    for vm in site.entries():
        seen = in_force_times(log_of(site, vm.name))
        missing += len(sent.keys() - seen.keys())
        delays.append({r: seen[r] - sent[r] for r in sent if r in seen})
    last = sorted(max(d[r] for d in delays if r in d) for r in sent)
    round_trips = sorted(answered.values())
    print(f"{len(sent)} changes, exit codes {codes}, revisions skipped {missing}")
    for name, values in (("answered", round_trips), ("last entry VM", last)):
        middle, high = values[len(values) // 2], values[-1]
        print(f"{name}: median {middle * 1e3:.1f} ms, max {high * 1e3:.1f} ms")


def in_force_times(log: Path) -> dict[int, float]:
    times = {}
    year = datetime.datetime.now().year
    for line in log.read_text().splitlines():
        if found := LINE.match(line):
            stamp = f"{year}{found[1]}"
            at = datetime.datetime.strptime(stamp, "%Y%m%d %H:%M:%S.%f")
            times.setdefault(int(found[2]), at.timestamp())
    return times


if __name__ == "__main__":
    sys.exit(main())
