from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.codec import registry
from kumquatmux_core.identity import Endpoint
from kumquatmux_core.lines import LineSettings, LineWriter
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.plain_http.server import HttpCall
from kumquatmux_daemons.registrar.calls import (
    Answer,
    LeaveCall,
    OrderEvacuation,
    Outcome,
    PutDocument,
    ReadDocument,
    ReportCall,
)
from kumquatmux_platform.calls import REPORT_BYTES, PlatformCalls, pack, unpack
from kumquatmux_platform.packets import server_number
from kumquatmux_registry.feed import MESSAGE_TYPES, FeedAnswer
from kumquatmux_registry.records import Lifetime, Phase, ServerRecord
from kumquatmux_registry.saved import decode, encode

CALLS = PlatformCalls(8166)
BEAT = {
    "backend": "entries",
    "address": "10.128.0.9:8080",
    "zone": "cnx-a",
    "version": "v1",
    "concurrency": 3,
    "state": "ready",
    "warmup-left-ms": 1500,
    "seq": 4,
    "born": 1774143518648,
}
MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "198.18.0.1",
            "path-prefix": "/443/",
            "timeout-ms": 1,
            "backend": "entries",
        }
    ],
    "backends": [{"name": "entries"}],
}


def put(path, body):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return HttpCall("PUT", path, data)


def test_a_report_is_read():
    call = CALLS.read_call(put("/v1/instances/i-7f", BEAT)).ok
    assert isinstance(call, ReportCall)
    report = call.report
    assert report.lifetime == Lifetime("i-7f", 1774143518648)
    assert report.endpoint == Endpoint("10.128.0.9", 8080)
    assert (report.number, report.slots, report.zone) == (4, 3, "cnx-a")
    assert (report.phase, report.warm_up_s) == (Phase.READY, 1.5)


def test_a_leaving_server_says_so():
    beat = {**BEAT, "state": "draining"}
    call = CALLS.read_call(put("/v1/instances/i-7f", beat)).ok
    assert call.report.phase == Phase.DRAINING
    call = CALLS.read_call(HttpCall("DELETE", "/v1/instances/i-7f", b"")).ok
    assert call == LeaveCall("i-7f")


@pytest.mark.parametrize("field", sorted(BEAT))
def test_a_report_that_lacks_a_field_names_no_server(field):
    beat = {name: value for name, value in BEAT.items() if name != field}
    assert CALLS.read_call(put("/v1/instances/i-7f", beat)).is_error()


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "warming"),
        ("state", 1),
        ("concurrency", 0),
        ("concurrency", "3"),
        ("seq", -1),
        ("seq", 4.5),
        ("born", "yesterday"),
        ("born", 1.5),
        ("born", None),
        ("address", "host:80"),
        ("address", "10.0.0.300:80"),
        ("address", "10.0.0.3"),
        ("backend", ""),
        ("backend", None),
        ("warmup-left-ms", "0"),
    ],
)
def test_a_report_with_a_wrong_field_names_no_server(field, value):
    beat = {**BEAT, field: value}
    assert CALLS.read_call(put("/v1/instances/i-7f", beat)).is_error()


def test_a_report_of_a_name_without_digits_names_no_server():
    assert CALLS.read_call(put("/v1/instances/nobody-", BEAT)).is_error()


def test_a_manifest_is_kept_as_it_was_sent():
    body = json.dumps(MANIFEST, indent=3).encode()
    call = CALLS.read_call(put("/v1/config", body)).ok
    assert isinstance(call, PutDocument)
    assert call.number == 7
    assert unpack(call.content).ok == body
    answer = CALLS.write_answer(
        HttpCall("GET", "/v1/config", b""), Answer(Outcome.DONE, content=call.content)
    )
    assert (answer.status, answer.body) == (200, body)


# Guards against: zlib.error, or an empty manifest, for a document that is damaged.
def test_a_stored_document_that_cannot_be_unpacked_is_not_shown():
    call = HttpCall("GET", "/v1/config", b"")
    answer = CALLS.write_answer(call, Answer(Outcome.DONE, content=b"damaged"))
    assert (answer.status, answer.retry_after_s) == (503, 1)


def test_the_services_of_a_manifest_are_told():
    assert CALLS.services_of(pack(json.dumps(MANIFEST).encode())) == {"entries"}
    assert CALLS.services_of(pack(b"[" * 100_000)) == frozenset()


def test_an_invalid_manifest_is_refused_with_its_reason():
    read = CALLS.read_call(put("/v1/config", {**MANIFEST, "backends": []}))
    answer = CALLS.write_answer(
        put("/v1/config", b""), Answer(Outcome.REFUSED, problem=read.error)
    )
    assert answer.status == 400
    assert "unknown backend entries" in json.loads(answer.body)["error"]


