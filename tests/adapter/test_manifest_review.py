"""Errors of a manifest, warnings, and differences from the one in force."""

from __future__ import annotations

import copy
import functools
import json
import operator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_platform.manifest import LONGEST_BYTES, read_manifest
from kumquatmux_platform.manifest_errors import ManifestReader, list_errors
from kumquatmux_platform.manifest_review import read_in_force, review_manifest

ADDRESS = {"host": "198.18.0.1", "path-prefix": "/8443/"}
ROUTE = {"name": "r-one", **ADDRESS, "timeout-ms": 2000, "target-latency-ms": 400}
ROUTE |= {"priority": 1, "backend": "entries"}
SHARES = [{"backend": "entries", "weight": 90}, {"backend": "pagesetter", "weight": 10}]
WEIGHTED = {"name": "r-two", **ADDRESS, "path-prefix": "/80/", "timeout-ms": 500.5}
WEIGHTED["weighted-backends"] = SHARES
SERVICES = [{"name": "entries", "warmup-s": 2.0, "warmup-per-s": 7}]
SERVICES += [{"name": "pagesetter", "max-conns": 2000}]
SOUND = {"version": 7, "routes": [ROUTE, WEIGHTED], "backends": SERVICES}
SOUND["limits"] = {"idle-timeout-ms": 9000}
CONTENT = json.dumps(SOUND).encode()
MISSING = object()


def changed(changes):
    """Return the sound manifest with other values at some paths."""
    manifest = copy.deepcopy(SOUND)
    for path, value in changes.items():
        *outer, last = [int(one) if one.isdigit() else one for one in path.split(".")]
        place = functools.reduce(operator.getitem, outer, manifest)
        place[last] = copy.deepcopy(value)
        if value is MISSING:
            del place[last]
    return json.dumps(manifest).encode()


def with_note(note):
    return CONTENT.replace(b'"priority"', b'"note": ' + note + b', "priority"')


def told(findings):
    """Return section, entry and fields of each finding."""
    return [f"{one.section}/{one.entry}/{','.join(one.fields)}" for one in findings]


OF_SHARE = "routes/r-two/weighted-backends"


@pytest.mark.parametrize(
    ("path", "value", "error"),
    [
        ("version", MISSING, "version//version"),
        ("version", 10**38, "version//version"),
        ("routes", {}, "routes//"),
        ("routes", MISSING, "routes//"),
        ("routes.0", 5, "routes/[0]/"),
        ("routes.0.name", 5, "routes/[0]/name"),
        ("routes.0.host", "x", "routes/r-one/host,path-prefix"),
        ("routes.1.path-prefix", "/8443/", "routes/r-two/host,path-prefix"),
        ("routes.0.backend", "nobody", "routes/r-one/backend"),
        ("routes.0.backend", MISSING, "routes/r-one/backend"),
        ("routes.1.weighted-backends.0.backend", "nobody", OF_SHARE),
        ("routes.1.weighted-backends.0.weight", -1, OF_SHARE),
        ("routes.1.weighted-backends", [SHARES[0] | {"weight": 0}], OF_SHARE),
        ("backends", [*SERVICES, SERVICES[0]], "backends/entries/name"),
        ("backends.1.name", 5, "backends/[1]/name"),
        ("limits", None, "limits//"),
    ],
)
def test_each_fault_is_one_error_with_its_entry_and_fields(path, value, error):
    """Guards against a fault that is hard to find, or told with its consequences."""
    content = changed({path: value})
    errors = list_errors(content)
    assert told(errors) == [error]
    assert review_manifest(content, None) == (None, None, errors, (), ())
    assert errors[0].problem.detail == read_manifest(content).error.detail


