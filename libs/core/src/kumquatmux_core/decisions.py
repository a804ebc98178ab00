"""One log line for each routing or placement decision."""

from __future__ import annotations

import json
from typing import Any

from absl import logging

_state = {"json": False, "enabled": True}


def configure(*, as_json: bool, enabled: bool = True) -> None:
    """Choose the form of decision lines for this process."""
    _state["json"] = as_json
    _state["enabled"] = enabled


def render(event: str, fields: dict[str, Any], *, as_json: bool = False) -> str:
    """Return one decision as ``event key=value ...`` or as a JSON object."""
    if as_json:
        return json.dumps({"event": event, **fields}, default=str)
    pairs = " ".join(f"{key}={_value(value)}" for key, value in fields.items())
    return f"{event} {pairs}"


def log(event: str, **fields: Any) -> None:
    """Log one decision at info level."""
    if _state["enabled"]:
        logging.info("%s", render(event, fields, as_json=_state["json"]))


def _value(value: Any) -> str:
    text = str(value)
    if text == "" or any(character in text for character in ' ="\n'):
        return json.dumps(text)
    return text
