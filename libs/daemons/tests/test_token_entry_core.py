from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from expression import Error, Ok

from kumquatmux_core import decisions
from kumquatmux_core.identity import Address, Endpoint
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.token_entry.core import EntryCore
from kumquatmux_daemons.token_entry.effects import Datagram, Probe, Sent
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_daemons.token_entry.waiting_syns import RETRY_S
from kumquatmux_registry.feed import FeedAnswer
from kumquatmux_registry.lookup import TokenAnswer, TokenQuestion
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.placers import PlaceAnswer
from kumquatmux_tokens.probes import ProbeResult
from kumquatmux_tokens.routes import Route, RouteSet, WeightedService

ROUTE = Address(bytes([198, 18, 0, 1, 1, 187]))
PLACE = Endpoint("10.1.0.9", 1)
SLOTS = 2
QUEUE = 8
WORK_S = 0.028


class Heads:
    """Packets written as ``kind caller token``, so that tests can read them."""

    def read_head(self, packet):
        kind, _, rest = packet.partition(b" ")
        if kind not in (b"open", b"data", b"answered", b"close"):
            return None
        caller, _, token = rest.partition(b" ")
        flow = int(caller).to_bytes(6) + ROUTE
        acknowledged = 900 if kind == b"answered" else 500
        length = 9 if kind == b"data" else 0
        return PacketHeader(
            flow,
            ROUTE,
            int(token or 0),
            kind == b"open",
            kind == b"close",
            0,
            {b"open": 100, b"answered": 110}.get(kind, 101),
            0 if kind == b"open" else acknowledged,
            length,
        )

    def names_server(self, name):
        return name.startswith("i-")

    def to_server(self, packet, server, token):
        return packet.split()[0] + b" %d %d" % (int(packet.split()[1]), token)

    def reset_for(self, packet, sequence):
        return b"reset %d" % sequence

    def caller_ip(self, packet):
        return "100.64.0.1"

    def read_routes(self, content):
        if content == b"damaged":
            return Error(Problem("manifest-unread", "damaged"))
        route = Route("r", ROUTE, (WeightedService("entries", 1),))
        return Ok(RouteSet(int(content), (route,), frozenset({"entries"}), 15.0))


def server(number, phase=Phase.READY):
    place = Endpoint("10.0.0.9", number)
    lifetime = Lifetime(f"i-{number}", 1)
    report = Report(lifetime, 1, "entries", place, "a", "v1", SLOTS, phase, 0.0)
    return ServerRecord(report, "c1")


def answer(*records, document=0, content=b"", is_current=True, entries=("e1",)):
    return FeedAnswer(
        "c1", "a", 1, 0, len(records), records, document, content, ("c1",), entries,
        is_current,
    )  # fmt: skip


@pytest.fixture
def core():
    settings = EntrySettings("e1", "a", PLACE, PLACE, PLACE, PLACE, ("c1",))
    return EntryCore(settings, Heads(), Random(1), 0.0)


def datagrams(effects):
    return [one.data for one in effects if isinstance(one, Datagram)]


def test_it_is_ready_once_a_current_control_vm_gave_it_a_document(core):
    assert not core.is_ready(0.1)
    core.message("c1", answer(is_current=False, document=3, content=b"3"), 0.2)
    assert not core.is_ready(0.3)
    core.message("c1", answer(document=3), 0.4)
    assert core.is_ready(0.5)


def test_a_zone_that_is_cut_off_serves_with_what_it_knows(core):
    core.message("c1", answer(is_current=False, document=3, content=b"3"), 0.2)
    assert not core.is_ready(1.9)
    assert core.is_ready(2.1)


def test_it_stays_ready_without_any_control_vm_until_it_stops(core):
    core.message("c1", answer(document=3, content=b"3"), 0.2)
    assert core.is_ready(0.3)
    assert core.is_ready(900.0)
    core.is_stopping = True
    assert not core.is_ready(900.0)


