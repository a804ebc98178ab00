from __future__ import annotations

import copy
import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_platform.manifest import LONGEST_BYTES, read_manifest, read_routes

GOOD = {
    "version": 7,
    "routes": [
        {
            "name": "r-one",
            "host": "198.18.0.1",
            "path-prefix": "/8443/",
            "route-type": "safe",
            "timeout-ms": 2000,
            "priority": 2,
            "target-latency-ms": 400,
            "backend": "entries",
        },
        {
            "name": "r-two",
            "host": "198.18.0.1",
            "path-prefix": "/80/",
            "route-type": "unsafe",
            "timeout-ms": 500.5,
            "weighted-backends": [
                {"backend": "entries", "weight": 90},
                {"backend": "pagesetter", "weight": 10},
            ],
        },
    ],
    "backends": [{"name": "entries"}, {"name": "pagesetter", "max-conns": 2000}],
    "limits": {"idle-timeout-ms": 9000},
}


def changed(change):
    manifest = copy.deepcopy(GOOD)
    change(manifest)
    return json.dumps(manifest).encode()


def test_a_manifest_gives_its_routes():
    routes = read_routes(changed(lambda manifest: None)).ok
    assert routes.document_number == 7
    assert routes.idle_timeout_s == 9.0
    assert routes.services == {"entries", "pagesetter"}
    one, two = routes.routes
    assert one.address == bytes([198, 18, 0, 1]) + (8443).to_bytes(2)
    assert [(share.service, share.weight) for share in one.weighted_services] == [
        ("entries", 1)
    ]
    assert [share.weight for share in two.weighted_services] == [90, 10]


def test_a_manifest_gives_what_decides_under_load():
    """Guards against load decisions that know no priority, target or warm-up."""

    def change(manifest):
        manifest["routes"][1]["route-type"] = "upload"
        manifest["backends"][0] |= {"warmup-s": 2.0, "warmup-per-s": 7}

    routes = read_routes(changed(change)).ok
    one, two = routes.routes
    assert (one.priority, one.target_latency_s, one.timeout_s) == (2, 0.4, 2.0)
    assert (two.priority, two.target_latency_s) == (0, math.inf)
    assert (one.is_upload, two.is_upload) == (False, True)
    assert routes.warm_ups == (("entries", 2.0, 7),)


@pytest.mark.parametrize("value", ["x", -1, True, [], {}, 1e300])
def test_odd_advice_is_taken_as_not_given(value):
    """Guards against routes that an odd number takes out of force."""

    def change(manifest):
        manifest["routes"][0] |= {"priority": value, "target-latency-ms": value}
        manifest["backends"][0] |= {"warmup-s": value, "warmup-per-s": value}

    routes = read_routes(changed(change)).ok
    assert (routes.routes[0].priority, routes.routes[0].target_latency_s) == (
        0,
        math.inf,
    )
    assert routes.warm_ups == ()
    assert read_manifest(changed(change)).is_ok()


def drop(*path):
    def change(manifest):
        place = manifest
        for step in path[:-1]:
            place = place[step]
        del place[path[-1]]

    return change


def put(value, *path):
    def change(manifest):
        place = manifest
        for step in path[:-1]:
            place = place[step]
        place[path[-1]] = value

    return change


INVALID = {
    "no version": drop("version"),
    "version 0": put(0, "version"),
    "version text": put("7", "version"),
    "version true": put(True, "version"),
    "no routes": drop("routes"),
    "routes no list": put({}, "routes"),
    "no backends": drop("backends"),
    "unknown service": put("nobody", "routes", 0, "backend"),
    "unknown weighted service": put(
        "nobody", "routes", 1, "weighted-backends", 0, "backend"
    ),
    "no service": drop("routes", 0, "backend"),
    "no weight": put([], "routes", 1, "weighted-backends"),
    "all weights 0": put(
        [{"backend": "entries", "weight": 0}], "routes", 1, "weighted-backends"
    ),
    "weight below 0": put(-1, "routes", 1, "weighted-backends", 0, "weight"),
    "same place": put("/8443/", "routes", 1, "path-prefix"),
    "same place written otherwise": put("8443", "routes", 1, "path-prefix"),
    "no time-out": drop("routes", 0, "timeout-ms"),
    "time-out 0": put(0, "routes", 0, "timeout-ms"),
    "time-out below 0": put(-5, "routes", 0, "timeout-ms"),
    "host no address": put("example", "routes", 0, "host"),
    "port no number": put("/http/", "routes", 0, "path-prefix"),
    "port too high": put("/70000/", "routes", 0, "path-prefix"),
    "backends of one name": put("entries", "backends", 1, "name"),
}


