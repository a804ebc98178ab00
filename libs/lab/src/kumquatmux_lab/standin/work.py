"""The small request and reply lines that stand-in callers and servers exchange."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import ServerId, ServiceName

FEED = "feed"


class Request(NamedTuple):
    """What a caller asks for.

    Attributes:
        request_id: Unique number.
        service: The service it means.
        work_ms: How long the server works on it; for a feed, time between lines.
        reply_bytes: Length of the reply body; 0 and ``feed`` set for a feed.
        feed: Whether lines are sent until the caller closes.
    """

    request_id: int
    service: ServiceName
    work_ms: int
    reply_bytes: int
    feed: bool = False


class Reply(NamedTuple):
    """What a server says before its reply body."""

    request_id: int
    service: ServiceName
    server: ServerId
    reply_bytes: int


def encode_request(request: Request) -> bytes:
    """Return a request as one line."""
    fields = (*request[:4], int(request.feed))
    return (" ".join(map(str, fields)) + "\n").encode()


def decode_request(line: bytes) -> Request:
    """Return the request in one line."""
    number, service, work_ms, reply_bytes, feed = line.decode().split()
    return Request(
        int(number), ServiceName(service), int(work_ms), int(reply_bytes), feed == "1"
    )


def encode_reply(reply: Reply) -> bytes:
    """Return the first line of a reply."""
    return (" ".join(map(str, reply)) + "\n").encode()


def decode_reply(line: bytes) -> Reply:
    """Return the reply in its first line."""
    number, service, server, reply_bytes = line.decode().split()
    return Reply(int(number), ServiceName(service), ServerId(server), int(reply_bytes))


def reply_body(request: Request) -> bytes:
    """Return the body a request must be answered with, different for each request."""
    pattern = f"{request.request_id:016x}".encode()
    return (pattern * (request.reply_bytes // len(pattern) + 1))[: request.reply_bytes]
