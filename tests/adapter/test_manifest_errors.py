"""All errors of a manifest, against the verdict of the control VM."""

from __future__ import annotations

import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_platform.manifest import LONGEST_BYTES, read_manifest
from kumquatmux_platform.manifest_errors import ManifestReader, list_errors

SOUND = {
    "version": 7,
    "routes": [
        {
            "name": "r-one",
            "host": "198.18.0.1",
            "path-prefix": "/8443/",
            "timeout-ms": 2000,
            "backend": "entries",
        },
        {
            "name": "r-two",
            "host": "198.18.0.1",
            "path-prefix": "/80/",
            "timeout-ms": 500.5,
            "weighted-backends": [
                {"backend": "entries", "weight": 90},
                {"backend": "pagesetter", "weight": 10},
            ],
        },
    ],
    "backends": [{"name": "entries"}, {"name": "pagesetter"}],
    "limits": {"idle-timeout-ms": 9000},
}
MISSING = object()


def with_values(*changes):
    """Return the sound manifest with other values at some paths."""
    manifest = copy.deepcopy(SOUND)
    for path, value in changes:
        place = manifest
        for step in path[:-1]:
            place = place[step]
        if value is MISSING:
            place.pop(path[-1], None)
        else:
            place[path[-1]] = value
    return json.dumps(manifest).encode()


def told(content):
    return [(one.section, one.entry, one.fields) for one in list_errors(content)]


def test_a_sound_manifest_has_no_errors():
    assert list_errors(json.dumps(SOUND).encode()) == ()


ONE = ("routes", 0)
TWO = ("routes", 1)
SHARES = (*TWO, "weighted-backends")
FAULTS = {
    "version": (("version",), 0, ("version", "", ("version",))),
    "no version": (("version",), MISSING, ("version", "", ("version",))),
    "version too long": (("version",), 10**38, ("version", "", ("version",))),
    "routes": (("routes",), {}, ("routes", "", ())),
    "no routes": (("routes",), MISSING, ("routes", "", ())),
    "a route": (ONE, 5, ("routes", "[0]", ())),
    "no name": ((*ONE, "name"), MISSING, ("routes", "[0]", ("name",))),
    "name": ((*ONE, "name"), 5, ("routes", "[0]", ("name",))),
    "host": ((*ONE, "host"), 5, ("routes", "r-one", ("host",))),
    "no host": ((*ONE, "host"), MISSING, ("routes", "r-one", ("host",))),
    "address": ((*ONE, "host"), "x", ("routes", "r-one", ("host", "path-prefix"))),
    "same address": (
        (*TWO, "path-prefix"),
        "/8443/",
        ("routes", "r-two", ("host", "path-prefix")),
    ),
    "timeout": ((*ONE, "timeout-ms"), 0, ("routes", "r-one", ("timeout-ms",))),
    "backend": ((*ONE, "backend"), "nobody", ("routes", "r-one", ("backend",))),
    "no backend": ((*ONE, "backend"), MISSING, ("routes", "r-one", ("backend",))),
    "share": (
        (*SHARES, 0, "backend"),
        "nobody",
        ("routes", "r-two", ("weighted-backends",)),
    ),
    "weight": ((*SHARES, 0, "weight"), -1, ("routes", "r-two", ("weighted-backends",))),
    "all weights 0": (
        SHARES,
        [{"backend": "entries", "weight": 0}],
        ("routes", "r-two", ("weighted-backends",)),
    ),
    "same service": (
        ("backends",),
        [{"name": "entries"}, {"name": "pagesetter"}, {"name": "entries"}],
        ("backends", "entries", ("name",)),
    ),
    "a service": (("backends", 1), 5, ("backends", "[1]", ())),
    "limits": (("limits",), None, ("limits", "", ())),
    "idle timeout": (
        ("limits", "idle-timeout-ms"),
        0,
        ("limits", "", ("idle-timeout-ms",)),
    ),
}


@pytest.mark.parametrize(("path", "value", "error"), FAULTS.values(), ids=FAULTS.keys())
def test_each_fault_is_one_error_with_its_entry_and_fields(path, value, error):
    """Guards against an operator who has to search for the fault in a long file."""
    content = with_values((path, value))
    assert told(content) == [error]
    assert list_errors(content)[0].problem.detail == read_manifest(content).error.detail


TOGETHER = (
    "version",
    "no host",
    "timeout",
    "weight",
    "idle timeout",
)


