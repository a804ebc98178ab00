"""The operator: manifests and how they are sent."""

from __future__ import annotations

import asyncio
from typing import Any

from standins.calls import Answer, call_any, json_bytes
from standins.deployment import Deployment
from standins.record import Record

CONFIG_PATH = "/v1/config"


def manifest(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a manifest with the services that its routes name."""
    names = sorted({route["backend"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "backends": [
            {
                "name": name,
                "health-path": "/health",
                "max-conns": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for name in names
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def route(name: str, host: str, port: int, kind: str, service: str) -> dict[str, Any]:
    """Return a route to one service."""
    return {
        "name": name,
        "host": host,
        "path-prefix": f"/{port}/",
        "route-type": kind,
        "timeout-ms": 2500,
        "target-latency-ms": 250,
        "priority": 2,
        "backend": service,
        "max-attempts": 2,
    }


class Operator:
    """Sends manifests until they are answered clearly and reads them back."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record

    async def put(self, content: bytes, what: str, give_up_s: float = 5.0) -> Answer:
        """Send a manifest to one VM after another until one answers clearly."""
        addresses = self.deployment.control_addresses
        answer = await call_any(addresses, "PUT", CONFIG_PATH, content, give_up_s)
        self.record.line(f"operator: {what}: answer {answer.status or 'none'}")
        return answer

    async def put_first(self, content: dict[str, Any]) -> bool:
        """Send the first manifest until it is accepted; return whether it was."""
        answer = await self.put(json_bytes(content), "first manifest", 25.0)
        return answer.status == 200

    async def read(self, give_up_s: float = 5.0) -> Answer:
        """Read the newest manifest."""
        addresses = self.deployment.control_addresses
        answer = await call_any(addresses, "GET", CONFIG_PATH, b"", give_up_s)
        self.record.line(f"operator: manifest read back: answer {answer.status}")
        return answer


async def settle(seconds: float) -> None:
    """Let some time pass without a disruption."""
    await asyncio.sleep(seconds)
