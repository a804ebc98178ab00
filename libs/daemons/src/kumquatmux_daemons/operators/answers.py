"""Bodies of the operators' HTTP API, as JSON objects."""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict


class EditBody(TypedDict):
    """One key set or unset.

    Attributes:
        path: Dotted key.
        value: JSON value; absent to unset the key.
    """

    path: str
    value: NotRequired[Any]


class ChangeBody(TypedDict):
    """A change, the same each time it is resent.

    Attributes:
        change_id: Made once by the operator's tool.
        base_revision: The revision the operator saw.
        note: Why.
        edits: What is set and unset.
        undo_to: Revision whose values are restored, instead of edits.
        at: Wall-clock time of the wish, seconds since 1970.
    """

    change_id: str
    base_revision: int
    note: NotRequired[str]
    edits: NotRequired[list[EditBody]]
    undo_to: NotRequired[int]
    at: NotRequired[float]


class ProblemBody(TypedDict):
    """Why a request was refused."""

    code: str
    detail: str
    subject: str


class OutcomeBody(TypedDict):
    """The one outcome of a change."""

    change_id: str
    verdict: str
    revision: int
    detail: str


class SettingsBody(TypedDict):
    """The tree in force on the answering control VM.

    Attributes:
        vm: Who answers.
        leader: The leader as far as known; empty if not.
        revision: Revision of the values.
        digest: Digest of the values.
        staleness_s: Seconds since the values were confirmed as the newest, null if
            never.
        values: JSON values by dotted key.
    """

    vm: str
    leader: str
    revision: int
    digest: str
    staleness_s: float | None
    values: dict[str, Any]


class LevelBody(TypedDict):
    """What one level of the tree says."""

    path: str
    value: Any
    wins: bool


class ExplainBody(TypedDict):
    """A value in force and where it comes from."""

    option: str
    zone: str
    service: str
    revision: int
    value: Any
    source: str
    levels: list[LevelBody]


class RevisionBody(TypedDict):
    """One accepted change."""

    revision: int
    change_id: str
    operator: str
    note: str
    at: float
    edits: list[EditBody]


class HistoryBody(TypedDict):
    """Accepted changes, newest first."""

    revisions: list[RevisionBody]


class ControlVmsBody(TypedDict):
    """The control VMs there are to be: 1, 3 or 5."""

    vms: list[str]


class ServerBody(TypedDict):
    """One backend server."""

    server: str
    service: str
    zone: str
    state: str
    slots: int
    busy: int
    connections: int
    open: int
    holder: str


class ServersBody(TypedDict):
    """The backend servers that reachable entry VMs know."""

    servers: list[ServerBody]


class VmBody(TypedDict):
    """One VM of the system."""

    vm: str
    zone: str
    role: str
    state: str
    revision: int | None
    staleness_s: float | None
    flows: int
    refused: int
    failures: list[str]


class StatusBody(TypedDict):
    """The whole system on one screen."""

    vm: str
    leader: str
    can_accept: bool
    revision: int
    vms: list[VmBody]
    servers: list[ServerBody]


class DrainBody(TypedDict):
    """Which VM holds the server's lease and drains it."""

    server: str
    holder: str