def test_a_packet_with_an_unknown_token_is_kept_while_others_are_asked(core):
    core.message("c1", answer(document=3, content=b"3", entries=("e1", "e2")), 0.1)
    token = server(1).token
    asked = core.packet(b"data 7 %d" % token, 0.2)
    assert asked == [Sent(vm, TokenQuestion("e1", token)) for vm in ("c1", "e2")]
    effects = core.message("e2", TokenAnswer("e2", server(1)), 0.3)
    assert datagrams(effects) == [b"data 7 %d" % token]


def test_it_answers_what_a_token_stands_for_if_it_knows(core):
    core.message("c1", answer(server(1)), 0.1)
    known = core.message("e2", TokenQuestion("e2", server(1).token), 0.2)
    assert known == [Sent("e2", TokenAnswer("e1", server(1)))]
    assert core.message("e2", TokenQuestion("e2", 5), 0.2) == []


def test_nonsense_is_counted_and_left(core):
    assert core.packet(b"\x00\xff", 0.1) == []
    assert core.counts["packets.unread"] == 1


def test_openings_that_came_before_document_and_servers_are_placed_then(core):
    assert core.packet(b"open 7", 0.1) == []
    effects = core.message("c1", answer(server(1), document=3, content=b"3"), 0.5)
    assert datagrams(effects) == [b"open 7 %d" % server(1).token]
    assert datagrams(core.tick(0.6)) == []


def test_an_opening_whose_caller_gave_up_is_not_placed(core):
    core.packet(b"open 7", 0.1)
    core.message("c1", answer(server(1), document=3, content=b"3"), 1.6)
    assert datagrams(core.tick(1.65)) == []


class Servers:
    """Servers with slots and a queue, and callers that acknowledge answers."""

    def __init__(self, core):
        self.core = core
        self.work = {}
        self.done = {}
        self.deepest = Counter()

    def take(self, data, now):
        kind, caller, token = data.split()
        if kind != b"open":
            return
        line = self.work.setdefault(int(token), [])
        line.append(int(caller))
        self.deepest[int(token)] = max(self.deepest[int(token)], len(line))
        self.core.packet(b"data %d %d" % (int(caller), int(token)), now)

    def work_on(self, now, seconds):
        for token, line in self.work.items():
            for _ in range(min(len(line), round(SLOTS * seconds / WORK_S))):
                caller = line.pop(0)
                self.done[caller] = now
                self.core.packet(b"answered %d %d" % (caller, token), now)
                self.core.packet(b"close %d %d" % (caller, token), now)


def test_the_flood_after_a_loss_of_all_vms_overflows_no_server(core):
    """After a power loss the callers of two seconds come at once.

    They wait for a document, then for slots: no server gets more than its queue
    takes, which would shed them, and all are done before they give up.
    """
    callers = 130
    for caller in range(callers):
        core.packet(b"open %d" % caller, 0.6 + caller / 1000)
    records = [server(number) for number in range(1, 6)]
    effects = core.message("c1", answer(*records, document=3, content=b"3"), 0.8)
    servers = Servers(core)
    for data in datagrams(effects):
        servers.take(data, 0.8)
    now = 0.8
    while now < 2.0:
        now += 0.05
        for data in datagrams(core.tick(now)):
            servers.take(data, now)
        servers.work_on(now, 0.05)
    assert len(servers.done) == callers
    assert max(servers.deepest.values()) <= SLOTS + QUEUE
    assert max(servers.done.values()) < 0.6 + 1.4


def test_a_vm_that_stops_tells_so_at_once_and_is_not_ready(core):
    core.message("c1", answer(server(1), document=3, content=b"3"), 0.1)
    assert core.is_ready(0.2)
    polls = core.stop(0.3)
    assert [(one.vm, one.message.is_stopping) for one in polls] == [("c1", True)]
    assert not core.is_ready(0.4)


