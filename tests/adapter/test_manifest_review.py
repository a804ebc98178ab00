"""Warnings about a manifest and its differences from the one in force."""

from __future__ import annotations

import copy
import json
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_platform.manifest import read_manifest
from kumquatmux_platform.manifest_review import read_in_force, review_manifest

ROUTE = {
    "name": "r-one",
    "host": "198.18.0.1",
    "path-prefix": "/8443/",
    "route-type": "safe",
    "timeout-ms": 2000,
    "target-latency-ms": 400,
    "priority": 1,
    "backend": "entries",
}
SOUND = {
    "version": 7,
    "routes": [
        ROUTE,
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
    "backends": [
        {"name": "entries", "warmup-s": 2.0, "warmup-per-s": 7},
        {"name": "pagesetter", "max-conns": 2000},
    ],
    "limits": {"idle-timeout-ms": 9000},
}


def changed(change):
    manifest = copy.deepcopy(SOUND)
    change(manifest)
    return json.dumps(manifest).encode()


def update(section, position, **members):
    fields = {key.replace("_", "-"): value for key, value in members.items()}
    return lambda manifest: manifest[section][position].update(fields)


def unchanged(manifest):
    pass


def add_service(manifest):
    manifest["backends"].append({"name": "spare"})


def set_weight_0(manifest):
    manifest["routes"][1]["weighted-backends"][1]["weight"] = 0


def test_a_sound_manifest_has_no_warnings():
    review = review_manifest(changed(unchanged), None)
    assert review.manifest.version == 7
    assert (review.errors, review.warnings, review.differences) == ((), (), ())


WARNINGS = {
    "service without a route": (
        add_service,
        [("service-unreached", "spare", ("name",))],
    ),
    "weight 0": (
        set_weight_0,
        [
            ("weight-zero", "r-two", ("weighted-backends",)),
            ("service-unreached", "pagesetter", ("name",)),
        ],
    ),
    "target above timeout": (
        update("routes", 0, target_latency_ms=2000.5),
        [("target-above-timeout", "r-one", ("target-latency-ms", "timeout-ms"))],
    ),
    "idle timeout below timeout": (
        lambda manifest: manifest["limits"].update({"idle-timeout-ms": 1999}),
        [("idle-below-timeout", "r-one", ("timeout-ms", "limits.idle-timeout-ms"))],
    ),
    "default idle timeout below timeout": (
        lambda manifest: (
            manifest.pop("limits"),
            manifest["routes"][0].update({"timeout-ms": 15_001}),
        ),
        [("idle-below-timeout", "r-one", ("timeout-ms", "limits.idle-timeout-ms"))],
    ),
    "no requests to cold servers": (
        update("backends", 0, warmup_per_s=0),
        [("warmup-without-requests", "entries", ("warmup-s", "warmup-per-s"))],
    ),
    "rate of cold servers not set": (
        update("backends", 0, warmup_per_s=None),
        [("warmup-without-requests", "entries", ("warmup-s", "warmup-per-s"))],
    ),
    "backend beside weights": (
        update("routes", 1, backend="entries"),
        [("backend-unused", "r-two", ("backend", "weighted-backends"))],
    ),
    "target as text": (
        update("routes", 0, target_latency_ms="400"),
        [("value-unused", "r-one", ("target-latency-ms",))],
    ),
    "priority below 0": (
        update("routes", 0, priority=-1),
        [("value-unused", "r-one", ("priority",))],
    ),
    "warm-up as text": (
        update("backends", 0, warmup_s="2"),
        [("value-unused", "entries", ("warmup-s",))],
    ),
}


@pytest.mark.parametrize(("change", "warnings"), WARNINGS.values(), ids=WARNINGS.keys())
def test_each_doubt_is_a_warning_with_its_entry_and_fields(change, warnings):
    """Guards against a manifest that is acknowledged and does not what was meant."""
    review = review_manifest(changed(change), None)
    assert review.errors == ()
    found = [(one.code, one.entry, one.fields) for one in review.warnings]
    assert found == warnings
    assert all(one.sentence for one in review.warnings)


@pytest.mark.parametrize(
    "change",
    [
        update("routes", 0, target_latency_ms=2000),
        update("routes", 0, target_latency_ms=None, priority=None),
        lambda manifest: manifest["limits"].update({"idle-timeout-ms": 2000}),
        update("backends", 0, warmup_s=0, warmup_per_s=0),
    ],
)
def test_values_at_the_limits_and_not_set_are_no_doubt(change):
    assert review_manifest(changed(change), None).warnings == ()


def test_a_manifest_with_errors_has_no_warnings():
    """Guards against warnings that are consequences of a misspelt name."""
    review = review_manifest(changed(update("routes", 0, backend="entires")), None)
    assert [one.sentence for one in review.errors] == ["unknown backend entires"]
    assert (review.manifest, review.warnings, review.differences) == (None, (), ())


def compared(change, in_force=SOUND):
    content = json.dumps(in_force).encode()
    return review_manifest(changed(change), read_in_force(content).ok)


def newer(change):
    def both(manifest):
        manifest["version"] = 8
        change(manifest)

    return both


def limit_idle(manifest):
    manifest["limits"]["idle-timeout-ms"] = 9001


DIFFERENCES = {
    "none": (unchanged, []),
    "number written otherwise": (update("routes", 0, timeout_ms=2000.0), []),
    "order of routes": (lambda manifest: manifest["routes"].reverse(), []),
    "null for not set": (update("backends", 1, warmup_s=None), []),
    "route added": (
        lambda manifest: manifest["routes"].append(
            {**ROUTE, "name": "r-new", "path-prefix": "/81/"}
        ),
        [("added", "routes", "r-new", (), "added")],
    ),
    "route removed": (
        lambda manifest: manifest["routes"].pop(0),
        [("removed", "routes", "r-one", (), "removed")],
    ),
    "route changed": (
        update("routes", 0, timeout_ms=2500, priority=None),
        [
            (
                "changed",
                "routes",
                "r-one",
                ("priority", "timeout-ms"),
                "priority 1 -> not set, timeout-ms 2000 -> 2500",
            )
        ],
    ),
    "service added": (
        add_service,
        [("added", "backends", "spare", (), "added")],
    ),
    "service renamed": (
        lambda manifest: (
            manifest["backends"][1].update({"name": "setter"}),
            manifest["routes"][1]["weighted-backends"].pop(),
        ),
        [
            (
                "changed",
                "routes",
                "r-two",
                ("weighted-backends",),
                'weighted-backends [{"backend": "entries", "weight": 90}, '
                '{"backend": "pagesetter", "weight": 10}] -> '
                '[{"backend": "entries", "weight": 90}]',
            ),
            ("removed", "backends", "pagesetter", (), "removed"),
            ("added", "backends", "setter", (), "added"),
        ],
    ),
    "a field that routing doesn't use": (
        update("backends", 1, max_conns=10),
        [("changed", "backends", "pagesetter", ("max-conns",), "max-conns 2000 -> 10")],
    ),
    "limit": (
        limit_idle,
        [
            (
                "changed",
                "limits",
                "",
                ("idle-timeout-ms",),
                "idle-timeout-ms 9000 -> 9001",
            )
        ],
    ),
}


@pytest.mark.parametrize(
    ("change", "differences"), DIFFERENCES.values(), ids=DIFFERENCES.keys()
)
def test_what_a_manifest_changes_is_told_by_entry_and_field(change, differences):
    """Guards against a change that an operator sends unseen."""
    review = compared(newer(change))
    found = [
        (one.code, one.section, one.entry, one.fields, one.sentence)
        for one in review.differences
    ]
    assert found == differences
    assert "version-not-higher" not in {one.code for one in review.warnings}


@pytest.mark.parametrize("in_force", [7, 8, 2**70])
def test_a_version_that_is_not_higher_is_a_warning(in_force):
    """Guards against a change that is acknowledged and never comes into force."""
    review = compared(unchanged, SOUND | {"version": in_force})
    assert [one.code for one in review.warnings] == ["version-not-higher"]
    assert review.in_force.version == in_force


@pytest.mark.parametrize("answer", [b"{}", b"{}\n"])
def test_everything_is_new_while_no_manifest_is_in_force(answer):
    review = review_manifest(changed(unchanged), read_in_force(answer).ok)
    assert review.in_force.version == 0
    assert review.warnings == ()
    assert {(one.code, one.entry) for one in review.differences} == {
        ("added", "r-one"),
        ("added", "r-two"),
        ("added", "entries"),
        ("added", "pagesetter"),
        ("changed", ""),
    }


def test_a_manifest_of_an_earlier_program_can_be_compared_with():
    """Guards against a check that fails for what is in force and would be refused."""
    earlier = [
        changed(update("routes", 1, backend="nobody")),
        changed(unchanged).replace(b'"safe"', b'"safe", "note": "\xff"'),
        changed(unchanged).replace(
            b'"safe"', b'"safe", "note": ' + b"[" * 100 + b"]" * 100
        ),
    ]
    for content in earlier:
        assert read_manifest(content).is_error()
        assert read_in_force(content).ok.version == 7


BAD = {
    "empty": b"",
    "no JSON": b"version: 7",
    "no object": b"[]",
    "error of a control VM": b'{"error":"too-few-voters"}',
    "packed": zlib.compress(json.dumps(SOUND).encode()),
    "cut short": json.dumps(SOUND).encode()[:-1],
    "nested deep": changed(unchanged).replace(
        b'"safe"', b'"safe", "note": ' + b"[" * 100_000 + b"]" * 100_000
    ),
    "a number without end": changed(unchanged).replace(
        b'"safe"', b'"safe", "note": ' + b"1" * 5000
    ),
}


@pytest.mark.parametrize("content", BAD.values(), ids=BAD.keys())
def test_what_is_no_manifest_in_force_is_a_problem_in_few_words(content):
    problem = read_in_force(content).error
    assert problem.code == "in-force-unread"
    assert len(str(problem)) < 1000


@given(st.binary(max_size=200))
def test_any_bytes_in_place_of_the_manifest_in_force_are_read_or_refused(content):
    read_in_force(content)


@given(st.integers(1, 2000))
def test_depth_of_the_manifest_in_force_ends_no_check(depth):
    """Guards against a field that is nested too deep to be written as text again."""
    note = b"[" * depth + b"]" * depth
    content = changed(unchanged).replace(b'"safe"', b'"safe", "note": ' + note)
    read_in_force(content)
