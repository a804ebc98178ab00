"""The shared tree as a TOML file."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem
from kumquatmux_settings.lines import key_lines

ROOTS = ("defaults", "zones", "services")


def load_tree(path: Path) -> Result[dict[str, str], list[Problem]]:
    """Read a tree from a TOML file.

    Returns:
        JSON text by dotted key, or what is wrong with the file.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return Error([Problem("file-unreadable", reason, str(path))])
    return parse_tree(text, path)


def parse_tree(text: str, path: Path) -> Result[dict[str, str], list[Problem]]:
    """Return the tree in a TOML text that stands, or would stand, at a path."""
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error([Problem("toml", str(error), str(path))])
    lines = key_lines(text)
    problems = []
    for name in tables:
        if name not in ROOTS:
            subject = f"{name} ({path}:{lines.get(name, 1)})"
            detail = f"a tree has only {', '.join(ROOTS)}"
            problems.append(Problem("unknown-key", detail, subject))
    if problems:
        return Error(problems)
    values: dict[str, str] = {}
    _flatten("", tables, values)
    return Ok(values)


def with_line(problem: Problem, text: str, path: Path) -> Problem:
    """Return a problem with a tree whose subject also names file and line."""
    line = key_lines(text).get(problem.subject)
    place = f"{path}:{line}" if line else str(path)
    return problem._replace(subject=f"{problem.subject} ({place})")


def _flatten(prefix: str, table: dict[str, Any], values: dict[str, str]) -> None:
    for name, value in table.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict):
            _flatten(f"{path}.", value, values)
        else:
            values[path] = json.dumps(value, default=str)
