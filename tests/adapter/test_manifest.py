from __future__ import annotations

import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_platform.manifest import read_manifest, read_routes

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
