"""HTTP/1.1 calls to control VMs, as servers and operators make them."""

from __future__ import annotations

import asyncio
import json
from typing import Any, NamedTuple

ANSWER_S = 1.0
"""Seconds after which a caller moves on to another VM."""

REDIRECTS = 2


class Answer(NamedTuple):
    """An answer, with status 0 if none came."""

    status: int
    body: bytes
    location: str = ""


NO_ANSWER = Answer(0, b"")


def request_bytes(method: str, path: str, host: str, body: bytes) -> bytes:
    """Return a request as it is sent."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    if body:
        lines.append("Content-Type: application/json")
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *others = head.decode().split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in others if ": " in line)
    places = [line[len("location: ") :] for line in others if line[:9] == "Location:"]
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Answer(int(first.split()[1]), body, places[0] if places else "")


async def call_once(
    address: str, method: str, path: str, body: bytes, timeout_s: float = ANSWER_S
) -> Answer:
    """Call one VM and return its answer, ``NO_ANSWER`` if none came in time."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(request_bytes(method, path, address, body))
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return NO_ANSWER
    finally:
        if writer is not None:
            writer.close()


async def call(address: str, method: str, path: str, body: bytes = b"") -> Answer:
    """Call a VM and follow two redirects."""
    answer = await call_once(address, method, path, body)
    for _ in range(REDIRECTS):
        if answer.status != 307:
            break
        address, _, rest = answer.location.removeprefix("http://").partition("/")
        answer = await call_once(address, method, f"/{rest}", body)
    return answer


async def call_any(
    addresses: list[str], method: str, path: str, body: bytes, give_up_s: float
) -> Answer:
    """Call one VM after another until one answers clearly or the time is over."""
    loop = asyncio.get_running_loop()
    until = loop.time() + give_up_s
    pause_s = 0.05
    answer = NO_ANSWER
    while loop.time() < until:
        for address in addresses:
            answer = await call(address, method, path, body)
            if 200 <= answer.status < 300 or answer.status in CLEAR_REFUSALS:
                return answer
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, 0.8)
    return answer


CLEAR_REFUSALS = (400, 409, 412, 413, 422)
"""Answers that end a call of the operator at once."""


def json_bytes(value: Any) -> bytes:
    """Return a value as a JSON body."""
    return json.dumps(value, separators=(",", ":")).encode()