@pytest.mark.parametrize("change", INVALID.values(), ids=INVALID.keys())
def test_an_invalid_manifest_is_refused(change):
    assert read_manifest(changed(change)).is_error()


def test_a_manifest_that_was_cut_short_is_refused():
    content = changed(lambda manifest: None)
    for length in range(len(content)):
        assert read_manifest(content[:length]).is_error()


def test_a_refusal_names_the_route_and_what_is_wrong():
    problem = read_manifest(changed(put("nobody", "routes", 0, "backend"))).error
    assert str(problem) == "r-one: unknown backend nobody [manifest-invalid]"


def test_fields_that_are_not_known_are_ignored():
    assert read_manifest(changed(put(1, "routes", 0, "something-new"))).is_ok()


@given(st.binary(max_size=200))
def test_any_bytes_are_refused(content):
    assert read_manifest(content).is_error()


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(["version", "routes", "backends", "name", "limits"]),
                inner,
            )
        ),
        max_leaves=12,
    )
)
def test_any_document_is_read_or_refused(document):
    read_manifest(json.dumps(document).encode())


SOUND = json.dumps(GOOD).encode()
MARK = b'"limits"'


def with_member(member):
    """Return the sound manifest with another member, as bytes that need not be JSON."""
    return SOUND.replace(MARK, member + b", " + MARK)


def with_route_member(member):
    """Return the sound manifest with another member in its first route."""
    return SOUND.replace(b'"route-type": "safe"', member)


UNREADABLE = {
    "nested deep": with_member(b'"note": ' + b"[" * 20_000 + b"]" * 20_000),
    "nested 100 deep": with_member(b'"note": ' + b"[" * 100 + b"]" * 100),
    "objects nested deep": with_member(b'"a": ' + b'{"a":' * 5000 + b"1" + b"}" * 5000),
    "never closed": b"[" * 500_000,
    "no UTF-8 in a field that isn't known": with_member(b'"note": "\xff"'),
    "no UTF-8 in a route": with_route_member(b'"note": "a\xc3("'),
    "no UTF-8 in a key": with_member(b'"\xff": 1'),
    "half a character": with_member(b'"note": "\\ud800"'),
    "half a character before others": with_member(b'"note": "\\ud800abcdefgh"'),
    "a version twice": with_member(b'"version": 8'),
    "a field of a route twice": with_route_member(b'"backend": "pagesetter"'),
    "bytes after it": SOUND + b"{}",
    "a second one after it": SOUND + b"\n" + SOUND,
    "NUL after it": SOUND + b"\0",
    "not a number": with_member(b'"note": NaN'),
    "a name with NUL bytes": with_route_member(b'"note": "\0"'),
    "too long": SOUND + b" " * LONGEST_BYTES,
    "UTF-16": json.dumps(GOOD).encode("utf-16"),
    "byte order mark": b"\xef\xbb\xbf" + SOUND,
}


# Guards against a manifest that is acknowledged though nobody can read it in full.
@pytest.mark.parametrize("content", UNREADABLE.values(), ids=UNREADABLE.keys())
def test_a_manifest_that_cannot_be_read_in_full_is_refused_briefly(content):
    problem = read_manifest(content).error
    assert problem.code == "manifest-unread"
    assert len(str(problem)) < 1000


