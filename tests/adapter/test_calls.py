from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.identity import Endpoint
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.plain_http.server import HttpCall
from kumquatmux_daemons.registrar.calls import (
    Answer,
    LeaveCall,
    Outcome,
    PutDocument,
    ReadDocument,
    ReportCall,
)
from kumquatmux_platform.calls import PlatformCalls, pack, unpack
from kumquatmux_registry.records import Lifetime, Phase

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
    ("method", "target"), [("POST", "/v1/config"), ("GET", "/"), ("PUT", "/v2/config")]
)
def test_other_calls_are_unknown(method, target):
    call = HttpCall(method, target, b"")
    problem = CALLS.read_call(call).error
    answer = CALLS.write_answer(call, Answer(Outcome.REFUSED, problem=problem))
    assert answer.status == 404


def test_a_caller_is_sent_to_the_leader():
    call = HttpCall("GET", "/v1/config?x=1", b"")
    answer = CALLS.write_answer(call, Answer(Outcome.ELSEWHERE, leader="10.0.0.4"))
    assert answer.status == 307
    assert answer.location == "http://10.0.0.4:8166/v1/config?x=1"


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