def test_the_manifest_is_read_with_a_get():
    assert CALLS.read_call(HttpCall("GET", "/v1/config?x=1", b"")).ok == ReadDocument()


@pytest.mark.parametrize(
    ("method", "target"),
    [
        ("POST", "/v1/config"),
        ("GET", "/"),
        ("PUT", "/v2/config"),
        ("GET", "/v1/evacuations/a"),
        ("DELETE", "/v1/evacuations"),
    ],
)
def test_other_calls_are_unknown(method, target):
    call = HttpCall(method, target, b"")
    problem = CALLS.read_call(call).error
    answer = CALLS.write_answer(call, Answer(Outcome.REFUSED, problem=problem))
    assert answer.status == 404


def test_a_caller_is_sent_to_the_leader():
    call = HttpCall("POST", "/v1/evacuations/a%2Fb?x=1", b"")
    answer = CALLS.write_answer(call, Answer(Outcome.ELSEWHERE, leader="10.0.0.4"))
    assert answer.status == 307
    assert answer.location == "http://10.0.0.4:8166/v1/evacuations/a%2Fb?x=1"


def test_what_may_have_happened_is_never_refused():
    problem = Problem("no-leader", "ask again soon")
    answer = CALLS.write_answer(
        put("/v1/config", b""), Answer(Outcome.UNAVAILABLE, problem=problem)
    )
    assert (answer.status, answer.retry_after_s) == (503, 1)


def test_a_server_is_told_where_to_report():
    answer = CALLS.write_answer(
        put("/v1/instances/i-7f", b""),
        Answer(Outcome.DONE, report_to=Endpoint("10.0.0.4", 8166)),
    )
    assert json.loads(answer.body) == {"heartbeat-addr": "10.0.0.4:8166"}


@given(st.binary(max_size=300))
def test_any_report_is_read_or_refused(body):
    CALLS.read_call(put("/v1/instances/i-7f", body))


@given(st.binary(max_size=300))
def test_what_is_packed_comes_back(content):
    assert unpack(pack(content)).ok == content


ODD_VALUES = (
    2**53,
    2**63,
    2**64,
    2**127,
    10**400,
    -(2**63),
    -(2**127),
    1e300,
    1e-300,
    "",
    "\0",
    "a\nb",
    "\x7f",
    "\u202e",
    "x" * 256,
    "x" * 900_000,
    "9" * 5000,
    "10.0.0.1:" + "1" * 5000,
    "1" * 5000 + ".0.0.1:80",
    "010.0.0.1:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:\u0664",
    None,
    True,
    [],
    {},
    [[]],
)
ODD_BYTES = (
    b"1e999",
    b"-1e999",
    b"NaN",
    b"Infinity",
    b"9" * 400,
    b"9" * 5000,
    b'"\xff"',
    b'"\\ud800"',
    b'"\\udc00abcdefgh"',
    b'"\\ud800\\ud800"',
    b"[" * 100_000,
    b"[" * 100_000 + b"]" * 100_000,
    b'{"a":' * 5000 + b"1" + b"}" * 5000,
    b"",
    b"01",
)
HOLDER = "127.0.0.1"


def with_field(body, field, value):
    """Return a body with one field set to bytes that need not be JSON."""
    marked = json.dumps({**body, field: "@"}).encode()
    return marked.replace(b'"@"', value)


def check_a_report_can_be_carried(report):
    """Fail unless a report can be sent, kept, logged and told again."""
    record = ServerRecord(report, HOLDER)
    answer = FeedAnswer(
        HOLDER, "cnx-a", 1, 0, 1, (record,), 1, b"", (HOLDER,), (), True
    )
    channel = registry(MESSAGE_TYPES)
    assert channel.decode(channel.encode(answer)).ok == answer
    assert decode(encode([record])).ok == [record]
    lines = LineWriter(LineSettings(file_descriptor=-1), HOLDER)
    fields = {"server": report.lifetime, "number": report.number, "x": report.service}
    lines.put("server-known", fields)
    assert len(report.endpoint.packed) == 6
    assert float(report.slots) * report.warm_up_s < 1e12
    assert len(channel.encode(answer)) < 4 * REPORT_BYTES


def read_report(path, body):
    """Read a report; return it if it names a server, else check its refusal."""
    call = HttpCall("PUT", path, body)
    read = CALLS.read_call(call)
    if read.is_ok():
        check_a_report_can_be_carried(read.ok.report)
        return read.ok.report
    answer = CALLS.write_answer(call, Answer(Outcome.REFUSED, problem=read.error))
    assert 400 <= answer.status < 500
    assert len(answer.body) < 1000
    assert len(str(read.error)) < 1000
    return None


