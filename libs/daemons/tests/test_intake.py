from __future__ import annotations

import struct
from enum import IntEnum
from pathlib import Path
from random import Random
from types import NoneType
from typing import get_args, get_origin, get_type_hints

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from kumquatmux_agreement.entries import (
    Configuration,
    Entry,
    EntryKind,
    ReplicaId,
    founding_state,
)
from kumquatmux_agreement.messages import MESSAGE_TYPES as REPLICA_MESSAGES
from kumquatmux_agreement.messages import (
    AppendRequest,
    JoinRequest,
    SnapshotChunk,
    VoteReply,
)
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core import decisions
from kumquatmux_core.codec import PROTOCOL_VERSION, registry
from kumquatmux_core.identity import Endpoint
from kumquatmux_daemons.plain_http.server import HttpCall
from kumquatmux_daemons.registrar.agreed import Agreed
from kumquatmux_daemons.registrar.core import CoreParts, RegistrarCore
from kumquatmux_daemons.registrar.settings import RegistrarSettings
from kumquatmux_daemons.token_entry.core import EntryCore
from kumquatmux_daemons.token_entry.effects import Datagram
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_daemons.transport.datagrams import PeerDatagrams
from kumquatmux_daemons.transport.intake import (
    MAX_EVACUATED_ZONES,
    NUMBER_LIMIT,
    record_problem,
    take_in,
)
from kumquatmux_daemons.transport.parts import PLAIN, Cutter
from kumquatmux_platform import packets
from kumquatmux_platform.calls import PlatformCalls, pack
from kumquatmux_platform.entry import PlatformPackets
from kumquatmux_registry.endings import MESSAGE_TYPES as LEAVE_MESSAGES
from kumquatmux_registry.endings import LeaveNotice
from kumquatmux_registry.feed import ELEMENT_TYPES, FeedAnswer, FeedPoll
from kumquatmux_registry.feed import MESSAGE_TYPES as FEED_MESSAGES
from kumquatmux_registry.lookup import MESSAGE_TYPES as LOOKUP_MESSAGES
from kumquatmux_registry.lookup import TokenAnswer
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_registry.saved import SavedServers
from kumquatmux_storage.memory import MemoryDisk
from kumquatmux_storage.store import Identity, open_or_create
from kumquatmux_tokens.link_occupancy import LinkOccupancy
from kumquatmux_tokens.messages import MESSAGE_TYPES as TOKEN_MESSAGES
from kumquatmux_tokens.placers import PlaceAnswer, PlaceQuestion
from kumquatmux_tokens.questions import FlowAnswer, FlowOpened, FlowQuestion
from kumquatmux_tokens.server_pace import PacedAnswers, PaceReport
from kumquatmux_tokens.work import LoadShare, ServerLoad

PLACE = Endpoint("127.0.0.1", 0)
PEER = "10.0.0.2"
ROUTE_ADDRESS = bytes([198, 18, 0, 1, 1, 187])
CALLER = bytes([100, 64, 0, 7])
ROUTED_FLOW = CALLER + bytes([0, 1]) + ROUTE_ADDRESS
MANIFEST = {
    "version": 2,
    "routes": [
        {
            "name": "r",
            "host": "198.18.0.1",
            "path-prefix": "/443/",
            "timeout-ms": 100,
            "backend": "s",
        }
    ],
    "backends": [{"name": "s"}],
}
DOCUMENT = pack(msgspec.json.encode(MANIFEST))
SOFT = registry(
    FEED_MESSAGES,
    LOOKUP_MESSAGES,
    LEAVE_MESSAGES,
    TOKEN_MESSAGES,
    element_types=ELEMENT_TYPES,
)
"""Messages about soft state, which any VM may get wrong without harm."""