# Guards against numbers and texts that end the program where they are converted.
@pytest.mark.parametrize(
    "change",
    [
        put("/" + "1" * 5000 + "/", "routes", 0, "path-prefix"),
        put("/" + "0" * 5000 + "/", "routes", 0, "path-prefix"),
        put("/\u0664\u0664/", "routes", 0, "path-prefix"),
        put("/-1/", "routes", 0, "path-prefix"),
        put("1" * 5000 + ".1.1.1", "routes", 0, "host"),
        put("198.18.0.1" * 90_000, "routes", 0, "host"),
        put("nobody" * 100_000, "routes", 0, "backend"),
        put(10**400, "routes", 0, "timeout-ms"),
        put(10**400, "limits", "idle-timeout-ms"),
        put(10**38, "version"),
        put(10**4000, "version"),
    ],
)
def test_a_manifest_with_a_value_out_of_bounds_is_refused_briefly(change):
    assert len(str(read_manifest(changed(change)).error)) < 1000


# Guards against an unknown service beside weights, which no flow would go to.
def test_a_route_with_weights_that_names_an_unknown_service_is_refused():
    content = changed(put("nobody", "routes", 1, "backend"))
    problem = read_manifest(content).error
    assert str(problem) == "r-two: unknown backend nobody [manifest-invalid]"


# Guards against a manifest that was acknowledged earlier and is not in force any more.
def test_what_an_earlier_version_acknowledged_still_gives_its_routes():
    earlier = [
        changed(put("nobody", "routes", 1, "backend")),
        with_member(b'"note": "\xff"'),
        with_member(b'"note": ' + b"[" * 100 + b"]" * 100),
    ]
    assert all(read_routes(content).is_ok() for content in earlier)
    assert read_routes(with_member(b'"a": ' + b"[" * 20_000)).is_error()


# Guards against checks that refuse what the pages call valid.
@pytest.mark.parametrize(
    "content",
    [
        with_member(b'"note": "\\ud83d\\ude00 \xe0\xb8\x81"'),
        with_member(b'"note": 1e999'),
        with_member(b'"note": 123456789012345678901234567890'),
        with_member(b'"version": 7'),
        with_member(b'"note": ' + b"[" * 60 + b"]" * 60),
        b"\r\n\t " + SOUND + b"\n",
    ],
)
def test_a_manifest_with_unusual_and_sound_fields_is_taken(content):
    assert read_manifest(content).is_ok()


odd_values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(2**62, 2**130),
    st.floats(),
    st.text(max_size=20),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)
PLACES = [
    ("version",),
    ("routes", 0, "name"),
    ("routes", 0, "host"),
    ("routes", 0, "path-prefix"),
    ("routes", 0, "timeout-ms"),
    ("routes", 0, "backend"),
    ("routes", 1, "weighted-backends"),
    ("routes", 1, "weighted-backends", 0, "weight"),
    ("backends", 0, "name"),
    ("limits", "idle-timeout-ms"),
    ("limits",),
    ("something-new",),
]


# Guards against values that no one thought of, in the fields of a sound manifest.
@given(st.sampled_from(PLACES), odd_values)
def test_a_manifest_with_any_value_is_refused_or_gives_its_routes(place, value):
    content = changed(put(value, *place))
    read = read_manifest(content)
    assert read.is_error() or read_routes(content).is_ok()


# Guards against bytes that no one thought of, anywhere in a sound manifest.
@given(st.integers(0, len(SOUND)), st.integers(0, 8), st.binary(max_size=12))
def test_a_manifest_with_any_bytes_is_refused_or_gives_its_routes(at, length, data):
    content = SOUND[:at] + data + SOUND[at + length :]
    read = read_manifest(content)
    assert read.is_error() or read_routes(content).is_ok()


# Guards against a valid version that is refused, or is another one in force.
@pytest.mark.parametrize("version", [2**64, 20261204090000123456789, 10**38 - 1])
def test_a_version_of_more_than_64_bits_is_valid(version):
    content = changed(put(version, "version"))
    assert read_manifest(content).ok.version == version
    assert read_routes(content).ok.document_number == version