def wakes(core, until, packets=()):
    """Run a core on its own due times; return the number of ticks and what was sent."""
    now, ticks, sent = 1.0, 0, []
    packets = list(packets)
    while True:
        due_at = core.due_at(now)
        if packets and packets[0][0] <= due_at:
            now, data = packets.pop(0)
            sent += core.packet(data, now)
            continue
        if due_at >= until:
            return ticks, sent
        now = max(due_at, now)
        ticks += 1
        sent += core.tick(now)


def test_an_entry_vm_without_traffic_wakes_only_to_poll(core):
    members = tuple(f"e{number}" for number in range(1, 41))
    core.message(
        "c1", answer(server(1), document=3, content=b"3", entries=members), 0.9
    )
    ticks, sent = wakes(core, 61.0)
    assert ticks <= 2 * 60 + 1
    assert {one.vm for one in sent} == {"c1"}


def test_an_opening_that_waits_is_tried_again_while_its_caller_waits(core):
    core.message("c1", answer(document=3, content=b"3"), 0.9)
    ticks, _ = wakes(core, 5.0, [(1.2, b"open 7")])
    polls, tries = 2 * 4, 1.4 / RETRY_S
    assert ticks == pytest.approx(polls + tries, abs=3)
    assert not core.router.syn_buffer.by_flow


def test_an_unknown_token_is_asked_of_few_vms_of_a_large_zone(core):
    members = tuple(f"e{number}" for number in range(1, 41))
    core.message("c1", answer(document=3, content=b"3", entries=members), 0.1)
    asked = core.packet(b"data 7 99", 0.2)
    assert "c1" in {one.vm for one in asked}
    assert len({one.vm for one in asked}) == 4


# Guards against: the records of all servers that ever ended, kept by each entry VM.
def test_servers_that_ended_long_ago_are_forgotten(core):
    for number in range(1, 50):
        core.message("c1", answer(server(number)), 0.1)
        ended = server(number, Phase.ENDED)
        newer = ended._replace(report=ended.report._replace(number=2))
        core.message("c1", answer(newer), 0.2)
    core.message("c1", answer(server(50)), 0.2)
    core.tick(200.0)
    assert len(core.table.held) == 50
    core.tick(300.0)
    assert set(core.table.held) == {"i-50"}
    assert len(core.router.directory.by_token) == 1


def polls(effects):
    return [one.message for one in effects if isinstance(one, Sent)]


# Guards against: a document that cannot be read under a high number, which hid all
# later ones, as its number counted as known for good.
def test_an_unreadable_document_leaves_the_routes_and_later_documents_alone(core):
    core.message("c1", answer(server(1), document=3, content=b"3"), 0.1)
    core.message("c1", answer(document=9, content=b"damaged"), 0.2)
    assert core.router.route_table.document_number == 3
    core.message("c1", answer(document=4, content=b"4"), 0.3)
    assert core.router.route_table.document_number == 4
    assert core.counts["documents.unread"] == 1


# Guards against: a large document that is sent again every half second although it
# cannot be read.
def test_an_unreadable_document_is_asked_for_again_after_a_while_only(core):
    core.message("c1", answer(document=3, content=b"3"), 0.1)
    asked = core.message("c1", answer(document=9, content=b"damaged"), 0.2)
    asked += core.message("c1", answer(document=9), 0.6)
    asked += core.tick(1.0)
    assert {poll.document for poll in polls(asked)} == {9}
    later = core.tick(6.0)
    assert {poll.document for poll in polls(later)} == {3}
    core.message("c1", answer(document=9, content=b"9"), 6.1)
    assert core.router.route_table.document_number == 9


@pytest.fixture
def serving(core, monkeypatch):
    """An entry VM that knows two servers, and fails for whatever is odd."""
    core.message("c1", answer(server(1), server(2), document=3, content=b"3"), 0.1)
    real = core.router.route_packet

    def route(head, now):
        if head.flow_key[:6] == (666).to_bytes(6):
            raise OverflowError("int too large to convert to float")
        return real(head, now)

    monkeypatch.setattr(core.router, "route_packet", route)
    return core


