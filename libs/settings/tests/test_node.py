from __future__ import annotations

from pathlib import Path

import pytest

from kumquatmux_core.identity import Endpoint
from kumquatmux_settings.node import load_node, parse_node

KEY = "k" * 40
ENTRY = f"""
vm = "cnx-a-1"
zone = "cnx-a"
region = "th-north"
role = "entry"
packets = "10.0.0.1:4500"
control = "10.0.0.1:4600"
http = "10.0.0.1:4700"
secret_key_file = "node.secret"
tls_certificate_file = "node.pem"
tls_key_file = "node.key"
fabric = "10.0.0.254:4500"
packet_key_file = "packet.key"

[[peers]]
vm = "cnx-b-1"
zone = "cnx-b"
packets = "10.0.1.1:4500"
control = "10.0.1.1:4600"
public_keys = ["{KEY}"]

[[peers]]
vm = "cnx-a-c"
zone = "cnx-a"
role = "control"
control = "10.0.0.9:4600"
operators = "10.0.0.9:4800"
public_keys = ["{KEY}"]
"""
PATH = Path("conf/node.toml")


def parse(text):
    return parse_node(text, PATH)


def test_a_whole_file_is_read():
    node = parse(ENTRY).ok
    assert node.packets == Endpoint("10.0.0.1", 4500)
    assert node.secret_key_file == Path("conf/node.secret")
    assert [vm.vm for vm in node.entry_vms()] == ["cnx-b-1"]
    assert [peer.vm for peer in node.control_peers()] == ["cnx-a-c"]
    assert node.warnings == ()


FAULTS = [
    ('zone = "cnx-a"\nregion', 'zone = "CNX A"\nregion', "value", "zone", 3),
    ('control = "10.0.0.1:4600"', "control = 7", "value", "control", 7),
    ('"10.0.0.1:4700"', '"10.0.0.1:70000"', "value", "http", 8),
    ('"10.0.0.1:4700"', '"host:4700"', "value", "http", 8),
    ('vm = "cnx-a-1"\n', "\n", "missing", "vm", None),
    ('role = "entry"', 'role = "both"', "value", "role", 5),
    ('tls_key_file = "node.key"', "", "missing", "tls_key_file", None),
    ('vm = "cnx-b-1"', 'vm = "cnx-a-1"', "duplicate", "peers[0].vm", 16),
    ('"10.0.1.1:4600"', '"10.0.0.1:4600"', "duplicate", "peers[0].control", 19),
    (f'["{KEY}"]', '["short"]', "value", "peers[0].public_keys", 20),
    ('operators = "10.0.0.9:4800"', "", "missing", "peers[1].operators", 22),
]


@pytest.mark.parametrize("old, new, code, key, line", FAULTS)
def test_a_fault_is_named_by_key_file_and_line(old, new, code, key, line):
    problems = parse(ENTRY.replace(old, new, 1)).error
    suffix = f":{line}" if line else ""
    assert [(p.code, p.subject) for p in problems] == [
        (code, f"{key} (conf/node.toml{suffix})")
    ]


def test_all_faults_are_told_at_once():
    text = ENTRY.replace('"10.0.0.1:4500"', "1").replace('role = "control"', "role = 1")
    assert len(parse(text).error) == 2


def test_an_unknown_key_is_a_warning_with_a_hint():
    warnings = parse(ENTRY.replace("vm = ", 'zoen = "x"\nvm = ', 1)).ok.warnings
    assert [str(warning) for warning in warnings] == [
        "zoen (conf/node.toml:2): is not an option and is ignored; "
        "did you mean zone? [unknown-key]"
    ]


def test_broken_toml_names_its_line():
    assert "line 2" in parse("vm = 'a'\nzone = \nregion = 'r'").error[0].detail


def test_files_are_looked_for(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(ENTRY)
    assert {p.code for p in load_node(path).error} == {"file-missing"}
    for name in ("node.secret", "node.pem", "node.key", "packet.key"):
        (tmp_path / name).write_text("x")
        (tmp_path / name).chmod(0o600)
    (tmp_path / "node.key").chmod(0o644)
    assert [warning.code for warning in load_node(path).ok.warnings] == ["file-open"]


def test_a_missing_file_is_one_problem(tmp_path):
    assert load_node(tmp_path / "none.toml").error[0].code == "file-unreadable"
