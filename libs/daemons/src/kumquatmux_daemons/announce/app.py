"""The announce interface as a starlette application.

Each answer is JSON. A refusal has ``code``, ``detail`` and ``subject``; answers of the
lease table also give the ticket for the server's next call to this VM.
"""

from __future__ import annotations

import trio
from expression import Error, Ok, Result
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from kumquatmux_core.identity import ServiceName
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.announce.access import RateLimit, check_token
from kumquatmux_daemons.announce.requests import (
    Retirement,
    read_announce,
    read_query,
    read_retirement,
    write_ticket,
)
from kumquatmux_daemons.announce.settings import AnnounceSettings, Desk
from kumquatmux_membership.events import (
    Announce,
    Depart,
    Drain,
    LeaseAnswer,
    LeaseState,
)

STATUS_BY_CODE = {
    "address-taken": 409,
    "body-invalid": 400,
    "body-too-large": 413,
    "endpoint-invalid": 400,
    "query-invalid": 400,
    "server-unknown": 404,
    "service-unknown": 404,
    "session-left": 410,
    "session-old": 409,
    "table-full": 503,
    "ticket-needed": 428,
    "token-missing": 401,
    "token-refused": 403,
    "too-many-calls": 429,
    "vm-leaving": 503,
    "vm-starting": 503,
    "wrong-server": 400,
    "wrong-zone": 409,
}


def announce_app(settings: AnnounceSettings, desk: Desk) -> Starlette:
    """Return the application for one entry VM.

    Args:
        settings: Limits and what backend servers are told.
        desk: The daemon's side of it.
    """
    calls = Calls(settings, desk)
    routes = [
        Route("/v1/servers", calls.announce, methods=["POST"]),
        Route("/v1/servers/{server}", calls.renew, methods=["PUT"]),
        Route("/v1/servers/{server}", calls.leave, methods=["DELETE"]),
        Route("/v1/servers/{server}/drain", calls.drain, methods=["POST"]),
    ]
    return Starlette(routes=routes, exception_handlers={HTTPException: _no_such_call})


class Calls:
    """The calls that backend servers make.

    Args:
        settings: Limits and what backend servers are told.
        desk: The daemon's side of it.
    """

    def __init__(self, settings: AnnounceSettings, desk: Desk) -> None:
        self.settings = settings
        self.desk = desk
        self.rates = RateLimit(settings)

    async def announce(self, request: Request) -> JSONResponse:
        """Take an announcement."""
        return await self._announce(request, None)

    async def renew(self, request: Request) -> JSONResponse:
        """Take a renewal; it announces where the server is not known."""
        return await self._announce(request, request.path_params["server"])

    async def drain(self, request: Request) -> JSONResponse:
        """Give the server no new work from now on."""
        body = await self._body(request)
        server = request.path_params["server"]
        asked = body.bind(lambda text: read_retirement(text, server))
        return await self._retire(request, asked, Drain)

    async def leave(self, request: Request) -> JSONResponse:
        """End the server's session for good."""
        server = request.path_params["server"]
        asked = read_query(dict(request.query_params), server)
        return await self._retire(request, asked, Depart)

    async def _announce(self, request: Request, server: str | None) -> JSONResponse:
        body = await self._body(request)
        asked = body.bind(lambda text: read_announce(text, server))
        allowed = asked.bind(lambda event: self._check_announce(request, event))
        match allowed:
            case Result(tag="ok", ok=event):
                return self._respond(self.desk.call(event))
            case Result(error=problem):
                return _refused(problem)

    async def _retire(
        self,
        request: Request,
        asked: Result[Retirement, Problem],
        kind: type[Drain] | type[Depart],
    ) -> JSONResponse:
        allowed = asked.bind(
            lambda call: self._check(request, call.service).map(lambda _: call)
        )
        match allowed:
            case Result(tag="ok", ok=call):
                event = kind(call.server, call.session, call.service)
                return self._respond(await self._until_in_force(event))
            case Result(error=problem):
                return _refused(problem)

    async def _until_in_force(self, event: Drain | Depart) -> LeaseAnswer:
        """Repeat a call until it is sure to hold everywhere or time is up."""
        deadline = trio.current_time() + self.settings.wait_seconds
        answer = self.desk.call(event)
        while answer.state == LeaseState.NOTED and trio.current_time() < deadline:
            await trio.sleep(self.settings.poll_seconds)
            answer = self.desk.call(event)
        return answer

    def _check_announce(
        self, request: Request, event: Announce
    ) -> Result[Announce, Problem]:
        lease = event.lease
        match self._check(request, lease.service):
            case Result(tag="ok", ok=zones):
                if zones and lease.zone not in zones:
                    detail = f"service {lease.service} is not served in {lease.zone}"
                    return Error(Problem("wrong-zone", detail, lease.server))
                return Ok(event)
            case Result(error=problem):
                return Error(problem)

    def _check(
        self, request: Request, service: ServiceName
    ) -> Result[tuple[str, ...], Problem]:
        """Return the zones of the service if the caller may speak for it."""
        header = request.headers.get("authorization", "")
        checked = check_token(header, service, self.desk.access(service))
        if checked.is_error():
            return Error(checked.error)
        if not self.rates.allows(service, trio.current_time()):
            return Error(Problem("too-many-calls", "slow down", service))
        return Ok(tuple(checked.ok.zones))

    async def _body(self, request: Request) -> Result[bytes, Problem]:
        limit = self.settings.body_limit_bytes
        body = bytearray()
        try:
            async for chunk in request.stream():
                body += chunk
                if len(body) > limit:
                    detail = f"the body is over {limit} bytes"
                    return Error(Problem("body-too-large", detail))
        except ClientDisconnect:
            return Error(Problem("body-invalid", "the body ended early"))
        return Ok(bytes(body))

    def _respond(self, answer: LeaseAnswer) -> JSONResponse:
        if answer.problem is not None:
            return _refused(answer.problem, answer)
        content = {
            "state": answer.state.name.lower().replace("_", "-"),
            "ticket": write_ticket(answer.ticket),
            "session": answer.session,
            "lease_seconds": self.settings.lease_seconds,
            "renew_seconds": self.settings.renew_seconds,
        }
        if answer.state == LeaseState.IN_FORCE:
            content["in_force_seconds"] = self.settings.in_force_seconds
        status = 202 if answer.state == LeaseState.NOTED else 200
        return JSONResponse(content, status)


def _refused(problem: Problem, answer: LeaseAnswer | None = None) -> JSONResponse:
    content: dict[str, str | int] = dict(problem._asdict())
    if answer is not None:
        content["ticket"] = write_ticket(answer.ticket)
        content["session"] = answer.session
    return JSONResponse(content, STATUS_BY_CODE.get(problem.code, 400))


def _no_such_call(request: Request, error: Exception) -> JSONResponse:
    status = error.status_code if isinstance(error, HTTPException) else 500
    code = {404: "path-unknown", 405: "method-unknown"}.get(status, "call-invalid")
    problem = Problem(code, "no such call", request.url.path)
    return JSONResponse(problem._asdict(), status)