# Guards against: an error about one caller's packet that ends the process for all.
def test_an_error_spoils_the_packet_that_it_is_about_only(serving):
    assert serving.packet(b"open 666", 0.5) == []
    assert len(datagrams(serving.packet(b"open 7", 0.5))) == 1
    assert serving.counts["failed.packet"] == 1


# Guards against: a packet that fails again at each attempt, or keeps others waiting.
def test_an_error_about_a_packet_that_waits_does_not_keep_the_others(core, monkeypatch):
    for caller in (7, 666, 8):
        core.packet(b"open %d" % caller, 0.1)
    real = core.router.route_packet

    def route(head, now):
        if head.flow_key[:6] == (666).to_bytes(6):
            raise ValueError("odd")
        return real(head, now)

    monkeypatch.setattr(core.router, "route_packet", route)
    sent = core.message("c1", answer(server(1), document=3, content=b"3"), 0.2)
    assert len(datagrams(sent)) == 2
    for step in range(20):
        core.tick(0.3 + 0.1 * step)
    assert core.router.syn_buffer.by_flow == {}


# Guards against: an error about one record that loses its neighbours.
def test_an_error_about_a_record_does_not_lose_the_other_records(core, monkeypatch):
    real = core.table.merge

    def merge(record, now):
        if record.report.lifetime.name == "i-2":
            raise RuntimeError("odd record " + "x" * 9000)
        return real(record, now)

    monkeypatch.setattr(core.table, "merge", merge)
    told = answer(server(1), server(2), server(3), document=3, content=b"3")
    core.message("c1", told, 0.1)
    assert set(core.table.held) == {"i-1", "i-3"}
    assert core.router.route_table.document_number == 3


# Guards against: an error about one message that ends the process.
def test_an_error_about_a_message_spoils_this_message_only(core, monkeypatch):
    def fail(*_):
        raise KeyError("odd")

    monkeypatch.setattr(core.follower, "take", fail)
    assert core.message("c1", answer(server(1)), 0.1) == []
    monkeypatch.undo()
    core.message("c1", answer(server(1), document=3, content=b"3"), 0.2)
    assert core.router.route_table.document_number == 3
    assert core.counts["failed.message"] == 1


def usurper_of(record):
    report = record.report
    later = report.lifetime._replace(born_ms=99)
    return record._replace(report=report._replace(lifetime=later, service="nosuch"))


# Guards against a reset of flows of a server under whose id another service reported.
def test_a_server_of_a_named_service_is_usurped_by_no_other(core):
    sound = server(1)
    core.message("c1", answer(sound, document=3, content=b"3"), 0.1)
    core.message("c2", answer(usurper_of(sound)), 0.2)
    (forwarded,) = core.packet(b"data 7 %d" % sound.token, 2.0)
    assert forwarded.target == sound.report.endpoint


# Guards against a reset of flows whose server may live, though the control VM that it
# reported to is lost: it reports to another one, or may be cut off with that one, until
# that one is heard and says that its reports stopped.
@pytest.mark.parametrize("reports_on", [True, False])
def test_the_loss_of_a_control_vm_resets_no_flow_of_its_zone(core, reports_on):
    far = server(1)._replace(holder="c2")
    far = far._replace(report=far.report._replace(zone="b"))
    core.message("c1", answer(far, document=3, content=b"3"), 0.1)
    core.message("c2", answer()._replace(sender="c2", zone="b"), 0.1)
    renewed = far._replace(report=far.report._replace(number=2), holder="c1")
    core.packet(b"open 7", 0.1)
    core.packet(b"data 7 %d" % far.token, 0.1)
    resets = []
    for step in range(1, 60):
        now = step / 10
        records = (renewed,) if reports_on and step == 25 else ()
        core.message("c1", answer(*records), now)
        core.tick(now)
        if step in (28, 30, 34, 42, 58):
            sent = core.packet(b"data 7 %d" % far.token, now)
            if any(isinstance(one, Probe) for one in sent):
                sent += core.probed(far.token, ProbeResult.UNANSWERED, now + 0.1)
            resets += [one for one in datagrams(sent) if one.startswith(b"reset")]
    assert resets == []
    late = renewed if reports_on else far._replace(doubts=1)
    core.message("c2", answer(late)._replace(sender="c2", zone="b"), 6.0)
    for now in (6.1, 6.4):
        sent = core.packet(b"data 7 %d" % far.token, now)
        if any(isinstance(one, Probe) for one in sent):
            sent += core.probed(far.token, ProbeResult.UNANSWERED, now + 0.1)
        resets += [one for one in datagrams(sent) if one.startswith(b"reset")]
    assert bool(resets) is not reports_on