WHOLE = registry(
    REPLICA_MESSAGES, FEED_MESSAGES, LOOKUP_MESSAGES, LEAVE_MESSAGES, TOKEN_MESSAGES
)
NAMES = ("10.0.0.1", PEER, "10.0.0.3", "0..01.0.0.1", "é", "a\0b", "", "i-1f", "c1")
LONG_TEXT = "x" * 100_000
NUMBERS = (0, 1, -1, 65_535, 65_536, 1 << 32, 1 << 53, (1 << 63) - 1, (1 << 64) - 1)
TEXTS = st.sampled_from((*NAMES, LONG_TEXT)) | st.text(max_size=6).filter(str.isascii)
BASIC = {
    int: st.sampled_from(NUMBERS) | st.integers(-(1 << 63), (1 << 64) - 1),
    float: st.floats() | st.integers(0, 9).map(float),
    bool: st.booleans(),
    bytes: st.binary(max_size=16) | st.just(bytes(12)),
    str: TEXTS,
}
TAME = {
    int: st.integers(0, 3),
    float: st.sampled_from((0.0, 1.5)),
    bool: st.booleans(),
    bytes: st.sampled_from((b"", b"x", bytes(12), ROUTED_FLOW, DOCUMENT)),
    str: st.sampled_from(("10.0.0.1", PEER, "10.0.0.3", "i-1", "i-2", "a", "s")),
}
ODD = st.none() | st.integers() | TEXTS | st.lists(st.integers(0, 9), max_size=3)


def values_of(hint, basic=BASIC):
    """Return the values that a field may hold on the wire, as far as its type goes."""
    hint = getattr(hint, "__supertype__", hint)
    if hint in basic:
        return basic[hint]
    if get_origin(hint) is tuple:
        return st.lists(values_of(get_args(hint)[0], basic), max_size=4)
    if NoneType in get_args(hint):
        return st.none() | values_of(get_args(hint)[0], basic)
    if issubclass(hint, IntEnum):
        return st.sampled_from(list(hint)).map(int)
    fields = [values_of(one, basic) for one in get_type_hints(hint).values()]
    return st.tuples(*fields).map(list)


def values_from_peer(message_type):
    """Return field lists that name the sender, half of them with usual values."""
    values = values_of(message_type) | values_of(message_type, TAME)
    return values.map(lambda fields: [PEER, *fields[1:]])


def messages_of(codec, values=values_of):
    """Return encoded messages of a codec's types, with generated fields."""
    return st.one_of(
        *(
            values(message_type).map(lambda fields, kind=kind: encoded(kind, fields))
            for kind, message_type in codec.types.items()
        )
    )


TOKENS = tuple(Lifetime(f"i-{number}", 1).token for number in (1, 2))
ODD_HEADS = st.tuples(
    st.sampled_from((0, 1, *TOKENS)) | st.integers(0, (1 << 32) - 1),
    st.sampled_from((443, 0, 65_535)),
    st.sampled_from((ROUTE_ADDRESS[:4], bytes(4), b"\xff" * 4)),
    st.sampled_from((CALLER, bytes(4), b"\xff" * 4, bytes([10, 0, 0, 1]))),
    st.integers(0, 3) | st.just(65_535),
    st.just(0),
    st.integers(0, (1 << 32) - 1),
    st.integers(0, (1 << 32) - 1),
    st.sampled_from((128, 16, 24, 8, 64, 144, 0, 255)),
    st.just(bytes(5)),
)
USUAL_HEADS = st.tuples(
    st.sampled_from((0, *TOKENS)),
    st.just(443),
    st.just(ROUTE_ADDRESS[:4]),
    st.just(CALLER),
    st.integers(0, 3),
    st.just(0),
    st.integers(0, 3),
    st.integers(0, 3),
    st.sampled_from((128, 128, 16, 16, 24, 64)),
    st.just(bytes(5)),
)


def packet(head, data, error):
    length = max(len(data) + error, 0)
    return struct.pack("!IH4s4sHIIIB5sH", *head, length) + data


ODD_DATA = st.binary(max_size=9) | st.just(bytes(1200)) | st.just(bytes(1201))
PACKETS = st.one_of(
    st.builds(packet, USUAL_HEADS, st.binary(max_size=2), st.just(0)),
    st.builds(packet, USUAL_HEADS, st.binary(max_size=2), st.just(0)),
    st.builds(packet, ODD_HEADS, ODD_DATA, st.sampled_from((0, 0, 1, -1))),
    st.binary(max_size=80),
)


def encoded(kind, fields):
    header = bytes((PROTOCOL_VERSION, kind >> 8, kind & 0xFF))
    return header + msgspec.msgpack.encode(fields)


