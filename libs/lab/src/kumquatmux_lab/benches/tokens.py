"""What token routing costs: time a packet and a new flow, memory a flow, feed bytes."""

from __future__ import annotations

import json
import resource
import time
from random import Random
from typing import NamedTuple

import typer

from kumquatmux_core import decisions
from kumquatmux_core.codec import registry
from kumquatmux_core.identity import Address, Endpoint, ServiceName, VmId, ZoneName
from kumquatmux_registry.feed import MESSAGE_TYPES, FeedAnswer
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens.packets import Forward, PacketHeader
from kumquatmux_tokens.router import TokenRouter
from kumquatmux_tokens.routes import Route, RouteSet, WeightedService
from kumquatmux_tokens.settings import TokenRouterSettings

ROUTE = Address(bytes([198, 18, 0, 1, 1, 187]))
SERVICE = ServiceName("entries")
PACKETS = 200_000
NEW_FLOWS = 5_000
CASES = ((400_000, 4), (10_000, 4), (10_000, 100), (10_000, 400))
"""Open flows and servers of the service; the largest first, for its memory."""
KIB = 1024


class TokenCosts(NamedTuple):
    """What one run measured.

    Attributes:
        open_flows: Flows open during the run.
        servers: Servers of the service.
        packets_per_s: Packets of open flows routed a second of processor time.
        new_flows_per_s: Opening packets placed a second.
        flow_bytes: Memory of an open flow.
        answer_bytes: An answer of the feed without news.
        record_bytes: A further record in an answer.
    """

    open_flows: int
    servers: int
    packets_per_s: int
    new_flows_per_s: int
    flow_bytes: int
    answer_bytes: int
    record_bytes: int


def record(number: int) -> ServerRecord:
    """Return one of the servers."""
    report = Report(
        Lifetime(f"i-{number:08x}", 1_774_143_518_648),
        1,
        SERVICE,
        Endpoint("10.0.0.9", number + 1),
        ZoneName("a"),
        "v1",
        8,
        Phase.READY,
        0.0,
    )
    return ServerRecord(report, VmId("10.0.0.1"))


def flow_name(number: int) -> bytes:
    """Return the name of a caller's flow."""
    return number.to_bytes(6) + ROUTE


def measure(open_flows: int, servers: int, seed: int) -> TokenCosts:
    """Open flows, then route packets of them and place new ones."""
    decisions.configure(as_json=False, enabled=False)
    random = Random(seed)
    router = TokenRouter(
        TokenRouterSettings(VmId("e1"), ZoneName("a"), server_queue_limit=1 << 30),
        random,
        0.0,
    )
    route = Route("r", ROUTE, (WeightedService(SERVICE, 1),))
    router.install_routes(RouteSet(1, (route,), frozenset({SERVICE}), 15.0), 0.0)
    for number in range(servers):
        router.store_record(record(number), 0.0)
    tokens = list(router.directory.by_token)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for number in range(open_flows):
        router.route_packet(_data(number, tokens, 101, 9), 1.0)
    grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    numbers = [random.randrange(open_flows) for _ in range(PACKETS)]
    heads = [_data(number, tokens, 101, 0) for number in numbers]
    began = time.process_time()
    for head in heads:
        decision = router.route_packet(head, 1.1)
        assert isinstance(decision, Forward)
    packets_s = time.process_time() - began
    openings = [_opening(open_flows + number) for number in range(NEW_FLOWS)]
    began = time.process_time()
    for head in openings:
        router.route_packet(head, 1.2)
    new_flows_s = time.process_time() - began
    answer, with_record = _answer(()), _answer((record(1),))
    return TokenCosts(
        open_flows,
        servers,
        round(PACKETS / packets_s),
        round(NEW_FLOWS / new_flows_s),
        grown * KIB // open_flows,
        len(answer),
        len(with_record) - len(answer),
    )


def _data(number: int, tokens: list[int], sequence: int, length: int) -> PacketHeader:
    token = tokens[number % len(tokens)]
    flow = flow_name(number)
    return PacketHeader(flow, ROUTE, token, False, False, 0, sequence, 500, length)


def _opening(number: int) -> PacketHeader:
    return PacketHeader(flow_name(number), ROUTE, 0, True, False, 0, 100, 0, 0)


def _answer(records: tuple[ServerRecord, ...]) -> bytes:
    messages = registry(MESSAGE_TYPES)
    me, zone = VmId("10.0.0.1"), ZoneName("cnx-a")
    digest = 1 << 31
    answer = FeedAnswer(
        me, zone, 1 << 40, 900, 900, records, 70, b"", (), (), True, digest
    )
    return messages.encode(answer)


def main(seed: int = 1) -> None:
    """Print what token routing costs at some numbers of flows and servers."""
    for open_flows, servers in CASES:
        typer.echo(json.dumps(measure(open_flows, servers, seed)._asdict()))


if __name__ == "__main__":
    typer.run(main)
