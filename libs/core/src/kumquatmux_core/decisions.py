"""Logging of routing and placement decisions, one line for each decision."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

DecisionSink = Callable[[str, dict[str, Any]], None]
"""Function that receives the event name and the fields of each logged decision."""

_config: dict[str, Any] = {"json": False, "enabled": True, "sink": None}


def configure(
    *, as_json: bool, enabled: bool = True, sink: DecisionSink | None = None
) -> None:
    """Configure the logging of decisions in this process.

    Args:
        as_json: Whether the absl log receives JSON objects instead of ``key=value``
            lines. A sink receives unformatted fields in either case.
        enabled: Whether decisions are logged.
        sink: Function that receives the decisions instead of the absl log.
    """
    _config["json"] = as_json
    _config["enabled"] = enabled
    _config["sink"] = sink


def format_decision(
    event: str, fields: dict[str, Any], *, as_json: bool = False
) -> str:
    """Format one decision as ``event key=value ...`` or as a JSON object."""
    if as_json:
        return json.dumps({"event": event, **fields}, default=str)
    pairs = " ".join(f"{key}={_format_value(value)}" for key, value in fields.items())
    return f"{event} {pairs}"


def log(event: str, **fields: Any) -> None:
    """Log one decision, to the sink if one is set, else to absl at info level."""
    if not _config["enabled"]:
        return
    sink = _config["sink"]
    if sink is None:
        _log_with_absl(event, fields)
    else:
        sink(event, fields)


def _log_with_absl(event: str, fields: dict[str, Any]) -> None:
    # Imported here so that processes that set a sink start faster.
    from absl import logging

    logging.info("%s", format_decision(event, fields, as_json=_config["json"]))


def _format_value(value: Any) -> str:
    text = str(value)
    if text == "" or any(character in text for character in ' ="\n'):
        return json.dumps(text)
    return text
