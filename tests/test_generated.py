"""What scripts write is committed: it must be current and must work."""

from __future__ import annotations

import importlib.util
import re
from pathlib import Path

import pytest

from kumquatmux_settings.node import load_node
from kumquatmux_settings.tree import services, zones
from kumquatmux_settings.tree_file import load_tree
from kumquatmux_settings.validate import validate

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = ROOT / "deploy"


def script(name):
    path = ROOT / "scripts" / f"{name}.py"
    spec = importlib.util.spec_from_file_location(f"scripts_{name}", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_the_reference_is_current():
    for name, text in script("reference").outputs().items():
        path = ROOT / "docs" / "reference" / name
        assert path.read_text() == text, f"run scripts/reference.py: {name}"


def test_the_example_deployments_are_current():
    for path, text in script("deploy").outputs().items():
        assert (DEPLOY / path).read_text() == text, f"run scripts/deploy.py: {path}"


@pytest.mark.parametrize("folder", ["cooperative", "federation"])
def test_a_deployment_loads_and_its_files_agree(folder):
    paths = [p for p in (DEPLOY / folder).glob("*.toml") if p.name != "tree.toml"]
    loaded = [load_node(path, check_files=False) for path in sorted(paths)]
    assert [each.error for each in loaded if each.is_error()] == []
    nodes = [each.ok for each in loaded]
    assert [node.warnings for node in nodes] == [()] * 9
    roles = sorted(node.role for node in nodes)
    assert roles == ["control"] * 3 + ["entry"] * 6
    told = {(n.vm, n.zone, n.role, n.control, n.packets, n.operators) for n in nodes}
    for node in nodes:
        for p in node.peers:
            assert (p.vm, p.zone, p.role, p.control, p.packets, p.operators) in told
        assert len(node.peers) == 8


@pytest.mark.parametrize(
    "folder, names",
    [
        ("cooperative", ["entries", "pagesetter"]),
        ("federation", ["depot-desk", "ledger-house"]),
    ],
)
def test_a_tree_may_come_into_force(folder, names):
    tree = load_tree(DEPLOY / folder / "tree.toml").ok
    assert validate(tree) == []
    assert [service.service for service in services(tree)] == names
    assert len(zones(tree)) == 3


def python_blocks():
    for path in sorted((ROOT / "docs" / "guide").glob("embed-*.md")):
        for block in re.findall(r"```python\n(.*?)```", path.read_text(), re.DOTALL):
            yield pytest.param(block, id=path.name)


@pytest.mark.parametrize("block", list(python_blocks()))
def test_the_examples_in_the_guide_run(block):
    exec(compile(block, "guide", "exec"), {})
