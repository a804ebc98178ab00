"""Checking settings files and comparing a tree with the one in force."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem
from kumquatmux_daemons.operators.answers import EditBody
from kumquatmux_settings.node import load_node
from kumquatmux_settings.tree_file import load_tree, with_line
from kumquatmux_settings.validate import validate


class Checked(NamedTuple):
    """What a check of one file found.

    Attributes:
        kind: ``node`` or ``tree``.
        problems: What has to be mended.
        warnings: What looks wrong.
    """

    kind: str
    problems: tuple[Problem, ...]
    warnings: tuple[Problem, ...] = ()


def check_file(path: Path) -> Checked:
    """Check a process's own file or a tree file, whichever it is."""
    if _is_node_file(path):
        node = load_node(path)
        if node.is_error():
            return Checked("node", tuple(node.error))
        return Checked("node", (), node.ok.warnings)
    tree = load_tree(path)
    if tree.is_error():
        return Checked("tree", tuple(tree.error))
    text = path.read_text()
    problems = (with_line(each, text, path) for each in validate(tree.ok))
    return Checked("tree", tuple(problems))


def edits_towards(
    path: Path, in_force: dict[str, Any], *, prune: bool
) -> Result[tuple[EditBody, ...], list[Problem]]:
    """Return the edits that bring a tree file into force.

    Args:
        path: The tree file.
        in_force: Values in force by dotted key.
        prune: Whether keys that the file lacks are unset.
    """
    tree = load_tree(path)
    if tree.is_error():
        return Error(tree.error)
    wanted = {key: json.loads(text) for key, text in tree.ok.items()}
    edits = [
        EditBody(path=key, value=value)
        for key, value in wanted.items()
        if key not in in_force or not _is_same(in_force[key], value)
    ]
    if prune:
        edits += [EditBody(path=key) for key in in_force if key not in wanted]
    return Ok(tuple(edits))


def _is_same(left: Any, right: Any) -> bool:
    return json.dumps(left) == json.dumps(right)


def _is_node_file(path: Path) -> bool:
    try:
        tables = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError):
        return False
    return "vm" in tables or "role" in tables