# Guards against a server that stays unknown since a usurper came before any document.
def test_records_are_asked_for_again_where_a_usurper_came_first(core):
    sound = server(1)
    core.message("c1", answer(usurper_of(sound)), 0.1)
    core.message("c1", answer(sound), 0.2)
    assert core.table.get("i-1").report.service == "nosuch"
    core.message("c1", answer(document=3, content=b"3"), 0.3)
    assert core.follower.sources["c1"].position == 0
    core.message("c1", answer(sound), 0.4)
    assert core.table.get("i-1") == sound


# Guards against a reset on the word of a control VM that is cut off from the one that
# the server reports to, which this VM hears all the while.
def test_a_server_that_another_vm_calls_late_keeps_its_flows_while_its_holder_is_heard(
    core,
):
    record = server(1)
    core.message("c1", answer(record, document=3, content=b"3"), 0.1)
    core.message("c2", answer(record._replace(doubts=1))._replace(sender="c2"), 6.0)
    resets = []
    for now in (6.1, 6.3, 6.7, 7.5):
        core.message("c1", answer(), now)
        sent = core.packet(b"data 7 %d" % record.token, now)
        if any(isinstance(one, Probe) for one in sent):
            sent += core.probed(record.token, ProbeResult.UNANSWERED, now + 0.01)
        resets += [one for one in datagrams(sent) if one.startswith(b"reset")]
    assert resets == []


# Guards against openings that waited seconds in the queue of a VM that stood still:
# they are placed although their callers gave up, and copies went elsewhere.
def test_openings_read_after_a_pause_are_placed_once_the_queue_was_empty(core):
    core.message("c1", answer(server(1), document=3, content=b"3"), 0.1)
    core.packet(b"open 6", 0.2)
    assert datagrams(core.packet(b"open 7", 5.0)) == []
    assert core.counts["drops.opening-outdated"] == 1
    assert len(datagrams(core.packet(b"data 6 %d" % server(1).token, 5.0))) == 1
    core.router.backlog.note_queue_empty()
    assert len(datagrams(core.packet(b"open 8", 5.1))) == 1
    assert datagrams(core.tick(5.2)) == []


# Guards against a flow that two servers answer: a copy of its opening packet is placed
# here when the placer's answer is overdue, and the answer comes then.
def test_an_opening_that_is_placed_no_longer_waits_for_an_answer(core):
    names = ("e1", "e2", "e3", "e4")
    told = answer(server(1), server(2), document=3, content=b"3", entries=names)
    core.message("c1", told, 0.1)
    coordinators = core.router.coordinators
    coordinators.rankings["entries"] = ["e2", "e1"]
    assert datagrams(core.packet(b"open 7", 0.5)) == []
    (placed,) = datagrams(core.packet(b"open 7", 0.7))
    flow = (7).to_bytes(6) + ROUTE
    for number in (1, 2):
        late = PlaceAnswer("e2", flow, server(number).token, False, 1)
        assert datagrams(core.message("e2", late, 0.701)) == []
    assert core.router.load_tracker.flows[flow].tried_tokens == (
        int(placed.split()[2]),
    )


def pass_time(core, start, end):
    """Let a core tick without a pause, after which it would take packets for old."""
    for step in range(round((end - start) / 0.05)):
        core.tick(start + step * 0.05)
    core.router.backlog.note_queue_empty()


def server_in(zone, number):
    record = server(number)
    return record._replace(report=record.report._replace(zone=zone))