def odd_values_of(message_type):
    """Return field lists of which any may be of another type, or missing."""
    hints = get_type_hints(message_type).values()
    fields = st.tuples(*(values_of(hint) | encodable(ODD) for hint in hints))
    return st.tuples(fields, st.integers(0, 20)).map(lambda pair: pair[0][: pair[1]])


def encodable(values):
    return values.filter(
        lambda value: not isinstance(value, int) or -(1 << 63) <= value < 1 << 64
    )


def make_record(number=1, **changes):
    report = Report(
        Lifetime(f"i-{number:x}", 1),
        1,
        "entries",
        Endpoint("10.0.0.9", number),
        "a",
        "v1",
        2,
        Phase.READY,
        0.0,
    )
    return ServerRecord(report._replace(**changes), PEER)


def make_answer(*records, **changes):
    answer = FeedAnswer(
        PEER, "a", 1, 0, 9, records, 0, b"", (PEER,), ("10.0.0.1",), True
    )
    return answer._replace(**changes)


def make_entry():
    settings = EntrySettings("10.0.0.1", "a", PLACE, PLACE, PLACE, PLACE, (PEER,))
    return EntryCore(settings, PlatformPackets(), Random(1), 0.0)


def make_control():
    disk = MemoryDisk()
    me = ReplicaId("10.0.0.1", "f")
    store = open_or_create(
        disk, Identity("registrar", *me), founding_state(me, ("10.0.0.1",))
    ).ok
    replica = ReplicaSettings(
        cluster="registrar",
        replica_id=me,
        peers=(PEER,),
        heartbeat_s=0.12,
        election_timeout_s=0.6,
        start_timeout_s=0.15,
        lease_fraction=0.0,
        join_period_s=0.4,
        snapshot_interval_entries=8,
        retained_entries=4,
    )
    settings = RegistrarSettings(
        "10.0.0.1", "a", PLACE, PLACE, PLACE, (PEER,), True, Path(), 0, 1.2
    )
    parts = CoreParts(Agreed(replica, store, Random(1)), SavedServers(disk))
    return RegistrarCore(settings, parts, 7, 0.0)


@pytest.fixture(scope="module")
def peers():
    made = PeerDatagrams(PLACE, SOFT)
    yield made
    made.close()


@pytest.fixture(scope="module")
def contained():
    """Collect the errors that were contained; generated input must cause none."""
    found = []

    def sink(event, fields):
        if event == "input-failed":
            found.append(fields)

    decisions.configure(as_json=False, sink=sink)
    yield found
    decisions.configure(as_json=False)


def deliver(peers, core, messages, step_s=0.3):
    """Give a core the messages as datagrams of a peer and carry out what it answers."""
    now = 1.0
    for message in messages:

        def receive(sender, taken, at):
            for effect in core.message(sender, taken, at):
                if isinstance(effect, Datagram):
                    peers.port.send(effect.data, effect.target)
                elif hasattr(effect, "vm"):
                    peers.send(effect.vm, effect.message)

        for datagram in Cutter(1).cut(message):
            peers.take(datagram, (PEER, 7720), now, receive)
        now += step_s
        core.tick(now)


@given(messages_of(WHOLE))
def test_generated_messages_are_decoded_and_encoded_again_or_refused(data):
    decoded = WHOLE.decode(data)
    assert decoded.is_error() or WHOLE.encode(decoded.ok)


@given(messages_of(WHOLE, odd_values_of))
def test_messages_with_fields_of_other_types_are_refused(data):
    decoded = WHOLE.decode(data)
    assert decoded.is_ok() or len(decoded.error.detail) <= 200


# Guards against: RecursionError, which no handler of the decoder's errors caught.
@given(
    st.sampled_from(sorted(WHOLE.types)),
    st.binary(max_size=300) | st.integers(1, 200_000).map(lambda n: b"\x91" * n),
)
@example(0x0602, b"\x91" * 100_000)
@example(0x0602, b"\xdf" + b"\xff" * 4 + b"\x81" * 5000)
@example(0x0602, b"\xdd\xff\xff\xff\xff" * 1000)
def test_generated_bytes_are_decoded_or_refused_for_every_kind(kind, body):
    header = bytes((PROTOCOL_VERSION, kind >> 8, kind & 0xFF))
    decoded = WHOLE.decode(header + body)
    assert decoded.is_ok() or len(decoded.error.detail) <= 200


