"""What one change of a backend server costs a control VM, by its followers.

Run it by ``python -m kumquatmux_lab.benches.changes``.
"""

from __future__ import annotations

import json
import time
from typing import NamedTuple

import typer

from kumquatmux_core import decisions
from kumquatmux_core.codec import registry
from kumquatmux_core.identity import Endpoint, ServiceName, VmId, ZoneName
from kumquatmux_daemons.transport.parts import Cutter
from kumquatmux_registry.feed import MESSAGE_TYPES, FeedAnswer, FeedPoll
from kumquatmux_registry.leases import Leases
from kumquatmux_registry.publisher import Publisher, PublisherSettings
from kumquatmux_registry.records import Lifetime, Phase, Report
from kumquatmux_registry.settings import RegistrySettings

FOLLOWERS = (2, 40, 195)
SERVERS = 146
CHANGES = 200
CHANGE_GAP_S = 0.05
CONTROL = VmId("10.0.0.1")
ZONE = ZoneName("a")
INCARNATION = 1
MILLISECOND_S = 0.001


class ChangeCosts(NamedTuple):
    """What one run measured.

    Attributes:
        followers: VMs that get each change.
        change_ms: Processor time of a change, encoding included, in milliseconds.
        change_bytes: Bytes sent for a change to all followers together.
    """

    followers: int
    change_ms: float
    change_bytes: int


def report(server: int, number: int) -> Report:
    """Return a report; it drains and is ready by turns, so that each is a change."""
    return Report(
        Lifetime(f"i-{server:08x}", 1_774_143_518_648),
        number,
        ServiceName("entries"),
        Endpoint("10.0.0.9", server + 1),
        ZONE,
        "v1",
        2,
        Phase.DRAINING if number % 2 else Phase.READY,
        0.0,
    )


def measure(followers: int) -> ChangeCosts:
    """Let followers learn all servers, then change one server after the other."""
    decisions.configure(as_json=False, enabled=False)
    leases = Leases(RegistrySettings(page_size=1_000), CONTROL)
    publisher = Publisher(PublisherSettings(CONTROL, ZONE, INCARNATION), leases)
    for server in range(SERVERS):
        leases.report(report(server, 0), 0.0)
    polls = [
        FeedPoll(VmId(f"10.0.1.{n}"), ZONE, False, INCARNATION, 0, 0, True)
        for n in range(followers)
    ]
    for poll in polls * 2:
        publisher.answer(poll, 0.0)
    publisher.push(0.0)
    sent_bytes = 0
    began = time.process_time()
    for change in range(CHANGES):
        now = change * CHANGE_GAP_S
        if not change % 10:
            _poll_again(publisher, now)
        leases.report(report(change % SERVERS, 1 + change // SERVERS), now)
        sent_bytes += _send([answer for _, answer in publisher.push(now)])
    took_s = time.process_time() - began
    change_ms = round(took_s / CHANGES / MILLISECOND_S, 3)
    return ChangeCosts(followers, change_ms, sent_bytes // CHANGES)


def _poll_again(publisher: Publisher, now: float) -> None:
    for follower in list(publisher.followers.values()):
        publisher.answer(follower.poll, now)


def _send(answers: list[FeedAnswer]) -> int:
    """Encode answers as a daemon does, each one once; return the bytes sent."""
    messages, cutter = registry(MESSAGE_TYPES), Cutter(0)
    latest: FeedAnswer | None = None
    size = sent = 0
    for answer in answers:
        if answer is not latest:
            latest = answer
            size = sum(map(len, cutter.cut(messages.encode(answer))))
        sent += size
    return sent


def main() -> None:
    """Print what a change costs at some numbers of followers."""
    for followers in FOLLOWERS:
        typer.echo(json.dumps(measure(followers)._asdict()))


if __name__ == "__main__":
    typer.run(main)