def evacuated(revision, *zones, records=(), **fields):
    told = answer(*records, **fields)
    return told._replace(evacuation_revision=revision, evacuated_zones=zones)


# Guards against a VM that starts and sends flows to a zone that was evacuated before.
def test_a_vm_that_starts_knows_the_evacuated_zones_before_it_is_ready(core):
    servers = (server_in("a", 1), server_in("b", 2))
    assert core.packet(b"open 7", 0.1) == []
    lagging = evacuated(0, document=3, content=b"3", is_current=False)
    core.message("c1", lagging, 0.2)
    assert not core.is_ready(0.3)
    current = evacuated(4, "a", records=servers, document=3)
    sent = core.message("c1", current, 0.4)
    assert core.is_ready(0.5)
    assert datagrams(sent) == [b"open 7 %d" % servers[1].token]


# Guards against evacuations that are undone by a control VM that lags or has lost all,
# and by the loss of all of them.
def test_evacuations_stay_in_force_without_control_vms_and_by_older_news(core):
    servers = (server_in("a", 1), server_in("b", 2))
    told = evacuated(4, "a", records=servers, document=3, content=b"3")
    core.message("c1", told, 0.1)
    for older in (evacuated(3, "b"), evacuated(0)):
        core.message("c1", older, 0.2)
        assert core.router.directory.evacuated_zones == {"a"}
    pass_time(core, 0.2, 60.0)
    assert datagrams(core.packet(b"open 7", 60.0)) == [b"open 7 %d" % servers[1].token]
    core.message("c1", evacuated(5), 60.1)
    assert core.router.directory.evacuated_zones == frozenset()


# Guards against openings that wait on although an order has decided about them.
@pytest.mark.parametrize("zones", ["a", "ab"])
def test_openings_that_wait_are_decided_when_an_evacuation_arrives(core, zones):
    servers = (server_in("a", 1), server_in("b", 2))
    told = evacuated(1, "a", "b", records=servers, document=3, content=b"3")
    core.message("c1", told, 0.1)
    assert datagrams(core.packet(b"open 7", 1.0)) == []
    sent = core.message("c1", evacuated(2, *zones), 1.1)
    expected = [b"open 7 %d" % servers[1].token] if zones == "a" else []
    assert datagrams(sent) == expected


def test_openings_are_reset_with_the_reason_that_all_zones_are_evacuated(core):
    told = evacuated(1, "a", records=(server(1),), document=3, content=b"3")
    core.message("c1", told, 0.1)
    pass_time(core, 0.1, 3.0)
    assert datagrams(core.packet(b"open 7", 3.0)) == [b"reset 0"]
    assert core.counts["resets.zone-evacuated"] == 1
    flow = b"data 8 %d" % server(1).token
    assert datagrams(core.packet(flow, 3.1)) == [flow]


# Guards against lines without end, and a change that leaves none.
def test_each_change_of_evacuations_is_logged_once(core):
    taken = []
    decisions.configure(as_json=True, sink=lambda *line: taken.append(line))
    for revision, zones in ((1, "a"), (1, "a"), (2, "ab"), (3, "")):
        core.message("c1", evacuated(revision, *zones), 0.1)
    decisions.configure(as_json=False)
    lines = [fields for event, fields in taken if event == "evacuation-in-force"]
    told = [(one["revision"], one["former"], one["zones"]) for one in lines]
    assert told == [(1, 0, "a"), (2, 1, "a,b"), (3, 2, "")]