# Guards against: exceptions of the entry VM's handlers, each of which ended it.
@settings(max_examples=300)
@given(st.lists(messages_of(SOFT, values_from_peer), max_size=8))
def test_an_entry_vm_bears_generated_messages_in_any_order(peers, contained, messages):
    deliver(peers, make_entry(), messages)
    assert contained == []


@settings(max_examples=200)
@given(st.lists(messages_of(SOFT, values_from_peer), max_size=8))
def test_a_control_vm_bears_generated_messages_in_any_order(peers, contained, messages):
    deliver(peers, make_control(), messages)
    assert contained == []


# Guards against: a head, a length or an address of a packet that ends the entry VM.
@settings(max_examples=300)
@given(st.lists(PACKETS | messages_of(SOFT, values_from_peer), min_size=4, max_size=20))
def test_an_entry_vm_bears_generated_packets_between_messages(peers, contained, inputs):
    entry = make_entry()
    records = (make_record(1, service="s"), make_record(2, service="s"))
    sound = make_answer(*records, document=2, content=DOCUMENT)
    deliver(peers, entry, [encoded(0x0602, list(sound))])
    now = 2.0
    for one in inputs:
        for effect in entry.packet(one, now):
            if isinstance(effect, Datagram):
                peers.port.send(effect.data, effect.target)
                assert len(effect.data) <= 8 + 36 + 1200
            else:
                peers.send(effect.vm, effect.message)
        deliver(peers, entry, [one])
        now += 0.15
        entry.tick(now)
    assert contained == []
    assert entry.router.route_table.routes.keys() == {ROUTE_ADDRESS}


# Guards against: one odd record of the list that hides all others for good, as the
# whole answer was refused and asked for again.
@pytest.mark.parametrize(
    "place, value",
    [
        ("endpoint", ["10.0.0.9", 65_536]),
        ("endpoint", ["10.0.0.9", 0]),
        ("endpoint", ["10.0.0.9", "80"]),
        ("endpoint", ["0..01.0.0.1", 80]),
        ("endpoint", ["010.0.0.1", 80]),
        ("endpoint", ["host", 80]),
        ("endpoint", []),
        ("number", (1 << 64) - 1),
        ("number", -1),
        ("lifetime", ["i-1", (1 << 64) - 1]),
        ("lifetime", ["i-none", 1]),
        ("lifetime", [LONG_TEXT, 1]),
        ("version", LONG_TEXT),
        ("service", None),
        ("phase", 77),
        ("slots", 0),
        ("slots", 1 << 60),
        ("warm_up_s", float("nan")),
        ("warm_up_s", float("inf")),
        ("zone", [[[[[]]]]]),
    ],
)
def test_an_odd_record_does_not_hide_its_neighbours(peers, place, value):
    entry = make_entry()
    odd = make_record(3)._asdict()
    odd["report"] = list(make_record(3).report._replace(**{place: value}))
    fields = list(make_answer(make_record(1), list(odd.values()), make_record(2)))
    deliver(peers, entry, [encoded(0x0602, fields)])
    assert set(entry.table.held) == {"i-1", "i-2"}
    assert entry.follower.sources[PEER].position == 9


@given(values_of(ServerRecord))
def test_a_record_that_is_taken_can_be_used_everywhere(fields):
    try:
        record = msgspec.convert(fields, ServerRecord)
    except msgspec.ValidationError:
        return
    if record_problem(record) or not packets.names_server(record.report.lifetime.name):
        return
    packet = packets.to_server(bytes(36), record, record.token)
    assert len(packet) == 8 + 36
    assert record.report.endpoint.packed
    assert record.report.number < NUMBER_LIMIT
    again = record.with_suspicion_toggled()
    assert msgspec.msgpack.encode(again)


