"""The operators' HTTP API.

A read token may ask; a change token may also change. A control VM that does not lead
redirects changes to the leader. A change whose outcome is not known is answered as
unknown, never as refused; the caller resends it under the same change id.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from functools import singledispatch
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from kumquatmux_core.decisions import log
from kumquatmux_core.identity import ServerId, VmId
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.keys.tokens import (
    Access,
    Operator,
    find_operator,
    read_operators,
)
from kumquatmux_daemons.operators.answers import ChangeBody, ControlVmsBody
from kumquatmux_daemons.operators.desk import (
    Desk,
    NotLeader,
    NotTaken,
    Reshaped,
    Settled,
    Uncertain,
)
from kumquatmux_daemons.operators.render import (
    explain_body,
    outcome_body,
    problem_body,
    revision_body,
    server_bodies,
    settings_body,
    status_body,
)
from kumquatmux_settings.change import Change, ChangeOutcome, Edit, Verdict
from kumquatmux_settings.tree import explain

BODY_LIMIT_BYTES = 1 << 20
HISTORY_LIMIT = 1000
HISTORY_DEFAULT = 20

WRONG_BY_ITSELF = frozenset({"membership-size", "entry-too-long"})

STATUS_BY_VERDICT = {
    Verdict.ACCEPTED: 200,
    Verdict.CONFLICT: 409,
    Verdict.EXPIRED: 410,
    Verdict.INVALID: 422,
    Verdict.UNKNOWN: 504,
}


class RouteDoc(NamedTuple):
    """One route, for the reference page.

    Attributes:
        method: HTTP method.
        path: Path with its parameters.
        access: Token it needs.
        doc: What it does, one sentence.
    """

    method: str
    path: str
    access: Access
    doc: str


ROUTES = (
    RouteDoc(
        "GET", "/v1/settings", Access.READ, "Values in force, under `prefix` if given."
    ),
    RouteDoc(
        "GET",
        "/v1/explain",
        Access.READ,
        "Value of `option` for `zone` and `service` and the level that gave it.",
    ),
    RouteDoc("POST", "/v1/changes", Access.CHANGE, "Ask for a change or an undo."),
    RouteDoc("GET", "/v1/changes/{change_id}", Access.READ, "The outcome of a change."),
    RouteDoc(
        "GET", "/v1/history", Access.READ, "Accepted changes, newest first, `limit`."
    ),
    RouteDoc(
        "POST",
        "/v1/control-vms",
        Access.CHANGE,
        "Name the control VMs there are to be.",
    ),
    RouteDoc("GET", "/v1/status", Access.READ, "All VMs and servers."),
    RouteDoc("GET", "/v1/servers", Access.READ, "All backend servers."),
    RouteDoc(
        "POST", "/v1/servers/{server}/drain", Access.CHANGE, "Drain a backend server."
    ),
)


def operators_app(desk: Desk, token_file: Path) -> Starlette:
    """Return the API over a control daemon.

    Args:
        desk: The control daemon.
        token_file: Read anew at each request, so that a token can be withdrawn
            without a restart.
    """
    api = _Api(desk, token_file)
    handlers = (
        api.settings,
        api.explain,
        api.change,
        api.outcome,
        api.history,
        api.control_vms,
        api.status,
        api.servers,
        api.drain,
    )
    routes = [
        Route(doc.path, api.guarded(doc, handler), methods=[doc.method])
        for doc, handler in zip(ROUTES, handlers, strict=True)
    ]
    errors: dict[Any, Any] = {HTTPException: _http_error}
    return Starlette(routes=routes, exception_handlers=errors)


Handler = Callable[[Request, Operator], Awaitable[Response]]


class _Api:
    def __init__(self, desk: Desk, token_file: Path) -> None:
        self.desk = desk
        self.token_file = token_file

    def guarded(self, doc: RouteDoc, handler: Handler) -> Any:
        async def endpoint(request: Request) -> Response:
            operator = self.operator(request, doc.access)
            if operator.is_error():
                return operator.error
            return await handler(request, operator.ok)

        return endpoint

    def operator(
        self, request: Request, access: Access
    ) -> Result[Operator, JSONResponse]:
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        operators = read_operators(self.token_file)
        if operators.is_error():
            log("operators-refused", why=str(operators.error))
            return Error(_refuse(503, "tokens", "the token file cannot be read"))
        found = find_operator(operators.ok, token.strip())
        if scheme.lower() != "bearer" or found is None:
            return Error(_refuse(401, "token", "a known bearer token is needed"))
        if access is Access.CHANGE and found.access is not Access.CHANGE:
            return Error(_refuse(403, "access", f"{found.name} may only read"))
        return Ok(found)

    async def settings(self, request: Request, operator: Operator) -> Response:
        prefix = request.query_params.get("prefix", "")
        return JSONResponse(settings_body(self.desk.tree(), prefix))

    async def explain(self, request: Request, operator: Operator) -> Response:
        query = request.query_params
        tree = self.desk.tree()
        told = explain(
            tree.values,
            query.get("option", ""),
            query.get("zone", ""),
            query.get("service", ""),
        )
        if told.is_error():
            return _refuse(404, *told.error)
        return JSONResponse(explain_body(told.ok, tree.revision))

    async def change(self, request: Request, operator: Operator) -> Response:
        body = await _body(request)
        if body is None:
            return _refuse(413, "body-large", f"body above {BODY_LIMIT_BYTES} bytes")
        change = _change(body, operator)
        if change.is_error():
            return _refuse(400, *change.error)
        subject = change.ok.change_id
        return _handled(await self.desk.change(change.ok), request.url.path, subject)

    async def outcome(self, request: Request, operator: Operator) -> Response:
        change_id = request.path_params["change_id"]
        outcome = self.desk.outcome(change_id)
        if outcome is None:
            detail = "not known here; it may still be in the log of another VM"
            return _refuse(404, "change-unknown", detail, change_id)
        return JSONResponse(outcome_body(outcome))

    async def history(self, request: Request, operator: Operator) -> Response:
        text = request.query_params.get("limit", str(HISTORY_DEFAULT))
        if not text.isdecimal() or not 1 <= int(text) <= HISTORY_LIMIT:
            detail = f"must be a number from 1 to {HISTORY_LIMIT}"
            return _refuse(400, "value", detail, "limit")
        past = self.desk.history(int(text))
        return JSONResponse({"revisions": [revision_body(each) for each in past]})

    async def control_vms(self, request: Request, operator: Operator) -> Response:
        try:
            body = msgspec.json.decode(await _body(request) or b"", type=ControlVmsBody)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return _refuse(400, "body", str(error))
        vms = tuple(VmId(vm) for vm in body["vms"])
        log("control-vms-asked", operator=operator.name, vms=",".join(vms))
        return _handled(await self.desk.use_control_vms(vms), request.url.path)

    async def status(self, request: Request, operator: Operator) -> Response:
        overview = await self.desk.overview()
        return JSONResponse(status_body(self.desk.tree(), overview))

    async def servers(self, request: Request, operator: Operator) -> Response:
        return JSONResponse({"servers": server_bodies(await self.desk.overview())})

    async def drain(self, request: Request, operator: Operator) -> Response:
        server = ServerId(request.path_params["server"])
        holder = await self.desk.drain(server, operator.name)
        log("drain", server=server, operator=operator.name, holder=holder or "none")
        if holder is None:
            detail = "no reachable VM holds a lease of this server"
            return _refuse(404, "server-unknown", detail, server)
        return JSONResponse({"server": server, "holder": holder})


async def _body(request: Request) -> bytes | None:
    """Return the body, None if it is too large."""
    data = b""
    async for chunk in request.stream():
        data += chunk
        if len(data) > BODY_LIMIT_BYTES:
            return None
    return data


def _change(data: bytes, operator: Operator) -> Result[Change, Problem]:
    try:
        body = msgspec.json.decode(data, type=ChangeBody)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Error(Problem("body", str(error)))
    edits = tuple(
        Edit(edit["path"], json.dumps(edit["value"]) if "value" in edit else None)
        for edit in body.get("edits", [])
    )
    change = Change(
        change_id=body["change_id"],
        base_revision=body["base_revision"],
        operator=operator.name,
        note=body.get("note", ""),
        edits=edits,
        undo_to=body.get("undo_to", -1),
        at=body.get("at", 0.0),
    )
    return Ok(change)


@singledispatch
def _handled(handling: Any, path: str, subject: str = "") -> Response:
    """Return the answer for what became of a wish sent to a path."""
    raise TypeError(f"no answer for {type(handling).__name__}")


@_handled.register
def _(handling: Settled, path: str, subject: str = "") -> Response:
    status = STATUS_BY_VERDICT[handling.outcome.verdict]
    return JSONResponse(outcome_body(handling.outcome), status)


@_handled.register
def _(handling: Reshaped, path: str, subject: str = "") -> Response:
    return JSONResponse(ControlVmsBody(vms=list(handling.vms)))


@_handled.register
def _(handling: NotLeader, path: str, subject: str = "") -> Response:
    if handling.leader is None:
        return _refuse(503, "not-leader", handling.detail, subject)
    response = _refuse(307, "not-leader", handling.detail, subject)
    response.headers["location"] = f"https://{handling.leader}{path}"
    return response


@_handled.register
def _(handling: NotTaken, path: str, subject: str = "") -> Response:
    problem = handling.problem
    is_wrong = problem.code in WRONG_BY_ITSELF
    return _refuse(422 if is_wrong else 503, problem.code, problem.detail, subject)


@_handled.register
def _(handling: Uncertain, path: str, subject: str = "") -> Response:
    outcome = ChangeOutcome(subject, Verdict.UNKNOWN, -1, handling.detail)
    return JSONResponse(outcome_body(outcome), STATUS_BY_VERDICT[Verdict.UNKNOWN])


def _refuse(status: int, code: str, detail: str, subject: str = "") -> JSONResponse:
    body = problem_body(Problem(code, detail, subject))
    return JSONResponse({"problem": body}, status)


async def _http_error(request: Request, error: HTTPException) -> Response:
    return _refuse(error.status_code, "http", str(error.detail), request.url.path)
