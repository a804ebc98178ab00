"""Calls to the operators' API, repeated safely until there is an answer."""

from __future__ import annotations

import ssl
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import httpx
from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem
from kumquatmux_daemons.commands.exit_codes import ExitCode

REDIRECTS_MAX = 3
TIMEOUT_S = 8.0
ATTEMPTS = 5
PAUSE_S = 1.0
REDIRECT = 307
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

EXIT_BY_STATUS = {
    400: ExitCode.INVALID,
    401: ExitCode.DENIED,
    403: ExitCode.DENIED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    410: ExitCode.EXPIRED,
    413: ExitCode.INVALID,
    422: ExitCode.INVALID,
    UNAVAILABLE: ExitCode.UNREACHABLE,
    GATEWAY_TIMEOUT: ExitCode.UNKNOWN,
}


class Failure(NamedTuple):
    """Why a call did not succeed.

    Attributes:
        code: Exit code for it.
        problem: What went wrong.
        body: The answer's JSON, if it has one.
    """

    code: ExitCode
    problem: Problem
    body: Any = None


class ClientSettings(NamedTuple):
    """How the operators' API is reached.

    Attributes:
        endpoints: ``ip:port`` of control VMs, tried in turn.
        token_file: File with the operator's token.
        certificate_file: PEM certificates of the control VMs.
        transport: Replaces the network, for tests.
        pause: Waits some seconds between attempts.
    """

    endpoints: tuple[str, ...] = ()
    token_file: Path | None = None
    certificate_file: Path | None = None
    transport: httpx.BaseTransport | None = None
    pause: Callable[[float], None] = time.sleep


class OperatorsClient:
    """Calls the operators' API of whichever control VM answers."""

    def __init__(self, settings: ClientSettings, http: httpx.Client) -> None:
        self.settings = settings
        self.http = http

    def get(self, path: str, **query: Any) -> Result[Any, Failure]:
        """Ask for something."""
        return self._call("GET", path, query, None)

    def post(self, path: str, body: Any) -> Result[Any, Failure]:
        """Send something that may safely be sent again, such as a change by its id."""
        return self._call("POST", path, {}, body)

    def _call(
        self, method: str, path: str, query: dict[str, Any], body: Any
    ) -> Result[Any, Failure]:
        failure = _unreachable("no control VM is named; use --api", is_sent=False)
        may_have_run = False
        for attempt in range(ATTEMPTS if self.settings.endpoints else 0):
            if attempt:
                self.settings.pause(PAUSE_S)
            for endpoint in self.settings.endpoints:
                url = f"https://{endpoint}{path}"
                answer = self._follow(method, url, query, body)
                if answer.is_ok() or not _is_passing(answer.error):
                    return answer
                failure = answer.error
                may_have_run = may_have_run or failure.code is ExitCode.UNKNOWN
        if method == "POST" and may_have_run:
            failure = failure._replace(code=ExitCode.UNKNOWN)
        return Error(failure)

    def _follow(
        self, method: str, url: str, query: dict[str, Any], body: Any
    ) -> Result[Any, Failure]:
        """Call one URL, following a control VM's word on who leads."""
        for _ in range(REDIRECTS_MAX):
            try:
                response = self.http.request(method, url, params=query, json=body)
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                return Error(_unreachable(f"{url}: {error}", is_sent=False))
            except httpx.HTTPError as error:
                detail = f"{url}: {error or type(error).__name__}"
                return Error(_unreachable(detail, is_sent=method == "POST"))
            if response.status_code != REDIRECT:
                return _read(response)
            url = response.headers.get("location", url)
        return Error(_unreachable("control VMs disagree on who leads", is_sent=False))


def open_client(settings: ClientSettings) -> Result[OperatorsClient, Failure]:
    """Return a client, or which of its files is bad."""
    headers = {}
    if settings.token_file is not None:
        try:
            token = settings.token_file.read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            return Error(_bad_file(settings.token_file, error))
        headers["authorization"] = f"Bearer {token}"
    try:
        context = _tls(settings.certificate_file)
    except (OSError, ssl.SSLError) as error:
        return Error(_bad_file(settings.certificate_file, error))
    http = httpx.Client(
        headers=headers,
        verify=context,
        timeout=TIMEOUT_S,
        transport=settings.transport,
    )
    return Ok(OperatorsClient(settings, http))


def _tls(certificate_file: Path | None) -> ssl.SSLContext:
    cafile = str(certificate_file) if certificate_file is not None else None
    return ssl.create_default_context(cafile=cafile)


def _bad_file(path: Path | None, error: Exception) -> Failure:
    reason = getattr(error, "strerror", None) or str(error)
    return Failure(ExitCode.USAGE, Problem("file-unreadable", reason, str(path)))


def _unreachable(detail: str, *, is_sent: bool) -> Failure:
    code = ExitCode.UNKNOWN if is_sent else ExitCode.UNREACHABLE
    return Failure(code, Problem("unreachable", detail))


def _is_passing(failure: Failure) -> bool:
    """Tell whether trying again may help."""
    return failure.code in (ExitCode.UNREACHABLE, ExitCode.UNKNOWN)


def _read(response: httpx.Response) -> Result[Any, Failure]:
    try:
        body = response.json()
    except ValueError:
        body = None
    if response.is_success and isinstance(body, dict):
        return Ok(body)
    code = EXIT_BY_STATUS.get(response.status_code, ExitCode.FAILED)
    return Error(Failure(code, _problem(response, body), body))


def _problem(response: httpx.Response, body: Any) -> Problem:
    told = body.get("problem") if isinstance(body, dict) else None
    if isinstance(told, dict):
        fields = [str(told.get(name, "")) for name in Problem._fields]
        return Problem(*fields)
    if isinstance(body, dict) and "verdict" in body:
        detail = str(body.get("detail", ""))
        return Problem(str(body["verdict"]), detail, str(body.get("change_id", "")))
    return Problem("answer", f"status {response.status_code}", str(response.url))