def test_all_faults_are_listed_and_not_only_the_first():
    """Guards against one try for each fault, and an entry that hides another's."""
    shares = [{"backend": name, "weight": 1} for name in ("a", "b", "a")]
    faults = {"version": "7", "routes.0.host": MISSING, "routes.0.timeout-ms": 0}
    others = {"limits.idle-timeout-ms": 0, "routes.1.weighted-backends": shares}
    errors = list_errors(changed(faults | others))
    assert told(errors) == [
        "version//version",
        "routes/r-one/host",
        "routes/r-one/timeout-ms",
        "limits//idle-timeout-ms",
        OF_SHARE,
        OF_SHARE,
    ]
    assert errors[-2].sentence == "unknown backend a"
    assert errors[-1].sentence == "unknown backend b"


services = st.sampled_from(["entries", "nobody"])
shares = st.fixed_dictionaries({"backend": services, "weight": st.integers(-1, 1)})
words = ["entries", "pagesetter", "/80/", "/8443/", "198.18.0.1", "", MISSING]
odd_values = st.one_of(
    st.none() | st.booleans() | st.sampled_from(words),
    st.integers(-2, 10) | st.integers(2**62, 2**130),
    st.floats(allow_nan=False, allow_infinity=False),
    st.lists(st.integers(), max_size=2) | st.lists(shares, max_size=2),
)
FIELDS = [*ROUTE, "route-type", "weighted-backends"]
PATHS = [f"routes.{position}.{field}" for position in (0, 1) for field in FIELDS]
PATHS += ["version", "limits", "backends.1.name", "something-new"]


@given(st.dictionaries(st.sampled_from(PATHS), odd_values, max_size=4))
def test_errors_found_field_by_field_are_those_of_the_control_vm(changes):
    """Guards against errors that are found only since the control VM names them."""
    content = changed(changes)
    read = read_manifest(content)
    found = [one.problem.detail for one in ManifestReader().list_errors(content)]
    assert read.error.detail in found if read.is_error() else not found
    assert (not list_errors(content)) == read.is_ok()


@given(st.integers(0, len(CONTENT)), st.integers(0, 8), st.binary(max_size=12))
def test_any_bytes_have_errors_exactly_if_the_control_vm_refuses(at, length, data):
    """Guards against bytes that no one thought of, anywhere in a sound manifest."""
    content = CONTENT[:at] + data + CONTENT[at + length :]
    assert (not list_errors(content)) == read_manifest(content).is_ok()
    read_in_force(content)


UNREADABLE = {
    "empty": b"",
    "no object": b"[]",
    "error of a control VM": b'{"error":"too-few-voters"}',
    "cut short": CONTENT[:80],
    "UTF-16": json.dumps(SOUND).encode("utf-16"),
    "nested deep": with_note(b"[" * 100_000 + b"]" * 100_000),
    "a number without end": with_note(b"1" * 5000),
    "half a character": with_note(b'"\\ud800"'),
    "a value before one equal to it": b'{"version": true, ' + CONTENT[1:],
}
ACKNOWLEDGED_EARLIER = {
    "no UTF-8": with_note(b'"\xff"'),
    "nested 100 deep": with_note(b"[" * 100 + b"]" * 100),
    "too long": CONTENT + b" " * LONGEST_BYTES,
}


@pytest.mark.parametrize("name", UNREADABLE | ACKNOWLEDGED_EARLIER)
def test_what_cannot_be_read_is_told_as_the_control_vm_names_it(name):
    """Guards against a check that fails for what is in force and would be refused."""
    content = (UNREADABLE | ACKNOWLEDGED_EARLIER)[name]
    problem = read_manifest(content).error
    assert list_errors(content)[0].problem.detail == problem.detail
    in_force = read_in_force(content)
    if name in ACKNOWLEDGED_EARLIER:
        assert in_force.ok.version == 7
    else:
        assert in_force.error.code == "in-force-unread"
        assert len(str(in_force.error)) < 1000


def test_depth_of_the_manifest_in_force_ends_no_check():
    """Guards against a field that is nested too deep to be written as text again."""
    for depth in range(1, 2000):
        read_in_force(with_note(b"[" * depth + b"]" * depth))


