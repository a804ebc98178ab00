"""Bodies of the announce interface, checked and turned into events."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from kumquatmux_core.identity import Endpoint, ServerId, ServiceName, ZoneName
from kumquatmux_core.problems import Problem
from kumquatmux_membership.events import Announce, Lease, Ticket
from kumquatmux_membership.phases import Phase, version_of

MAX_SESSION = 2**53 - 1

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[a-z0-9.-]+\Z")]
Number = Annotated[int, Meta(ge=1, le=10_000_000)]
Report = Annotated[int, Meta(ge=-1, le=10_000_000)]
Session = Annotated[int, Meta(ge=1, le=MAX_SESSION)]
Text = Annotated[str, Meta(max_length=64)]


class AnnounceBody(TypedDict):
    """What a backend server says of itself, in an announcement or a renewal."""

    endpoint: Text
    service: Name
    zone: Name
    session: Session
    slots: Number
    connections: Number
    draining: NotRequired[bool]
    ticket: NotRequired[Text]
    busy: NotRequired[Report]
    open: NotRequired[Report]


class RetireBody(TypedDict):
    """Which session of a server drains or leaves."""

    service: Name
    session: Session


class Retirement(NamedTuple):
    """A drain or leave of one session of a server."""

    server: ServerId
    service: ServiceName
    session: int


def read_announce(body: bytes, server: str | None) -> Result[Announce, Problem]:
    """Return the announcement in a body.

    Args:
        body: JSON text.
        server: The server that the path names, None where it names none.
    """
    return _decode(body, AnnounceBody).bind(lambda value: _announce(value, server))


def read_retirement(body: bytes, server: str) -> Result[Retirement, Problem]:
    """Return the drain in a body for the server that the path names."""
    return _decode(body, RetireBody).bind(lambda value: _retirement(value, server))


def read_query(values: dict[str, str], server: str) -> Result[Retirement, Problem]:
    """Return the leave in query values for the server that the path names."""
    try:
        body = msgspec.convert(values, RetireBody, strict=False)
    except msgspec.ValidationError as error:
        return Error(Problem("query-invalid", str(error)))
    return _retirement(body, server)


def write_ticket(ticket: Ticket) -> str:
    """Return a ticket as text for a backend server."""
    return f"{ticket.incarnation}-{ticket.stamp!r}"


def read_ticket(text: str) -> Ticket | None:
    """Return the ticket in a text, None if there is none in it."""
    incarnation, _, stamp = text.partition("-")
    try:
        return Ticket(int(incarnation), float(stamp))
    except ValueError:
        return None


def read_endpoint(text: str) -> Result[Endpoint, Problem]:
    """Return the endpoint in ``ip:port``, or why it cannot be one."""
    ip, _, port = text.rpartition(":")
    try:
        number = ipaddress.IPv4Address(ip)
    except ValueError:
        return _not_endpoint(text, "not an IPv4 number and a port")
    if number.is_multicast or number.is_unspecified or number.is_reserved:
        return _not_endpoint(text, "no backend server can have this IPv4 number")
    if not (port.isascii() and port.isdecimal() and len(port) <= 5):
        return _not_endpoint(text, "its port is not a number")
    if not 1 <= int(port) <= 65535 or port != str(int(port)):
        return _not_endpoint(text, "its port is not 1 to 65535")
    return Ok(Endpoint(ip, int(port)))


def _decode(body: bytes, kind: Any) -> Result[Any, Problem]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Error(Problem("body-invalid", str(error)))


def _announce(body: AnnounceBody, server: str | None) -> Result[Announce, Problem]:
    if server is not None and server != body["endpoint"]:
        detail = f"the path names {server}"
        return Error(Problem("wrong-server", detail, body["endpoint"]))
    return read_endpoint(body["endpoint"]).map(
        lambda endpoint: Announce(
            lease=_lease(body, endpoint), ticket=read_ticket(body.get("ticket", ""))
        )
    )


def _lease(body: AnnounceBody, endpoint: Endpoint) -> Lease:
    draining = body.get("draining", False)
    phase = Phase.DRAINING if draining else Phase.LIVE
    return Lease(
        server=ServerId(str(endpoint)),
        endpoint=endpoint,
        service=ServiceName(body["service"]),
        zone=ZoneName(body["zone"]),
        slots=body["slots"],
        connections=body["connections"],
        draining=draining,
        left=False,
        version=version_of(body["session"], phase),
        busy=body.get("busy", -1),
        open=body.get("open", -1),
    )


def _retirement(body: RetireBody, server: str) -> Result[Retirement, Problem]:
    return read_endpoint(server).map(
        lambda endpoint: Retirement(
            server=ServerId(str(endpoint)),
            service=ServiceName(body["service"]),
            session=body["session"],
        )
    )


def _not_endpoint(text: str, detail: str) -> Result[Endpoint, Problem]:
    return Error(Problem("endpoint-invalid", detail, text))
