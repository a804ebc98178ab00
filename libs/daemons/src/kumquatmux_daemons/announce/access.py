"""Whether a bearer token may speak for a service, and how often."""

from __future__ import annotations

import hashlib
import hmac

from expression import Error, Ok, Result

from kumquatmux_core.identity import ServiceName
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.announce.settings import AnnounceSettings, ServiceAccess

BEARER = "bearer "


def check_token(
    header: str, service: ServiceName, access: ServiceAccess | None
) -> Result[ServiceAccess, Problem]:
    """Return who may announce for a service, if the header's token may.

    Args:
        header: The ``Authorization`` header, empty without one.
        service: The service that the call speaks for.
        access: What the settings say of it, None if they do not know it.
    """
    if not header.lower().startswith(BEARER):
        return Error(Problem("token-missing", "a bearer token is needed", service))
    if access is None:
        return Error(Problem("service-unknown", "no such service", service))
    token = header[len(BEARER) :].strip()
    digest = hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
    matches = [
        hmac.compare_digest(digest.encode(), known.lower().encode())
        for known in access.token_hashes
    ]
    if not any(matches):
        detail = "the token may not announce for this service"
        return Error(Problem("token-refused", detail, service))
    return Ok(access)


class RateLimit:
    """A token bucket for each service.

    Args:
        settings: Rate and burst.
    """

    def __init__(self, settings: AnnounceSettings) -> None:
        self.settings = settings
        self.level: dict[ServiceName, float] = {}
        self.latest: dict[ServiceName, float] = {}

    def allows(self, service: ServiceName, now: float) -> bool:
        """Whether one more call is taken for a service that has been authenticated."""
        burst = self.settings.calls_burst
        passed = now - self.latest.get(service, now)
        refill = passed * self.settings.calls_per_second
        level = min(burst, self.level.get(service, burst) + refill)
        self.latest[service] = now
        self.level[service] = max(0.0, level - 1)
        return level >= 1