# Guards against: a VM that speaks in another one's name, or fills a list of VMs.
def test_a_message_counts_for_the_vm_that_it_came_from_only():
    poll = FeedPoll("10.0.0.3", "a", False, 0, 0, 0, True)
    assert take_in("10.0.0.3", poll).ok == poll
    assert take_in(PEER, poll).error.code == "message-refused"
    assert take_in(PEER, poll._replace(sender=LONG_TEXT)).error.code
    names = tuple(f"10.9.{number // 250}.{number % 250}" for number in range(9000))
    taken = take_in(PEER, make_answer(control=(*NAMES, *names), entries=NAMES)).ok
    assert len(taken.control) < len(names)
    assert taken.entries == ("10.0.0.1", PEER, "10.0.0.3")


# Guards against: a record that is pushed to other VMs with a number that cannot be
# encoded, and loads or tokens that the sums do not bear.
def test_loads_out_of_bounds_are_left_out_of_a_report():
    loads = (
        ServerLoad(7, 1, 1, False),
        ServerLoad(1 << 32, 1, 1, False),
        ServerLoad(8, -1, 1, False),
        ServerLoad(9, 1, 1 << 60, False),
    )
    taken = take_in(PEER, LoadShare(PEER, 1, True, 0, loads)).ok
    assert taken.server_loads == loads[:1]


def test_a_token_answer_with_an_odd_record_is_refused():
    sound = TokenAnswer(PEER, make_record())
    assert take_in(PEER, sound).ok == sound
    odd = make_record(endpoint=Endpoint("10.0.0.9", 70_000))
    assert take_in(PEER, TokenAnswer(PEER, odd)).error.code == "message-refused"


def test_a_leave_notice_with_an_odd_name_is_refused():
    sound = LeaveNotice(PEER, "i-1")
    assert take_in(PEER, sound).ok == sound
    odd = LeaveNotice(PEER, "x" * 2**20)
    assert take_in(PEER, odd).error.code == "message-refused"


@pytest.mark.parametrize(
    "odd",
    [
        FlowQuestion(PEER, bytes(11), 101),
        FlowQuestion(PEER, bytes(12), 1 << 32),
        FlowAnswer(PEER, bytes(13), 5, (5,)),
        FlowAnswer(PEER, bytes(12), -1, (5,)),
        FlowOpened(PEER, bytes(11), 101, 5),
        FlowOpened(PEER, bytes(12), 101, 1 << 32),
        FlowAnswer(PEER, bytes(12), 5, (5,) * 65),
    ],
)
def test_messages_about_flows_out_of_bounds_are_refused(odd):
    assert take_in(PEER, odd).error.code == "message-refused"


# Guards against: a count that no VM can have made, which would lift a server's limit.
def test_odd_answers_of_a_paced_server_are_left_out_of_a_report():
    odd = [(-1, 1, 1), (5, -1, 0), (5, 0, (1 << 32) + 1), (1 << 32, 1, 0)]
    servers = tuple(PacedAnswers(*one) for one in (*odd, (5, 3, 1)))
    taken = take_in(PEER, PaceReport(PEER, servers)).ok
    assert taken.servers == (PacedAnswers(5, 3, 1),)
    many = PaceReport(PEER, (PacedAnswers(5, 1, 1),) * 100_001)
    assert take_in(PEER, many).error.code == "message-refused"


@pytest.mark.parametrize(
    "odd", [LinkOccupancy(PEER, -1, 0), LinkOccupancy(PEER, 1, 1 << 63)]
)
def test_a_report_of_a_links_queue_out_of_bounds_is_refused(odd):
    sound = LinkOccupancy(PEER, 2, 700)
    assert take_in(PEER, sound).ok == sound
    assert take_in(PEER, odd).error.code == "message-refused"


# Guards against: the role's "unknown message" error for a message of the other role.
@pytest.mark.parametrize("kind", sorted(SOFT.types))
def test_each_role_leaves_the_messages_of_the_other(peers, kind):
    fields = {
        0x0601: [PEER, "a", False, 0, 0, 0, True],
        0x0602: list(make_answer(make_record())),
        0x0603: [PEER, 5],
        0x0604: [PEER, make_record()],
        0x0605: [PEER, 1, True, 0, [[5, 1, 1, False]]],
        0x0606: [PEER, bytes(12), "entries", [], False],
        0x0607: [PEER, bytes(12), 5, False, 1],
        0x0608: [PEER, "i-1"],
        0x0609: [PEER, bytes(12), 101],
        0x060A: [PEER, bytes(12), 5, [5, 6]],
        0x060B: [PEER, bytes(12), 101, 5],
        0x060C: [PEER],
        0x060F: [PEER, [[5, 1, 1]]],
        0x060D: [PEER, 2, 700],
    }[kind]
    for core in (make_entry(), make_control()):
        deliver(peers, core, [encoded(kind, fields)])