# Guards against servers of the remaining zones that are flooded beyond their queues.
def test_the_load_of_an_evacuated_zone_overflows_no_server(core):
    records = [server_in("abc"[number % 3], number) for number in range(1, 16)]
    told = evacuated(0, records=records, document=3, content=b"3")
    core.message("c1", told, 0.1)
    servers = Servers(core)
    pass_time(core, 0.1, 3.0)
    now, number = 3.0, 0
    while now < 6.0:
        now += 0.05
        if 4.0 <= now < 4.05:
            core.message("c1", evacuated(1, "a"), now)
            servers.deepest.clear()
        arrived = [number + one for one in range(20)] if now < 5.0 else []
        number += len(arrived)
        sent = [one for c in arrived for one in core.packet(b"open %d" % c, now)]
        for data in datagrams([*sent, *core.tick(now)]):
            servers.take(data, now)
        servers.work_on(now, 0.05)
    zones = {one.token: one.report.zone for one in records}
    assert {zones[token] for token in servers.deepest} == {"b", "c"}
    assert max(servers.deepest.values()) <= SLOTS + QUEUE
    assert len(servers.done) == number


class QueuedHeads(Heads):
    """Packets of a route with a target latency."""

    def read_routes(self, content):
        routes = super().read_routes(content).ok
        [route] = routes.routes
        return Ok(routes._replace(routes=(route._replace(target_latency_s=0.5),)))


def queued_core(vm, entries):
    settings = EntrySettings(vm, "a", PLACE, PLACE, PLACE, PLACE, ("c1",))
    core = EntryCore(settings, QueuedHeads(), Random(1), 0.0)
    core.message(
        "c1", answer(server(1), document=3, content=b"3", entries=entries), 0.1
    )
    return core


def test_an_opening_in_the_own_queue_is_granted_at_a_tick():
    """Guards against a queue whose slots nobody grants while no packet comes."""
    core = queued_core("e1", ("e1",))
    token = server(1).token
    for caller in range(SLOTS + QUEUE - 2):
        assert datagrams(core.packet(b"open %d" % caller, 1.0))
        core.packet(b"data %d %d" % (caller, token), 1.01)
    assert core.packet(b"open 99", 1.02) == []
    assert core.counts["openings.queued"] == 1
    assert datagrams(core.tick(core.due_at(1.02))) == []
    core.packet(b"answered 0 %d" % token, 1.05)
    due_at = core.due_at(1.05)
    assert due_at <= 1.05 + RETRY_S
    assert datagrams(core.tick(due_at)) == [b"open 99 %d" % token]
    assert core.router.queues.counts["queue.granted"] == 1


def test_a_second_answer_places_the_opening_of_another_vm():
    """Guards against a grant that the VM with the packet does not act on."""
    entries = ("e1", "e2")
    cores = {vm: queued_core(vm, entries) for vm in entries}
    selector = cores["e1"].router.coordinators
    coordinator = selector.coordinator_for("entries", 0.1)
    [asking] = set(entries) - {coordinator}
    token = server(1).token
    load = cores[coordinator].router.load_tracker.local_load_at(token)
    load.active_requests = SLOTS + QUEUE
    [question] = cores[asking].packet(b"open 7", 1.0)
    [queued] = cores[coordinator].message(asking, question.message, 1.001)
    assert queued.message.queue_position == 1
    assert cores[asking].message(coordinator, queued.message, 1.002) == []
    load.active_requests = 0
    granted = [
        one
        for one in cores[coordinator].tick(1.02)
        if isinstance(one, Sent) and isinstance(one.message, PlaceAnswer)
    ]
    assert [one.vm for one in granted] == [asking]
    effects = cores[asking].message(coordinator, granted[0].message, 1.03)
    assert datagrams(effects) == [b"open 7 %d" % token]


def test_a_refusal_of_the_coordinator_resets_the_caller():
    """Guards against a refusal after which the caller waits on."""
    entries = ("e1", "e2")
    cores = {vm: queued_core(vm, entries) for vm in entries}
    coordinator = cores["e1"].router.coordinators.coordinator_for("entries", 0.1)
    [asking] = set(entries) - {coordinator}
    [question] = cores[asking].packet(b"open 7", 1.0)
    refusal = PlaceAnswer(
        coordinator, question.message.flow_key, 0, True, 0, is_refused=True
    )
    assert datagrams(cores[asking].message(coordinator, refusal, 1.01)) == [b"reset 0"]
    assert cores[asking].counts["resets.service-full"] == 1
    assert not cores[asking].router.syn_buffer.by_flow
