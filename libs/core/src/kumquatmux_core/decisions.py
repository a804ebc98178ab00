"""One log line for each routing or placement decision."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

Sink = Callable[[str, dict[str, Any]], None]
"""Takes the name of a decision and its fields."""

_state: dict[str, Any] = {"json": False, "enabled": True, "sink": None}


def configure(*, as_json: bool, enabled: bool = True, sink: Sink | None = None) -> None:
    """Choose the form of decision lines for this process.

    Args:
        as_json: Whether a line is a JSON object, with the usual sink.
        enabled: Whether decisions are logged at all.
        sink: What takes them instead of the process's absl log.
    """
    _state["json"] = as_json
    _state["enabled"] = enabled
    _state["sink"] = sink


def render(event: str, fields: dict[str, Any], *, as_json: bool = False) -> str:
    """Return one decision as ``event key=value ...`` or as a JSON object."""
    if as_json:
        return json.dumps({"event": event, **fields}, default=str)
    pairs = " ".join(f"{key}={_value(value)}" for key, value in fields.items())
    return f"{event} {pairs}"


def log(event: str, **fields: Any) -> None:
    """Log one decision at info level."""
    if not _state["enabled"]:
        return
    sink = _state["sink"]
    if sink is None:
        _log_with_absl(event, fields)
    else:
        sink(event, fields)


def _log_with_absl(event: str, fields: dict[str, Any]) -> None:
    # Imported here because processes with a sink of their own must start fast.
    from absl import logging

    logging.info("%s", render(event, fields, as_json=_state["json"]))


def _value(value: Any) -> str:
    text = str(value)
    if text == "" or any(character in text for character in ' ="\n'):
        return json.dumps(text)
    return text
