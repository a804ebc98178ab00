"""Line numbers of the keys in a TOML file, for messages."""

from __future__ import annotations

import re

_TABLE = re.compile(r"\s*\[([^\[\]]+)\]\s*(#.*)?$")
_ARRAY = re.compile(r"\s*\[\[([^\[\]]+)\]\]\s*(#.*)?$")
_KEY = re.compile(r"\s*([A-Za-z0-9_\-.\"']+)\s*=")


def key_lines(text: str) -> dict[str, int]:
    """Return the line of each key and table of a TOML text, counted from 1.

    Items of an array of tables are written ``peers[0].vm``.
    """
    lines: dict[str, int] = {}
    counts: dict[str, int] = {}
    prefix = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if match := _ARRAY.match(line):
            name = _clean(match[1])
            index = counts.get(name, 0)
            counts[name] = index + 1
            prefix = f"{name}[{index}]"
            lines.setdefault(prefix, number)
        elif match := _TABLE.match(line):
            prefix = _clean(match[1])
            lines.setdefault(prefix, number)
        elif match := _KEY.match(line):
            key = _clean(match[1])
            lines.setdefault(f"{prefix}.{key}" if prefix else key, number)
    return lines


def _clean(key: str) -> str:
    return key.strip().replace('"', "").replace("'", "").replace(" ", "")
