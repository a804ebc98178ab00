from __future__ import annotations

import json
import os
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.identity import Endpoint
from kumquatmux_platform.node_file import (
    decode_node_file,
    entry_settings,
    read_endpoint,
    read_node_file,
    registrar_settings,
    watch_of,
)

NODE = {
    "node-name": "core-a-1",
    "role": "control",
    "ip": "10.1.0.13",
    "zone": "cnx-a",
    "bind-addrs": {"control": "10.1.0.13:8166"},
    "internal-port-range": [7720, 7735],
    "seed-nodes": ["10.3.0.9:8166", "10.1.0.13:8166", "10.2.0.41:8166"],
    "bootstrap": True,
    "data-dir": "/data/control",
    "heartbeat-ms": 770,
    "fault-tolerance": {"machines": 2, "zones": 1},
    "bounds": {"grace-s": 4, "new": True},
    "something-new": {"a": 1},
}
EDGE = {
    **NODE,
    "bind-addrs": {"datagram-addr": "10.1.0.13:8172", "ready": "10.1.0.13:8167"},
    "data-dir": None,
}


def written(tmp_path, node):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(node))
    return path


def test_a_control_vm_gets_its_settings(tmp_path):
    node = read_node_file(written(tmp_path, NODE)).ok
    settings = registrar_settings(node).ok
    assert settings.calls == Endpoint("10.1.0.13", 8166)
    assert settings.peers == Endpoint("10.1.0.13", 7720)
    assert settings.seeds == ("10.3.0.9", "10.1.0.13", "10.2.0.41")
    assert (settings.losses, settings.report_period_s) == (2, 0.77)


@pytest.mark.parametrize(
    ("ip", "bootstrap", "founds"),
    [
        ("10.1.0.13", True, True),
        ("10.1.0.13", False, False),
        ("10.2.0.41", True, True),
        ("10.2.0.41", False, False),
        ("10.3.0.9", True, True),
        ("10.3.0.9", False, False),
        ("10.3.0.10", True, False),
    ],
)
def test_every_seed_founds_the_cluster_at_the_first_start_only(
    tmp_path, ip, bootstrap, founds
):
    node = {**NODE, "ip": ip, "bootstrap": bootstrap}
    settings = registrar_settings(read_node_file(written(tmp_path, node)).ok).ok
    assert settings.founds == founds


def test_an_entry_vm_gets_its_settings(tmp_path):
    settings = entry_settings(read_node_file(written(tmp_path, EDGE)).ok).ok
    assert settings.packets == Endpoint("10.1.0.13", 8172)
    assert settings.readiness == Endpoint("10.1.0.13", 8167)
    assert settings.stop_s < 4


def test_an_entry_vm_knows_what_its_vm_has(tmp_path):
    """Guards against limits that are read in the wrong unit."""
    limits = {"link-mbps": 2.0, "max-fds": 4100, "memory-mb": 139, "cpu-share": 0.5}
    bounds = {"warmup-overage": 1.5, "warmup-slack": 5}
    node = {**EDGE, "limits": limits, "bounds": bounds}
    settings = entry_settings(read_node_file(written(tmp_path, node)).ok).ok
    assert settings.limits == (250_000, 4100, 139_000_000)
    assert settings.warm_up_limits == (1.5, 5)
    settings = entry_settings(read_node_file(written(tmp_path, EDGE)).ok).ok
    assert settings.limits == (0, 0, 0)
    assert settings.warm_up_limits is None


def test_all_that_is_wrong_is_named_at_once(tmp_path):
    node = {**NODE, "bind-addrs": {}, "data-dir": None, "seed-nodes": ["x"]}
    problem = registrar_settings(read_node_file(written(tmp_path, node)).ok).error
    for word in ("bind-addrs.control", "data-dir", "seed-nodes"):
        assert word in problem.detail