def test_what_is_valid_and_hardly_meant_is_a_warning():
    """Guards against a manifest that is acknowledged and does not what was meant."""
    doubtful = {
        "limits": MISSING,
        "routes.0.timeout-ms": 15_001,
        "routes.0.target-latency-ms": 15_002,
        "routes.0.priority": -1,
        "routes.1.target-latency-ms": "400",
        "routes.1.backend": "entries",
        "routes.1.weighted-backends.1.weight": 0,
        "backends.0.warmup-per-s": 0,
        "backends.1.warmup-s": "2",
    }
    rate_not_set = {"backends": [*SERVICES, {"name": "spare", "warmup-s": 1}]}
    review = review_manifest(changed(rate_not_set | doubtful), None)
    assert all(one.sentence for one in review.warnings)
    codes = [one.code for one in review.warnings]
    found = zip(codes, told(review.warnings), strict=True)
    assert list(map(" ".join, found)) == [
        "target-above-timeout routes/r-one/target-latency-ms,timeout-ms",
        "idle-below-timeout routes/r-one/timeout-ms,limits.idle-timeout-ms",
        "weight-zero routes/r-two/weighted-backends",
        "service-unreached backends/pagesetter/name",
        "service-unreached backends/spare/name",
        "warmup-without-requests backends/entries/warmup-s,warmup-per-s",
        "warmup-without-requests backends/spare/warmup-s,warmup-per-s",
        "value-unused routes/r-one/priority",
        "backend-unused routes/r-two/backend,weighted-backends",
        "value-unused routes/r-two/target-latency-ms",
        "value-unused backends/pagesetter/warmup-s",
    ]


def test_values_at_the_limits_and_not_set_are_no_doubt():
    sound = {"routes.0.target-latency-ms": 2000, "limits.idle-timeout-ms": 2000}
    sound |= {"routes.0.priority": None, "routes.1.timeout-ms": 1e16}
    sound |= {"backends.0.warmup-s": 0, "backends.0.warmup-per-s": 0}
    review = review_manifest(changed(sound), None)
    assert (review.manifest.version, *review[1:]) == (7, None, (), (), ())


def test_what_a_manifest_changes_is_told_by_entry_and_field():
    """Guards against a change that an operator sends unseen."""
    routes = [ROUTE | {"priority": None, "timeout-ms": 2500}, WEIGHTED]
    added = ROUTE | {"name": "r-new", "path-prefix": "/81/"}
    services = [SERVICES[0] | {"max-conns": 10}, {"name": "setter"}]
    changes = {"version": 8, "routes": [*routes, added], "backends": services}
    changes |= {"routes.1.weighted-backends": SHARES[:1], "limits": {}}
    review = review_manifest(changed(changes), read_in_force(CONTENT).ok)
    times = "priority 1 -> not set, timeout-ms 2000 -> 2500"
    shares = f"weighted-backends {json.dumps(SHARES)} -> {json.dumps(SHARES[:1])}"
    idle = "idle-timeout-ms 9000 -> not set"
    assert list(review.differences) == [
        ("changed", "routes", "r-one", ("priority", "timeout-ms"), times),
        ("changed", "routes", "r-two", ("weighted-backends",), shares),
        ("added", "routes", "r-new", (), "added"),
        ("removed", "backends", "pagesetter", (), "removed"),
        ("changed", "backends", "entries", ("max-conns",), "max-conns not set -> 10"),
        ("added", "backends", "setter", (), "added"),
        ("changed", "limits", "", ("idle-timeout-ms",), idle),
    ]
    assert "version-not-higher" not in {one.code for one in review.warnings}


def test_other_ways_to_write_a_manifest_are_no_difference():
    routes = [WEIGHTED, ROUTE | {"timeout-ms": 2000.0, "note": None}]
    review = review_manifest(changed({"routes": routes}), read_in_force(CONTENT).ok)
    assert (review.in_force.version, review.differences) == (7, ())
    assert [one.code for one in review.warnings] == ["version-not-higher"]