def test_all_faults_are_listed_and_not_only_the_first():
    """Guards against one try for each fault."""
    faults = [FAULTS[name] for name in TOGETHER]
    content = with_values(*((path, value) for path, value, _ in faults))
    assert told(content) == [error for _, _, error in faults]


def test_a_field_that_cannot_be_read_hides_no_fault_elsewhere():
    content = with_values((("version",), "7"), ((*ONE, "backend"), "nobody"))
    assert told(content) == [FAULTS["version"][2], FAULTS["backend"][2]]


def test_a_service_whose_name_cannot_be_read_makes_no_route_an_error():
    """Guards against errors that are consequences of another."""
    content = with_values((("backends", 1, "name"), 5))
    assert told(content) == [("backends", "[1]", ("name",))]


def test_every_unknown_service_of_a_route_is_listed_once():
    shares = [{"backend": name, "weight": 1} for name in ("a", "b", "a")]
    content = with_values((SHARES, shares))
    assert [one.sentence for one in list_errors(content)] == [
        "unknown backend a",
        "unknown backend b",
    ]


UNREADABLE = {
    "empty": b"",
    "no object": b"[]",
    "no JSON": b"version: 7",
    "cut short": json.dumps(SOUND).encode()[:80],
    "UTF-16": json.dumps(SOUND).encode("utf-16"),
    "nested deep": b"[" * 100_000,
    "too long": json.dumps(SOUND).encode() + b" " * LONGEST_BYTES,
    "half a character": b'{"version": 7, "a": "\\ud800", "routes": [], "backends": []}',
    "equal values, one of them wrong": (
        b'{"version": true, "version": 1, "routes": [], "backends": []}'
    ),
}


@pytest.mark.parametrize("content", UNREADABLE.values(), ids=UNREADABLE.keys())
def test_what_cannot_be_read_is_an_error_as_the_control_vm_names_it(content):
    problem = read_manifest(content).error
    assert list_errors(content)[0].problem.detail == problem.detail


odd_values = st.one_of(
    st.just(MISSING),
    st.none(),
    st.booleans(),
    st.integers(-2, 10),
    st.integers(2**62, 2**130),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from(["entries", "pagesetter", "/80/", "/8443/", "198.18.0.1", ""]),
    st.lists(st.integers(), max_size=2),
    st.lists(
        st.fixed_dictionaries(
            {
                "backend": st.sampled_from(["entries", "nobody"]),
                "weight": st.integers(-1, 1),
            }
        ),
        max_size=2,
    ),
)
PATHS = [
    ("version",),
    ("limits",),
    ("backends", 1, "name"),
    ("something-new",),
    *((*route, "name") for route in (ONE, TWO)),
    *((*route, "host") for route in (ONE, TWO)),
    *((*route, "path-prefix") for route in (ONE, TWO)),
    *((*route, "route-type") for route in (ONE, TWO)),
    *((*route, "timeout-ms") for route in (ONE, TWO)),
    *((*route, "target-latency-ms") for route in (ONE, TWO)),
    *((*route, "priority") for route in (ONE, TWO)),
    *((*route, "backend") for route in (ONE, TWO)),
    *((*route, "weighted-backends") for route in (ONE, TWO)),
]
changes_of_documents = st.dictionaries(st.sampled_from(PATHS), odd_values, max_size=4)


@given(changes_of_documents)
def test_there_are_errors_exactly_if_the_control_vm_refuses(changes):
    """Guards against a manifest that is called valid and refused, or the reverse."""
    content = with_values(*changes.items())
    read = read_manifest(content)
    assert (not list_errors(content)) == read.is_ok()


@given(changes_of_documents)
def test_reading_field_by_field_finds_what_the_control_vm_names(changes):
    """Guards against errors that are found only since the control VM names them."""
    content = with_values(*changes.items())
    read = read_manifest(content)
    found = [one.problem.detail for one in ManifestReader().list_errors(content)]
    assert read.error.detail in found if read.is_error() else not found


@given(
    st.integers(0, len(json.dumps(SOUND))), st.integers(0, 8), st.binary(max_size=12)
)
def test_any_bytes_have_errors_exactly_if_the_control_vm_refuses(at, length, data):
    """Guards against bytes that no one thought of, anywhere in a sound manifest."""
    sound = json.dumps(SOUND).encode()
    content = sound[:at] + data + sound[at + length :]
    assert (not list_errors(content)) == read_manifest(content).is_ok()