@pytest.mark.parametrize("text", ["", "{", "[]", '{"ip": 3}'])
def test_a_file_that_is_none_is_refused(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_text(text)
    assert read_node_file(path).error.code == "settings-invalid"


def test_a_file_that_is_missing_is_refused(tmp_path):
    assert read_node_file(tmp_path / "none").error.code == "settings-unread"


def test_seeds_are_read_anew_and_a_broken_file_names_none(tmp_path):
    path = written(tmp_path, NODE)
    watch = watch_of(path)
    assert watch.read_seeds()[0] == "10.3.0.9"
    path.write_text("{")
    assert watch.read_seeds() == ()


@pytest.mark.parametrize(
    "text", ["", "10.0.0.1", "10.0.0.1:", "10.0.0:1", "a.b.c.d:1", "10.0.0.1:70000"]
)
def test_what_is_no_address_is_none(text):
    assert read_endpoint(text) is None


WRONG_FIELDS = [
    ("ip", "300.1.1.1"),
    ("ip", ""),
    ("ip", "localhost"),
    ("ip", "010.1.0.13"),
    ("ip", "0.0.0.0"),
    ("zone", ""),
    ("zone", "z" * 5000),
    ("internal-port-range", [0, 0]),
    ("internal-port-range", [99999999999999, 1]),
    ("internal-port-range", [7735, 7720]),
    ("internal-port-range", [7720, 65536]),
    ("heartbeat-ms", 0),
    ("heartbeat-ms", -1),
    ("heartbeat-ms", 1e30),
    ("fault-tolerance", {"machines": -5}),
    ("fault-tolerance", {"machines": 10**30}),
    ("bounds", {"grace-s": -1}),
    ("bounds", {"grace-s": 1e300}),
    ("seed-nodes", ["127.0.0.1:" + "1" * 5000]),
    ("seed-nodes", []),
    ("seed-nodes", [f"10.0.{number}.1:80" for number in range(65)]),
    ("seed-nodes", ["10.1.0.13:8166", "core-1:8166"]),
]


# Guards against a program that ends with a traceback, or serves on nonsense.
@pytest.mark.parametrize("base", [NODE, EDGE])
@pytest.mark.parametrize(("field", "value"), WRONG_FIELDS)
def test_a_field_out_of_bounds_is_named(tmp_path, base, field, value):
    node = read_node_file(written(tmp_path, {**base, field: value})).ok
    settings = registrar_settings if base is NODE else entry_settings
    found = settings(node)
    assert found.is_error()
    assert found.error.code == "settings-invalid" and field in found.error.detail
    assert len(str(found.error)) < 500


@pytest.mark.parametrize("folder", ["", "a\0b", "d" * 5000])
def test_a_data_folder_that_is_no_path_is_named(tmp_path, folder):
    node = read_node_file(written(tmp_path, {**NODE, "data-dir": folder})).ok
    assert "data-dir" in registrar_settings(node).error.detail


def test_two_uses_of_one_port_are_named(tmp_path):
    node = read_node_file(written(tmp_path, {**EDGE, "internal-port-range": [8172, 9]}))
    assert "internal-port-range" in entry_settings(node.ok).error.detail


def test_a_seed_that_is_named_twice_counts_once(tmp_path):
    seeds = [*NODE["seed-nodes"], NODE["seed-nodes"][0]]
    node = read_node_file(written(tmp_path, {**NODE, "seed-nodes": seeds})).ok
    assert registrar_settings(node).ok.seeds == ("10.3.0.9", "10.1.0.13", "10.2.0.41")


# Guards against errors of the decoder that no handler expected.
@pytest.mark.parametrize(
    "new",
    [
        b"[" * 200_000,
        b'"\xff"',
        b'"\\ud800"',
        b"1" + b"0" * 5000,
        b"1e400",
        b"NaN",
        b"\0",
    ],
)
@pytest.mark.parametrize("field", [b"something-new", b"ip", b"heartbeat-ms"])
def test_content_that_cannot_be_decoded_is_refused(tmp_path, field, new):
    path = tmp_path / "settings.json"
    whole = json.dumps({**NODE, "heartbeat-ms": 1}).encode()
    path.write_bytes(whole[:-1] + b', "' + field + b'": ' + new + b"}")
    read = read_node_file(path)
    if read.is_error():
        assert read.error.code == "settings-invalid"
        assert len(read.error.detail) <= 200
    else:
        assert field == b"something-new"


def test_a_file_that_is_too_long_is_not_read(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(NODE) + " " * 1_048_576)
    assert read_node_file(path).error.code == "settings-unread"


def test_a_pipe_that_nobody_writes_to_is_not_waited_for(tmp_path):
    path = tmp_path / "settings.json"
    os.mkfifo(path)
    assert read_node_file(path).is_error()


VALUES = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.floats(),
        st.text(max_size=20),
        st.sampled_from(["10.1.0.1:80", "10.1.0.1", "::1", "10.1.0.1:" + "9" * 5000]),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(st.text(max_size=9), inner)
    ),
    max_leaves=8,
)


# Guards against any settings that end a program with a traceback.
@given(st.dictionaries(st.sampled_from(sorted(NODE)), VALUES, max_size=3))
def test_generated_settings_are_taken_or_refused(changes):
    content = json.dumps({**EDGE, **NODE, **changes}).encode()
    node = decode_node_file(Path("settings.json"), content)
    for settings_of in (registrar_settings, entry_settings):
        found = node.bind(settings_of)
        assert found.is_ok() or found.error.code == "settings-invalid"
        assert found.is_ok() or "\n" not in str(found.error)


# Guards against a bad file that takes a running program's seeds away.
def test_bad_seeds_in_a_running_program_hide_no_good_ones(tmp_path):
    path = written(tmp_path, {**NODE, "seed-nodes": ["x", "10.2.0.41:8166"]})
    assert watch_of(path).read_seeds() == ("10.2.0.41",)
    path.write_text("[" * 200_000)
    assert watch_of(path).read_seeds() == ()