@given(st.binary(max_size=80), st.sampled_from((PEER, "0.0.0.0", "255.255.255.255")))
def test_any_datagram_at_the_port_for_messages_is_taken_or_left(peers, data, source):
    core = make_entry()
    peers.take(data, (source, 0), 1.0, core.message)
    lone_part = bytes((PLAIN, 0, 0, 0, 1, 0, 0, 0, 1))
    peers.take(lone_part + data, (source, 0), 1.0, core.message)


# Guards against: a message that cannot be encoded, which ended its sender.
def test_a_message_that_cannot_be_written_is_counted_and_not_sent(peers):
    before = peers.counts["peers.unwritten"]
    odd = make_answer(make_record(slots=1 << 70, number=-(1 << 70)))
    peers.send(PEER, odd._replace(zone=object()))
    peers.send(PEER, make_answer(make_record(version="\ud800")))
    assert peers.counts["peers.unwritten"] == before + 2
    peers.send(PEER, make_answer(make_record()))
    assert peers.counts["peers.unwritten"] == before + 2


# Guards against: an error about one message that ends a control VM; one of the
# replicated log still stops it.
def test_an_error_about_servers_does_not_end_a_control_vm(monkeypatch):
    core = make_control()

    def fail(*_):
        raise KeyError("odd")

    monkeypatch.setattr(core.follower, "take", fail)
    assert core.message(PEER, make_answer(make_record()), 1.0) == []
    monkeypatch.setattr(core.agreed, "give", fail)
    with pytest.raises(KeyError):
        core.message(PEER, JoinRequest("registrar", ReplicaId(PEER, "g")), 1.0)


# Guards against: an error about one record that loses its neighbours at a control VM.
def test_an_error_about_a_record_does_not_lose_the_others_at_a_control_vm(monkeypatch):
    core = make_control()
    real = core.leases.merge

    def merge(record, now):
        if record.report.lifetime.name == "i-2":
            raise RuntimeError("odd")
        return real(record, now)

    monkeypatch.setattr(core.leases, "merge", merge)
    core.message(PEER, make_answer(*map(make_record, (1, 2, 3))), 1.0)
    assert set(core.leases.table.held) == {"i-1", "i-3"}


ME = ReplicaId("10.0.0.1", "f")
OTHER = ReplicaId(PEER, "g")


def entry_at(log_index, term=1, configuration=None):
    kind = EntryKind.CONFIGURATION if configuration else EntryKind.DATA
    return Entry(log_index, term, kind, b"", configuration)


# Guards against: a term next to the limit, which the next election could not store, so
# that the control VM ended and each later start of it as well.
def test_a_term_out_of_bounds_is_refused():
    core = make_control()
    for term in (1 << 63, (1 << 64) - 1, 1 << 80, -1):
        reply = VoteReply("registrar/f", OTHER, ME, term, True, False)
        taken = take_in(PEER, reply)
        assert taken.error.code == "message-refused"
    highest = VoteReply("registrar/f", OTHER, ME, NUMBER_LIMIT - 1, True, False)
    core.message(PEER, take_in(PEER, highest).ok, 1.0)
    for step in range(30):
        core.tick(1.0 + 0.3 * step)
    assert core.agreed.is_leader
    assert core.agreed.replica.core.term < 100


# Guards against: entries with gaps, which the log took for a broken invariant.
@pytest.mark.parametrize(
    "entries",
    [
        (entry_at(7),),
        (entry_at(6), entry_at(8)),
        (entry_at(6), entry_at(6)),
        (entry_at(6, 9),),
        (entry_at(6, 2), entry_at(7, 1)),
        (entry_at(6, 0),),
        (entry_at(6, 1, Configuration((), (OTHER,) * 9000)),),
    ],
)
def test_entries_that_do_not_follow_one_another_are_refused(entries):
    request = AppendRequest("registrar/f", OTHER, ME, 3, 5, 1, entries, 0, 1)
    assert take_in(PEER, request).error.code == "message-refused"
    follows = (entry_at(6), entry_at(7, 3), entry_at(8, 3))
    assert take_in(PEER, request._replace(entries=follows)).is_ok()