# Guards against a control VM that ends at a report with a value that it cannot carry.
@pytest.mark.parametrize("field", [*sorted(BEAT), "note"])
def test_a_report_with_any_odd_value_is_refused_or_can_be_carried(field):
    for value in ODD_VALUES:
        read_report("/v1/instances/i-7f", json.dumps({**BEAT, field: value}).encode())
    for value in ODD_BYTES:
        report = read_report("/v1/instances/i-7f", with_field(BEAT, field, value))
        assert report is None or field == "note"


# Guards against numbers that the log lines, the feed or the disk cannot hold.
@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("seq", 2**64),
        ("seq", 2**127),
        ("born", 2**64),
        ("concurrency", 10**18),
        ("warmup-left-ms", 1e300),
        ("backend", "x" * 256),
        ("backend", "\u0e01" * 100),
        ("backend", "a\0b"),
        ("zone", "x" * 900_000),
        ("version", "a\nb"),
        ("address", "10.0.0.1:" + "1" * 5000),
        ("address", "010.0.0.1:80"),
        ("address", "255.255.255.255:80"),
    ],
)
def test_a_report_with_a_value_out_of_bounds_names_no_server(field, value):
    body = json.dumps({**BEAT, field: value}).encode()
    assert read_report("/v1/instances/i-7f", body) is None


# Guards against ids that the datagrams to a server cannot name.
@pytest.mark.parametrize(
    "name",
    ["i-0x1_0", "i-1_0", "i-+7f", "i--", "i-%37f", "i-" + "7" * 17, "x" * 200 + "-7f"],
)
@pytest.mark.parametrize("method", ["PUT", "DELETE"])
def test_an_id_without_hex_digits_of_its_own_names_no_server(name, method):
    call = HttpCall(method, f"/v1/instances/{name}", json.dumps(BEAT).encode())
    assert CALLS.read_call(call).is_error()


# Guards against a report that says two things, of which each reader may take another.
def test_a_report_that_gives_a_field_twice_names_no_server():
    body = json.dumps(BEAT).encode()[:-1]
    assert read_report("/v1/instances/i-7f", body + b',"seq":9}') is None
    assert read_report("/v1/instances/i-7f", body + b',"seq":4}') is not None


# Guards against a long path in the answer and in the log.
def test_the_refusal_of_a_long_path_is_short():
    read_report("/v1/" + "x" * 60_000, b"")
    read_report("/v1/instances/" + "x" * 60_000, b"")


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(2**62, 2**130)
    | st.floats()
    | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


# Guards against values that no one thought of, in the fields of a sound report.
@given(st.sampled_from([*sorted(BEAT), "note"]), json_values | st.binary(max_size=40))
def test_a_report_with_any_value_is_refused_or_can_be_carried(field, value):
    is_raw = isinstance(value, bytes)
    body = (
        with_field(BEAT, field, value)
        if is_raw
        else json.dumps({**BEAT, field: value}).encode()
    )
    read_report("/v1/instances/i-7f", body)


# Guards against paths that no one thought of.
@given(st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=40))
def test_a_report_under_any_id_is_refused_or_can_be_carried(name):
    report = read_report(f"/v1/instances/{name}", json.dumps(BEAT).encode())
    if report is not None:
        assert 0 <= server_number(report.lifetime.name) < 2**64


@pytest.mark.parametrize(
    ("name", "zone"),
    [
        ("cnx-a", "cnx-a"),
        ("cnx%2Da?note=x", "cnx-a"),
        ("a%2Fb%20c%25", "a/b c%"),
        ("a+b", "a+b"),
        ("%C3%A4", "ä"),
        ("x" * 255, "x" * 255),
    ],
)
def test_an_order_to_evacuate_a_zone_is_read(name, zone):
    for method, is_evacuated in (("POST", True), ("DELETE", False)):
        call = HttpCall(method, f"/v1/evacuations/{name}", b"")
        assert CALLS.read_call(call).ok == OrderEvacuation(zone, is_evacuated)


# Guards against names that the log, the feed or the lines cannot hold.
@pytest.mark.parametrize(
    "name",
    ["", "a/b", "ä", "a b", "a#b", "a%", "a%2", "a%zz", "%00", "a%0Ab", "%7F"]
    + ["%E2%80%AE", "%FF", "%ED%A0%80", "x" * 256, "%C3%A4" * 128, "x" * 60_000],
)
@pytest.mark.parametrize("method", ["POST", "DELETE"])
def test_an_order_about_what_is_no_zone_is_refused_at_once(method, name):
    call = HttpCall(method, f"/v1/evacuations/{name}", b"")
    for problem in (CALLS.read_call(call).error, Problem("too-many-zones", "")):
        answer = CALLS.write_answer(call, Answer(Outcome.REFUSED, problem=problem))
        assert answer.status == 400
        assert len(answer.body) < 1000
