"""Changing settings: one change id, kept across every retry."""

from __future__ import annotations

import json
import secrets
import time
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from kumquatmux_daemons.commands.client import Failure, OperatorsClient
from kumquatmux_daemons.operators.answers import (
    ChangeBody,
    EditBody,
    OutcomeBody,
)

RANDOM_BYTES = 4


class Wish(NamedTuple):
    """What an operator wants to change.

    Attributes:
        edits: What is set and unset.
        undo_to: Revision to go back to, -1 for none.
        note: Why.
        base: Revision it is based on, None for the one in force.
        change_id: Id of an earlier attempt, None for a new one.
    """

    edits: tuple[EditBody, ...] = ()
    undo_to: int = -1
    note: str = ""
    base: int | None = None
    change_id: str | None = None


def new_change_id(now: float) -> str:
    """Return a fresh change id, which carries its time so that a resend is equal."""
    return f"{int(now):08x}-{secrets.token_hex(RANDOM_BYTES)}"


def time_of(change_id: str) -> float:
    """Return the time a change id carries, in seconds since 1970; 0.0 without one."""
    seconds = change_id.partition("-")[0]
    try:
        return float(int(seconds, 16))
    except ValueError:
        return 0.0


def read_value(text: str) -> Any:
    """Return a value as JSON if it is JSON, else as text."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def prepare(client: OperatorsClient, wish: Wish) -> Result[ChangeBody, Failure]:
    """Return the change to send, with the revision in force as its base."""
    base = wish.base
    if base is None:
        answer = client.get("/v1/settings", prefix="none")
        if answer.is_error():
            return Error(answer.error)
        base = int(answer.ok["revision"])
    change_id = wish.change_id or new_change_id(time.time())
    body = ChangeBody(
        change_id=change_id,
        base_revision=base,
        note=wish.note,
        at=time_of(change_id),
    )
    if wish.undo_to >= 0:
        body["undo_to"] = wish.undo_to
    else:
        body["edits"] = list(wish.edits)
    return Ok(body)


def send(client: OperatorsClient, change: ChangeBody) -> Result[OutcomeBody, Failure]:
    """Send a change until its outcome is known or the attempts are used up."""
    return client.post("/v1/changes", change)