@pytest.mark.parametrize(
    "changes",
    [{"offset": 5}, {"total_bytes": 1 << 40}, {"log_term": 9}, {"offset": -1}],
)
def test_a_chunk_beyond_its_snapshot_is_refused(changes):
    chunk = SnapshotChunk(
        "registrar/f", OTHER, ME, 3, 5, 1, Configuration((), ()), 0, 4, b"four", 1
    )
    assert take_in(PEER, chunk).is_ok()
    assert take_in(PEER, chunk._replace(**changes)).is_error()


# Guards against: bounds that differ, so that a control VM acknowledges a server and
# entry VMs leave it out.
@given(
    st.text("abcxyz-.", max_size=100),
    st.text("0123456789abcdefABCDEF", min_size=1, max_size=16),
    st.text("abz-", min_size=1, max_size=255),
    st.sampled_from((1, 1 << 32, (1 << 53) - 1)),
    st.sampled_from((1, 1_000_000)),
    st.sampled_from((0, 0.5, 86_400_000.0)),
)
@example("x" * 100, "f" * 16, "z" * 255, (1 << 53) - 1, 1_000_000, 86_400_000.0)
def test_a_report_that_a_control_vm_takes_is_taken_by_all(
    prefix, digits, text, number, slots, warm_up_ms
):
    beat = {
        "backend": text,
        "address": "10.128.0.9:65535",
        "zone": text,
        "version": text,
        "concurrency": slots,
        "state": "draining",
        "warmup-left-ms": warm_up_ms,
        "seq": number,
        "born": number,
    }
    path = f"/v1/instances/{prefix}-{digits}"
    call = HttpCall("PUT", path, msgspec.json.encode(beat))
    record = ServerRecord(PlatformCalls(8166).read_call(call).ok.report, PEER)
    assert record_problem(record) == ""
    assert packets.names_server(record.report.lifetime.name)
    assert SOFT.decode(SOFT.encode(TokenAnswer(PEER, record))).ok.record == record


# Guards against a list of zones that takes memory without end, or of which a part is
# taken for the whole.
@pytest.mark.parametrize(
    ("revision", "zones", "is_taken"),
    [
        (1, ("b",) * MAX_EVACUATED_ZONES, True),
        (1, ("b",) * (MAX_EVACUATED_ZONES + 1), False),
        (1, (LONG_TEXT,), False),
        (-1, ("b",), False),
        (NUMBER_LIMIT, ("b",), False),
    ],
)
def test_evacuated_zones_are_taken_whole_or_not_at_all(revision, zones, is_taken):
    answer = FeedAnswer(PEER, "a", 1, 0, 0, (), 0, b"", (PEER,), (), True, 0)
    answer = answer._replace(evacuation_revision=revision, evacuated_zones=zones)
    taken = take_in(PEER, answer)
    assert taken.is_ok() == is_taken
    if is_taken:
        assert taken.ok == answer


# Guards against a number of another VM that the queue of a service cannot order by.
@pytest.mark.parametrize(
    "changes",
    [
        {"priority": -1},
        {"priority": NUMBER_LIMIT},
        {"wait_left_ms": -1},
        {"target_latency_ms": NUMBER_LIMIT},
    ],
)
def test_a_placement_request_with_numbers_out_of_bounds_is_refused(changes):
    question = PlaceQuestion(PEER, ROUTED_FLOW, "s", (), False, 1, 7, 1400, 500)
    assert take_in(PEER, question).is_ok()
    assert take_in(PEER, question._replace(**changes)).is_error()
    answer = PlaceAnswer(PEER, ROUTED_FLOW, 0, True, 0, queue_position=-1)
    assert take_in(PEER, answer).is_error()
    assert take_in(PEER, answer._replace(queue_position=3)).is_ok()
