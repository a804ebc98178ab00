"""A client that announces a backend server, renews, drains and leaves."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import httpx
import trio
from expression import Error, Ok, Result

from kumquatmux_core.identity import Endpoint, ServiceName, ZoneName
from kumquatmux_core.problems import Problem

NOTED = 202
TICKET_NEEDED = 428
SESSION_REFUSED = (409, 410)
RETRY_SECONDS = 0.2


class AnnouncerSettings(NamedTuple):
    """One backend server and where it announces itself.

    Attributes:
        endpoint: Where the server takes packets.
        service: The one service it serves.
        zone: Its availability zone.
        slots: Pieces of work it runs at once.
        connections: Connections it holds at most.
        token: Bearer token of the service.
        entries: Announce endpoints of the entry VMs of its zone.
        session: Grows each time the server starts; milliseconds since 1970 will do.
        renew_seconds: Period of renewals.
        timeout_seconds: After so long a call is tried at the next entry VM.
        scheme: ``http`` or ``https``.
    """

    endpoint: Endpoint
    service: ServiceName
    zone: ZoneName
    slots: int
    connections: int
    token: str
    entries: tuple[Endpoint, ...]
    session: int
    renew_seconds: float = 1.0
    timeout_seconds: float = 0.5
    scheme: str = "http"


class LoadReport(NamedTuple):
    """What a backend server says of its load, -1 where it does not know."""

    busy: int = -1
    open: int = -1


class ServerAnnouncer:
    """Keeps one backend server announced.

    It starts at a random entry VM and stays there while that one answers, so that its
    lease does not move; after a failure it goes to the next.

    Args:
        settings: The server.
        client: Makes the calls.
        random: Chooses the first entry VM.
        load: Returns the present load.
    """

    def __init__(
        self,
        settings: AnnouncerSettings,
        client: httpx.AsyncClient,
        random: random.Random,
        load: Callable[[], LoadReport] = LoadReport,
    ) -> None:
        self.settings = settings
        self.client = client
        self.load = load
        self.entry = random.randrange(len(settings.entries))
        self.tickets: dict[int, str] = {}
        self.draining = False
        self.announced = trio.Event()
        self.renewals = trio.CancelScope()

    async def run(self) -> None:
        """Announce and renew until cancelled or until the server leaves."""
        with self.renewals:
            while True:
                granted = (await self._renew()).is_ok()
                if granted:
                    self.announced.set()
                pause = self.settings.renew_seconds if granted else RETRY_SECONDS
                await trio.sleep(pause)

    async def drain(self) -> None:
        """Ask for no new work; return once none arrives later than 3 s from now."""
        self.draining = True
        body = {"service": self.settings.service, "session": self.settings.session}
        await self._until_in_force("POST", f"{self._path()}/drain", json=body)

    async def leave(self) -> None:
        """Stop renewing and leave; return once no new work arrives 3 s from now."""
        self.renewals.cancel()
        query = {
            "service": self.settings.service,
            "session": str(self.settings.session),
        }
        await self._until_in_force("DELETE", self._path(), params=query)

    async def _renew(self) -> Result[httpx.Response, Problem]:
        answer = await self._call("PUT", self._path(), json=self._body())
        if answer.is_ok() and answer.ok.status_code == TICKET_NEEDED:
            answer = await self._call("PUT", self._path(), json=self._body())
        if answer.is_ok() and answer.ok.is_success:
            return answer
        if answer.is_ok() and answer.ok.status_code in SESSION_REFUSED:
            self._raise_session(answer.ok.json().get("session", 0))
        self._next_entry()
        if answer.is_error():
            return answer
        return Error(Problem("renewal-refused", answer.ok.text))

    def _raise_session(self, latest: int) -> None:
        """Go past a session that an earlier process of this server left behind."""
        if latest >= self.settings.session and not self.announced.is_set():
            self.settings = self.settings._replace(session=latest + 1)

    async def _until_in_force(self, method: str, path: str, **arguments: Any) -> None:
        while True:
            answer = await self._call(method, path, **arguments)
            if answer.is_ok() and answer.ok.status_code == httpx.codes.OK:
                return
            if answer.is_error() or answer.ok.status_code != NOTED:
                self._next_entry()
            await trio.sleep(RETRY_SECONDS)

    async def _call(
        self, method: str, path: str, **arguments: Any
    ) -> Result[httpx.Response, Problem]:
        base = f"{self.settings.scheme}://{self.settings.entries[self.entry]}"
        try:
            response = await self.client.request(
                method,
                base + path,
                headers={"Authorization": f"Bearer {self.settings.token}"},
                timeout=self._timeout(method),
                **arguments,
            )
            self.tickets[self.entry] = response.json().get("ticket", "")
        except (httpx.HTTPError, ValueError) as error:
            return Error(Problem("entry-silent", repr(error), base))
        return Ok(response)

    def _timeout(self, method: str) -> float:
        """A drain or leave may be answered only when it is in force."""
        if method == "PUT":
            return self.settings.timeout_seconds
        return self.settings.timeout_seconds + self.settings.renew_seconds

    def _next_entry(self) -> None:
        self.entry = (self.entry + 1) % len(self.settings.entries)

    def _path(self) -> str:
        return f"/v1/servers/{self.settings.endpoint}"

    def _body(self) -> dict[str, str | int | bool]:
        report = self.load()
        return {
            "endpoint": str(self.settings.endpoint),
            "service": self.settings.service,
            "zone": self.settings.zone,
            "session": self.settings.session,
            "slots": self.settings.slots,
            "connections": self.settings.connections,
            "draining": self.draining,
            "ticket": self.tickets.get(self.entry, ""),
            "busy": report.busy,
            "open": report.open,
        }
